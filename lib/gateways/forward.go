package gateways

// This file makes a single attempt: it sends a request to one server and relays the
// answer.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"firford/lib/placements"
	"firford/lib/routes"
)

const (
	// firstEventTargets is how many targets of the route a stream may take to its
	// first event before the request is sent to another server.
	firstEventTargets = 3
	// eventTimeoutGaps is how many of the route's event gaps may pass between two
	// events before the stream counts as stuck.
	eventTimeoutGaps = 4
	// answerTimeShare is the share of the remaining time that a server has for a
	// complete answer if the request can still be sent to another server afterwards.
	answerTimeShare = 0.6
)

// sendTo sends the request to the reserved server and relays its answer.
func (request *request) sendTo(ctx context.Context, reservation *placements.Reservation) attemptResult {
	gateway, server := request.gateway, reservation.Server
	requireNew := !request.match.Route.MayRetry() || request.isReplacementAnnounced(server)
	conn, err := gateway.pool.get(ctx, server.ID, server.Address, requireNew)
	if err != nil {
		return request.classifyError(ctx, err)
	}
	stop := conn.abortOnCancel(ctx)
	pooled := false
	defer func() {
		stop()
		if !pooled {
			conn.abort()
		}
	}()
	if request.callerDisconnected() {
		return callerGone{}
	}
	sentAt := time.Now()
	if request.callerGaveUp(sentAt) {
		return notSent{err: errAbandoned}
	}
	if outcome, isWithdrawn := request.withdrawal(reservation); isWithdrawn {
		return outcome
	}
	if err := conn.send(request.encode(server, sentAt)); err != nil {
		return request.classifyError(ctx, err)
	}
	_ = conn.SetReadDeadline(earlier(request.firstByteDeadline(sentAt), request.versionDeadline(server)))
	response, info, err := conn.readAnswer(gateway.Dialect, request.received.Method, request.info.ID)
	if err != nil {
		return request.classifyError(ctx, err)
	}
	request.recordLimit(reservation, info, sentAt)
	request.recordStatements(reservation, info)
	if info.NotRun {
		return notRun{misdirected: info.Misdirected}
	}
	request.answerBeganAt = time.Now()
	gateway.metrics.firstEvent.RecordDuration(request.answerBeganAt.Sub(request.arrivedAt))
	gateway.metrics.recordPrediction(request.answerBeganAt.Sub(sentAt), reservation.Predicted)
	gateway.Queue.recordAnswerStart(reservation, request.answerBeganAt.Sub(sentAt))
	outcome := request.relayAnswer(conn, response, info)
	if stop() && mayReuseConnection(outcome, response) {
		pooled = true
		gateway.pool.put(server.ID, conn, info.IdleUntil)
	}
	return outcome
}

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

// classifyError distinguishes a disconnected caller, a request that was not sent
// and an answer that was lost.
func (request *request) classifyError(ctx context.Context, err error) attemptResult {
	switch {
	case errors.Is(request.received.Context().Err(), context.Canceled):
		return callerGone{}
	case errors.Is(err, errNotSent):
		return notSent{err: err}
	case ctx.Err() != nil:
		return outcomeUnknown{err: ctx.Err()}
	default:
		return outcomeUnknown{err: err}
	}
}

// firstByteDeadline returns by when the answer must have begun.
func (request *request) firstByteDeadline(sentAt time.Time) time.Time {
	deadline := request.deadline.Add(answerMargin)
	switch {
	case !request.match.Route.MayRetry() || request.sentCount+1 >= request.match.Route.MaxAttempts:
		return deadline
	case request.match.Route.RetryMode == routes.Stream:
		return earlier(sentAt.Add(firstEventTargets*request.target()), deadline)
	default:
		return earlier(sentAt.Add(time.Duration(answerTimeShare*float64(deadline.Sub(sentAt)))), deadline)
	}
}

// versionDeadline returns by when the answer must have begun because the server's
// version is about to be replaced. A request that has not begun by then is sent to
// another server. Without a replacement it returns the request's own deadline.
func (request *request) versionDeadline(server placements.Server) time.Time {
	deadline := request.deadline.Add(answerMargin)
	if request.info.Model == "" {
		return deadline
	}
	if replacedAt, replaced := request.gateway.VersionDeadline(request.info.Model, server.Versions[request.info.Model]); replaced {
		return earlier(replacedAt, deadline)
	}
	return deadline
}

// isReplacementAnnounced reports whether the server's version must be replaced. Its
// requests then go over new connections: over a full link, bytes sent on an open one
// may arrive seconds later, after the due time, while a connection is only established
// in time if the link is free enough.
func (request *request) isReplacementAnnounced(server placements.Server) bool {
	if request.info.Model == "" {
		return false
	}
	_, isReplaced := request.gateway.VersionDeadline(request.info.Model, server.Versions[request.info.Model])
	return isReplaced
}

func (request *request) encode(server placements.Server, now time.Time) []byte {
	header := endToEndHeaders(request.received.Header)
	request.gateway.Dialect.RewriteRequest(header, ForwardInfo{
		ServerID:     server.ID,
		Organisation: request.match.Organisation.Name,
		LastEventID:  request.lastEventID,
		Deadline:     request.deadline,
	}, now)
	return encodeRequest(request.received.Method, request.received.RequestURI, request.received.Host, header, request.body)
}

// relayAnswer passes the server's answer to the caller. It returns an unusable
// answer or an error as the result instead, so that the request can be retried.
func (request *request) relayAnswer(conn *connection, response *http.Response, info ResponseInfo) attemptResult {
	if response.StatusCode < http.StatusMultipleChoices && !info.Signed {
		return outcomeUnknown{err: errors.New("success without signature")}
	}
	if request.match.Route.RetryMode == routes.Stream && response.StatusCode == http.StatusOK {
		return request.relayEvents(conn, response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return outcomeUnknown{err: err}
	}
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

// relayEvents passes events to the caller as they arrive.
func (request *request) relayEvents(conn *connection, response *http.Response) attemptResult {
	controller := http.NewResponseController(request.writer)
	reader := &eventReader{body: response.Body}
	for {
		events, id, err := reader.next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return request.finishStream(response)
		}
		if err != nil {
			return outcomeUnknown{err: err}
		}
		request.beginStream(response)
		if _, err := request.writer.Write(events); err != nil {
			return callerGone{}
		}
		if err := controller.Flush(); err != nil {
			return callerGone{}
		}
		if id != "" {
			request.lastEventID = id
		}
		request.lastDeliveredAt = time.Now()
		_ = conn.SetReadDeadline(earlier(request.lastDeliveredAt.Add(request.eventTimeout()), request.deadline.Add(answerMargin)))
	}
}

func (request *request) eventTimeout() time.Duration { return eventTimeoutGaps * request.maxEventGap() }

// beginStream sends the head of the answer to the caller once. The head stays the
// same when another server continues the stream.
func (request *request) beginStream(response *http.Response) {
	if request.streaming {
		return
	}
	request.streaming = true
	header := request.writer.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	request.writer.WriteHeader(response.StatusCode)
}

func (request *request) finishStream(response *http.Response) attemptResult {
	request.beginStream(response)
	request.recordAnswered(response.StatusCode, zap.String("last_event", request.lastEventID))
	return delivered{}
}
