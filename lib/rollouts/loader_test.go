package rollouts

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/configurations"
)

// startAll starts an agent with an engine without a version on every host.
func startAll(fleet *fleet, fences bool) []*agent {
	var agents []*agent
	for _, host := range fleet.members {
		agents = append(agents, fleet.start(host.Name, newFakeEngine(fences)))
	}
	return agents
}

func stopAll(agents []*agent) {
	for _, each := range agents {
		each.stop()
	}
}

func servedVersions(agents []*agent) map[string]int {
	versions := map[string]int{}
	for _, each := range agents {
		if version, serving := each.admits(); serving {
			versions[version]++
		}
	}
	return versions
}

// Guards against rollouts that never end, skip hosts or take too many out of
// service.
func TestRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(6, configurations.Deployment{MinimumServingShare: 0.6, CanaryHosts: 1}, "v1", "v2")
		agents := startAll(fleet, true)
		defer stopAll(agents)
		convey.Convey("A fleet without versions loads the routed one, then rolls out the next", t, func() {
			settle(time.Minute)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 6})
			fleet.rollout(configurations.RolloutRunning)
			least := 6
			for range 600 {
				settle(100 * time.Millisecond)
				versions := servedVersions(agents)
				least = min(least, versions["v1"]+versions["v2"])
			}
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v2": 6})
			convey.So(least, convey.ShouldBeGreaterThanOrEqualTo, 4)
			convey.So(fleet.rolloutState(), convey.ShouldEqual, configurations.RolloutDone)
			convey.So(fleet.routingVersion(), convey.ShouldEqual, "v2")
			convey.So(fleet.violations(), convey.ShouldBeEmpty)

			fleet.rollout(configurations.RolloutUndone)
			settle(2 * time.Minute)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 6})
			convey.So(fleet.routingVersion(), convey.ShouldEqual, "v1")
			convey.So(agents[0].loader.Intended("v2"), convey.ShouldBeFalse)
		})
	})
}
