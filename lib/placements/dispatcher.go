package placements

// How requests wait, are turned away and are placed. The dispatcher holds no
// timers and no connections: callers pass the time, and are told what to do. The
// gateway drives it with the clock of the machine, the bench's emulator with that
// of its simulation.

import "time"

const (
	// engineAllowance is how many requests beyond its slots an engine is given, so
	// that a slot that becomes free is taken at once.
	engineAllowance = 1
	// serviceAllowance is the same for a plain service.
	serviceAllowance = 0
	// leastRetryAfter keeps callers from coming back before anything has changed.
	leastRetryAfter = 700 * time.Millisecond
	// retrySpread is the part of that time over which callers come back.
	retrySpread = 1.0
	// mostFailures is how many waiters without a place end a look at the line. Each
	// report of an engine causes one, and at overload an entry with 0.3 cores would
	// spend most of its time on comparing some dozen waiters with all engines.
	mostFailures = 8
)

type (
	// Dispatcher places requests at the servers of a fleet. Requests without a place
	// wait in the line of their service. It is not safe for concurrent use.
	Dispatcher struct {
		fleet   *Fleet
		chance  func() float64
		lines   map[string]Queue
		paces   map[string]StartRate
		retries map[string]RetryBudget
		number  uint64
	}

	// Reservation is a request's place at a server. Predicted is how long its first event
	// should take, zero if not known. Each place has to be given back with End.
	Reservation struct {
		Server    Server
		Number    uint64
		Tokens    int
		Predicted time.Duration
		Answered  bool
	}

	// Decision is what becomes of a request that asks for a place. The variants are
	// sealed.
	Decision interface{ isDecision() }

	// Placed requests go to a server at once.
	Placed struct{ Reservation *Reservation }

	// Queued means that the request stands in the line under its number.
	Queued struct{ Number uint64 }

	// Refused requests come back after the time. Ahead is how many waited before it,
	// Wait how long its turn would have taken, and Candidates what kept it from the
	// servers.
	Refused struct {
		RetryAfter time.Duration
		Ahead      int
		Wait       time.Duration
		Candidates CandidateCounts
	}

	// Grant is a place for a waiter.
	Grant struct {
		Number      uint64
		Reservation *Reservation
	}

	// ServiceStatus is what a service looks like to a plain request.
	ServiceStatus struct {
		Candidates  CandidateCounts
		Waiting     int
		RetriesLeft float64
	}
)

func (Placed) isDecision()  {}
func (Queued) isDecision()  {}
func (Refused) isDecision() {}

// NewDispatcher returns a dispatcher for the fleet. Chance is between 0 (included)
// and 1 (excluded).
func NewDispatcher(fleet *Fleet, chance func() float64) *Dispatcher {
	return &Dispatcher{
		fleet: fleet, chance: chance,
		lines: map[string]Queue{}, paces: map[string]StartRate{}, retries: map[string]RetryBudget{},
	}
}

// Fleet returns the fleet. Dispatch has to be called after it was changed.
func (dispatcher *Dispatcher) Fleet() *Fleet { return dispatcher.fleet }

// Admit places the request at once, refuses it or puts it into the line.
func (dispatcher *Dispatcher) Admit(waiter Waiter, now time.Time) Decision {
	service := waiter.Requirements.Service
	ahead := dispatcher.lines[service].CountAhead(waiter)
	if ahead == 0 {
		if place := dispatcher.start(waiter.Requirements, now); place != nil {
			return Placed{Reservation: place}
		}
	}
	wait := dispatcher.paces[service].ExpectedWait(ahead, now)
	if now.Add(wait).After(waiter.StartBy) {
		return dispatcher.refusal(waiter.Requirements, ahead, wait, now)
	}
	dispatcher.number++
	waiter.Number = dispatcher.number
	dispatcher.lines[service] = dispatcher.lines[service].With(waiter)
	return Queued{Number: waiter.Number}
}

// Refuse takes a request that has waited for too long out of the line.
func (dispatcher *Dispatcher) Refuse(waiter Waiter, number uint64, now time.Time) Refused {
	service := waiter.Requirements.Service
	dispatcher.Remove(service, number)
	waiting := len(dispatcher.lines[service].Waiters())
	return dispatcher.refusal(waiter.Requirements, waiting, dispatcher.paces[service].ExpectedWait(waiting, now), now)
}

// refusal tells when there should be room: after the present wait, or when an
// overload of a few seconds has passed. The times are spread, so that callers
// that were refused together do not come back together.
func (dispatcher *Dispatcher) refusal(need Requirements, ahead int, wait time.Duration, now time.Time) Refused {
	after := max(leastRetryAfter, wait)
	return Refused{
		RetryAfter: after + time.Duration(dispatcher.chance()*retrySpread*float64(after)), Ahead: ahead, Wait: wait,
		Candidates: dispatcher.fleet.CountCandidates(need, allowance(need), now),
	}
}

// allowance returns how many requests beyond its slots a server is given.
func allowance(need Requirements) int {
	if need.Model != "" {
		return engineAllowance
	}
	return serviceAllowance
}

func (dispatcher *Dispatcher) start(need Requirements, now time.Time) *Reservation {
	choice, found := dispatcher.fleet.Choose(need, allowance(need), now, dispatcher.chance)
	if !found {
		return nil
	}
	dispatcher.number++
	place := &Reservation{Server: choice.Server, Number: dispatcher.number, Tokens: need.Tokens, Predicted: choice.Predicted}
	dispatcher.fleet.RecordStart(choice.Server.ID, need.Tokens)
	dispatcher.paces[need.Service] = dispatcher.paces[need.Service].WithStart(now)
	return place
}

// Remove takes a waiter out of the line.
func (dispatcher *Dispatcher) Remove(service string, number uint64) {
	dispatcher.lines[service] = dispatcher.lines[service].Without(number)
}

// Dispatch gives places to those that wait for the service, in their order. It ends
// when the most urgent ones find no place.
func (dispatcher *Dispatcher) Dispatch(service string, now time.Time) []Grant {
	var grants []Grant
	failures := 0
	for _, waiter := range dispatcher.lines[service].Waiters() {
		place := dispatcher.start(waiter.Requirements, now)
		if place == nil {
			failures++
			if failures == mostFailures {
				break
			}
			continue
		}
		dispatcher.Remove(service, waiter.Number)
		grants = append(grants, Grant{Number: waiter.Number, Reservation: place})
	}
	return grants
}

// DispatchAll gives places to all that wait.
func (dispatcher *Dispatcher) DispatchAll(now time.Time) []Grant {
	var grants []Grant
	for service := range dispatcher.lines {
		grants = append(grants, dispatcher.Dispatch(service, now)...)
	}
	return grants
}

// Release gives a place back.
func (dispatcher *Dispatcher) Release(place *Reservation, outcome Outcome, now time.Time) {
	dispatcher.fleet.RecordEnd(place.Server.ID, outcome, now)
}

// RecordAnswer records that the server needs not read the request any more. It returns
// false where that was known, or the request has no known length.
func (dispatcher *Dispatcher) RecordAnswer(place *Reservation) bool {
	if place.Answered || place.Tokens == 0 {
		return false
	}
	place.Answered = true
	dispatcher.fleet.RecordAnswer(place.Server.ID, place.Tokens)
	return true
}

// RecordReplyTime records the time to the first event or answer of a request.
func (dispatcher *Dispatcher) RecordReplyTime(place *Reservation, after time.Duration) {
	dispatcher.fleet.RecordReplyTime(place.Server.ID, after)
}

// CountRequest counts a request of a caller for the retry budget of its service.
func (dispatcher *Dispatcher) CountRequest(service string, now time.Time) {
	dispatcher.retries[service] = dispatcher.retries[service].WithRequest(now)
}

// TakeRetry takes one retry from the budget of the service.
func (dispatcher *Dispatcher) TakeRetry(service string, now time.Time) bool {
	retries, allowed := dispatcher.retries[service].WithRetry(now)
	dispatcher.retries[service] = retries
	return allowed
}

// ServiceStatus returns what a service looks like to a plain request.
func (dispatcher *Dispatcher) ServiceStatus(service string, now time.Time) ServiceStatus {
	return ServiceStatus{
		Candidates:  dispatcher.fleet.CountCandidates(Requirements{Service: service}, serviceAllowance, now),
		Waiting:     len(dispatcher.lines[service].Waiters()),
		RetriesLeft: dispatcher.retries[service].Remaining(now),
	}
}
