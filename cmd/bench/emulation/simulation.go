package emulation

import (
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"firford/lib/placements"
	"firford/lib/routes"
)

const (
	// callerDelay is the network delay between caller and entry, and engineDelay that
	// between entry and engine.
	callerDelay = time.Millisecond
	engineDelay = 1400 * time.Microsecond
	// reportInterval is how often agents report.
	reportInterval = 40 * time.Millisecond
	// drainTime is how long an engine reports that it is closed before it becomes
	// unavailable for a version change.
	drainTime = 400 * time.Millisecond
	// maxAttempts is the number of engines that may receive one request of a caller.
	// Each retry of the caller starts anew.
	maxAttempts = 2
	// rejectedRetryDelay is how long a caller waits before its retry after the engines
	// have rejected its request.
	rejectedRetryDelay = 300 * time.Millisecond
	// After a refusal, a caller waits at most its remaining time divided by
	// retryTimeDivisor.
	retryTimeDivisor = 3
	// abuserRetryDelay and abuserRetries are those of callers that retry almost at once.
	abuserRetryDelay = 50 * time.Millisecond
	abuserRetries    = 3
)

type (
	// simulation is one run of a policy under a load pattern.
	simulation struct {
		clock   *clock
		random  *rand.Rand
		pattern loadPattern
		engines []*engine
		entries []policy
		// pendingTokens are the prompt tokens of each engine that were placed there and
		// are not yet followed by a first event.
		pendingTokens  []int
		closedEngines  []bool
		crashedEngines []bool
		result         result
		profile        engineProfile
		reportNumber   int
	}

	// request is a request of a caller with all its retries. attempts counts the engines
	// that received the current one.
	request struct {
		kind         requestKind
		organisation string
		rank         routes.Rank
		entry        policy
		arrived      time.Time
		deadline     time.Time
		retries      int
		isAbuser     bool
		attempts     int
		triedServers []string
		eventCount   int
		firstEventAt time.Time
		lastEventAt  time.Time
		reservation  *placements.Reservation
		execution    *execution
		refusalCount int
		isFinished   bool
	}
)

// emulate simulates a policy under a load pattern and returns its result.
func emulate(variant policyVariant, pattern loadPattern, seed uint64, engines int, rate float64) result {
	simulation := newSimulation(variant, pattern, seed, engines)
	simulation.run(rate)
	return simulation.result
}

func newSimulation(variant policyVariant, pattern loadPattern, seed uint64, engines int) *simulation {
	entries, profile := entryCount, standardProfile
	if pattern.site != nil {
		engines, entries, profile.slots = pattern.site.engines, pattern.site.entries, pattern.site.slots
	}
	simulation := &simulation{
		clock: newClock(), random: newRandom(seed), pattern: pattern, profile: profile,
		pendingTokens: make([]int, engines), closedEngines: make([]bool, engines), crashedEngines: make([]bool, engines),
	}
	for range engines {
		simulation.engines = append(simulation.engines, &engine{clock: simulation.clock, profile: profile, slowdown: 1})
	}
	for number := range entries {
		simulation.entries = append(simulation.entries, variant.newPolicy(simulation, number))
	}
	return simulation
}

// run simulates requests at the rate until all of them have ended.
func (simulation *simulation) run(rate float64) {
	if simulation.pattern.site != nil {
		rate = simulation.pattern.site.rate
	}
	if simulation.pattern.scheduleFaults != nil {
		simulation.pattern.scheduleFaults(simulation)
	}
	simulation.clock.scheduleAfter(0, simulation.sendReports)
	simulation.scheduleArrival(rate)
	simulation.clock.runUntil(startTime.Add(arrivalDuration + 10*time.Second))
	simulation.result.tokensWritten = simulation.countTokens()
}

func (simulation *simulation) countTokens() int {
	sum := 0
	for _, engine := range simulation.engines {
		sum += engine.tokensWritten
	}
	return sum
}

// scheduleArrival schedules the arrival of the next request, at intervals with an
// exponential distribution.
func (simulation *simulation) scheduleArrival(rate float64) {
	elapsed := simulation.clock.now.Sub(startTime)
	if elapsed >= arrivalDuration {
		return
	}
	requestsPerS := rate * simulation.pattern.relativeRate(elapsed) * sumShares(simulation.kinds())
	interval := -math.Log(1-simulation.random.Float64()) / requestsPerS
	simulation.clock.scheduleAfter(time.Duration(interval*float64(time.Second)), func() {
		simulation.startRequest()
		simulation.scheduleArrival(rate)
	})
}

// startRequest creates the request of a new caller and sends it.
func (simulation *simulation) startRequest() {
	kind := simulation.drawKind()
	now := simulation.clock.now
	request := &request{kind: kind, arrived: now, deadline: now.Add(kind.deadline), retries: 1}
	if simulation.pattern.site != nil {
		number, priority := simulation.drawOrganisation()
		request.organisation, request.rank = strconv.Itoa(number), routes.Rank{Organisation: priority, Route: kind.rank}
	}
	if simulation.random.Float64() < simulation.pattern.abuserShare {
		request.isAbuser = true
		request.retries = abuserRetries
	}
	simulation.result.addOffered(kind)
	if simulation.random.Float64() < simulation.pattern.impatientShare {
		simulation.clock.scheduleAfter(impatientTime, func() {
			if request.eventCount == 0 {
				simulation.abandon(request, outcomeAbandoned)
			}
		})
	}
	simulation.clock.scheduleAt(request.deadline, func() { simulation.abandon(request, outcomeFailed) })
	simulation.sendToEntry(request)
}

// drawKind chooses a random kind of request according to the kinds' shares.
func (simulation *simulation) drawKind() requestKind {
	kinds := simulation.kinds()
	point := simulation.random.Float64() * sumShares(kinds)
	for _, kind := range kinds {
		if point < kind.requestShare {
			return kind
		}
		point -= kind.requestShare
	}
	return kinds[len(kinds)-1]
}

// kinds returns the kinds of requests with their shares at this time.
func (simulation *simulation) kinds() []requestKind {
	if simulation.pattern.site == nil {
		return requestKinds()
	}
	return simulation.pattern.site.kinds(simulation.clock.now.Sub(startTime))
}

// sendToEntry sends a request to an entry, for the first time or as a retry.
func (simulation *simulation) sendToEntry(request *request) {
	request.attempts = 0
	request.triedServers = nil
	request.entry = simulation.entries[simulation.random.IntN(len(simulation.entries)-simulation.lostEntries())]
	if simulation.random.Float64() < simulation.pattern.firstEntryShare {
		request.entry = simulation.entries[0]
	}
	simulation.clock.scheduleAfter(callerDelay, func() { simulation.requestAdmission(request) })
}

// requestAdmission lets the policy of the entry decide about the request.
func (simulation *simulation) requestAdmission(request *request) {
	if request.isFinished {
		return
	}
	request.entry.admit(request,
		func(reservation *placements.Reservation) { simulation.sendToEngine(request, reservation) },
		func(retryAfter time.Duration) { simulation.handleRefusal(request, retryAfter) })
}

// sendToEngine sends the request to the engine of the reservation.
func (simulation *simulation) sendToEngine(request *request, reservation *placements.Reservation) {
	if request.isFinished {
		request.entry.release(reservation, placements.Abandoned)
		return
	}
	engineNumber := simulation.engineIndex(reservation)
	request.reservation = reservation
	request.triedServers = append(request.triedServers, reservation.Server.ID)
	sentAt := simulation.clock.now
	entry := request.entry
	execution := &execution{unreadTokens: request.kind.promptTokens, promptTokens: request.kind.promptTokens, remainingTokens: request.kind.answerTokens - request.eventCount*standardProfile.stride}
	request.execution = execution
	execution.clearPending = sync.OnceFunc(func() { simulation.pendingTokens[engineNumber] -= reservation.Tokens })
	execution.onEvent = func(isFirst bool) {
		simulation.clock.scheduleAfter(engineDelay, func() {
			if isFirst {
				execution.clearPending()
				if !execution.hasEnded || request.reservation == reservation {
					entry.recordFirstEvent(reservation, simulation.clock.now.Sub(sentAt))
				}
			}
			simulation.deliverEvent(request, execution)
		})
	}
	execution.onEnd = func(isComplete bool) {
		execution.hasEnded = true
		simulation.clock.scheduleAfter(engineDelay, func() {
			execution.clearPending()
			simulation.handleEnd(request, execution, reservation, isComplete)
		})
	}
	simulation.pendingTokens[engineNumber] += reservation.Tokens
	simulation.clock.scheduleAfter(engineDelay, func() {
		if execution.hasEnded {
			execution.clearPending()
			return
		}
		if simulation.engines[engineNumber].accept(execution) {
			return
		}
		simulation.clock.scheduleAfter(engineDelay, func() {
			execution.clearPending()
			simulation.handleRejection(request, execution, reservation, simulation.crashedEngines[engineNumber])
		})
	})
}

// engineIndex returns the index of the reservation's engine, which is the server ID.
func (simulation *simulation) engineIndex(reservation *placements.Reservation) int {
	engineNumber, err := strconv.Atoi(reservation.Server.ID)
	if err != nil {
		panic("server ID is not an engine number: " + reservation.Server.ID)
	}
	return engineNumber
}

// deliverEvent delivers an event to the caller.
func (simulation *simulation) deliverEvent(request *request, execution *execution) {
	if request.isFinished || request.execution != execution {
		return
	}
	now := simulation.clock.now.Add(callerDelay)
	request.eventCount++
	if request.firstEventAt.IsZero() {
		request.firstEventAt = now
	}
	if !request.lastEventAt.IsZero() && now.Sub(request.lastEventAt) > request.kind.maxEventGap {
		// A gap over the limit makes the whole answer late.
		request.firstEventAt = later(request.firstEventAt, request.arrived.Add(request.kind.firstEventTarget+1))
	}
	request.lastEventAt = now
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// handleEnd handles the end of an execution. An incomplete one is sent to another
// engine while attempts are left.
func (simulation *simulation) handleEnd(request *request, execution *execution, reservation *placements.Reservation, isComplete bool) {
	if request.execution != execution {
		return
	}
	request.execution = nil
	request.attempts++
	if isComplete {
		request.entry.release(reservation, placements.Answered)
		simulation.finishAnswered(request)
		return
	}
	request.entry.release(reservation, placements.Failed)
	if request.attempts < maxAttempts {
		simulation.requestAdmission(request)
		return
	}
	simulation.finish(request, outcomeFailed)
}

// handleRejection handles an engine's statement that it did not run the request, or
// a failed connection, which does not count as an attempt.
func (simulation *simulation) handleRejection(request *request, execution *execution, reservation *placements.Reservation, isUnreachable bool) {
	if request.execution != execution {
		return
	}
	request.execution = nil
	outcome := placements.Rejected
	if isUnreachable {
		outcome = placements.Unreachable
	} else {
		request.attempts++
	}
	request.entry.release(reservation, outcome)
	if request.attempts < maxAttempts && len(request.triedServers) < 2*maxAttempts {
		simulation.requestAdmission(request)
		return
	}
	simulation.handleRefusal(request, rejectedRetryDelay)
}

// handleRefusal schedules the caller's retry after a refusal, or finishes the request
// if no retry is left. A request that has received events has failed.
func (simulation *simulation) handleRefusal(request *request, retryAfter time.Duration) {
	if request.isFinished {
		return
	}
	if request.eventCount > 0 {
		simulation.finish(request, outcomeFailed)
		return
	}
	request.refusalCount++
	if request.retries == 0 {
		simulation.finish(request, outcomeRefused)
		return
	}
	request.retries--
	delay := min(retryAfter, request.deadline.Sub(simulation.clock.now)/retryTimeDivisor)
	if request.isAbuser {
		delay = abuserRetryDelay
	}
	simulation.clock.scheduleAfter(delay+callerDelay, func() {
		if !request.isFinished {
			simulation.sendToEntry(request)
		}
	})
}

// abandon ends a request whose caller gives up or whose deadline has passed.
func (simulation *simulation) abandon(request *request, outcome outcome) {
	if request.isFinished {
		return
	}
	request.entry.cancel(request)
	if request.execution != nil {
		request.execution.hasEnded = true
		request.execution.clearPending()
		request.execution = nil
		request.entry.release(request.reservation, placements.Abandoned)
	}
	simulation.finish(request, outcome)
}

// finishAnswered finishes a request with a complete answer, on time or late.
func (simulation *simulation) finishAnswered(request *request) {
	outcome := outcomeLate
	if !request.firstEventAt.After(request.arrived.Add(request.kind.firstEventTarget)) {
		outcome = outcomeOnTime
	}
	simulation.finish(request, outcome)
}

// finish records the outcome of a request unless it is already finished.
func (simulation *simulation) finish(request *request, outcome outcome) {
	if request.isFinished {
		return
	}
	request.isFinished = true
	simulation.result.record(request, outcome)
}

// sendReports sends a report of each agent to all entries, at every reportInterval.
func (simulation *simulation) sendReports() {
	for engineNumber, engine := range simulation.engines {
		if simulation.crashedEngines[engineNumber] {
			continue
		}
		running, waiting := engine.countRequests()
		report := placements.Report{
			Server: strconv.Itoa(engineNumber), Incarnation: 1, Running: running, Queued: waiting, Pending: simulation.pendingTokens[engineNumber],
			Closed: simulation.closedEngines[engineNumber], Versions: map[string]int{model: 1},
		}
		simulation.reportNumber++
		report.Number = simulation.reportNumber
		simulation.clock.scheduleAfter(engineDelay, func() {
			for position, entry := range simulation.entries {
				if simulation.pattern.site != nil {
					report.Entries = placements.EntryGroup{Count: len(simulation.entries), Position: position}
				}
				entry.applyReport(report)
			}
		})
	}
	simulation.clock.scheduleAfter(reportInterval, simulation.sendReports)
}

// scheduleCrash makes an engine crash after the delay and return after the outage.
func (simulation *simulation) scheduleCrash(engineNumber int, delay, outage time.Duration) {
	simulation.clock.scheduleAfter(delay, func() {
		simulation.crashedEngines[engineNumber] = true
		simulation.engines[engineNumber].fail(outage)
		simulation.clock.scheduleAfter(outage, func() { simulation.crashedEngines[engineNumber] = false })
	})
}

// scheduleVersionChange makes an engine change its version after the delay: it is
// closed to new requests while it drains, and unavailable while it loads.
func (simulation *simulation) scheduleVersionChange(engineNumber int, delay, outage time.Duration) {
	simulation.clock.scheduleAfter(delay, func() { simulation.closedEngines[engineNumber] = true })
	simulation.clock.scheduleAfter(delay+drainTime, func() {
		simulation.engines[engineNumber].fail(outage)
		simulation.clock.scheduleAfter(outage, func() { simulation.closedEngines[engineNumber] = false })
	})
}
