package placements

// This file limits retries. The fleet may send a service a fifth of its requests once
// more within any ten seconds, plus a constant. Entries do not coordinate, so each
// keeps to limits that hold for any number of entries: a fraction of its own requests,
// and a reserve that grows with its own request rate and not with the time that
// passed. Most retries are for streams that a version change interrupts.

import (
	"math"
	"time"
)

const (
	// retryShare is the fraction of its requests that an entry may retry.
	retryShare = 0.15
	// reserveShare is the fraction of a window's requests that it may save up.
	reserveShare = 0.07
	// minReserve lets an entry with few requests retry at all; fourteen entries spend
	// half of the fleet's constant with it.
	minReserve = 4
	// retryWindow is the time over which the fleet's retries are counted.
	retryWindow = 10 * time.Second
)

// RetryBudget limits how many requests an entry may send once more to a service. It
// is immutable; the zero value is the budget of an entry that has just started.
type RetryBudget struct {
	spent          float64
	recentRequests float64
	updatedAt      time.Time
}

// WithRequest returns the budget after a request of a caller.
func (budget RetryBudget) WithRequest(now time.Time) RetryBudget {
	budget = budget.decayed(now)
	budget.recentRequests++
	budget.spent = math.Max(0, budget.spent-retryShare)
	return budget
}

// WithRetry returns the budget after a retry, and whether the retry is allowed. If it
// is not, nothing is spent.
func (budget RetryBudget) WithRetry(now time.Time) (RetryBudget, bool) {
	budget = budget.decayed(now)
	if budget.spent+1 > budget.reserve() {
		return budget, false
	}
	budget.spent++
	return budget, true
}

// Remaining returns how many retries are allowed now.
func (budget RetryBudget) Remaining(now time.Time) float64 {
	budget = budget.decayed(now)
	return math.Max(0, budget.reserve()-budget.spent)
}

func (budget RetryBudget) reserve() float64 {
	return math.Max(minReserve, reserveShare*budget.recentRequests)
}

// decayed returns the budget at the time now: requests count less the longer ago they
// were, with retryWindow as the time constant.
func (budget RetryBudget) decayed(now time.Time) RetryBudget {
	if !budget.updatedAt.IsZero() {
		budget.recentRequests *= math.Exp(-now.Sub(budget.updatedAt).Seconds() / retryWindow.Seconds())
	}
	budget.updatedAt = now
	return budget
}
