package placements

// An entry that is told to stop ends at a known time. This file decides which requests it
// may still start. A request that is cut off at a server may have run, so that its caller
// can't repeat it safely; one that is refused has not run, and another entry can take it.
// So a request starts only if its whole answer is expected before the end.

import "time"

const (
	// The weights of the newest answer and the number of deviations are those of the
	// retransmission timer of TCP (RFC 6298): an estimate that most answers keep, from two
	// numbers for each route.
	answerTimeWeight      = 1.0 / 8
	answerDeviationWeight = 1.0 / 4
	answerDeviations      = 4
	// minAnswerMargin is added to the mean at least. Answers that all take the same time have
	// no deviation.
	minAnswerMargin = 100 * time.Millisecond
	// maxAnswerTimes bounds the routes whose answers are remembered.
	maxAnswerTimes = 4096
	// StoppingRetryAfter is the delay after which callers should retry, at another entry, if
	// this one stops.
	StoppingRetryAfter = 50 * time.Millisecond
)

// answerKind tells how long the answer to a request takes: its route, the target of that
// route, which counts while no answer is known, and whether it is a stream in progress.
type answerKind struct {
	route     string
	target    time.Duration
	isResumed bool
}

func (requirements Requirements) answerKind() answerKind {
	return answerKind{route: requirements.Route, target: requirements.Target, isResumed: requirements.Resumed}
}

// answerTime estimates how long requests of a route take from their start at a server to
// the end of their answer. It is immutable. The zero value knows no answer.
type answerTime struct{ mean, deviation time.Duration }

// with returns the estimate after one more answer.
func (known answerTime) with(took time.Duration) answerTime {
	if known.mean == 0 {
		return answerTime{mean: took, deviation: took / 2}
	}
	difference := took - known.mean
	known.mean += time.Duration(answerTimeWeight * float64(difference))
	known.deviation += time.Duration(answerDeviationWeight * float64(difference.Abs()-known.deviation))
	return known
}

// most returns the time within which most answers end, or otherwise if none is known.
func (known answerTime) most(otherwise time.Duration) time.Duration {
	if known.mean == 0 {
		return otherwise
	}
	return known.mean + max(minAnswerMargin, answerDeviations*known.deviation)
}

// recordAnswerTime records that an answer ended, counted from the start of its request.
// What is left of a resumed stream tells nothing about whole answers.
func (dispatcher *Dispatcher) recordAnswerTime(reservation *Reservation, now time.Time) {
	route := reservation.answerKind.route
	if reservation.answerKind.isResumed {
		return
	}
	if _, isKnown := dispatcher.answerTimes[route]; !isKnown && len(dispatcher.answerTimes) >= maxAnswerTimes {
		clear(dispatcher.answerTimes)
	}
	dispatcher.answerTimes[route] = dispatcher.answerTimes[route].with(now.Sub(reservation.startedAt))
}

// Stop records that this entry ends at the time. From now on it starts only requests that
// are expected to be answered by then. Stop returns the refusals of the waiting requests
// that are not, by the wait that is expected for them.
func (dispatcher *Dispatcher) Stop(endsAt, now time.Time) []Refusal {
	dispatcher.endsAt = endsAt
	return dispatcher.refuseTooLate(now, func(waiter Waiter, ahead int) time.Time {
		return now.Add(dispatcher.expectedWait(waiter, ahead, now))
	})
}

// RefuseTooLate removes from the queues the requests that can't be answered any more before
// this entry ends, and returns their refusals.
func (dispatcher *Dispatcher) RefuseTooLate(now time.Time) []Refusal {
	return dispatcher.refuseTooLate(now, func(Waiter, int) time.Time { return now })
}

// refuseTooLate refuses the waiting requests that start too late. The function startAt
// returns when a request starts with this many others ahead.
func (dispatcher *Dispatcher) refuseTooLate(now time.Time, startAt func(waiter Waiter, ahead int) time.Time) []Refusal {
	var refusals []Refusal
	for service, queue := range dispatcher.queues {
		for ahead, waiter := range queue.Waiters() {
			if !dispatcher.isTooLate(waiter.Requirements.answerKind(), startAt(waiter, ahead)) {
				continue
			}
			dispatcher.Remove(service, waiter.Number)
			refusals = append(refusals, Refusal{Number: waiter.Number, Refused: dispatcher.stoppingRefusal(waiter.Requirements, ahead, now)})
		}
	}
	return refusals
}

// isTooLate reports whether a request that starts then is not expected to be answered
// before this entry ends. A stream in progress has less left than a whole answer, and is
// continued until the end.
func (dispatcher *Dispatcher) isTooLate(kind answerKind, startAt time.Time) bool {
	if dispatcher.endsAt.IsZero() {
		return false
	}
	if !kind.isResumed {
		startAt = startAt.Add(dispatcher.answerTimes[kind.route].most(kind.target))
	}
	return !startAt.Before(dispatcher.endsAt)
}

// stoppingRefusal returns the refusal of a request that this entry can't answer before it
// ends.
func (dispatcher *Dispatcher) stoppingRefusal(requirements Requirements, ahead int, now time.Time) Refused {
	return Refused{
		RetryAfter: dispatcher.spread(StoppingRetryAfter), Ahead: ahead,
		Candidates: dispatcher.fleet.CountCandidates(requirements, overcommit(requirements), now), Cause: Stopping,
	}
}
