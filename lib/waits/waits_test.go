package waits

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against loops that wait on although their context has ended, that take the end
// of the context for the end of the wait, and that wait for a time that is over.
func TestSleepEndsWithItsContext(t *testing.T) {
	type wait struct {
		took     time.Duration
		complete bool
	}
	waits := map[string]wait{}
	synctest.Test(t, func(t *testing.T) {
		measure := func(name string, ctx context.Context, duration time.Duration) {
			began := time.Now()
			complete := Sleep(ctx, duration)
			waits[name] = wait{time.Since(began), complete}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		measure("zero", ctx, 0)
		measure("negative", ctx, -time.Second)
		measure("whole", ctx, 3*time.Second)
		measure("cut", ctx, time.Minute)
		measure("late", ctx, time.Minute)
		measure("late and zero", ctx, 0)
	})
	convey.Convey("A wait lasts its duration, but not longer than its context", t, func() {
		convey.So(waits, convey.ShouldResemble, map[string]wait{
			"zero": {0, true}, "negative": {0, true}, "whole": {3 * time.Second, true},
			"cut": {7 * time.Second, false}, "late": {0, false}, "late and zero": {0, false},
		})
	})
}
