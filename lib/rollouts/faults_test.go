package rollouts

import (
	"fmt"
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

// event is one disturbance of a fleet, after which some time passes.
type event struct {
	kind string
	host int
	wait time.Duration
}

var eventKinds = []string{
	"pause", "replace", "resume", "engine_restart", "engine_other", "engine_empty", "engine_down", "engine_up",
	"fail_load", "load_works", "table_out", "table_back", "lose", "keep", "run", "pause_rollout", "stop_rollout", "undo",
}

// disturbed is a fleet under faults. agents holds every agent of a host in the
// order of their start.
type disturbed struct {
	fleet   *fleet
	engines []*fakeEngine
	agents  [][]*agent
}

func (state *disturbed) all() []*agent { return slices.Concat(state.agents...) }

func (state *disturbed) newest(host int) *agent {
	return state.agents[host][len(state.agents[host])-1]
}

func (state *disturbed) apply(next event) {
	engine, fleet := state.engines[next.host], state.fleet
	switch next.kind {
	case "pause":
		state.newest(next.host).pause()
	case "replace":
		if len(state.agents[next.host]) < 4 {
			state.agents[next.host] = append(state.agents[next.host], fleet.start(fleet.members[next.host].Name, engine))
		}
	case "resume":
		for _, each := range state.agents[next.host] {
			each.resume()
		}
	case "engine_restart":
		engine.restart("v1", fleet.digestOf("v1"), fleet.contents["v1"])
	case "engine_other":
		engine.restart("v0", "", nil)
	case "engine_empty":
		engine.restart("", "", nil)
	case "engine_down", "engine_up":
		engine.set(func(engine *fakeEngine) { engine.down = next.kind == "engine_down" })
	case "fail_load", "load_works":
		engine.set(func(engine *fakeEngine) { engine.failLoad = next.kind == "fail_load" })
	case "table_out", "table_back":
		fleet.table.set(func(table *fakeTable) { table.out = next.kind == "table_out" })
	case "lose", "keep":
		fleet.table.set(func(table *fakeTable) { table.lose = next.kind == "lose" })
		engine.set(func(engine *fakeEngine) { engine.lose = next.kind == "lose" })
	case "run":
		fleet.rollout(configurations.RolloutRunning)
	case "pause_rollout":
		fleet.rollout(configurations.RolloutPaused)
	case "stop_rollout":
		fleet.rollout(configurations.RolloutStopped)
	case "undo":
		fleet.rollout(configurations.RolloutUndone)
	}
	settle(next.wait, state.all()...)
}

// calm ends every fault, as the world does in the end, and lets the fleet settle.
func (state *disturbed) calm() {
	state.fleet.table.set(func(table *fakeTable) { table.out, table.lose = false, false })
	for host, engine := range state.engines {
		engine.set(func(engine *fakeEngine) { engine.down, engine.failLoad, engine.lose = false, false, false })
		for _, each := range state.agents[host] {
			each.resume()
		}
	}
	settle(10*time.Minute, state.all()...)
}

// check returns what is wrong after the faults have ended.
func (state *disturbed) check() []string {
	wrong := state.fleet.violations()
	plan := NewPlan(state.fleet.Current(), testDeployment)
	for host, engine := range state.engines {
		admitting := 0
		for _, each := range state.agents[host] {
			if version, serving := each.admits(); serving {
				admitting++
				if !plan.Admits(Status{Version: version}) {
					wrong = append(wrong, fmt.Sprintf("host %d ends on %q", host, version))
				}
			}
		}
		if admitting != 1 {
			wrong = append(wrong, fmt.Sprintf("host %d: %d of %d agents admit work", host, admitting, len(state.agents[host])))
		}
		if engine.fences && !slices.IsSorted(engine.accepted) {
			wrong = append(wrong, fmt.Sprintf("host %d: tokens went back: %v", host, engine.accepted))
		}
	}
	return wrong
}

// runDisturbed runs the events in synthetic time and returns what went wrong.
func runDisturbed(t *testing.T, fences bool, events []event) (wrong []string) {
	synctest.Test(t, func(*testing.T) {
		state := &disturbed{fleet: newFleet(3, configurations.Deployment{MinimumServingShare: 0.5, CanaryHosts: 1, Fences: fences}, "v1", "v2")}
		for _, host := range state.fleet.members {
			engine := newFakeEngine(fences)
			state.engines = append(state.engines, engine)
			state.agents = append(state.agents, []*agent{state.fleet.start(host.Name, engine)})
		}
		settle(20*time.Second, state.all()...)
		for _, next := range events {
			state.apply(next)
		}
		state.calm()
		wrong = state.check()
		for _, each := range state.all() {
			each.cancel()
			<-each.ended
		}
	})
	return wrong
}

// Guards against any order of faults, replacements and operators' changes after
// which a host stays without a version, admits one that is not intended, or has
// two agents that both give work to its engine.
func TestFaultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		fences := rapid.Bool().Draw(check, "fences")
		var events []event
		for range rapid.IntRange(1, 25).Draw(check, "count") {
			events = append(events, event{
				kind: rapid.SampledFrom(eventKinds).Draw(check, "kind"),
				host: rapid.IntRange(0, 2).Draw(check, "host"),
				wait: time.Duration(rapid.IntRange(0, 20_000).Draw(check, "wait_ms")) * time.Millisecond,
			})
		}
		if wrong := runDisturbed(t, fences, events); len(wrong) > 0 {
			check.Fatalf("%v\nafter %+v", wrong[:min(5, len(wrong))], events)
		}
	})
}

// Guards against a reader that ends a lease before its holder does, and against
// more slots than the minimum share leaves.
func TestSlotsKeepTheShare(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		const lease = 30 * time.Second
		count := rapid.IntRange(1, 20).Draw(check, "hosts")
		share := rapid.Float64Range(0, 1).Draw(check, "share")
		plan := Plan{Deployment: configurations.Deployment{Name: testDeployment, MinimumServingShare: share}}
		now := time.Unix(1000, 0)
		board := TableSnapshot{}
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
		board = board.WithRows(testDeployment, rows, now)
		for index := range count {
			name := fmt.Sprintf("h%d", index)
			record, _ := board.Host(name)
			free := board.FreeSlots(plan, members, name, now)
			if record.State != StateServing || len(free) == 0 {
				continue
			}
			serving--
			late := time.Duration(rapid.IntRange(0, 5000).Draw(check, "late_ms")) * time.Millisecond
			add(slotKey(testDeployment, free[0]), SlotRecord{Host: name, RemainingMS: lease.Milliseconds()})
			board = board.WithRows(testDeployment, rows[len(rows)-1:], now.Add(late))
			if _, held := board.heldSlots("", now.Add(lease-time.Millisecond))[free[0]]; !held {
				check.Fatalf("a reader ended the lease before its holder")
			}
		}
		if least := count - mostLoading(count, share); serving < least && len(board.heldSlots("", now)) > 0 {
			check.Fatalf("%d of %d serve, at least %d must", serving, count, least)
		}
	})
}
