package gateways

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"firford/lib/routes"
)

// reject answers a request that no configuration allows.
func (request *request) reject(err error) {
	if errors.Is(err, routes.ErrUnknownKey) {
		request.answer(http.StatusUnauthorized, reasonUnknownKey, 0)
		return
	}
	request.answer(http.StatusNotFound, reasonNoRoute, 0)
}

// refuse answers that the request has not run and never will, and when the
// caller should come back.
func (request *request) refuse(reason reason, after time.Duration) {
	request.answer(http.StatusServiceUnavailable, reason, after)
}

// fail answers a request whose outcome is unknown, or that ran without success.
func (request *request) fail(reason reason) {
	if request.streaming {
		request.end(0, reason)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if !time.Now().Before(request.deadline) {
		status = http.StatusGatewayTimeout
	}
	request.answer(status, reason, 0)
}

func (request *request) answer(status int, reason reason, retryAfter time.Duration) {
	header := request.writer.Header()
	header.Set("Content-Type", "text/plain")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	request.end(status, reason, zap.Duration("retry_after", retryAfter))
	request.writer.WriteHeader(status)
	_, _ = request.writer.Write([]byte(reason + "\n")) // A caller that has left needs no answer.
}
