package gateways

// This file lets another server take the place of one that has fallen silent. Silence
// alone does not tell whether the server is dead or goes on in a second. The silent
// server therefore keeps its request until another one has sent something: a request
// never ends because no other server could take it over.
//
// Sending the request on and closing the silent connection at once was dropped: if the
// second server was full, had ended or was silent too, the caller lost an answer that the
// first one would have completed.

import (
	"context"
	"slices"
	"time"

	"firford/lib/placements"
	"firford/lib/routes"
)

// takeoverInterval is the pause after which a request at a silent server looks again for
// another one, if none had room.
const takeoverInterval = 200 * time.Millisecond

// maxContenders is the number of servers that may work on a request at the same time.
const maxContenders = 2

// relay passes the answer of the server on to the caller. While that server is silent,
// another one may take its place. It ends all attempts but a failed last one, whose
// result it returns.
func (request *request) relay(ctx context.Context, first *attempt) attemptResult {
	open := []*attempt{first}
	timer := time.NewTimer(time.Until(first.silentAt))
	defer timer.Stop()
	for {
		current, part := nextPart(open, timer)
		if current == nil {
			open = request.openSecond(ctx, open, timer)
			continue
		}
		outcome := request.handlePart(ctx, current, part)
		if isProgress(part, outcome) && len(open) > 1 {
			open = request.closeOthers(open, current)
			timer.Reset(time.Until(current.silentAt))
		}
		if outcome == nil {
			continue
		}
		request.endAttempt(current, outcome)
		open = slices.DeleteFunc(open, func(each *attempt) bool { return each == current })
		if _, isGone := outcome.(callerGone); isGone || len(open) == 0 {
			for _, other := range open {
				request.endAttempt(other, callerGone{})
			}
			return outcome
		}
		timer.Reset(takeoverInterval)
	}
}

// nextPart waits for the next part of an answer, or for the timer, for which it returns
// no attempt.
func nextPart(open []*attempt, timer *time.Timer) (*attempt, answerPart) {
	var second chan answerPart
	if len(open) > 1 {
		second = open[1].parts
	}
	select {
	case part := <-open[0].parts:
		return open[0], part
	case part := <-second:
		return open[1], part
	case <-timer.C:
		return nil, nil
	}
}

// isProgress reports whether the caller got something, or its final answer, from the part.
func isProgress(part answerPart, outcome attemptResult) bool {
	switch outcome.(type) {
	case delivered:
		return true
	case nil:
		_, isEvents := part.(answerEvents)
		return isEvents
	default:
		return false
	}
}

// closeOthers ends all attempts but the one whose server has sent something.
func (request *request) closeOthers(open []*attempt, current *attempt) []*attempt {
	for _, other := range open {
		if other != current {
			request.endAttempt(other, superseded{wasSilent: other.sentAt.Before(current.sentAt)})
		}
	}
	return []*attempt{current}
}

// openSecond sends the request to a second server if the first one is silent, and sets
// the timer to when it has to be called again. Without another server that may take its
// place, the first one has until the deadline of the request.
func (request *request) openSecond(ctx context.Context, open []*attempt, timer *time.Timer) []*attempt {
	first := open[0]
	if len(open) == maxContenders || first.silentAt.IsZero() {
		return open
	}
	if wait := time.Until(first.silentAt); wait > 0 {
		timer.Reset(wait)
		return open
	}
	if second := request.tryTakeover(ctx); second != nil {
		open = append(open, second)
	}
	timer.Reset(takeoverInterval)
	return open
}

// tryTakeover sends the request to another server that has room now. It returns nil if
// there is none, or if the request may not be sent again.
func (request *request) tryTakeover(ctx context.Context) *attempt {
	if !request.mayTakeOver() || ctx.Err() != nil || request.callerGaveUp(time.Now()) {
		return nil
	}
	queue := request.gateway.Queue
	reservation := queue.tryAcquire(request.waiter())
	if reservation == nil {
		return nil
	}
	if !queue.takeRetry(request.service) {
		queue.release(reservation, placements.Abandoned)
		return nil
	}
	request.recordPlacement(reservation)
	second, failure := request.open(ctx, reservation)
	if second == nil {
		request.recordOutcome(reservation, failure)
	}
	return second
}

// mayTakeOver reports whether the route allows one more server beside the present one.
func (request *request) mayTakeOver() bool {
	return request.match.Route.MayRetry() && request.sentCount+1 < request.match.Route.MaxAttempts && request.connectFailures < maxConnectFailures
}

// firstSilentAt returns when a server counts as silent that has not begun to answer.
func (request *request) firstSilentAt(sentAt time.Time) time.Time {
	switch {
	case !request.mayTakeOver():
		return time.Time{}
	case request.match.Route.RetryMode == routes.Stream:
		return sentAt.Add(firstEventTargets * request.target())
	default:
		remaining := request.deadline.Add(answerMargin).Sub(sentAt)
		return sentAt.Add(time.Duration(answerTimeShare * float64(remaining)))
	}
}

// nextSilentAt returns when a server counts as silent after an event.
func (request *request) nextSilentAt() time.Time {
	if !request.mayTakeOver() {
		return time.Time{}
	}
	return request.lastDeliveredAt.Add(eventTimeoutGaps * request.maxEventGap())
}
