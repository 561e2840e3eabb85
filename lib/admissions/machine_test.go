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
	// machine drives a queue with a stub of a backend server through faults and
	// compares what callers see with what the stub has executed.
	machine struct {
		t          *rapid.T
		server     *stub
		queue      *admissions.Queue
		count      int
		tracked    map[string]*tracked
		refused    map[string]bool // Attempts of which somebody was told that they have not run.
		followers  sync.WaitGroup
		mutex      sync.Mutex
		violations []string
	}

	// simulated hides the test's deadline, which is not available in simulated
	// time.
	simulated struct {
		rapid.TB
	}

	// tracked is one attempt with everything that its callers were told.
	tracked struct {
		request   requests.Request
		maxTokens int
		cancelled bool
		abandoned bool // The agent was restarted.
		waiting   int
		outcomes  []requests.Outcome
	}
)

var organisations = configured(
	configurations.Organisation{Name: "intake", Weight: 1},
	configurations.Organisation{Name: "notices", Weight: 3},
	configurations.Organisation{Name: "batches", Weight: 1, InFlight: 5, RequestsPerSecond: 20},
)

// Guards against a second execution, a false refusal, an answer of somebody
// else, a request without an end, work for a leaving server and a drain that
// cuts off requests, under every order of faults that the generator finds.
func TestQueueUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(simulated{t}, func(t *rapid.T) {
			driven := &machine{t: t, tracked: map[string]*tracked{}, refused: map[string]bool{}}
			driven.server = newStub()
			driven.start()
			defer driven.end()
			t.Repeat(rapid.StateMachineActions(driven))
		})
	})
}

func (driven *machine) start() {
	driven.queue = admissions.New(admissions.Dependencies{
		Deployment: "plant",
		Backend:    driven.server,
		Source:     organisations,
		Limits:     admissions.Limits{MaxWaiting: 12, MaxKeptAnswers: 6, RefusedFilterIDs: 1 << 10, ExecutedFilterBytes: 1 << 16},
		Logger:     zap.NewNop(),
		Scope:      tally.NoopScope,
		Checker:    invariants.NewForTest(func(name invariants.Name) { driven.violate("invariant %s", name) }),
	})
	driven.queue.SetServing("v1", true)
	synctest.Wait()
}

func (driven *machine) end() {
	driven.server.set(func() { driven.server.condition = working })
	driven.queue.Close()
	driven.followers.Wait()
}

func (driven *machine) violate(format string, values ...any) {
	driven.mutex.Lock()
	defer driven.mutex.Unlock()
	driven.violations = append(driven.violations, fmt.Sprintf(format, values...))
}

// request draws a request; its attempt has not arrived yet.
func (driven *machine) request() *tracked {
	driven.count++
	most := rapid.IntRange(1, 40).Draw(driven.t, "tokens")
	body, err := json.Marshal(map[string]any{"prompt": "p", "max_tokens": most})
	if err != nil {
		driven.t.Fatal(err)
	}
	drawn := &tracked{maxTokens: most, request: requests.Request{
		AttemptID:    fmt.Sprintf("a%d", driven.count),
		RequestID:    fmt.Sprintf("r%d", driven.count),
		Organisation: rapid.SampledFrom([]string{"intake", "notices", "batches"}).Draw(driven.t, "organisation"),
		Deployment:   "plant",
		Deadline:     time.Now().Add(time.Duration(rapid.IntRange(1, 20_000).Draw(driven.t, "budget")) * time.Millisecond),
		Idempotent:   rapid.Bool().Draw(driven.t, "idempotent"),
		Priority:     rapid.IntRange(0, 9).Draw(driven.t, "priority"),
		Stream:       true,
		Body:         body,
	}}
	driven.tracked[drawn.request.AttemptID] = drawn
	return drawn
}

func (driven *machine) run(chosen *tracked) {
	request := chosen.request
	driven.follow(chosen, 0, func(deliver func(requests.Part)) requests.Outcome {
		return driven.queue.Run(context.Background(), request, deliver)
	})
}

// follow starts a caller that checks what it is told.
func (driven *machine) follow(chosen *tracked, after int, call func(func(requests.Part)) requests.Outcome) {
	driven.mutex.Lock()
	chosen.waiting++
	driven.mutex.Unlock()
	driven.followers.Go(func() {
		var text strings.Builder
		next := after + 1
		outcome := call(func(part requests.Part) {
			if part.Number != next || part.AttemptID != chosen.request.AttemptID {
				driven.violate("%s: part %d of %s where %d was due", chosen.request.AttemptID, part.Number, part.AttemptID, next)
			}
			next++
			text.WriteString(part.Text)
		})
		driven.note(chosen, after, text.String(), outcome)
	})
}

func (driven *machine) note(chosen *tracked, after int, text string, outcome requests.Outcome) {
	if answered, whole := outcome.(requests.Answered); whole {
		answer := tokens.New(chosen.request.RequestID, "p", answered.Version)
		digest := weights.Sum([]byte(answer.Text(1, chosen.maxTokens))).String()
		if text != answer.Text(after+1, chosen.maxTokens) || answered.Parts != chosen.maxTokens || answered.Digest != digest {
			driven.violate("%s: another answer: %q", chosen.request.AttemptID, text)
		}
	}
	driven.mutex.Lock()
	defer driven.mutex.Unlock()
	chosen.waiting--
	chosen.outcomes = append(chosen.outcomes, outcome)
	if _, refused := outcome.(requests.NotRun); refused {
		driven.refused[chosen.request.AttemptID] = true
	}
}

func (driven *machine) pick() *tracked {
	names := slices.Sorted(maps.Keys(driven.tracked))
	if len(names) == 0 {
		driven.t.Skip("no attempt yet")
	}
	return driven.tracked[rapid.SampledFrom(names).Draw(driven.t, "attempt")]
}

// Run sends a new request.
func (driven *machine) Run(*rapid.T) { driven.run(driven.request()) }

// Burst sends more requests than there are places.
func (driven *machine) Burst(*rapid.T) {
	for range 24 {
		driven.run(driven.request())
	}
}

// Double sends an attempt again.
func (driven *machine) Double(*rapid.T) {
	if chosen := driven.pick(); !chosen.abandoned {
		driven.run(chosen)
	}
}

// Collect continues an attempt on another connection.
func (driven *machine) Collect(t *rapid.T) {
	chosen := driven.pick()
	if chosen.abandoned {
		return
	}
	after := rapid.IntRange(0, chosen.maxTokens).Draw(t, "after")
	driven.follow(chosen, after, func(deliver func(requests.Part)) requests.Outcome {
		return driven.queue.Collect(context.Background(), chosen.request.AttemptID, after, deliver)
	})
}

// Resolve asks what is known of an attempt.
func (driven *machine) Resolve(*rapid.T) {
	chosen := driven.pick()
	if chosen.abandoned {
		return
	}
	if driven.queue.Resolve(chosen.request.AttemptID) == requests.AttemptNotRun {
		driven.mutex.Lock()
		driven.refused[chosen.request.AttemptID] = true
		driven.mutex.Unlock()
	}
}

// Late asks for, resolves or cancels an attempt whose request arrives afterwards.
func (driven *machine) Late(t *rapid.T) {
	chosen := driven.request()
	switch rapid.IntRange(0, 2).Draw(t, "question") {
	case 0:
		driven.queue.Cancel(chosen.request.AttemptID)
		driven.refused[chosen.request.AttemptID] = true
	case 1:
		driven.refused[chosen.request.AttemptID] = driven.queue.Resolve(chosen.request.AttemptID) == requests.AttemptNotRun
	default:
		driven.follow(chosen, 0, func(deliver func(requests.Part)) requests.Outcome {
			return driven.queue.Collect(context.Background(), chosen.request.AttemptID, 0, deliver)
		})
	}
	synctest.Wait()
	driven.run(chosen)
}

// Cancel ends an attempt.
func (driven *machine) Cancel(*rapid.T) {
	chosen := driven.pick()
	if chosen.abandoned {
		return
	}
	chosen.cancelled = true
	driven.queue.Cancel(chosen.request.AttemptID)
}

// Pass lets time pass.
func (driven *machine) Pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
}

// Fault changes the state of the backend server.
func (driven *machine) Fault(t *rapid.T) {
	next := rapid.SampledFrom([]condition{working, working, killed, frozen, silent, refusing, failing}).Draw(t, "condition")
	driven.server.set(func() { driven.server.condition = next })
}

// Stray makes the engine serve another version, or corrects it.
func (driven *machine) Stray(t *rapid.T) {
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	driven.server.set(func() {
		driven.server.version = version
		driven.server.changes++
		driven.server.strayed = time.Time{}
	})
	if version == "v1" {
		driven.queue.SetServing("v1", true)
	}
}

// Leave makes the backend server leave and return.
func (driven *machine) Leave(t *rapid.T) {
	driven.server.set(func() { driven.server.leaving = true })
	time.Sleep(3 * time.Second)
	synctest.Wait()
	before := len(driven.server.starts)
	driven.run(driven.request())
	time.Sleep(time.Second)
	synctest.Wait()
	if after := len(driven.server.starts); after != before {
		t.Fatalf("%d executions started on a leaving server", after-before)
	}
	driven.server.set(func() { driven.server.leaving = false })
	time.Sleep(3 * time.Second)
}

// Restart ends the agent without a drain and starts another.
func (driven *machine) Restart(*rapid.T) {
	for _, lost := range driven.tracked {
		lost.abandoned = true
	}
	driven.queue.Close()
	synctest.Wait()
	driven.start()
}

// Drain ends the agent gracefully while faults go on, and starts another.
func (driven *machine) Drain(t *rapid.T) {
	driven.server.set(func() { driven.server.cut = map[string]time.Time{} })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- driven.queue.Drain(ctx) }()
	synctest.Wait()
	if queued := driven.queue.Load().Queued; queued > 0 {
		t.Fatalf("%d requests wait at a draining agent", queued)
	}
	late := driven.request()
	driven.run(late)
	synctest.Wait()
	if len(late.outcomes) == 0 || driven.server.executions[late.request.RequestID] > 0 {
		t.Fatalf("%s not refused at once by a draining agent", late.request.AttemptID)
	}
	if err := <-drained; err != nil {
		t.Fatalf("drain: %v", err)
	}
	synctest.Wait()
	if load := driven.queue.Load(); load.Running+load.Queued > 0 {
		t.Fatalf("drained with %+v", load)
	}
	for _, chosen := range driven.tracked {
		at, cut := driven.server.cut[chosen.request.RequestID]
		if cut && at.Before(chosen.request.Deadline) && !chosen.cancelled {
			t.Fatalf("%s cut off at %v by a drain", chosen.request.AttemptID, at)
		}
	}
	driven.Restart(t)
}

// Check runs after each action.
func (driven *machine) Check(t *rapid.T) {
	synctest.Wait()
	driven.mutex.Lock()
	defer driven.mutex.Unlock()
	driven.server.mutex.Lock()
	defer driven.server.mutex.Unlock()
	if len(driven.violations) > 0 {
		t.Fatal(strings.Join(driven.violations, "\n"))
	}
	if driven.server.most > stubSlots {
		t.Fatalf("%d requests at once in %d slots", driven.server.most, stubSlots)
	}
	for id, chosen := range driven.tracked {
		driven.checkAttempt(t, id, chosen)
	}
	if strayed := driven.server.strayed; !strayed.IsZero() {
		for _, started := range driven.server.starts {
			if started.After(strayed) {
				t.Fatalf("started at %v, after an answer by an unintended version at %v", started, strayed)
			}
		}
	}
}

func (driven *machine) checkAttempt(t *rapid.T, id string, chosen *tracked) {
	executions := driven.server.executions[chosen.request.RequestID]
	most := 1
	if chosen.request.Idempotent {
		most = 2
	}
	if executions > most {
		t.Fatalf("%s executed %d times", id, executions)
	}
	if driven.refused[id] && executions > 0 {
		t.Fatalf("%s refused and executed: %#v", id, chosen.outcomes)
	}
	if chosen.waiting > 0 && time.Now().After(chosen.request.Deadline) {
		t.Fatalf("%s has no outcome at its deadline", id)
	}
}
