package platform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// changingFeed is a table with one large row that changes all the time. It counts the bytes
// of its answers.
type changingFeed struct {
	failingFeed
	value []byte
	bytes int
	at    int64
}

func (feed *changingFeed) Changes(context.Context, string, Position, time.Duration) ([]Change, Position, error) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.at++
	feed.bytes += len(feed.value)
	row := Row{Key: "config", Value: feed.value, Revision: feed.at}
	return []Change{{Row: row}}, Position{Revision: feed.at}, nil
}

// Guards against entries that fill the links between regions with a large configuration
// which changes several times a second: connections took over 400 ms to open, agents left
// each other out of their plans, and each region read weights from the origin by itself.
func TestLargeRowsThatChangeAreReadAtALimitedRate(t *testing.T) {
	const (
		rowBytes  = 240_000
		perSecond = 300_000
		duration  = 10 * time.Second

		maxTransferPause = 800 * time.Millisecond
	)
	read := func(bytes int) (sum int, widestGap time.Duration) {
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			feed := &changingFeed{value: make([]byte, bytes)}
			last := time.Now()
			watcher := Watcher{
				Feed: feed, Table: "op", PollWait: time.Second, PollPause: FixedPause(150 * time.Millisecond), BytesPerS: perSecond, MaxTransferPause: maxTransferPause,
				Reachability: NewReachability(feed, retryInterval), Logger: zap.NewNop(), Scope: tally.NoopScope,
				OnUpdate: func(View) { widestGap, last = max(widestGap, time.Since(last)), time.Now() },
			}
			go watcher.Run(ctx)
			time.Sleep(duration)
			cancel()
			synctest.Wait()
			sum = feed.bytes
		})
		return sum, widestGap
	}
	convey.Convey("Given a large row that changes all the time, it is read at the rate, and the view is never old", t, func() {
		sum, widestGap := read(rowBytes)
		convey.So(sum, convey.ShouldBeLessThanOrEqualTo, perSecond*int(duration.Seconds())+rowBytes)
		convey.So(widestGap, convey.ShouldBeLessThanOrEqualTo, maxTransferPause)
	})
	convey.Convey("Given a small row, it is read after each pause", t, func() {
		sum, widestGap := read(1000)
		convey.So(sum, convey.ShouldBeGreaterThan, 60*1000)
		convey.So(widestGap, convey.ShouldBeLessThanOrEqualTo, 150*time.Millisecond)
	})
}
