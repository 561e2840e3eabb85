package gateways

// This file tells lib/quarantines which traits the requests had that servers answered,
// and which ones those under which servers may have crashed.

import (
	"errors"
	"io"
	"syscall"
	"time"

	"go.uber.org/zap"

	"firford/lib/placements"
	"firford/lib/quarantines"
)

// checkQuarantine returns whether the request may be sent to a server. A request that was
// let through as a probe stays one.
func (request *request) checkQuarantine() quarantines.Verdict {
	if request.isProbe || len(request.traits) == 0 {
		return quarantines.Verdict{}
	}
	verdict := request.gateway.Quarantines.Check(request.traits, time.Now())
	request.isProbe = verdict.IsProbe
	return verdict
}

// recordTraits records what the end of an attempt says about the traits of the request.
func (request *request) recordTraits(attempt *attempt, outcome attemptResult) {
	if len(request.traits) == 0 {
		return
	}
	now, server := time.Now(), attempt.reservation.Server
	_, isDelivered := outcome.(delivered)
	_, hasFailed := outcome.(serverError)
	isComplete := isDelivered || hasFailed
	if hasBegun := !attempt.beganAt.IsZero(); hasBegun && (isComplete || now.Sub(attempt.beganAt) >= quarantines.CrashTime) {
		request.gateway.LogQuarantines(request.gateway.Quarantines.RecordAnswer(server.ID, request.traits, attempt.beganAt, now))
		return
	}
	// A server that changes its version breaks off what it runs.
	if lost, isLost := outcome.(outcomeUnknown); isLost && isBrokenOff(lost.err) && !request.isReplacementAnnounced(server) {
		request.gateway.recordCrash(server, request.traits, now)
	}
}

// recordCrash records that a request was cut off by its server, and tells the other
// entries.
func (gateway *Gateway) recordCrash(server placements.Server, traits []quarantines.Trait, now time.Time) {
	crash := quarantines.Crash{Server: server.ID, StartedUnixMilli: server.StartedUnixMilli, At: now, Traits: traits}
	isNew, changes := gateway.Quarantines.RecordOwn(crash, now)
	gateway.LogQuarantines(changes)
	if isNew {
		gateway.ShareCrash(server, crash)
	}
}

// LogQuarantines writes a line for each trait whose quarantine began or ended.
func (gateway *Gateway) LogQuarantines(changes []quarantines.Change) {
	for _, change := range changes {
		began, ended, field := eventPartQuarantined, eventPartReleased, zap.Stringer("prompt_part", change.Trait)
		if _, isRequest := change.Trait.(quarantines.Fingerprint); isRequest {
			began, ended, field = eventRequestQuarantined, eventRequestReleased, zap.Stringer("fingerprint", change.Trait)
		}
		event := ended
		if change.IsQuarantined {
			event = began
		}
		gateway.Logger.Info(event, field, zap.Int("crashes", change.Crashes))
	}
}

// quarantineReason returns the reason for which a request with the trait is refused.
func quarantineReason(trait quarantines.Trait) reason {
	if _, isRequest := trait.(quarantines.Fingerprint); isRequest {
		return reasonQuarantinedRequest
	}
	return reasonQuarantinedPart
}

// isBrokenOff reports whether the server, rather than a timeout or the gateway, has ended
// the connection.
func isBrokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
