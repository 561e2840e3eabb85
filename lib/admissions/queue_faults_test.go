package admissions_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"firford/cmd/fakeengine/tokens"
	"firford/lib/admissions"
	"firford/lib/configurations"
	_ "firford/lib/fixedseed"
	"firford/lib/invariants"
	"firford/lib/requests"
	"firford/lib/weights"
)

type (
	// queueMachine is a rapid state machine. Its actions send requests to a queue in
	// front of a stub backend server and inject faults, and Check compares the
	// outcomes that callers received with what the stub has executed.
	queueMachine struct {
		t              *rapid.T
		backend        *stubBackend
		queue          *admissions.Queue
		attemptCount   int
		attempts       map[string]*trackedAttempt
		reportedNotRun map[string]bool // Attempts that were reported to their caller as not run.
		callers        sync.WaitGroup
		mutex          sync.Mutex
		violations     []string
	}

	// withoutDeadline hides the test's deadline, because rapid can't use it in the
	// simulated time of synctest.
	withoutDeadline struct {
		rapid.TB
	}

	// trackedAttempt is one attempt with all outcomes that its callers received.
	trackedAttempt struct {
		request        requests.Request
		maxTokens      int
		cancelled      bool
		agentRestarted bool // The agent was restarted after the attempt was sent.
		waitingCallers int
		outcomes       []requests.Outcome
	}
)

var organisations = newConfiguration(
	configurations.Organisation{Name: "intake", Weight: 1},
	configurations.Organisation{Name: "notices", Weight: 3},
	configurations.Organisation{Name: "batches", Weight: 1, InFlight: 5, RequestsPerSecond: 20},
)

// Guards against the following failures under random sequences of requests and
// faults: an attempt that is executed too often, an attempt that was reported as
// not run but has run, an answer to another request, a request without an outcome
// at its deadline, work that starts on a leaving server, and a drain that cuts off
// requests.
func TestQueueUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			machine := &queueMachine{t: t, attempts: map[string]*trackedAttempt{}, reportedNotRun: map[string]bool{}}
			machine.backend = newStubBackend()
			machine.start()
			defer machine.end()
			t.Repeat(rapid.StateMachineActions(machine))
		})
	})
}

func (machine *queueMachine) start() {
	machine.queue = admissions.New(admissions.Dependencies{
		Deployment: "plant",
		Backend:    machine.backend,
		Source:     organisations,
		Limits:     admissions.Limits{MaxWaiting: 12, MaxKeptAnswers: 6, RefusedFilterIDs: 1 << 10, ExecutedFilterBytes: 1 << 16},
		Logger:     zap.NewNop(),
		Scope:      tally.NoopScope,
		Checker:    invariants.NewForTest(func(name invariants.Name) { machine.recordViolation("invariant %s", name) }),
	})
	machine.queue.SetServing("v1", true)
	synctest.Wait()
}

func (machine *queueMachine) end() {
	machine.backend.update(func() { machine.backend.condition = working })
	machine.queue.Close()
	machine.callers.Wait()
}

func (machine *queueMachine) recordViolation(format string, values ...any) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.violations = append(machine.violations, fmt.Sprintf(format, values...))
}

// drawAttempt generates a request that has not been sent to the queue yet.
func (machine *queueMachine) drawAttempt() *trackedAttempt {
	machine.attemptCount++
	maxTokens := rapid.IntRange(1, 40).Draw(machine.t, "tokens")
	body, err := json.Marshal(map[string]any{"prompt": "p", "max_tokens": maxTokens})
	if err != nil {
		machine.t.Fatal(err)
	}
	drawn := &trackedAttempt{maxTokens: maxTokens, request: requests.Request{
		AttemptID:    fmt.Sprintf("a%d", machine.attemptCount),
		RequestID:    fmt.Sprintf("r%d", machine.attemptCount),
		Organisation: rapid.SampledFrom([]string{"intake", "notices", "batches"}).Draw(machine.t, "organisation"),
		Deployment:   "plant",
		Deadline:     time.Now().Add(time.Duration(rapid.IntRange(1, 20_000).Draw(machine.t, "budget")) * time.Millisecond),
		Idempotent:   rapid.Bool().Draw(machine.t, "idempotent"),
		Priority:     rapid.IntRange(0, 9).Draw(machine.t, "priority"),
		Stream:       true,
		Body:         body,
	}}
	machine.attempts[drawn.request.AttemptID] = drawn
	return drawn
}

func (machine *queueMachine) sendAttempt(chosen *trackedAttempt) {
	request := chosen.request
	machine.startCaller(chosen, 0, func(deliver func(requests.Part)) requests.Outcome {
		return machine.queue.Run(context.Background(), request, deliver)
	})
}

// startCaller starts a caller that checks the parts and the outcome it receives.
func (machine *queueMachine) startCaller(chosen *trackedAttempt, after int, call func(func(requests.Part)) requests.Outcome) {
	machine.mutex.Lock()
	chosen.waitingCallers++
	machine.mutex.Unlock()
	machine.callers.Go(func() {
		var text strings.Builder
		next := after + 1
		outcome := call(func(part requests.Part) {
			if part.Number != next || part.AttemptID != chosen.request.AttemptID {
				machine.recordViolation("%s: received part %d of %s instead of part %d", chosen.request.AttemptID, part.Number, part.AttemptID, next)
			}
			next++
			text.WriteString(part.Text)
		})
		machine.recordOutcome(chosen, after, text.String(), outcome)
	})
}

func (machine *queueMachine) recordOutcome(chosen *trackedAttempt, after int, text string, outcome requests.Outcome) {
	if answered, complete := outcome.(requests.Answered); complete {
		answer := tokens.New(chosen.request.RequestID, "p", answered.Version)
		digest := weights.Sum([]byte(answer.Text(1, chosen.maxTokens))).String()
		if text != answer.Text(after+1, chosen.maxTokens) || answered.Parts != chosen.maxTokens || answered.Digest != digest {
			machine.recordViolation("%s: wrong answer: %q", chosen.request.AttemptID, text)
		}
	}
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	chosen.waitingCallers--
	chosen.outcomes = append(chosen.outcomes, outcome)
	if _, refused := outcome.(requests.NotRun); refused {
		machine.reportedNotRun[chosen.request.AttemptID] = true
	}
}

func (machine *queueMachine) pickAttempt() *trackedAttempt {
	ids := slices.Sorted(maps.Keys(machine.attempts))
	if len(ids) == 0 {
		machine.t.Skip("no attempt yet")
	}
	return machine.attempts[rapid.SampledFrom(ids).Draw(machine.t, "attempt")]
}

// Run sends a new request.
func (machine *queueMachine) Run(*rapid.T) { machine.sendAttempt(machine.drawAttempt()) }

// Burst sends more requests than the queue can hold.
func (machine *queueMachine) Burst(*rapid.T) {
	for range 24 {
		machine.sendAttempt(machine.drawAttempt())
	}
}

// DoubleSend sends an attempt again.
func (machine *queueMachine) DoubleSend(*rapid.T) {
	if chosen := machine.pickAttempt(); !chosen.agentRestarted {
		machine.sendAttempt(chosen)
	}
}

// Collect reads the answer of an attempt from a random part on, as a caller does
// after its connection broke.
func (machine *queueMachine) Collect(t *rapid.T) {
	chosen := machine.pickAttempt()
	if chosen.agentRestarted {
		return
	}
	after := rapid.IntRange(0, chosen.maxTokens).Draw(t, "after")
	machine.startCaller(chosen, after, func(deliver func(requests.Part)) requests.Outcome {
		return machine.queue.Collect(context.Background(), chosen.request.AttemptID, after, deliver)
	})
}

// Resolve asks for the state of an attempt.
func (machine *queueMachine) Resolve(*rapid.T) {
	chosen := machine.pickAttempt()
	if chosen.agentRestarted {
		return
	}
	if machine.queue.Resolve(chosen.request.AttemptID) == requests.AttemptNotRun {
		machine.mutex.Lock()
		machine.reportedNotRun[chosen.request.AttemptID] = true
		machine.mutex.Unlock()
	}
}

// LateArrival cancels, resolves or collects an attempt before its request arrives.
func (machine *queueMachine) LateArrival(t *rapid.T) {
	chosen := machine.drawAttempt()
	switch rapid.IntRange(0, 2).Draw(t, "question") {
	case 0:
		machine.queue.Cancel(chosen.request.AttemptID)
		machine.reportedNotRun[chosen.request.AttemptID] = true
	case 1:
		machine.reportedNotRun[chosen.request.AttemptID] = machine.queue.Resolve(chosen.request.AttemptID) == requests.AttemptNotRun
	default:
		machine.startCaller(chosen, 0, func(deliver func(requests.Part)) requests.Outcome {
			return machine.queue.Collect(context.Background(), chosen.request.AttemptID, 0, deliver)
		})
	}
	synctest.Wait()
	machine.sendAttempt(chosen)
}

// Cancel ends an attempt.
func (machine *queueMachine) Cancel(*rapid.T) {
	chosen := machine.pickAttempt()
	if chosen.agentRestarted {
		return
	}
	chosen.cancelled = true
	machine.queue.Cancel(chosen.request.AttemptID)
}

// PassTime advances the simulated time.
func (machine *queueMachine) PassTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
}

// Fault changes the condition of the backend server.
func (machine *queueMachine) Fault(t *rapid.T) {
	next := rapid.SampledFrom([]condition{working, working, killed, frozen, silent, refusing, failing}).Draw(t, "condition")
	machine.backend.update(func() { machine.backend.condition = next })
}

// SwitchVersion makes the engine serve an unintended version, or the intended one
// again.
func (machine *queueMachine) SwitchVersion(t *rapid.T) {
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	machine.backend.update(func() {
		machine.backend.version = version
		machine.backend.versionChanges++
		machine.backend.mismatchedAt = time.Time{}
	})
	if version == "v1" {
		machine.queue.SetServing("v1", true)
	}
}

// Leave makes the backend server report that it is leaving, and then that it is
// not.
func (machine *queueMachine) Leave(t *rapid.T) {
	machine.backend.update(func() { machine.backend.leaving = true })
	time.Sleep(3 * time.Second)
	synctest.Wait()
	before := len(machine.backend.startTimes)
	machine.sendAttempt(machine.drawAttempt())
	time.Sleep(time.Second)
	synctest.Wait()
	if after := len(machine.backend.startTimes); after != before {
		t.Fatalf("%d executions started on a leaving server", after-before)
	}
	machine.backend.update(func() { machine.backend.leaving = false })
	time.Sleep(3 * time.Second)
}

// Restart stops the agent without a drain and starts another one.
func (machine *queueMachine) Restart(*rapid.T) {
	for _, lost := range machine.attempts {
		lost.agentRestarted = true
	}
	machine.queue.Close()
	synctest.Wait()
	machine.start()
}

// Drain drains the agent while the backend server keeps its condition, and starts
// another one.
func (machine *queueMachine) Drain(t *rapid.T) {
	machine.backend.update(func() { machine.backend.cutOffAt = map[string]time.Time{} })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	drainError := make(chan error, 1)
	go func() { drainError <- machine.queue.Drain(ctx) }()
	synctest.Wait()
	if queued := machine.queue.Load().Queued; queued > 0 {
		t.Fatalf("%d requests wait in the queue of a draining agent", queued)
	}
	sentDuringDrain := machine.drawAttempt()
	machine.sendAttempt(sentDuringDrain)
	synctest.Wait()
	if len(sentDuringDrain.outcomes) == 0 || machine.backend.executions[sentDuringDrain.request.RequestID] > 0 {
		t.Fatalf("%s not refused at once by a draining agent", sentDuringDrain.request.AttemptID)
	}
	if err := <-drainError; err != nil {
		t.Fatalf("drain: %v", err)
	}
	synctest.Wait()
	if load := machine.queue.Load(); load.Running+load.Queued > 0 {
		t.Fatalf("drained with %+v", load)
	}
	for _, chosen := range machine.attempts {
		at, cut := machine.backend.cutOffAt[chosen.request.RequestID]
		if cut && at.Before(chosen.request.Deadline) && !chosen.cancelled {
			t.Fatalf("%s cut off at %v by a drain", chosen.request.AttemptID, at)
		}
	}
	machine.Restart(t)
}

// Check verifies the invariants after each action.
func (machine *queueMachine) Check(t *rapid.T) {
	synctest.Wait()
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.backend.mutex.Lock()
	defer machine.backend.mutex.Unlock()
	if len(machine.violations) > 0 {
		t.Fatal(strings.Join(machine.violations, "\n"))
	}
	if machine.backend.maxRunning > stubSlots {
		t.Fatalf("%d requests at once in %d slots", machine.backend.maxRunning, stubSlots)
	}
	for id, chosen := range machine.attempts {
		machine.checkAttempt(t, id, chosen)
	}
	if mismatchedAt := machine.backend.mismatchedAt; !mismatchedAt.IsZero() {
		for _, started := range machine.backend.startTimes {
			if started.After(mismatchedAt) {
				t.Fatalf("started at %v, after an answer by an unintended version at %v", started, mismatchedAt)
			}
		}
	}
}

func (machine *queueMachine) checkAttempt(t *rapid.T, id string, chosen *trackedAttempt) {
	executions := machine.backend.executions[chosen.request.RequestID]
	maxExecutions := 1
	if chosen.request.Idempotent {
		maxExecutions = 2
	}
	if executions > maxExecutions {
		t.Fatalf("%s executed %d times", id, executions)
	}
	if machine.reportedNotRun[id] && executions > 0 {
		t.Fatalf("%s was reported as not run but was executed: %#v", id, chosen.outcomes)
	}
	if chosen.waitingCallers > 0 && time.Now().After(chosen.request.Deadline) {
		t.Fatalf("%s has no outcome at its deadline", id)
	}
}
