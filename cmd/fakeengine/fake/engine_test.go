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

// Guards against a stand-in that is kinder than real engines: load values
// without a lag, cache events at once and without gaps.
func TestWhatIsPublishedLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		engine := New(ctx, DefaultSettings(), zap.NewNop(), invariants.NewForTest(func(name invariants.Name) { t.Errorf("violated: %s", name) }))
		_, refused := engine.submit(generateRequest{RequestID: "r", Prompt: string(make([]byte, 10*blockBytes)), MaxTokens: 200})
		time.Sleep(100 * time.Millisecond)
		early, none := engine.status(), len(engine.cache.published(0, time.Now()))
		time.Sleep(time.Second)
		late, events := engine.status(), engine.cache.published(0, time.Now())
		convey.Convey("Load and cache events appear after their lag, and events have gaps", t, func() {
			convey.So(refused, convey.ShouldBeNil)
			convey.So(early.Running, convey.ShouldEqual, 0)
			convey.So(late.Running, convey.ShouldEqual, 1)
			convey.So(none, convey.ShouldEqual, 0)
			convey.So(events, convey.ShouldHaveLength, 9)
			convey.So(events[6].Sequence, convey.ShouldEqual, 8)
		})
	})
}

// Guards against a partly loaded version being served without a violation.
func TestPartlyLoadedVersion(t *testing.T) {
	convey.Convey("Serving an order without all of its bytes violates the invariant", t, func() {
		var violated []invariants.Name
		checker := invariants.NewForTest(func(name invariants.Name) { violated = append(violated, name) })
		engine := newEngine(context.Background(), DefaultSettings(), journal{}, zap.NewNop(), checker)
		partly := &order{size: 2, bytes: 1, pieces: map[int]piece{0: {length: 1}}}
		engine.serve(content{version: "v2", whole: partly.whole()}, time.Now())
		convey.So(violated, convey.ShouldResemble, []invariants.Name{invariants.WholeVersion})
	})
}
