package gateways

// What the log and the metrics say of a request. Each request writes one line at
// its end and one for each server that failed it. Lines of requests that a server
// answered well and in time are thinned out under load; all others are kept, so
// that a failure can always be explained.

import (
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// plainLines is how many lines a second are written of requests that went well:
	// about what one entry has at the designed load.
	plainLines = 40
	// plainBurst lets a short burst of them pass.
	plainBurst = 80

	eventEnded      = "request ended"
	eventNotReached = "server not reached"
	eventTurnedAway = "server turned request away"
	eventLost       = "answer lost"
	eventFailed     = "server answered with an error"
)

// newSampler returns the limit of lines on requests that went well.
func newSampler() *rate.Limiter { return rate.NewLimiter(plainLines, plainBurst) }

// ended writes down that a server's answer was passed on.
func (request *request) ended(status int, fields ...zap.Field) {
	request.gateway.counters.ended(status, reasonNone)
	if request.isPlain(status) && !request.gateway.sampler.Allow() {
		request.gateway.counters.sampledOut()
		return
	}
	request.log(eventEnded, append(fields, zap.Int("status", status))...)
}

// isPlain reports whether the request went well: at its first server, and in time.
func (request *request) isPlain(status int) bool {
	inTime := !request.first.After(request.asked.Add(request.target()))
	return status < http.StatusBadRequest && len(request.tried) == 1 && inTime
}

// end writes down that the request ended without a server's answer. The status is
// zero where the caller's connection ended without one.
func (request *request) end(status int, reason reason, fields ...zap.Field) {
	request.gateway.counters.ended(status, reason)
	fields = append(fields, zap.String("reason", string(reason)))
	if status > 0 {
		fields = append(fields, zap.Int("status", status))
	}
	if request.refusal != nil {
		fields = append(fields, request.refusal.fields()...)
	}
	request.log(eventEnded, fields...)
}

// fields tell what kept a request from the servers.
func (refusal *refusal) fields() []zap.Field {
	outlook := refusal.Candidates
	return []zap.Field{
		zap.Int("ahead", refusal.Ahead), zap.Duration("wait", refusal.Wait),
		zap.Int("usable", outlook.Usable), zap.Int("closed", outlook.Closed), zap.Int("tried", outlook.Tried),
		zap.Int("outdated", outlook.Outdated), zap.Int("full", outlook.Full), zap.Int("slow", outlook.Slow),
	}
}

// log writes a line with what is known of the request.
func (request *request) log(event string, fields ...zap.Field) {
	fields = append(fields,
		zap.String("request_id", request.call.ID),
		zap.String("route", request.match.Route.Name),
		zap.String("service", request.service),
		zap.Int64("configuration", request.configuration),
		zap.Strings("servers", request.tried),
		zap.Bool("streaming", request.streaming),
		zap.Duration("after", time.Since(request.arrived)),
	)
	if asked := request.arrived.Sub(request.asked); !request.asked.IsZero() && asked > 0 {
		fields = append(fields, zap.Duration("asked_before", asked))
	}
	if !request.placed.IsZero() {
		fields = append(fields, zap.Duration("placed_after", request.placed.Sub(request.arrived)))
	}
	if request.predicted > 0 {
		fields = append(fields, zap.Duration("predicted", request.predicted))
	}
	if !request.first.IsZero() {
		fields = append(fields, zap.Duration("answered_after", request.first.Sub(request.arrived)))
	}
	request.gateway.Logger.Info(event, fields...)
}
