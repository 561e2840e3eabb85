package requests

import (
	"sync"
	"time"

	"firford/lib/backends"
	"firford/lib/configurations"
)

// How long the number of live entries is cached. Counting them scans the whole
// list of hosts, and the list itself lags by more than this.
const liveEntriesTTL = time.Second

type (
	// liveEntryCount caches the number of live entries.
	liveEntryCount struct {
		query func() int

		mutex      sync.Mutex
		count      int
		validUntil time.Time
	}

	// limits enforces this entry's share of organisations' limits. Only
	// configured organisations have usage, so the size of the map is bounded.
	limits struct {
		mutex sync.Mutex
		usage map[string]*organisationUsage
	}

	organisationUsage struct {
		bucket   backends.TokenBucket
		inFlight int
	}
)

func (entries *liveEntryCount) get(now time.Time) int {
	entries.mutex.Lock()
	defer entries.mutex.Unlock()
	if now.After(entries.validUntil) {
		entries.count, entries.validUntil = entries.query(), now.Add(liveEntriesTTL)
	}
	return entries.count
}

func newLimits() *limits {
	return &limits{usage: map[string]*organisationUsage{}}
}

// admit counts a request of the organisation as in flight, or refuses it. The
// returned function ends the request.
func (limits *limits) admit(organisation configurations.Organisation, entries int, now time.Time) (release func(), refusal *NotRun) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	share := backends.NewLimitShare(organisation.RequestsPerSecond, organisation.InFlight, entries)
	usage, known := limits.usage[organisation.Name]
	if !known {
		usage = &organisationUsage{}
		limits.usage[organisation.Name] = usage
	}
	if share.InFlight > 0 && usage.inFlight >= share.InFlight {
		return nil, &NotRun{
			Code: CodeLimitReached, Message: "the organisation has too many requests in flight",
			RetryAt: now.Add(defaultRetryAfter),
		}
	}
	bucket, allowed, retryAt := usage.bucket.Take(share, now)
	usage.bucket = bucket
	if !allowed {
		return nil, &NotRun{
			Code: CodeLimitReached, Message: "the organisation sends more requests per second than its limit", RetryAt: retryAt,
		}
	}
	usage.inFlight++
	return func() {
		limits.mutex.Lock()
		defer limits.mutex.Unlock()
		usage.inFlight--
	}, nil
}
