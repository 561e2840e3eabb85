package gateways

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"firford/lib/placements"
	"firford/lib/routes"
)

const (
	// mostConnects bounds the servers that one request tries to connect to.
	mostConnects = 4
	// refusedRetryAfter is when to come back after a server turned a request away.
	refusedRetryAfter = 300 * time.Millisecond
)

type (
	// result is how one attempt at one server ended. The variants are sealed.
	result interface{ isResult() }

	// delivered means that the caller has the answer.
	delivered struct{}
	// notSent means that no byte reached the server.
	notSent struct{ err error }
	// notRun means that the server stated that it did not run the request.
	notRun struct{ misdirected bool }
	// broken means that the outcome is unknown, or that the answer is unusable.
	broken struct{ err error }
	// failed means that the server ran the request and answered with an error.
	failed struct{ answer *whole }
	// left means that the caller has gone.
	left struct{}

	// whole is an answer that was read to its end.
	whole struct {
		status int
		header http.Header
		body   []byte
	}
)

func (delivered) isResult() {}
func (notSent) isResult()   {}
func (notRun) isResult()    {}
func (broken) isResult()    {}
func (failed) isResult()    {}
func (left) isResult()      {}

var errAbandoned = errors.New("the caller has given the stream up")

// run sends the request to servers until it has an answer.
func (request *request) run(ctx context.Context) {
	for connects := 0; ; {
		taken, err := request.gateway.Queue.take(ctx, request.waiter())
		if err != nil {
			request.unplaced(ctx, err)
			return
		}
		server := taken.Server
		request.placed = time.Now()
		request.predicted = taken.Predicted
		request.gateway.counters.wait.RecordDuration(request.placed.Sub(request.arrived))
		request.tried = append(request.tried, server.ID)
		outcome := request.try(ctx, taken)
		request.gateway.Queue.end(taken, placeOutcome(outcome))
		request.gateway.counters.attempt(outcome)
		switch outcome := outcome.(type) {
		case delivered:
			return
		case left:
			request.leave()
		case notSent:
			connects++
			request.log(eventNotReached, zap.String("server", server.ID), zap.String("address", server.Address), zap.Error(outcome.err))
			if connects >= mostConnects {
				request.giveUp(reasonNotReached)
				return
			}
		case notRun:
			request.sent++
			request.log(eventTurnedAway, zap.String("server", server.ID), zap.String("address", server.Address), zap.Bool("misdirected", outcome.misdirected))
			if !request.mayGoOn(ctx) {
				request.giveUp(reasonTurnedAway)
				return
			}
		case broken:
			request.sent++
			request.mayHaveRun = true
			request.log(eventLost, zap.String("server", server.ID), zap.String("address", server.Address), zap.Any("versions", server.Versions), zap.Error(outcome.err))
			if !request.match.Route.MayRetry() || !request.mayGoOn(ctx) {
				request.fail(reasonAnswerLost)
				return
			}
		case failed:
			request.sent++
			request.mayHaveRun = true
			request.log(eventFailed, zap.String("server", server.ID), zap.String("address", server.Address), zap.Int("server_status", outcome.answer.status))
			if request.match.Route.RetryMode != routes.Idempotent || !request.mayGoOn(ctx) {
				request.deliver(outcome.answer)
				return
			}
		}
	}
}

// unplaced ends a request that got no place.
func (request *request) unplaced(ctx context.Context, err error) {
	var refusal *refusal
	if errors.As(err, &refusal) {
		request.refusal = refusal
	}
	switch {
	case refusal != nil && !request.mayHaveRun && !request.streaming:
		request.refuse(refusal.reason, refusal.RetryAfter)
	case errors.Is(err, context.Canceled):
		request.leave()
	case !request.mayHaveRun && !request.streaming && ctx.Err() != nil:
		request.refuse(reasonDeadline, refusedRetryAfter)
	default:
		request.fail(reasonNoneLeft)
	}
}

// leave ends a request whose caller has gone.
func (request *request) leave() {
	request.end(0, reasonLeft)
	panic(http.ErrAbortHandler)
}

// giveUp ends a request that the last server did not run.
func (request *request) giveUp(reason reason) {
	if request.mayHaveRun || request.streaming {
		request.fail(reason)
		return
	}
	request.refuse(reason, refusedRetryAfter)
}

// mayGoOn reports whether one more server may get the request.
func (request *request) mayGoOn(ctx context.Context) bool {
	if request.sent >= max(1, request.match.Route.MaxAttempts) || ctx.Err() != nil || request.isAbandoned(time.Now()) {
		return false
	}
	return request.gateway.Queue.mayRepeat(request.service)
}

func placeOutcome(outcome result) placements.Outcome {
	switch outcome := outcome.(type) {
	case notSent:
		return placements.Unreachable
	case notRun:
		return placements.Rejected
	case broken:
		return placements.Failed
	case failed:
		if outcome.answer.status >= http.StatusInternalServerError {
			return placements.Failed
		}
		return placements.Answered
	case left:
		return placements.Abandoned
	default:
		return placements.Answered
	}
}
