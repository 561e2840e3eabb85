package routed

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"firford/lib/paces"
	"firford/lib/placements"
	"firford/lib/platform"
)

// Guards against a demand for one service that the agents of another one are told, and
// against one that is told although no server states its pace.
func TestAgentsAreToldTheDemandForTheirService(t *testing.T) {
	convey.Convey("Given an entry and the agents of two services", t, func() {
		entry := newTestEntry(&scriptedFeed{rows: map[string]platform.Row{}})
		core, lines := observer.New(zap.InfoLevel)
		entry.logger = zap.New(core)
		desk, other := netip.MustParseAddrPort("10.0.0.1:8300"), netip.MustParseAddrPort("10.0.0.2:8300")
		_, isTold := entry.demandAt(desk)
		convey.So(isTold, convey.ShouldBeFalse)
		entry.agentServices.Store(&map[netip.AddrPort]string{desk: "desk", other: "other"})
		server := placements.Server{ID: "1", Service: "desk", Address: "10.0.0.1:80", Slots: 8}
		entry.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
			fleet.UpdateServers([]placements.Server{server}, time.Time{}, now)
		})
		entry.applyReport(placements.Report{Server: "1", Number: 1})
		_, isTold = entry.demandAt(desk)
		convey.So(isTold, convey.ShouldBeFalse)
		for range 2 {
			entry.applyReport(placements.Report{Server: "1", Number: 1, Pace: paces.New(100, time.Now())})
		}
		_, isTold = entry.demandAt(desk)
		convey.So(isTold, convey.ShouldBeTrue)
		_, isTold = entry.demandAt(other)
		convey.So(isTold, convey.ShouldBeFalse)
		convey.So(lines.FilterMessage("servers state their pace").FilterField(zap.String("service", "desk")).Len(), convey.ShouldEqual, 1)
	})
}
