package placements

// How long a request may wait for a place.

import "time"

const (
	// lateWait is how long a request that can't meet its target any more may wait
	// for a place: it uses what the others leave, and hardly ever has to be refused
	// a second time.
	lateWait = 1500 * time.Millisecond
	// lateShare is the part of the time left that it may wait at most.
	lateShare = 0.4
)

// Urgency is what decides how long a request may wait. Asked is when its caller
// first asked, Target how long after that its first event is on time, and Pause
// the longest pause between two events. Deadline is when the caller gives up.
type Urgency struct {
	Arrived          time.Time
	FirstEventTarget time.Duration
	EventGap         time.Duration
	Deadline         time.Time
	// Streaming is set for a stream of which the caller has events.
	Streaming bool
	// Attempted is set for a request that a server has had.
	Attempted bool
}

// StartBy returns by when the request has to be placed. Late is set where it
// can't meet its target any more.
func (fleet *Fleet) StartBy(hurry Urgency, service string, now time.Time) (startBy time.Time, late bool) {
	if hurry.Streaming {
		// The caller is in the middle of a stream: it goes on within the longest pause.
		return earlier(now.Add(hurry.EventGap), hurry.Deadline), false
	}
	startBy = hurry.Arrived.Add(fleet.MaxWait(service, hurry.FirstEventTarget))
	if !hurry.Attempted && !startBy.Before(now) {
		return earlier(startBy, hurry.Deadline), false
	}
	wait := min(lateWait, time.Duration(lateShare*float64(hurry.Deadline.Sub(now))))
	return now.Add(wait), true
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
