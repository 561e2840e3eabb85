package admissions

import (
	"time"

	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/invariants"
	"firford/lib/requests"
)

// The scheduler combines the admission state, the fair queue, the estimates and the
// record of attempts. For each attempt it must uphold two rules: a non-idempotent
// request is sent to the backend server at most once, and an attempt that was
// reported as not run never runs afterwards.

const (
	minRetryDelay    = 50 * time.Millisecond // A caller that retries sooner finds the same queue.
	maxRetryDelay    = 30 * time.Second
	closedRetryDelay = time.Second // By then another status may have allowed requests again.
)

// scheduler decides which requests are admitted and which attempt runs next, and
// records the outcomes of attempts. It takes the time as an argument and is guarded
// by the queue's lock.
type scheduler struct {
	limits       Limits
	checker      invariants.Checker
	queue        fairQueue
	attempts     map[string]*attempt
	executedIDs  bloomFilter     // Attempts that may have run; a false positive reports an unknown outcome.
	refusedIDs   *rotatingFilter // Attempts that must never run; a false positive refuses an attempt that has not run.
	estimates    estimates
	admission    admissionState
	slots        int
	running      int
	lastArrival  int64
	keptAttempts []*attempt // Ended attempts, oldest first.
	keptBytes    int64
}

func newScheduler(limits Limits, checker invariants.Checker) *scheduler {
	return &scheduler{
		limits:      limits,
		checker:     checker,
		queue:       newFairQueue(),
		attempts:    map[string]*attempt{},
		executedIDs: newBloomFilter(limits.ExecutedFilterBytes),
		refusedIDs:  newRotatingFilter(limits.RefusedFilterIDs),
		estimates:   newEstimates(),
		slots:       1,
	}
}

// lookUp returns the attempt if it is still stored, or the outcome of an attempt of
// which only the id is recorded. Both are nil for an attempt that has not arrived.
func (scheduler *scheduler) lookUp(id string) (*attempt, requests.Outcome) {
	if known := scheduler.attempts[id]; known != nil {
		return known, nil
	}
	if scheduler.executedIDs.contains(id) {
		return nil, requests.Unknown{Code: requests.CodeOutcomeUnknown, Message: "the attempt may have run and its answer is not kept"}
	}
	if scheduler.refusedIDs.contains(id) {
		return nil, requests.NotRun{Code: requests.CodeCancelled, Message: "the attempt was refused before"}
	}
	return nil, nil
}

// refuse records that the attempt must never run, and returns the refusal.
func (scheduler *scheduler) refuse(id, code, message string, retryAt time.Time) requests.Outcome {
	if scheduler.executedIDs.contains(id) {
		scheduler.checker.Check(false, invariants.TrueRefusal, zap.String("attempt_id", id), zap.String("code", code))
	}
	scheduler.refusedIDs.add(id)
	return requests.NotRun{Code: code, Message: message, RetryAt: retryAt}
}

// precheck makes the checks that don't need the decoded body, so that most refusals
// cost no decoding. It returns nil if the request passes them.
func (scheduler *scheduler) precheck(now time.Time, request requests.Request, snapshot configurations.Snapshot) requests.Outcome {
	id := request.AttemptID
	if code := scheduler.admission.refusalCode(); code != "" {
		return scheduler.refuse(id, code, "the backend server takes no new requests", now.Add(closedRetryDelay))
	}
	if !now.Before(request.Deadline) {
		return scheduler.refuse(id, requests.CodeDeadlineExpired, "the deadline has passed", time.Time{})
	}
	if request.Priority < 0 || request.Priority > maxPriority || request.AfterPart < 0 || len(request.Body) > maxBodyBytes {
		return scheduler.refuse(id, requests.CodeMalformed, "priority, part number or body size out of range", time.Time{})
	}
	organisation, _, found := configurations.Lookup[configurations.Organisation](snapshot, request.Organisation)
	if !found {
		return scheduler.refuse(id, requests.CodeUnknownOrganisation, "the organisation is not configured", time.Time{})
	}
	owner := scheduler.queue.flowFor(organisation)
	if owner.maxInFlight > 0 && owner.running+len(owner.waiting) >= owner.maxInFlight {
		return scheduler.refuse(id, requests.CodeLimitReached, "too many requests in flight", now.Add(scheduler.retryDelay(scheduler.estimates.requestSeconds)))
	}
	if scheduler.isFull(request) && scheduler.queue.evictionCandidate(owner) == nil {
		owner.recordOffered(now, owner.averageServiceSeconds)
		return scheduler.refuse(id, requests.CodeOverloaded, "the queue is full", now.Add(scheduler.retryDelay(owner.outstandingSeconds()/float64(scheduler.slots))))
	}
	if !owner.limiter.AllowN(now, 1) {
		return scheduler.refuse(id, requests.CodeLimitReached, "too many requests per second", now.Add(scheduler.retryDelay(1/float64(owner.limiter.Limit()))))
	}
	return nil
}

func (scheduler *scheduler) isFull(request requests.Request) bool {
	return scheduler.queue.waitingCount >= scheduler.limits.MaxWaiting ||
		scheduler.queue.waitingBytes+int64(len(request.Body)) > scheduler.limits.MaxWaitingBytes
}

// retryDelay converts seconds to a delay within minRetryDelay and maxRetryDelay.
func (scheduler *scheduler) retryDelay(seconds float64) time.Duration {
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryDelay), maxRetryDelay)
}

// admit queues a request that passed precheck, or refuses it, for example because it
// can't meet its deadline. A full queue evicts attempts of organisations with more
// outstanding work in relation to their weight.
func (scheduler *scheduler) admit(now time.Time, request requests.Request, job job) (*attempt, requests.Outcome) {
	owner := scheduler.queue.byName[request.Organisation]
	if code := scheduler.admission.refusalCode(); code != "" {
		return nil, scheduler.refuse(request.AttemptID, code, "the backend server takes no new requests", now.Add(closedRetryDelay))
	}
	if owner == nil {
		return nil, scheduler.refuse(request.AttemptID, requests.CodeUnknownOrganisation, "the organisation is not configured", time.Time{})
	}
	if wanted := request.Version; wanted != "" && wanted != scheduler.admission.intendedVersion {
		return nil, scheduler.refuse(request.AttemptID, requests.CodeNotServing, "the answer was started by version "+wanted, now.Add(closedRetryDelay))
	}
	seconds := scheduler.estimates.serviceSeconds(job)
	owner.recordOffered(now, seconds)
	if outcome := scheduler.refuseIfLate(now, request, owner, seconds); outcome != nil {
		return nil, outcome
	}
	for scheduler.isFull(request) {
		last := scheduler.queue.evictionCandidate(owner)
		if last == nil {
			return nil, scheduler.refuse(request.AttemptID, requests.CodeOverloaded, "the queue is full", now.Add(scheduler.retryDelay(scheduler.estimates.requestSeconds)))
		}
		scheduler.refuseWaiting(now, last, requests.CodeOverloaded, "evicted in favour of an organisation with less outstanding work")
	}
	scheduler.lastArrival++
	admitted := &attempt{
		request:         request,
		job:             job,
		flow:            owner,
		expectedSeconds: seconds,
		arrivalNumber:   scheduler.lastArrival,
		unsubscribedAt:  now,
	}
	scheduler.attempts[request.AttemptID] = admitted
	scheduler.queue.push(now, admitted)
	return admitted, nil
}

// refuseIfLate refuses a request whose expected end is after its deadline. An idle
// backend server admits every request, so that new measurements can correct
// estimates that have become too long.
func (scheduler *scheduler) refuseIfLate(now time.Time, request requests.Request, owner *flow, seconds float64) requests.Outcome {
	if scheduler.running == 0 {
		return nil
	}
	wait := 0.0
	if scheduler.running >= scheduler.slots || len(owner.waiting) > 0 {
		wait = scheduler.queue.predictWait(owner, request.Priority, scheduler.slots, scheduler.estimates.requestSeconds)
	}
	lateBy := wait + seconds - request.Deadline.Sub(now).Seconds()
	if lateBy <= 0 {
		return nil
	}
	return scheduler.refuse(request.AttemptID, requests.CodeOverloaded, "the deadline can't be met", now.Add(scheduler.retryDelay(min(lateBy, wait))))
}

// startNext takes the next attempt from the queue and starts it, or returns nil if
// none may start. It refuses attempts that can't meet their deadline any more.
func (scheduler *scheduler) startNext(now time.Time) *attempt {
	for scheduler.running < scheduler.slots {
		chosen := scheduler.queue.pop(now, scheduler.slots)
		if chosen == nil {
			return nil
		}
		if scheduler.missesDeadline(now, chosen) {
			scheduler.queue.correctCharge(chosen, 0)
			scheduler.finish(now, chosen, scheduler.refuse(chosen.request.AttemptID, requests.CodeOverloaded, "the deadline can't be met any more", now.Add(minRetryDelay)))
			continue
		}
		scheduler.start(now, chosen)
		return chosen
	}
	return nil
}

func (scheduler *scheduler) missesDeadline(now time.Time, attempt *attempt) bool {
	remaining := attempt.request.Deadline.Sub(now).Seconds()
	return remaining <= 0 || scheduler.running > 0 && remaining < scheduler.estimates.serviceSeconds(attempt.job)
}

func (scheduler *scheduler) start(now time.Time, attempt *attempt) {
	// The log fields are built only for a violation, which saves two allocations.
	id := attempt.request.AttemptID
	if code := scheduler.admission.refusalCode(); code != "" {
		scheduler.checker.Check(false, invariants.NoWorkLeaving, zap.String("attempt_id", id), zap.String("code", code))
	}
	if scheduler.refusedIDs.contains(id) {
		scheduler.checker.Check(false, invariants.TrueRefusal, zap.String("attempt_id", id))
	}
	attempt.phase = phaseRunning
	attempt.startedAt = now
	attempt.epoch = scheduler.admission.epoch
	attempt.intendedVersion = scheduler.admission.intendedVersion
	attempt.flow.adjustRunning(now, 1, attempt.expectedSeconds)
	scheduler.running++
	scheduler.executedIDs.add(id)
}

// recordSend records that the attempt is sent to the backend server.
func (scheduler *scheduler) recordSend(attempt *attempt) {
	attempt.sendCount++
	if attempt.sendCount > 1 && !attempt.request.Idempotent {
		scheduler.checker.Check(false, invariants.AtMostOnce,
			zap.String("attempt_id", attempt.request.AttemptID), zap.Int("handed", attempt.sendCount))
	}
}

// releaseSlot frees the attempt's slot and charges its organisation the measured
// service time.
func (scheduler *scheduler) releaseSlot(now time.Time, attempt *attempt) {
	if attempt.slotReleased {
		return
	}
	attempt.slotReleased = true
	scheduler.running--
	attempt.flow.adjustRunning(now, -1, attempt.expectedSeconds)
	scheduler.queue.correctCharge(attempt, now.Sub(attempt.startedAt).Seconds())
}

// finish sets the attempt's outcome, unless it already has one.
func (scheduler *scheduler) finish(now time.Time, attempt *attempt, outcome requests.Outcome) {
	if attempt.phase == phaseEnded {
		return
	}
	ran := attempt.phase == phaseRunning
	attempt.phase = phaseEnded
	attempt.outcome = outcome
	attempt.notify()
	if !ran {
		// refusedIDs already records the refusal.
		delete(scheduler.attempts, attempt.request.AttemptID)
		return
	}
	scheduler.keepAnswer(now, attempt)
}

// keepAnswer keeps an ended attempt for Collect, within the limits of the number and
// size of kept answers.
func (scheduler *scheduler) keepAnswer(now time.Time, attempt *attempt) {
	attempt.keepUntil = attempt.request.Deadline
	if !attempt.request.Idempotent {
		attempt.keepUntil = attempt.keepUntil.Add(scheduler.limits.AnswerRetention)
	}
	attempt.size += len(attempt.request.AttemptID)
	if answered, complete := attempt.outcome.(requests.Answered); complete {
		attempt.size += len(answered.Body)
	}
	attempt.request.Body = nil
	attempt.job = nil
	scheduler.keptAttempts = append(scheduler.keptAttempts, attempt)
	scheduler.keptBytes += int64(attempt.size)
	scheduler.evictKept(now)
}

func (scheduler *scheduler) evictKept(now time.Time) {
	for len(scheduler.keptAttempts) > 0 {
		oldest := scheduler.keptAttempts[0]
		overLimit := len(scheduler.keptAttempts) > scheduler.limits.MaxKeptAnswers || scheduler.keptBytes > scheduler.limits.MaxKeptBytes
		if !overLimit && now.Before(oldest.keepUntil) {
			return
		}
		scheduler.keptAttempts[0] = nil
		scheduler.keptAttempts = scheduler.keptAttempts[1:]
		scheduler.keptBytes -= int64(oldest.size)
		delete(scheduler.attempts, oldest.request.AttemptID)
	}
}

// refuseWaiting removes a waiting attempt from the queue and refuses it.
func (scheduler *scheduler) refuseWaiting(now time.Time, attempt *attempt, code, message string) {
	scheduler.queue.remove(now, attempt)
	retryAt := now.Add(scheduler.retryDelay(scheduler.estimates.requestSeconds))
	scheduler.finish(now, attempt, scheduler.refuse(attempt.request.AttemptID, code, message, retryAt))
}

// refuseAllIfClosed refuses all waiting attempts while new requests are refused, so
// that entries can send them to other agents at once.
func (scheduler *scheduler) refuseAllIfClosed(now time.Time) {
	code := scheduler.admission.refusalCode()
	if code == "" {
		return
	}
	for len(scheduler.queue.backlogged) > 0 {
		scheduler.refuseWaiting(now, scheduler.queue.backlogged[0].waiting[0], code, "the backend server takes no new requests")
	}
}

// resolve returns the state of the attempt. It records an attempt that has not
// arrived as one that must never run.
func (scheduler *scheduler) resolve(id string) requests.AttemptState {
	known, outcome := scheduler.lookUp(id)
	if known != nil {
		return stateOf(known.outcome)
	}
	if outcome != nil {
		return stateOf(outcome)
	}
	scheduler.refusedIDs.add(id)
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
func (scheduler *scheduler) expire(now time.Time, attempt *attempt) {
	switch attempt.phase {
	case phaseWaiting:
		scheduler.refuseWaiting(now, attempt, requests.CodeDeadlineExpired, "the deadline passed while the request waited in the queue")
	case phaseRunning:
		scheduler.stopRunning(now, attempt, requests.CodeDeadlineExpired, "the deadline passed while the request ran")
	}
}

// cancel ends an attempt that no caller needs any more. It records an attempt that
// has not arrived as one that must never run.
func (scheduler *scheduler) cancel(now time.Time, id string) {
	known, outcome := scheduler.lookUp(id)
	switch {
	case known == nil && outcome == nil:
		scheduler.refusedIDs.add(id)
	case known == nil:
	case known.phase == phaseWaiting:
		scheduler.refuseWaiting(now, known, requests.CodeCancelled, "cancelled before it ran")
	case known.phase == phaseRunning:
		scheduler.stopRunning(now, known, requests.CodeCancelled, "cancelled while it ran")
	}
}

// stopRunning ends a running attempt with an unknown outcome. Its slot stays taken
// until the call to the backend server has returned.
func (scheduler *scheduler) stopRunning(now time.Time, attempt *attempt, code, message string) {
	scheduler.finish(now, attempt, requests.Unknown{Code: code, Message: message})
	if attempt.cancel != nil {
		attempt.cancel()
	}
}
