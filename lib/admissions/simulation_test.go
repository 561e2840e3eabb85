package admissions

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"firford/lib/configurations"
	"firford/lib/invariants"
	"firford/lib/requests"
)

const (
	simulatedSlots = 16
	simulatedFirst = 30 * time.Millisecond
	simulatedToken = 9 * time.Millisecond
	simulatedWarm  = time.Minute // Before the flood begins and the figures are taken.
)

type (
	// source is one organisation's stream of requests in a simulation.
	source struct {
		name      string
		weight    float64
		perSecond float64
		tokens    int // Mean; each request has between half and one and a half of it.
		budget    time.Duration
		late      bool // Begins after the warm-up.
		latencies []float64
		sent      int
		seconds   float64 // Of service.
		generator *rand.Rand
	}

	// simulation runs a ledger against a server with fixed token times, event by
	// event, without goroutines or clocks.
	simulation struct {
		ledger   *ledger
		snapshot configurations.Snapshot
		end      time.Time
		sources  []*source
		now      time.Time
		events   events
		count    int
		order    int64
		violated []invariants.Name
	}

	// simulated is an event: an arrival of a source, or the end of an attempt.
	simulated struct {
		at     time.Time
		order  int64
		source *source
		ended  *attempt
	}

	events []simulated
)

func newSimulation(limits Limits, sources ...*source) *simulation {
	run := &simulation{sources: sources, now: time.Unix(0, 0)}
	entries := []configurations.Entry{}
	for i, each := range sources {
		entries = append(entries, configurations.Entry{Object: configurations.Organisation{Name: each.name, Weight: each.weight}})
		each.generator = rand.New(rand.NewPCG(uint64(i), 1))
		run.arrive(each)
	}
	run.snapshot = configurations.NewSnapshot(1, entries)
	checker := invariants.NewForTest(func(name invariants.Name) { run.violated = append(run.violated, name) })
	run.ledger = newLedger(limits.WithDefaults(), checker)
	run.ledger.slots = simulatedSlots
	run.ledger.gate = gate{reachable: true, serving: true}
	return run
}

func (run *simulation) schedule(event simulated) {
	run.order++
	event.order = run.order
	heap.Push(&run.events, event)
}

func (run *simulation) arrive(from *source) {
	gap := time.Duration(0)
	if from.late && run.now.Before(run.measured()) {
		gap = run.measured().Sub(run.now)
	}
	gap += time.Duration(from.generator.ExpFloat64() / from.perSecond * float64(time.Second))
	run.schedule(simulated{at: run.now.Add(gap), source: from})
}

// measured is when the figures begin.
func (run *simulation) measured() time.Time {
	return time.Unix(0, 0).Add(simulatedWarm)
}

// limit moves a time into the span of the figures.
func (run *simulation) limit(at time.Time) time.Time {
	switch {
	case at.Before(run.measured()):
		return run.measured()
	case at.After(run.end):
		return run.end
	default:
		return at
	}
}

// run plays the events of the warm-up and of the time that the figures cover.
func (run *simulation) run(span time.Duration) {
	run.end = run.measured().Add(span)
	for len(run.events) > 0 {
		event := heap.Pop(&run.events).(simulated)
		run.now = event.at
		if event.source != nil {
			if run.now.Before(run.end) {
				run.arrive(event.source)
				run.send(event.source)
			}
		} else {
			run.finish(event.ended)
		}
		for next := run.ledger.next(run.now); next != nil; next = run.ledger.next(run.now) {
			run.schedule(simulated{at: run.now.Add(serviceTime(next.work)), ended: next})
		}
	}
}

func serviceTime(work job) time.Duration {
	return simulatedFirst + time.Duration(work.(generation).maxTokens-1)*simulatedToken
}

func (run *simulation) send(from *source) {
	run.count++
	if !run.now.Before(run.measured()) {
		from.sent++
	}
	tokens := from.tokens/2 + from.generator.IntN(from.tokens)
	request := requests.Request{
		AttemptID:    fmt.Sprintf("%s %d", from.name, run.count),
		Organisation: from.name,
		Deadline:     run.now.Add(from.budget),
		Idempotent:   true,
	}
	if outcome := run.ledger.screen(run.now, request, run.snapshot); outcome != nil {
		return
	}
	_, _ = run.ledger.admit(run.now, request, generation{maxTokens: max(tokens, 1)})
}

func (run *simulation) finish(ended *attempt) {
	total := run.now.Sub(ended.started).Seconds()
	tokens := ended.work.(generation).maxTokens
	run.ledger.estimates = run.ledger.estimates.WithGeneration(simulatedFirst.Seconds(), total, tokens, tokens)
	from := run.of(ended.request.Organisation)
	arrived := ended.request.Deadline.Add(-from.budget)
	if !arrived.Before(run.measured()) {
		from.latencies = append(from.latencies, run.now.Sub(arrived).Seconds())
	}
	from.seconds += max(run.limit(run.now).Sub(run.limit(ended.started)).Seconds(), 0)
	run.ledger.finish(run.now, ended, requests.Answered{})
	run.ledger.release(run.now, ended)
}

func (run *simulation) of(name string) *source {
	for _, each := range run.sources {
		if each.name == name {
			return each
		}
	}
	return nil
}

// p95 counts a refused request as one that never ends.
func (from *source) p95() float64 {
	sorted := slices.Sorted(slices.Values(from.latencies))
	rank := int(0.95 * float64(from.sent))
	if rank >= len(sorted) {
		return 1e9
	}
	return sorted[rank]
}

func (from *source) answeredShare() float64 {
	return float64(len(from.latencies)) / float64(from.sent)
}

// Len implements heap.Interface.
func (list events) Len() int { return len(list) }

// Less implements heap.Interface.
func (list events) Less(i, j int) bool {
	if !list[i].at.Equal(list[j].at) {
		return list[i].at.Before(list[j].at)
	}
	return list[i].order < list[j].order
}

// Swap implements heap.Interface.
func (list events) Swap(i, j int) { list[i], list[j] = list[j], list[i] }

// Push implements heap.Interface.
func (list *events) Push(event any) { *list = append(*list, event.(simulated)) }

// Pop implements heap.Interface.
func (list *events) Pop() any {
	last := len(*list) - 1
	event := (*list)[last]
	*list = (*list)[:last]
	return event
}
