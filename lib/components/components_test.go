package components

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

var errBroken = errors.New("broken")

// untilDone is a component that ends as it should.
func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a process that goes on without one of its components, and against one that
// loses the others, which it needs to stop in order.
func TestEndOfAComponentBeginsTheStop(t *testing.T) {
	for name, each := range map[string]struct {
		ended error
		text  string
	}{
		"with an error": {errBroken, "feed: broken"}, "without an error": {nil, "feed: ended without an error"},
	} {
		convey.Convey("Given a process one of whose components ends "+name, t, func() {
			core, logged := observer.New(zap.ErrorLevel)
			var othersRun bool
			var err error
			synctest.Test(t, func(t *testing.T) {
				group := New(t.Context(), zap.New(core))
				othersEnded := false
				group.Go("probes", func(ctx context.Context) error { defer func() { othersEnded = true }(); return untilDone(ctx) })
				group.Go("feed", func(context.Context) error { time.Sleep(time.Second); return each.ended })
				<-group.Stopping().Done()
				synctest.Wait()
				othersRun = !othersEnded
				err = group.End()
				group.awaitEnd(time.Now().Add(time.Second))
			})
			convey.So(othersRun, convey.ShouldBeTrue)
			convey.So(err.Error(), convey.ShouldEqual, each.text)
			convey.So(logged.FilterMessage("component ended").Len(), convey.ShouldEqual, 1)
		})
	}
}

// Guards against a process that was told to stop and takes the ends of its components for
// failures, and against one that runs on because a component does not end.
func TestStopAsTold(t *testing.T) {
	convey.Convey("Given a process that is told to stop, it stops without an error", t, func() {
		var err error
		var haveEnded bool
		synctest.Test(t, func(t *testing.T) {
			told, tell := context.WithCancel(t.Context())
			group := New(told, zap.NewNop())
			group.Loop("feed", func(ctx context.Context) { <-ctx.Done() })
			group.Go("probes", func(context.Context) error { <-group.Stopping().Done(); return errBroken })
			tell()
			<-group.Stopping().Done()
			err = group.End()
			haveEnded = group.awaitEnd(time.Now().Add(time.Second))
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(haveEnded, convey.ShouldBeTrue)
	})
	convey.Convey("Given a component that does not end, the wait is over at the deadline", t, func() {
		var took time.Duration
		var haveEnded bool
		synctest.Test(t, func(t *testing.T) {
			group := New(t.Context(), zap.NewNop())
			group.Go("stuck", func(context.Context) error { time.Sleep(time.Hour); return nil })
			started := time.Now()
			_ = group.End()
			haveEnded = group.awaitEnd(started.Add(time.Second))
			took = time.Since(started)
			time.Sleep(time.Hour) // Until the component has ended.
		})
		convey.So(took, convey.ShouldEqual, time.Second)
		convey.So(haveEnded, convey.ShouldBeFalse)
	})
}
