package emulation

import (
	"math/rand/v2"
	"strconv"
	"time"

	"firford/lib/placements"
)

// service and model name the only service of the emulation.
const (
	service = "pool"
	model   = "model"
)

type (
	// policy decides for one entry.
	policy interface {
		// ask decides about a request. Where it has to wait, grant is called when it has
		// a place, and refuse when it will get none.
		ask(request *request, grant func(*placements.Reservation), refuse func(after time.Duration))
		// leave forgets a request that waits.
		leave(request *request)
		// report takes the report of an agent.
		report(placements.Report)
		// reply and end tell of a request with a place.
		reply(place *placements.Reservation, after time.Duration)
		end(place *placements.Reservation, outcome placements.Outcome)
	}

	// variant names a policy and how an entry makes one.
	variant struct {
		name string
		make func(*world, int) policy
	}

	// dispatched is the product's own policy, or it with one decision taken out.
	dispatched struct {
		world      *world
		dispatcher *placements.Dispatcher
		waiting    map[uint64]waiter
		numbers    map[*request]uint64
		// isPatient lets requests wait until their deadline.
		isPatient bool
		// refusesLate refuses what can't meet its target any more.
		refusesLate bool
	}

	waiter struct {
		grant func(*placements.Reservation)
	}

	// direct sends each request to an engine at once, where it waits.
	direct struct {
		world  *world
		choose func(direct *direct) int
		own    []int
		turn   int
		number uint64
	}
)

// variants are the policies that are compared, the product's own first.
func variants() []variant {
	return []variant{
		{"predicted", func(world *world, _ int) policy { return newDispatched(world, true) }},
		{"counts", func(world *world, _ int) policy { return newDispatched(world, false) }},
		{"patient", func(world *world, _ int) policy {
			policy := newDispatched(world, true)
			policy.isPatient = true
			return policy
		}},
		{"never_late", func(world *world, _ int) policy {
			policy := newDispatched(world, true)
			policy.refusesLate = true
			return policy
		}},
		{"least_own", func(world *world, _ int) policy { return newDirect(world, leastOwn) }},
		{"two_choices", func(world *world, _ int) policy { return newDirect(world, twoChoices) }},
		{"round_robin", func(world *world, place int) policy {
			policy := newDirect(world, roundRobin)
			policy.turn = place
			return policy
		}},
	}
}

func newDispatched(world *world, predicts bool) *dispatched {
	fleet := placements.NewFleet("near")
	var servers []placements.Server
	for i := range world.engines {
		servers = append(servers, placements.Server{
			ID: strconv.Itoa(i), Service: service, DataCentre: "near", Slots: standardFigures.slots,
			Versions: map[string]int{model: 1},
		})
	}
	fleet.UpdateServers(servers, time.Time{}, world.clock.now)
	if predicts {
		step := standardFigures.step + time.Duration(standardFigures.slots)*standardFigures.stepPerRun
		fleet.SetEngineProfiles(map[string]placements.EngineProfile{service: {
			TokensPerS: standardFigures.tokensPerMS * 1000, AdmissionInterval: time.Duration(standardFigures.stride) * step,
			SlotReleaseInterval: time.Duration(usualAnswer/float64(standardFigures.slots)) * step,
		}})
	}
	return &dispatched{
		world: world, dispatcher: placements.NewDispatcher(fleet, world.random.Float64),
		waiting: map[uint64]waiter{}, numbers: map[*request]uint64{},
	}
}

func (policy *dispatched) ask(request *request, grant func(*placements.Reservation), refuse func(time.Duration)) {
	now := policy.world.clock.now
	startBy, late := policy.dispatcher.Fleet().PlacementDeadline(placements.Urgency{
		FirstArrivedAt: request.asked, FirstEventTarget: request.kind.target, EventGap: request.kind.pause, Deadline: request.deadline,
		Resumed: request.events > 0, Attempted: request.sent > 0,
	}, service, now)
	if policy.isPatient {
		startBy = request.deadline
	}
	if late && policy.refusesLate {
		refuse(time.Second)
		return
	}
	ask := placements.Waiter{Late: late, StartBy: startBy, Requirements: placements.Requirements{
		Service: service, Model: model, Tokens: request.kind.prompt, FirstEventBy: request.asked.Add(request.kind.target),
		Late: late || policy.isPatient, Resumed: request.events > 0, Tried: request.tried,
	}}
	switch decision := policy.dispatcher.Admit(ask, now).(type) {
	case placements.Placed:
		grant(decision.Reservation)
	case placements.Refused:
		refuse(decision.RetryAfter)
	case placements.Queued:
		policy.waiting[decision.Number] = waiter{grant: grant}
		policy.numbers[request] = decision.Number
		policy.world.clock.at(startBy, func() {
			if _, waits := policy.waiting[decision.Number]; !waits {
				return
			}
			policy.forget(request, decision.Number)
			refuse(policy.dispatcher.Refuse(ask, decision.Number, policy.world.clock.now).RetryAfter)
		})
	}
}

func (policy *dispatched) forget(request *request, number uint64) {
	delete(policy.waiting, number)
	delete(policy.numbers, request)
}

func (policy *dispatched) leave(request *request) {
	if number, waits := policy.numbers[request]; waits {
		policy.forget(request, number)
		policy.dispatcher.Remove(service, number)
	}
}

func (policy *dispatched) dispatch() {
	for _, grant := range policy.dispatcher.Dispatch(service, policy.world.clock.now) {
		waiter := policy.waiting[grant.Number]
		delete(policy.waiting, grant.Number)
		waiter.grant(grant.Reservation)
	}
}

func (policy *dispatched) report(report placements.Report) {
	policy.dispatcher.Fleet().ApplyReport(report, policy.world.clock.now)
	policy.dispatch()
}

func (policy *dispatched) reply(place *placements.Reservation, after time.Duration) {
	policy.dispatcher.RecordAnswer(place)
	policy.dispatcher.RecordResponseTime(place, after)
	policy.dispatch()
}

func (policy *dispatched) end(place *placements.Reservation, outcome placements.Outcome) {
	policy.dispatcher.RecordAnswer(place)
	policy.dispatcher.Release(place, outcome, policy.world.clock.now)
	policy.dispatch()
}

func newDirect(world *world, choose func(*direct) int) *direct {
	return &direct{world: world, choose: choose, own: make([]int, len(world.engines))}
}

func (policy *direct) ask(_ *request, grant func(*placements.Reservation), _ func(time.Duration)) {
	at := policy.choose(policy)
	policy.own[at]++
	policy.number++
	grant(&placements.Reservation{Server: placements.Server{ID: strconv.Itoa(at)}, Number: policy.number})
}

func (*direct) leave(*request) {}

func (*direct) report(placements.Report) {}

func (*direct) reply(*placements.Reservation, time.Duration) {}

func (policy *direct) end(place *placements.Reservation, _ placements.Outcome) {
	policy.own[policy.world.index(place)]--
}

func leastOwn(direct *direct) int {
	best := direct.world.random.IntN(len(direct.own))
	for at, count := range direct.own {
		if count < direct.own[best] {
			best = at
		}
	}
	return best
}

func twoChoices(direct *direct) int {
	left, right := direct.world.random.IntN(len(direct.own)), direct.world.random.IntN(len(direct.own))
	if direct.own[right] < direct.own[left] {
		return right
	}
	return left
}

func roundRobin(direct *direct) int {
	direct.turn++
	return direct.turn % len(direct.own)
}

// newRandom returns the random numbers of a seed.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 10)) }
