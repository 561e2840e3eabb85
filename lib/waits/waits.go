// Package waits holds waits that end early with a context, and compares the times at which
// they end.
package waits

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context ends, and reports whether the
// context has not ended. It does not wait if the duration is zero or negative.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Later returns the later one of two times.
func Later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// Earlier returns the earlier one of two times.
func Earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
