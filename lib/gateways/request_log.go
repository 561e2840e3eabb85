package gateways

// This file logs requests. Each request writes one line when it ends and one for
// each server that did not answer it successfully. Under load, the lines of requests
// that a server answered successfully and in time are sampled. All other lines are
// written, so that every failure can be explained.

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"firford/lib/logs"
)

const (
	// routineLinesPerS is how many lines on routine requests are written per second.
	// It is about the request rate of one entry at the designed load.
	routineLinesPerS = 40
	// routineLineBurst allows a short burst above that rate.
	routineLineBurst = 80
	// minLoggedListAge is the age from which a list of servers is logged with a request.
	// A list that is confirmed as usual is younger.
	minLoggedListAge = 3 * time.Second

	eventEnded       = "request ended"
	eventNotReached  = "server not reached"
	eventTurnedAway  = "server turned request away"
	eventAnswerLost  = "answer lost"
	eventServerError = "server answered with an error"
	eventTakenOver   = "another server took over"
	eventLimit       = "server limit"

	eventPartQuarantined    = "prompt part quarantined"
	eventPartReleased       = "prompt part released"
	eventRequestQuarantined = "request quarantined"
	eventRequestReleased    = "request released"
)

// sampler decides which lines on routine requests are written, and counts the others
// until the next one is written. It is safe for concurrent use.
type sampler struct {
	limiter *rate.Limiter
	leftOut atomic.Int64
}

func newSampler() *sampler {
	return &sampler{limiter: rate.NewLimiter(routineLinesPerS, routineLineBurst)}
}

// sample reports whether the next line is written, and how many were left out since the
// last one that was written.
func (sampler *sampler) sample() (leftOut int64, isWritten bool) {
	if !sampler.limiter.Allow() {
		sampler.leftOut.Add(1)
		return 0, false
	}
	return sampler.leftOut.Swap(0), true
}

// recordAnswered counts and logs a request that ended with a server's answer.
func (request *request) recordAnswered(status int, fields ...zap.Field) {
	request.gateway.metrics.countEnd(status, reasonNone)
	if request.isRoutine(status) {
		leftOut, isWritten := request.gateway.sampler.sample()
		if !isWritten {
			request.gateway.metrics.countSampledOut()
			return
		}
		if leftOut > 0 {
			fields = append(fields, zap.Int64("left_out", leftOut))
		}
	}
	if request.isLate(request.firstEventAt()) {
		fields = append(fields, zap.Bool("late", true))
	}
	request.log(eventEnded, append(fields, zap.Int("status", status))...)
}

// isRoutine reports whether the first server answered the request in time and
// without an error, and was listed.
func (request *request) isRoutine(status int) bool {
	inTime := !request.isLate(request.firstEventAt())
	return status < http.StatusBadRequest && len(request.triedServers) == 1 && inTime && !request.usesUnlistedServer
}

// firstEventAt returns when the answer of an answered request began. A stream that another
// server went on with began at the first one.
func (request *request) firstEventAt() time.Time {
	if request.streaming {
		return request.streamBeganAt
	}
	return request.answerBeganAt
}

// isLate reports whether an answer that began at this time missed the route's target.
func (request *request) isLate(beganAt time.Time) bool {
	return beganAt.After(request.firstArrivedAt.Add(request.target()))
}

// recordOwnEnd counts and logs a request that ended without a server's answer. The
// status is zero if the caller's connection ended without any answer.
func (request *request) recordOwnEnd(status int, reason reason, fields ...zap.Field) {
	request.gateway.metrics.countEnd(status, reason)
	fields = append(fields, zap.String("reason", string(reason)))
	if status > 0 {
		fields = append(fields, zap.Int("status", status))
	}
	switch reason {
	case reasonQuarantinedPart:
		fields = append(fields, zap.Strings("prompt_parts", request.info.SharedParts))
	case reasonNoAllowedServer:
		fields = append(fields, zap.Stringer("home_regions", request.homeRegions()))
	case reasonQuarantinedRequest:
		fields = append(fields, zap.Stringer("fingerprint", request.identity))
	}
	if request.refusal != nil {
		fields = append(fields, zap.Int("rank", request.match.Route.Priority))
		fields = append(fields, request.refusal.fields()...)
	}
	if request.isLate(request.streamBeganAt) {
		fields = append(fields, zap.Bool("late", true))
	}
	request.log(eventEnded, fields...)
}

// fields returns log fields that explain why no server could take the request.
func (refusal *refusal) fields() []zap.Field {
	candidates := refusal.Candidates
	return []zap.Field{
		zap.Int("ahead", refusal.Ahead), zap.Duration("wait", refusal.Wait),
		zap.Int("usable", candidates.Usable), zap.Int("forbidden", candidates.Forbidden), zap.Int("evacuated", candidates.Evacuated), zap.Int("leaving", candidates.Leaving),
		zap.Int("deferred", candidates.Deferred), zap.Int("closed", candidates.Closed), zap.Int("tried", candidates.Tried), zap.Int("outdated", candidates.Outdated),
		zap.Int("full", candidates.Full), zap.Int("limited", candidates.Limited), zap.Int("cold", candidates.Cold), zap.Int("slow", candidates.Slow),
		zap.Int("outranked", candidates.Outranked),
	}
}

// versionFields returns log fields on the version on which the request was placed last, and
// on how much longer that one could still begin requests when the answer began.
func (request *request) versionFields() []zap.Field {
	fields := []zap.Field{zap.Int("version", request.placedVersion)}
	due, isReplaced := request.gateway.VersionDeadline(request.info.Model, request.placedVersion)
	if isReplaced && !request.answerBeganAt.IsZero() {
		fields = append(fields, zap.Duration("version_due_after", due.Sub(request.answerBeganAt)))
	}
	return fields
}

// log writes a line with the event and what is known about the request so far.
func (request *request) log(event string, fields ...zap.Field) {
	fields = append(fields,
		zap.String("request_id", request.info.ID),
		zap.String("route", request.match.Route.Name),
		zap.String("service", request.service),
		zap.Int64("configuration", request.configuration),
		zap.Strings("servers", request.triedServers),
		zap.Bool("streaming", request.streaming),
		zap.Duration("after", time.Since(request.arrivedAt)),
	)
	if organisation := request.match.Organisation.Name; organisation != "" {
		fields = append(fields, logs.Organisation(organisation))
	}
	if request.waited > 0 {
		fields = append(fields, zap.Duration("waited", request.waited))
	}
	if waitedBefore := request.arrivedAt.Sub(request.firstArrivedAt); !request.firstArrivedAt.IsZero() && waitedBefore > 0 {
		fields = append(fields, zap.Duration("asked_before", waitedBefore))
	}
	if !request.placedAt.IsZero() {
		fields = append(fields, zap.Duration("placed_after", request.placedAt.Sub(request.arrivedAt)))
	}
	if request.placedVersion > 0 {
		fields = append(fields, request.versionFields()...)
	}
	if request.predictedDelay > 0 {
		fields = append(fields, zap.Duration("predicted", request.predictedDelay))
	}
	if event == eventAnswerLost {
		fields = append(fields, zap.Stringer("fingerprint", request.identity))
		if len(request.info.SharedParts) > 0 {
			fields = append(fields, zap.Strings("prompt_parts", request.info.SharedParts))
		}
	}
	if request.usesUnlistedServer {
		fields = append(fields, zap.Bool("unlisted", true))
	}
	if age := time.Since(request.gateway.ServersConfirmedAt()); age >= minLoggedListAge {
		fields = append(fields, zap.Duration("list_age", age))
	}
	if !request.answerBeganAt.IsZero() {
		fields = append(fields, zap.Duration("answered_after", request.answerBeganAt.Sub(request.arrivedAt)))
	}
	request.gateway.Logger.Info(event, fields...)
}
