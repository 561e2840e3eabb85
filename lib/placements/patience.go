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

// Hurry is what decides how long a request may wait. Asked is when its caller
// first asked, Target how long after that its first event is on time, and Pause
// the longest pause between two events. Deadline is when the caller gives up.
type Hurry struct {
	Asked    time.Time
	Target   time.Duration
	Pause    time.Duration
	Deadline time.Time
	// Began is set for a stream of which the caller has events.
	Began bool
	// Sent is set for a request that a server has had.
	Sent bool
}

// StartBy returns by when the request has to be placed. Late is set where it
// can't meet its target any more.
func (fleet *Fleet) StartBy(hurry Hurry, service string, now time.Time) (startBy time.Time, late bool) {
	if hurry.Began {
		// The caller is in the middle of a stream: it goes on within the longest pause.
		return earlier(now.Add(hurry.Pause), hurry.Deadline), false
	}
	startBy = hurry.Asked.Add(fleet.Patience(service, hurry.Target))
	if !hurry.Sent && !startBy.Before(now) {
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
