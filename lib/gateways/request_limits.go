package gateways

// Callers are not under control. This file bounds the bodies of their requests and takes what
// a request makes the process hold from the account of its caller, so that many callers can't
// take the memory of the host. What does not fit is refused before any server gets it.

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"firford/lib/budgets"
)

// headRefusal is the answer to a request whose head can't be read since callers hold too much.
var headRefusal = encodeHeadRefusal()

func encodeHeadRefusal() []byte {
	body := string(reasonCrowded) + "\n"
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain\r\nRetry-After: %s\r\nContent-Length: %d\r\n\r\n%s",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable),
		strconv.FormatFloat(budgets.RetryAfter.Seconds(), 'f', 3, 64), len(body), body)
}

// takeHead begins to serve the request, and takes what its head holds beyond what was taken
// while it was read: bytes that came with the request before it.
func (request *request) takeHead() error {
	if err := request.account.Enter(budgets.Serving); err != nil {
		return err
	}
	return request.account.TakeAtLeast(budgets.Requests, headBytes(request.received.Header))
}

// headBytes returns what the lines of a head or a trailer take in memory.
func headBytes(header http.Header) int64 {
	lines, length := 0, 0
	for name, values := range header {
		lines += len(values)
		for _, value := range values {
			length += len(name) + len(value)
		}
	}
	return budgets.HeadBytes(length, lines)
}

// refuseCrowded refuses a request, of which a part may not have been read, since callers hold
// too much.
func (request *request) refuseCrowded() {
	request.writer.Header().Set("Connection", "close")
	request.refuse(reasonCrowded, budgets.RetryAfter)
}

// readBody reads the complete body before the request is forwarded, so that a
// caller that disconnects never leaves a server with a partial request. It returns
// false if the body exceeds the limit or the budget of all callers, after answering so.
func (request *request) readBody(limit int64) bool {
	if request.received.Body == http.NoBody {
		// A read deadline would end the server's wait for the caller's close, and the caller
		// would count as disconnected.
		return true
	}
	if request.received.ContentLength > limit {
		request.respond(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	}
	controller := http.NewResponseController(request.writer)
	_ = controller.SetReadDeadline(request.deadline) // Fails only on writers without a connection.
	body, err := request.bufferBody(limit)
	var tooLong *tooLongError
	switch {
	case errors.As(err, &tooLong):
		request.writer.Header().Set("Connection", "close")
		request.respond(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	case request.account.IsRefusal(err):
		request.refuseCrowded()
		return false
	case err != nil:
		request.recordOwnEnd(0, reasonRequestNotRead, zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	_ = controller.SetReadDeadline(time.Time{})
	request.body = body
	return true
}

// bufferBody reads the body in the account of the caller.
func (request *request) bufferBody(limit int64) ([]byte, error) {
	if err := request.account.Enter(budgets.ReceivingBody); err != nil {
		return nil, err
	}
	if declared := request.received.ContentLength; declared >= 0 {
		limit = min(limit, declared)
	}
	buffers := &buffers{account: request.account, kind: budgets.Requests}
	request.buffers = append(request.buffers, buffers)
	body, err := buffers.readAll(request.received.Body, int(limit))
	if err != nil {
		return nil, err
	}
	if err := request.account.Enter(budgets.Serving); err != nil {
		return nil, err
	}
	return body, request.account.Take(budgets.Requests, headBytes(request.received.Trailer))
}
