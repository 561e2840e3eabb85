package routed

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/placements"
	"firford/lib/processes"
)

// Guards against 76 agents that read the list of servers at each of its changes,
// which was most of the calls to the store, and against an agent that reports
// under the id of its engine's last start because it does not look again.
func TestAgentsLookAtTheListSeldom(t *testing.T) {
	convey.Convey("Given an agent", t, func() {
		const engine = "10.0.0.7:8000"
		agent := &agent{settings: processes.RoutedAgent{BackendServer: engine}}
		list := func(id string) {
			agent.servers.Store(&[]placements.Server{{ID: "i-0", Address: "10.0.0.8:8000"}, {ID: id, Address: engine}})
		}
		agent.servers.Store(&[]placements.Server{{ID: "i-0", Address: "10.0.0.8:8000"}})
		convey.So(agent.settle(), convey.ShouldEqual, newSettle)
		agent.started.Store(&start{born: 1, heard: time.Now()})
		convey.So(agent.settle(), convey.ShouldEqual, newSettle)
		list("i-1")
		convey.So(agent.settle(), convey.ShouldEqual, serverSettle)
		convey.Convey("Then it looks soon when its engine has started again, until that is listed", func() {
			agent.started.Store(&start{born: 2, heard: time.Now(), former: "i-1"})
			convey.So(agent.settle(), convey.ShouldEqual, newSettle)
			list("i-2")
			convey.So(agent.settle(), convey.ShouldEqual, serverSettle)
		})
		convey.Convey("Then it stops to look soon when the list never changes", func() {
			agent.started.Store(&start{born: 2, heard: time.Now().Add(-registerTime), former: "i-1"})
			convey.So(agent.settle(), convey.ShouldEqual, serverSettle)
		})
	})
}
