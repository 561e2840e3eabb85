package transfers

// Transfers share a host's link with each other and with live requests. The
// link is a token bucket in front of which each deployment queues; the queues
// take turns by bytes served, so that every deployment gets an equal share. One
// bucket for each deployment was dropped, because the share of an idle
// deployment would stay unused.

import (
	"context"
	"math"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// pieceBytes is the largest amount taken from the link at once. Smaller
	// pieces share more evenly and cost more wake-ups.
	pieceBytes = 16 << 10
	// A timer that fires late must not lose link time, so the bucket holds what
	// the link carries in this time.
	burstS = 0.005
)

type (
	bandwidth struct {
		limiter *rate.Limiter

		mutex   sync.Mutex
		classes map[string]*class
		pumping bool
	}

	// class is the queue of one deployment. Its length is bounded by the windows
	// of the fetchers and the queue limit of the chunk server.
	class struct {
		served float64
		queue  []*grant
	}

	grant struct {
		bytes int
		done  chan struct{}
	}
)

// newBandwidth returns a link of the rate; zero means that it has no limit.
func newBandwidth(bytesPerS float64) *bandwidth {
	link := &bandwidth{classes: map[string]*class{}}
	if bytesPerS > 0 {
		link.limiter = rate.NewLimiter(rate.Limit(bytesPerS), max(pieceBytes, int(bytesPerS*burstS)))
	}
	return link
}

// setRate changes the rate of a limited link.
func (link *bandwidth) setRate(bytesPerS float64) {
	if link.limiter != nil {
		link.limiter.SetLimit(rate.Limit(bytesPerS))
	}
}

// take waits until the link has carried the bytes, at most pieceBytes, for the
// deployment. It returns early when the context ends.
func (link *bandwidth) take(ctx context.Context, deployment string, bytes int) error {
	if link.limiter == nil || bytes == 0 {
		return ctx.Err()
	}
	waiting := &grant{bytes: min(bytes, pieceBytes), done: make(chan struct{})}
	link.enqueue(deployment, waiting)
	select {
	case <-waiting.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (link *bandwidth) enqueue(deployment string, waiting *grant) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	queue, known := link.classes[deployment]
	if !known {
		queue = &class{served: link.leastServed()}
		link.classes[deployment] = queue
	}
	queue.queue = append(queue.queue, waiting)
	if !link.pumping {
		link.pumping = true
		go link.pump()
	}
}

// leastServed is where a deployment starts that has been idle: it gets no
// credit for the time in which it did not ask.
func (link *bandwidth) leastServed() float64 {
	least := math.Inf(1)
	for _, each := range link.classes {
		least = min(least, each.served)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// pump grants until no one waits.
func (link *bandwidth) pump() {
	for {
		next := link.next()
		if next == nil {
			return
		}
		// Without a deadline, WaitN fails only for more than the burst, which
		// take excludes.
		_ = link.limiter.WaitN(context.Background(), next.bytes)
		close(next.done)
	}
}

// next removes the first grant of the deployment that was served least.
func (link *bandwidth) next() *grant {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	var chosen *class
	for name, each := range link.classes {
		switch {
		case len(each.queue) == 0:
			// It starts anew with its next request.
			delete(link.classes, name)
		case chosen == nil || each.served < chosen.served:
			chosen = each
		}
	}
	if chosen == nil {
		link.pumping = false
		return nil
	}
	first := chosen.queue[0]
	chosen.queue = chosen.queue[1:]
	chosen.served += float64(first.bytes)
	return first
}
