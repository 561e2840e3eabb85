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

	"firford/lib/demands"
	"firford/lib/placements"
	"firford/lib/routes"
	"firford/lib/waits"
)

const (
	// takeoverInterval is the pause after which a request at a silent server is offered to
	// the queue again, if the queue has refused it.
	takeoverInterval = 200 * time.Millisecond
	// maxContenders is the number of servers that may work on a request at the same time.
	maxContenders = 2
	// takeoverShare is the share of the time that the caller of a stream still waits which
	// a silent server gets. A request that was sent late would otherwise have no time left
	// for a second one.
	takeoverShare = 0.5
)

// relay is the state of a request that is at one or two servers. place is set while the
// first one is silent and the request waits for room at a second one. versionsChanged is
// closed when the announced versions change.
type relay struct {
	request         *request
	open            []*attempt
	place           *pendingPlace
	timer           *time.Timer
	versionsChanged <-chan struct{}
}

// relayAnswer passes the answer of the server on to the caller. While that server is
// silent, another one may take its place. It ends all attempts and returns how the last
// one ended.
func (request *request) relayAnswer(ctx context.Context, first *attempt) attemptResult {
	relay := &relay{request: request, open: []*attempt{first}, timer: time.NewTimer(time.Until(first.silentAt))}
	defer relay.stop()
	relay.watchVersions()
	for {
		if outcome := relay.step(ctx); outcome != nil {
			return outcome
		}
	}
}

// step waits for the next event and handles it. It returns the outcome of the request at
// these servers, nil if it goes on.
func (relay *relay) step(ctx context.Context) attemptResult {
	var waitEnded chan waitEnd
	if relay.place != nil {
		waitEnded = relay.place.ended
	}
	var second chan answerPart
	if len(relay.open) == maxContenders {
		second = relay.open[1].parts
	}
	select {
	case part := <-relay.open[0].parts:
		return relay.handle(ctx, relay.open[0], part)
	case part := <-second:
		return relay.handle(ctx, relay.open[1], part)
	case end := <-waitEnded:
		relay.place = nil
		if end.reservation != nil {
			relay.openSecond(ctx, end.reservation)
		}
	case <-relay.versionsChanged:
		relay.watchVersions()
	case <-relay.timer.C:
		return relay.onTimer(ctx)
	}
	return nil
}

// watchVersions looks at the due time of the servers' versions now and at its next change.
func (relay *relay) watchVersions() {
	if relay.request.info.Model != "" {
		relay.versionsChanged = relay.request.gateway.versionChanges.wait()
		relay.resetTimer()
	}
}

// handle handles a part of the answer of one of the servers.
func (relay *relay) handle(ctx context.Context, current *attempt, part answerPart) attemptResult {
	outcome := relay.request.handlePart(ctx, current, part)
	if isProgress(part, outcome) {
		relay.keepOnly(current)
	}
	if outcome == nil {
		return nil
	}
	relay.end(current, outcome)
	if _, isGone := outcome.(callerGone); isGone || len(relay.open) == 0 {
		return outcome
	}
	relay.timer.Reset(takeoverInterval)
	return nil
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

// keepOnly ends the other attempt and gives up the place in the queue.
func (relay *relay) keepOnly(current *attempt) {
	relay.leaveQueue()
	for _, other := range slices.Clone(relay.open) {
		if other != current {
			relay.end(other, superseded{wasSent: !other.sentAt.IsZero(), wasSilent: other.sentAt.Before(current.sentAt)})
		}
	}
	if !current.silentAt.IsZero() {
		relay.timer.Reset(time.Until(current.silentAt))
	}
}

// end ends one attempt.
func (relay *relay) end(ended *attempt, outcome attemptResult) {
	relay.open = slices.DeleteFunc(relay.open, func(each *attempt) bool { return each == ended })
	relay.request.endAttempt(ended, outcome)
}

// stop ends what is left when the request has ended, also by a panic.
func (relay *relay) stop() {
	relay.timer.Stop()
	relay.leaveQueue()
	for _, attempt := range slices.Clone(relay.open) {
		relay.end(attempt, callerGone{})
	}
}

func (relay *relay) leaveQueue() {
	if relay.place == nil {
		return
	}
	relay.request.gateway.Queue.leave(relay.place)
	relay.place = nil
}

// onTimer looks for a second server if the first one is silent. Without another one, the
// first one has until the deadline of the request, but may not begin it on a version that
// is due to be replaced.
func (relay *relay) onTimer(ctx context.Context) attemptResult {
	if due, isDue := relay.dueAttempt(); isDue {
		outcome := relay.handle(ctx, due, due.partOr(answerEnd{err: errVersionDue}))
		if outcome == nil {
			relay.resetTimer()
		}
		return outcome
	}
	first := relay.open[0]
	if first.silentAt.IsZero() || time.Now().Before(first.silentAt) {
		relay.resetTimer()
		return nil
	}
	relay.timer.Reset(takeoverInterval)
	if relay.place != nil && !time.Now().Before(relay.place.waiter.StartBy) {
		relay.leaveQueue()
	}
	if relay.place == nil && len(relay.open) < maxContenders && relay.request.mayTakeOver(ctx) {
		relay.seekSecond(ctx)
	}
	return nil
}

// seekSecond asks the queue for room at a second server.
func (relay *relay) seekSecond(ctx context.Context) {
	request := relay.request
	reservation, place := request.gateway.Queue.enqueue(request.failoverWaiter())
	relay.place = place
	if reservation != nil {
		relay.openSecond(ctx, reservation)
	}
}

// failoverWaiter describes the request to the admission queue while its server is silent.
// That server may still go on, so the wait may be as long as the caller's.
func (request *request) failoverWaiter() placements.Waiter {
	waiter := request.waiter()
	waiter.StartBy = request.deadline
	if request.match.Route.RetryMode == routes.Stream {
		waiter.StartBy = waits.Earlier(request.abandonedAt(), request.deadline)
	}
	if !request.streaming {
		waiter.Failover, waiter.Late = true, false
		waiter.Requirements.Kind = demands.Kind{}
		waiter.Requirements.Late, waiter.Requirements.FirstEventBy = false, waiter.StartBy
	}
	return waiter
}

// openSecond begins an attempt at a second server.
func (relay *relay) openSecond(ctx context.Context, reservation *placements.Reservation) {
	relay.request.recordPlacement(reservation)
	relay.open = append(relay.open, relay.request.openInBackground(ctx, reservation))
}

// beginTakeover sends the request to a second server, which takes a retry.
func (request *request) beginTakeover(ctx context.Context, attempt *attempt, opened connected) attemptResult {
	if opened.err == nil && !request.gateway.Queue.takeRetry(request.service) {
		opened.conn.abort()
		return notSent{err: errNoRetryLeft}
	}
	return request.begin(ctx, attempt, opened.conn, opened.err)
}

// mayTakeOver reports whether the request may be sent to one more server now.
func (request *request) mayTakeOver(ctx context.Context) bool {
	return request.allowsTakeover() && ctx.Err() == nil && !request.callerGaveUp(time.Now()) && request.gateway.Queue.hasRetry(request.service)
}

// allowsTakeover reports whether the route allows one more server beside the present one.
func (request *request) allowsTakeover() bool {
	return request.match.Route.MayRetry() && !request.positionLost && request.sentCount+1 < request.match.Route.MaxAttempts &&
		request.connectFailures < maxConnectFailures && request.misdirections < maxMisdirections &&
		request.gateway.Quarantines.MayRepeat(request.traits)
}

// firstSilentAt returns when a server counts as silent that has not begun to answer. A
// server of streams has one target of the route at least.
func (request *request) firstSilentAt(sentAt time.Time) time.Time {
	switch {
	case !request.allowsTakeover():
		return time.Time{}
	case request.match.Route.RetryMode == routes.Stream:
		patience := time.Duration(takeoverShare * float64(request.abandonedAt().Sub(sentAt)))
		return sentAt.Add(max(request.target(), min(firstEventTargets*request.target(), patience)))
	default:
		remaining := request.deadline.Add(answerMargin).Sub(sentAt)
		return sentAt.Add(time.Duration(answerTimeShare * float64(remaining)))
	}
}

// nextSilentAt returns when a server counts as silent after an event.
func (request *request) nextSilentAt() time.Time {
	if !request.allowsTakeover() {
		return time.Time{}
	}
	return request.lastDeliveredAt.Add(eventTimeoutGaps * request.maxEventGap())
}
