package gateways

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"firford/lib/routes"
)

// reject answers a request that no configuration allows.
func (request *request) reject(err error) {
	if errors.Is(err, routes.ErrUnknownKey) {
		request.answer(http.StatusUnauthorized, err.Error(), 0)
		return
	}
	request.answer(http.StatusNotFound, err.Error(), 0)
}

// refuse answers that the request has not run and never will, and when the
// caller should come back.
func (request *request) refuse(reason string, after time.Duration) {
	request.answer(http.StatusServiceUnavailable, reason, after)
}

// fail answers a request whose outcome is unknown, or that ran without success.
func (request *request) fail(reason string) {
	if request.streaming {
		request.log("stream broken off", zap.String("reason", reason))
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if !time.Now().Before(request.deadline) {
		status = http.StatusGatewayTimeout
	}
	request.answer(status, reason, 0)
}

func (request *request) answer(status int, reason string, retryAfter time.Duration) {
	header := request.writer.Header()
	header.Set("Content-Type", "text/plain")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	request.log("request ended", zap.Int("status", status), zap.String("reason", reason), zap.Duration("retry_after", retryAfter))
	request.gateway.counters.ended(status, reasonLabel(reason))
	request.writer.WriteHeader(status)
	_, _ = request.writer.Write([]byte(reason + "\n")) // A caller that has left needs no answer.
}

func (request *request) log(event string, fields ...zap.Field) {
	fields = append(fields,
		zap.String("request_id", request.call.ID),
		zap.String("route", request.match.Route.Name),
		zap.String("service", request.service),
		zap.Strings("servers", request.tried),
		zap.Duration("after", time.Since(request.arrived)),
	)
	if !request.placed.IsZero() {
		fields = append(fields, zap.Duration("placed_after", request.placed.Sub(request.arrived)))
	}
	if !request.first.IsZero() {
		fields = append(fields, zap.Duration("answered_after", request.first.Sub(request.arrived)))
	}
	request.gateway.Logger.Info(event, fields...)
}

// reasonLabel cuts a reason down to the part that comes from a fixed set.
func reasonLabel(reason string) string {
	label, _, _ := strings.Cut(reason, ":")
	return label
}
