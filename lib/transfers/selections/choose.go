package selections

import (
	"math/rand/v2"
	"slices"
	"time"

	"firford/lib/weights"
)

// originDeadline returns when the host may ask the origin for the chunk, as
// long as no neighbour holds it. The origin serves rank zero within the time of
// one copy, and each later rank has one step to fetch what the ranks before it
// did not. Rank zero hosts ask in the order of the chunks: an origin that
// divides its link among all requests at once would otherwise finish the first
// chunk hardly earlier than the last.
func (state State) originDeadline(chunk int) time.Time {
	rank := state.ranks[chunk]
	if rank == 0 {
		return state.started.Add(state.settings.OriginSpread * time.Duration(chunk) / time.Duration(len(state.ranks)))
	}
	return state.started.Add(state.settings.OriginTime + state.settings.RankStep*time.Duration(rank))
}

// OriginAllowed reports whether the policy lets this host read the chunk from
// the origin at the time.
func (state State) OriginAllowed(chunk int, now time.Time) bool {
	return !now.Before(state.originDeadline(chunk))
}

// choose fills the windows with requests.
func (state State) choose(now time.Time, random *rand.Rand) (State, []Request) {
	if state.held.Full() {
		return state, nil
	}
	var asks []Request
	state, asks = state.askNeighbours(asks, now, random)
	state, asks = state.askOrigin(asks, now)
	if state.free() > 0 && state.requested.Union(state.held).Full() {
		state, asks = state.askAgain(asks, now, random)
	}
	return state, asks
}

// free returns how many more requests to neighbours may be sent.
func (state State) free() int {
	return state.settings.Window - len(state.requests) + state.askedOrigin()
}

func (state State) askedOrigin() int {
	count := 0
	for _, each := range state.requests {
		if each.from == Origin {
			count++
		}
	}
	return count
}

func (state State) withRequest(chunk int, from string, now time.Time) State {
	limit := max(minDuplicateS, duplicateFactor*state.latencyS)
	state.requests = append(slices.Clip(state.requests), inFlightRequest{
		chunk:         chunk,
		from:          from,
		asked:         now,
		duplicateFrom: now.Add(time.Duration(limit * float64(time.Second))),
	})
	state.requested = state.requested.With(chunk)
	if changed, known := state.neighbours[from]; known {
		changed.asked++
		state = state.withNeighbour(from, changed)
	}
	return state
}

// usable returns the neighbours that may be asked now.
func (state State) usable(avoided bool, now time.Time) []string {
	var names []string
	for _, name := range state.names {
		each := state.neighbours[name]
		if each.avoided == avoided && each.asked < state.settings.NeighbourWindow && !now.Before(each.pausedUntil) {
			names = append(names, name)
		}
	}
	return names
}

func (state State) union(names []string) weights.Set {
	all := weights.NewSet(state.held.Size())
	for _, name := range names {
		all = all.Union(state.neighbours[name].has)
	}
	return all
}

// reliable returns the chunks that any neighbour holds that delivers. A
// neighbour that announces chunks and never sends them must not keep this host
// from the origin.
func (state State) reliable() weights.Set {
	all := weights.NewSet(state.held.Size())
	for _, name := range state.names {
		if each := state.neighbours[name]; !each.avoided && each.failures < unreliableFailures {
			all = all.Union(each.has)
		}
	}
	return all
}

// askNeighbours asks for the rarest missing chunks. Avoided neighbours are
// asked only for chunks that no reliable neighbour holds, so that one corrupted
// chunk can't leave a transfer incomplete.
func (state State) askNeighbours(asks []Request, now time.Time, random *rand.Rand) (State, []Request) {
	for state.free() > 0 {
		wanted := state.held.Union(state.requested)
		names := state.usable(false, now)
		chunk, found := state.rarest(state.union(names).Minus(wanted), random)
		if !found {
			names = state.usable(true, now)
			if len(names) == 0 {
				return state, asks
			}
			chunk, found = state.rarest(state.union(names).Minus(wanted).Minus(state.reliable()), random)
		}
		if !found {
			return state, asks
		}
		from := state.holder(chunk, names, random)
		state = state.withRequest(chunk, from, now)
		asks = append(asks, Request{Chunk: chunk, From: from})
	}
	return state, asks
}

// rarest returns a random one of the chunks that the fewest neighbours hold.
func (state State) rarest(available weights.Set, random *rand.Rand) (chunk int, found bool) {
	equal := 0
	for _, each := range available.Indices() {
		switch {
		case !found || state.counts[each] < state.counts[chunk]:
			chunk, found, equal = each, true, 1
		case state.counts[each] == state.counts[chunk]:
			if equal++; random.IntN(equal) == 0 {
				chunk = each
			}
		}
	}
	return chunk, found
}

// holder returns a random one of the least asked neighbours that hold the chunk.
func (state State) holder(chunk int, names []string, random *rand.Rand) string {
	best, equal := "", 0
	for _, name := range names {
		each := state.neighbours[name]
		switch {
		case !each.has.Has(chunk):
		case best == "" || each.asked < state.neighbours[best].asked:
			best, equal = name, 1
		case each.asked == state.neighbours[best].asked:
			if equal++; random.IntN(equal) == 0 {
				best = name
			}
		}
	}
	return best
}

// heard reports whether the neighbours have told what they hold, or had their
// time to do so. A restarted host would otherwise read from the origin what all
// its neighbours have.
func (state State) heard(now time.Time) bool {
	if !now.Before(state.started.Add(newsPatience)) {
		return true
	}
	for _, each := range state.neighbours {
		if !each.heard {
			return false
		}
	}
	return true
}

func (state State) askOrigin(asks []Request, now time.Time) (State, []Request) {
	room := state.settings.OriginWindow - state.askedOrigin()
	if room <= 0 || now.Before(state.originRetry) || !state.heard(now) {
		return state, asks
	}
	available := state.reliable()
	for chunk := range state.ranks {
		if room == 0 {
			break
		}
		if available.Has(chunk) || state.held.Has(chunk) || state.requested.Has(chunk) || !state.OriginAllowed(chunk, now) {
			continue
		}
		state = state.withRequest(chunk, Origin, now)
		asks = append(asks, Request{Chunk: chunk, From: Origin})
		room--
	}
	return state, asks
}

// askAgain sends one duplicate of each request that takes unusually long, once
// every missing chunk has been asked for. More than one would take the upload
// of neighbours from hosts that miss more.
func (state State) askAgain(asks []Request, now time.Time, random *rand.Rand) (State, []Request) {
	for _, slow := range slices.Clone(state.requests) {
		if state.free() <= 0 {
			break
		}
		if now.Before(slow.duplicateFrom) || state.held.Has(slow.chunk) || state.RequestsFor(slow.chunk) > 1 {
			continue
		}
		names := slices.DeleteFunc(state.usable(false, now), func(name string) bool { return name == slow.from })
		from := state.holder(slow.chunk, names, random)
		if from == "" {
			continue
		}
		state = state.withRequest(slow.chunk, from, now)
		asks = append(asks, Request{Chunk: slow.chunk, From: from})
	}
	return state, asks
}
