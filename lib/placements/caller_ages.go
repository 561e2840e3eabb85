package placements

// This file estimates when a caller first sent a request, from the timeout that it
// states. A caller that retries has less time left than it had at first. Callers of
// one route do not all begin with the same timeout, so a timeout below the largest
// one does not yet mean a retry: only what lies below the range of first attempts is
// time that the caller has already spent.

import (
	"slices"
	"time"
)

const (
	// timeoutsPerWindow is the number of stated timeouts from which one estimate of the
	// shortest first timeout is made.
	timeoutsPerWindow = 48
	// retriesPerWindow is the number of shortest timeouts of a window that may belong to
	// retries: in a window without an overload, hardly more are retries.
	retriesPerWindow = 1
	// timeoutWindows is the number of windows whose estimates are kept. The largest one
	// counts: during an overload, the shortest timeouts of a window are all retries.
	timeoutWindows = 32
)

// StatedTimeouts estimates the shortest timeout that callers of a route state at
// their first attempt. It is immutable; the zero value knows no timeouts.
type StatedTimeouts struct {
	window    []time.Duration
	estimates []time.Duration
	shortest  time.Duration
}

// With returns the estimate after one more stated timeout.
func (timeouts StatedTimeouts) With(timeout time.Duration) StatedTimeouts {
	timeouts.window = append(slices.Clone(timeouts.window), timeout)
	if len(timeouts.window) < timeoutsPerWindow {
		return timeouts
	}
	slices.Sort(timeouts.window)
	estimates := append(slices.Clone(timeouts.estimates), timeouts.window[retriesPerWindow])
	if len(estimates) > timeoutWindows {
		estimates = estimates[1:]
	}
	return StatedTimeouts{estimates: estimates, shortest: slices.Max(estimates)}
}

// Elapsed returns how much time a caller that states this timeout has spent since its
// first attempt at least, zero as long as too few timeouts are known.
func (timeouts StatedTimeouts) Elapsed(timeout time.Duration) time.Duration {
	return max(0, timeouts.shortest-timeout)
}
