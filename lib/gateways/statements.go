package gateways

// This file handles what backend servers state about themselves in answers: that they
// leave, and until when they want no requests from this entry. What a server has stated
// also holds for requests that were placed before, but were not sent yet.

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"firford/lib/placements"
	"firford/lib/regions"
)

const (
	// unreadableLogInterval is the shortest time between two lines about statements that
	// can't be read. A faulty server may write one into each answer.
	unreadableLogInterval = time.Minute

	eventLeaving    = "server leaving"
	eventNotBefore  = "server not before"
	eventUnreadable = "statement of server not readable"
	eventPace       = "servers state their pace"
	eventWithdrawn  = "request not sent"

	// causeCold withdraws a request from a cold server that may get no more for now.
	causeCold = "cold"
)

// LeavingStated means that the server stated that it leaves.
type LeavingStated struct {
	Server    placements.Server
	Statement placements.LeavingStatement
}

func (LeavingStated) isNotice() {}

// recordStatements records what the server states about itself in its answer. An answer
// that another server wrote says nothing about it.
func (request *request) recordStatements(reservation *placements.Reservation, info ResponseInfo) {
	if info.Misdirected {
		return
	}
	if info.Unreadable {
		request.recordUnreadable(reservation.Server)
	}
	queue := request.gateway.Queue
	if info.Load != (placements.LoadStatement{}) && queue.recordLoad(reservation, info.Load) {
		request.logStatement(eventPace, reservation.Server)
	}
	if info.Leaving && queue.recordLeaving(reservation) {
		request.gateway.metrics.countStatement("leaving")
		request.logStatement(eventLeaving, reservation.Server)
	}
	if !info.NotBefore.IsZero() && queue.recordDeferral(reservation, info.NotBefore) {
		request.gateway.metrics.countStatement("not_before")
		request.logStatement(eventNotBefore, reservation.Server, zap.Duration("for", time.Until(info.NotBefore)))
	}
}

// withdrawal returns the result of an attempt whose request must not be sent any more.
// The server may have stated that in another answer, while the request got its
// reservation or its connection was opened.
func (request *request) withdrawal(reservation *placements.Reservation) (withdrawn, bool) {
	switch permission := request.gateway.Queue.permissionToSend(reservation, request.homeRegions()).(type) {
	case placements.MaySendAfterRestart:
		return withdrawn{cause: "leaving", heardAt: permission.HeardAt}, true
	case placements.MaySendFrom:
		if permission.Cause == placements.Cold {
			return withdrawn{cause: causeCold, heardAt: permission.HeardAt}, true
		}
		return withdrawn{cause: "not_before", heardAt: permission.HeardAt}, true
	case placements.MayNotSend:
		return withdrawn{cause: forbiddenCause(permission.Cause)}, true
	default:
		return withdrawn{}, false
	}
}

// recordWithdrawn lets the request return to a cold server, which takes requests again
// within a second.
func (request *request) recordWithdrawn(server placements.Server, outcome withdrawn) {
	if outcome.cause != causeCold {
		return
	}
	request.gateway.metrics.countKeptFromCold(request.service, 1)
	request.triedServers = slices.DeleteFunc(request.triedServers, func(id string) bool { return id == server.ID })
}

// fields returns log fields on why the request was not sent.
func (outcome withdrawn) fields() []zap.Field {
	fields := []zap.Field{zap.String("cause", outcome.cause)}
	if !outcome.heardAt.IsZero() {
		fields = append(fields, zap.Duration("heard_before", time.Since(outcome.heardAt)))
	}
	return fields
}

func (request *request) recordUnreadable(server placements.Server) {
	request.gateway.metrics.countStatement("unreadable")
	request.gateway.unreadableLog.Do(func() { request.logStatement(eventUnreadable, server) })
}

// logStatement logs what a server stated in the answer to the request.
func (request *request) logStatement(event string, server placements.Server, fields ...zap.Field) {
	request.gateway.Logger.Info(event, append([]zap.Field{
		zap.String("server", server.ID), zap.String("address", server.Address), zap.String("service", server.Service),
		zap.String("heard_by", request.info.ID),
	}, fields...)...)
}

// recordLeaving records that the server stated that it leaves, and reports whether that
// is new.
func (queue *AdmissionQueue) recordLeaving(reservation *placements.Reservation) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := time.Now()
	statement, isNew := queue.dispatcher.RecordLeaving(reservation, now)
	queue.refuseDeferred(reservation.Server.Service, now)
	if isNew {
		queue.notify(LeavingStated{Server: reservation.Server, Statement: statement})
	}
	return isNew
}

// recordDeferral records until when the server wants no requests, and reports whether
// that differs notably from before.
func (queue *AdmissionQueue) recordDeferral(reservation *placements.Reservation, until time.Time) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := time.Now()
	isChanged := queue.dispatcher.RecordDeferral(reservation, until, now)
	queue.refuseDeferred(reservation.Server.Service, now)
	return isChanged
}

// recordLoad records the load that the server stated, and reports whether its service was
// not known before as one whose servers state their pace.
func (queue *AdmissionQueue) recordLoad(reservation *placements.Reservation, statement placements.LoadStatement) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.RecordLoad(reservation, statement, time.Now())
}

// Demand returns how many requests a second for the service arrive or wait at this entry,
// or false if the service's servers don't state their pace.
func (queue *AdmissionQueue) Demand(service string) (float64, bool) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.Demand(service, time.Now())
}

// permissionToSend returns whether the request may be sent to the server for which the
// reservation was made, given the home regions that apply to it now.
func (queue *AdmissionQueue) permissionToSend(reservation *placements.Reservation, allowed regions.Set) placements.Permission {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.PermissionToSend(reservation, allowed, time.Now())
}

// recordSent records that the request was sent to the server for which the reservation
// was made. It takes the lock only if the server's service has a warm-up.
func (queue *AdmissionQueue) recordSent(reservation *placements.Reservation) {
	if !reservation.IsCounted() {
		return
	}
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.dispatcher.RecordSent(reservation, time.Now())
}

// takeKeptFromCold returns how many requests were not placed on arrival since the last
// call while cold servers took no more.
func (queue *AdmissionQueue) takeKeptFromCold(service string) int64 {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.TakeKeptFromCold(service)
}

// retryAfter returns after which time a caller should retry whose request the servers
// of the service did not run: the delay, or longer if all servers asked for no requests.
func (queue *AdmissionQueue) retryAfter(service string, delay time.Duration) time.Duration {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.RetryAfter(service, delay, time.Now())
}

// OwnLeaving returns the servers that recently stated in answers to requests of this
// entry that they leave.
func (queue *AdmissionQueue) OwnLeaving() map[string]placements.LeavingStatement {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.Fleet().OwnLeaving(time.Now())
}
