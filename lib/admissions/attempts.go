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
const reservedParts = 64

type (
	phase int

	// attempt is one request in the queue or at the backend server, or one whose
	// answer is kept for collection. The ledger's lock guards it.
	attempt struct {
		request  requests.Request
		work     job
		flow     *flow
		seconds  float64 // Expected service time.
		arrival  int64
		position int // In the flow's heap.

		phase     phase
		epoch     int64  // Of the gate when the attempt started.
		version   string // Intended by the gate when the attempt started.
		started   time.Time
		cancel    context.CancelFunc
		handed    int  // Times that it was given to the backend server.
		released  bool // Its slot is free again.
		followers []*follower
		followed  time.Time // When the last follower left.

		parts     []string
		bytes     int
		outcome   requests.Outcome
		keepUntil time.Time
	}

	// follower is one caller that waits for the attempt. The signal says that
	// there is something new; it holds one, because the follower reads everything.
	follower struct {
		signal chan struct{}
	}
)

func (followed *attempt) notify() {
	for _, waiting := range followed.followers {
		select {
		case waiting.signal <- struct{}{}:
		default:
		}
	}
}

func (followed *attempt) join() *follower {
	joined := &follower{signal: make(chan struct{}, 1)}
	followed.followers = append(followed.followers, joined)
	return joined
}

func (followed *attempt) leave(left *follower, now time.Time) {
	for i, waiting := range followed.followers {
		if waiting == left {
			last := len(followed.followers) - 1
			followed.followers[i] = followed.followers[last]
			followed.followers[last] = nil
			followed.followers = followed.followers[:last]
			break
		}
	}
	followed.followed = now
}

// add appends a part of the answer.
func (followed *attempt) add(text string) {
	followed.parts = append(followed.parts, text)
	followed.bytes += len(text)
	if followed.request.Stream {
		followed.notify()
	}
}

// reserve makes room for the expected parts.
func (followed *attempt) reserve(parts int) {
	if followed.parts == nil && parts > 0 {
		followed.parts = make([]string, 0, min(parts, reservedParts))
	}
}

// since returns the parts after the number, and the number of the first of them.
func (followed *attempt) since(after int) ([]string, int) {
	base := followed.request.AfterPart
	skipped := min(max(after-base, 0), len(followed.parts))
	return followed.parts[skipped:], base + skipped + 1
}
