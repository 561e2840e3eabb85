package gateways

// This file passes the answer of a server on to the caller.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"firford/lib/dialers"
	"firford/lib/placements"
)

const (
	// firstEventTargets is how many targets of the route a stream may take to its
	// first event before another server may take its place.
	firstEventTargets = 3
	// eventTimeoutGaps is how many of the route's event gaps may pass between two
	// events before another server may take the stream over.
	eventTimeoutGaps = 4
	// answerTimeShare is the share of the remaining time after which another server may
	// take over a request without a stream.
	answerTimeShare = 0.6
)

// recordLimit records the limit that the server states in its answer. Only an answer
// that a server certainly wrote itself ends a limit.
func (request *request) recordLimit(reservation *placements.Reservation, info ResponseInfo, sentAt time.Time) {
	if info.Misdirected || info.LimitPerS == 0 && !info.Signed {
		return
	}
	if request.gateway.Queue.recordLimit(reservation, info.LimitPerS, sentAt) {
		request.gateway.Logger.Info(eventLimit, zap.String("server", reservation.Server.ID), zap.String("address", reservation.Server.Address),
			zap.String("service", reservation.Server.Service), zap.Float64("limit_per_s", info.LimitPerS), zap.String("heard_by", request.info.ID))
	}
}

// mayReuseConnection reports whether the connection may carry another request.
func mayReuseConnection(outcome attemptResult, response *http.Response) bool {
	switch outcome.(type) {
	case delivered, serverError:
		return !response.Close
	default:
		return false
	}
}

// classifyError distinguishes a disconnected caller, a request that was not sent, for want of
// a resource of this process or for another reason, and an answer that was lost.
func (request *request) classifyError(ctx context.Context, err error) attemptResult {
	switch {
	case errors.Is(request.received.Context().Err(), context.Canceled):
		return callerGone{}
	case errors.Is(err, errNotSent) && dialers.IsShortage(err):
		return outOfResources{err: err}
	case errors.Is(err, errNotSent):
		return notSent{err: err}
	case ctx.Err() != nil:
		return outcomeUnknown{err: ctx.Err()}
	default:
		return outcomeUnknown{err: err}
	}
}

func (request *request) encode(reservation *placements.Reservation, now time.Time) encodedRequest {
	header := endToEndHeaders(request.received.Header)
	request.gateway.Dialect.RewriteRequest(header, ForwardInfo{
		ServerID:     reservation.Server.ID,
		Organisation: request.match.Organisation.Name,
		LastEventID:  request.lastEventID,
		Deadline:     request.deadline,
		HasRank:      reservation.Ranked,
		Rank:         request.match.Route.Priority,
	}, now)
	return encodeRequest(request.received.Method, request.received.RequestURI, request.received.Host, header, request.body)
}

// handlePart passes a part of an answer on to the caller. It returns how the attempt
// ended, nil if the answer goes on. An unusable answer is a result, so that the request
// can be retried.
func (request *request) handlePart(ctx context.Context, attempt *attempt, part answerPart) attemptResult {
	switch part := part.(type) {
	case connected:
		return request.beginTakeover(ctx, attempt, part)
	case answerHead:
		attempt.head = &part
		return request.handleHead(attempt)
	case answerEvents:
		return request.deliverEvents(attempt, part)
	case answerBody:
		request.buffers = append(request.buffers, part.buffers)
		return request.handleBody(attempt.head.response, part.body)
	case answerEnd:
		if part.err != nil {
			return request.classifyError(ctx, part.err)
		}
		return request.finishStream(attempt)
	default:
		return outcomeUnknown{err: fmt.Errorf("unknown part of an answer: %T", part)}
	}
}

func (request *request) handleHead(attempt *attempt) attemptResult {
	gateway, reservation, head := request.gateway, attempt.reservation, attempt.head
	request.recordLimit(reservation, head.info, attempt.sentAt)
	request.recordStatements(reservation, head.info)
	if head.info.NotRun {
		return notRun{misdirected: head.info.Misdirected}
	}
	request.answerBeganAt = time.Now()
	attempt.beganAt = request.answerBeganAt
	delay := request.answerBeganAt.Sub(attempt.sentAt)
	gateway.metrics.firstEvent.RecordDuration(request.answerBeganAt.Sub(request.arrivedAt))
	if !request.streaming && request.isLate(request.answerBeganAt) {
		request.countRanked(rankedLate)
	}
	gateway.metrics.recordPrediction(delay, reservation.Predicted)
	gateway.Queue.recordAnswerStart(reservation, delay)
	if head.response.StatusCode < http.StatusMultipleChoices && !head.info.Signed {
		return outcomeUnknown{err: errors.New("success without signature")}
	}
	return nil
}

func (request *request) handleBody(response *http.Response, body []byte) attemptResult {
	answer := &bufferedAnswer{status: response.StatusCode, header: endToEndHeaders(response.Header), body: body}
	if response.StatusCode >= http.StatusBadRequest {
		return request.classifyErrorAnswer(answer)
	}
	if request.streaming {
		return outcomeUnknown{err: errors.New("resumed request was not answered with an event stream")}
	}
	request.deliver(answer)
	return delivered{}
}

// classifyErrorAnswer decides what an error answer means for the request. A status
// that promises that the request has not run must not be passed to the caller
// unless the server stated so.
func (request *request) classifyErrorAnswer(answer *bufferedAnswer) attemptResult {
	switch answer.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return outcomeUnknown{err: errors.New("refusal without the statement that it has not run")}
	}
	if request.streaming {
		return outcomeUnknown{err: errors.New("resumed request was answered with an error")}
	}
	return serverError{answer: answer}
}

func (request *request) deliver(answer *bufferedAnswer) {
	header := request.writer.Header()
	for name, values := range answer.header {
		header[name] = values
	}
	if _, hasContentType := header["Content-Type"]; !hasContentType {
		header["Content-Type"] = nil
	}
	request.recordAnswered(answer.status)
	request.writer.WriteHeader(answer.status)
	_, _ = request.writer.Write(answer.body) // Fails only if the caller has disconnected.
}

// deliverEvents passes events on to the caller. It passes on none if one of them does not
// belong there, since another attempt may go on after the last one that the caller has.
func (request *request) deliverEvents(attempt *attempt, events answerEvents) attemptResult {
	if err := request.checkContinuation(attempt, events.text); err != nil {
		return outcomeUnknown{err: err}
	}
	attempt.hasBegunStream = attempt.hasBegunStream || !request.streaming
	request.beginStream(attempt.head.response)
	if _, err := request.writer.Write(events.text); err != nil {
		return callerGone{}
	}
	if err := http.NewResponseController(request.writer).Flush(); err != nil {
		return callerGone{}
	}
	for id := range eventIDs(events.text) {
		attempt.hasEvents = true
		request.lastEventID, request.positionLost = id, id == ""
	}
	request.lastDeliveredAt = time.Now()
	attempt.silentAt = request.nextSilentAt()
	attempt.handled <- struct{}{}
	return nil
}

// beginStream sends the head of the answer to the caller once. The head stays the
// same when another server continues the stream.
func (request *request) beginStream(response *http.Response) {
	if request.streaming {
		return
	}
	request.streaming = true
	request.streamBeganAt = time.Now()
	request.resetOnClose(true)
	header := request.writer.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	request.writer.WriteHeader(response.StatusCode)
}

func (request *request) finishStream(attempt *attempt) attemptResult {
	response := attempt.head.response
	if !attempt.hasEvents && !request.mayEndStream(response) {
		return outcomeUnknown{err: errNoEvents}
	}
	request.beginStream(response)
	request.resetOnClose(false)
	request.recordAnswered(response.StatusCode, zap.String("last_event", request.lastEventID))
	return delivered{}
}
