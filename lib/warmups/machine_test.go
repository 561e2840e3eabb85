package warmups

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

const (
	// The intervals and lifetimes are those of lib/loads and cmd/entry/routed.
	modelStep             = 20 * time.Millisecond
	modelTick             = 200 * time.Millisecond
	modelReportInterval   = 500 * time.Millisecond
	modelSubscribeAfter   = time.Second
	modelSubscriptionLife = 3500 * time.Millisecond
)

type (
	// modelEntry is an entry whose callers always wait. Its clock differs from the others'.
	modelEntry struct {
		address     int
		clock       time.Duration
		frozenUntil time.Time
		// written and unwritten are requests that were being sent when the entry froze.
		written, unwritten int
		nextTick           time.Time
		nextSubscription   time.Time
		presence           Presence
		census             Census
		starts             Starts
	}

	// modelAgent is the agent beside a server. It is dead until downUntil.
	modelAgent struct {
		downUntil  time.Time
		nextReport time.Time
		known      map[int]time.Time
	}

	// warmupModel is a cold server with its entries and two agents, of which only the first
	// one dies.
	warmupModel struct {
		now      time.Time
		bound    Bound
		entries  []*modelEntry
		agents   [2]*modelAgent
		random   *rand.Rand
		arrivals []time.Time
	}
)

func (entry *modelEntry) local(now time.Time) time.Time { return now.Add(entry.clock) }

func (entry *modelEntry) isFrozen(now time.Time) bool { return now.Before(entry.frozenUntil) }

// restart replaces the entry by one that knows nothing.
func (entry *modelEntry) restart() {
	*entry = modelEntry{address: entry.address, clock: entry.clock + time.Hour}
}

func (model *warmupModel) join(address int) {
	model.entries = append(model.entries, &modelEntry{address: address, clock: time.Duration(model.random.IntN(7200)-3600) * time.Second})
}

func (model *warmupModel) isUsed(address int) bool {
	return slices.ContainsFunc(model.entries, func(entry *modelEntry) bool { return entry.address == address })
}

func (model *warmupModel) report(agent *modelAgent) {
	var addresses []int
	for address, until := range agent.known {
		if model.now.Before(until) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	for _, entry := range model.entries {
		position, isKnown := slices.BinarySearch(addresses, entry.address)
		// One in ten reports is lost.
		if isKnown && !entry.isFrozen(model.now) && model.random.IntN(10) > 0 {
			entry.presence = entry.presence.With(entry.local(model.now))
			entry.census = entry.census.With(Group{Count: len(addresses), Position: position}, entry.local(model.now))
		}
	}
}

func (model *warmupModel) runAgents() {
	for _, agent := range model.agents {
		if model.now.Before(agent.downUntil) || model.now.Before(agent.nextReport) {
			continue
		}
		agent.nextReport = model.now.Add(modelReportInterval)
		model.report(agent)
	}
}

func (model *warmupModel) subscribe(entry *modelEntry) {
	for _, agent := range model.agents {
		if model.now.Before(agent.downUntil) {
			continue
		}
		if _, isKnown := agent.known[entry.address]; !isKnown {
			agent.nextReport = model.now
		}
		agent.known[entry.address] = model.now.Add(modelSubscriptionLife)
	}
	entry.nextSubscription = model.now.Add(modelSubscribeAfter)
}

// arrive records a request that reaches the server after the delay of the network.
func (model *warmupModel) arrive() {
	delay := time.Duration(model.random.Int64N(int64(networkMargin)))
	model.arrivals = append(model.arrivals, model.now.Add(delay))
}

func (model *warmupModel) runEntry(entry *modelEntry) {
	if entry.isFrozen(model.now) {
		return
	}
	local := entry.local(model.now)
	for ; entry.unwritten > 0; entry.unwritten-- {
		model.arrive()
		entry.written++
	}
	for ; entry.written > 0; entry.written-- {
		entry.starts = entry.starts.WithSent(local)
	}
	if share := entry.share(local, model.bound); entry.starts.MayReserve(share, local) && model.random.IntN(2) == 0 {
		entry.starts = entry.starts.WithReserved()
	}
	for entry.starts.reserved > 0 && entry.mayBegin(local, model.bound) {
		entry.starts = entry.starts.WithSending()
		model.arrive()
		entry.starts = entry.starts.WithSent(local)
	}
	if !model.now.Before(entry.nextTick) {
		entry.presence = entry.presence.With(local)
		entry.nextTick = model.now.Add(modelTick)
	}
	if !model.now.Before(entry.nextSubscription) {
		model.subscribe(entry)
	}
}

func (entry *modelEntry) share(local time.Time, bound Bound) int {
	if !entry.presence.IsSettled(local) {
		return 0
	}
	return bound.Share(entry.census.Group())
}

func (entry *modelEntry) mayBegin(local time.Time, bound Bound) bool {
	return entry.starts.MaySend(entry.share(local, bound), local)
}

func (model *warmupModel) run(duration time.Duration) {
	for until := model.now.Add(duration); model.now.Before(until); model.now = model.now.Add(modelStep) {
		for _, entry := range model.entries {
			model.runEntry(entry)
		}
		model.runAgents()
	}
}

// freeze freezes an entry that is sending as many requests as it may.
func (model *warmupModel) freeze(entry *modelEntry, duration time.Duration, isWritten bool) {
	if entry.isFrozen(model.now) {
		return
	}
	local := entry.local(model.now)
	for entry.starts.MayReserve(entry.share(local, model.bound), local) {
		entry.starts = entry.starts.WithReserved().WithSending()
		entry.unwritten++
		if isWritten {
			model.arrive()
			entry.unwritten--
			entry.written++
		}
	}
	entry.frozenUntil = model.now.Add(duration)
}

// mostInASecond returns the largest number of arrivals in any sliding second.
func mostInASecond(arrivals []time.Time) int {
	sorted := slices.Clone(arrivals)
	slices.SortFunc(sorted, time.Time.Compare)
	most, first := 0, 0
	for last, at := range sorted {
		for at.Sub(sorted[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func newWarmupModel(t *rapid.T) *warmupModel {
	model := &warmupModel{
		now: time.Unix(1_800_000_000, 0), bound: Bound(rapid.IntRange(1, 80).Draw(t, "bound")),
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
	}
	for i := range model.agents {
		model.agents[i] = &modelAgent{known: map[int]time.Time{}}
	}
	for range rapid.IntRange(1, 20).Draw(t, "entries") {
		model.join(10 * len(model.entries))
	}
	return model
}

// TestEntriesNeverExceedTheBound guards against a cold server that crashes because all
// entries together send more than its bound in some second: while entries with clocks of
// their own freeze in the middle of sending, restart, join and leave, and while an agent
// dies and forgets the entries.
func TestEntriesNeverExceedTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newWarmupModel(t)
		draw := func(t *rapid.T) *modelEntry {
			return model.entries[rapid.IntRange(0, len(model.entries)-1).Draw(t, "entry")]
		}
		pause := func(t *rapid.T, label string) time.Duration {
			return time.Duration(rapid.IntRange(1, 7000).Draw(t, label)) * time.Millisecond
		}
		model.run(4 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { model.run(pause(t, "ms")) },
			"freeze": func(t *rapid.T) {
				model.freeze(draw(t), pause(t, "frozen ms"), rapid.Bool().Draw(t, "written"))
			},
			"restart": func(t *rapid.T) { draw(t).restart() },
			"join": func(t *rapid.T) {
				if address := rapid.IntRange(0, 200).Draw(t, "address"); !model.isUsed(address) && len(model.entries) < 30 {
					model.join(address)
				}
			},
			"leave": func(t *rapid.T) {
				if gone := draw(t); len(model.entries) > 1 {
					model.entries = slices.DeleteFunc(model.entries, func(entry *modelEntry) bool { return entry == gone })
				}
			},
			"agent dies": func(t *rapid.T) {
				*model.agents[0] = modelAgent{known: map[int]time.Time{}, downUntil: model.now.Add(pause(t, "down ms"))}
			},
			"": func(t *rapid.T) {
				if most := mostInASecond(model.arrivals); most > int(model.bound) {
					t.Fatalf("%d requests in a second, more than %d", most, model.bound)
				}
			},
		})
	})
}
