package gateways

// This file applies evacuations of data centres to the requests that wait.

import (
	"time"

	"firford/lib/placements"
)

// SetEvacuations replaces the evacuated data centres and returns what changed. Waiting
// requests go to the servers that are left, or are refused at once if there are none.
func (queue *AdmissionQueue) SetEvacuations(dataCentres []string) placements.EvacuationChanges {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := time.Now()
	changes := queue.dispatcher.Fleet().SetEvacuations(dataCentres, now)
	queue.dispatchAll(now)
	queue.deliverRefusals(queue.dispatcher.RefuseOutOfReach(now))
	return changes
}
