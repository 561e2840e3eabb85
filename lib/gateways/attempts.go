package gateways

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
	// lateWait is how long a request that can't meet its target any more may wait
	// for a place: it uses what the others leave, and hardly ever has to be refused
	// a second time.
	lateWait = 1500 * time.Millisecond
	// lateShare is the part of the time left that it may wait at most.
	lateShare = 0.4
	// firstEventShare is how many targets a stream may take to its first event
	// before another server gets the request.
	firstEventShare = 3
	// gapShare is how many of the route's pauses may pass between two events before
	// the stream counts as stuck.
	gapShare = 4
	// answerShare is the part of the time left that one server has for a whole
	// answer, where another may be asked after it.
	answerShare = 0.6
	// Callers give a stream up when nothing has come for the longest of a time, of
	// so many targets and of so many pauses, as the platform says of them.
	abandonTime    = 2 * time.Second
	abandonTargets = 4
	abandonPauses  = 8
	// mostConnects bounds the servers that one request tries to connect to.
	mostConnects = 4
	// refusedRetryAfter is when to come back after a server turned a request away.
	refusedRetryAfter = 300 * time.Millisecond
	// defaultTarget stands in for routes that name none.
	defaultTarget = 500 * time.Millisecond
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

func (request *request) target() time.Duration {
	if request.match.Route.Target > 0 {
		return request.match.Route.Target
	}
	return defaultTarget
}

// startBy returns by when the request has to be placed. Late is set where it
// can't meet its target any more.
func (request *request) startBy() (startBy time.Time, late bool) {
	now := time.Now()
	wait := request.gateway.Desk.patience(request.service, request.target())
	if request.streaming {
		// The caller is in the middle of a stream: it goes on within the longest pause.
		return earlier(now.Add(request.pause()), request.deadline), false
	}
	startBy = request.asked.Add(wait)
	if request.sent == 0 && !startBy.Before(now) {
		return earlier(startBy, request.deadline), false
	}
	wait = min(lateWait, time.Duration(lateShare*float64(request.deadline.Sub(now))))
	return now.Add(wait), true
}

// pause returns the longest pause between events that is still on time.
func (request *request) pause() time.Duration {
	if request.match.Route.EventGap > 0 {
		return request.match.Route.EventGap
	}
	return request.target()
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// run sends the request to servers until it has an answer.
func (request *request) run(ctx context.Context) {
	for connects := 0; ; {
		taken, err := request.gateway.Desk.take(ctx, request.waiter())
		if err != nil {
			request.unplaced(ctx, err)
			return
		}
		server := taken.server
		request.placed = time.Now()
		request.gateway.counters.wait.RecordDuration(request.placed.Sub(request.arrived))
		request.tried = append(request.tried, server.ID)
		outcome := request.try(ctx, taken)
		request.gateway.Desk.end(taken, placeOutcome(outcome))
		request.gateway.counters.attempt(outcome)
		switch outcome := outcome.(type) {
		case delivered:
			return
		case left:
			request.leave()
		case notSent:
			connects++
			request.log("server not reached", zap.String("server", server.ID), zap.Error(outcome.err))
			if connects >= mostConnects {
				request.giveUp("no server reached")
				return
			}
		case notRun:
			request.sent++
			request.log("server turned request away", zap.String("server", server.ID), zap.Bool("misdirected", outcome.misdirected))
			if !request.mayGoOn(ctx) {
				request.giveUp("turned away")
				return
			}
		case broken:
			request.sent++
			request.mayHaveRun = true
			request.log("answer lost", zap.String("server", server.ID), zap.Error(outcome.err))
			if !request.match.Route.MayRepeat() || !request.mayGoOn(ctx) {
				request.fail("answer lost")
				return
			}
		case failed:
			request.sent++
			request.mayHaveRun = true
			if request.match.Route.Repeat != routes.Repeatable || !request.mayGoOn(ctx) {
				request.deliver(outcome.answer)
				return
			}
		}
	}
}

// unplaced ends a request that got no place.
func (request *request) unplaced(ctx context.Context, err error) {
	var refusal *refusal
	switch {
	case errors.As(err, &refusal) && !request.mayHaveRun && !request.streaming:
		request.refuse(refusal.reason, refusal.after)
	case errors.Is(err, context.Canceled):
		request.leave()
	case !request.mayHaveRun && !request.streaming && ctx.Err() != nil:
		request.refuse("no place before the deadline", refusedRetryAfter)
	default:
		request.fail("no server left: " + err.Error())
	}
}

// leave ends a request whose caller has gone.
func (request *request) leave() {
	request.log("caller left")
	panic(http.ErrAbortHandler)
}

// giveUp ends a request that the last server did not run.
func (request *request) giveUp(reason string) {
	if request.mayHaveRun || request.streaming {
		request.fail(reason)
		return
	}
	request.refuse(reason, refusedRetryAfter)
}

// mayGoOn reports whether one more server may get the request.
func (request *request) mayGoOn(ctx context.Context) bool {
	if request.sent >= max(1, request.match.Route.Attempts) || ctx.Err() != nil || request.isAbandoned(time.Now()) {
		return false
	}
	return request.gateway.Desk.mayRepeat(request.service)
}

// isAbandoned reports whether the caller has given the stream up by now, since
// nothing has come for so long. A caller behind a partition can't tell that it has
// left, and its request must not run once more when the partition ends.
func (request *request) isAbandoned(now time.Time) bool {
	if request.match.Route.Repeat != routes.Stream {
		return false
	}
	quiet := max(abandonTime, abandonTargets*request.target(), abandonPauses*request.match.Route.EventGap)
	return now.After(request.heard.Add(quiet))
}

func placeOutcome(outcome result) placements.Outcome {
	switch outcome := outcome.(type) {
	case notSent:
		return placements.Unreachable
	case notRun:
		return placements.TurnedAway
	case broken:
		return placements.Broken
	case failed:
		if outcome.answer.status >= http.StatusInternalServerError {
			return placements.Broken
		}
		return placements.Answered
	case left:
		return placements.Abandoned
	default:
		return placements.Answered
	}
}

// try sends the request to one server and passes its answer on.
func (request *request) try(ctx context.Context, taken *place) result {
	gateway, server := request.gateway, taken.server
	onlyNew := !request.match.Route.MayRepeat()
	conn, err := gateway.pool.get(ctx, server.ID, server.Address, onlyNew)
	if err != nil {
		return request.lost(ctx, err)
	}
	stop := conn.cancelWith(ctx)
	kept := false
	defer func() {
		stop()
		if !kept {
			_ = conn.Close()
		}
	}()
	if request.hasLeft() {
		return left{}
	}
	began := time.Now()
	if request.isAbandoned(began) {
		return notSent{err: errAbandoned}
	}
	if err := conn.send(request.bytes(server, began)); err != nil {
		return request.lost(ctx, err)
	}
	_ = conn.SetReadDeadline(earlier(request.firstBy(began), request.versionEnd(server)))
	response, reply, err := conn.receive(gateway.Dialect, request.received.Method, request.call.ID)
	if err != nil {
		return request.lost(ctx, err)
	}
	if reply.NotRun {
		return notRun{misdirected: reply.Misdirected}
	}
	request.first = time.Now()
	gateway.counters.first.RecordDuration(request.first.Sub(request.arrived))
	gateway.Desk.reply(taken, request.first.Sub(began))
	outcome := request.pass(conn, response, reply)
	if stop() && reusable(outcome, response) {
		kept = true
		gateway.pool.put(server.ID, conn, reply.IdleUntil)
	}
	return outcome
}

// reusable reports whether the connection may carry another request.
func reusable(outcome result, response *http.Response) bool {
	switch outcome.(type) {
	case delivered, failed:
		return !response.Close
	default:
		return false
	}
}

// lost tells a caller that has gone from a server that failed.
func (request *request) lost(ctx context.Context, err error) result {
	switch {
	case errors.Is(request.received.Context().Err(), context.Canceled):
		return left{}
	case errors.Is(err, errNotSent):
		return notSent{err: err}
	case ctx.Err() != nil:
		return broken{err: ctx.Err()}
	default:
		return broken{err: err}
	}
}

// firstBy returns when the answer must have begun.
func (request *request) firstBy(began time.Time) time.Time {
	end := request.deadline.Add(answerMargin)
	switch {
	case !request.match.Route.MayRepeat() || request.sent+1 >= request.match.Route.Attempts:
		return end
	case request.match.Route.Repeat == routes.Stream:
		return earlier(began.Add(firstEventShare*request.target()), end)
	default:
		return earlier(began.Add(time.Duration(answerShare*float64(end.Sub(began)))), end)
	}
}

// versionEnd returns when a request must have begun on the version that the
// server serves, which is about to be replaced. What has not begun by then goes
// to another server.
func (request *request) versionEnd(server placements.Server) time.Time {
	end := request.deadline.Add(answerMargin)
	if request.call.Model == "" {
		return end
	}
	if due, replaced := request.gateway.Due(request.call.Model, server.Versions[request.call.Model]); replaced {
		return earlier(due, end)
	}
	return end
}

func (request *request) bytes(server placements.Server, now time.Time) []byte {
	header := passedOn(request.received.Header)
	request.gateway.Dialect.Send(header, Sent{
		Server:       server.ID,
		Organisation: request.match.Organisation.Name,
		LastEvent:    request.lastEvent,
		Deadline:     request.deadline,
	}, now)
	return requestBytes(request.received.Method, request.received.RequestURI, request.received.Host, header, request.body)
}

// pass hands the answer to the caller.
func (request *request) pass(conn *connection, response *http.Response, reply Reply) result {
	if response.StatusCode < http.StatusMultipleChoices && !reply.Signed {
		return broken{err: errors.New("success without signature")}
	}
	if request.match.Route.Repeat == routes.Stream && response.StatusCode == http.StatusOK {
		return request.passEvents(conn, response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, mostAnswerBytes))
	if err != nil {
		return broken{err: err}
	}
	answer := &whole{status: response.StatusCode, header: passedOn(response.Header), body: body}
	if response.StatusCode >= http.StatusBadRequest {
		return request.judge(answer)
	}
	if request.streaming {
		return broken{err: errors.New("no stream in answer to a resumed request")}
	}
	request.deliver(answer)
	return delivered{}
}

// judge decides about an answer that is an error. A status that promises that
// the request has not run must not be passed on where the server did not say so.
func (request *request) judge(answer *whole) result {
	switch answer.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return broken{err: errors.New("refusal without the statement that it has not run")}
	}
	if request.streaming {
		return broken{err: errors.New("error in answer to a resumed request")}
	}
	return failed{answer: answer}
}

func (request *request) deliver(answer *whole) {
	header := request.writer.Header()
	for name, values := range answer.header {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil
	}
	request.gateway.counters.ended(answer.status, "")
	request.log("request ended", zap.Int("status", answer.status))
	request.writer.WriteHeader(answer.status)
	_, _ = request.writer.Write(answer.body) // A caller that has left needs no answer.
}

// passEvents passes the events on as they arrive.
func (request *request) passEvents(conn *connection, response *http.Response) result {
	control := http.NewResponseController(request.writer)
	stream := &events{body: response.Body}
	for {
		part, id, err := stream.next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return request.finishStream(response)
		}
		if err != nil {
			return broken{err: err}
		}
		request.beginStream(response)
		if _, err := request.writer.Write(part); err != nil {
			return left{}
		}
		if err := control.Flush(); err != nil {
			return left{}
		}
		if id != "" {
			request.lastEvent = id
		}
		request.heard = time.Now()
		_ = conn.SetReadDeadline(earlier(request.heard.Add(request.eventGap()), request.deadline.Add(answerMargin)))
	}
}

func (request *request) eventGap() time.Duration { return gapShare * request.pause() }

// beginStream sends the head of the answer once. A server that continues the
// stream does not change it.
func (request *request) beginStream(response *http.Response) {
	if request.streaming {
		return
	}
	request.streaming = true
	header := request.writer.Header()
	for name, values := range passedOn(response.Header) {
		header[name] = values
	}
	request.writer.WriteHeader(response.StatusCode)
}

func (request *request) finishStream(response *http.Response) result {
	request.beginStream(response)
	request.gateway.counters.ended(response.StatusCode, "")
	request.log("request ended", zap.Int("status", response.StatusCode), zap.String("last_event", request.lastEvent))
	return delivered{}
}
