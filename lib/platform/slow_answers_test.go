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

// distantFeed is a timedFeed whose answers take a while on their way.
type distantFeed struct {
	*timedFeed
	delay time.Duration
}

func (feed distantFeed) Changes(ctx context.Context, table string, after Position, wait time.Duration) ([]Change, Position, error) {
	changes, position, err := feed.timedFeed.Changes(ctx, table, after, wait)
	pause(ctx, feed.delay)
	return changes, position, err
}

// Guards against a change that counts as made when it is read, because its answer crossed a
// busy link for so long that the poll seems to have waited for it.
func TestChangesDuringPausesAreUnreadOverBusyLinks(t *testing.T) {
	const pollPause, pollWait, delay = 700 * time.Millisecond, 2 * time.Second, 400 * time.Millisecond
	var last View
	var lastReadAt, changedAt time.Time
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		feed := distantFeed{timedFeed: &timedFeed{startedAt: time.Now(), changes: []time.Duration{1500 * time.Millisecond, 2 * time.Second}}, delay: delay}
		changedAt = feed.startedAt.Add(feed.changes[1])
		go Watcher{
			Feed: feed, Table: "op", PollWait: pollWait, PollPause: FixedPause(pollPause), Reachability: NewReachability(feed, retryInterval), Logger: zap.NewNop(), Scope: tally.NoopScope,
			OnUpdate: func(view View) { last, lastReadAt = view, time.Now() },
		}.Run(ctx)
		time.Sleep(6 * time.Second)
	})
	convey.Convey("Given a change during a pause, and an answer that takes 400 ms", t, func() {
		t.Logf("read %s after the change, and counted from %s after it", lastReadAt.Sub(changedAt), last.UnreadSince.Sub(changedAt))
		convey.So(last.UnreadSince, convey.ShouldHappenOnOrBefore, changedAt.Add(immediateAnswerTime))
	})
}
