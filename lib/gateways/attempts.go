package gateways

// This file sends a request to one server. A goroutine of its own reads the answer, so
// that the request can wait for two servers at once: for one that has fallen silent, and
// for another that may take its place.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"firford/lib/budgets"
	"firford/lib/placements"
	"firford/lib/routes"
	"firford/lib/waits"
)

// errNoRetryLeft is the error of an attempt for which the retry budget was used up while
// its connection was opened.
var errNoRetryLeft = errors.New("no retry left")

type (
	// attempt is a request at one server. silentAt is when the server counts as silent,
	// zero if no other server may take its place. conn is nil until the connection is open,
	// and head is nil until the head of the answer has arrived, at beganAt. hasBegunStream
	// is set if the caller got the first event from this attempt, hasEvents if it got any.
	attempt struct {
		reservation *placements.Reservation
		conn        *connection
		stopAbort   func() bool
		sentAt      time.Time
		silentAt    time.Time
		parts       chan answerPart
		closed      chan struct{}
		// handled receives a value once events were passed on to the caller.
		handled chan struct{}
		buffers *buffers
		head    *answerHead
		beganAt time.Time

		hasBegunStream, hasEvents bool
	}

	// answerPart is what an attempt reports: that its connection is open, or a part of the
	// server's answer. The variants are sealed.
	answerPart interface{ isAnswerPart() }

	// connected is the end of opening the connection, which failed if err is set.
	connected struct {
		conn *connection
		err  error
	}

	// answerHead is the first part of an answer.
	answerHead struct {
		response *http.Response
		info     ResponseInfo
	}

	// answerEvents are complete events of a stream. The text is valid until the attempt's
	// next part is asked for.
	answerEvents struct{ text []byte }

	// answerBody is the complete body of an answer that is no stream, with the memory that it
	// takes.
	answerBody struct {
		body    []byte
		buffers *buffers
	}

	// answerEnd is the end of a stream, or of an answer that broke off if err is set.
	answerEnd struct{ err error }
)

func (connected) isAnswerPart()    {}
func (answerHead) isAnswerPart()   {}
func (answerEvents) isAnswerPart() {}
func (answerBody) isAnswerPart()   {}
func (answerEnd) isAnswerPart()    {}

func (request *request) newAttempt(reservation *placements.Reservation) *attempt {
	return &attempt{
		reservation: reservation, parts: make(chan answerPart), closed: make(chan struct{}), handled: make(chan struct{}, 1),
		buffers: &buffers{account: request.account, kind: budgets.Answers},
	}
}

// open sends the request to the reserved server and begins to read the answer. Without
// an attempt it returns how the attempt ended.
func (request *request) open(ctx context.Context, reservation *placements.Reservation) (*attempt, attemptResult) {
	attempt := request.newAttempt(reservation)
	conn, err := request.connect(ctx, reservation.Server)
	if failure := request.begin(ctx, attempt, conn, err); failure != nil {
		attempt.close()
		return nil, failure
	}
	return attempt, nil
}

// openInBackground opens the connection in a goroutine, so that the request can go on
// with the answer of another server meanwhile.
func (request *request) openInBackground(ctx context.Context, reservation *placements.Reservation) *attempt {
	attempt := request.newAttempt(reservation)
	go func() {
		conn, err := request.connect(ctx, reservation.Server)
		if !attempt.pass(connected{conn: conn, err: err}) && err == nil {
			conn.abort()
		}
	}()
	return attempt
}

// connect opens a connection to the server. An answer to a request without an id can't be
// told from an earlier one, so its connection must be new.
func (request *request) connect(ctx context.Context, server placements.Server) (*connection, error) {
	requireNew := request.info.ID == "" || !request.match.Route.MayRetry() || request.isReplacementAnnounced(server)
	return request.gateway.pool.get(ctx, server.ID, server.Address, requireNew)
}

// begin sends the request over the opened connection and begins to read the answer. It
// returns how the attempt ended, nil if it goes on.
func (request *request) begin(ctx context.Context, attempt *attempt, conn *connection, err error) attemptResult {
	if err != nil {
		return request.classifyError(ctx, err)
	}
	attempt.conn, attempt.stopAbort, attempt.sentAt = conn, conn.abortOnCancel(ctx), time.Now()
	if failure := request.send(ctx, attempt); failure != nil {
		return failure
	}
	attempt.silentAt = request.firstSilentAt(attempt.sentAt)
	deadline := request.deadline.Add(answerMargin)
	_ = conn.SetReadDeadline(waits.Earlier(deadline, request.versionDeadline(attempt.reservation.Server)))
	go attempt.read(request.gateway.Dialect, request.received.Method, request.info.ID, request.match.Route.RetryMode == routes.Stream, deadline)
	return nil
}

// send sends the request over the attempt's connection, unless its caller has left, a
// part of its prompt was quarantined, the server wants no requests any more, or its version
// is due to be replaced.
func (request *request) send(ctx context.Context, attempt *attempt) attemptResult {
	if request.callerDisconnected() {
		return callerGone{}
	}
	if request.callerGaveUp(attempt.sentAt) {
		return notSent{err: errAbandoned}
	}
	if verdict := request.checkQuarantine(); verdict.IsRefused() {
		return quarantined{trait: verdict.Trait, retryAt: verdict.RetryAt}
	}
	// The request is encoded before the last checks, so that they still hold when it is
	// written.
	encoded := request.encode(attempt.reservation, attempt.sentAt)
	if outcome, isWithdrawn := request.withdrawal(attempt.reservation); isWithdrawn {
		return outcome
	}
	if request.isVersionDue(attempt.reservation.Server) {
		return withdrawn{cause: causeVersionDue}
	}
	err := attempt.conn.send(encoded)
	if !errors.Is(err, errNotSent) {
		request.gateway.Queue.recordSent(attempt.reservation)
	}
	if err != nil {
		return request.classifyError(ctx, err)
	}
	return nil
}

// read passes on the parts of the answer until it ends or the attempt is closed. Once the
// head has arrived, the connection's deadline is the one of the whole answer.
func (attempt *attempt) read(dialect Dialect, method, id string, isStream bool, deadline time.Time) {
	response, info, err := attempt.conn.readAnswer(dialect, method, id)
	if err != nil {
		attempt.pass(answerEnd{err: err})
		return
	}
	_ = attempt.conn.SetReadDeadline(deadline)
	if !attempt.pass(answerHead{response: response, info: info}) {
		return
	}
	if isStream && response.StatusCode == http.StatusOK {
		attempt.readEvents(response.Body)
		return
	}
	body, err := attempt.buffers.readAnswerBody(response)
	if err != nil {
		attempt.pass(answerEnd{err: err})
		return
	}
	if !attempt.pass(answerBody{body: body, buffers: attempt.buffers}) {
		attempt.buffers.freeAll()
	}
}

func (attempt *attempt) readEvents(body io.Reader) {
	reader := newEventReader(body, attempt.buffers)
	defer reader.free()
	for {
		text, err := reader.next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			attempt.pass(answerEnd{})
			return
		}
		if err != nil {
			attempt.pass(answerEnd{err: err})
			return
		}
		if !attempt.pass(answerEvents{text: text}) || !attempt.awaitHandled() {
			return
		}
	}
}

// awaitHandled waits until the last events were passed on to the caller. It returns false
// if the attempt was closed.
func (attempt *attempt) awaitHandled() bool {
	select {
	case <-attempt.handled:
		return true
	case <-attempt.closed:
		return false
	}
}

// pass passes a part on. It returns false if the attempt was closed.
func (attempt *attempt) pass(part answerPart) bool {
	select {
	case attempt.parts <- part:
		return true
	case <-attempt.closed:
		return false
	}
}

// partOr returns the next part if it has been read already, and the other one if not.
func (attempt *attempt) partOr(other answerPart) answerPart {
	select {
	case part := <-attempt.parts:
		return part
	default:
		return other
	}
}

// close aborts the connection.
func (attempt *attempt) close() {
	close(attempt.closed)
	if attempt.conn == nil {
		return
	}
	attempt.stopAbort()
	attempt.conn.abort()
}

// endAttempt records how an attempt ended and keeps its connection for another request
// if that is possible.
func (request *request) endAttempt(attempt *attempt, outcome attemptResult) {
	server := attempt.reservation.Server
	request.recordTraits(attempt, outcome)
	if attempt.head != nil && mayReuseConnection(outcome, attempt.head.response) && attempt.stopAbort() {
		request.gateway.pool.put(server.ID, attempt.conn, attempt.head.info.IdleUntil)
	} else {
		attempt.close()
	}
	request.recordOutcome(attempt.reservation, outcome)
}

// recordOutcome releases the reservation and counts and logs how its attempt ended.
func (request *request) recordOutcome(reservation *placements.Reservation, outcome attemptResult) {
	request.gateway.Queue.release(reservation, placementOutcome(outcome))
	request.gateway.metrics.countAttempt(outcome)
	server := reservation.Server
	place := []zap.Field{zap.String("server", server.ID), zap.String("address", server.Address)}
	switch outcome := outcome.(type) {
	case delivered, callerGone, quarantined:
	case notSent:
		request.connectFailures++
		request.log(eventNotReached, append(place, zap.Error(outcome.err))...)
	case outOfResources:
		request.log(eventNotReached, append(place, zap.Error(outcome.err))...)
	case withdrawn:
		request.log(eventWithdrawn, append(place, outcome.fields()...)...)
		request.recordWithdrawn(server, outcome)
	case notRun:
		if outcome.misdirected {
			request.misdirections++
		} else {
			request.sentCount++
		}
		request.log(eventTurnedAway, append(place, zap.Bool("misdirected", outcome.misdirected))...)
	case outcomeUnknown:
		request.sentCount++
		request.mayHaveRun = true
		request.log(eventAnswerLost, append(place, zap.Any("versions", server.Versions), zap.Duration("silent_for", request.silentFor(time.Now())), zap.Error(outcome.err))...)
	case superseded:
		if !outcome.wasSent {
			return
		}
		request.sentCount++
		request.mayHaveRun = true
		request.log(eventTakenOver, append(place, zap.Bool("silent", outcome.wasSilent), zap.Duration("silent_for", request.silentFor(time.Now())))...)
	case serverError:
		request.sentCount++
		request.mayHaveRun = true
		request.errorAnswer = outcome.answer
		request.log(eventServerError, append(place, zap.Int("server_status", outcome.answer.status))...)
	default:
		request.log(eventAnswerLost, append(place, zap.Any("unknown_outcome", outcome))...)
	}
}
