package selections

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
	"firford/lib/weights"
)

const (
	testChunks     = 12
	testOriginTime = 10 * time.Second
)

var (
	testStart    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testSettings = Settings{Window: 4, NeighbourWindow: 2, OriginWindow: 2, OriginTime: testOriginTime, RankStep: testOriginTime}
)

// sameRank returns the ranks of a host that has this rank for every chunk.
func sameRank(rank int) []int {
	ranks := make([]int, testChunks)
	for chunk := range ranks {
		ranks[chunk] = rank
	}
	return ranks
}

// step applies the event at the given time after the start, with a fixed seed.
func step(state State, event Event, after time.Duration) (State, []Request) {
	return state.Step(event, testStart.Add(after), rand.New(rand.NewPCG(1, 1)))
}

func snapshotOf(name string, chunks ...int) ChunksAnnounced {
	return ChunksAnnounced{Neighbour: name, Snapshot: true, Held: weights.NewSet(testChunks).With(chunks...)}
}

func allBut(missing ...int) weights.Set {
	set := weights.NewSet(testChunks)
	for chunk := range testChunks {
		set = set.With(chunk)
	}
	for _, chunk := range missing {
		set = set.Without(chunk)
	}
	return set
}

// Guards against hosts that request common chunks first and lose a rare chunk
// when its last holder fails.
func TestRarestFirst(t *testing.T) {
	convey.Convey("A chunk held by one neighbour is requested before chunks held by two", t, func() {
		settings := testSettings
		settings.Window = 1
		state := New(settings, sameRank(9), weights.NewSet(testChunks), []string{"a", "b"}, testStart)
		state, requests := step(state, snapshotOf("a", 1, 2, 3), 0)
		convey.So(len(requests), convey.ShouldEqual, 1)
		state, _ = step(state, snapshotOf("b", 1, 2, 3, 4), 0)
		_, requests = step(state, ChunkReceived{Chunk: requests[0].Chunk, From: "a"}, time.Second)
		convey.So(requests, convey.ShouldResemble, []Request{{Chunk: 4, From: "b"}})
	})
}

// Guards against further requests to a neighbour that sent a corrupted chunk, and
// against a chunk that is never requested because its only holder is avoided.
func TestWrongDigestAvoidsTheSender(t *testing.T) {
	convey.Convey("Given a neighbour that sent a wrong chunk", t, func() {
		state := New(testSettings, sameRank(9), allBut(1, 2), []string{"a", "b"}, testStart)
		state, _ = step(state, snapshotOf("a", 1, 2), 0)
		state, _ = step(state, RequestFailed{Chunk: 1, From: "a", Reason: WrongDigest}, 0)
		state, _ = step(state, RequestFailed{Chunk: 2, From: "a", Reason: Busy}, 0)
		convey.Convey("both chunks are requested from another holder, even a minute later", func() {
			_, requests := step(state, snapshotOf("b", 1, 2), time.Minute)
			convey.So(len(requests), convey.ShouldEqual, 2)
			convey.So(requests[0].From, convey.ShouldEqual, "b")
			convey.So(requests[1].From, convey.ShouldEqual, "b")
		})
		convey.Convey("it still gets the request for a chunk that no other neighbour holds", func() {
			_, requests := step(state, snapshotOf("b", 1), time.Minute)
			convey.So(requests, convey.ShouldContain, Request{Chunk: 2, From: "a"})
		})
		convey.Convey("it still gets the requests for chunks whose other holder keeps failing", func() {
			state, _ := step(state, snapshotOf("b", 1, 2), time.Minute)
			for range unreliableAfterFailures {
				state, _ = step(state, RequestFailed{Chunk: 1, From: "b", Reason: Broken}, time.Minute)
				state, _ = step(state, RequestFailed{Chunk: 2, From: "b", Reason: Broken}, time.Minute)
			}
			convey.So(state.RequestsFor(1)+state.RequestsFor(2), convey.ShouldEqual, 2)
			convey.So(state.neighbours["a"].inFlight, convey.ShouldEqual, 2)
		})
	})
}

// Guards against a host that never reads from the origin because its neighbour
// announces chunks that it does not deliver.
func TestLiarDoesNotBlockTheOrigin(t *testing.T) {
	convey.Convey("Given a single neighbour that announces every chunk", t, func() {
		state := New(testSettings, sameRank(0), weights.NewSet(testChunks), []string{"a"}, testStart)
		state, requests := step(state, ChunksAnnounced{Neighbour: "a", Snapshot: true, Held: allBut()}, 0)
		convey.So(requests[0].From, convey.ShouldEqual, "a")
		convey.Convey("the host reads from the origin after wrong content", func() {
			_, requests = step(state, RequestFailed{Chunk: requests[0].Chunk, From: "a", Reason: WrongDigest}, 0)
			convey.So(requests[len(requests)-1].From, convey.ShouldEqual, Origin)
		})
		convey.Convey("the host reads from the origin after repeated broken connections", func() {
			for range unreliableAfterFailures {
				state, requests = step(state, RequestFailed{Chunk: state.inFlight[0].chunk, From: "a", Reason: Broken}, 0)
				state = state.withRequest(0, "a", testStart)
			}
			convey.So(requests[len(requests)-1].From, convey.ShouldEqual, Origin)
		})
	})
}

// Guards against a disconnected neighbour that still counts as a holder of its
// chunks.
func TestLostNeighbour(t *testing.T) {
	convey.Convey("A chunk that only a disconnected neighbour held is read from the origin", t, func() {
		state := New(testSettings, sameRank(0), allBut(3), []string{"a"}, testStart)
		state, requests := step(state, snapshotOf("a", 3), 0)
		convey.So(requests, convey.ShouldResemble, []Request{{Chunk: 3, From: "a"}})
		state, _ = step(state, NeighbourDisconnected{Neighbour: "a"}, time.Second)
		_, requests = step(state, RequestFailed{Chunk: 3, From: "a", Reason: Broken}, time.Second)
		convey.So(requests, convey.ShouldResemble, []Request{{Chunk: 3, From: Origin}})
	})
}

// Guards against later ranks that read a second copy from the origin, and against
// a chunk that no host reads because the host of rank zero is dead.
func TestOriginDeadlines(t *testing.T) {
	convey.Convey("Given a host with rank 2 for every chunk", t, func() {
		state := New(testSettings, sameRank(2), weights.NewSet(testChunks), []string{"a"}, testStart)
		convey.Convey("it does not read from the origin before its deadline", func() {
			_, requests := step(state, Tick{}, 3*testOriginTime-1)
			convey.So(requests, convey.ShouldBeEmpty)
		})
		convey.Convey("it reads from the origin at its deadline", func() {
			_, requests := step(state, Tick{}, 3*testOriginTime)
			convey.So(len(requests), convey.ShouldEqual, testSettings.OriginWindow)
		})
		convey.Convey("it never reads a chunk from the origin that a neighbour holds", func() {
			state, _ = step(state, ChunksAnnounced{Neighbour: "a", Snapshot: true, Held: allBut()}, 0)
			_, requests := step(state, Tick{}, time.Hour)
			for _, request := range requests {
				convey.So(request.From, convey.ShouldNotEqual, Origin)
			}
		})
	})
	convey.Convey("A restarted host waits for its neighbours' announcements before it reads from the origin", t, func() {
		state := New(testSettings, sameRank(0), weights.NewSet(testChunks), []string{"a"}, testStart)
		_, requests := step(state, Tick{}, announcementTimeout-1)
		convey.So(requests, convey.ShouldBeEmpty)
		_, requests = step(state, Tick{}, announcementTimeout)
		convey.So(len(requests), convey.ShouldEqual, testSettings.OriginWindow)
	})
	convey.Convey("Reads of rank zero are spread over OriginSpread in the order of the chunks", t, func() {
		settings := testSettings
		settings.OriginSpread, settings.OriginWindow = testOriginTime, testChunks
		state := New(settings, sameRank(0), weights.NewSet(testChunks), nil, testStart)
		_, requests := step(state, Tick{}, testOriginTime/2)
		convey.So(len(requests), convey.ShouldEqual, testChunks/2+1)
	})
}

// Guards against a last chunk that waits for a frozen sender, and against
// more than one duplicate, which would take upload bandwidth from other hosts.
func TestOneDuplicate(t *testing.T) {
	convey.Convey("Given a request for the last chunk, which three neighbours hold", t, func() {
		state := New(testSettings, sameRank(9), allBut(5), []string{"a", "b", "c"}, testStart)
		for _, name := range []string{"a", "b", "c"} {
			state, _ = step(state, snapshotOf(name, 5), 0)
		}
		convey.So(state.RequestsFor(5), convey.ShouldEqual, 1)
		convey.Convey("it is not repeated after 10 ms", func() {
			_, requests := step(state, Tick{}, 10*time.Millisecond)
			convey.So(requests, convey.ShouldBeEmpty)
		})
		convey.Convey("it is repeated once, at another neighbour", func() {
			first := state.inFlight[0].from
			state, requests := step(state, Tick{}, time.Second)
			convey.So(len(requests), convey.ShouldEqual, 1)
			convey.So(requests[0].From, convey.ShouldNotEqual, first)
			_, requests = step(state, Tick{}, time.Minute)
			convey.So(requests, convey.ShouldBeEmpty)
		})
	})
}

// swarm simulates hosts that exchange chunks, with their events in any order.
type swarm struct {
	names    []string
	states   map[string]State
	live     map[string]bool
	inFlight map[string][]Request
	reads    map[int]int
	now      time.Time
	random   *rand.Rand
}

func newSwarm(count int) *swarm {
	swarm := &swarm{states: map[string]State{}, live: map[string]bool{}, inFlight: map[string][]Request{}, reads: map[int]int{}, now: testStart, random: rand.New(rand.NewPCG(1, 2))}
	for index := range count {
		swarm.names = append(swarm.names, fmt.Sprintf("h%d", index))
	}
	for index, name := range swarm.names {
		ranks := make([]int, testChunks)
		var others []string
		for chunk := range ranks {
			ranks[chunk] = (index + chunk) % count
		}
		for _, other := range swarm.names {
			if other != name {
				others = append(others, other)
			}
		}
		swarm.states[name] = New(testSettings, ranks, weights.NewSet(testChunks), others, testStart)
		swarm.live[name] = true
	}
	return swarm
}

// expectedOriginDeadline returns the origin deadline of a rank. It repeats the rule
// of the policy independently of the code under test.
func expectedOriginDeadline(rank int) time.Time {
	if rank == 0 {
		return testStart
	}
	return testStart.Add(testOriginTime * time.Duration(rank+1))
}

// step applies the event to the host and checks the requests that it returns.
func (swarm *swarm) step(t *rapid.T, name string, event Event) {
	if !swarm.live[name] {
		return
	}
	var requests []Request
	swarm.states[name], requests = swarm.states[name].Step(event, swarm.now, swarm.random)
	state := swarm.states[name]
	for _, request := range requests {
		switch {
		case state.Held().Has(request.Chunk):
			t.Fatalf("%s requests chunk %d that it holds", name, request.Chunk)
		case state.RequestsFor(request.Chunk) > 2:
			t.Fatalf("%s has %d requests for chunk %d", name, state.RequestsFor(request.Chunk), request.Chunk)
		case request.From == Origin && swarm.now.Before(expectedOriginDeadline(state.ranks[request.Chunk])):
			t.Fatalf("%s requests chunk %d from the origin before its deadline", name, request.Chunk)
		case request.From == Origin && state.HasReliableHolder(request.Chunk):
			t.Fatalf("%s requests chunk %d from the origin although a neighbour holds it", name, request.Chunk)
		case request.From != Origin && !state.HasAnnounced(request.From, request.Chunk):
			t.Fatalf("%s requests from %s chunk %d that it did not announce", name, request.From, request.Chunk)
		}
	}
	swarm.inFlight[name] = append(swarm.inFlight[name], requests...)
	if state.InFlight() > testSettings.Window+testSettings.OriginWindow {
		t.Fatalf("%s has %d requests in flight", name, state.InFlight())
	}
	if len(swarm.inFlight[name]) != state.InFlight() {
		t.Fatalf("%s counts %d requests in flight instead of %d", name, state.InFlight(), len(swarm.inFlight[name]))
	}
}

// completeRequest ends a request with an event and checks that the host holds the
// chunk only after ChunkReceived.
func (swarm *swarm) completeRequest(t *rapid.T, name string, index int, newEvent func(Request) Event) {
	request := swarm.inFlight[name][index]
	swarm.inFlight[name] = append(append([]Request(nil), swarm.inFlight[name][:index]...), swarm.inFlight[name][index+1:]...)
	before := swarm.states[name].Held().Has(request.Chunk)
	event := newEvent(request)
	swarm.step(t, name, event)
	if _, correct := event.(ChunkReceived); !correct && !before && swarm.states[name].Held().Has(request.Chunk) {
		t.Fatalf("%s holds chunk %d after %T", name, request.Chunk, event)
	}
}

func received(request Request) Event { return ChunkReceived(request) }

func (swarm *swarm) announce(t *rapid.T, from, to string) {
	swarm.step(t, to, ChunksAnnounced{Neighbour: from, Snapshot: true, Held: swarm.states[from].Held()})
}

// runToCompletion lets every request to a live host or the origin succeed and
// reports whether every live host completes within the deadlines of all ranks.
func (swarm *swarm) runToCompletion(t *rapid.T) bool {
	for range 200 {
		swarm.now = swarm.now.Add(time.Second)
		missing := 0
		for _, name := range swarm.names {
			swarm.finishHost(t, name)
			if swarm.live[name] && !swarm.states[name].Held().Full() {
				missing++
			}
		}
		if missing == 0 {
			return true
		}
	}
	return false
}

func (swarm *swarm) finishHost(t *rapid.T, name string) {
	for _, other := range swarm.names {
		switch {
		case other == name:
		case swarm.live[name]:
			swarm.announce(t, name, other)
		default:
			swarm.step(t, other, NeighbourDisconnected{Neighbour: name})
		}
	}
	swarm.step(t, name, Tick{})
	for swarm.live[name] && len(swarm.inFlight[name]) > 0 {
		swarm.completeRequest(t, name, 0, func(request Request) Event {
			if request.From == Origin || swarm.live[request.From] {
				return ChunkReceived(request)
			}
			return RequestFailed{Chunk: request.Chunk, From: request.From, Reason: Broken}
		})
	}
}

// Guards against requests that exceed a limit of the policy and against hosts that
// stay incomplete, in any order of announcements, failures and host crashes.
func TestSwarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		swarm := newSwarm(rapid.IntRange(2, 5).Draw(t, "hosts"))
		pick := rapid.SampledFrom(swarm.names)
		fail := func(reason FailureReason) func(*rapid.T) {
			return func(t *rapid.T) {
				name := pick.Draw(t, "host")
				if len(swarm.inFlight[name]) == 0 {
					return
				}
				index := rapid.IntRange(0, len(swarm.inFlight[name])-1).Draw(t, "request")
				swarm.completeRequest(t, name, index, func(request Request) Event {
					return RequestFailed{Chunk: request.Chunk, From: request.From, Reason: reason}
				})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				swarm.now = swarm.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				swarm.step(t, pick.Draw(t, "host"), Tick{})
			},
			"answer": func(t *rapid.T) {
				name := pick.Draw(t, "host")
				if len(swarm.inFlight[name]) > 0 {
					swarm.completeRequest(t, name, rapid.IntRange(0, len(swarm.inFlight[name])-1).Draw(t, "request"), received)
				}
			},
			"announce": func(t *rapid.T) {
				from, to := pick.Draw(t, "from"), pick.Draw(t, "to")
				if from != to {
					swarm.announce(t, from, to)
				}
			},
			"lost": func(t *rapid.T) {
				swarm.step(t, pick.Draw(t, "host"), NeighbourDisconnected{Neighbour: pick.Draw(t, "peer")})
			},
			"die": func(t *rapid.T) {
				if name := pick.Draw(t, "host"); name != swarm.names[0] {
					swarm.live[name] = false
				}
			},
			"busy":    fail(Busy),
			"missing": fail(Missing),
			"broken":  fail(Broken),
			"wrong":   fail(WrongDigest),
		})
		if !swarm.runToCompletion(t) {
			t.Fatalf("a live host did not complete")
		}
	})
}
