package placements

// The fleet may send a service a fifth of its requests once more within any ten
// seconds, and a constant beside that. Entries don't ask each other, so each
// keeps to a share that holds for any number of them: part of its own requests,
// and a reserve that grows with its own rate and not with the time that passed.
// Streams that a change of version cuts are the usual need.

import (
	"math"
	"time"
)

const (
	// retryShare is the part of its requests that an entry may send once more.
	retryShare = 0.15
	// reserveShare is the part of the requests of a window that it may save up.
	reserveShare = 0.07
	// leastReserve lets an entry with few requests repeat at all; fourteen entries
	// spend half of the fleet's constant with it.
	leastReserve = 4
	// retryWindow is the time over which the fleet's retries are counted.
	retryWindow = 10 * time.Second
)

// RetryBudget is the number of requests that an entry may send once more to a
// service. It is immutable; the zero value is that of an entry that starts.
type RetryBudget struct {
	spent  float64
	recent float64
	at     time.Time
}

// WithRequest returns the retries after a request of a caller.
func (retries RetryBudget) WithRequest(now time.Time) RetryBudget {
	retries = retries.decayed(now)
	retries.recent++
	retries.spent = math.Max(0, retries.spent-retryShare)
	return retries
}

// WithRetry returns the retries after one was made, and whether it may be.
func (retries RetryBudget) WithRetry(now time.Time) (RetryBudget, bool) {
	retries = retries.decayed(now)
	if retries.spent+1 > retries.reserve() {
		return retries, false
	}
	retries.spent++
	return retries, true
}

// Remaining returns how many retries may be made now.
func (retries RetryBudget) Remaining(now time.Time) float64 {
	retries = retries.decayed(now)
	return math.Max(0, retries.reserve()-retries.spent)
}

func (retries RetryBudget) reserve() float64 {
	return math.Max(leastReserve, reserveShare*retries.recent)
}

// decayed returns the retries with the requests of the window before now, older
// ones counting less and less.
func (retries RetryBudget) decayed(now time.Time) RetryBudget {
	if !retries.at.IsZero() {
		retries.recent *= math.Exp(-now.Sub(retries.at).Seconds() / retryWindow.Seconds())
	}
	retries.at = now
	return retries
}
