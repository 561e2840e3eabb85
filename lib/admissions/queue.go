package admissions

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/invariants"
	"firford/lib/requests"
)

// Queue runs attempts at one backend server. It implements requests.Runner and
// is safe for concurrent use.
type Queue struct {
	dependencies Dependencies
	stop         context.CancelFunc
	stopped      chan struct{}
	pollNow      chan struct{}
	lifetime     context.Context

	mutex         sync.Mutex
	scheduler     *scheduler
	revision      int64
	subscribers   int
	drainProgress chan struct{} // While draining, closed and replaced when an attempt ends or a subscriber leaves.
	counters      map[string]tally.Counter
}

var _ requests.Runner = (*Queue)(nil)

// New returns a queue that requests its backend server's status at once and then at
// regular intervals, until Close. It refuses requests until SetServing.
func New(dependencies Dependencies) *Queue {
	dependencies.Limits = dependencies.Limits.WithDefaults()
	lifetime, stop := context.WithCancel(context.Background())
	queue := &Queue{
		dependencies:  dependencies,
		stop:          stop,
		stopped:       make(chan struct{}),
		pollNow:       make(chan struct{}, 1),
		lifetime:      lifetime,
		scheduler:     newScheduler(dependencies.Limits, dependencies.Checker),
		drainProgress: make(chan struct{}),
		counters:      map[string]tally.Counter{},
	}
	go queue.pollStatus()
	return queue
}

// Close stops polling the status and cancels running attempts. To let them end,
// call Drain first.
func (queue *Queue) Close() {
	queue.stop()
	<-queue.stopped
}

// Run implements requests.Runner.
func (queue *Queue) Run(ctx context.Context, request requests.Request, deliver func(requests.Part)) requests.Outcome {
	now := time.Now()
	if latest := now.Add(queue.dependencies.Limits.MaxRequestTime); request.Deadline.After(latest) {
		request.Deadline = latest
	}
	admitted, outcome := queue.submit(now, request)
	if outcome != nil {
		queue.countOutcome(outcome)
		return outcome
	}
	outcome = queue.deliverAnswer(ctx, admitted, request.AfterPart, deliver)
	queue.countOutcome(outcome)
	return outcome
}

// submit returns the attempt with the request's attempt id, which it creates if
// there is none yet, or the outcome of an attempt that can't be waited for.
func (queue *Queue) submit(now time.Time, request requests.Request) (*attempt, requests.Outcome) {
	snapshot := queue.dependencies.Source.Current()
	known, outcome := queue.precheck(now, request, snapshot)
	if known != nil || outcome != nil {
		return known, outcome
	}
	job, err := queue.decode(snapshot, request)
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if known, outcome = queue.scheduler.lookUp(request.AttemptID); known != nil || outcome != nil {
		return known, outcome
	}
	if err != nil {
		return nil, queue.scheduler.refuse(request.AttemptID, requests.CodeMalformed, err.Error(), time.Time{})
	}
	admitted, outcome := queue.scheduler.admit(now, request, job)
	if outcome != nil {
		return nil, outcome
	}
	queue.dispatch(now)
	return admitted, nil
}

func (queue *Queue) precheck(now time.Time, request requests.Request, snapshot configurations.Snapshot) (*attempt, requests.Outcome) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if known, outcome := queue.scheduler.lookUp(request.AttemptID); known != nil || outcome != nil {
		return known, outcome
	}
	if request.Deployment != queue.dependencies.Deployment {
		return nil, queue.scheduler.refuse(request.AttemptID, requests.CodeUnknownDeployment, "this agent serves another deployment", time.Time{})
	}
	if snapshot.Revision != queue.revision {
		queue.revision = snapshot.Revision
		queue.scheduler.queue.prune(snapshot)
	}
	return nil, queue.scheduler.precheck(now, request, snapshot)
}

func (queue *Queue) decode(snapshot configurations.Snapshot, request requests.Request) (job, error) {
	deployment, _, found := configurations.Lookup[configurations.Deployment](snapshot, request.Deployment)
	if !found {
		return nil, fmt.Errorf("deployment %q is not configured", request.Deployment)
	}
	return decodeJob(deployment.Type, request)
}

// dispatch starts waiting attempts while there are free slots. The caller holds the
// lock.
func (queue *Queue) dispatch(now time.Time) {
	for {
		chosen := queue.scheduler.startNext(now)
		if chosen == nil {
			return
		}
		ctx, cancel := context.WithDeadline(queue.lifetime, chosen.request.Deadline)
		chosen.cancel = cancel
		go queue.execute(ctx, chosen)
	}
}

// Collect implements requests.Runner. It records an attempt that has not arrived as
// one that must never run, so the caller may send the request in a new attempt.
func (queue *Queue) Collect(ctx context.Context, attemptID string, afterPart int, deliver func(requests.Part)) requests.Outcome {
	queue.mutex.Lock()
	known, outcome := queue.scheduler.lookUp(attemptID)
	if known == nil && outcome == nil {
		outcome = queue.scheduler.refuse(attemptID, requests.CodeCancelled, "the attempt had not arrived", time.Now().Add(minRetryDelay))
	}
	queue.mutex.Unlock()
	if outcome != nil {
		return outcome
	}
	return queue.deliverAnswer(ctx, known, afterPart, deliver)
}

// Resolve implements requests.Runner.
func (queue *Queue) Resolve(attemptID string) requests.AttemptState {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.scheduler.resolve(attemptID)
}

// Cancel implements requests.Runner.
func (queue *Queue) Cancel(attemptID string) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.scheduler.cancel(time.Now(), attemptID)
}

// Load implements requests.Runner.
func (queue *Queue) Load() requests.Load {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return requests.Load{Running: queue.scheduler.running, Queued: queue.scheduler.queue.waitingCount, Slots: queue.scheduler.slots}
}

// RefusalCode returns the code with which new requests are refused, or an empty
// string while the queue admits them.
func (queue *Queue) RefusalCode() string {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.scheduler.admission.refusalCode()
}

// SetServing sets the version that the backend server must serve from now on, and
// whether it has been confirmed to serve it. An empty version accepts any version,
// as plain services require. When serving is false, waiting requests are refused
// and running ones continue to their end.
func (queue *Queue) SetServing(version string, serving bool) {
	queue.updateAdmission(func(current admissionState) admissionState { return current.WithServing(version, serving) })
}

// updateAdmission replaces the admission state as setAdmission does, and requests
// the backend server's status.
func (queue *Queue) updateAdmission(replace func(admissionState) admissionState) {
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.setAdmission(now, replace(queue.scheduler.admission))
	select {
	case queue.pollNow <- struct{}{}:
	default:
	}
}

// Drain refuses new and waiting requests at once. It returns when all running
// attempts have ended and all subscribers have received the outcome, or with an
// error if the context ends first.
func (queue *Queue) Drain(ctx context.Context) error {
	queue.updateAdmission(admissionState.WithDraining)
	for {
		queue.mutex.Lock()
		running, subscribers, progress := queue.scheduler.running, queue.subscribers, queue.drainProgress
		queue.mutex.Unlock()
		if running == 0 && subscribers == 0 {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			queue.dependencies.Checker.Check(running == 0, invariants.DrainedCleanly, zap.Int("running", running))
			return fmt.Errorf("drain: %d attempts running, %d callers waiting: %w", running, subscribers, ctx.Err())
		}
	}
}

// wakeDrain makes Drain check again whether it is done. The caller holds the lock.
func (queue *Queue) wakeDrain() {
	if !queue.scheduler.admission.draining {
		return
	}
	close(queue.drainProgress)
	queue.drainProgress = make(chan struct{})
}

// deliverAnswer delivers the attempt's parts to one subscriber and returns the
// outcome. The attempt continues when the subscriber's context ends.
func (queue *Queue) deliverAnswer(ctx context.Context, attempt *attempt, after int, deliver func(requests.Part)) requests.Outcome {
	queue.mutex.Lock()
	subscriber := attempt.subscribe()
	queue.subscribers++
	queue.mutex.Unlock()
	defer queue.unsubscribe(attempt, subscriber)
	timer := time.NewTimer(time.Until(attempt.request.Deadline))
	defer timer.Stop()
	for {
		update := queue.readUpdate(attempt, after)
		if attempt.request.Stream {
			for i, text := range update.parts {
				deliver(requests.Part{AttemptID: attempt.request.AttemptID, Version: update.version, Number: update.firstNumber + i, Text: text})
			}
			after = max(after, update.firstNumber+len(update.parts)-1)
		}
		if update.outcome != nil {
			return update.outcome
		}
		select {
		case <-subscriber.signal:
		case <-timer.C:
			queue.mutex.Lock()
			queue.scheduler.expire(time.Now(), attempt)
			queue.mutex.Unlock()
		case <-ctx.Done():
			return requests.Unknown{Code: requests.CodeOutcomeUnknown, Message: "the caller left before the attempt ended"}
		}
	}
}

// update is what an attempt has produced since a subscriber last read it.
// firstNumber is the number of the first part.
type update struct {
	parts       []string
	firstNumber int
	version     string
	outcome     requests.Outcome
}

func (queue *Queue) readUpdate(attempt *attempt, after int) update {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	parts, number := attempt.partsAfter(after)
	return update{parts: parts, firstNumber: number, version: attempt.intendedVersion, outcome: attempt.outcome}
}

func (queue *Queue) unsubscribe(attempt *attempt, removed *subscriber) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	attempt.unsubscribe(removed, time.Now())
	queue.subscribers--
	queue.wakeDrain()
}

func (queue *Queue) countOutcome(outcome requests.Outcome) {
	label := "answered"
	switch outcome := outcome.(type) {
	case requests.NotRun:
		label = outcome.Code
	case requests.Unknown:
		label = "unknown_" + outcome.Code
	}
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	counter := queue.counters[label]
	if counter == nil {
		counter = queue.dependencies.Scope.Tagged(map[string]string{"outcome": label}).Counter("attempts")
		queue.counters[label] = counter
	}
	counter.Inc(1)
}
