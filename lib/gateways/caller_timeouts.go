package gateways

// This file remembers the timeouts that callers of each route state, from which
// lib/placements estimates when a caller first sent a request.

import (
	"sync"
	"time"

	"firford/lib/placements"
)

// maxTrackedRoutes bounds the routes whose timeouts are remembered.
const maxTrackedRoutes = 4096

// callerTimeouts holds the timeouts that callers of each route stated. It is safe for
// concurrent use.
type callerTimeouts struct {
	mutex  sync.Mutex
	routes map[string]placements.StatedTimeouts
}

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{routes: map[string]placements.StatedTimeouts{}}
}

// elapsed returns how much time a caller with this timeout has spent since its
// first attempt. It returns zero if the caller stated no timeout.
func (timeouts *callerTimeouts) elapsed(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	timeouts.mutex.Lock()
	defer timeouts.mutex.Unlock()
	stated, isTracked := timeouts.routes[route]
	if isTracked || len(timeouts.routes) < maxTrackedRoutes {
		timeouts.routes[route] = stated.With(timeout)
	}
	return stated.Elapsed(timeout)
}
