package gateways

// This file writes the answers that the gateway gives itself. A caller may retry
// after a status of 503, because it promises that the request has not run, so a
// request that may have run is answered with another status.

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"firford/lib/routes"
)

// answerRoutingError answers a request whose key or route the configuration does
// not contain.
func (request *request) answerRoutingError(err error) {
	if errors.Is(err, routes.ErrUnknownKey) {
		request.respond(http.StatusUnauthorized, reasonUnknownKey, 0)
		return
	}
	request.respond(http.StatusNotFound, reasonNoRoute, 0)
}

// refuse answers that the request has not run and never will, and after which time
// the caller should retry.
func (request *request) refuse(reason reason, retryAfter time.Duration) {
	request.respond(http.StatusServiceUnavailable, reason, retryAfter)
}

// fail answers a request whose outcome is unknown or that ran without success. If a
// server answered it with an error, that is the answer. If the caller already has part
// of a stream, it closes the caller's connection.
func (request *request) fail(reason reason) {
	if request.streaming {
		request.gateway.metrics.countCutStream()
		request.recordOwnEnd(0, reason, zap.Duration("silent_for", request.silentFor(time.Now())))
		panic(http.ErrAbortHandler)
	}
	if request.errorAnswer != nil {
		request.deliver(request.errorAnswer)
		return
	}
	status := http.StatusBadGateway
	if !time.Now().Before(request.deadline) {
		status = http.StatusGatewayTimeout
	}
	request.respond(status, reason, 0)
}

func (request *request) respond(status int, reason reason, retryAfter time.Duration) {
	header := request.writer.Header()
	header.Set("Content-Type", "text/plain")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	request.recordOwnEnd(status, reason, zap.Duration("retry_after", retryAfter))
	request.writer.WriteHeader(status)
	_, _ = request.writer.Write([]byte(reason + "\n")) // Fails only if the caller has disconnected.
}
