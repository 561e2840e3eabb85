package routed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	adapter "firford/platform"

	"firford/lib/platform"
)

const (
	// maxEvacuationTime is how long after the acknowledgement of the row, or after the store
	// is reached again, an entry may still use servers there.
	maxEvacuationTime = 5 * time.Second
	// settleTime is how long a test lets an entry read its tables.
	settleTime = 10 * time.Second
)

// evacuate adds or removes the row of an evacuation.
func (feed *scriptedFeed) evacuate(dataCentre, value string, isEvacuated bool) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.revision++
	row := platform.Row{Key: adapter.EvacuationKeyPrefix + dataCentre, Value: []byte(value), Revision: feed.revision}
	feed.changes = append(feed.changes, platform.Change{Row: row, Deleted: !isEvacuated})
	if isEvacuated {
		feed.rows[row.Key] = row
		return
	}
	delete(feed.rows, row.Key)
}

// withEvacuations runs an entry that follows a list with one server and the operator's
// table, which is silent for a while after settleTime. It then calls during.
func withEvacuations(t *testing.T, silence time.Duration, during func(entry *entry, operator *scriptedFeed)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		servers := &scriptedFeed{rows: map[string]platform.Row{}}
		servers.list("1", true)
		silentFrom := time.Now().Add(settleTime)
		operator := &scriptedFeed{rows: map[string]platform.Row{}, silentFrom: silentFrom, silentUntil: silentFrom.Add(silence)}
		entry := newTestEntry(servers)
		entry.settings.Regions = map[string]string{"nairobi": "kenya"}
		entry.store = operator
		entry.follower = entry.newFollower()
		entry.store = servers
		go entry.follower.Run(ctx)
		go entry.followServers(ctx)
		go entry.expireServers(ctx)
		time.Sleep(settleTime)
		during(entry, operator)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// Guards against an entry that uses servers of an evacuated data centre later than is
// allowed, that overlooks a row which it can't read, or that does not use them again.
func TestEvacuationIsInForceInTime(t *testing.T) {
	convey.Convey("Given an entry in touch with the store", t, func() {
		var before, during, unknown, after bool
		withEvacuations(t, 0, func(entry *entry, operator *scriptedFeed) {
			operator.evacuate("elsewhere", "{}", true)
			time.Sleep(time.Second)
			unknown = entry.serverUsed()
			before = entry.serverUsed()
			operator.evacuate("nairobi", "not JSON", true)
			time.Sleep(time.Second)
			during = entry.serverUsed()
			operator.evacuate("nairobi", "", false)
			time.Sleep(time.Second)
			after = entry.serverUsed()
		})
		convey.So([]bool{unknown, before, during, after}, convey.ShouldResemble, []bool{true, true, false, true})
	})
}

// Guards against an entry that overlooks an evacuation whose row was written while the
// store was away.
func TestEvacuationsBehindAnOutageAreRead(t *testing.T) {
	convey.Convey("Given a store that is away between the writing of the row and its reading", t, func() {
		var isUsed bool
		withEvacuations(t, 8*time.Second, func(entry *entry, operator *scriptedFeed) {
			operator.evacuate("nairobi", "{}", true)
			time.Sleep(time.Until(operator.silentUntil.Add(maxEvacuationTime)))
			isUsed = entry.serverUsed()
		})
		convey.So(isUsed, convey.ShouldBeFalse)
	})
}
