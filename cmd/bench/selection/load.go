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
	budget           = 2 * time.Second
)

type (
	// plan is one cell of the table. rate is requests per second over all entries.
	plan struct {
		policy  backends.Policy
		lag     time.Duration
		entries int
		speeds  []float64
		rate    float64
		warmUp  time.Duration
		length  time.Duration
		http    bool
	}

	// result is what the callers of a cell have seen.
	result struct {
		mutex      sync.Mutex
		firstPart  *hdrhistogram.Histogram
		asked      int
		answered   int
		refused    int
		unknown    int
		wrong      int
		runs       []int64
		violations int
		measured   float64 // Seconds.

		// Answers that came within the measured time, whenever they were asked for.
		from, until time.Time
		inTime      int
	}
)

func newResult() *result {
	return &result{firstPart: hdrhistogram.New(1, histogramMaximum, histogramDigits)}
}

// measure asks at random times, independent of the answers, so that a slow
// fleet meets the same load as a fast one.
func measure(ctx context.Context, plan plan, seed uint64) (*result, error) {
	built, err := start(ctx, plan)
	if err != nil {
		return nil, err
	}
	defer built.close()
	random := rand.New(rand.NewPCG(seed, 0))
	begin := time.Now()
	counted := begin.Add(plan.warmUp)
	end := counted.Add(plan.length)
	seen := newResult()
	seen.from, seen.until = counted, end
	var wait sync.WaitGroup
	var before []int64
	for next := begin; next.Before(end); next = next.Add(time.Duration(random.ExpFloat64() / plan.rate * float64(time.Second))) {
		if !next.Before(counted) && before == nil {
			before = built.runs()
		}
		time.Sleep(time.Until(next))
		entry := built.entries[random.IntN(len(built.entries))]
		wait.Go(func() { seen.ask(ctx, entry, !next.Before(counted)) })
	}
	wait.Wait()
	seen.runs = built.runs()
	for index := range seen.runs {
		seen.runs[index] -= before[index]
	}
	seen.violations, seen.measured = built.violations, plan.length.Seconds()
	return seen, ctx.Err()
}

func (fleet *fleet) runs() []int64 {
	var counts []int64
	for _, engine := range fleet.engines {
		counts = append(counts, engine.runs.Load())
	}
	return counts
}

// ask sends one request to the entry and records what its caller sees.
// Requests of the warm-up count towards the goodput only.
func (seen *result) ask(ctx context.Context, entry *requests.Dispatcher, counts bool) {
	begun := time.Now()
	var first time.Time
	parts := 0
	outcome := entry.Dispatch(ctx, requests.IncomingRequest{Request: requests.Request{
		RequestID: requests.NewID(), Organisation: organisation, Deployment: deployment, Deadline: begun.Add(budget),
		Idempotent: true, Priority: 5, Stream: true, Body: fmt.Appendf(nil, `{"prompt":"bench","max_tokens":%d,"stream":true}`, answer),
	}}, func(requests.Part) {
		if parts++; parts == 1 {
			first = time.Now()
		}
	})
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	ended := time.Now()
	if _, answered := outcome.(requests.Answered); answered && ended.After(seen.from) && ended.Before(seen.until) {
		seen.inTime++
	}
	if !counts {
		return
	}
	seen.asked++
	if parts > 0 {
		_ = seen.firstPart.RecordValue(first.Sub(begun).Microseconds()) // Below the histogram's maximum by the deadline.
	}
	switch outcome.(type) {
	case requests.Answered:
		seen.answered++
		if parts != answer {
			seen.wrong++
		}
	case requests.NotRun:
		seen.refused++
	default:
		seen.unknown++
	}
}

// quantile returns the time to the first part in milliseconds.
func (seen *result) quantile(percent float64) float64 {
	return float64(seen.firstPart.ValueAtQuantile(percent)) / 1000
}

// spread is the highest number of runs of an engine for its speed, divided by
// the lowest.
func (seen *result) spread(speeds []float64) float64 {
	least, most := 0.0, 0.0
	for index, count := range seen.runs {
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
