package rollouts

// This file tests a fleet under random sequences of faults, and the allowance of
// slots for random fleets.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"firford/lib/configurations"
	_ "firford/lib/fixedseed"
	"firford/lib/hosts"
	"firford/lib/platform"
)

const (
	// Agents start startOffset after one another, and each of their calls takes
	// callLatency. No ticker is then due at the instant at which another event wakes
	// its goroutine. The race detector of Go 1.26.8 crashes when a goroutine receives
	// from a due timer while another timer of the same synctest bubble fires. The
	// events of the test are whole milliseconds apart, so the offsets of all agents
	// together stay below one.
	startOffset = 37 * time.Microsecond
	callLatency = time.Nanosecond
)

// faultEvent is one fault of a host, or one recovery or operator's change. wait is
// the time that passes after it.
type faultEvent struct {
	kind string
	host int
	wait time.Duration
}

var faultKinds = []string{
	"pause", "replace", "resume", "engine_restart", "engine_other", "engine_empty", "engine_down", "engine_up",
	"fail_load", "load_works", "table_out", "table_back", "lose", "keep", "run", "pause_rollout", "stop_rollout", "undo",
}

// faultyFleet is a fleet to which faults are applied. agents holds all agents of
// each host in the order in which they were started. random chooses the order in
// which agents are resumed.
type faultyFleet struct {
	fleet   *fleet
	engines []*fakeEngine
	agents  [][]*agent
	random  *rand.Rand
}

func (state *faultyFleet) allAgents() []*agent { return slices.Concat(state.agents...) }

func (state *faultyFleet) newestAgent(host int) *agent {
	return state.agents[host][len(state.agents[host])-1]
}

// resume resumes the agents in random order, each after the one before it waits
// again. A resumed agent receives from a ticker that became due during its pause,
// and two agents must not do so at once (see callLatency).
func (state *faultyFleet) resume(agents []*agent) {
	for _, index := range state.random.Perm(len(agents)) {
		agents[index].resume()
		synctest.Wait()
	}
}

func (state *faultyFleet) apply(next faultEvent) {
	engine, fleet := state.engines[next.host], state.fleet
	switch next.kind {
	case "pause":
		state.newestAgent(next.host).pause()
	case "replace":
		if len(state.agents[next.host]) < 4 {
			state.agents[next.host] = append(state.agents[next.host], fleet.startAgent(fleet.members[next.host].Name, engine))
		}
	case "resume":
		state.resume(state.agents[next.host])
	case "engine_restart":
		engine.restart("v1", fleet.digestOf("v1"), fleet.contents["v1"])
	case "engine_other":
		engine.restart("v0", "", nil)
	case "engine_empty":
		engine.restart("", "", nil)
	case "engine_down", "engine_up":
		engine.update(func(engine *fakeEngine) { engine.down = next.kind == "engine_down" })
	case "fail_load", "load_works":
		engine.update(func(engine *fakeEngine) { engine.failLoad = next.kind == "fail_load" })
	case "table_out", "table_back":
		fleet.table.update(func(table *fakeTable) { table.unavailable = next.kind == "table_out" })
	case "lose", "keep":
		fleet.table.update(func(table *fakeTable) { table.loseAnswers = next.kind == "lose" })
		engine.update(func(engine *fakeEngine) { engine.loseAnswers = next.kind == "lose" })
	case "run":
		fleet.setRollout(configurations.RolloutRunning)
	case "pause_rollout":
		fleet.setRollout(configurations.RolloutPaused)
	case "stop_rollout":
		fleet.setRollout(configurations.RolloutStopped)
	case "undo":
		fleet.setRollout(configurations.RolloutUndone)
	}
	advance(next.wait, state.allAgents()...)
}

// endFaults ends every fault and gives the fleet time to recover.
func (state *faultyFleet) endFaults() {
	state.fleet.table.update(func(table *fakeTable) { table.unavailable, table.loseAnswers = false, false })
	for _, engine := range state.engines {
		engine.update(func(engine *fakeEngine) { engine.down, engine.failLoad, engine.loseAnswers = false, false, false })
	}
	state.resume(state.allAgents())
	advance(10*time.Minute, state.allAgents()...)
}

// problems returns the violations so far, and what is wrong with each host after
// the faults have ended.
func (state *faultyFleet) problems() []string {
	problems := state.fleet.violations()
	plan := NewPlan(state.fleet.Current(), testDeployment)
	for host, engine := range state.engines {
		admitting := 0
		for _, agent := range state.agents[host] {
			if version, serving := agent.admission(); serving {
				admitting++
				if !plan.Admits(Status{Version: version}) {
					problems = append(problems, fmt.Sprintf("host %d ends on %q", host, version))
				}
			}
		}
		if admitting != 1 {
			problems = append(problems, fmt.Sprintf("host %d: %d of %d agents admit work", host, admitting, len(state.agents[host])))
		}
		if engine.checkTokens && !slices.IsSorted(engine.acceptedTokens) {
			problems = append(problems, fmt.Sprintf("host %d: tokens went back: %v", host, engine.acceptedTokens))
		}
	}
	return problems
}

// runFaults applies the events in synthetic time and returns the problems found.
func runFaults(t *testing.T, fences bool, events []faultEvent) (problems []string) {
	synctest.Test(t, func(*testing.T) {
		state := &faultyFleet{
			fleet:  newFleet(3, configurations.Deployment{MinimumServingShare: 0.5, CanaryHosts: 1, Fences: fences}, "v1", "v2"),
			random: rand.New(rand.NewPCG(3, 3)),
		}
		state.fleet.startOffset, state.fleet.callLatency = startOffset, callLatency
		for _, host := range state.fleet.members {
			engine := newFakeEngine(fences)
			state.engines = append(state.engines, engine)
			state.agents = append(state.agents, []*agent{state.fleet.startAgent(host.Name, engine)})
		}
		advance(20*time.Second, state.allAgents()...)
		for _, next := range events {
			state.apply(next)
		}
		state.endFaults()
		problems = state.problems()
		for _, agent := range state.allAgents() {
			agent.cancel()
			<-agent.ended
		}
	})
	return problems
}

// Guards against any sequence of faults, replaced agents and operators' changes
// after which a host serves no version, admits requests for a version that is not
// intended, or has two agents that both admit requests.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		fences := rapid.Bool().Draw(check, "fences")
		var events []faultEvent
		for range rapid.IntRange(1, 25).Draw(check, "count") {
			events = append(events, faultEvent{
				kind: rapid.SampledFrom(faultKinds).Draw(check, "kind"),
				host: rapid.IntRange(0, 2).Draw(check, "host"),
				wait: time.Duration(rapid.IntRange(0, 20_000).Draw(check, "wait_ms")) * time.Millisecond,
			})
		}
		if problems := runFaults(t, fences, events); len(problems) > 0 {
			check.Fatalf("%v\nafter %+v", problems[:min(5, len(problems))], events)
		}
	})
}

// Guards against a reader that considers a lease expired before its holder does,
// and against more slots than the minimum share of serving hosts allows.
func TestSlotsKeepMinimumServingShare(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		const lease = 30 * time.Second
		count := rapid.IntRange(1, 20).Draw(check, "hosts")
		share := rapid.Float64Range(0, 1).Draw(check, "share")
		plan := Plan{Deployment: configurations.Deployment{Name: testDeployment, MinimumServingShare: share}}
		now := time.Unix(1000, 0)
		snapshot := TableSnapshot{}
		var members []hosts.Host
		var rows []platform.Row
		add := func(key string, value any) {
			rows = append(rows, platform.Row{Key: key, Value: mustEncode(value), Revision: int64(len(rows) + 1)})
		}
		serving := 0
		for index := range count {
			name := fmt.Sprintf("h%d", index)
			members = append(members, hosts.Host{Name: name})
			if rapid.Bool().Draw(check, "serving") || index == 0 {
				serving++
				add(hostKey(testDeployment, name), HostRecord{Host: name, State: StateServing})
			}
		}
		snapshot = snapshot.WithRows(testDeployment, rows, now)
		for index := range count {
			name := fmt.Sprintf("h%d", index)
			record, _ := snapshot.Host(name)
			free := snapshot.FreeSlots(plan, members, name, now)
			if record.State != StateServing || len(free) == 0 {
				continue
			}
			serving--
			late := time.Duration(rapid.IntRange(0, 5000).Draw(check, "late_ms")) * time.Millisecond
			add(slotKey(testDeployment, free[0]), SlotRecord{Host: name, RemainingMS: lease.Milliseconds()})
			snapshot = snapshot.WithRows(testDeployment, rows[len(rows)-1:], now.Add(late))
			if _, held := snapshot.slotsHeldByOthers("", now.Add(lease-time.Millisecond))[free[0]]; !held {
				check.Fatalf("a reader ended the lease before its holder")
			}
		}
		if minimum := count - maxOutOfService(count, share); serving < minimum && len(snapshot.slotsHeldByOthers("", now)) > 0 {
			check.Fatalf("%d of %d serve, at least %d must", serving, count, minimum)
		}
	})
}
