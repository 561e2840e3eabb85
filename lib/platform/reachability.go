package platform

// While the store does not answer, a process probes it with the smallest call that there
// is, at short intervals and although earlier probes are still open: a call that a
// partition has swallowed would otherwise delay the recovery by its own timeout. The
// watchers of the process wait for the probe and make their own calls one at a time. If
// those overlapped, each would transfer a table once more over links that are full
// after an outage.

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"firford/lib/waits"
)

const (
	// minProbeInterval is the first interval between two probes. The intervals have a
	// jitter, so that a fleet whose processes all lose the store at once does not overload
	// it.
	minProbeInterval = 100 * time.Millisecond
	// probeIntervalGrowth is the factor between two intervals. The first probe serves
	// broken connections, so it says little about the second.
	probeIntervalGrowth = 3
	// maxOpenProbes bounds the probes without an answer.
	maxOpenProbes = 4
)

type (
	// Prober makes the smallest call to the store and returns its position. It bounds the
	// call by itself, to a second or two. An error may come with the epoch of the store.
	Prober interface {
		Probe(ctx context.Context) (Position, error)
	}

	// Reachability is what a process knows about whether the store can be reached. It is
	// shared by the watchers of the process and safe for concurrent use.
	Reachability struct {
		prober   Prober
		interval time.Duration

		mutex sync.Mutex
		// waiting counts the watchers that wait for an answer, and reached is closed when
		// there is one. probing is set while probes are made.
		waiting int
		probing bool
		reached chan struct{}
		// failedAt is when the last call or probe began that the store did not answer.
		failedAt time.Time
		epoch    int64
	}

	// probe is a probe that has ended.
	probe struct {
		startedAt time.Time
		position  Position
		err       error
	}
)

// NewReachability returns the state of a store that can be reached. While it does not
// answer, probes begin at intervals that grow up to the longest one.
func NewReachability(prober Prober, longestInterval time.Duration) *Reachability {
	return &Reachability{prober: prober, interval: longestInterval, reached: make(chan struct{})}
}

// Await waits until the store answers a probe or the context ends.
func (reachability *Reachability) Await(ctx context.Context) {
	reachability.mutex.Lock()
	reachability.waiting++
	reached := reachability.reached
	if !reachability.probing {
		reachability.probing = true
		go reachability.probeUntilAnswered()
	}
	reachability.mutex.Unlock()
	select {
	case <-ctx.Done():
	case <-reached:
	}
	reachability.mutex.Lock()
	reachability.waiting--
	reachability.mutex.Unlock()
}

// probeUntilAnswered probes the store until it answers or no watcher waits any more.
func (reachability *Reachability) probeUntilAnswered() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	intervals := newProbeIntervals(reachability.interval)
	ended := make(chan probe, maxOpenProbes)
	var open openProbes
	next := time.After(intervals.NextBackOff())
	for {
		select {
		case <-next:
			next = time.After(intervals.NextBackOff())
			if reachability.endIfUnused() {
				return
			}
			if len(open) < maxOpenProbes {
				open = open.with(reachability.begin(ctx, ended))
			}
		case each := <-ended:
			open = open.without(each.startedAt)
			if each.err == nil {
				reachability.recordFailure(open.lastBefore(each.startedAt))
				reachability.recordReached(each.position.Epoch)
				return
			}
			reachability.recordEpoch(each.position.Epoch)
			reachability.recordFailure(each.startedAt)
		}
	}
}

func newProbeIntervals(longest time.Duration) *backoff.ExponentialBackOff {
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = min(minProbeInterval, longest)
	intervals.MaxInterval = longest
	intervals.Multiplier = probeIntervalGrowth
	return intervals
}

// begin starts a probe and returns when it began.
func (reachability *Reachability) begin(ctx context.Context, ended chan<- probe) time.Time {
	startedAt := time.Now()
	go func() {
		position, err := reachability.prober.Probe(ctx)
		ended <- probe{startedAt: startedAt, position: position, err: err}
	}()
	return startedAt
}

// endIfUnused ends the probing if no watcher waits, and reports whether it did.
func (reachability *Reachability) endIfUnused() bool {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	if reachability.waiting == 0 {
		reachability.probing = false
	}
	return !reachability.probing
}

func (reachability *Reachability) recordReached(epoch int64) {
	reachability.recordEpoch(epoch)
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	reachability.probing = false
	close(reachability.reached)
	reachability.reached = make(chan struct{})
}

// recordEpoch records the epoch of an answer of the store.
func (reachability *Reachability) recordEpoch(epoch int64) {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	reachability.epoch = max(reachability.epoch, epoch)
}

// knownEpoch returns the newest epoch that an answer has told.
func (reachability *Reachability) knownEpoch() int64 {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	return reachability.epoch
}

// recordFailure records when a call or a probe began that the store did not answer.
func (reachability *Reachability) recordFailure(startedAt time.Time) {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	reachability.failedAt = waits.Later(reachability.failedAt, startedAt)
}

// lastFailedAt returns when the last call or probe began that the store did not answer,
// zero if it answered all.
func (reachability *Reachability) lastFailedAt() time.Time {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	return reachability.failedAt
}

// openProbes holds when the probes began that have no answer, in order.
type openProbes []time.Time

func (open openProbes) with(startedAt time.Time) openProbes { return append(open, startedAt) }

func (open openProbes) without(startedAt time.Time) openProbes {
	var rest openProbes
	for _, each := range open {
		if !each.Equal(startedAt) {
			rest = append(rest, each)
		}
	}
	return rest
}

// lastBefore returns when the last probe began that another one, which began later, has
// overtaken, zero if there is none.
func (open openProbes) lastBefore(startedAt time.Time) time.Time {
	var last time.Time
	for _, each := range open {
		if each.Before(startedAt) {
			last = waits.Later(last, each)
		}
	}
	return last
}
