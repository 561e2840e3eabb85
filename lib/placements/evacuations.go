package placements

// This file keeps requests away from the servers of evacuated data centres. The rule is
// applied when a server is chosen, and right before the request is sent. Requests that run
// there already continue.

import (
	"slices"
	"time"
)

type (
	// EvacuationChanges are the data centres whose evacuation began or ended, sorted, and
	// the servers of the latter that are cold now.
	EvacuationChanges struct {
		Began, Ended []string
		Cold         []ColdChange
	}

	// evacuations are the evacuated data centres, sorted.
	evacuations struct{ active []string }
)

func (known evacuations) isEmpty() bool { return len(known.active) == 0 }

// SetEvacuations replaces the evacuated data centres and returns what changed. Servers that
// got no requests for the time of an evacuation are cold after it.
func (fleet *Fleet) SetEvacuations(dataCentres []string, now time.Time) EvacuationChanges {
	known := fleet.evacuations
	next := evacuations{active: slices.Sorted(slices.Values(dataCentres))}
	var changes EvacuationChanges
	for _, dataCentre := range known.active {
		if !slices.Contains(next.active, dataCentre) {
			changes.Ended = append(changes.Ended, dataCentre)
			changes.Cold = append(changes.Cold, fleet.RecordReturn(dataCentre, now)...)
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
