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

func ranked(rank int) []int {
	ranks := make([]int, testChunks)
	for at := range ranks {
		ranks[at] = rank
	}
	return ranks
}

func step(state State, message Event, after time.Duration) (State, []Request) {
	return state.Step(message, testStart.Add(after), rand.New(rand.NewPCG(1, 1)))
}

func holding(name string, chunks ...int) ChunksAnnounced {
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

// Guards against a swarm that exchanges common chunks while the last holder of
// a rare one fails.
func TestRarestFirst(t *testing.T) {
	convey.Convey("The chunk that one neighbour holds is asked before those of two", t, func() {
		settings := testSettings
		settings.Window = 1
		state := New(settings, ranked(9), weights.NewSet(testChunks), []string{"a", "b"}, testStart)
		state, asks := step(state, holding("a", 1, 2, 3), 0)
		convey.So(len(asks), convey.ShouldEqual, 1)
		state, _ = step(state, holding("b", 1, 2, 3, 4), 0)
		_, asks = step(state, ChunkReceived{Chunk: asks[0].Chunk, From: "a"}, time.Second)
		convey.So(asks, convey.ShouldResemble, []Request{{Chunk: 4, From: "b"}})
	})
}

// Guards against a sender of corrupted chunks that is asked again and again.
func TestWrongDigestAvoidsTheSender(t *testing.T) {
	convey.Convey("Given a neighbour that sent a wrong chunk", t, func() {
		state := New(testSettings, ranked(9), allBut(1, 2), []string{"a", "b"}, testStart)
		state, _ = step(state, holding("a", 1, 2), 0)
		state, _ = step(state, RequestFailed{Chunk: 1, From: "a", Reason: WrongDigest}, 0)
		state, _ = step(state, RequestFailed{Chunk: 2, From: "a", Reason: Busy}, 0)
		convey.Convey("both chunks are asked of another holder, also later", func() {
			_, asks := step(state, holding("b", 1, 2), time.Minute)
			convey.So(len(asks), convey.ShouldEqual, 2)
			convey.So(asks[0].From, convey.ShouldEqual, "b")
			convey.So(asks[1].From, convey.ShouldEqual, "b")
		})
		convey.Convey("it is asked for a chunk that no other neighbour holds", func() {
			_, asks := step(state, holding("b", 1), time.Minute)
			convey.So(asks, convey.ShouldContain, Request{Chunk: 2, From: "a"})
		})
		convey.Convey("it is asked for a chunk whose other holder keeps failing", func() {
			state, _ := step(state, holding("b", 1, 2), time.Minute)
			for range unreliableFailures {
				state, _ = step(state, RequestFailed{Chunk: 1, From: "b", Reason: Broken}, time.Minute)
				state, _ = step(state, RequestFailed{Chunk: 2, From: "b", Reason: Broken}, time.Minute)
			}
			convey.So(state.RequestsFor(1)+state.RequestsFor(2), convey.ShouldEqual, 2)
			convey.So(state.neighbours["a"].asked, convey.ShouldEqual, 2)
		})
	})
}

// Guards against a neighbour that announces chunks and never delivers them.
func TestLiarDoesNotBlockTheOrigin(t *testing.T) {
	convey.Convey("Given the only neighbour, which claims every chunk", t, func() {
		state := New(testSettings, ranked(0), weights.NewSet(testChunks), []string{"a"}, testStart)
		state, asks := step(state, ChunksAnnounced{Neighbour: "a", Snapshot: true, Held: allBut()}, 0)
		convey.So(asks[0].From, convey.ShouldEqual, "a")
		convey.Convey("wrong content makes the host ask the origin", func() {
			_, asks = step(state, RequestFailed{Chunk: asks[0].Chunk, From: "a", Reason: WrongDigest}, 0)
			convey.So(asks[len(asks)-1].From, convey.ShouldEqual, Origin)
		})
		convey.Convey("so do broken connections", func() {
			for range unreliableFailures {
				state, asks = step(state, RequestFailed{Chunk: state.requests[0].chunk, From: "a", Reason: Broken}, 0)
				state = state.withRequest(0, "a", testStart)
			}
			convey.So(asks[len(asks)-1].From, convey.ShouldEqual, Origin)
		})
	})
}

// Guards against a dead neighbour that still counts as a holder of its chunks.
func TestLostNeighbour(t *testing.T) {
	convey.Convey("A chunk that only a lost neighbour held is read from the origin", t, func() {
		state := New(testSettings, ranked(0), allBut(3), []string{"a"}, testStart)
		state, asks := step(state, holding("a", 3), 0)
		convey.So(asks, convey.ShouldResemble, []Request{{Chunk: 3, From: "a"}})
		state, _ = step(state, NeighbourDisconnected{Neighbour: "a"}, time.Second)
		_, asks = step(state, RequestFailed{Chunk: 3, From: "a", Reason: Broken}, time.Second)
		convey.So(asks, convey.ShouldResemble, []Request{{Chunk: 3, From: Origin}})
	})
}

// Guards against late ranks that read a second copy, and against a chunk that
// nobody reads when the first rank is dead.
func TestOriginDeadlines(t *testing.T) {
	convey.Convey("Given the host of rank 2 for every chunk", t, func() {
		state := New(testSettings, ranked(2), weights.NewSet(testChunks), []string{"a"}, testStart)
		convey.Convey("it does not ask the origin before its deadline", func() {
			_, asks := step(state, Tick{}, 3*testOriginTime-1)
			convey.So(asks, convey.ShouldBeEmpty)
		})
		convey.Convey("it asks after its deadline", func() {
			_, asks := step(state, Tick{}, 3*testOriginTime)
			convey.So(len(asks), convey.ShouldEqual, testSettings.OriginWindow)
		})
		convey.Convey("it never asks for what a neighbour holds", func() {
			state, _ = step(state, ChunksAnnounced{Neighbour: "a", Snapshot: true, Held: allBut()}, 0)
			_, asks := step(state, Tick{}, time.Hour)
			for _, ask := range asks {
				convey.So(ask.From, convey.ShouldNotEqual, Origin)
			}
		})
	})
	convey.Convey("A restarted host waits for its neighbours' bitmaps before it asks the origin", t, func() {
		state := New(testSettings, ranked(0), weights.NewSet(testChunks), []string{"a"}, testStart)
		_, asks := step(state, Tick{}, newsPatience-1)
		convey.So(asks, convey.ShouldBeEmpty)
		_, asks = step(state, Tick{}, newsPatience)
		convey.So(len(asks), convey.ShouldEqual, testSettings.OriginWindow)
	})
	convey.Convey("Rank zero reads are spread in the order of the chunks", t, func() {
		settings := testSettings
		settings.OriginSpread, settings.OriginWindow = testOriginTime, testChunks
		state := New(settings, ranked(0), weights.NewSet(testChunks), nil, testStart)
		_, asks := step(state, Tick{}, testOriginTime/2)
		convey.So(len(asks), convey.ShouldEqual, testChunks/2+1)
	})
}

// Guards against a last chunk that waits for a frozen sender, and against
// duplicates that take the upload of others.
func TestOneDuplicate(t *testing.T) {
	convey.Convey("Given the last chunk asked of one of three holders", t, func() {
		state := New(testSettings, ranked(9), allBut(5), []string{"a", "b", "c"}, testStart)
		for _, name := range []string{"a", "b", "c"} {
			state, _ = step(state, holding(name, 5), 0)
		}
		convey.So(state.RequestsFor(5), convey.ShouldEqual, 1)
		convey.Convey("it is not repeated at once", func() {
			_, asks := step(state, Tick{}, 10*time.Millisecond)
			convey.So(asks, convey.ShouldBeEmpty)
		})
		convey.Convey("it is repeated once, elsewhere", func() {
			first := state.requests[0].from
			state, asks := step(state, Tick{}, time.Second)
			convey.So(len(asks), convey.ShouldEqual, 1)
			convey.So(asks[0].From, convey.ShouldNotEqual, first)
			_, asks = step(state, Tick{}, time.Minute)
			convey.So(asks, convey.ShouldBeEmpty)
		})
	})
}

// swarm runs several states against each other with messages in any order.
type swarm struct {
	names  []string
	states map[string]State
	live   map[string]bool
	asked  map[string][]Request
	reads  map[int]int
	now    time.Time
	random *rand.Rand
}

func newSwarm(count int) *swarm {
	all := &swarm{states: map[string]State{}, live: map[string]bool{}, asked: map[string][]Request{}, reads: map[int]int{}, now: testStart, random: rand.New(rand.NewPCG(1, 2))}
	for at := range count {
		all.names = append(all.names, fmt.Sprintf("h%d", at))
	}
	for at, name := range all.names {
		ranks := make([]int, testChunks)
		var others []string
		for chunk := range ranks {
			ranks[chunk] = (at + chunk) % count
		}
		for _, other := range all.names {
			if other != name {
				others = append(others, other)
			}
		}
		all.states[name] = New(testSettings, ranks, weights.NewSet(testChunks), others, testStart)
		all.live[name] = true
	}
	return all
}

// originAllowed is the rule of the policy, written apart from the code.
func originAllowed(rank int) time.Time {
	if rank == 0 {
		return testStart
	}
	return testStart.Add(testOriginTime * time.Duration(rank+1))
}

// step delivers a message and checks the requests that follow from it.
func (all *swarm) step(t *rapid.T, name string, message Event) {
	if !all.live[name] {
		return
	}
	var asks []Request
	all.states[name], asks = all.states[name].Step(message, all.now, all.random)
	state := all.states[name]
	for _, ask := range asks {
		switch {
		case state.Held().Has(ask.Chunk):
			t.Fatalf("%s asks for chunk %d that it holds", name, ask.Chunk)
		case state.RequestsFor(ask.Chunk) > 2:
			t.Fatalf("%s has %d requests for chunk %d", name, state.RequestsFor(ask.Chunk), ask.Chunk)
		case ask.From == Origin && all.now.Before(originAllowed(state.ranks[ask.Chunk])):
			t.Fatalf("%s asks the origin for chunk %d before its deadline", name, ask.Chunk)
		case ask.From == Origin && state.HasReliableHolder(ask.Chunk):
			t.Fatalf("%s asks the origin for chunk %d that a neighbour holds", name, ask.Chunk)
		case ask.From != Origin && !state.HasAnnounced(ask.From, ask.Chunk):
			t.Fatalf("%s asks %s for chunk %d that it did not announce", name, ask.From, ask.Chunk)
		}
	}
	all.asked[name] = append(all.asked[name], asks...)
	if state.InFlight() > testSettings.Window+testSettings.OriginWindow {
		t.Fatalf("%s has %d requests in flight", name, state.InFlight())
	}
	if len(all.asked[name]) != state.InFlight() {
		t.Fatalf("%s counts %d requests in flight, %d are", name, state.InFlight(), len(all.asked[name]))
	}
}

// answer ends one request. Only a correct chunk may become held.
func (all *swarm) answer(t *rapid.T, name string, at int, message func(Request) Event) {
	ask := all.asked[name][at]
	all.asked[name] = append(append([]Request(nil), all.asked[name][:at]...), all.asked[name][at+1:]...)
	before := all.states[name].Held().Has(ask.Chunk)
	event := message(ask)
	all.step(t, name, event)
	if _, correct := event.(ChunkReceived); !correct && !before && all.states[name].Held().Has(ask.Chunk) {
		t.Fatalf("%s holds chunk %d after %T", name, ask.Chunk, event)
	}
}

func received(ask Request) Event { return ChunkReceived(ask) }

func (all *swarm) announce(t *rapid.T, from, to string) {
	all.step(t, to, ChunksAnnounced{Neighbour: from, Snapshot: true, Held: all.states[from].Held()})
}

// finish lets everything succeed from now on and returns whether every live
// host becomes whole within the deadlines of all ranks.
func (all *swarm) finish(t *rapid.T) bool {
	for range 200 {
		all.now = all.now.Add(time.Second)
		missing := 0
		for _, name := range all.names {
			all.finishOne(t, name)
			if all.live[name] && !all.states[name].Held().Full() {
				missing++
			}
		}
		if missing == 0 {
			return true
		}
	}
	return false
}

func (all *swarm) finishOne(t *rapid.T, name string) {
	for _, other := range all.names {
		switch {
		case other == name:
		case all.live[name]:
			all.announce(t, name, other)
		default:
			all.step(t, other, NeighbourDisconnected{Neighbour: name})
		}
	}
	all.step(t, name, Tick{})
	for all.live[name] && len(all.asked[name]) > 0 {
		all.answer(t, name, 0, func(ask Request) Event {
			if ask.From == Origin || all.live[ask.From] {
				return ChunkReceived(ask)
			}
			return RequestFailed{Chunk: ask.Chunk, From: ask.From, Reason: Broken}
		})
	}
}

// Guards against decisions that break a bound of the policy or leave a host
// incomplete, under any order of announcements, failures and deaths.
func TestSwarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newSwarm(rapid.IntRange(2, 5).Draw(t, "hosts"))
		pick := rapid.SampledFrom(all.names)
		fail := func(reason FailureReason) func(*rapid.T) {
			return func(t *rapid.T) {
				name := pick.Draw(t, "host")
				if len(all.asked[name]) == 0 {
					return
				}
				at := rapid.IntRange(0, len(all.asked[name])-1).Draw(t, "request")
				all.answer(t, name, at, func(ask Request) Event {
					return RequestFailed{Chunk: ask.Chunk, From: ask.From, Reason: reason}
				})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				all.now = all.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				all.step(t, pick.Draw(t, "host"), Tick{})
			},
			"answer": func(t *rapid.T) {
				name := pick.Draw(t, "host")
				if len(all.asked[name]) > 0 {
					all.answer(t, name, rapid.IntRange(0, len(all.asked[name])-1).Draw(t, "request"), received)
				}
			},
			"announce": func(t *rapid.T) {
				from, to := pick.Draw(t, "from"), pick.Draw(t, "to")
				if from != to {
					all.announce(t, from, to)
				}
			},
			"lost": func(t *rapid.T) {
				all.step(t, pick.Draw(t, "host"), NeighbourDisconnected{Neighbour: pick.Draw(t, "peer")})
			},
			"die": func(t *rapid.T) {
				if name := pick.Draw(t, "host"); name != all.names[0] {
					all.live[name] = false
				}
			},
			"busy":    fail(Busy),
			"missing": fail(Missing),
			"broken":  fail(Broken),
			"wrong":   fail(WrongDigest),
		})
		if !all.finish(t) {
			t.Fatalf("a live host stays incomplete")
		}
	})
}
