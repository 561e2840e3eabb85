package platform

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
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
	convey.Convey("Given a store that is away for half a minute", t, func() {
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			feed := &outage{}
			resumed := make(chan time.Time, 1)
			go Watch{
				Feed: feed, Table: "op", Wait: 20 * time.Second, Logger: zap.NewNop(),
				Update: func(view View) {
					if !view.Resumed.IsZero() {
						resumed <- view.Resumed
					}
				},
			}.Run(ctx)
			time.Sleep(30 * time.Second)
			feed.mutex.Lock()
			feed.over = true
			for _, wait := range feed.waits[1:] {
				convey.So(wait, convey.ShouldEqual, 0)
			}
			feed.mutex.Unlock()
			mended := time.Now()
			convey.So((<-resumed).Sub(mended), convey.ShouldBeLessThan, 2*longPause)
			cancel()
		})
	})
}
