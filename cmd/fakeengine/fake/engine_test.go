package fake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"firford/lib/invariants"
)

// Guards against a fake that is easier to work with than real engines: one that
// reports its current load, or publishes cache events at once and without gaps.
func TestPublishedStateIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		engine := New(ctx, DefaultSettings(), zap.NewNop(), invariants.NewForTest(func(name invariants.Name) { t.Errorf("violated: %s", name) }))
		_, refused := engine.submit(generateRequest{RequestID: "r", Prompt: string(make([]byte, 10*blockBytes)), MaxTokens: 200})
		time.Sleep(100 * time.Millisecond)
		early, earlyEvents := engine.status(), len(engine.cache.visibleEvents(0, time.Now()))
		time.Sleep(time.Second)
		late, events := engine.status(), engine.cache.visibleEvents(0, time.Now())
		convey.Convey("Load values and cache events appear after their lag, and some events are missing", t, func() {
			convey.So(refused, convey.ShouldBeNil)
			convey.So(early.Running, convey.ShouldEqual, 0)
			convey.So(late.Running, convey.ShouldEqual, 1)
			convey.So(earlyEvents, convey.ShouldEqual, 0)
			convey.So(events, convey.ShouldHaveLength, 9)
			convey.So(events[6].Sequence, convey.ShouldEqual, 8)
		})
	})
}

// Guards against a version that is served although some of its bytes are missing,
// without a violation of the invariant.
func TestIncompleteVersion(t *testing.T) {
	convey.Convey("Serving the version of an incomplete order violates the invariant", t, func() {
		var violated []invariants.Name
		checker := invariants.NewForTest(func(name invariants.Name) { violated = append(violated, name) })
		engine := newEngine(context.Background(), DefaultSettings(), journal{}, zap.NewNop(), checker)
		incomplete := &order{size: 2, bytes: 1, pieces: map[int]piece{0: {length: 1}}}
		engine.setServing(loadedVersion{version: "v2", complete: incomplete.isComplete()}, time.Now())
		convey.So(violated, convey.ShouldResemble, []invariants.Name{invariants.WholeVersion})
	})
}
