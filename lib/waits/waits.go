// Package waits holds waits that end early with a context.
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
