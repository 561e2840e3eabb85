package routed

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"firford/lib/placements"
	"firford/lib/platform"
)

const peerPort = 8300

// leave makes the entry hear that the server leaves.
func (entry *entry) leave(server placements.Server) {
	entry.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) { fleet.RecordLeaving(server, now) })
}

// Guards against requests at a server that has stated that it leaves, because the store
// says again that it is ready when it answers after a silence.
func TestLeavingServersGetNoRequestsAfterASilence(t *testing.T) {
	convey.Convey("Given an entry that is cut off from the store while a server states that it leaves", t, func() {
		used := false
		leave := func(entry *entry, _ *scriptedFeed) { entry.leave(placements.Server{ID: "1"}) }
		withSilentStore(t, 0, leave, func(entry *entry, feed *scriptedFeed) {
			for time.Since(feed.silentUntil) < time.Minute {
				used = used || entry.serverUsed()
				feed.list("1", true)
				time.Sleep(time.Second)
			}
		})
		convey.So(used, convey.ShouldBeFalse)
	})
}

// Guards against a statement of a server without an agent that reaches no other entry
// before the next subscriptions.
func TestAgentsPassOnStatements(t *testing.T) {
	convey.Convey("Given an entry that knows two agents", t, func() {
		entry := newTestEntry(&scriptedFeed{rows: map[string]platform.Row{}})
		entry.settings.PeerPort = peerPort
		first, second := netip.MustParseAddrPort("10.0.0.1:8300"), netip.MustParseAddrPort("10.0.0.2:8300")
		_, found := entry.agentFor(placements.Server{Address: "10.0.0.2:80"})
		convey.So(found, convey.ShouldBeFalse)
		entry.agents.Store(&[]netip.AddrPort{first, second})
		for address, wanted := range map[string]netip.AddrPort{"10.0.0.2:80": second, "10.0.0.9:80": first} {
			agent, found := entry.agentFor(placements.Server{Address: address})
			convey.So(found, convey.ShouldBeTrue)
			convey.So(agent, convey.ShouldResemble, wanted)
		}
	})
}

// Guards against a server that is taken out or used again on the word of others without
// a line in the log that says so.
func TestChangesOfStatementsAreLogged(t *testing.T) {
	convey.Convey("Given a server that another entry has heard of, and that is then started again", t, func() {
		entry := newTestEntry(&scriptedFeed{rows: map[string]platform.Row{}})
		core, lines := observer.New(zap.InfoLevel)
		entry.logger = zap.New(core)
		server := placements.Server{ID: "1", Service: "desk", Address: "10.0.0.1:80", DataCentre: "nairobi", Slots: 100, StartedUnixMilli: 5}
		list := func(server placements.Server) {
			var changes []placements.Change
			entry.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
				changes = fleet.UpdateServers([]placements.Server{server}, time.Time{}, now)
			})
			entry.logServerChanges(changes)
		}
		list(server)
		statement := placements.LeavingStatement{HeardAt: time.Now().Add(-time.Second), StartedUnixMilli: 5}
		report := placements.Report{Server: "2", Leaving: map[string]placements.LeavingStatement{"1": statement}}
		entry.applyReport(report)
		entry.applyReport(report)
		convey.So(entry.serverUsed(), convey.ShouldBeFalse)
		leaving := lines.FilterMessage("server leaving").All()
		convey.So(leaving, convey.ShouldHaveLength, 1)
		convey.So(leaving[0].ContextMap()["heard_by"], convey.ShouldEqual, "another entry")
		convey.So(leaving[0].ContextMap()["age"], convey.ShouldBeGreaterThanOrEqualTo, time.Second)
		convey.Convey("Then the list says so", func() {
			list(server.WithStart(6))
			convey.So(lines.FilterMessage("server restarted").FilterField(zap.String("heard_by", "the list")).Len(), convey.ShouldEqual, 1)
			convey.So(entry.serverUsed(), convey.ShouldBeTrue)
		})
		convey.Convey("Then its agent says so", func() {
			entry.applyReport(placements.Report{Server: "1", Incarnation: 6})
			convey.So(lines.FilterMessage("server restarted").FilterField(zap.String("heard_by", "its agent")).Len(), convey.ShouldEqual, 1)
			convey.So(entry.serverUsed(), convey.ShouldBeTrue)
		})
	})
}
