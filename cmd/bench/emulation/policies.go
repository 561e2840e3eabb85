package emulation

import (
	"math/rand/v2"
	"strconv"
	"time"

	"firford/lib/demands"
	"firford/lib/placements"
	"firford/lib/routes"
)

// The simulated fleet has a single service with a single model.
const (
	service = "pool"
	model   = "model"
)

type (
	// policy makes the admission and placement decisions of one entry.
	policy interface {
		// admit places, queues or refuses a request. It calls grant or refuse at once,
		// or later for a queued request that is not cancelled before.
		admit(request *request, grant func(*placements.Reservation), refuse func(retryAfter time.Duration))
		// cancel removes a request from the queue if it waits there.
		cancel(request *request)
		// applyReport handles a report of an agent.
		applyReport(placements.Report)
		// recordFirstEvent records the time from a reservation to the first event of the
		// answer, and release the end of the reservation.
		recordFirstEvent(reservation *placements.Reservation, responseTime time.Duration)
		release(reservation *placements.Reservation, outcome placements.Outcome)
	}

	// policyVariant is a policy under comparison. newPolicy creates the policy of the
	// entry with the given number.
	policyVariant struct {
		name      string
		newPolicy func(*simulation, int) policy
	}

	// dispatcherPolicy is the policy of the product's entries, or a variant of it with
	// one decision removed.
	dispatcherPolicy struct {
		simulation     *simulation
		dispatcher     *placements.Dispatcher
		waiting        map[uint64]waitingRequest
		waitingNumbers map[*request]uint64
		// waitsUntilDeadline lets requests wait until their deadline.
		waitsUntilDeadline bool
		// ignoresRanks orders requests by their deadlines alone, and ignoresTargets reserves
		// no engines for strict targets.
		ignoresRanks, ignoresTargets bool
		// shedsAtRandom refuses the part of all requests that exceeds the capacity of a
		// ranked site, by the rate of arrivals.
		shedsAtRandom bool
		arrivals      placements.StartRate
		// refusesLate refuses requests that can't meet their target any more.
		refusesLate bool
	}

	// waitingRequest is a request in the dispatcher's queue.
	waitingRequest struct {
		grant func(*placements.Reservation)
	}

	// directPolicy sends each request to an engine at once, so that requests wait in the
	// engines' queues. assigned counts this entry's requests at each engine.
	directPolicy struct {
		simulation *simulation
		choose     func(policy *directPolicy) int
		assigned   []int
		lastEngine int
		lastNumber uint64
	}
)

// policyVariants returns the compared policies, starting with that of the product.
func policyVariants() []policyVariant {
	return []policyVariant{
		{"predicted", func(simulation *simulation, _ int) policy { return newDispatcherPolicy(simulation, true) }},
		{"counts", func(simulation *simulation, _ int) policy { return newDispatcherPolicy(simulation, false) }},
		{"patient", func(simulation *simulation, _ int) policy {
			policy := newDispatcherPolicy(simulation, true)
			policy.waitsUntilDeadline = true
			return policy
		}},
		{"never_late", func(simulation *simulation, _ int) policy {
			policy := newDispatcherPolicy(simulation, true)
			policy.refusesLate = true
			return policy
		}},
		{"first_come", func(simulation *simulation, _ int) policy {
			policy := newDispatcherPolicy(simulation, true)
			policy.ignoresRanks, policy.ignoresTargets = true, true
			return policy
		}},
		{"random_shedding", func(simulation *simulation, _ int) policy {
			policy := newDispatcherPolicy(simulation, true)
			policy.ignoresRanks, policy.ignoresTargets, policy.shedsAtRandom = true, true, true
			return policy
		}},
		{"rank_only", func(simulation *simulation, _ int) policy {
			policy := newDispatcherPolicy(simulation, true)
			policy.ignoresTargets = true
			return policy
		}},
		{"least_own", func(simulation *simulation, _ int) policy { return newDirectPolicy(simulation, leastAssigned) }},
		{"two_choices", func(simulation *simulation, _ int) policy { return newDirectPolicy(simulation, twoChoices) }},
		{"round_robin", func(simulation *simulation, entry int) policy {
			policy := newDirectPolicy(simulation, roundRobin)
			policy.lastEngine = entry
			return policy
		}},
	}
}

// newDispatcherPolicy returns the product's policy. Without predicts it does not know
// the engines' profiles and chooses by numbers of requests.
func newDispatcherPolicy(simulation *simulation, predicts bool) *dispatcherPolicy {
	fleet := placements.NewFleet("near")
	var servers []placements.Server
	for i := range simulation.engines {
		servers = append(servers, placements.Server{
			ID: strconv.Itoa(i), Address: strconv.Itoa(i), Service: service, DataCentre: "near", Slots: simulation.profile.slots,
			Versions: map[string]int{model: 1},
		})
	}
	fleet.UpdateServers(servers, time.Time{}, simulation.clock.now)
	if predicts {
		step := simulation.profile.step + time.Duration(simulation.profile.slots)*simulation.profile.stepPerRequest
		fleet.SetEngineProfiles(map[string]placements.EngineProfile{service: {
			TokensPerS: simulation.profile.promptTokensPerMS * 1000, AdmissionInterval: time.Duration(simulation.profile.stride) * step,
			SlotReleaseInterval: time.Duration(meanAnswerTokens/float64(simulation.profile.slots)) * step,
		}})
	}
	return &dispatcherPolicy{
		simulation: simulation, dispatcher: placements.NewDispatcher(fleet, simulation.random.Float64),
		waiting: map[uint64]waitingRequest{}, waitingNumbers: map[*request]uint64{},
	}
}

func (policy *dispatcherPolicy) admit(request *request, grant func(*placements.Reservation), refuse func(time.Duration)) {
	now := policy.simulation.clock.now
	startBy, late := policy.dispatcher.Fleet().PlacementDeadline(placements.Urgency{
		FirstArrivedAt: request.arrived, FirstEventTarget: request.kind.firstEventTarget, EventGap: request.kind.maxEventGap, Deadline: request.deadline,
		Tokens: request.kind.promptTokens, Resumed: request.eventCount > 0, Attempted: request.attempts > 0,
	}, service, now)
	if policy.waitsUntilDeadline {
		startBy = request.deadline
	}
	if late && policy.refusesLate {
		refuse(time.Second)
		return
	}
	if policy.shedsAtRandom && policy.exceedsCapacity(now) {
		refuse(time.Second)
		return
	}
	demand := policy.demand(request)
	if request.attempts == 0 {
		policy.dispatcher.CountRequest(service, demand, now)
	}
	waiter := placements.Waiter{Rank: policy.rank(request), Late: late, StartBy: startBy, Requirements: placements.Requirements{
		Service: service, Model: model, Tokens: request.kind.promptTokens, FirstEventBy: request.arrived.Add(request.kind.firstEventTarget),
		Late: late || policy.waitsUntilDeadline, Resumed: request.eventCount > 0, Tried: request.triedServers,
		Kind: demand.Kind, Rank: policy.rank(request), Organisation: demand.Organisation,
	}}
	switch decision := policy.dispatcher.Admit(waiter, now).(type) {
	case placements.Placed:
		grant(decision.Reservation)
	case placements.Refused:
		refuse(decision.RetryAfter)
	case placements.Queued:
		policy.waiting[decision.Number] = waitingRequest{grant: grant}
		policy.waitingNumbers[request] = decision.Number
		policy.simulation.clock.scheduleAt(startBy, func() {
			if _, isWaiting := policy.waiting[decision.Number]; !isWaiting {
				return
			}
			policy.removeWaiting(request, decision.Number)
			refuse(policy.dispatcher.Refuse(waiter, decision.Number, policy.simulation.clock.now).RetryAfter)
		})
	}
}

// exceedsCapacity reports whether random shedding refuses a request that arrives now.
func (policy *dispatcherPolicy) exceedsCapacity(now time.Time) bool {
	policy.arrivals = policy.arrivals.WithStart(now)
	capacity := servedPerS / float64(len(policy.simulation.entries)-policy.simulation.lostEntries())
	return policy.simulation.random.Float64() >= capacity/policy.arrivals.PerSecond(now)
}

// demand describes the request to the dispatcher.
func (policy *dispatcherPolicy) demand(request *request) demands.Request {
	if policy.ignoresTargets {
		return demands.Request{}
	}
	return demands.Request{Kind: request.kind.demandKind(), Rank: request.rank, Organisation: request.organisation, Tokens: request.kind.promptTokens}
}

func (policy *dispatcherPolicy) rank(request *request) routes.Rank {
	if policy.ignoresRanks {
		return routes.Rank{}
	}
	return request.rank
}

func (policy *dispatcherPolicy) removeWaiting(request *request, number uint64) {
	delete(policy.waiting, number)
	delete(policy.waitingNumbers, request)
}

func (policy *dispatcherPolicy) cancel(request *request) {
	if number, isWaiting := policy.waitingNumbers[request]; isWaiting {
		policy.removeWaiting(request, number)
		policy.dispatcher.Remove(service, number)
	}
}

// dispatch grants reservations to the waiting requests that can be placed now.
func (policy *dispatcherPolicy) dispatch() {
	for _, grant := range policy.dispatcher.Dispatch(service, policy.simulation.clock.now) {
		waiting := policy.waiting[grant.Number]
		delete(policy.waiting, grant.Number)
		waiting.grant(grant.Reservation)
	}
}

func (policy *dispatcherPolicy) applyReport(report placements.Report) {
	policy.dispatcher.Fleet().ApplyReport(report, policy.simulation.clock.now)
	policy.dispatch()
}

func (policy *dispatcherPolicy) recordFirstEvent(reservation *placements.Reservation, responseTime time.Duration) {
	policy.dispatcher.RecordAnswer(reservation)
	policy.dispatcher.RecordResponseTime(reservation, responseTime)
	policy.dispatch()
}

func (policy *dispatcherPolicy) release(reservation *placements.Reservation, outcome placements.Outcome) {
	policy.dispatcher.RecordAnswer(reservation)
	policy.dispatcher.Release(reservation, outcome, policy.simulation.clock.now)
	policy.dispatch()
}

func newDirectPolicy(simulation *simulation, choose func(*directPolicy) int) *directPolicy {
	return &directPolicy{simulation: simulation, choose: choose, assigned: make([]int, len(simulation.engines))}
}

func (policy *directPolicy) admit(_ *request, grant func(*placements.Reservation), _ func(time.Duration)) {
	engine := policy.choose(policy)
	policy.assigned[engine]++
	policy.lastNumber++
	grant(&placements.Reservation{Server: placements.Server{ID: strconv.Itoa(engine)}, Number: policy.lastNumber})
}

func (*directPolicy) cancel(*request) {}

func (*directPolicy) applyReport(placements.Report) {}

func (*directPolicy) recordFirstEvent(*placements.Reservation, time.Duration) {}

func (policy *directPolicy) release(reservation *placements.Reservation, _ placements.Outcome) {
	policy.assigned[policy.simulation.engineIndex(reservation)]--
}

// leastAssigned returns the engine with the fewest requests of this entry. The search
// starts with a random engine, which wins a tie.
func leastAssigned(policy *directPolicy) int {
	best := policy.simulation.random.IntN(len(policy.assigned))
	for engine, count := range policy.assigned {
		if count < policy.assigned[best] {
			best = engine
		}
	}
	return best
}

// twoChoices returns the engine with fewer requests of this entry out of two random ones.
func twoChoices(policy *directPolicy) int {
	left, right := policy.simulation.random.IntN(len(policy.assigned)), policy.simulation.random.IntN(len(policy.assigned))
	if policy.assigned[right] < policy.assigned[left] {
		return right
	}
	return left
}

// roundRobin returns the engines in turn.
func roundRobin(policy *directPolicy) int {
	policy.lastEngine++
	return policy.lastEngine % len(policy.assigned)
}

// newRandom returns a generator of random numbers for the seed.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 10)) }
