package selections

// Each step fills the request windows: first with the rarest chunks that
// neighbours hold, then with origin reads whose deadline has passed, and at the
// end of a transfer with duplicates of slow requests.

import (
	"math/rand/v2"
	"slices"
	"time"

	"firford/lib/weights"
)

// originDeadline returns the time from which the host may read the chunk from
// the origin if no neighbour holds it. The origin serves the hosts of rank zero
// within the time of one copy. Each later rank waits one more RankStep, so that
// it reads only what the ranks before it did not. Hosts of rank zero read in the
// order of the chunks: an origin that divides its link among all requests at
// once would otherwise finish the first chunk hardly earlier than the last.
func (state State) originDeadline(chunk int) time.Time {
	rank := state.ranks[chunk]
	if rank == 0 {
		return state.started.Add(state.settings.OriginSpread * time.Duration(chunk) / time.Duration(len(state.ranks)))
	}
	return state.started.Add(state.settings.OriginTime + state.settings.RankStep*time.Duration(rank))
}

// OriginAllowed reports whether the policy allows this host to read the chunk
// from the origin at the given time.
func (state State) OriginAllowed(chunk int, now time.Time) bool {
	return !now.Before(state.originDeadline(chunk))
}

// selectRequests returns the requests that fill the free windows.
func (state State) selectRequests(now time.Time, random *rand.Rand) (State, []Request) {
	if state.held.Full() {
		return state, nil
	}
	var requests []Request
	state, requests = state.requestFromNeighbours(requests, now, random)
	state, requests = state.requestFromOrigin(requests, now)
	if state.freeWindow() > 0 && state.requested.Union(state.held).Full() {
		state, requests = state.requestDuplicates(requests, now, random)
	}
	return state, requests
}

// freeWindow returns how many more requests may be sent to neighbours. Origin
// reads have a window of their own.
func (state State) freeWindow() int {
	return state.settings.Window - len(state.inFlight) + state.originRequests()
}

// originRequests returns the number of origin reads in flight.
func (state State) originRequests() int {
	count := 0
	for _, each := range state.inFlight {
		if each.from == Origin {
			count++
		}
	}
	return count
}

// withRequest records a request that is sent now and the time from which a
// duplicate of it is allowed.
func (state State) withRequest(chunk int, from string, now time.Time) State {
	limit := max(minDuplicateSeconds, duplicateFactor*state.latencySeconds)
	state.inFlight = append(slices.Clip(state.inFlight), inFlightRequest{
		chunk:          chunk,
		from:           from,
		sentAt:         now,
		duplicateAfter: now.Add(time.Duration(limit * float64(time.Second))),
	})
	state.requested = state.requested.With(chunk)
	if changed, known := state.neighbours[from]; known {
		changed.inFlight++
		state = state.withNeighbour(from, changed)
	}
	return state
}

// eligible returns the neighbours that may be sent a request now: those with a
// free window that are not paused and whose avoided flag is as given.
func (state State) eligible(avoided bool, now time.Time) []string {
	var names []string
	for _, name := range state.neighbourNames {
		each := state.neighbours[name]
		if each.avoided == avoided && each.inFlight < state.settings.NeighbourWindow && !now.Before(each.pausedUntil) {
			names = append(names, name)
		}
	}
	return names
}

// heldByAny returns the chunks that at least one of the neighbours holds.
func (state State) heldByAny(names []string) weights.Set {
	all := weights.NewSet(state.held.Size())
	for _, name := range names {
		all = all.Union(state.neighbours[name].held)
	}
	return all
}

// reliablyHeld returns the chunks that at least one reliable neighbour holds.
// A neighbour that announces chunks and never sends them must not keep this host
// from the origin.
func (state State) reliablyHeld() weights.Set {
	all := weights.NewSet(state.held.Size())
	for _, name := range state.neighbourNames {
		if each := state.neighbours[name]; !each.avoided && each.failures < unreliableAfterFailures {
			all = all.Union(each.held)
		}
	}
	return all
}

// requestFromNeighbours requests the rarest missing chunks. Avoided neighbours
// get requests only for chunks that no reliable neighbour holds, so that one
// corrupted chunk can't leave a transfer incomplete.
func (state State) requestFromNeighbours(requests []Request, now time.Time, random *rand.Rand) (State, []Request) {
	for state.freeWindow() > 0 {
		wanted := state.held.Union(state.requested)
		names := state.eligible(false, now)
		chunk, found := state.rarest(state.heldByAny(names).Minus(wanted), random)
		if !found {
			names = state.eligible(true, now)
			if len(names) == 0 {
				return state, requests
			}
			chunk, found = state.rarest(state.heldByAny(names).Minus(wanted).Minus(state.reliablyHeld()), random)
		}
		if !found {
			return state, requests
		}
		from := state.leastLoadedHolder(chunk, names, random)
		state = state.withRequest(chunk, from, now)
		requests = append(requests, Request{Chunk: chunk, From: from})
	}
	return state, requests
}

// rarest returns a random chunk of those that the fewest neighbours hold.
func (state State) rarest(available weights.Set, random *rand.Rand) (chunk int, found bool) {
	equal := 0
	for _, each := range available.Indices() {
		switch {
		case !found || state.holderCounts[each] < state.holderCounts[chunk]:
			chunk, found, equal = each, true, 1
		case state.holderCounts[each] == state.holderCounts[chunk]:
			if equal++; random.IntN(equal) == 0 {
				chunk = each
			}
		}
	}
	return chunk, found
}

// leastLoadedHolder returns a random neighbour of those that hold the chunk and
// have the fewest requests in flight, or "" if none of the names holds it.
func (state State) leastLoadedHolder(chunk int, names []string, random *rand.Rand) string {
	best, equal := "", 0
	for _, name := range names {
		each := state.neighbours[name]
		switch {
		case !each.held.Has(chunk):
		case best == "" || each.inFlight < state.neighbours[best].inFlight:
			best, equal = name, 1
		case each.inFlight == state.neighbours[best].inFlight:
			if equal++; random.IntN(equal) == 0 {
				best = name
			}
		}
	}
	return best
}

// announcementsComplete reports whether every neighbour has announced its chunks
// or announcementTimeout has passed. Without this wait, a restarted host would
// read chunks from the origin that all its neighbours hold.
func (state State) announcementsComplete(now time.Time) bool {
	if !now.Before(state.started.Add(announcementTimeout)) {
		return true
	}
	for _, each := range state.neighbours {
		if !each.announced {
			return false
		}
	}
	return true
}

// requestFromOrigin reads missing chunks from the origin whose deadline has
// passed and that no reliable neighbour holds.
func (state State) requestFromOrigin(requests []Request, now time.Time) (State, []Request) {
	free := state.settings.OriginWindow - state.originRequests()
	if free <= 0 || now.Before(state.originRetryAt) || !state.announcementsComplete(now) {
		return state, requests
	}
	available := state.reliablyHeld()
	for chunk := range state.ranks {
		if free == 0 {
			break
		}
		if available.Has(chunk) || state.held.Has(chunk) || state.requested.Has(chunk) || !state.OriginAllowed(chunk, now) {
			continue
		}
		state = state.withRequest(chunk, Origin, now)
		requests = append(requests, Request{Chunk: chunk, From: Origin})
		free--
	}
	return state, requests
}

// requestDuplicates repeats each slow request once at another neighbour. It is
// called only when every missing chunk has been requested. More than one
// duplicate would take upload bandwidth from hosts that miss more chunks.
func (state State) requestDuplicates(requests []Request, now time.Time, random *rand.Rand) (State, []Request) {
	for _, slow := range slices.Clone(state.inFlight) {
		if state.freeWindow() <= 0 {
			break
		}
		if now.Before(slow.duplicateAfter) || state.held.Has(slow.chunk) || state.RequestsFor(slow.chunk) > 1 {
			continue
		}
		names := slices.DeleteFunc(state.eligible(false, now), func(name string) bool { return name == slow.from })
		from := state.leastLoadedHolder(slow.chunk, names, random)
		if from == "" {
			continue
		}
		state = state.withRequest(slow.chunk, from, now)
		requests = append(requests, Request{Chunk: slow.chunk, From: from})
	}
	return state, requests
}
