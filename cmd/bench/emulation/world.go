package emulation

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"firford/lib/placements"
)

const (
	// callerDelay and engineDelay are the ways between caller, entry and engine.
	callerDelay = time.Millisecond
	engineDelay = 1400 * time.Microsecond
	// reportInterval is how often agents report.
	reportInterval = 40 * time.Millisecond
	// drainTime is how long an engine that leaves in good order says so before.
	drainTime = 400 * time.Millisecond
	// mostAttempts is the number of engines that one attempt of a caller may reach.
	mostAttempts = 2
	// turnedAwayPause is when a caller comes back whom engines turned away.
	turnedAwayPause = 300 * time.Millisecond
	// Callers give up when nothing has come for the longest of a time and of so many
	// pauses, and wait for up to a part of their time after a refusal.
	abandonTime   = 2 * time.Second
	abandonPauses = 8
	mostRetryPart = 3
	// abuserPause and abuserRetries are those of callers that repeat at once.
	abuserPause   = 50 * time.Millisecond
	abuserRetries = 3
)

type (
	// world is one run of a policy under a pattern.
	world struct {
		clock   *clock
		random  *rand.Rand
		pattern pattern
		engines []*engine
		entries []policy
		// pending are the prompt tokens that each engine's agent has heard of.
		pending []int
		closed  []bool
		lost    []bool
		result  result
	}

	// request is a request of a caller with all its attempts.
	request struct {
		kind     kind
		entry    policy
		asked    time.Time
		deadline time.Time
		retries  int
		isAbuser bool
		sent     int
		tried    []string
		events   int
		first    time.Time
		heard    time.Time
		place    *placements.Reservation
		run      *run
		refusals int
		over     bool
	}
)

// emulate runs a policy under a pattern.
func emulate(variant variant, pattern pattern, seed uint64, engines int, rate float64) result {
	world := &world{
		clock: newClock(), random: newRandom(seed), pattern: pattern,
		pending: make([]int, engines), closed: make([]bool, engines), lost: make([]bool, engines),
	}
	for range engines {
		world.engines = append(world.engines, &engine{clock: world.clock, figures: standardFigures, pace: 1})
	}
	for place := range entryCount {
		world.entries = append(world.entries, variant.make(world, place))
	}
	if pattern.happen != nil {
		pattern.happen(world)
	}
	world.clock.after(0, world.report)
	world.arrive(rate)
	world.clock.run(start.Add(duration + 10*time.Second))
	world.result.tokens = world.tokens()
	return world.result
}

func (world *world) tokens() int {
	sum := 0
	for _, engine := range world.engines {
		sum += engine.tokens
	}
	return sum
}

// arrive sets the arrival of the next request.
func (world *world) arrive(rate float64) {
	since := world.clock.now.Sub(start)
	if since >= duration {
		return
	}
	perSecond := rate * world.pattern.rate(since)
	pause := -math.Log(1-world.random.Float64()) / perSecond
	world.clock.after(time.Duration(pause*float64(time.Second)), func() {
		world.begin()
		world.arrive(rate)
	})
}

// begin lets a caller ask for the first time.
func (world *world) begin() {
	kind := world.draw()
	now := world.clock.now
	request := &request{kind: kind, asked: now, deadline: now.Add(kind.deadline), retries: 1}
	if world.random.Float64() < world.pattern.abuse {
		request.isAbuser = true
		request.retries = abuserRetries
	}
	world.result.owe(kind)
	if world.random.Float64() < world.pattern.giveUp {
		world.clock.after(leaveAfter, func() {
			if request.events == 0 {
				world.leave(request, outcomeLeft)
			}
		})
	}
	world.clock.at(request.deadline, func() { world.leave(request, outcomeFailed) })
	world.attempt(request)
}

func (world *world) draw() kind {
	at := world.random.Float64()
	all := kinds()
	for _, kind := range all {
		if at < kind.share {
			return kind
		}
		at -= kind.share
	}
	return all[len(all)-1]
}

// attempt sends a request to an entry.
func (world *world) attempt(request *request) {
	request.sent = 0
	request.tried = nil
	request.entry = world.entries[world.random.IntN(len(world.entries))]
	if world.random.Float64() < world.pattern.skew {
		request.entry = world.entries[0]
	}
	world.clock.after(callerDelay, func() { world.ask(request) })
}

func (world *world) ask(request *request) {
	if request.over {
		return
	}
	request.entry.ask(request,
		func(place *placements.Reservation) { world.place(request, place) },
		func(after time.Duration) { world.refuse(request, after) })
}

// place sends the request to the engine.
func (world *world) place(request *request, place *placements.Reservation) {
	if request.over {
		request.entry.end(place, placements.Abandoned)
		return
	}
	at := world.index(place)
	request.place = place
	request.tried = append(request.tried, place.Server.ID)
	placed := world.clock.now
	entry := request.entry
	current := &run{unread: request.kind.prompt, prompt: request.kind.prompt, left: request.kind.answer - request.events*standardFigures.stride}
	request.run = current
	answered := false
	answer := func() {
		if !answered {
			answered = true
			world.pending[at] -= place.Tokens
		}
	}
	current.event = func(first bool) {
		world.clock.after(engineDelay, func() {
			if first {
				answer()
				if !current.gone || request.place == place {
					entry.reply(place, world.clock.now.Sub(placed))
				}
			}
			world.deliver(request, current)
		})
	}
	current.end = func(whole bool) {
		current.gone = true
		world.clock.after(engineDelay, func() {
			answer()
			world.ended(request, current, place, whole)
		})
	}
	world.pending[at] += place.Tokens
	world.clock.after(engineDelay, func() {
		if current.gone {
			answer()
			return
		}
		if world.engines[at].take(current) {
			return
		}
		world.clock.after(engineDelay, func() {
			answer()
			world.turnedAway(request, current, place, world.lost[at])
		})
	})
}

func (world *world) index(place *placements.Reservation) int {
	at, err := strconv.Atoi(place.Server.ID)
	if err != nil {
		panic("server without a number: " + place.Server.ID)
	}
	return at
}

// deliver passes an event on to the caller.
func (world *world) deliver(request *request, current *run) {
	if request.over || request.run != current {
		return
	}
	now := world.clock.now.Add(callerDelay)
	request.events++
	if request.first.IsZero() {
		request.first = now
	}
	if !request.heard.IsZero() && now.Sub(request.heard) > request.kind.pause {
		// A pause over the longest one makes the answer late.
		request.first = later(request.first, request.asked.Add(request.kind.target+1))
	}
	request.heard = now
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// ended takes the end of a run.
func (world *world) ended(request *request, current *run, place *placements.Reservation, whole bool) {
	if request.run != current {
		return
	}
	request.run = nil
	request.sent++
	if whole {
		request.entry.end(place, placements.Answered)
		world.finish(request)
		return
	}
	request.entry.end(place, placements.Failed)
	if request.sent < mostAttempts {
		world.ask(request)
		return
	}
	world.finishAs(request, outcomeFailed)
}

// turnedAway takes an engine's statement that it did not run the request, or that
// no connection came about.
func (world *world) turnedAway(request *request, current *run, place *placements.Reservation, lost bool) {
	if request.run != current {
		return
	}
	request.run = nil
	outcome := placements.Rejected
	if lost {
		outcome = placements.Unreachable
	} else {
		request.sent++
	}
	request.entry.end(place, outcome)
	if request.sent < mostAttempts && len(request.tried) < 2*mostAttempts {
		world.ask(request)
		return
	}
	world.refuse(request, turnedAwayPause)
}

// refuse tells the caller when to come back.
func (world *world) refuse(request *request, after time.Duration) {
	if request.over {
		return
	}
	if request.events > 0 {
		world.finishAs(request, outcomeFailed)
		return
	}
	request.refusals++
	if request.retries == 0 {
		world.finishAs(request, outcomeRefused)
		return
	}
	request.retries--
	pause := min(after, request.deadline.Sub(world.clock.now)/mostRetryPart)
	if request.isAbuser {
		pause = abuserPause
	}
	world.clock.after(pause+callerDelay, func() {
		if !request.over {
			world.attempt(request)
		}
	})
}

// leave lets the caller give up.
func (world *world) leave(request *request, outcome outcome) {
	if request.over {
		return
	}
	request.entry.leave(request)
	if request.run != nil {
		request.run.gone = true
		request.run = nil
		world.pending[world.index(request.place)] -= unanswered(request)
		request.entry.end(request.place, placements.Abandoned)
	}
	world.finishAs(request, outcome)
}

// unanswered returns the tokens that the engine's agent still counts.
func unanswered(request *request) int {
	if request.events > 0 || request.place.Answered {
		return 0
	}
	return request.place.Tokens
}

func (world *world) finish(request *request) {
	outcome := outcomeLate
	if !request.first.After(request.asked.Add(request.kind.target)) {
		outcome = outcomeInAim
	}
	world.finishAs(request, outcome)
}

func (world *world) finishAs(request *request, outcome outcome) {
	if request.over {
		return
	}
	request.over = true
	world.result.take(request, outcome)
}

// report lets each agent report to all entries.
func (world *world) report() {
	for at, engine := range world.engines {
		if world.lost[at] {
			continue
		}
		running, waiting := engine.occupied()
		report := placements.Report{
			Server: strconv.Itoa(at), Incarnation: 1, Running: running, Queued: waiting, Pending: world.pending[at],
			Closed: world.closed[at], Versions: map[string]int{model: 1},
		}
		world.clock.after(engineDelay, func() {
			for _, entry := range world.entries {
				entry.report(report)
			}
		})
	}
	world.clock.after(reportInterval, world.report)
}

// lose has an engine crash at a time and come back.
func (world *world) lose(at int, when, span time.Duration) {
	world.clock.after(when, func() {
		world.lost[at] = true
		world.engines[at].leave(span)
		world.clock.after(span, func() { world.lost[at] = false })
	})
}

// change has an engine change its version: it takes nothing new while it drains
// and loads.
func (world *world) change(at int, when, span time.Duration) {
	world.clock.after(when, func() { world.closed[at] = true })
	world.clock.after(when+drainTime, func() {
		world.engines[at].leave(span)
		world.clock.after(span, func() { world.closed[at] = false })
	})
}
