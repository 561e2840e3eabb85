package platform

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// outage is a feed that fails until it is mended, and notes how long each poll
// was to wait.
type outage struct {
	mutex sync.Mutex
	over  bool
	waits []time.Duration
}

func (outage *outage) Snapshot(context.Context, string) ([]Row, int64, error) { return nil, 1, nil }

func (outage *outage) Changes(ctx context.Context, _ string, _ int64, wait time.Duration) ([]Change, int64, error) {
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	outage.waits = append(outage.waits, wait)
	if !outage.over {
		return nil, 0, ErrUnavailable
	}
	pause(ctx, wait)
	return nil, 1, nil
}

// Guards against a process that hears of the end of an outage only when a long
// poll ends, and against pauses that grow without bound.
func TestWatchAsksShortlyDuringAnOutage(t *testing.T) {
	feed := &outage{}
	var waits []time.Duration
	var recovery time.Duration
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		resumed := make(chan time.Time, 1)
		go Watcher{
			Feed: feed, Table: "op", PollWait: 20 * time.Second, PollPause: FixedPause(0), Logger: zap.NewNop(), Scope: tally.NoopScope,
			OnUpdate: func(view View) {
				if !view.RecoveredAt.IsZero() {
					resumed <- view.RecoveredAt
				}
			},
		}.Run(ctx)
		time.Sleep(30 * time.Second)
		feed.mutex.Lock()
		waits = slices.Clone(feed.waits)
		feed.over = true
		feed.mutex.Unlock()
		mended := time.Now()
		recovery = (<-resumed).Sub(mended)
	})
	convey.Convey("Given a store that was away for half a minute", t, func() {
		convey.So(len(waits), convey.ShouldBeBetween, 15, 60)
		for _, wait := range waits[1:] {
			convey.So(wait, convey.ShouldEqual, 0)
		}
		convey.So(recovery, convey.ShouldBeLessThan, 2*longPause)
	})
}
