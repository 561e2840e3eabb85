package backends

// Retries multiply the load of a fleet that is already in trouble. The budget
// ties them to the requests that succeed in arriving at all: one retry for each
// ten requests. A limit for each request was dropped because it still allows
// every request to be sent several times during an outage.

import (
	"math"
	"time"
)

const (
	retryShare = 0.1
	// The constant lets an entry with few requests retry at all.
	retryConstant = 10
	maxRetries    = 100
)

type (
	// RetryBudget is the number of retries that an entry may make. It is immutable.
	RetryBudget struct {
		left float64
	}

	// LimitShare is an entry's part of an organisation's limits, with the burst that it
	// lets pass. Zero means that there is no limit.
	LimitShare struct {
		RequestsPerSecond float64
		Burst             int
		InFlight          int
	}

	// TokenBucket is a token bucket whose content is known at a point in time. It is
	// immutable; the zero value is a full bucket.
	TokenBucket struct {
		tokens float64
		at     time.Time
	}
)

// NewRetryBudget returns the budget of an entry that starts.
func NewRetryBudget() RetryBudget {
	return RetryBudget{left: retryConstant}
}

// WithRequest returns the budget after a request of a caller.
func (budget RetryBudget) WithRequest() RetryBudget {
	return RetryBudget{left: math.Min(maxRetries, budget.left+retryShare)}
}

// WithRetry returns the budget after a retry, and whether there may be one.
func (budget RetryBudget) WithRetry() (RetryBudget, bool) {
	if budget.left < 1 {
		return budget, false
	}
	return RetryBudget{left: budget.left - 1}, true
}

// NewLimitShare divides an organisation's limits by the number of live entries. The
// burst is one second of the share, because callers don't arrive evenly.
func NewLimitShare(requestsPerSecond float64, inFlight, entries int) LimitShare {
	entries = max(1, entries)
	share := LimitShare{RequestsPerSecond: requestsPerSecond / float64(entries)}
	if requestsPerSecond > 0 {
		share.Burst = max(1, int(math.Ceil(share.RequestsPerSecond)))
	}
	if inFlight > 0 {
		share.InFlight = max(1, int(math.Ceil(float64(inFlight)/float64(entries))))
	}
	return share
}

// Take returns the pace after one request at the time now. A request above the
// share is refused and may come back at the returned time.
func (pace TokenBucket) Take(share LimitShare, now time.Time) (after TokenBucket, allowed bool, retryAt time.Time) {
	if share.RequestsPerSecond <= 0 {
		return pace, true, time.Time{}
	}
	burst := float64(share.Burst)
	tokens := burst
	if !pace.at.IsZero() {
		tokens = math.Min(burst, pace.tokens+now.Sub(pace.at).Seconds()*share.RequestsPerSecond)
	}
	if tokens < 1 {
		wait := (1 - tokens) / share.RequestsPerSecond
		// A millisecond more, so that rounding does not name a time before the token.
		return TokenBucket{tokens: tokens, at: now}, false, now.Add(time.Duration(wait*float64(time.Second)) + time.Millisecond)
	}
	return TokenBucket{tokens: tokens - 1, at: now}, true, time.Time{}
}
