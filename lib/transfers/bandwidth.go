package transfers

// Transfers share a host's link with each other and with live requests. The rate
// of the link is enforced by a token bucket. Each deployment has a queue of
// reservations, and the queue with the fewest bytes granted goes next, so that
// every deployment gets an equal share. One bucket for each deployment was
// rejected, because the share of an idle deployment would stay unused.

import (
	"context"
	"math"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// quantumBytes is the largest number of bytes reserved at once. A smaller
	// quantum shares the link more evenly and costs more goroutine wake-ups.
	quantumBytes = 16 << 10
	// burstSeconds sets the burst of the bucket to what the link carries in this
	// time, so that a timer that fires late loses no link capacity.
	burstSeconds = 0.005
)

type (
	// fairLimiter limits the rate of one direction of the link and divides it
	// equally among deployments. It is safe for concurrent use.
	fairLimiter struct {
		bucket *rate.Limiter

		mutex       sync.Mutex
		queues      map[string]*deploymentQueue
		dispatching bool
	}

	// deploymentQueue holds the reservations of one deployment. Its length is
	// bounded by the request windows of the transfers and by the upload limit of
	// the chunk server.
	deploymentQueue struct {
		grantedBytes float64
		waiting      []*reservation
	}

	// reservation is a number of bytes that waits for the link. The channel done
	// is closed when the bytes are granted.
	reservation struct {
		bytes int
		done  chan struct{}
	}
)

// newFairLimiter returns a limiter of the rate; zero means no limit.
func newFairLimiter(bytesPerS float64) *fairLimiter {
	limiter := &fairLimiter{queues: map[string]*deploymentQueue{}}
	if bytesPerS > 0 {
		limiter.bucket = rate.NewLimiter(rate.Limit(bytesPerS), max(quantumBytes, int(bytesPerS*burstSeconds)))
	}
	return limiter
}

// setRate changes the rate. It has no effect on a limiter without a limit.
func (limiter *fairLimiter) setRate(bytesPerS float64) {
	if limiter.bucket != nil {
		limiter.bucket.SetLimit(rate.Limit(bytesPerS))
	}
}

// acquire waits until the bytes are granted to the deployment. It grants at most
// quantumBytes. It returns the context's error if the context ends first.
func (limiter *fairLimiter) acquire(ctx context.Context, deployment string, bytes int) error {
	if limiter.bucket == nil || bytes == 0 {
		return ctx.Err()
	}
	pending := &reservation{bytes: min(bytes, quantumBytes), done: make(chan struct{})}
	limiter.enqueue(deployment, pending)
	select {
	case <-pending.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enqueue appends the reservation to the deployment's queue and starts dispatch
// if it does not run.
func (limiter *fairLimiter) enqueue(deployment string, pending *reservation) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	queue, known := limiter.queues[deployment]
	if !known {
		queue = &deploymentQueue{grantedBytes: limiter.minGranted()}
		limiter.queues[deployment] = queue
	}
	queue.waiting = append(queue.waiting, pending)
	if !limiter.dispatching {
		limiter.dispatching = true
		go limiter.dispatch()
	}
}

// minGranted returns the fewest bytes granted to any queue. A deployment that was
// idle starts from this value, so that it gets no credit for its idle time.
func (limiter *fairLimiter) minGranted() float64 {
	fewest := math.Inf(1)
	for _, each := range limiter.queues {
		fewest = min(fewest, each.grantedBytes)
	}
	if math.IsInf(fewest, 1) {
		return 0
	}
	return fewest
}

// dispatch grants reservations at the rate of the link until all queues are empty.
func (limiter *fairLimiter) dispatch() {
	for {
		next := limiter.next()
		if next == nil {
			return
		}
		// Without a deadline, WaitN fails only for more bytes than the burst, which
		// acquire excludes.
		_ = limiter.bucket.WaitN(context.Background(), next.bytes)
		close(next.done)
	}
}

// next removes and returns the first reservation of the deployment with the fewest
// bytes granted, or nil if all queues are empty.
func (limiter *fairLimiter) next() *reservation {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	var chosen *deploymentQueue
	for name, each := range limiter.queues {
		switch {
		case len(each.waiting) == 0:
			// The deployment gets a new queue with its next reservation.
			delete(limiter.queues, name)
		case chosen == nil || each.grantedBytes < chosen.grantedBytes:
			chosen = each
		}
	}
	if chosen == nil {
		limiter.dispatching = false
		return nil
	}
	first := chosen.waiting[0]
	chosen.waiting = chosen.waiting[1:]
	chosen.grantedBytes += float64(first.bytes)
	return first
}
