package admissions

import (
	"time"

	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/invariants"
	"firford/lib/requests"
)

const (
	leastRetry = 50 * time.Millisecond // A caller that returns sooner meets the same queue.
	mostRetry  = 30 * time.Second
	retryClose = time.Second // Until the next status may open the gate again.
)

// ledger decides what is admitted, what runs next and what is known of each
// attempt. It takes the time as an argument and is guarded by the queue's lock.
type ledger struct {
	limits    Limits
	checker   invariants.Asserter
	flows     flows
	attempts  map[string]*attempt
	executed  filter       // Attempts that may have run; a false positive says "unknown".
	refused   *generations // Attempts that must never run; a false positive refuses an attempt that has not run.
	estimates estimates
	gate      gate
	slots     int
	running   int
	arrivals  int64
	kept      []*attempt // Ended attempts, oldest first.
	keptBytes int64
}

func newLedger(limits Limits, checker invariants.Asserter) *ledger {
	return &ledger{
		limits:    limits,
		checker:   checker,
		flows:     newFlows(),
		attempts:  map[string]*attempt{},
		executed:  newFilter(limits.ExecutedFilterBytes),
		refused:   newGenerations(limits.RefusedFilterIDs),
		estimates: newEstimates(),
		slots:     1,
	}
}

// recall returns the attempt if it is known, or the outcome of one that ended
// and was forgotten. Both are nil for an attempt that has not arrived before.
func (ledger *ledger) recall(id string) (*attempt, requests.Outcome) {
	if known := ledger.attempts[id]; known != nil {
		return known, nil
	}
	if ledger.executed.has(id) {
		return nil, requests.Unknown{Code: requests.CodeOutcomeUnknown, Message: "the attempt may have run and its answer is not kept"}
	}
	if ledger.refused.has(id) {
		return nil, requests.NotRun{Code: requests.CodeCancelled, Message: "the attempt was refused before"}
	}
	return nil, nil
}

// refuse records that the attempt never runs, and returns the refusal.
func (ledger *ledger) refuse(id, code, message string, retryAt time.Time) requests.Outcome {
	if ledger.executed.has(id) {
		ledger.checker.Check(false, invariants.TrueRefusal, zap.String("attempt_id", id), zap.String("code", code))
	}
	ledger.refused.add(id)
	return requests.NotRun{Code: code, Message: message, RetryAt: retryAt}
}

// screen makes the checks that need no look into the body. It returns nil where
// the request may be admitted, so that a refusal costs no decoding.
func (ledger *ledger) screen(now time.Time, request requests.Request, snapshot configurations.Snapshot) requests.Outcome {
	id := request.AttemptID
	if code := ledger.gate.closed(); code != "" {
		return ledger.refuse(id, code, "the backend server takes no new requests", now.Add(retryClose))
	}
	if !now.Before(request.Deadline) {
		return ledger.refuse(id, requests.CodeDeadlineExpired, "the deadline has passed", time.Time{})
	}
	if request.Priority < 0 || request.Priority > maxPriority || request.AfterPart < 0 || len(request.Body) > maxBodyBytes {
		return ledger.refuse(id, requests.CodeMalformed, "priority, part or size out of range", time.Time{})
	}
	organisation, _, found := configurations.Lookup[configurations.Organisation](snapshot, request.Organisation)
	if !found {
		return ledger.refuse(id, requests.CodeUnknownOrganisation, "the organisation is not configured", time.Time{})
	}
	owner := ledger.flows.of(organisation)
	if owner.inFlight > 0 && owner.running+len(owner.waiting) >= owner.inFlight {
		return ledger.refuse(id, requests.CodeLimitReached, "too many requests in flight", now.Add(ledger.span(ledger.estimates.service)))
	}
	if ledger.full(request) && ledger.flows.victim(owner) == nil {
		owner.offer(now, owner.typical)
		return ledger.refuse(id, requests.CodeOverloaded, "the queue is full", now.Add(ledger.span(owner.work()/float64(ledger.slots))))
	}
	if !owner.limiter.AllowN(now, 1) {
		return ledger.refuse(id, requests.CodeLimitReached, "too many requests per second", now.Add(ledger.span(1/float64(owner.limiter.Limit()))))
	}
	return nil
}

func (ledger *ledger) full(request requests.Request) bool {
	return ledger.flows.waiting >= ledger.limits.MaxWaiting ||
		ledger.flows.bytes+int64(len(request.Body)) > ledger.limits.MaxWaitingBytes
}

// span turns seconds into a time to come back after.
func (ledger *ledger) span(seconds float64) time.Duration {
	return min(max(time.Duration(seconds*float64(time.Second)), leastRetry), mostRetry)
}

// admit queues a screened request, or refuses it where it can't meet its deadline.
func (ledger *ledger) admit(now time.Time, request requests.Request, work job) (*attempt, requests.Outcome) {
	owner := ledger.flows.byName[request.Organisation]
	if code := ledger.gate.closed(); code != "" || owner == nil {
		return nil, ledger.refuse(request.AttemptID, requests.CodeNotServing, "the backend server takes no new requests", now.Add(retryClose))
	}
	if wanted := request.Version; wanted != "" && wanted != ledger.gate.intended {
		return nil, ledger.refuse(request.AttemptID, requests.CodeNotServing, "the answer was begun by version "+wanted, now.Add(retryClose))
	}
	seconds := ledger.estimates.of(work)
	owner.offer(now, seconds)
	if outcome := ledger.predict(now, request, owner, seconds); outcome != nil {
		return nil, outcome
	}
	for ledger.full(request) {
		last := ledger.flows.victim(owner)
		if last == nil {
			return nil, ledger.refuse(request.AttemptID, requests.CodeOverloaded, "the queue is full", now.Add(ledger.span(ledger.estimates.service)))
		}
		ledger.drop(now, last, requests.CodeOverloaded, "pushed out by organisations that wait for less")
	}
	ledger.arrivals++
	admitted := &attempt{
		request:  request,
		work:     work,
		flow:     owner,
		seconds:  seconds,
		arrival:  ledger.arrivals,
		followed: now,
	}
	ledger.attempts[request.AttemptID] = admitted
	ledger.flows.push(now, admitted)
	return admitted, nil
}

// predict refuses a request whose expected end lies behind its deadline. An idle
// backend server takes any request, so that estimates that have become too long
// are corrected by a new measurement.
func (ledger *ledger) predict(now time.Time, request requests.Request, owner *flow, seconds float64) requests.Outcome {
	if ledger.running == 0 {
		return nil
	}
	wait := 0.0
	if ledger.running >= ledger.slots || len(owner.waiting) > 0 {
		wait = ledger.flows.wait(owner, request.Priority, ledger.slots, ledger.estimates.service)
	}
	late := wait + seconds - request.Deadline.Sub(now).Seconds()
	if late <= 0 {
		return nil
	}
	return ledger.refuse(request.AttemptID, requests.CodeOverloaded, "the deadline can't be met", now.Add(ledger.span(min(late, wait))))
}

// next takes the attempt to start from the queue, or returns nil. Those that
// can't meet their deadline any more are refused.
func (ledger *ledger) next(now time.Time) *attempt {
	for ledger.running < ledger.slots {
		chosen := ledger.flows.pop(now, ledger.slots)
		if chosen == nil {
			return nil
		}
		if ledger.expired(now, chosen) {
			ledger.flows.settle(chosen, 0)
			ledger.finish(now, chosen, ledger.refuse(chosen.request.AttemptID, requests.CodeOverloaded, "the deadline can't be met any more", now.Add(leastRetry)))
			continue
		}
		ledger.start(now, chosen)
		return chosen
	}
	return nil
}

func (ledger *ledger) expired(now time.Time, chosen *attempt) bool {
	left := chosen.request.Deadline.Sub(now).Seconds()
	return left <= 0 || ledger.running > 0 && left < ledger.estimates.of(chosen.work)
}

func (ledger *ledger) start(now time.Time, chosen *attempt) {
	// The evidence is built only for a violation, which saves two allocations.
	id := chosen.request.AttemptID
	if code := ledger.gate.closed(); code != "" {
		ledger.checker.Check(false, invariants.NoWorkLeaving, zap.String("attempt_id", id), zap.String("code", code))
	}
	if ledger.refused.has(id) {
		ledger.checker.Check(false, invariants.TrueRefusal, zap.String("attempt_id", id))
	}
	chosen.phase = phaseRunning
	chosen.started = now
	chosen.epoch = ledger.gate.epoch
	chosen.version = ledger.gate.intended
	chosen.flow.occupy(now, 1, chosen.seconds)
	ledger.running++
	ledger.executed.add(id)
}

// hand records that the attempt is given to the backend server.
func (ledger *ledger) hand(chosen *attempt) {
	chosen.handed++
	if chosen.handed > 1 && !chosen.request.Idempotent {
		ledger.checker.Check(false, invariants.AtMostOnce,
			zap.String("attempt_id", chosen.request.AttemptID), zap.Int("handed", chosen.handed))
	}
}

// release frees the attempt's slot and charges its organisation with the time
// that it has taken.
func (ledger *ledger) release(now time.Time, ended *attempt) {
	if ended.released {
		return
	}
	ended.released = true
	ledger.running--
	ended.flow.occupy(now, -1, ended.seconds)
	ledger.flows.settle(ended, now.Sub(ended.started).Seconds())
}

// finish gives the attempt its outcome, unless it has one.
func (ledger *ledger) finish(now time.Time, ended *attempt, outcome requests.Outcome) {
	if ended.phase == phaseEnded {
		return
	}
	ran := ended.phase == phaseRunning
	ended.phase = phaseEnded
	ended.outcome = outcome
	ended.notify()
	if !ran {
		// The refusal is recorded by its id alone.
		delete(ledger.attempts, ended.request.AttemptID)
		return
	}
	ledger.keep(now, ended)
}

// keep stores an ended attempt for collection, within the bounds.
func (ledger *ledger) keep(now time.Time, ended *attempt) {
	ended.keepUntil = ended.request.Deadline
	if !ended.request.Idempotent {
		ended.keepUntil = ended.keepUntil.Add(ledger.limits.AnswerRetention)
	}
	ended.bytes += len(ended.request.AttemptID)
	if answered, whole := ended.outcome.(requests.Answered); whole {
		ended.bytes += len(answered.Body)
	}
	ended.request.Body = nil
	ended.work = nil
	ledger.kept = append(ledger.kept, ended)
	ledger.keptBytes += int64(ended.bytes)
	ledger.trim(now)
}

func (ledger *ledger) trim(now time.Time) {
	for len(ledger.kept) > 0 {
		oldest := ledger.kept[0]
		over := len(ledger.kept) > ledger.limits.MaxKeptAnswers || ledger.keptBytes > ledger.limits.MaxKeptBytes
		if !over && now.Before(oldest.keepUntil) {
			return
		}
		ledger.kept[0] = nil
		ledger.kept = ledger.kept[1:]
		ledger.keptBytes -= int64(oldest.bytes)
		delete(ledger.attempts, oldest.request.AttemptID)
	}
}

// drop refuses a waiting attempt.
func (ledger *ledger) drop(now time.Time, waiting *attempt, code, message string) {
	ledger.flows.remove(now, waiting)
	retryAt := now.Add(ledger.span(ledger.estimates.service))
	ledger.finish(now, waiting, ledger.refuse(waiting.request.AttemptID, code, message, retryAt))
}

// flush refuses everything that waits, because the gate has closed. Entries can
// place the requests elsewhere at once.
func (ledger *ledger) flush(now time.Time) {
	code := ledger.gate.closed()
	if code == "" {
		return
	}
	for len(ledger.flows.backlog) > 0 {
		ledger.drop(now, ledger.flows.backlog[0].waiting[0], code, "the backend server takes no new requests")
	}
}

// resolve returns what is known of the attempt. For one that has not arrived it
// first records that it will never run.
func (ledger *ledger) resolve(id string) requests.AttemptState {
	known, outcome := ledger.recall(id)
	if known != nil {
		return stateOf(known.outcome)
	}
	if outcome != nil {
		return stateOf(outcome)
	}
	ledger.refused.add(id)
	return requests.AttemptNotRun
}

func stateOf(outcome requests.Outcome) requests.AttemptState {
	switch outcome.(type) {
	case nil:
		return requests.AttemptRunning
	case requests.Answered:
		return requests.AttemptAnswered
	case requests.NotRun:
		return requests.AttemptNotRun
	default:
		return requests.AttemptUnknown
	}
}

// expire ends an attempt at its deadline.
func (ledger *ledger) expire(now time.Time, late *attempt) {
	switch late.phase {
	case phaseWaiting:
		ledger.drop(now, late, requests.CodeDeadlineExpired, "the deadline passed in the queue")
	case phaseRunning:
		ledger.stop(now, late, requests.CodeDeadlineExpired, "the deadline passed while the request ran")
	}
}

// cancel ends an attempt that nobody waits for. One that has not arrived will
// never run.
func (ledger *ledger) cancel(now time.Time, id string) {
	known, outcome := ledger.recall(id)
	switch {
	case known == nil && outcome == nil:
		ledger.refused.add(id)
	case known == nil:
	case known.phase == phaseWaiting:
		ledger.drop(now, known, requests.CodeCancelled, "cancelled before it ran")
	case known.phase == phaseRunning:
		ledger.stop(now, known, requests.CodeCancelled, "cancelled while it ran")
	}
}

// stop ends a running attempt with an unknown outcome. Its slot stays taken
// until the backend server's side has ended.
func (ledger *ledger) stop(now time.Time, running *attempt, code, message string) {
	ledger.finish(now, running, requests.Unknown{Code: code, Message: message})
	if running.cancel != nil {
		running.cancel()
	}
}
