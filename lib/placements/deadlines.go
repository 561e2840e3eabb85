package placements

// This file computes how long a request may wait for a reservation.

import (
	"time"

	"firford/lib/waits"
)

const (
	// maxLateWait bounds the wait of a request that can no longer meet its target: it
	// uses the capacity that the others leave, and hardly ever has to be refused a second
	// time.
	maxLateWait = 1500 * time.Millisecond
	// maxLateWaitShare is the largest fraction of its remaining time that it may wait.
	maxLateWaitShare = 0.4
)

// Urgency holds what decides how long a request may wait. FirstArrivedAt is when its
// caller first sent it, FirstEventTarget is how long after that its first event is on
// time, and EventGap is the longest pause allowed between two events. Deadline is when
// the caller gives up.
type Urgency struct {
	FirstArrivedAt   time.Time
	FirstEventTarget time.Duration
	EventGap         time.Duration
	Deadline         time.Time
	// Tokens is the length of its prompt, zero if unknown.
	Tokens int
	// Resumed is set for a stream of which the caller already has events.
	Resumed bool
	// Attempted is set for a request that was already sent to a server.
	Attempted bool
	// Refused is set for a request that got no reservation in time for its target.
	Refused bool
}

// PlacementDeadline returns the time by which the request has to be placed. Late is
// set if it can no longer meet its target.
func (fleet *Fleet) PlacementDeadline(urgency Urgency, service string, now time.Time) (startBy time.Time, late bool) {
	if urgency.Resumed {
		// The stream is in progress, so it has to go on within the longest allowed pause.
		return waits.Earlier(now.Add(urgency.EventGap), urgency.Deadline), false
	}
	startBy = urgency.FirstArrivedAt.Add(fleet.maxWait(urgency, service))
	if !urgency.Attempted && !urgency.Refused && !startBy.Before(now) {
		return waits.Earlier(startBy, urgency.Deadline), false
	}
	wait := min(maxLateWait, time.Duration(maxLateWaitShare*float64(urgency.Deadline.Sub(now))))
	return now.Add(wait), true
}

// maxWait returns how long the request may wait for a reservation and still be answered in
// time.
func (fleet *Fleet) maxWait(urgency Urgency, service string) time.Duration {
	if fleet.hasRanks(service) && urgency.Tokens > 0 {
		return fleet.maxRankedWait(service, urgency.FirstEventTarget, urgency.Tokens)
	}
	return fleet.MaxWait(service, urgency.FirstEventTarget)
}
