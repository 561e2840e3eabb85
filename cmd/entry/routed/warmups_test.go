package routed

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"firford/lib/placements"
	"firford/lib/platform"
	"firford/lib/routes"
	"firford/lib/warmups"
)

// Guards against a server that gets few requests without a line in the log that says why
// and until when, and against lines in deployments without warm-ups.
func TestColdServersAreLogged(t *testing.T) {
	convey.Convey("Given an entry with a server", t, func() {
		entry := newTestEntry(&scriptedFeed{rows: map[string]platform.Row{}})
		core, lines := observer.New(zap.InfoLevel)
		entry.logger = zap.New(core)
		server := placements.Server{ID: "1", Service: "desk", Address: "10.0.0.1:80", DataCentre: "nairobi", Slots: 100, StartedUnixMilli: 5, WarmupLeft: time.Minute}
		list := func(servers ...placements.Server) {
			var changes []placements.Change
			entry.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
				changes = fleet.UpdateServers(servers, time.Time{}, now)
			})
			entry.logServerChanges(changes)
		}
		causes := func() []any {
			var list []any
			for _, line := range lines.TakeAll() {
				if line.Message == "server cold" {
					list = append(list, line.ContextMap()["cause"])
				}
			}
			return list
		}
		configure := func(rule warmups.Rule) {
			entry.applyRoutes(routes.New(routes.Configuration{Version: 1, Services: []routes.Service{{Name: "desk", Warmup: rule}}}))
		}
		configure(warmups.Rule{})
		list(server)
		convey.So(causes(), convey.ShouldBeEmpty)
		configure(warmups.Rule{Lasts: 10 * time.Minute, PerS: 26})
		convey.So(causes(), convey.ShouldResemble, []any{"its row"})
		entry.applyReport(placements.Report{Server: "1", Incarnation: 6})
		convey.So(causes(), convey.ShouldResemble, []any{"a new start"})
		second := placements.Server{ID: "2", Service: "desk", Address: "10.0.0.2:80", DataCentre: "nairobi", Slots: 100}
		list(server.WithStart(6), second)
		convey.So(causes(), convey.ShouldResemble, []any{"it joined"})
	})
}
