package gateways

// One attempt: a request goes to one server, and its answer comes back.

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
	// firstEventShare is how many targets a stream may take to its first event
	// before another server gets the request.
	firstEventShare = 3
	// gapShare is how many of the route's pauses may pass between two events before
	// the stream counts as stuck.
	gapShare = 4
	// answerShare is the part of the time left that one server has for a whole
	// answer, where another may be asked after it.
	answerShare = 0.6
)

// try sends the request to one server and passes its answer on.
func (request *request) try(ctx context.Context, taken *placements.Reservation) result {
	gateway, server := request.gateway, taken.Server
	onlyNew := !request.match.Route.MayRetry()
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
	gateway.counters.predicted(request.first.Sub(began), taken.Predicted)
	gateway.Queue.reply(taken, request.first.Sub(began))
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
	case !request.match.Route.MayRetry() || request.sent+1 >= request.match.Route.MaxAttempts:
		return end
	case request.match.Route.RetryMode == routes.Stream:
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
	if due, replaced := request.gateway.VersionDeadline(request.call.Model, server.Versions[request.call.Model]); replaced {
		return earlier(due, end)
	}
	return end
}

func (request *request) bytes(server placements.Server, now time.Time) []byte {
	header := passedOn(request.received.Header)
	request.gateway.Dialect.RewriteRequest(header, ForwardInfo{
		ServerID:     server.ID,
		Organisation: request.match.Organisation.Name,
		LastEventID:  request.lastEvent,
		Deadline:     request.deadline,
	}, now)
	return requestBytes(request.received.Method, request.received.RequestURI, request.received.Host, header, request.body)
}

// pass hands the answer to the caller.
func (request *request) pass(conn *connection, response *http.Response, reply ResponseInfo) result {
	if response.StatusCode < http.StatusMultipleChoices && !reply.Signed {
		return broken{err: errors.New("success without signature")}
	}
	if request.match.Route.RetryMode == routes.Stream && response.StatusCode == http.StatusOK {
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
	request.ended(answer.status)
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
	request.ended(response.StatusCode, zap.String("last_event", request.lastEvent))
	return delivered{}
}
