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

// timedFeed is a feed of a table that changes at the times, counted from its start. A
// lost history makes it refuse the next poll.
type timedFeed struct {
	startedAt   time.Time
	changes     []time.Duration
	lostHistory []time.Duration
}

func (feed *timedFeed) revision() int64 {
	count := int64(1)
	for _, at := range feed.changes {
		if time.Since(feed.startedAt) >= at {
			count++
		}
	}
	return count
}

func (feed *timedFeed) Probe(context.Context) (Position, error) { return Position{Revision: 1}, nil }

func (feed *timedFeed) Snapshot(context.Context, string) ([]Row, Position, error) {
	return []Row{{Key: "version", Revision: feed.revision()}}, Position{Revision: feed.revision()}, nil
}

func (feed *timedFeed) Changes(ctx context.Context, _ string, after Position, wait time.Duration) ([]Change, Position, error) {
	for end := time.Now().Add(wait); ; pause(ctx, time.Millisecond) {
		if len(feed.lostHistory) > 0 && time.Since(feed.startedAt) >= feed.lostHistory[0] {
			feed.lostHistory = feed.lostHistory[1:]
			return nil, Position{}, ErrHistoryLost
		}
		if revision := feed.revision(); revision > after.Revision {
			return []Change{{Row: Row{Key: "version", Revision: revision}}}, Position{Revision: revision}, nil
		}
		if ctx.Err() != nil || !time.Now().Before(end) {
			return nil, after, nil
		}
	}
}

// Guards against a change that counts as made when it is read, although the watcher paused
// between two reads of the table.
func TestChangesDuringPausesAreKnownAsUnread(t *testing.T) {
	const pollPause, pollWait = 700 * time.Millisecond, 2 * time.Second
	cases := []struct {
		name string
		feed timedFeed
		// longestUnread is how long before the read the last change may have been made at the
		// most, zero if the watcher waited for it.
		longestUnread time.Duration
	}{
		{"made while a poll waits", timedFeed{changes: []time.Duration{2 * time.Second}}, 0},
		{
			"made while a poll has waited for no longer than it may take to answer one at once",
			timedFeed{changes: []time.Duration{1500 * time.Millisecond}},
			2*pollPause + immediateAnswerTime,
		},
		{"made during the pause after another one", timedFeed{changes: []time.Duration{1500 * time.Millisecond, 1600 * time.Millisecond}}, pollPause},
		{
			"made when the history was lost",
			timedFeed{changes: []time.Duration{1501 * time.Millisecond}, lostHistory: []time.Duration{1500 * time.Millisecond}},
			pollPause + maxHistoryPause,
		},
	}
	for _, each := range cases {
		var last View
		var lastReadAt, changedAt time.Time
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			feed := each.feed
			feed.startedAt = time.Now()
			changedAt = feed.startedAt.Add(feed.changes[len(feed.changes)-1])
			go Watcher{
				Feed: &feed, Table: "op", PollWait: pollWait, PollPause: FixedPause(pollPause), Reachability: NewReachability(&feed, retryInterval), Logger: zap.NewNop(), Scope: tally.NoopScope,
				OnUpdate: func(view View) { last, lastReadAt = view, time.Now() },
			}.Run(ctx)
			time.Sleep(5 * time.Second)
		})
		convey.Convey("Given a change that was "+each.name, t, func() {
			convey.So(lastReadAt, convey.ShouldHappenOnOrAfter, changedAt)
			convey.So(last.UnreadSince, convey.ShouldHappenOnOrBefore, changedAt.Add(time.Millisecond))
			convey.So(lastReadAt.Sub(last.UnreadSince), convey.ShouldBeLessThanOrEqualTo, each.longestUnread)
			convey.So(last.UnreadSince.Before(lastReadAt), convey.ShouldEqual, each.longestUnread > 0)
		})
	}
}
