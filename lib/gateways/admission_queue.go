package gateways

// This file implements the admission of requests. A request either gets a
// reservation at a backend server at once, waits in the queue for one, or is
// refused. The decisions are made in lib/placements; this file adds the lock, the
// timers and the channels on which waiting requests receive their reservations.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"firford/lib/demands"
	"firford/lib/placements"
)

const (
	// dispatchInterval is the shortest time between two passes over the waiting requests
	// that changes of the fleet trigger. In a large fleet there are thousands of reports a
	// second, and a pass looks at all servers and compares several requests with those that
	// have room.
	dispatchInterval = 5 * time.Millisecond
	// stopInterval is the pause between two looks at the waiting requests of an entry that
	// stops.
	stopInterval = 50 * time.Millisecond
)

type (
	// AdmissionQueue makes reservations at backend servers for the requests of a
	// gateway and queues the requests that have to wait. It is safe for concurrent use.
	AdmissionQueue struct {
		mutex      sync.Mutex
		dispatcher *placements.Dispatcher
		waits      map[uint64]chan waitEnd
		notify     func(Notice)
		// dispatchedAt is when the last pass was made, and isDispatchDue is set while the
		// next one is scheduled.
		dispatchedAt  time.Time
		isDispatchDue bool
	}

	// Notice informs the agent that runs beside a server. The variants are sealed.
	Notice interface{ isNotice() }

	// RequestSent means that the server has to read the prompt of a request.
	RequestSent struct {
		Server        placements.Server
		RequestNumber uint64
		PromptTokens  int
	}

	// RequestAnswered means that the server has no prompt left to read for a request. Pace
	// is what the server stated in the answer, in percent, zero if it did not.
	RequestAnswered struct {
		Server        placements.Server
		RequestNumber uint64
		Pace          int
	}

	// LimitStated means that the server stated another limit than before.
	LimitStated struct {
		Server    placements.Server
		Statement placements.LimitStatement
	}

	// waitEnd ends the wait of a request, with a reservation or a refusal.
	waitEnd struct {
		reservation *placements.Reservation
		refusal     *refusal
	}

	// refusal states why a request got no reservation and after which time the caller
	// should retry.
	refusal struct {
		placements.Refused
		reason reason
	}
)

func (RequestSent) isNotice()     {}
func (RequestAnswered) isNotice() {}
func (LimitStated) isNotice()     {}

func (refusal *refusal) Error() string {
	return fmt.Sprintf("%s, retry after %s", refusal.reason, refusal.RetryAfter)
}

// NewAdmissionQueue returns a queue that places requests on the fleet's servers.
// It calls notify for each request with a known prompt length, when the request
// is placed and when its answer begins or it ends, and when a server states another
// limit. The calls are made under the queue's lock, so notify must not block.
func NewAdmissionQueue(fleet *placements.Fleet, notify func(Notice)) *AdmissionQueue {
	return &AdmissionQueue{
		notify:     notify,
		dispatcher: placements.NewDispatcher(fleet, rand.Float64),
		waits:      map[uint64]chan waitEnd{},
	}
}

// UpdateFleet calls change under the queue's lock and then places the waiting
// requests for which the changed fleet has room, within dispatchInterval.
func (queue *AdmissionQueue) UpdateFleet(change func(fleet *placements.Fleet, now time.Time)) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := time.Now()
	change(queue.dispatcher.Fleet(), now)
	if len(queue.waits) == 0 || queue.isDispatchDue {
		return
	}
	if pause := queue.dispatchedAt.Add(dispatchInterval).Sub(now); pause > 0 {
		queue.isDispatchDue = true
		time.AfterFunc(pause, queue.dispatchScheduled)
		return
	}
	queue.dispatchAll(now)
}

// dispatchScheduled makes the pass that UpdateFleet has scheduled.
func (queue *AdmissionQueue) dispatchScheduled() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.isDispatchDue = false
	queue.dispatchAll(time.Now())
}

// dispatchAll places waiting requests of all services. The caller holds the mutex.
func (queue *AdmissionQueue) dispatchAll(now time.Time) {
	queue.dispatchedAt = now
	queue.deliverGrants(queue.dispatcher.DispatchAll(now))
}

// placementDeadline returns by when a request has to be placed, and whether it is
// already too late for its target.
func (queue *AdmissionQueue) placementDeadline(urgency placements.Urgency, service string) (time.Time, bool) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.Fleet().PlacementDeadline(urgency, service, time.Now())
}

// acquireTimed returns a reservation at a server with room for the request, and waits
// for one until waiter.StartBy if necessary. The error is a *refusal unless the
// context ended first. Each reservation has to be ended with release. The time is zero
// if the request was placed or refused without a wait.
func (queue *AdmissionQueue) acquireTimed(ctx context.Context, waiter placements.Waiter) (*placements.Reservation, time.Duration, error) {
	reservation, wait, number, err := queue.admit(waiter)
	if err != nil || reservation != nil {
		return reservation, 0, err
	}
	beganAt := time.Now()
	reservation, err = queue.await(ctx, waiter, number, wait)
	return reservation, time.Since(beganAt), err
}

// await waits for the end of the wait that admit began.
func (queue *AdmissionQueue) await(ctx context.Context, waiter placements.Waiter, number uint64, wait chan waitEnd) (*placements.Reservation, error) {
	timer := time.NewTimer(time.Until(waiter.StartBy))
	defer timer.Stop()
	select {
	case end := <-wait:
		return end.result()
	case <-timer.C:
		return queue.cancelWait(waiter, number, wait)
	case <-ctx.Done():
		if reservation, _ := queue.cancelWait(waiter, number, wait); reservation != nil {
			queue.release(reservation, placements.Abandoned)
		}
		return nil, context.Cause(ctx)
	}
}

// pendingPlace is the place of a request in the queue. The end of its wait arrives on ended.
type pendingPlace struct {
	waiter placements.Waiter
	number uint64
	ended  chan waitEnd
}

// enqueue returns a reservation or a place in the queue, or neither if the request is
// refused. A place has to be given up with leave unless its wait has ended.
func (queue *AdmissionQueue) enqueue(waiter placements.Waiter) (*placements.Reservation, *pendingPlace) {
	reservation, ended, number, err := queue.admit(waiter)
	if err != nil || reservation != nil {
		return reservation, nil
	}
	return nil, &pendingPlace{waiter: waiter, number: number, ended: ended}
}

// leave gives up a place in the queue, and a reservation that it has got meanwhile.
func (queue *AdmissionQueue) leave(place *pendingPlace) {
	if reservation, _ := queue.cancelWait(place.waiter, place.number, place.ended); reservation != nil {
		queue.release(reservation, placements.Abandoned)
	}
}

// admit places the request at once, refuses it or queues it. For a queued request
// it returns the channel that receives the end of its wait, and the number of the
// request in the queue.
func (queue *AdmissionQueue) admit(waiter placements.Waiter) (*placements.Reservation, chan waitEnd, uint64, error) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	switch decision := queue.dispatcher.Admit(waiter, time.Now()).(type) {
	case placements.Placed:
		queue.notifySent(decision.Reservation)
		return decision.Reservation, nil, 0, nil
	case placements.Queued:
		wait := make(chan waitEnd, 1)
		queue.waits[decision.Number] = wait
		return nil, wait, decision.Number, nil
	case placements.Refused:
		return nil, nil, 0, &refusal{Refused: decision, reason: refusalReason(decision, reasonQueueTooLong)}
	default:
		panic(fmt.Sprintf("unknown decision %T", decision))
	}
}

// refusalReason returns the reason of a refusal, which is otherwise if the refusal states
// no cause of its own.
func refusalReason(refused placements.Refused, otherwise reason) reason {
	switch refused.Cause {
	case placements.NoAllowedServer:
		return reasonNoAllowedServer
	case placements.AllEvacuated:
		return reasonEvacuated
	case placements.Stopping:
		return reasonStopping
	default:
		return otherwise
	}
}

// result returns the end of a wait as acquire does.
func (end waitEnd) result() (*placements.Reservation, error) {
	if end.refusal != nil {
		return nil, end.refusal
	}
	return end.reservation, nil
}

// cancelWait removes a request from the queue and refuses it. If its wait ended in the
// meantime, cancelWait returns that end instead.
func (queue *AdmissionQueue) cancelWait(waiter placements.Waiter, number uint64, wait chan waitEnd) (*placements.Reservation, error) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	delete(queue.waits, number)
	select {
	case end := <-wait:
		return end.result()
	default:
		refused := queue.dispatcher.Refuse(waiter, number, time.Now())
		return nil, &refusal{Refused: refused, reason: refusalReason(refused, reasonNoPlaceInTime)}
	}
}

// deliverGrants sends reservations to the requests that wait for them. The caller
// holds the mutex.
func (queue *AdmissionQueue) deliverGrants(grants []placements.Grant) {
	for _, grant := range grants {
		queue.notifySent(grant.Reservation)
		queue.endWait(grant.Number, waitEnd{reservation: grant.Reservation})
	}
}

// refuseDeferred refuses the waiting requests that no server of the service takes in
// time, because all asked for no requests. The caller holds the mutex.
func (queue *AdmissionQueue) refuseDeferred(service string, now time.Time) {
	queue.deliverRefusals(queue.dispatcher.RefuseDeferred(service, now))
}

// deliverRefusals refuses the requests that wait. The caller holds the mutex.
func (queue *AdmissionQueue) deliverRefusals(refusals []placements.Refusal) {
	for _, each := range refusals {
		queue.endWait(each.Number, waitEnd{refusal: &refusal{Refused: each.Refused, reason: refusalReason(each.Refused, reasonNoPlaceInTime)}})
	}
}

// stop refuses the waiting requests that can't be answered before this entry ends, and goes
// on to do so until then.
func (queue *AdmissionQueue) stop(endsAt time.Time) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.deliverRefusals(queue.dispatcher.Stop(endsAt, time.Now()))
	time.AfterFunc(stopInterval, func() { queue.refuseTooLate(endsAt) })
}

// refuseTooLate refuses the waiting requests that can't be answered any more before this
// entry ends. It calls itself until none can wait.
func (queue *AdmissionQueue) refuseTooLate(endsAt time.Time) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := time.Now()
	queue.deliverRefusals(queue.dispatcher.RefuseTooLate(now))
	if now.Before(endsAt) {
		time.AfterFunc(stopInterval, func() { queue.refuseTooLate(endsAt) })
	}
}

// endWait passes the end of its wait to a request. The caller holds the mutex.
func (queue *AdmissionQueue) endWait(number uint64, end waitEnd) {
	queue.waits[number] <- end
	delete(queue.waits, number)
}

// notifySent informs the server's agent of a request whose prompt the server has
// to read.
func (queue *AdmissionQueue) notifySent(reservation *placements.Reservation) {
	if reservation.Tokens > 0 {
		queue.notify(RequestSent{Server: reservation.Server, RequestNumber: reservation.Number, PromptTokens: reservation.Tokens})
	}
}

// release ends a reservation and places waiting requests of the same service.
func (queue *AdmissionQueue) release(reservation *placements.Reservation, outcome placements.Outcome) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := time.Now()
	queue.notifyAnswered(reservation)
	queue.dispatcher.Release(reservation, outcome, now)
	queue.deliverGrants(queue.dispatcher.Dispatch(reservation.Server.Service, now))
}

// notifyAnswered informs the server's agent that the server has no prompt left to
// read for the request.
func (queue *AdmissionQueue) notifyAnswered(reservation *placements.Reservation) {
	if queue.dispatcher.RecordAnswer(reservation) {
		queue.notify(RequestAnswered{Server: reservation.Server, RequestNumber: reservation.Number, Pace: reservation.Pace})
	}
}

// recordAnswerStart records the time to the first event or answer of a request.
func (queue *AdmissionQueue) recordAnswerStart(reservation *placements.Reservation, after time.Duration) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.notifyAnswered(reservation)
	queue.dispatcher.RecordResponseTime(reservation, after)
	queue.deliverGrants(queue.dispatcher.Dispatch(reservation.Server.Service, time.Now()))
}

// recordLimit records the limit that a server stated in an answer, and reports whether
// that has changed.
func (queue *AdmissionQueue) recordLimit(reservation *placements.Reservation, perS float64, sentAt time.Time) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := time.Now()
	if !queue.dispatcher.RecordLimit(reservation, perS, sentAt, now) {
		return false
	}
	queue.notify(LimitStated{Server: reservation.Server, Statement: placements.LimitStatement{PerS: perS, HeardAt: now}})
	return true
}

// OwnLimits returns the current limits that servers stated in answers to requests of
// this entry, by the id of the server.
func (queue *AdmissionQueue) OwnLimits() map[string]placements.LimitStatement {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.Fleet().OwnLimits(time.Now())
}

// countRequest counts a caller's request towards the demand for its service and the
// service's retry budget.
func (queue *AdmissionQueue) countRequest(service string, request demands.Request) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.dispatcher.CountRequest(service, request, time.Now())
}

// hasRetry reports whether the retry budget of the service allows one more retry.
func (queue *AdmissionQueue) hasRetry(service string) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.HasRetry(service, time.Now())
}

// takeRetry takes one retry from the retry budget of the service. It returns
// false if the budget is used up.
func (queue *AdmissionQueue) takeRetry(service string) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.TakeRetry(service, time.Now())
}

// serviceStatus returns how many requests wait for the service, the state of its
// servers for a request without special needs, and its remaining retries.
func (queue *AdmissionQueue) serviceStatus(service string) placements.ServiceStatus {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.dispatcher.ServiceStatus(service, time.Now())
}
