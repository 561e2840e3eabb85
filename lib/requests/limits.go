package requests

import (
	"sync"
	"time"

	"firford/lib/backends"
	"firford/lib/configurations"
)

// The number of live entries is asked for once in this time. Counting them goes
// through the whole list of hosts, and the list itself lags by more.
const entriesAge = time.Second

type (
	// liveEntries remembers the number of live entries for a while.
	liveEntries struct {
		ask func() int

		mutex sync.Mutex
		count int
		until time.Time
	}

	// limits enforces this entry's share of organisations' limits. Only configured
	// organisations get here, so their number is bounded.
	limits struct {
		mutex sync.Mutex
		usage map[string]*organisationUsage
	}

	organisationUsage struct {
		pace     backends.TokenBucket
		inFlight int
	}
)

func (entries *liveEntries) at(now time.Time) int {
	entries.mutex.Lock()
	defer entries.mutex.Unlock()
	if now.After(entries.until) {
		entries.count, entries.until = entries.ask(), now.Add(entriesAge)
	}
	return entries.count
}

func newLimits() *limits {
	return &limits{usage: map[string]*organisationUsage{}}
}

// enter counts a request of the organisation, or refuses it. The returned
// function ends the request.
func (limits *limits) enter(organisation configurations.Organisation, entries int, now time.Time) (leave func(), refusal *NotRun) {
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
	pace, allowed, retryAt := usage.pace.Take(share, now)
	usage.pace = pace
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
