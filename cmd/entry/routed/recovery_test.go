package routed

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/directives"
	"firford/lib/gateways"
	"firford/lib/loads"
	"firford/lib/metrics"
	"firford/lib/placements"
	"firford/lib/platform"
	"firford/lib/processes"
	"firford/lib/quarantines"
	"firford/lib/routes"
)

const (
	// reconnectWindow is how long after a partition an entry must know again which
	// servers have left.
	reconnectWindow = 3 * time.Second
	// silentCallTime is how long a call takes to fail that the store does not answer.
	silentCallTime = time.Second
	feedStep       = 5 * time.Millisecond
)

// scriptedFeed is a table of servers behind a connection that is silent for some time.
type scriptedFeed struct {
	mutex                   sync.Mutex
	silentFrom, silentUntil time.Time
	rows                    map[string]platform.Row
	changes                 []platform.Change
	revision                int64
}

func (feed *scriptedFeed) isSilent() bool {
	now := time.Now()
	return !now.Before(feed.silentFrom) && now.Before(feed.silentUntil)
}

// list adds or removes a server.
func (feed *scriptedFeed) list(id string, isListed bool) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.revision++
	value := fmt.Sprintf(`{"service":"desk","address":"10.0.0.%s:80","zone":"nairobi","slots":100,"state":"ready"}`, id)
	row := platform.Row{Key: id, Value: []byte(value), Revision: feed.revision}
	feed.changes = append(feed.changes, platform.Change{Row: row, Deleted: !isListed})
	if isListed {
		feed.rows[id] = row
		return
	}
	delete(feed.rows, id)
}

func (feed *scriptedFeed) Snapshot(ctx context.Context, _ string) ([]platform.Row, platform.Position, error) {
	if feed.isSilent() {
		sleep(ctx, silentCallTime)
		return nil, platform.Position{}, platform.ErrUnavailable
	}
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	var rows []platform.Row
	for _, row := range feed.rows {
		rows = append(rows, row)
	}
	return rows, platform.Position{Revision: feed.revision}, nil
}

func (feed *scriptedFeed) Changes(ctx context.Context, _ string, after platform.Position, wait time.Duration) ([]platform.Change, platform.Position, error) {
	startedAt := time.Now()
	for {
		if feed.isSilent() {
			sleep(ctx, time.Until(startedAt.Add(wait+silentCallTime)))
			return nil, platform.Position{}, platform.ErrUnavailable
		}
		changes, revision := feed.changesAfter(after.Revision)
		if len(changes) > 0 || time.Since(startedAt) >= wait || ctx.Err() != nil {
			return changes, platform.Position{Revision: revision}, ctx.Err()
		}
		sleep(ctx, feedStep)
	}
}

func (feed *scriptedFeed) Probe(ctx context.Context) (platform.Position, error) {
	if feed.isSilent() {
		sleep(ctx, silentCallTime)
		return platform.Position{}, platform.ErrUnavailable
	}
	return platform.Position{}, nil
}

func (feed *scriptedFeed) changesAfter(revision int64) ([]platform.Change, int64) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	var changes []platform.Change
	for _, change := range feed.changes {
		if change.Row.Revision > revision {
			changes = append(changes, change)
		}
	}
	return changes, feed.revision
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// unansweredConn is a connection over which all datagrams are lost.
type unansweredConn struct{ net.PacketConn }

func (unansweredConn) WriteTo(datagram []byte, _ net.Addr) (int, error) { return len(datagram), nil }

// newTestEntry returns an entry that follows the servers of the feed and has no
// connections.
func newTestEntry(feed tableStore) *entry {
	entry := &entry{
		settings: processes.RoutedEntry{Routed: processes.Routed{DataCentre: "nairobi"}, ReconnectTime: reconnectWindow},
		logger:   zap.NewNop(), metrics: &metrics.Metrics{Scope: tally.NoopScope}, store: feed,
		reachability: platform.NewReachability(feed, storeProbeInterval),
		queue:        gateways.NewAdmissionQueue(placements.NewFleet("nairobi"), func(gateways.Notice) {}),
		follower:     directives.New(directives.Dependencies{Logger: zap.NewNop(), Scope: tally.NoopScope}),
	}
	entry.agents.Store(&[]netip.AddrPort{})
	entry.quarantines = quarantines.New()
	entry.loadListener = loads.NewListener(
		unansweredConn{}, func() []netip.AddrPort { return *entry.agents.Load() }, entry.follower, entry.queue, crashLedger{entry: entry}, entry.applyReport, zap.NewNop())
	entry.gateway = gateways.New(gateways.Dependencies{
		Queue: entry.queue, Table: func() routes.Table { return routes.Table{} }, Logger: zap.NewNop(), Scope: tally.NoopScope,
	})
	return entry
}

// serverUsed reports whether the entry would send a request to any server of the feed.
func (entry *entry) serverUsed() bool {
	used := false
	entry.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
		_, used = fleet.Choose(placements.Requirements{Service: "desk"}, 0, now, func() float64 { return 0 })
	})
	return used
}

// withSilentStore runs an entry whose connection to the store is silent for some
// seconds. It calls during while the store is silent, and after once the store answers
// again.
func withSilentStore(t *testing.T, phase time.Duration, during, after func(entry *entry, feed *scriptedFeed)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		start := time.Now()
		feed := &scriptedFeed{rows: map[string]platform.Row{}, silentFrom: start.Add(10 * time.Second), silentUntil: start.Add(22*time.Second + phase)}
		feed.list("1", true)
		entry := newTestEntry(feed)
		go entry.followServers(ctx)
		go entry.expireServers(ctx)
		time.Sleep(15 * time.Second)
		during(entry, feed)
		time.Sleep(time.Until(feed.silentUntil))
		after(entry, feed)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// phases returns the moments at which a silence ends, relative to the polls of an entry.
func phases() []time.Duration {
	var list []time.Duration
	for phase := time.Duration(0); phase < 2*time.Second; phase += 50 * time.Millisecond {
		list = append(list, phase)
	}
	return list
}

// Guards against an entry that was cut off from the store and goes on to use a server
// which left meanwhile: it took the partition for an outage of the store, in which
// servers that are still running lose their entries, and counted the time in which
// they return from when it noticed that the store answers.
func TestServersThatLeftBehindAPartitionGetNoRequests(t *testing.T) {
	convey.Convey("Given an entry that is cut off from the store while a server leaves, it does not use it when it counts as connected again", t, func() {
		late := 0
		for _, phase := range phases() {
			withSilentStore(t, phase, func(_ *entry, feed *scriptedFeed) { feed.list("1", false) }, func(entry *entry, feed *scriptedFeed) {
				time.Sleep(time.Until(feed.silentUntil.Add(reconnectWindow)))
				if entry.serverUsed() {
					late++
				}
			})
		}
		convey.So(late, convey.ShouldEqual, 0)
	})
}

// Guards against the loss of servers that are still running: in an outage of the store
// they lose their entries, and write them again within about two seconds of its return.
// An entry that notices the return late must not take them for gone before.
func TestServersThatLapsedInAnOutageStayInUse(t *testing.T) {
	const returnTime = 2 * time.Second
	convey.Convey("Given an outage of the store in which a server loses its entry, it is used all the time until it is listed again", t, func() {
		lost := 0
		for _, phase := range phases() {
			withSilentStore(t, phase, func(_ *entry, feed *scriptedFeed) { feed.list("1", false) }, func(entry *entry, feed *scriptedFeed) {
				for time.Since(feed.silentUntil) < returnTime {
					if !entry.serverUsed() {
						lost++
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
				feed.list("1", true)
				time.Sleep(serverPollWait)
				if !entry.serverUsed() {
					lost++
				}
			})
		}
		convey.So(lost, convey.ShouldEqual, 0)
	})
}
