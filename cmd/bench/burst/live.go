package burst

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const (
	liveInterval    = 10 * time.Millisecond
	maxLiveRequests = 64
	highestLatency  = 10_000_000 // microseconds
)

// startLiveLoad sends live requests to random surviving hosts at a fixed rate.
// The returned function stops the load and returns the p95 latency in
// milliseconds. The rate does not depend on the responses, so that slow hosts do
// not get fewer requests.
func (driver *driver) startLiveLoad(ctx context.Context) func() float64 {
	ctx, cancel := context.WithCancel(ctx)
	var mutex sync.Mutex
	latencies := hdrhistogram.New(1, highestLatency, 3)
	var group sync.WaitGroup
	group.Go(func() {
		random := rand.New(rand.NewPCG(driver.plan.Seed, 3))
		slots := make(chan struct{}, maxLiveRequests)
		ticker := time.NewTicker(liveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case due := <-ticker.C:
				host := driver.survivors[random.IntN(len(driver.survivors))]
				slots <- struct{}{}
				group.Go(func() {
					defer func() { <-slots }()
					micros := driver.liveLatency(driver.plan.AdminAddresses[host.Name], due)
					mutex.Lock()
					defer mutex.Unlock()
					_ = latencies.RecordValue(micros) // liveLatency stays within the range.
				})
			}
		}
	})
	return func() float64 {
		cancel()
		group.Wait()
		return float64(latencies.ValueAtQuantile(95)) / 1000
	}
}

// liveLatency sends one request and returns its latency in microseconds since
// due. A failed request counts as the highest latency.
func (driver *driver) liveLatency(address string, due time.Time) int64 {
	status, _, err := driver.client.GetTimeout(nil, "http://"+address+livePath, callTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return highestLatency
	}
	return min(time.Since(due).Microseconds(), highestLatency)
}
