package selection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"firford/lib/backends"
	"firford/lib/requests"
)

const (
	histogramMaximum = int64(time.Minute / time.Microsecond)
	histogramDigits  = 3
	requestBudget    = 2 * time.Second
)

type (
	// cellPlan describes one cell of the table. rate is the number of requests per
	// second over all entries.
	cellPlan struct {
		policy    backends.Policy
		lag       time.Duration
		entries   int
		speeds    []float64
		rate      float64
		warmUp    time.Duration
		length    time.Duration
		servesAPI bool
	}

	// callerResult is what the callers of a cell observed. Latencies are in
	// microseconds.
	callerResult struct {
		mutex           sync.Mutex
		firstPart       *hdrhistogram.Histogram
		sent            int
		answered        int
		refused         int
		unknown         int
		wrong           int
		runs            []int64
		violations      int
		measuredSeconds float64

		// answeredInTime counts the answers that arrived within the measured time, also
		// those of requests that were sent before it.
		measureStart, measureEnd time.Time
		answeredInTime           int
	}
)

func newResult() *callerResult {
	return &callerResult{firstPart: hdrhistogram.New(1, histogramMaximum, histogramDigits)}
}

// measureCell sends requests at random times that do not depend on the answers, so
// that a slow fleet gets the same load as a fast one.
func measureCell(ctx context.Context, plan cellPlan, seed uint64) (*callerResult, error) {
	fleet, err := startFleet(ctx, plan)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	random := rand.New(rand.NewPCG(seed, 0))
	start := time.Now()
	measureStart := start.Add(plan.warmUp)
	measureEnd := measureStart.Add(plan.length)
	measured := newResult()
	measured.measureStart, measured.measureEnd = measureStart, measureEnd
	var callers sync.WaitGroup
	var runsBefore []int64
	for next := start; next.Before(measureEnd); next = next.Add(time.Duration(random.ExpFloat64() / plan.rate * float64(time.Second))) {
		if !next.Before(measureStart) && runsBefore == nil {
			runsBefore = fleet.countRuns()
		}
		time.Sleep(time.Until(next))
		entry := fleet.dispatchers[random.IntN(len(fleet.dispatchers))]
		callers.Go(func() { measured.send(ctx, entry, !next.Before(measureStart)) })
	}
	callers.Wait()
	if runsBefore == nil {
		runsBefore = fleet.countRuns()
	}
	measured.runs = fleet.countRuns()
	for index := range measured.runs {
		measured.runs[index] -= runsBefore[index]
	}
	measured.violations, measured.measuredSeconds = fleet.violations, plan.length.Seconds()
	return measured, ctx.Err()
}

// countRuns returns how many requests each engine has run.
func (fleet *fleet) countRuns() []int64 {
	var counts []int64
	for _, engine := range fleet.engines {
		counts = append(counts, engine.runs.Load())
	}
	return counts
}

// send sends one request to the entry and records the outcome for its caller.
// Requests that are sent during the warm-up only count towards the goodput.
func (result *callerResult) send(ctx context.Context, entry *requests.Dispatcher, isCounted bool) {
	sent := time.Now()
	var firstPart time.Time
	parts := 0
	outcome := entry.Dispatch(ctx, requests.IncomingRequest{Request: requests.Request{
		RequestID: requests.NewID(), Organisation: organisation, Deployment: deployment, Deadline: sent.Add(requestBudget),
		Idempotent: true, Priority: 5, Stream: true, Body: fmt.Appendf(nil, `{"prompt":"bench","max_tokens":%d,"stream":true}`, answerTokens),
	}}, func(requests.Part) {
		if parts++; parts == 1 {
			firstPart = time.Now()
		}
	})
	result.mutex.Lock()
	defer result.mutex.Unlock()
	ended := time.Now()
	if _, answered := outcome.(requests.Answered); answered && ended.After(result.measureStart) && ended.Before(result.measureEnd) {
		result.answeredInTime++
	}
	if !isCounted {
		return
	}
	result.sent++
	if parts > 0 {
		_ = result.firstPart.RecordValue(firstPart.Sub(sent).Microseconds()) // Below the histogram's maximum because of the deadline.
	}
	switch outcome.(type) {
	case requests.Answered:
		result.answered++
		if parts != answerTokens {
			result.wrong++
		}
	case requests.NotRun:
		result.refused++
	default:
		result.unknown++
	}
}

// quantileMS returns a percentile of the time to the first part in milliseconds.
func (result *callerResult) quantileMS(percent float64) float64 {
	return float64(result.firstPart.ValueAtQuantile(percent)) / 1000
}

// spread returns how unevenly the engines were used: the highest number of runs of
// an engine relative to its speed, divided by the lowest. It is 0 if an engine had
// no runs.
func (result *callerResult) spread(speeds []float64) float64 {
	least, most := 0.0, 0.0
	for index, count := range result.runs {
		share := float64(count) / speeds[index]
		if index == 0 || share < least {
			least = share
		}
		most = max(most, share)
	}
	if least == 0 {
		return 0
	}
	return most / least
}
