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

// callerTimeouts holds the timeouts that callers of each route stated. Once half of
// maxTrackedRoutes are recent, they become the former ones, and those that are not
// used again are forgotten with the next change. It is safe for concurrent use.
type callerTimeouts struct {
	mutex  sync.Mutex
	recent map[string]placements.StatedTimeouts
	former map[string]placements.StatedTimeouts
}

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{recent: map[string]placements.StatedTimeouts{}}
}

// elapsed returns how much time a caller with this timeout has spent since its
// first attempt. It returns zero if the caller stated no timeout.
func (timeouts *callerTimeouts) elapsed(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	timeouts.mutex.Lock()
	defer timeouts.mutex.Unlock()
	stated, isRecent := timeouts.recent[route]
	if !isRecent {
		stated = timeouts.former[route]
		timeouts.makeRoom()
	}
	timeouts.recent[route] = stated.With(timeout)
	return stated.Elapsed(timeout)
}

// makeRoom makes room for one more recent route. The caller holds the mutex.
func (timeouts *callerTimeouts) makeRoom() {
	if len(timeouts.recent) < maxTrackedRoutes/2 {
		return
	}
	timeouts.former = timeouts.recent
	timeouts.recent = map[string]placements.StatedTimeouts{}
}
