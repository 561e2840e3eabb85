package placements

// This file implements admission: whether a request is placed on a server at once,
// queued or refused. The dispatcher holds no timers and no connections: callers
// pass in the current time and act on the decision. The gateway drives it with the
// wall clock, the bench's emulator with simulated time.

import (
	"slices"
	"time"

	"firford/lib/demands"
	"firford/lib/regions"
	"firford/lib/routes"
	"firford/lib/shares"
)

const (
	// engineOvercommit is the number of requests beyond its slots that an engine is
	// given, so that a slot that becomes free is taken at once.
	engineOvercommit = 1
	// serviceOvercommit is the same for a plain service.
	serviceOvercommit = 0
	// minRetryAfter keeps callers from retrying before anything can have changed.
	minRetryAfter = 700 * time.Millisecond
	// retryJitter is the fraction of the retry delay over which retries are spread, and
	// maxRetrySpread bounds that time: the end of a long deferral is known.
	retryJitter    = 1.0
	maxRetrySpread = 5 * time.Second
	// maxStalledQueue is the number of requests that wait for servers none of which can
	// take requests. The servers begin about as many for one entry as soon as they can.
	maxStalledQueue = 64
	// maxPlacementFailures is the number of waiters of one group without a server after
	// which one dispatch pass ends for the group. Each report of an engine triggers a pass,
	// and during overload an entry with 0.3 cores would spend most of its time comparing
	// some dozen waiters with all engines.
	maxPlacementFailures = 8
)

type (
	// Dispatcher places requests on the servers of a fleet. Requests that cannot be
	// placed yet wait in the queue of their service. It is not safe for concurrent use.
	Dispatcher struct {
		fleet        *Fleet
		random       func() float64
		queues       map[string]Queue
		startRates   map[string]StartRate
		retryBudgets map[string]RetryBudget
		demands      map[string]demands.Demand
		meters       map[string]shares.Meter
		answerTimes  map[string]answerTime
		lastNumber   uint64
		// endsAt is when this entry ends, zero unless it stops.
		endsAt time.Time
	}

	// Reservation is the capacity of a server that is reserved for one request.
	// Predicted is the expected time to its first event, zero if unknown. Unlisted is set
	// if the server is missing from the platform's list, and Limited if it stated a limit.
	// Pace is what the server stated in its answer, in percent, zero if it did not. Ranked
	// is set if kinds of different rank use the service. Each reservation has to be ended
	// with Release.
	Reservation struct {
		Server    Server
		Number    uint64
		Tokens    int
		Predicted time.Duration
		Unlisted  bool
		Limited   bool
		Ranked    bool
		Answered  bool
		Pace      int
		// UsualTime and PaceFactor are those of the choice.
		UsualTime  time.Duration
		PaceFactor float64
		stage      warmupStage

		startedAt  time.Time
		answerKind answerKind
	}

	// Decision is the result of admission. The variants are sealed.
	Decision interface{ isDecision() }

	// Placed requests are sent to a server at once.
	Placed struct{ Reservation *Reservation }

	// Queued requests wait in the queue under the number.
	Queued struct{ Number uint64 }

	// Refused requests may be retried after RetryAfter. Ahead is the number of requests
	// queued before it, Wait is how long it would have waited in the queue, and
	// Candidates counts what excluded each server. Cause is why it was refused.
	Refused struct {
		RetryAfter time.Duration
		Ahead      int
		Wait       time.Duration
		Candidates CandidateCounts
		Cause      RefusalCause
	}

	// RefusalCause is why a request was refused.
	RefusalCause int

	// Grant is a reservation for a waiter.
	Grant struct {
		Number      uint64
		Reservation *Reservation
	}

	// Refusal is the refusal of a waiter.
	Refusal struct {
		Number  uint64
		Refused Refused
	}

	// waiterGroup is a group of waiting requests that find servers, or none, alike.
	waiterGroup struct {
		regions string
		yields  bool
	}

	// ServiceStatus describes a service from the point of view of a plain request.
	ServiceStatus struct {
		Candidates  CandidateCounts
		Waiting     int
		RetriesLeft float64
		Pace        PaceStatus
		StatesPace  bool
	}
)

const (
	// NoRoomInTime means that no server would have had room in time.
	NoRoomInTime RefusalCause = iota
	// NoAllowedServer means that no server is in a region in which the request may be
	// served.
	NoAllowedServer
	// AllEvacuated means that all servers that the request may be sent to are in evacuated
	// data centres.
	AllEvacuated
	// Stopping means that this entry ends before the request would be answered.
	Stopping
)

func (Placed) isDecision()  {}
func (Queued) isDecision()  {}
func (Refused) isDecision() {}

// NewDispatcher returns a dispatcher for the fleet. The random function returns
// values between 0 (included) and 1 (excluded).
func NewDispatcher(fleet *Fleet, random func() float64) *Dispatcher {
	return &Dispatcher{
		fleet: fleet, random: random,
		queues: map[string]Queue{}, startRates: map[string]StartRate{}, retryBudgets: map[string]RetryBudget{},
		demands: map[string]demands.Demand{},
		meters:  map[string]shares.Meter{}, answerTimes: map[string]answerTime{},
	}
}

// Fleet returns the fleet. Call Dispatch or DispatchAll after changing it.
func (dispatcher *Dispatcher) Fleet() *Fleet { return dispatcher.fleet }

// Admit places the request at once, queues it or refuses it.
func (dispatcher *Dispatcher) Admit(waiter Waiter, now time.Time) Decision {
	if refused, isOutOfReach := dispatcher.refuseOutOfReach(waiter.Requirements, now); isOutOfReach {
		return refused
	}
	service := waiter.Requirements.Service
	waiter = dispatcher.withFloors(waiter, now)
	ahead := dispatcher.queues[service].CountAhead(waiter)
	if dispatcher.isTooLate(waiter.Requirements.answerKind(), now) {
		return dispatcher.stoppingRefusal(waiter.Requirements, ahead, now)
	}
	if !dispatcher.isBlocked(waiter, ahead) {
		exclusions := dispatcher.fleet.cold.exclusions
		if reservation := dispatcher.reserve(waiter.Requirements, now); reservation != nil {
			return Placed{Reservation: reservation}
		}
		if dispatcher.fleet.cold.exclusions > exclusions {
			dispatcher.fleet.cold.keptAway[service]++
		}
	}
	wait := dispatcher.expectedWait(waiter, ahead, now)
	if now.Add(wait).After(waiter.StartBy) || dispatcher.isExhausted(waiter.Requirements, now) {
		return dispatcher.newRefusal(waiter.Requirements, ahead, wait, now)
	}
	if dispatcher.isTooLate(waiter.Requirements.answerKind(), now.Add(wait)) {
		return dispatcher.stoppingRefusal(waiter.Requirements, ahead, now)
	}
	dispatcher.lastNumber++
	waiter.Number = dispatcher.lastNumber
	dispatcher.queues[service] = dispatcher.queues[service].With(waiter)
	return Queued{Number: waiter.Number}
}

// withFloors returns the waiter with what the shares of starts of requests like it demand,
// where kinds of different rank use the service: requests below their floor go first, and
// kinds that are served more often than a more urgent one get idle engines only.
func (dispatcher *Dispatcher) withFloors(waiter Waiter, now time.Time) Waiter {
	requirements := &waiter.Requirements
	if requirements.Kind.IsZero() || !dispatcher.fleet.hasRanks(requirements.Service) {
		return waiter
	}
	demand := dispatcher.demands[requirements.Service]
	requirements.BelowFloor = demand.IsBelowFloor(requirements.demand(), now)
	requirements.IdleOnly = !requirements.BelowFloor && demand.IsAboveMoreUrgent(requirements.Kind, now)
	if requirements.BelowFloor {
		waiter.Rank = routes.Rank{}
	}
	return waiter
}

// isBlocked reports whether a request ahead of this one has to be placed before it. Those
// that may not use all servers that this one may use do not block it, and neither do those
// for which the engines have no room while they are reserved for requests like this one. A
// request that is late or gets idle engines only needs what those ahead of it wait for.
func (dispatcher *Dispatcher) isBlocked(waiter Waiter, ahead int) bool {
	service := waiter.Requirements.Service
	if ahead == 0 || !dispatcher.fleet.hasRanks(service) || waiter.Requirements.Late || waiter.Requirements.IdleOnly {
		return ahead > 0
	}
	return slices.ContainsFunc(dispatcher.queues[service].Waiters(), func(other Waiter) bool {
		return waiter.yieldsTurnTo(other) && !dispatcher.fleet.isReservedFor(waiter.Requirements.Kind, other.Requirements)
	})
}

// isExhausted reports whether the request was already sent to all servers, so that no
// wait helps it.
func (dispatcher *Dispatcher) isExhausted(requirements Requirements, now time.Time) bool {
	return len(requirements.Tried) > 0 && dispatcher.fleet.CountCandidates(requirements, overcommit(requirements), now).IsExhausted()
}

// expectedWait estimates how long a request waits with this many others ahead. While
// no server can take requests, the rate of recent starts says nothing about the rate
// after that, and up to maxStalledQueue requests wait as long as they may. The same holds
// while this entry may not use its share of cold servers yet. If all servers
// asked for no requests until some time, nothing starts before the earliest of these.
func (dispatcher *Dispatcher) expectedWait(waiter Waiter, ahead int, now time.Time) time.Duration {
	requirements := waiter.Requirements
	if ahead < maxStalledQueue && dispatcher.fleet.CountCandidates(requirements, overcommit(requirements), now).IsStalled() {
		return 0
	}
	if wait, isSettling := dispatcher.fleet.settlingWait(requirements, ahead, now); isSettling {
		return wait
	}
	wait := dispatcher.startRates[requirements.Service].ExpectedWait(ahead, now)
	if dispatcher.fleet.hasRanks(requirements.Service) && !requirements.mayUseReserved() && !waiter.Late {
		startsPerS := dispatcher.startRates[requirements.Service].PerSecond(now)
		wait = dispatcher.demands[requirements.Service].ExpectedWait(waiter.Rank, ahead, startsPerS, now)
	}
	if until, isDeferred := dispatcher.fleet.deferredUntil(requirements, now); isDeferred {
		return max(wait, until.Sub(now))
	}
	return wait
}

// Refuse removes from the queue a request that was not placed by its StartBy, and
// returns its refusal.
func (dispatcher *Dispatcher) Refuse(waiter Waiter, number uint64, now time.Time) Refused {
	service := waiter.Requirements.Service
	dispatcher.Remove(service, number)
	waiting := len(dispatcher.queues[service].Waiters())
	return dispatcher.newRefusal(waiter.Requirements, waiting, dispatcher.expectedWait(waiter, waiting, now), now)
}

// RefuseDeferred removes from the queue the requests that can't be placed by their
// StartBy, because all servers that may receive them asked for no requests until later, and
// returns their refusals.
func (dispatcher *Dispatcher) RefuseDeferred(service string, now time.Time) []Refusal {
	var refusals []Refusal
	for _, waiter := range dispatcher.queues[service].Waiters() {
		until, isDeferred := dispatcher.fleet.deferredUntil(waiter.Requirements, now)
		if isDeferred && waiter.StartBy.Before(until) {
			refusals = append(refusals, Refusal{Number: waiter.Number, Refused: dispatcher.Refuse(waiter, waiter.Number, now)})
		}
	}
	return refusals
}

// newRefusal estimates when there should be capacity: after the present wait, or
// when an overload of a few seconds has passed. The times are spread, so that
// callers that were refused together do not retry together.
func (dispatcher *Dispatcher) newRefusal(requirements Requirements, ahead int, wait time.Duration, now time.Time) Refused {
	candidates := dispatcher.fleet.CountCandidates(requirements, overcommit(requirements), now)
	return Refused{
		RetryAfter: dispatcher.spread(max(minRetryAfter, wait)), Ahead: ahead, Wait: wait,
		Candidates: candidates, Cause: candidates.refusalCause(requirements),
	}
}

// spread returns the delay with a random part, so that callers that were refused together
// do not retry together.
func (dispatcher *Dispatcher) spread(delay time.Duration) time.Duration {
	return delay + time.Duration(dispatcher.random()*retryJitter*float64(min(delay, maxRetrySpread)))
}

// RetryAfter returns after which time a caller should retry whose request the service's
// servers did not run: the delay, or when the first server takes requests again if all of
// them asked for none.
func (dispatcher *Dispatcher) RetryAfter(service string, delay time.Duration, now time.Time) time.Duration {
	until, isDeferred := dispatcher.fleet.deferredUntil(Requirements{Service: service}, now)
	if !isDeferred {
		return delay
	}
	return dispatcher.spread(max(delay, until.Sub(now)))
}

// overcommit returns the number of requests beyond its slots that a server is given.
func overcommit(requirements Requirements) int {
	if requirements.Model != "" {
		return engineOvercommit
	}
	return serviceOvercommit
}

func (dispatcher *Dispatcher) reserve(requirements Requirements, now time.Time) *Reservation {
	return dispatcher.reserveAmong(dispatcher.fleet.byService[requirements.Service], requirements, now)
}

// reserveAmong reserves one of the servers with the ids, if any can take the request.
func (dispatcher *Dispatcher) reserveAmong(ids []string, requirements Requirements, now time.Time) *Reservation {
	choice, found := dispatcher.fleet.chooseAmong(ids, requirements, overcommit(requirements), now, dispatcher.random)
	if !found {
		return nil
	}
	dispatcher.lastNumber++
	reservation := &Reservation{
		Server: choice.Server, Number: dispatcher.lastNumber, Tokens: requirements.Tokens, Predicted: choice.Predicted,
		Unlisted: choice.Unlisted, Limited: choice.Limited, Ranked: dispatcher.fleet.hasRanks(requirements.Service),
		UsualTime: choice.UsualTime, PaceFactor: choice.PaceFactor,
		startedAt: now, answerKind: requirements.answerKind(),
	}
	dispatcher.fleet.RecordStart(choice.Server.ID, requirements.Tokens, now)
	reservation.stage = dispatcher.fleet.reserveStart(choice.Server.ID)
	if len(requirements.Tried) == 0 {
		dispatcher.demands[requirements.Service] = dispatcher.demands[requirements.Service].WithStart(requirements.demand(), now)
	}
	dispatcher.startRates[requirements.Service] = dispatcher.startRates[requirements.Service].WithStart(now)
	return reservation
}

// Remove removes a waiter from the queue.
func (dispatcher *Dispatcher) Remove(service string, number uint64) {
	dispatcher.queues[service] = dispatcher.queues[service].Without(number)
}

// Dispatch reserves servers for the requests queued for the service, in queue order.
// It passes over requests of one group once maxPlacementFailures of them have found no
// server: a full region must not hold up the requests of another one, and those that yield
// to stricter targets or get idle engines only must not hold up the others.
func (dispatcher *Dispatcher) Dispatch(service string, now time.Time) []Grant {
	waiters := dispatcher.queues[service].Waiters()
	if len(waiters) == 0 {
		return nil
	}
	withRoom := dispatcher.fleet.serversWithRoom(service, engineOvercommit, now)
	if len(withRoom) == 0 {
		return nil
	}
	var grants []Grant
	failures := map[waiterGroup]int{}
	for _, waiter := range waiters {
		group := waiterGroup{regions: waiter.Requirements.Regions.String(), yields: dispatcher.fleet.yields(waiter.Requirements)}
		if failures[group] == maxPlacementFailures {
			continue
		}
		reservation := dispatcher.reserveAmong(withRoom, waiter.Requirements, now)
		if reservation == nil {
			failures[group]++
			continue
		}
		dispatcher.Remove(service, waiter.Number)
		grants = append(grants, Grant{Number: waiter.Number, Reservation: reservation})
	}
	return grants
}

// DispatchAll reserves servers for the queued requests of all services.
func (dispatcher *Dispatcher) DispatchAll(now time.Time) []Grant {
	var grants []Grant
	for service := range dispatcher.queues {
		grants = append(grants, dispatcher.Dispatch(service, now)...)
	}
	return grants
}

// Release ends a reservation with the outcome of its request.
func (dispatcher *Dispatcher) Release(reservation *Reservation, outcome Outcome, now time.Time) {
	reservation.stage = dispatcher.fleet.cancelStart(reservation.Server.ID, reservation.stage)
	if outcome == Answered {
		dispatcher.recordAnswerTime(reservation, now)
	}
	dispatcher.fleet.RecordEnd(reservation.Server.ID, outcome, now)
}

// RecordAnswer records that the server no longer has to read the prompt of the
// request. It returns false if that was recorded before or the prompt's length is
// unknown.
func (dispatcher *Dispatcher) RecordAnswer(reservation *Reservation) bool {
	if reservation.Answered || reservation.Tokens == 0 {
		return false
	}
	reservation.Answered = true
	dispatcher.fleet.RecordAnswer(reservation.Server.ID, reservation.Tokens)
	return true
}

// RecordLimit records the limit per second that the server stated in the answer to the
// request, zero if it stated none, and reports whether that has changed.
func (dispatcher *Dispatcher) RecordLimit(reservation *Reservation, perS float64, sentAt, now time.Time) bool {
	return dispatcher.fleet.RecordLimit(reservation.Server.ID, perS, sentAt, now)
}

// RecordLeaving records that the server stated in the answer to the request that it
// leaves. It returns the statement, and whether that is new.
func (dispatcher *Dispatcher) RecordLeaving(reservation *Reservation, now time.Time) (LeavingStatement, bool) {
	return dispatcher.fleet.RecordLeaving(reservation.Server, now)
}

// RecordDeferral records that the server asked in the answer to the request for no
// requests until the time, and reports whether that differs notably from before.
func (dispatcher *Dispatcher) RecordDeferral(reservation *Reservation, until, now time.Time) bool {
	return dispatcher.fleet.RecordDeferral(reservation.Server.ID, until, now)
}

// PermissionToSend returns whether the request may still be sent to the server for which
// the reservation was made, given the home regions that apply to it now. With the
// permission, it counts as being sent until RecordSent or Release.
func (dispatcher *Dispatcher) PermissionToSend(reservation *Reservation, allowed regions.Set, now time.Time) Permission {
	if dispatcher.isTooLate(reservation.answerKind, now) {
		return MayNotSend{Cause: EntryStops}
	}
	if permission, isForbidden := dispatcher.fleet.placePermission(reservation.Server, allowed).(MayNotSend); isForbidden {
		return permission
	}
	permission := dispatcher.fleet.PermissionToSend(reservation.Server.ID, now)
	if _, maySend := permission.(MaySend); maySend {
		reservation.stage = dispatcher.fleet.beginSending(reservation.Server.ID, reservation.stage)
	}
	return permission
}

// RecordResponseTime records the time to the first event or answer of a request.
func (dispatcher *Dispatcher) RecordResponseTime(reservation *Reservation, after time.Duration) {
	dispatcher.fleet.RecordResponseTime(reservation.Server.ID, after)
	if reservation.Predicted > 0 {
		dispatcher.fleet.recordPaceTrust(reservation, after)
		dispatcher.fleet.RecordPrediction(reservation.Server.Service, reservation.Predicted, after)
	}
}

// CountRequest adds a request of a caller to the demand for its service, to the rate that
// is told to agents, and to the service's retry budget.
func (dispatcher *Dispatcher) CountRequest(service string, request demands.Request, now time.Time) {
	dispatcher.demands[service] = dispatcher.demands[service].WithArrival(request, now)
	dispatcher.fleet.SetTypicalRequests(service, dispatcher.demands[service].Typical(now))
	dispatcher.meters[service] = dispatcher.meters[service].WithArrival(len(dispatcher.queues[service].Waiters()), now)
	dispatcher.retryBudgets[service] = dispatcher.retryBudgets[service].WithRequest(now)
}

// TakeRetry spends one retry from the budget of the service and reports whether the
// budget allowed it.
func (dispatcher *Dispatcher) TakeRetry(service string, now time.Time) bool {
	budget, allowed := dispatcher.retryBudgets[service].WithRetry(now)
	dispatcher.retryBudgets[service] = budget
	return allowed
}

// HasRetry reports whether the budget of the service allows one more retry.
func (dispatcher *Dispatcher) HasRetry(service string, now time.Time) bool {
	return dispatcher.retryBudgets[service].Remaining(now) >= 1
}

// ServiceStatus returns the status of a service for plain requests.
func (dispatcher *Dispatcher) ServiceStatus(service string, now time.Time) ServiceStatus {
	pace, statesPace := dispatcher.fleet.PaceStatus(service, now)
	return ServiceStatus{
		Candidates:  dispatcher.fleet.CountCandidates(Requirements{Service: service}, serviceOvercommit, now),
		Waiting:     len(dispatcher.queues[service].Waiters()),
		RetriesLeft: dispatcher.retryBudgets[service].Remaining(now),
		Pace:        pace,
		StatesPace:  statesPace,
	}
}
