package placements

// This file keeps requests away from the servers of evacuated data centres. The rule is
// applied when a server is chosen, and right before the request is sent. Requests that run
// there already continue.

import (
	"slices"
	"time"
)

type (
	// EvacuationChanges are the data centres whose evacuation began or ended, sorted.
	EvacuationChanges struct{ Began, Ended []string }

	// evacuations are the evacuated data centres, sorted, and when those that were
	// evacuated before were last released.
	evacuations struct {
		active  []string
		endedAt map[string]time.Time
	}
)

func (known evacuations) isEmpty() bool { return len(known.active) == 0 }

// SetEvacuations replaces the evacuated data centres and returns what changed.
func (fleet *Fleet) SetEvacuations(dataCentres []string, now time.Time) EvacuationChanges {
	known := fleet.evacuations
	next := evacuations{active: slices.Sorted(slices.Values(dataCentres)), endedAt: map[string]time.Time{}}
	var changes EvacuationChanges
	for dataCentre, at := range known.endedAt {
		if !slices.Contains(next.active, dataCentre) {
			next.endedAt[dataCentre] = at
		}
	}
	for _, dataCentre := range known.active {
		if !slices.Contains(next.active, dataCentre) {
			next.endedAt[dataCentre] = now
			changes.Ended = append(changes.Ended, dataCentre)
		}
	}
	for _, dataCentre := range next.active {
		if !slices.Contains(known.active, dataCentre) {
			changes.Began = append(changes.Began, dataCentre)
		}
	}
	fleet.evacuations = next
	return changes
}

// EvacuationEndedAt returns when the evacuation of the data centre ended, or false if it
// was never evacuated or still is, as far as this entry knows.
func (fleet *Fleet) EvacuationEndedAt(dataCentre string) (time.Time, bool) {
	at, hasEnded := fleet.evacuations.endedAt[dataCentre]
	return at, hasEnded
}

// isEvacuated reports whether the data centre of the server is evacuated.
func (fleet *Fleet) isEvacuated(server Server) bool {
	return slices.Contains(fleet.evacuations.active, server.DataCentre)
}

// RefuseOutOfReach removes from the queues the requests that no server may receive any
// more, and returns their refusals. Others go to the servers that are left.
func (dispatcher *Dispatcher) RefuseOutOfReach(now time.Time) []Refusal {
	var refusals []Refusal
	for _, queue := range dispatcher.queues {
		for _, waiter := range queue.Waiters() {
			if !dispatcher.fleet.isOutOfReach(waiter.Requirements) {
				continue
			}
			refusals = append(refusals, Refusal{Number: waiter.Number, Refused: dispatcher.Refuse(waiter, waiter.Number, now)})
		}
	}
	return refusals
}
