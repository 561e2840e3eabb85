// Package selections decides which chunk a host asks of which neighbour or of
// the origin. It is a pure state machine: time, randomness and messages are
// arguments, and each step returns a new state with the requests to send.
//
// A chunk is fetched from the origin by the host that ranks first for it by
// rendezvous hash, by later ranks only after their deadlines, and by nobody who
// knows a neighbour that holds it. Between hosts, the chunk that the fewest
// neighbours hold goes first. A coordinator that assigns chunks was dropped,
// because its loss would stop every transfer; a fixed tree was dropped, because
// one slow host delays all hosts below it.
package selections

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"firford/lib/weights"
)

const (
	// Neighbours that know the target answer within a few round trips. Waiting
	// longer than this for a dead one would delay the whole transfer.
	newsPatience = 500 * time.Millisecond

	// A sender refuses while its queue is full. Asking it again after this part
	// of the usual latency finds a free place as often as after a fixed 40 ms, with
	// a quarter fewer refusals at 60 hosts.
	busyPart       = 0.5
	leastBusyPause = 20 * time.Millisecond
	brokenPause    = time.Second
	maxBrokenPause = 8 * time.Second

	// After this many failures in a row a neighbour's chunks no longer keep the
	// host from the origin.
	unreliableFailures = 3

	// A request is repeated elsewhere when it takes this many times the usual
	// time and nothing else is left to ask for.
	duplicateFactor = 2
	minDuplicateS   = 0.1
	latencyWeight   = 0.1
)

type (
	// Settings are the constants of one transfer. OriginTime is the time in which
	// the origin's link, or the share of it that the policy allows, sends one copy.
	Settings struct {
		Window          int
		NeighbourWindow int
		OriginWindow    int
		OriginTime      time.Duration
		// OriginSpread is the time over which the reads of all rank zero hosts together
		// are spread, in the order of the chunks.
		OriginSpread time.Duration
		// RankStep is the time between the deadlines of two ranks, the first of
		// which after rank zero ends RankStep after OriginTime.
		RankStep time.Duration
	}

	// State is one transfer as this host sees it. It is immutable: Step returns
	// the next state and leaves the receiver as it was.
	State struct {
		settings   Settings
		ranks      []int
		started    time.Time
		held       weights.Set
		requested  weights.Set
		requests   []inFlightRequest
		counts     []uint16
		names      []string
		neighbours map[string]neighbour

		latencyS       float64
		originFailures int
		originRetry    time.Time
	}

	neighbour struct {
		has         weights.Set
		heard       bool
		avoided     bool
		asked       int
		failures    int
		pausedUntil time.Time
	}

	inFlightRequest struct {
		chunk         int
		from          string
		asked         time.Time
		duplicateFrom time.Time
	}
)

// New returns the state of a transfer that starts now. Ranks holds this host's
// rank for each chunk; held are the chunks that it has already.
func New(settings Settings, ranks []int, held weights.Set, neighbours []string, now time.Time) State {
	state := State{
		settings:   settings,
		ranks:      ranks,
		started:    now,
		held:       held,
		requested:  weights.NewSet(len(ranks)),
		counts:     make([]uint16, len(ranks)),
		names:      slices.Sorted(slices.Values(neighbours)),
		neighbours: map[string]neighbour{},
	}
	for _, name := range state.names {
		state.neighbours[name] = neighbour{has: weights.NewSet(len(ranks))}
	}
	return state
}

// Held returns the chunks that the host holds.
func (state State) Held() weights.Set { return state.held }

// InFlight returns the number of requests without a result.
func (state State) InFlight() int { return len(state.requests) }

// RequestsFor returns the number of requests for the chunk without a result.
func (state State) RequestsFor(chunk int) int {
	count := 0
	for _, each := range state.requests {
		if each.chunk == chunk {
			count++
		}
	}
	return count
}

// HasAnnounced reports whether the neighbour has announced the chunk.
func (state State) HasAnnounced(name string, chunk int) bool {
	return state.neighbours[name].has.Has(chunk)
}

// HasReliableHolder reports whether a neighbour that delivers holds the chunk.
func (state State) HasReliableHolder(chunk int) bool { return state.reliable().Has(chunk) }

// Step applies the message and returns the requests to send now.
func (state State) Step(event Event, now time.Time, random *rand.Rand) (State, []Request) {
	switch event := event.(type) {
	case Tick:
	case ChunksAnnounced:
		state = state.withAnnounced(event)
	case NeighbourDisconnected:
		state = state.withLost(event.Neighbour)
	case ChunkReceived:
		state = state.withReceived(event, now)
	case RequestFailed:
		state = state.withFailed(event, now, random)
	case ChunkEvicted:
		state.held = state.held.Without(event.Chunk)
	default:
		panic(fmt.Sprintf("selections: unknown event %T", event))
	}
	return state.choose(now, random)
}

func (state State) withNeighbour(name string, changed neighbour) State {
	state.neighbours = maps.Clone(state.neighbours)
	state.neighbours[name] = changed
	return state
}

// withHas replaces the chunks of a neighbour and corrects the counts.
func (state State) withHas(name string, has weights.Set) State {
	changed := state.neighbours[name]
	counts := slices.Clone(state.counts)
	for _, chunk := range has.Minus(changed.has).Indices() {
		counts[chunk]++
	}
	for _, chunk := range changed.has.Minus(has).Indices() {
		counts[chunk]--
	}
	changed.has = has
	changed.heard = true
	state.counts = counts
	return state.withNeighbour(name, changed)
}

func (state State) withAnnounced(event ChunksAnnounced) State {
	changed, known := state.neighbours[event.Neighbour]
	if !known {
		return state
	}
	has := changed.has
	if event.Snapshot {
		has = event.Held
	}
	if has.Size() != state.held.Size() {
		return state
	}
	return state.withHas(event.Neighbour, has.With(event.Added...))
}

func (state State) withLost(name string) State {
	if _, known := state.neighbours[name]; !known {
		return state
	}
	return state.withHas(name, weights.NewSet(state.held.Size()))
}

// withEnded forgets a request and returns when it was asked.
func (state State) withEnded(chunk int, from string) (State, time.Time) {
	at := slices.IndexFunc(state.requests, func(each inFlightRequest) bool { return each.chunk == chunk && each.from == from })
	if at < 0 {
		return state, time.Time{}
	}
	asked := state.requests[at].asked
	state.requests = slices.Delete(slices.Clone(state.requests), at, at+1)
	if state.RequestsFor(chunk) == 0 {
		state.requested = state.requested.Without(chunk)
	}
	if changed, known := state.neighbours[from]; known {
		changed.asked--
		state = state.withNeighbour(from, changed)
	}
	return state, asked
}

func (state State) withReceived(event ChunkReceived, now time.Time) State {
	state, asked := state.withEnded(event.Chunk, event.From)
	state.held = state.held.With(event.Chunk)
	if event.From == Origin {
		state.originFailures = 0
		return state
	}
	if !asked.IsZero() {
		state.latencyS += latencyWeight * (now.Sub(asked).Seconds() - state.latencyS)
	}
	if changed, known := state.neighbours[event.From]; known && changed.failures > 0 {
		changed.failures = 0
		state = state.withNeighbour(event.From, changed)
	}
	return state
}

func (state State) withFailed(event RequestFailed, now time.Time, random *rand.Rand) State {
	state, _ = state.withEnded(event.Chunk, event.From)
	if event.From == Origin {
		state.originFailures++
		state.originRetry = now.Add(backoff(state.originFailures, random))
		return state
	}
	changed, known := state.neighbours[event.From]
	if !known {
		return state
	}
	switch event.Reason {
	case Busy:
		pause := max(leastBusyPause, time.Duration(busyPart*state.latencyS*float64(time.Second)))
		changed.pausedUntil = now.Add(pause/2 + time.Duration(random.Int64N(int64(pause))))
	case Missing:
		return state.withHas(event.From, changed.has.Without(event.Chunk))
	case WrongDigest:
		changed.avoided = true
		changed.failures++
		changed.pausedUntil = now.Add(backoff(changed.failures, random))
	case Broken:
		changed.failures++
		changed.pausedUntil = now.Add(backoff(changed.failures, random))
	default:
		panic(fmt.Sprintf("selections: unknown reason %d", event.Reason))
	}
	return state.withNeighbour(event.From, changed)
}

// backoff doubles with each failure and is jittered, so that hosts that failed
// together do not ask again together.
func backoff(failures int, random *rand.Rand) time.Duration {
	pause := min(brokenPause<<min(failures-1, 10), maxBrokenPause)
	return pause/2 + time.Duration(random.Int64N(int64(pause)))
}

// WithNeighbours returns the state after a change of the hosts that take part.
// Neighbours that stay keep what they announced.
func (state State) WithNeighbours(ranks []int, names []string) State {
	changed := New(state.settings, ranks, state.held, names, state.started)
	for _, name := range changed.names {
		kept, known := state.neighbours[name]
		if !known {
			continue
		}
		changed.neighbours[name] = kept
		for _, chunk := range kept.has.Indices() {
			changed.counts[chunk]++
		}
	}
	changed.requested = state.requested
	changed.requests = state.requests
	changed.latencyS = state.latencyS
	changed.originFailures = state.originFailures
	changed.originRetry = state.originRetry
	return changed
}
