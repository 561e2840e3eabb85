package admissions

import (
	"context"
	"time"

	"firford/lib/requests"
)

// An attempt is one run of a request at this agent. Several callers may wait for
// the same attempt, for example after a connection broke, so an attempt outlives
// the call that created it: it stores its parts, and each subscriber reads them at
// its own pace.

// Phases of an attempt.
const (
	phaseWaiting phase = iota
	phaseRunning
	phaseEnded
)

// maxInitialParts bounds the number of parts that are allocated in advance.
const maxInitialParts = 64

type (
	phase int

	// attempt is a request that waits, runs at the backend server, or has ended and
	// is kept for Collect. The queue's lock guards it.
	attempt struct {
		request         requests.Request
		job             job
		flow            *flow
		expectedSeconds float64 // Expected service time when the request was admitted.
		arrivalNumber   int64
		heapIndex       int // In flow.waiting.

		phase           phase
		epoch           int64  // Epoch of the admission state when the attempt started.
		intendedVersion string // Intended version when the attempt started.
		startedAt       time.Time
		cancel          context.CancelFunc
		sendCount       int  // How often it was sent to the backend server.
		slotReleased    bool // The slot has been given back.
		subscribers     []*subscriber
		unsubscribedAt  time.Time // When a subscriber last left, or when the request was admitted.

		parts     []string
		size      int
		outcome   requests.Outcome
		keepUntil time.Time
	}

	// subscriber is one caller that waits for an attempt. A value on signal means
	// that there are new parts or an outcome. A buffer of one value is enough,
	// because the subscriber then reads everything that is new.
	subscriber struct {
		signal chan struct{}
	}
)

func (attempt *attempt) notify() {
	for _, subscriber := range attempt.subscribers {
		select {
		case subscriber.signal <- struct{}{}:
		default:
		}
	}
}

func (attempt *attempt) subscribe() *subscriber {
	added := &subscriber{signal: make(chan struct{}, 1)}
	attempt.subscribers = append(attempt.subscribers, added)
	return added
}

func (attempt *attempt) unsubscribe(removed *subscriber, now time.Time) {
	for i, candidate := range attempt.subscribers {
		if candidate == removed {
			last := len(attempt.subscribers) - 1
			attempt.subscribers[i] = attempt.subscribers[last]
			attempt.subscribers[last] = nil
			attempt.subscribers = attempt.subscribers[:last]
			break
		}
	}
	attempt.unsubscribedAt = now
}

// appendPart stores a part of the answer and, for a streamed request, signals the
// subscribers.
func (attempt *attempt) appendPart(text string) {
	attempt.parts = append(attempt.parts, text)
	attempt.size += len(text)
	if attempt.request.Stream {
		attempt.notify()
	}
}

// reserveParts allocates memory for the expected number of parts.
func (attempt *attempt) reserveParts(parts int) {
	if attempt.parts == nil && parts > 0 {
		attempt.parts = make([]string, 0, min(parts, maxInitialParts))
	}
}

// partsAfter returns the parts with a number above after, and the number of the
// first of them.
func (attempt *attempt) partsAfter(after int) ([]string, int) {
	base := attempt.request.AfterPart
	skipped := min(max(after-base, 0), len(attempt.parts))
	return attempt.parts[skipped:], base + skipped + 1
}
