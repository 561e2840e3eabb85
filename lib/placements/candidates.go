package placements

// This file finds out why a server is not a candidate for a request. A refusal logs
// the counts, so that its cause can be read from the log alone: servers that are not in an
// allowed region, that are in an evacuated data centre, that are unavailable, that leave,
// that asked for no requests for a time, that serve an old version, that are full, that
// have stated a limit, that are cold, that would answer too late, or that have room only
// for requests with a stricter target.

import (
	"slices"
	"time"
)

type (
	// CandidateCounts counts the servers of a service by what excludes them for a
	// request. Usable servers could have taken it.
	CandidateCounts struct {
		Usable int
		// Forbidden servers are not in a region in which the request may be served.
		Forbidden int
		// Evacuated servers are in an evacuated data centre.
		Evacuated int
		Leaving   int
		Deferred  int
		Closed    int
		Tried     int
		Outdated  int
		Full      int
		Limited   int
		Cold      int
		Slow      int
		// Outranked servers have room only for requests with a stricter target.
		Outranked int
	}

	// exclusion is the reason why a server is not a candidate for a request.
	exclusion int
)

const (
	eligible exclusion = iota
	// forbidden means that the server is not in an allowed region.
	forbidden
	// evacuated means that the data centre of the server is evacuated.
	evacuated
	// leaving means that the server leaves, by its own statement or by the platform's list.
	leaving
	// unavailable means that the server is closed or failing, or rejected a request just
	// now.
	unavailable
	// alreadyTried means that the request was already sent to the server.
	alreadyTried
	// deferred means that the server asked for no requests until some time.
	deferred
	// tooOld means that the server does not serve a version that may begin a request.
	tooOld
	// atCapacity means that the server has no free capacity.
	atCapacity
	// atLimit means that the server has stated a limit and this entry's share is used.
	atLimit
	// cold means that the server is cold and this entry's share of its bound is used.
	cold
	// tooSlow means that the server would answer too late.
	tooSlow
	// outranked means that the server has room only for requests with a stricter target.
	outranked
)

// CountCandidates counts the servers of the service by what excludes them for the
// request.
func (fleet *Fleet) CountCandidates(requirements Requirements, overcommit int, now time.Time) CandidateCounts {
	var counts CandidateCounts
	for _, id := range fleet.byService[requirements.Service] {
		exclusion, _ := fleet.exclusion(fleet.servers[id], requirements, overcommit, now)
		switch exclusion {
		case eligible:
			counts.Usable++
		case forbidden:
			counts.Forbidden++
		case evacuated:
			counts.Evacuated++
		case leaving:
			counts.Leaving++
		case deferred:
			counts.Deferred++
		case unavailable:
			counts.Closed++
		case alreadyTried:
			counts.Tried++
		case tooOld:
			counts.Outdated++
		case atCapacity:
			counts.Full++
		case atLimit:
			counts.Limited++
		case cold:
			counts.Cold++
		case tooSlow:
			counts.Slow++
		case outranked:
			counts.Outranked++
		}
	}
	return counts
}

// Servers returns the total number of servers.
func (counts CandidateCounts) Servers() int {
	return counts.Usable + counts.Forbidden + counts.Evacuated + counts.Leaving + counts.Deferred + counts.Closed + counts.Tried +
		counts.Outdated + counts.Full + counts.Limited + counts.Cold + counts.Slow + counts.Outranked
}

// IsStalled reports whether there are servers, but none can take requests at all, rather
// than being full, limited, cold or slow: they have restarted, load a version or are suspended. The
// wait for such servers does not depend on the number of requests that wait. If all servers
// leave, those that replace them may be listed soon.
func (counts CandidateCounts) IsStalled() bool {
	if counts.hasWarmServer() || counts.Cold > 0 {
		return false
	}
	return counts.Closed+counts.Outdated > 0 || counts.Leaving > 0 && counts.Deferred == 0
}

// IsExhausted reports whether the request was already sent to all servers that it may be
// sent to.
func (counts CandidateCounts) IsExhausted() bool {
	return counts.Tried > 0 && counts.Tried+counts.Forbidden+counts.Evacuated == counts.Servers()
}

// exclusion returns what excludes the server for the request, and the predicted time
// to its first event, zero for plain services.
func (fleet *Fleet) exclusion(state ServerState, requirements Requirements, overcommit int, now time.Time) (exclusion, time.Duration) {
	if !fleet.isAllowed(state.Server, requirements.Regions) {
		return forbidden, 0
	}
	if fleet.isEvacuated(state.Server) {
		return evacuated, 0
	}
	isTried := slices.Contains(requirements.Tried, state.Server.ID)
	stated := fleet.statedExclusion(state, now)
	switch {
	case stated == leaving:
		return leaving, 0
	case stated == deferred && !isTried:
		return deferred, 0
	case state.isUnavailable(now), stated == unavailable:
		return unavailable, 0
	case isTried:
		return alreadyTried, 0
	case !fleet.mayBegin(state, requirements, now, 0):
		return tooOld, 0
	case state.freeCapacity(overcommit, now) <= 0:
		return atCapacity, 0
	case !fleet.isWithinLimit(state.Server.ID, now):
		return atLimit, 0
	case !fleet.isWithinWarmup(state.Server.ID, now):
		return cold, 0
	}
	profile, isEngine := fleet.profiles[requirements.Service]
	if !isEngine || requirements.Model == "" {
		return eligible, 0
	}
	predicted, inTime := fleet.predictFirstEvent(profile, state, requirements, now)
	switch {
	case !fleet.mayBegin(state, requirements, now, predicted):
		return tooOld, predicted
	case !inTime:
		return tooSlow, predicted
	case !fleet.leavesRoom(profile, state, requirements, now):
		return outranked, predicted
	default:
		return eligible, predicted
	}
}

// statedExclusion returns what excludes the server for all requests, by its own
// statements and rejections and by the platform's list.
func (fleet *Fleet) statedExclusion(state ServerState, now time.Time) exclusion {
	if state.isLeaving() {
		return leaving
	}
	switch permission := fleet.availability[state.Server.ID].Permission(now).(type) {
	case MaySendAfterRestart:
		return leaving
	case MaySendFrom:
		if permission.Cause == Deferred {
			return deferred
		}
		return unavailable
	default:
		return eligible
	}
}

// mayBegin reports whether the server serves a version with which the request may still
// begin after the delay. The announced versions are looked up for each decision, since
// one may become due while the request waits.
func (fleet *Fleet) mayBegin(state ServerState, requirements Requirements, now time.Time, delay time.Duration) bool {
	if requirements.Model == "" {
		return true
	}
	version, isServed := state.versions(now)[requirements.Model]
	return isServed && version >= fleet.targets.MinVersion(requirements.Model, now.Add(delay))
}
