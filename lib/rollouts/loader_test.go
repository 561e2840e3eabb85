package rollouts

import (
	"context"
	"strings"
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
			settle(time.Minute, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 6})
			before := fleet.table.writes()
			fleet.rollout(configurations.RolloutRunning)
			least := 6
			for range 600 {
				settle(100*time.Millisecond, agents...)
				versions := servedVersions(agents)
				least = min(least, versions["v1"]+versions["v2"])
			}
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v2": 6})
			convey.So(least, convey.ShouldBeGreaterThanOrEqualTo, 4)
			convey.So(fleet.rolloutState(), convey.ShouldEqual, configurations.RolloutDone)
			convey.So(fleet.table.writes()-before, convey.ShouldBeLessThanOrEqualTo, 3*6)
			convey.So(fleet.routingVersion(), convey.ShouldEqual, "v2")
			convey.So(fleet.violations(), convey.ShouldBeEmpty)

			fleet.rollout(configurations.RolloutUndone)
			settle(2*time.Minute, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 6})
			convey.So(fleet.routingVersion(), convey.ShouldEqual, "v1")
			convey.So(agents[0].loader.Intended("v2"), convey.ShouldBeFalse)
		})
	})
}

// one runs a single host with the fault that prepare sets up, and returns its
// fleet, engine and agent once the host serves v1.
func one(fences bool) (*fleet, *fakeEngine, *agent) {
	fleet := newFleet(1, configurations.Deployment{Fences: fences, CanaryHosts: 1}, "v1", "v2")
	engine := newFakeEngine(fences)
	started := fleet.start("h0", engine)
	settle(30*time.Second, started)
	return fleet, engine, started
}

// Guards against a new rollout, or a change of the routing, that takes all hosts
// out of service which serve a version that the configuration no longer names.
func TestRolloutReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(6, configurations.Deployment{MinimumServingShare: 0.6}, "v1", "v2", "v3")
		agents := startAll(fleet, true)
		defer stopAll(agents)
		convey.Convey("Hosts keep a version that was intended until their turn", t, func() {
			settle(time.Minute, agents...)
			fleet.rollout(configurations.RolloutRunning)
			for servedVersions(agents)["v2"] < 3 {
				settle(100 * time.Millisecond)
			}
			least := func(steps int) int {
				low := 6
				for range steps {
					settle(100 * time.Millisecond)
					versions := servedVersions(agents)
					low = min(low, versions["v1"]+versions["v2"]+versions["v3"])
				}
				return low
			}
			fleet.put(configurations.Rollout{Deployment: testDeployment, Version: "v3", Previous: "v1", State: configurations.RolloutRunning})
			convey.So(least(1200), convey.ShouldBeGreaterThanOrEqualTo, 4)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v3": 6})
			fleet.put(configurations.Routing{Deployment: testDeployment, Version: "v1"})
			convey.So(least(1200), convey.ShouldBeGreaterThanOrEqualTo, 4)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 6})
		})
	})
}

// Guards against a canary whose failure lets the rollout go on, or that stays
// without a version.
func TestCanaryFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(4, configurations.Deployment{MinimumServingShare: 0.5, CanaryHosts: 1}, "v1", "v2")
		agents := startAll(fleet, true)
		defer stopAll(agents)
		convey.Convey("A failed canary stops the rollout and all hosts serve the earlier version", t, func() {
			settle(30*time.Second, agents...)
			for _, each := range agents {
				each.engine.set(func(engine *fakeEngine) { engine.failLoad = true })
			}
			fleet.rollout(configurations.RolloutRunning)
			settle(time.Minute, agents...)
			convey.So(fleet.rolloutState(), convey.ShouldEqual, configurations.RolloutStopped)
			for _, each := range agents {
				each.engine.set(func(engine *fakeEngine) { engine.failLoad = false })
			}
			settle(3*time.Minute, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 4})
			convey.So(fleet.routingVersion(), convey.ShouldEqual, "v1")
			convey.So(fleet.violations(), convey.ShouldBeEmpty)
			tried := 0
			for _, each := range agents {
				if each.engine.ordered("v2") {
					tried++
				}
			}
			convey.So(tried, convey.ShouldEqual, 1)

			fleet.rollout(configurations.RolloutRunning)
			settle(2*time.Minute, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v2": 4})
		})
	})
}

// Guards against an engine that is given content that its manifest does not name.
func TestCorruptChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine, agent := one(true)
		defer agent.stop()
		convey.Convey("A chunk with another digest never reaches the engine", t, func() {
			fleet.set(func() { fleet.corrupt = true })
			fleet.rollout(configurations.RolloutRunning)
			settle(time.Minute, agent)
			version, _ := agent.admits()
			convey.So(version, convey.ShouldEqual, "v1")
			fleet.set(func() { fleet.corrupt = false })
			settle(time.Minute, agent)
			version, _ = agent.admits()
			convey.So(version, convey.ShouldEqual, "v2")
			convey.So(engine.ordered("v2"), convey.ShouldBeTrue)
			convey.So(fleet.violations(), convey.ShouldContain, "h0: invariant chunk_verified")
		})
	})
}

// Guards against a paused agent that wakes with an old order: the engine must
// end on the intended version, and the agent must end.
func TestPausedAgentWakes(t *testing.T) {
	for _, fences := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			fleet, engine, old := one(fences)
			convey.Convey("An agent paused within a load is replaced and wakes", t, func() {
				fleet.rollout(configurations.RolloutRunning)
				for !strings.Contains(old.loader.State().Target, "v2") || old.loader.State().State != StateLoading {
					settle(10 * time.Millisecond)
				}
				old.pause()
				fleet.rollout(configurations.RolloutUndone)
				newer := fleet.start("h0", engine)
				settle(time.Minute, newer)
				old.resume()
				settle(time.Minute, newer)
				version, serving := newer.admits()
				convey.So(serving, convey.ShouldBeTrue)
				convey.So(version, convey.ShouldEqual, "v1")
				convey.So(<-old.ended, convey.ShouldEqual, ErrFenced)
				convey.So(fleet.violations(), convey.ShouldBeEmpty)
				newer.stop()
			})
		})
	}
}

// Guards against an engine that comes back with another version or none, and
// against repairs that need the table.
func TestEngineReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine, agent := one(false)
		defer agent.stop()
		convey.Convey("A replaced engine is not admitted until it serves the intended version", t, func() {
			fleet.table.set(func(table *fakeTable) { table.out = true })
			for _, version := range []string{"v2", "v0", ""} {
				engine.restart(version, fleet.digestOf(version), fleet.contents[version])
				settle(2*time.Second, agent)
				_, serving := agent.admits()
				convey.So(serving, convey.ShouldBeFalse)
				settle(30*time.Second, agent)
				admitted, _ := agent.admits()
				convey.So(admitted, convey.ShouldEqual, "v1")
			}
			engine.restart("v1", fleet.digestOf("v2"), fleet.contents["v2"])
			settle(2*time.Second, agent)
			_, serving := agent.admits()
			convey.So(serving, convey.ShouldBeFalse)
			settle(30*time.Second, agent)
			convey.So(fleet.violations(), convey.ShouldBeEmpty)
		})
	})
}

// Guards against hosts that all load a new version at once, past its canaries,
// because the list of hosts is not known yet.
func TestUnknownMembers(t *testing.T) {
	convey.Convey("A host that the platform does not list keeps the earlier version", t, func() {
		fleet := newFleet(1, configurations.Deployment{CanaryHosts: 1}, "v1", "v2")
		fleet.rollout(configurations.RolloutRunning)
		view := View{
			Now: time.Unix(1000, 0), Self: "h0", Plan: NewPlan(fleet.Current(), testDeployment),
			Status: Status{Version: "v1"}, Reachable: true, HasToken: true, HasAllChunks: func(string) bool { return true },
		}
		convey.So(Decide(view), convey.ShouldResemble, Wait{})
		view.Members = fleet.members
		convey.So(Decide(view), convey.ShouldResemble, AcquireSlot{Slots: []int{0}})
		fleet.rollout(configurations.RolloutUndone)
		view.Members, view.Plan, view.Status = nil, NewPlan(fleet.Current(), testDeployment), Status{Version: "v2"}
		convey.So(Decide(view), convey.ShouldResemble, Wait{Reason: "the platform does not list this host"})
	})
}

// Guards against a host that stays without a version because it can't load the
// new one.
func TestHostGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(3, configurations.Deployment{MinimumServingShare: 0.5}, "v1", "v2")
		agents := startAll(fleet, true)
		defer stopAll(agents)
		convey.Convey("It serves the earlier version between its attempts", t, func() {
			settle(30*time.Second, agents...)
			agents[0].engine.set(func(engine *fakeEngine) { engine.failOnly = "v2" })
			fleet.rollout(configurations.RolloutRunning)
			settle(35*time.Second, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 1, "v2": 2})
			agents[0].engine.set(func(engine *fakeEngine) { engine.failOnly = "" })
			settle(3*time.Minute, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v2": 3})
		})
	})
}

// Guards against a slow order that loses its slot or outlives an undo.
func TestSlowPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _, agent := one(true)
		defer agent.stop()
		convey.Convey("Given pieces that together take longer than a lease", t, func() {
			fleet.set(func() { fleet.chunkPause = 20 * time.Second })
			fleet.rollout(configurations.RolloutRunning)
			settle(30*time.Second, agent)
			fleet.rollout(configurations.RolloutUndone)
			for range 600 {
				settle(100*time.Millisecond, agent)
				version, _ := agent.admits()
				convey.So(version, convey.ShouldEqual, "v1")
			}
			fleet.rollout(configurations.RolloutRunning)
			settle(5*time.Minute, agent)
			version, _ := agent.admits()
			convey.So(version, convey.ShouldEqual, "v2")
		})
	})
}

// Guards against an order that waits forever for a chunk that was evicted after
// the version was whole.
func TestEvictedChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _, agent := one(true)
		defer agent.stop()
		convey.Convey("The version is fetched again and loaded", t, func() {
			fleet.set(func() { fleet.chunkPause = 5 * time.Second })
			fleet.rollout(configurations.RolloutRunning)
			settle(8*time.Second, agent)
			fleet.set(func() { fleet.evicted = true })
			settle(5*time.Minute, agent)
			version, _ := agent.admits()
			convey.So(version, convey.ShouldEqual, "v2")
		})
	})
}

// Guards against an agent that writes to the table after a later agent has taken
// over its host, before it has noticed.
func TestOldAgentWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine, old := one(true)
		old.stop()
		newer := fleet.start("h0", engine)
		defer newer.stop()
		convey.Convey("The table refuses its slot and its record", t, func() {
			settle(10*time.Second, newer)
			loader := old.loader
			convey.So(loader.control.slots.hold(t.Context(), heldSlot{deployment: testDeployment}), convey.ShouldEqual, ErrFenced)
			loader.control.written = HostRecord{}
			convey.So(loader.publish(t.Context(), loader.view(), Wait{}), convey.ShouldEqual, ErrFenced)
		})
	})
}

// Guards against a lease that is given up because an answer was lost.
func TestLostSlotAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _, agent := one(true)
		agent.stop()
		convey.Convey("Every renewal is found in the table", t, func() {
			control := &agent.loader.control
			fleet.table.set(func(table *fakeTable) { table.lose = true })
			convey.So(control.slots.hold(t.Context(), heldSlot{deployment: testDeployment}), convey.ShouldBeNil)
			for range 20 {
				convey.So(control.slots.renew(t.Context(), control.slots.held.renewAt), convey.ShouldBeNil)
			}
		})
	})
}

// statusFunc is an engine that only reports.
type statusFunc struct {
	Engine
	status func() Status
}

func (engine statusFunc) Status(context.Context) (Status, error) { return engine.status(), nil }

// Guards against the admission of a version that was read before a commit or
// before a pause of the process.
func TestStaleStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _, agent := one(true)
		agent.stop()
		loader := agent.loader
		serving := Status{Version: "v1", ManifestDigest: fleet.digestOf("v1")}
		read := func(meanwhile func()) bool {
			loader.dependencies.Engine = statusFunc{status: func() Status { meanwhile(); return serving }}
			loader.admit("", false)
			loader.readBack(t.Context())
			_, admits := agent.admits()
			return admits
		}
		convey.Convey("Only a status of now is admitted", t, func() {
			convey.So(read(func() {}), convey.ShouldBeTrue)
			convey.So(read(func() { loader.beginCommit(); loader.endCommit() }), convey.ShouldBeFalse)
			convey.So(read(func() { time.Sleep(time.Minute) }), convey.ShouldBeFalse)
		})
	})
}

// Guards against a host that never loads again because its engine has seen a
// higher token than the table knows.
func TestRestoredTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, configurations.Deployment{Fences: true}, "v1")
		engine := newFakeEngine(true)
		engine.highest = 1000
		agent := fleet.start("h0", engine)
		defer agent.stop()
		convey.Convey("The agent outbids the engine's token", t, func() {
			settle(time.Minute, agent)
			version, _ := agent.admits()
			convey.So(version, convey.ShouldEqual, "v1")
		})
	})
}

// Guards against an agent that trusts its token after a pause.
func TestGuard(t *testing.T) {
	convey.Convey("A gap between ticks requires a check that began after it", t, func() {
		start := time.Unix(0, 0)
		guard := newGuard(3*time.Second, start)
		guard.verified(start, start)
		convey.So(guard.mustVerify(start.Add(2*time.Second)), convey.ShouldBeFalse)
		convey.So(guard.mustVerify(start.Add(6*time.Second)), convey.ShouldBeTrue)
		guard.tick(start.Add(7 * time.Second))
		convey.So(guard.mustVerify(start.Add(8*time.Second)), convey.ShouldBeTrue)
		guard.verified(start.Add(4*time.Second), start.Add(8*time.Second))
		convey.So(guard.mustVerify(start.Add(8*time.Second)), convey.ShouldBeTrue)
		guard.verified(start.Add(8*time.Second), start.Add(9*time.Second))
		convey.So(guard.mustVerify(start.Add(9*time.Second)), convey.ShouldBeFalse)
	})
}
