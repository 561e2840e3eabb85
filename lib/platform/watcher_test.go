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
	"go.uber.org/zap/zaptest/observer"
)

const retryInterval = time.Second

// failingFeed is a feed that fails until isRecovered is set. It records the wait of
// each poll, zero for a probe, and counts the polls.
type failingFeed struct {
	mutex       sync.Mutex
	isRecovered bool
	waits       []time.Duration
	polls       int
}

func (feed *failingFeed) Probe(context.Context) (Position, error) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.waits = append(feed.waits, 0)
	if !feed.isRecovered {
		return Position{}, ErrUnavailable
	}
	return Position{Revision: 1}, nil
}

func (feed *failingFeed) Snapshot(context.Context, string) ([]Row, Position, error) {
	return nil, Position{Revision: 1}, nil
}

func (feed *failingFeed) Changes(ctx context.Context, _ string, _ Position, wait time.Duration) ([]Change, Position, error) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.waits = append(feed.waits, wait)
	feed.polls++
	if !feed.isRecovered {
		return nil, Position{}, ErrUnavailable
	}
	pause(ctx, wait)
	return nil, Position{Revision: 1}, nil
}

// Guards against a watcher that detects the end of an outage only when a long poll
// ends, and against a backoff that grows without bound.
func TestWatchAsksShortlyDuringAnOutage(t *testing.T) {
	feed := &failingFeed{}
	var waits []time.Duration
	var recovery, unavailable time.Duration
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		resumed := make(chan View, 1)
		go Watcher{
			Feed: feed, Table: "op", PollWait: 20 * time.Second, PollPause: FixedPause(0), Reachability: NewReachability(feed, retryInterval), Logger: zap.NewNop(), Scope: tally.NoopScope,
			OnUpdate: func(view View) {
				if !view.UnavailableAt.IsZero() {
					resumed <- view
				}
			},
		}.Run(ctx)
		time.Sleep(30 * time.Second)
		feed.mutex.Lock()
		waits = slices.Clone(feed.waits)
		feed.isRecovered = true
		feed.mutex.Unlock()
		recoveredAt := time.Now()
		view := <-resumed
		recovery = time.Since(recoveredAt)
		unavailable = recoveredAt.Sub(view.UnavailableAt)
	})
	convey.Convey("Given a store that was unavailable for half a minute", t, func() {
		convey.So(len(waits), convey.ShouldBeBetween, 15, 60)
		for _, wait := range waits[1:] {
			convey.So(wait, convey.ShouldEqual, 0)
		}
		convey.So(recovery, convey.ShouldBeLessThan, 2*retryInterval)
		convey.So(unavailable, convey.ShouldBeBetween, 0, 2*retryInterval)
	})
}

// Guards against a list of servers that is some seconds old when a plan depends on it.
func TestWakeEndsThePauseBetweenPolls(t *testing.T) {
	feed := &failingFeed{isRecovered: true}
	var before, after int
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		wake := make(chan struct{}, 1)
		go Watcher{
			Feed: feed, Table: "servers", PollPause: FixedPause(time.Hour), Reachability: NewReachability(feed, retryInterval), Wake: wake, Logger: zap.NewNop(), Scope: tally.NoopScope,
			OnUpdate: func(View) {},
		}.Run(ctx)
		count := func() int {
			synctest.Wait()
			feed.mutex.Lock()
			defer feed.mutex.Unlock()
			return len(feed.waits)
		}
		time.Sleep(90 * time.Minute)
		before = count()
		wake <- struct{}{}
		after = count()
	})
	convey.Convey("Given a watcher that pauses, a wake makes it poll at once", t, func() {
		convey.So(before, convey.ShouldEqual, 1)
		convey.So(after, convey.ShouldEqual, 2)
	})
}

// Guards against a recovery whose log line does not tell how long the view was out of
// date, or how long the watcher took to notice that the store answers again.
func TestRecoveryIsLogged(t *testing.T) {
	feed := &failingFeed{}
	core, lines := observer.New(zap.InfoLevel)
	failedCalls := 0
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go Watcher{
			Feed: feed, Table: "servers", PollWait: time.Second, PollPause: FixedPause(0), Reachability: NewReachability(feed, retryInterval), Logger: zap.New(core), Scope: tally.NoopScope,
			OnUpdate: func(View) {},
		}.Run(ctx)
		time.Sleep(10 * time.Second)
		feed.mutex.Lock()
		feed.isRecovered = true
		failedCalls = feed.polls
		feed.mutex.Unlock()
		time.Sleep(2 * retryInterval)
	})
	convey.Convey("Given a store that was unavailable for ten seconds", t, func() {
		regained := lines.FilterMessage("store regained")
		convey.So(regained.Len(), convey.ShouldEqual, 1)
		fields := regained.All()[0].ContextMap()
		convey.So(fields["lost_for"], convey.ShouldBeBetween, 10*time.Second, 12*time.Second)
		convey.So(fields["failed_calls"], convey.ShouldEqual, failedCalls)
		convey.So(fields["after_last_failed_call"], convey.ShouldBeBetween, 0, 2*retryInterval)
	})
}

// slowFeed is a feed that is unavailable at first, and then answers slowly, as over a
// full link. It records how many of its calls that transfer rows are open at once.
type slowFeed struct {
	failingFeed
	answerTime time.Duration
	open, most int
}

func (feed *slowFeed) Changes(ctx context.Context, table string, after Position, wait time.Duration) ([]Change, Position, error) {
	feed.mutex.Lock()
	isRecovered := feed.isRecovered
	feed.open++
	feed.most = max(feed.most, feed.open)
	feed.mutex.Unlock()
	defer func() {
		feed.mutex.Lock()
		feed.open--
		feed.mutex.Unlock()
	}()
	if isRecovered {
		pause(ctx, feed.answerTime)
	}
	return feed.failingFeed.Changes(ctx, table, after, wait)
}

// Guards against a watcher that transfers a table several times at once over a link that
// is full after an outage: it then took seconds longer to get any of the transfers.
func TestTablesAreTransferredOnce(t *testing.T) {
	feed := &slowFeed{answerTime: 3 * time.Second}
	recovered := false
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go Watcher{
			Feed: feed, Table: "op", PollWait: time.Second, PollPause: FixedPause(time.Hour), Reachability: NewReachability(feed, 450*time.Millisecond),
			Logger: zap.NewNop(), Scope: tally.NoopScope, OnUpdate: func(view View) { recovered = !view.UnavailableAt.IsZero() },
		}.Run(ctx)
		time.Sleep(2 * time.Hour)
		feed.mutex.Lock()
		feed.isRecovered = true
		feed.mutex.Unlock()
		time.Sleep(10 * time.Second)
	})
	convey.Convey("Given a store that answers slowly after an outage, a watcher makes one call at a time", t, func() {
		convey.So(feed.most, convey.ShouldEqual, 1)
		convey.So(recovered, convey.ShouldBeTrue)
	})
}
