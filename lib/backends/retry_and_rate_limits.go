package backends

// Retries multiply the load of a fleet that is already overloaded or failing. The
// retry budget therefore limits them to a share of the incoming requests: one
// retry for every ten requests. A limit per request was rejected because during an
// outage it still allows every request to be sent several times.
//
// An organisation's limits apply to the whole fleet, but each entry enforces them
// alone. Each entry gets an equal share, and a token bucket enforces its rate.

import (
	"math"
	"time"
)

const (
	retriesPerRequest = 0.1
	// initialRetries allows an entry that has had few requests to retry.
	initialRetries = 10
	maxRetries     = 100
)

type (
	// RetryBudget is the number of retries that an entry may still make. It is
	// immutable.
	RetryBudget struct {
		retries float64
	}

	// LimitShare is one entry's share of an organisation's limits. Burst is the
	// capacity of the token bucket, in requests. A zero field means no limit.
	LimitShare struct {
		RequestsPerSecond float64
		Burst             int
		InFlight          int
	}

	// TokenBucket is the state of a rate limiter: the number of tokens at a point in
	// time. It is immutable, and its zero value is a full bucket.
	TokenBucket struct {
		tokens    float64
		updatedAt time.Time
	}
)

// NewRetryBudget returns the budget of an entry that has just started.
func NewRetryBudget() RetryBudget {
	return RetryBudget{retries: initialRetries}
}

// WithRequest returns the budget after a request has arrived from a caller.
func (budget RetryBudget) WithRequest() RetryBudget {
	return RetryBudget{retries: math.Min(maxRetries, budget.retries+retriesPerRequest)}
}

// WithRetry returns the budget after a retry and true, or the unchanged budget and
// false when no retry is left.
func (budget RetryBudget) WithRetry() (RetryBudget, bool) {
	if budget.retries < 1 {
		return budget, false
	}
	return RetryBudget{retries: budget.retries - 1}, true
}

// NewLimitShare divides an organisation's limits by the number of live entries.
// The burst is the share of one second, because requests don't arrive evenly.
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

// Take returns the bucket after one request at the time now, and whether the
// request is allowed. A refused request may be sent again at retryAt.
func (bucket TokenBucket) Take(share LimitShare, now time.Time) (after TokenBucket, allowed bool, retryAt time.Time) {
	if share.RequestsPerSecond <= 0 {
		return bucket, true, time.Time{}
	}
	burst := float64(share.Burst)
	tokens := burst
	if !bucket.updatedAt.IsZero() {
		tokens = math.Min(burst, bucket.tokens+now.Sub(bucket.updatedAt).Seconds()*share.RequestsPerSecond)
	}
	if tokens < 1 {
		wait := (1 - tokens) / share.RequestsPerSecond
		// The added millisecond keeps rounding from naming a time before the next
		// token is available.
		return TokenBucket{tokens: tokens, updatedAt: now}, false, now.Add(time.Duration(wait*float64(time.Second)) + time.Millisecond)
	}
	return TokenBucket{tokens: tokens - 1, updatedAt: now}, true, time.Time{}
}
