package rollouts

// This file tests whole rollouts, failed loads and replaced agents on a simulated
// fleet.

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/configurations"
)

// startAgents starts an agent on every host, each with an engine that serves no
// version yet.
func startAgents(fleet *fleet, fences bool) []*agent {
	var agents []*agent
	for _, host := range fleet.members {
		agents = append(agents, fleet.startAgent(host.Name, newFakeEngine(fences)))
	}
	return agents
}

func stopAgents(agents []*agent) {
	for _, agent := range agents {
		agent.stop()
	}
}

// servedVersions counts the agents that admit requests, by version.
func servedVersions(agents []*agent) map[string]int {
	versions := map[string]int{}
	for _, agent := range agents {
		if version, serving := agent.admission(); serving {
			versions[version]++
		}
	}
	return versions
}

// Guards against rollouts that never end, skip hosts or take too many hosts out of
// service at once.
func TestRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(6, configurations.Deployment{MinimumServingShare: 0.6, CanaryHosts: 1}, "v1", "v2")
		agents := startAgents(fleet, true)
		defer stopAgents(agents)
		convey.Convey("A fleet without a version loads the routed version and then rolls out the next one", t, func() {
			advance(time.Minute, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 6})
			before := fleet.table.writes()
			fleet.setRollout(configurations.RolloutRunning)
			minimumServing := 6
			for range 600 {
				advance(100*time.Millisecond, agents...)
				versions := servedVersions(agents)
				minimumServing = min(minimumServing, versions["v1"]+versions["v2"])
			}
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v2": 6})
			convey.So(minimumServing, convey.ShouldBeGreaterThanOrEqualTo, 4)
			convey.So(fleet.rolloutState(), convey.ShouldEqual, configurations.RolloutDone)
			convey.So(fleet.table.writes()-before, convey.ShouldBeLessThanOrEqualTo, 3*6)
			convey.So(fleet.routingVersion(), convey.ShouldEqual, "v2")
			convey.So(fleet.violations(), convey.ShouldBeEmpty)

			fleet.setRollout(configurations.RolloutUndone)
			advance(2*time.Minute, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 6})
			convey.So(fleet.routingVersion(), convey.ShouldEqual, "v1")
			convey.So(agents[0].loader.Intended("v2"), convey.ShouldBeFalse)
		})
	})
}

// startOneHost starts a fleet of one host and gives it time to load v1. fences says
// whether the engine refuses old fencing tokens.
func startOneHost(fences bool) (*fleet, *fakeEngine, *agent) {
	fleet := newFleet(1, configurations.Deployment{Fences: fences, CanaryHosts: 1}, "v1", "v2")
	engine := newFakeEngine(fences)
	started := fleet.startAgent("h0", engine)
	advance(30*time.Second, started)
	return fleet, engine, started
}

// Guards against all hosts going out of service at once when a new rollout, or a
// change of the routing, stops naming the version that they serve.
func TestRolloutReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(6, configurations.Deployment{MinimumServingShare: 0.6}, "v1", "v2", "v3")
		agents := startAgents(fleet, true)
		defer stopAgents(agents)
		convey.Convey("Hosts keep serving a version that is no longer intended until their turn to load", t, func() {
			advance(time.Minute, agents...)
			fleet.setRollout(configurations.RolloutRunning)
			for servedVersions(agents)["v2"] < 3 {
				advance(100 * time.Millisecond)
			}
			minimumServing := func(steps int) int {
				lowest := 6
				for range steps {
					advance(100 * time.Millisecond)
					versions := servedVersions(agents)
					lowest = min(lowest, versions["v1"]+versions["v2"]+versions["v3"])
				}
				return lowest
			}
			fleet.putObject(configurations.Rollout{Deployment: testDeployment, Version: "v3", Previous: "v1", State: configurations.RolloutRunning})
			convey.So(minimumServing(1200), convey.ShouldBeGreaterThanOrEqualTo, 4)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v3": 6})
			fleet.putObject(configurations.Routing{Deployment: testDeployment, Version: "v1"})
			convey.So(minimumServing(1200), convey.ShouldBeGreaterThanOrEqualTo, 4)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 6})
		})
	})
}

// Guards against a rollout that continues after a canary failed to load, and
// against a failed canary that no longer serves any version.
func TestCanaryFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(4, configurations.Deployment{MinimumServingShare: 0.5, CanaryHosts: 1}, "v1", "v2")
		agents := startAgents(fleet, true)
		defer stopAgents(agents)
		convey.Convey("A failed canary stops the rollout and all hosts serve the earlier version", t, func() {
			advance(30*time.Second, agents...)
			for _, agent := range agents {
				agent.engine.update(func(engine *fakeEngine) { engine.failLoad = true })
			}
			fleet.setRollout(configurations.RolloutRunning)
			advance(time.Minute, agents...)
			convey.So(fleet.rolloutState(), convey.ShouldEqual, configurations.RolloutStopped)
			for _, agent := range agents {
				agent.engine.update(func(engine *fakeEngine) { engine.failLoad = false })
			}
			advance(3*time.Minute, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 4})
			convey.So(fleet.routingVersion(), convey.ShouldEqual, "v1")
			convey.So(fleet.violations(), convey.ShouldBeEmpty)
			ordered := 0
			for _, agent := range agents {
				if agent.engine.hasOrderOf("v2") {
					ordered++
				}
			}
			convey.So(ordered, convey.ShouldEqual, 1)

			fleet.setRollout(configurations.RolloutRunning)
			advance(2*time.Minute, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v2": 4})
		})
	})
}

// Guards against sending the engine a chunk whose content does not match the
// manifest.
func TestCorruptChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine, agent := startOneHost(true)
		defer agent.stop()
		convey.Convey("A chunk with a wrong digest is never sent to the engine", t, func() {
			fleet.update(func() { fleet.corrupt = true })
			fleet.setRollout(configurations.RolloutRunning)
			advance(time.Minute, agent)
			version, _ := agent.admission()
			convey.So(version, convey.ShouldEqual, "v1")
			fleet.update(func() { fleet.corrupt = false })
			advance(time.Minute, agent)
			version, _ = agent.admission()
			convey.So(version, convey.ShouldEqual, "v2")
			convey.So(engine.hasOrderOf("v2"), convey.ShouldBeTrue)
			convey.So(fleet.violations(), convey.ShouldContain, "h0: invariant chunk_verified")
		})
	})
}

// Guards against a paused agent that resumes with an obsolete order after it was
// replaced: the engine must serve the intended version in the end, and the old
// agent must stop.
func TestPausedAgentResumes(t *testing.T) {
	for _, fences := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			fleet, engine, old := startOneHost(fences)
			convey.Convey("An agent that is paused during a load is replaced and then resumes", t, func() {
				fleet.setRollout(configurations.RolloutRunning)
				for !strings.Contains(old.loader.State().Target, "v2") || old.loader.State().State != StateLoading {
					advance(10 * time.Millisecond)
				}
				old.pause()
				fleet.setRollout(configurations.RolloutUndone)
				newer := fleet.startAgent("h0", engine)
				advance(time.Minute, newer)
				old.resume()
				advance(time.Minute, newer)
				version, serving := newer.admission()
				convey.So(serving, convey.ShouldBeTrue)
				convey.So(version, convey.ShouldEqual, "v1")
				convey.So(<-old.ended, convey.ShouldEqual, ErrFenced)
				convey.So(fleet.violations(), convey.ShouldBeEmpty)
				newer.stop()
			})
		})
	}
}

// Guards against admitting requests to an engine that restarted with another
// version or none, and against needing the table to load the right version again.
func TestEngineRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine, agent := startOneHost(false)
		defer agent.stop()
		convey.Convey("A restarted engine is not admitted until it serves the intended version", t, func() {
			fleet.table.update(func(table *fakeTable) { table.unavailable = true })
			for _, version := range []string{"v2", "v0", ""} {
				engine.restart(version, fleet.digestOf(version), fleet.contents[version])
				advance(2*time.Second, agent)
				_, serving := agent.admission()
				convey.So(serving, convey.ShouldBeFalse)
				advance(30*time.Second, agent)
				admitted, _ := agent.admission()
				convey.So(admitted, convey.ShouldEqual, "v1")
			}
			engine.restart("v1", fleet.digestOf("v2"), fleet.contents["v2"])
			advance(2*time.Second, agent)
			_, serving := agent.admission()
			convey.So(serving, convey.ShouldBeFalse)
			advance(30*time.Second, agent)
			convey.So(fleet.violations(), convey.ShouldBeEmpty)
		})
	})
}

// Guards against all hosts loading a new version before its canaries have, because
// they don't know the list of hosts yet.
func TestUnlistedHost(t *testing.T) {
	convey.Convey("A host that the platform does not list keeps the earlier version", t, func() {
		fleet := newFleet(1, configurations.Deployment{CanaryHosts: 1}, "v1", "v2")
		fleet.setRollout(configurations.RolloutRunning)
		view := View{
			Now: time.Unix(1000, 0), Self: "h0", Plan: NewPlan(fleet.Current(), testDeployment),
			Status: Status{Version: "v1"}, Reachable: true, HasToken: true, HasAllChunks: func(string) bool { return true },
		}
		convey.So(Decide(view), convey.ShouldResemble, Wait{})
		view.Members = fleet.members
		convey.So(Decide(view), convey.ShouldResemble, AcquireSlot{Slots: []int{0}})
		fleet.setRollout(configurations.RolloutUndone)
		view.Members, view.Plan, view.Status = nil, NewPlan(fleet.Current(), testDeployment), Status{Version: "v2"}
		convey.So(Decide(view), convey.ShouldResemble, Wait{Reason: "the platform does not list this host"})
	})
}

// Guards against a host that serves no version because it can't load the new one.
func TestHostCannotLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(3, configurations.Deployment{MinimumServingShare: 0.5}, "v1", "v2")
		agents := startAgents(fleet, true)
		defer stopAgents(agents)
		convey.Convey("The host serves the earlier version between its attempts to load the new one", t, func() {
			advance(30*time.Second, agents...)
			agents[0].engine.update(func(engine *fakeEngine) { engine.failVersion = "v2" })
			fleet.setRollout(configurations.RolloutRunning)
			advance(35*time.Second, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v1": 1, "v2": 2})
			agents[0].engine.update(func(engine *fakeEngine) { engine.failVersion = "" })
			advance(3*time.Minute, agents...)
			convey.So(servedVersions(agents), convey.ShouldResemble, map[string]int{"v2": 3})
		})
	})
}

// Guards against a slow load that loses the lease of its slot, or that is not
// cancelled when the rollout is undone.
func TestSlowLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _, agent := startOneHost(true)
		defer agent.stop()
		convey.Convey("A load whose pieces take longer than a lease is cancelled by an undo and completes otherwise", t, func() {
			fleet.update(func() { fleet.chunkPause = 20 * time.Second })
			fleet.setRollout(configurations.RolloutRunning)
			advance(30*time.Second, agent)
			fleet.setRollout(configurations.RolloutUndone)
			for range 600 {
				advance(100*time.Millisecond, agent)
				version, _ := agent.admission()
				convey.So(version, convey.ShouldEqual, "v1")
			}
			fleet.setRollout(configurations.RolloutRunning)
			advance(5*time.Minute, agent)
			version, _ := agent.admission()
			convey.So(version, convey.ShouldEqual, "v2")
		})
	})
}

// Guards against a load that waits forever for a chunk that was evicted after the
// version was fetched.
func TestEvictedChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _, agent := startOneHost(true)
		defer agent.stop()
		convey.Convey("A version with an evicted chunk is fetched again and loaded", t, func() {
			fleet.update(func() { fleet.chunkPause = 5 * time.Second })
			fleet.setRollout(configurations.RolloutRunning)
			advance(8*time.Second, agent)
			fleet.update(func() { fleet.evicted = true })
			advance(5*time.Minute, agent)
			version, _ := agent.admission()
			convey.So(version, convey.ShouldEqual, "v2")
		})
	})
}

// Guards against writes to the table by an agent that has not noticed yet that a
// later agent has taken over its host.
func TestReplacedAgentWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, engine, old := startOneHost(true)
		old.stop()
		newer := fleet.startAgent("h0", engine)
		defer newer.stop()
		convey.Convey("The table refuses the old agent's slot and record", t, func() {
			advance(10*time.Second, newer)
			loader := old.loader
			convey.So(loader.control.slots.writeLease(t.Context(), heldSlot{deployment: testDeployment}), convey.ShouldEqual, ErrFenced)
			loader.control.writtenRecord = HostRecord{}
			convey.So(loader.publishState(t.Context(), loader.currentView(), Wait{}), convey.ShouldEqual, ErrFenced)
		})
	})
}

// Guards against giving up a lease because the answer to its renewal was lost.
func TestLostLeaseAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _, agent := startOneHost(true)
		agent.stop()
		convey.Convey("Every renewal whose answer was lost is found in the table", t, func() {
			control := &agent.loader.control
			fleet.table.update(func(table *fakeTable) { table.loseAnswers = true })
			convey.So(control.slots.writeLease(t.Context(), heldSlot{deployment: testDeployment}), convey.ShouldBeNil)
			for range 20 {
				convey.So(control.slots.renew(t.Context(), control.slots.held.renewAt), convey.ShouldBeNil)
			}
		})
	})
}

// statusOnlyEngine is an engine that only reports its status.
type statusOnlyEngine struct {
	Engine
	status func() Status
}

func (engine statusOnlyEngine) Status(context.Context) (Status, error) { return engine.status(), nil }

// Guards against admitting requests because of a status that was read before a
// commit or before a pause of the process.
func TestOutdatedStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _, agent := startOneHost(true)
		agent.stop()
		loader := agent.loader
		serving := Status{Version: "v1", ManifestDigest: fleet.digestOf("v1")}
		read := func(meanwhile func()) bool {
			loader.dependencies.Engine = statusOnlyEngine{status: func() Status { meanwhile(); return serving }}
			loader.setAdmission("", false)
			loader.checkStatus(t.Context())
			_, admits := agent.admission()
			return admits
		}
		convey.Convey("A status that is out of date does not admit requests", t, func() {
			convey.So(read(func() {}), convey.ShouldBeTrue)
			convey.So(read(func() { loader.beginCommit(); loader.endCommit() }), convey.ShouldBeFalse)
			convey.So(read(func() { time.Sleep(time.Minute) }), convey.ShouldBeFalse)
		})
	})
}

// Guards against a host that never loads again because its engine has seen a
// higher fencing token than the table holds, for example after the table was
// restored.
func TestTableBehindEngineToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, configurations.Deployment{Fences: true}, "v1")
		engine := newFakeEngine(true)
		engine.highestToken = 1000
		agent := fleet.startAgent("h0", engine)
		defer agent.stop()
		convey.Convey("The agent acquires a token above the highest one that the engine has seen", t, func() {
			advance(time.Minute, agent)
			version, _ := agent.admission()
			convey.So(version, convey.ShouldEqual, "v1")
		})
	})
}

// Guards against an agent that sends an order after a pause without checking its
// token.
func TestPauseDetector(t *testing.T) {
	convey.Convey("After a gap between ticks, a check that began after the gap is required", t, func() {
		start := time.Unix(0, 0)
		detector := newPauseDetector(3*time.Second, start)
		detector.markVerified(start, start)
		convey.So(detector.mustVerify(start.Add(2*time.Second)), convey.ShouldBeFalse)
		convey.So(detector.mustVerify(start.Add(6*time.Second)), convey.ShouldBeTrue)
		detector.tick(start.Add(7 * time.Second))
		convey.So(detector.mustVerify(start.Add(8*time.Second)), convey.ShouldBeTrue)
		detector.markVerified(start.Add(4*time.Second), start.Add(8*time.Second))
		convey.So(detector.mustVerify(start.Add(8*time.Second)), convey.ShouldBeTrue)
		detector.markVerified(start.Add(8*time.Second), start.Add(9*time.Second))
		convey.So(detector.mustVerify(start.Add(9*time.Second)), convey.ShouldBeFalse)
	})
}
