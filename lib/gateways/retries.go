package gateways

// This file retries requests. A request is sent to another server only if no server
// can have run it, or if its route allows it to run more than once.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"firford/lib/placements"
	"firford/lib/quarantines"
	"firford/lib/routes"
)

const (
	// maxConnectFailures is the number of servers that could not be reached after which
	// a request is given up.
	maxConnectFailures = 4
	// maxMisdirections is the number of servers that another one had replaced after which
	// a request is given up. They are not attempts: the addressed server is gone.
	maxMisdirections = 3
	// refusedRetryAfter is the delay after which callers should retry if servers did
	// not accept the request or none could be reached.
	refusedRetryAfter = 300 * time.Millisecond
)

type (
	// attemptResult is how an attempt at one server ended. Its set of variants is
	// closed.
	attemptResult interface{ isAttemptResult() }

	// delivered means that the server's answer was passed to the caller.
	delivered struct{}
	// notSent means that no byte was sent to the server.
	notSent struct{ err error }
	// outOfResources means that no byte was sent because this process or its host has no
	// descriptor or memory left for a connection. It says nothing about the server.
	outOfResources struct{ err error }
	// withdrawn means that nothing was sent, because the server stated at heardAt that it
	// wants no requests, because it is cold, of which this entry heard at heardAt, or because
	// its version is due to be replaced, without a heardAt.
	withdrawn struct {
		cause   string
		heardAt time.Time
	}
	// notRun means that the server stated that it did not run the request.
	notRun struct{ misdirected bool }
	// outcomeUnknown means that the request may have run and its answer was lost or
	// can't be passed on.
	outcomeUnknown struct{ err error }
	// serverError means that the server ran the request and answered with an error.
	serverError struct{ answer *bufferedAnswer }
	// superseded means that another server has sent something first. wasSent is set if the
	// request was sent to this one, and wasSilent if that was before the other one had it.
	superseded struct{ wasSent, wasSilent bool }
	// quarantined means that the request has a quarantined trait and was not sent. The next
	// one with the trait may be sent at retryAt.
	quarantined struct {
		trait   quarantines.Trait
		retryAt time.Time
	}
	// callerGone means that the caller has disconnected.
	callerGone struct{}

	// bufferedAnswer is an answer that was read completely before it is passed on.
	bufferedAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

func (delivered) isAttemptResult()      {}
func (notSent) isAttemptResult()        {}
func (outOfResources) isAttemptResult() {}
func (withdrawn) isAttemptResult()      {}
func (notRun) isAttemptResult()         {}
func (outcomeUnknown) isAttemptResult() {}
func (serverError) isAttemptResult()    {}
func (superseded) isAttemptResult()     {}
func (quarantined) isAttemptResult()    {}
func (callerGone) isAttemptResult()     {}

// errAbandoned is the error of an attempt that is not made because the caller has
// given up on its stream.
var errAbandoned = errors.New("the caller has given up on the stream")

// forwardWithRetries sends the request to one server after another until the
// caller has an answer.
func (request *request) forwardWithRetries(ctx context.Context) {
	for {
		reservation, err := request.acquire(ctx)
		if err != nil {
			request.endUnplaced(ctx, err)
			return
		}
		request.recordPlacement(reservation)
		if request.isEnded(ctx, request.attemptAt(ctx, reservation)) {
			return
		}
	}
}

// attemptAt sends the request to the reserved server and relays the answer. It returns
// how the last attempt ended.
func (request *request) attemptAt(ctx context.Context, reservation *placements.Reservation) attemptResult {
	attempt, failure := request.open(ctx, reservation)
	if attempt == nil {
		request.recordOutcome(reservation, failure)
		return failure
	}
	return request.relayAnswer(ctx, attempt)
}

// recordPlacement records that the request has a reservation.
func (request *request) recordPlacement(reservation *placements.Reservation) {
	metrics := request.gateway.metrics
	request.placedAt = time.Now()
	request.predictedDelay = reservation.Predicted
	request.placedVersion = reservation.Server.Versions[request.info.Model]
	if reservation.Limited {
		metrics.countLimitedAttempt()
	}
	if reservation.Unlisted {
		request.usesUnlistedServer = true
		metrics.countUnlistedAttempt()
	}
	metrics.placementWait.RecordDuration(request.placedAt.Sub(request.arrivedAt))
	if len(request.triedServers) == 0 {
		request.countRanked(rankedStarted)
	}
	request.triedServers = append(request.triedServers, reservation.Server.ID)
}

// isEnded reports whether the request has ended with the outcome of an attempt. It
// answers the caller if no other server may get the request.
func (request *request) isEnded(ctx context.Context, outcome attemptResult) bool {
	switch outcome := outcome.(type) {
	case delivered:
		return true
	case callerGone:
		request.endDisconnected()
	case notSent:
		if request.connectFailures >= maxConnectFailures {
			request.endNotRun(reasonNotReached, refusedRetryAfter)
			return true
		}
	case outOfResources:
		// Another server could not be reached either, but another entry may.
		request.endNotRun(reasonOutOfResources, refusedRetryAfter)
		return true
	case notRun:
		if request.misdirections >= maxMisdirections || !request.mayRetry(ctx) {
			request.endNotRun(reasonTurnedAway, refusedRetryAfter)
			return true
		}
	case withdrawn:
		return false
	case quarantined:
		request.endNotRun(quarantineReason(outcome.trait), time.Until(outcome.retryAt))
		return true
	case serverError:
		if request.match.Route.RetryMode != routes.Idempotent || !request.mayRetry(ctx) {
			request.deliver(outcome.answer)
			return true
		}
	default:
		if !request.match.Route.MayRetry() || !request.mayRetry(ctx) {
			request.fail(lostReason(ctx))
			return true
		}
	}
	return false
}

// lostReason returns why the answer to a request got lost.
func lostReason(ctx context.Context) reason {
	if errors.Is(context.Cause(ctx), errEnding) {
		return reasonStopped
	}
	return reasonAnswerLost
}

// acquire returns a reservation for the request. A request that got none in time for
// its target because no server can take requests at the moment goes on waiting as a
// late one: its caller would otherwise come back to the same servers, with less time
// left and without another retry.
func (request *request) acquire(ctx context.Context) (*placements.Reservation, error) {
	waiter := request.waiter()
	reservation, err := request.acquireOrWait(ctx, waiter)
	if !errors.As(err, &request.refusal) || !waiter.MayWaitLate() || !request.refusal.Candidates.IsStalled() {
		return reservation, err
	}
	return request.acquireOrWait(ctx, request.waiter())
}

// acquireOrWait returns a reservation for the waiter and adds up how long it waited.
func (request *request) acquireOrWait(ctx context.Context, waiter placements.Waiter) (*placements.Reservation, error) {
	reservation, waited, err := request.gateway.Queue.acquireTimed(ctx, waiter)
	request.waited += waited
	return reservation, err
}

// endUnplaced ends a request that got no reservation because of err.
func (request *request) endUnplaced(ctx context.Context, err error) {
	var refusal *refusal
	if errors.As(err, &refusal) {
		request.refusal = refusal
	}
	switch {
	case refusal != nil && !request.mayHaveRun && !request.streaming:
		request.countRanked(rankedRefused)
		request.refuse(refusal.reason, refusal.RetryAfter)
	case errors.Is(err, errEnding):
		request.endStopping()
	case errors.Is(err, context.Canceled):
		request.endDisconnected()
	case !request.mayHaveRun && !request.streaming && ctx.Err() != nil:
		request.refuse(reasonDeadline, refusedRetryAfter)
	default:
		request.fail(reasonNoServerLeft)
	}
}

// endStopping ends a request that has no server when the process is about to end.
func (request *request) endStopping() {
	if request.mayHaveRun || request.streaming {
		request.fail(reasonStopped)
		return
	}
	request.refuse(reasonStopping, placements.StoppingRetryAfter)
}

// endDisconnected ends a request whose caller has disconnected.
func (request *request) endDisconnected() {
	request.recordOwnEnd(0, reasonCallerLeft)
	panic(http.ErrAbortHandler)
}

// endNotRun ends a request that the last server did not run. An earlier server may
// have run it.
func (request *request) endNotRun(reason reason, retryAfter time.Duration) {
	if request.mayHaveRun || request.streaming {
		request.fail(reason)
		return
	}
	request.refuse(reason, request.gateway.Queue.retryAfter(request.service, retryAfter))
}

// mayRetry reports whether the request may be sent to one more server. It takes a
// retry from the service's retry budget if nothing else prevents that.
func (request *request) mayRetry(ctx context.Context) bool {
	if request.positionLost || request.sentCount >= max(1, request.match.Route.MaxAttempts) || ctx.Err() != nil || request.callerGaveUp(time.Now()) {
		return false
	}
	if !request.gateway.Quarantines.MayRepeat(request.traits) {
		return false
	}
	return request.gateway.Queue.takeRetry(request.service)
}

func placementOutcome(outcome attemptResult) placements.Outcome {
	switch outcome := outcome.(type) {
	case notSent:
		return placements.Unreachable
	case notRun:
		if outcome.misdirected {
			return placements.Misdirected
		}
		return placements.Rejected
	case outcomeUnknown:
		return placements.Failed
	case serverError:
		if outcome.answer.status >= http.StatusInternalServerError {
			return placements.Failed
		}
		return placements.Answered
	case superseded:
		if outcome.wasSent && outcome.wasSilent {
			return placements.Failed
		}
		return placements.Abandoned
	case callerGone, quarantined, withdrawn, outOfResources:
		return placements.Abandoned
	default:
		return placements.Answered
	}
}
