// Package selections decides which chunks a host requests from which neighbours
// or from the origin. It is a pure state machine: time, randomness and events are
// arguments, and each step returns a new state with the requests to send.
//
// The host that ranks first for a chunk by rendezvous hash reads it from the
// origin. Later ranks do so only after their deadlines, and a host never does
// while it knows a reliable neighbour that holds the chunk. Between hosts, the
// chunk that the fewest neighbours hold is requested first.
//
// Two other designs were rejected: a coordinator that assigns chunks, because its
// loss would stop every transfer, and a fixed tree, because one slow host delays
// all hosts below it.
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
	// announcementTimeout bounds the wait for the neighbours' first announcements.
	// Neighbours that know the target answer within a few round trips, and a longer
	// wait for a dead one would delay the whole transfer.
	announcementTimeout = 500 * time.Millisecond

	// busyPauseFactor sets the pause after a sender with a full queue refused a
	// request, as a fraction of the mean request latency. A retry after this pause
	// succeeds as often as after a fixed 40 ms, with a quarter fewer refusals at
	// 60 hosts.
	busyPauseFactor = 0.5
	minBusyPause    = 20 * time.Millisecond
	initialBackoff  = time.Second
	maxBackoff      = 8 * time.Second

	// unreliableAfterFailures is the number of consecutive failures after which a
	// neighbour's chunks no longer keep the host from reading them from the origin.
	unreliableAfterFailures = 3

	// duplicateFactor is the multiple of the mean latency after which a request is
	// repeated at another neighbour, if no other chunk is left to request.
	duplicateFactor     = 2
	minDuplicateSeconds = 0.1
	latencySmoothing    = 0.1
)

type (
	// Settings are the constants of one transfer. Window bounds the requests in
	// flight to all neighbours, NeighbourWindow those to one neighbour and
	// OriginWindow those to the origin. OriginTime is the time in which the
	// origin's link, or the share of it that the policy allows, sends one copy.
	Settings struct {
		Window          int
		NeighbourWindow int
		OriginWindow    int
		OriginTime      time.Duration
		// OriginSpread is the time over which the origin reads of all hosts of rank
		// zero together are spread, in the order of the chunks.
		OriginSpread time.Duration
		// RankStep is the time between the origin deadlines of two consecutive ranks.
		// The deadline of rank one is OriginTime plus RankStep after the start.
		RankStep time.Duration
	}

	// State is the state of one transfer on this host. It is immutable: Step
	// returns the next state and leaves the receiver unchanged. The set requested
	// holds the chunks with a request in flight, and holderCounts the number of
	// neighbours that hold each chunk.
	State struct {
		settings       Settings
		ranks          []int
		started        time.Time
		held           weights.Set
		requested      weights.Set
		inFlight       []inFlightRequest
		holderCounts   []uint16
		neighbourNames []string
		neighbours     map[string]neighbour

		latencySeconds float64
		originFailures int
		originRetryAt  time.Time
	}

	// neighbour is what this host knows of a neighbour. A neighbour that sent
	// content with a wrong digest is avoided for the rest of the transfer.
	neighbour struct {
		held        weights.Set
		announced   bool
		avoided     bool
		inFlight    int
		failures    int
		pausedUntil time.Time
	}

	inFlightRequest struct {
		chunk          int
		from           string
		sentAt         time.Time
		duplicateAfter time.Time
	}
)

// New returns the state of a transfer that starts now. ranks holds this host's
// rank for each chunk, and held the chunks that it has already.
func New(settings Settings, ranks []int, held weights.Set, neighbours []string, now time.Time) State {
	state := State{
		settings:       settings,
		ranks:          ranks,
		started:        now,
		held:           held,
		requested:      weights.NewSet(len(ranks)),
		holderCounts:   make([]uint16, len(ranks)),
		neighbourNames: slices.Sorted(slices.Values(neighbours)),
		neighbours:     map[string]neighbour{},
	}
	for _, name := range state.neighbourNames {
		state.neighbours[name] = neighbour{held: weights.NewSet(len(ranks))}
	}
	return state
}

// Held returns the chunks that the host holds.
func (state State) Held() weights.Set { return state.held }

// InFlight returns the number of requests in flight, including origin reads.
func (state State) InFlight() int { return len(state.inFlight) }

// RequestsFor returns the number of requests in flight for the chunk.
func (state State) RequestsFor(chunk int) int {
	count := 0
	for _, each := range state.inFlight {
		if each.chunk == chunk {
			count++
		}
	}
	return count
}

// HasAnnounced reports whether the neighbour has announced the chunk.
func (state State) HasAnnounced(name string, chunk int) bool {
	return state.neighbours[name].held.Has(chunk)
}

// HasReliableHolder reports whether a reliable neighbour holds the chunk: one that
// is not avoided and has not failed too often in a row.
func (state State) HasReliableHolder(chunk int) bool { return state.reliablyHeld().Has(chunk) }

// Step applies the event and returns the next state and the requests to send now.
func (state State) Step(event Event, now time.Time, random *rand.Rand) (State, []Request) {
	switch event := event.(type) {
	case Tick:
	case ChunksAnnounced:
		state = state.withAnnounced(event)
	case NeighbourDisconnected:
		state = state.withDisconnected(event.Neighbour)
	case ChunkReceived:
		state = state.withReceived(event, now)
	case RequestFailed:
		state = state.withFailed(event, now, random)
	case ChunkEvicted:
		state.held = state.held.Without(event.Chunk)
	default:
		panic(fmt.Sprintf("selections: unknown event %T", event))
	}
	return state.selectRequests(now, random)
}

func (state State) withNeighbour(name string, changed neighbour) State {
	state.neighbours = maps.Clone(state.neighbours)
	state.neighbours[name] = changed
	return state
}

// withHeldBy replaces the chunks that a neighbour holds and updates holderCounts.
func (state State) withHeldBy(name string, held weights.Set) State {
	changed := state.neighbours[name]
	holderCounts := slices.Clone(state.holderCounts)
	for _, chunk := range held.Minus(changed.held).Indices() {
		holderCounts[chunk]++
	}
	for _, chunk := range changed.held.Minus(held).Indices() {
		holderCounts[chunk]--
	}
	changed.held = held
	changed.announced = true
	state.holderCounts = holderCounts
	return state.withNeighbour(name, changed)
}

func (state State) withAnnounced(event ChunksAnnounced) State {
	changed, known := state.neighbours[event.Neighbour]
	if !known {
		return state
	}
	held := changed.held
	if event.Snapshot {
		held = event.Held
	}
	if held.Size() != state.held.Size() {
		return state
	}
	return state.withHeldBy(event.Neighbour, held.With(event.Added...))
}

func (state State) withDisconnected(name string) State {
	if _, known := state.neighbours[name]; !known {
		return state
	}
	return state.withHeldBy(name, weights.NewSet(state.held.Size()))
}

// withoutRequest removes a request and returns when it was sent, or the zero time
// if there is no such request.
func (state State) withoutRequest(chunk int, from string) (State, time.Time) {
	index := slices.IndexFunc(state.inFlight, func(each inFlightRequest) bool { return each.chunk == chunk && each.from == from })
	if index < 0 {
		return state, time.Time{}
	}
	sentAt := state.inFlight[index].sentAt
	state.inFlight = slices.Delete(slices.Clone(state.inFlight), index, index+1)
	if state.RequestsFor(chunk) == 0 {
		state.requested = state.requested.Without(chunk)
	}
	if changed, known := state.neighbours[from]; known {
		changed.inFlight--
		state = state.withNeighbour(from, changed)
	}
	return state, sentAt
}

func (state State) withReceived(event ChunkReceived, now time.Time) State {
	state, sentAt := state.withoutRequest(event.Chunk, event.From)
	state.held = state.held.With(event.Chunk)
	if event.From == Origin {
		state.originFailures = 0
		return state
	}
	if !sentAt.IsZero() {
		state.latencySeconds += latencySmoothing * (now.Sub(sentAt).Seconds() - state.latencySeconds)
	}
	if changed, known := state.neighbours[event.From]; known && changed.failures > 0 {
		changed.failures = 0
		state = state.withNeighbour(event.From, changed)
	}
	return state
}

func (state State) withFailed(event RequestFailed, now time.Time, random *rand.Rand) State {
	state, _ = state.withoutRequest(event.Chunk, event.From)
	if event.From == Origin {
		state.originFailures++
		state.originRetryAt = now.Add(backoff(state.originFailures, random))
		return state
	}
	changed, known := state.neighbours[event.From]
	if !known {
		return state
	}
	switch event.Reason {
	case Busy:
		pause := max(minBusyPause, time.Duration(busyPauseFactor*state.latencySeconds*float64(time.Second)))
		changed.pausedUntil = now.Add(pause/2 + time.Duration(random.Int64N(int64(pause))))
	case Missing:
		return state.withHeldBy(event.From, changed.held.Without(event.Chunk))
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

// backoff returns the pause after a number of consecutive failures. It doubles
// with each failure and is jittered, so that hosts that failed together do not
// retry together.
func backoff(failures int, random *rand.Rand) time.Duration {
	pause := min(initialBackoff<<min(failures-1, 10), maxBackoff)
	return pause/2 + time.Duration(random.Int64N(int64(pause)))
}

// WithNeighbours returns the state after a change of the participating hosts.
// Neighbours that remain keep their announced chunks.
func (state State) WithNeighbours(ranks []int, names []string) State {
	changed := New(state.settings, ranks, state.held, names, state.started)
	for _, name := range changed.neighbourNames {
		kept, known := state.neighbours[name]
		if !known {
			continue
		}
		changed.neighbours[name] = kept
		for _, chunk := range kept.held.Indices() {
			changed.holderCounts[chunk]++
		}
	}
	changed.requested = state.requested
	changed.inFlight = state.inFlight
	changed.latencySeconds = state.latencySeconds
	changed.originFailures = state.originFailures
	changed.originRetryAt = state.originRetryAt
	return changed
}
