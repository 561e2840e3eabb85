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
	poll         chan struct{}
	lifetime     context.Context

	mutex     sync.Mutex
	ledger    *ledger
	revision  int64
	followers int
	quiet     chan struct{} // Closed and replaced when an attempt or a follower ends.
	counters  map[string]tally.Counter
}

var _ requests.Runner = (*Queue)(nil)

// New returns a queue that asks its backend server for the status at once and
// then regularly, until Close. It takes no work before SetServing.
func New(dependencies Dependencies) *Queue {
	dependencies.Limits = dependencies.Limits.WithDefaults()
	lifetime, stop := context.WithCancel(context.Background())
	queue := &Queue{
		dependencies: dependencies,
		stop:         stop,
		stopped:      make(chan struct{}),
		poll:         make(chan struct{}, 1),
		lifetime:     lifetime,
		ledger:       newLedger(dependencies.Limits, dependencies.Checker),
		quiet:        make(chan struct{}),
		counters:     map[string]tally.Counter{},
	}
	go queue.watch()
	return queue
}

// Close ends the queue's own goroutines. Running attempts are cut off; call
// Drain first.
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
	outcome = queue.follow(ctx, admitted, request.AfterPart, deliver)
	queue.countOutcome(outcome)
	return outcome
}

// submit returns the attempt to follow: a new one, or the one that has the id.
func (queue *Queue) submit(now time.Time, request requests.Request) (*attempt, requests.Outcome) {
	snapshot := queue.dependencies.Source.Current()
	known, outcome := queue.screen(now, request, snapshot)
	if known != nil || outcome != nil {
		return known, outcome
	}
	work, err := queue.decode(snapshot, request)
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if known, outcome = queue.ledger.recall(request.AttemptID); known != nil || outcome != nil {
		return known, outcome
	}
	if err != nil {
		return nil, queue.ledger.refuse(request.AttemptID, requests.CodeMalformed, err.Error(), time.Time{})
	}
	admitted, outcome := queue.ledger.admit(now, request, work)
	if outcome != nil {
		return nil, outcome
	}
	queue.dispatch(now)
	return admitted, nil
}

func (queue *Queue) screen(now time.Time, request requests.Request, snapshot configurations.Snapshot) (*attempt, requests.Outcome) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if known, outcome := queue.ledger.recall(request.AttemptID); known != nil || outcome != nil {
		return known, outcome
	}
	if request.Deployment != queue.dependencies.Deployment {
		return nil, queue.ledger.refuse(request.AttemptID, requests.CodeUnknownDeployment, "this agent serves another deployment", time.Time{})
	}
	if snapshot.Revision != queue.revision {
		queue.revision = snapshot.Revision
		queue.ledger.flows.prune(snapshot)
	}
	return nil, queue.ledger.screen(now, request, snapshot)
}

func (queue *Queue) decode(snapshot configurations.Snapshot, request requests.Request) (job, error) {
	deployment, _, found := configurations.Lookup[configurations.Deployment](snapshot, request.Deployment)
	if !found {
		return nil, fmt.Errorf("deployment %q is not configured", request.Deployment)
	}
	return decodeJob(deployment.Type, request)
}

// dispatch starts attempts while there are free slots. The caller holds the lock.
func (queue *Queue) dispatch(now time.Time) {
	for {
		chosen := queue.ledger.next(now)
		if chosen == nil {
			return
		}
		ctx, cancel := context.WithDeadline(queue.lifetime, chosen.request.Deadline)
		chosen.cancel = cancel
		go queue.execute(ctx, chosen)
	}
}

// Collect implements requests.Runner. An attempt that has not arrived is
// recorded as one that never runs, so the caller may place the request anew.
func (queue *Queue) Collect(ctx context.Context, attemptID string, afterPart int, deliver func(requests.Part)) requests.Outcome {
	queue.mutex.Lock()
	known, outcome := queue.ledger.recall(attemptID)
	if known == nil && outcome == nil {
		outcome = queue.ledger.refuse(attemptID, requests.CodeCancelled, "the attempt had not arrived", time.Now().Add(leastRetry))
	}
	queue.mutex.Unlock()
	if outcome != nil {
		return outcome
	}
	return queue.follow(ctx, known, afterPart, deliver)
}

// Resolve implements requests.Runner.
func (queue *Queue) Resolve(attemptID string) requests.AttemptState {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.ledger.resolve(attemptID)
}

// Cancel implements requests.Runner.
func (queue *Queue) Cancel(attemptID string) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.ledger.cancel(time.Now(), attemptID)
}

// Load implements requests.Runner.
func (queue *Queue) Load() requests.Load {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return requests.Load{Running: queue.ledger.running, Queued: queue.ledger.flows.waiting, Slots: queue.ledger.slots}
}

// RefusalCode returns the code with which new work is refused, or nothing while the
// queue takes work.
func (queue *Queue) RefusalCode() string {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.ledger.gate.closed()
}

// SetServing says which version the backend server is to serve from now on, and
// whether it has been read back as serving it. An empty version admits any,
// which is right for plain services. Waiting requests are refused when the
// queue stops serving; running ones end.
func (queue *Queue) SetServing(version string, serving bool) {
	queue.change(func(current gate) gate { return current.WithServing(version, serving) })
}

// SetIntendedVersion changes the intended version alone. The queue takes new work again
// when the backend server states that version.
func (queue *Queue) SetIntendedVersion(version string) {
	queue.change(func(current gate) gate { return current.WithIntended(version) })
}

// change replaces the gate, refuses what waits where it has closed, starts what
// waits where it has opened, and asks for the status.
func (queue *Queue) change(replace func(gate) gate) {
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.apply(now, replace(queue.ledger.gate))
	select {
	case queue.poll <- struct{}{}:
	default:
	}
}

// Drain refuses new and waiting requests at once, and returns when the running
// ones have ended and all who wait for them have their answer, or with an error
// when the context ends first.
func (queue *Queue) Drain(ctx context.Context) error {
	queue.change(gate.WithDraining)
	for {
		queue.mutex.Lock()
		running, followers, quiet := queue.ledger.running, queue.followers, queue.quiet
		queue.mutex.Unlock()
		if running == 0 && followers == 0 {
			return nil
		}
		select {
		case <-quiet:
		case <-ctx.Done():
			queue.dependencies.Checker.Check(running == 0, invariants.DrainedCleanly, zap.Int("running", running))
			return fmt.Errorf("drain: %d attempts running, %d callers waiting: %w", running, followers, ctx.Err())
		}
	}
}

// settled wakes Drain. The caller holds the lock.
func (queue *Queue) settled() {
	if !queue.ledger.gate.draining {
		return
	}
	close(queue.quiet)
	queue.quiet = make(chan struct{})
}

// follow delivers the attempt's parts and returns its outcome. The attempt goes
// on when the caller leaves.
func (queue *Queue) follow(ctx context.Context, followed *attempt, after int, deliver func(requests.Part)) requests.Outcome {
	queue.mutex.Lock()
	joined := followed.join()
	queue.followers++
	queue.mutex.Unlock()
	defer queue.leave(followed, joined)
	timer := time.NewTimer(time.Until(followed.request.Deadline))
	defer timer.Stop()
	for {
		news := queue.read(followed, after)
		if followed.request.Stream {
			for i, text := range news.parts {
				deliver(requests.Part{AttemptID: followed.request.AttemptID, Version: news.version, Number: news.number + i, Text: text})
			}
			after = max(after, news.number+len(news.parts)-1)
		}
		if news.outcome != nil {
			return news.outcome
		}
		select {
		case <-joined.signal:
		case <-timer.C:
			queue.mutex.Lock()
			queue.ledger.expire(time.Now(), followed)
			queue.mutex.Unlock()
		case <-ctx.Done():
			return requests.Unknown{Code: requests.CodeOutcomeUnknown, Message: "the caller left before the attempt ended"}
		}
	}
}

// news is what an attempt has produced since a follower last looked. Number is
// that of the first part.
type news struct {
	parts   []string
	number  int
	version string
	outcome requests.Outcome
}

func (queue *Queue) read(followed *attempt, after int) news {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	parts, number := followed.since(after)
	return news{parts: parts, number: number, version: followed.version, outcome: followed.outcome}
}

func (queue *Queue) leave(followed *attempt, left *follower) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	followed.leave(left, time.Now())
	queue.followers--
	queue.settled()
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
