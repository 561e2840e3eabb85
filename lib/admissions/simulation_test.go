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
	firstTokenTime = 30 * time.Millisecond
	tokenTime      = 9 * time.Millisecond
	warmUpTime     = time.Minute // Before floods start and the measurement begins.
)

type (
	// requestSource generates the requests of one organisation in a simulation.
	requestSource struct {
		name              string
		weight            float64
		perSecond         float64
		tokens            int // Mean number per request; each request has between half and one and a half of it.
		timeout           time.Duration
		startsAfterWarmUp bool // Sends its first request after the warm-up.
		latencies         []float64
		sent              int
		serviceSeconds    float64 // Service time received.
		generator         *rand.Rand
	}

	// simulation is a discrete-event simulation of a scheduler and a backend server
	// with fixed token times. It uses neither goroutines nor clocks.
	simulation struct {
		scheduler    *scheduler
		snapshot     configurations.Snapshot
		end          time.Time
		sources      []*requestSource
		now          time.Time
		events       eventHeap
		requestCount int
		lastOrder    int64
	}

	// simulationEvent is the arrival of a source's next request, or the end of an
	// attempt.
	simulationEvent struct {
		at     time.Time
		order  int64
		source *requestSource
		ended  *attempt
	}

	eventHeap []simulationEvent
)

func newSimulation(limits Limits, sources ...*requestSource) *simulation {
	simulation := &simulation{sources: sources, now: time.Unix(0, 0)}
	entries := []configurations.Entry{}
	for i, each := range sources {
		entries = append(entries, configurations.Entry{Object: configurations.Organisation{Name: each.name, Weight: each.weight}})
		each.generator = rand.New(rand.NewPCG(uint64(i), 1))
		simulation.scheduleArrival(each)
	}
	simulation.snapshot = configurations.NewSnapshot(1, entries)
	checker := invariants.NewForTest(func(name invariants.Name) { panic(fmt.Sprintf("violated invariant: %v", name)) })
	simulation.scheduler = newScheduler(limits.WithDefaults(), checker)
	simulation.scheduler.slots = simulatedSlots
	simulation.scheduler.admission = admissionState{reachable: true, serving: true}
	return simulation
}

func (simulation *simulation) schedule(event simulationEvent) {
	simulation.lastOrder++
	event.order = simulation.lastOrder
	heap.Push(&simulation.events, event)
}

func (simulation *simulation) scheduleArrival(source *requestSource) {
	gap := time.Duration(0)
	if source.startsAfterWarmUp && simulation.now.Before(simulation.measurementStart()) {
		gap = simulation.measurementStart().Sub(simulation.now)
	}
	gap += time.Duration(source.generator.ExpFloat64() / source.perSecond * float64(time.Second))
	simulation.schedule(simulationEvent{at: simulation.now.Add(gap), source: source})
}

// measurementStart returns the time at which the measurement begins.
func (simulation *simulation) measurementStart() time.Time {
	return time.Unix(0, 0).Add(warmUpTime)
}

// clampToMeasurement returns the time in the measurement that is closest to at.
func (simulation *simulation) clampToMeasurement(at time.Time) time.Time {
	switch {
	case at.Before(simulation.measurementStart()):
		return simulation.measurementStart()
	case at.After(simulation.end):
		return simulation.end
	default:
		return at
	}
}

// run simulates the warm-up and a measurement of the given duration, and continues
// until all attempts have ended.
func (simulation *simulation) run(span time.Duration) {
	simulation.end = simulation.measurementStart().Add(span)
	for len(simulation.events) > 0 {
		event := heap.Pop(&simulation.events).(simulationEvent)
		simulation.now = event.at
		if event.source != nil {
			if simulation.now.Before(simulation.end) {
				simulation.scheduleArrival(event.source)
				simulation.send(event.source)
			}
		} else {
			simulation.finish(event.ended)
		}
		for next := simulation.scheduler.startNext(simulation.now); next != nil; next = simulation.scheduler.startNext(simulation.now) {
			simulation.schedule(simulationEvent{at: simulation.now.Add(serviceTime(next.job)), ended: next})
		}
	}
}

func serviceTime(job job) time.Duration {
	return firstTokenTime + time.Duration(job.(generation).maxTokens-1)*tokenTime
}

func (simulation *simulation) send(source *requestSource) {
	simulation.requestCount++
	if !simulation.now.Before(simulation.measurementStart()) {
		source.sent++
	}
	tokens := source.tokens/2 + source.generator.IntN(source.tokens)
	request := requests.Request{
		AttemptID:    fmt.Sprintf("%s %d", source.name, simulation.requestCount),
		Organisation: source.name,
		Deadline:     simulation.now.Add(source.timeout),
		Idempotent:   true,
	}
	if outcome := simulation.scheduler.precheck(simulation.now, request, simulation.snapshot); outcome != nil {
		return
	}
	_, _ = simulation.scheduler.admit(simulation.now, request, generation{maxTokens: max(tokens, 1)})
}

func (simulation *simulation) finish(ended *attempt) {
	total := simulation.now.Sub(ended.startedAt).Seconds()
	tokens := ended.job.(generation).maxTokens
	simulation.scheduler.estimates = simulation.scheduler.estimates.WithGeneration(firstTokenTime.Seconds(), total, tokens, tokens)
	source := simulation.sourceOf(ended.request.Organisation)
	arrived := ended.request.Deadline.Add(-source.timeout)
	if !arrived.Before(simulation.measurementStart()) {
		source.latencies = append(source.latencies, simulation.now.Sub(arrived).Seconds())
	}
	source.serviceSeconds += max(simulation.clampToMeasurement(simulation.now).Sub(simulation.clampToMeasurement(ended.startedAt)).Seconds(), 0)
	simulation.scheduler.finish(simulation.now, ended, requests.Answered{})
	simulation.scheduler.releaseSlot(simulation.now, ended)
}

func (simulation *simulation) sourceOf(name string) *requestSource {
	for _, each := range simulation.sources {
		if each.name == name {
			return each
		}
	}
	return nil
}

// p95 returns the 95th percentile of the latency in seconds. A refused request
// counts as one with an infinite latency.
func (source *requestSource) p95() float64 {
	sorted := slices.Sorted(slices.Values(source.latencies))
	rank := int(0.95 * float64(source.sent))
	if rank >= len(sorted) {
		return 1e9
	}
	return sorted[rank]
}

func (source *requestSource) answeredShare() float64 {
	return float64(len(source.latencies)) / float64(source.sent)
}

// Len implements heap.Interface.
func (list eventHeap) Len() int { return len(list) }

// Less implements heap.Interface.
func (list eventHeap) Less(i, j int) bool {
	if !list[i].at.Equal(list[j].at) {
		return list[i].at.Before(list[j].at)
	}
	return list[i].order < list[j].order
}

// Swap implements heap.Interface.
func (list eventHeap) Swap(i, j int) { list[i], list[j] = list[j], list[i] }

// Push implements heap.Interface.
func (list *eventHeap) Push(event any) { *list = append(*list, event.(simulationEvent)) }

// Pop implements heap.Interface.
func (list *eventHeap) Pop() any {
	last := len(*list) - 1
	event := (*list)[last]
	*list = (*list)[:last]
	return event
}
