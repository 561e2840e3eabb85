package gateways

// This file estimates when a caller first sent a request. Callers state only the
// time that they have left. A retry has less of it than the first attempt, so the
// difference from the largest time seen on the route is the time already spent.

import (
	"sync"
	"time"
)

// maxTrackedRoutes bounds the routes whose largest caller timeout is remembered.
const maxTrackedRoutes = 4096

// callerTimeouts remembers the largest timeout that callers of each route state,
// which is what they have on their first attempt. A retry has less time left. It
// is safe for concurrent use.
type callerTimeouts struct {
	mutex   sync.Mutex
	largest map[string]time.Duration
}

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{largest: map[string]time.Duration{}}
}

// elapsed returns how much time a caller with this timeout has spent since its
// first attempt. It returns zero if the caller stated no timeout.
func (timeouts *callerTimeouts) elapsed(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	timeouts.mutex.Lock()
	defer timeouts.mutex.Unlock()
	largest := timeouts.largest[route]
	if timeout <= largest {
		return largest - timeout
	}
	if len(timeouts.largest) < maxTrackedRoutes {
		timeouts.largest[route] = timeout
	}
	return 0
}
