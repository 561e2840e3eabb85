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
	liveInterval   = 10 * time.Millisecond
	liveParallel   = 64
	highestLatency = 10_000_000 // microseconds
)

// startLive sends live requests to random surviving hosts at a fixed rate and
// returns the function that ends it with the p95 in milliseconds. The rate does
// not depend on the answers, so that slow hosts are not asked less often.
func (driving *driver) startLive(ctx context.Context) func() float64 {
	ctx, cancel := context.WithCancel(ctx)
	var mutex sync.Mutex
	latencies := hdrhistogram.New(1, highestLatency, 3)
	var group sync.WaitGroup
	group.Go(func() {
		random := rand.New(rand.NewPCG(driving.made.Seed, 3))
		slots := make(chan struct{}, liveParallel)
		ticker := time.NewTicker(liveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case due := <-ticker.C:
				host := driving.survivors[random.IntN(len(driving.survivors))]
				slots <- struct{}{}
				group.Go(func() {
					defer func() { <-slots }()
					micros := driving.live(driving.made.Admins[host.Name], due)
					mutex.Lock()
					defer mutex.Unlock()
					_ = latencies.RecordValue(micros) // live keeps it within the range.
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

// live returns the latency of one request in microseconds; a failed one counts
// as the highest latency.
func (driving *driver) live(address string, due time.Time) int64 {
	status, _, err := driving.client.GetTimeout(nil, "http://"+address+livePath, callTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return highestLatency
	}
	return min(time.Since(due).Microseconds(), highestLatency)
}
