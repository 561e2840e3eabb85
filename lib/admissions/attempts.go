package admissions

import (
	"context"
	"time"

	"firford/lib/requests"
)

// Phases of an attempt.
const (
	phaseWaiting phase = iota
	phaseRunning
	phaseEnded
)

// reservedParts is the room that an answer gets at first.
const maxInitialParts = 64

type (
	phase int

	// attempt is one request in the queue or at the backend server, or one whose
	// answer is kept for collection. The ledger's lock guards it.
	attempt struct {
		request         requests.Request
		job             job
		flow            *flow
		expectedSeconds float64 // Expected service time.
		arrivalNumber   int64
		heapIndex       int // In the flow's heap.

		phase           phase
		epoch           int64  // Of the gate when the attempt started.
		intendedVersion string // Intended by the gate when the attempt started.
		startedAt       time.Time
		cancel          context.CancelFunc
		sendCount       int  // Times that it was given to the backend server.
		slotReleased    bool // Its slot is free again.
		subscribers     []*subscriber
		unsubscribedAt  time.Time // When the last follower left.

		parts     []string
		size      int
		outcome   requests.Outcome
		keepUntil time.Time
	}

	// follower is one caller that waits for the attempt. The signal says that
	// there is something new; it holds one, because the follower reads everything.
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

// add appends a part of the answer.
func (attempt *attempt) appendPart(text string) {
	attempt.parts = append(attempt.parts, text)
	attempt.size += len(text)
	if attempt.request.Stream {
		attempt.notify()
	}
}

// reserve makes room for the expected parts.
func (attempt *attempt) reserveParts(parts int) {
	if attempt.parts == nil && parts > 0 {
		attempt.parts = make([]string, 0, min(parts, maxInitialParts))
	}
}

// since returns the parts after the number, and the number of the first of them.
func (attempt *attempt) partsAfter(after int) ([]string, int) {
	base := attempt.request.AfterPart
	skipped := min(max(after-base, 0), len(attempt.parts))
	return attempt.parts[skipped:], base + skipped + 1
}
