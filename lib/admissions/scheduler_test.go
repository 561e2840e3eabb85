package admissions

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"firford/lib/configurations"
	"firford/lib/engines"
	_ "firford/lib/fixedseed"
	"firford/lib/requests"
)

// Guards against kept answers that exceed their limits of number or size, and against
// an attempt whose answer was evicted being reported as not run.
func TestKeptAnswersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(Limits{MaxKeptAnswers: 5, MaxKeptBytes: 1000}, &requestSource{name: "a", weight: 1, perSecond: 1, tokens: 1})
		count := rapid.IntRange(1, 40).Draw(t, "count")
		for number := range count {
			request := requests.Request{AttemptID: strconv.Itoa(number), Organisation: "a", Deadline: simulation.now.Add(time.Minute)}
			if refused := simulation.scheduler.precheck(simulation.now, request, simulation.snapshot); refused != nil {
				t.Fatalf("refused: %#v", refused)
			}
			if _, refused := simulation.scheduler.admit(simulation.now, request, generation{maxTokens: 1}); refused != nil {
				t.Fatalf("refused: %#v", refused)
			}
			next := simulation.scheduler.startNext(simulation.now)
			next.appendPart(string(make([]byte, rapid.IntRange(0, 600).Draw(t, "size"))))
			simulation.scheduler.finish(simulation.now, next, requests.Answered{})
			simulation.scheduler.releaseSlot(simulation.now, next)
			simulation.now = simulation.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
		}
		scheduler := simulation.scheduler
		if len(scheduler.keptAttempts) > 5 || scheduler.keptBytes > 1000 || scheduler.keptBytes < 0 || len(scheduler.attempts) != len(scheduler.keptAttempts) {
			t.Fatalf("kept %d answers with %d bytes, %d attempts", len(scheduler.keptAttempts), scheduler.keptBytes, len(scheduler.attempts))
		}
		for number := range count {
			if state := scheduler.resolve(strconv.Itoa(number)); state != requests.AttemptAnswered && state != requests.AttemptUnknown {
				t.Fatalf("attempt %d was answered and is now %s", number, state)
			}
		}
	})
}

// Guards against a filter that loses ids, and against so many false positives that
// callers receive wrong "unknown" outcomes.
func TestFilters(t *testing.T) {
	convey.Convey("A filter filled to its capacity loses no id and has few false positives", t, func() {
		const ids = 100_000
		filter := newBloomFilter(ids * filterBitsPerID / 8)
		for number := range ids {
			filter.add(fmt.Sprintf("known-%d", number))
		}
		forgotten, falsePositives := 0, 0
		for number := range ids {
			if !filter.contains(fmt.Sprintf("known-%d", number)) {
				forgotten++
			}
			if filter.contains(fmt.Sprintf("other-%d", number)) {
				falsePositives++
			}
		}
		convey.So(forgotten, convey.ShouldEqual, 0)
		convey.So(falsePositives, convey.ShouldBeLessThan, 10)
	})
	convey.Convey("A rotating filter contains the last ids and forgets old ones", t, func() {
		filter := newRotatingFilter(1000)
		for number := range 9500 {
			filter.add(strconv.Itoa(number))
		}
		for number := 8500; number < 9500; number++ {
			convey.So(filter.contains(strconv.Itoa(number)), convey.ShouldBeTrue)
		}
		remembered := 0
		for number := range 7000 {
			if filter.contains(strconv.Itoa(number)) {
				remembered++
			}
		}
		convey.So(remembered, convey.ShouldBeLessThan, 7)
	})
}

// Guards against a limit that isn't enforced, and against a refusal without a retry
// time.
func TestLimitsOfAnOrganisation(t *testing.T) {
	for _, limited := range []configurations.Organisation{
		{Name: "a", Weight: 1, InFlight: 4},
		{Name: "a", Weight: 1, RequestsPerSecond: 4},
	} {
		convey.Convey(fmt.Sprintf("With %+v four of ten requests are admitted", limited), t, func() {
			simulation := newSimulation(Limits{}, &requestSource{name: "a", weight: 1, perSecond: 1, tokens: 1})
			simulation.snapshot = configurations.NewSnapshot(2, []configurations.Entry{{Object: limited}})
			admitted := 0
			for number := range 10 {
				request := requests.Request{AttemptID: strconv.Itoa(number), Organisation: "a", Deadline: simulation.now.Add(time.Minute)}
				outcome := simulation.scheduler.precheck(simulation.now, request, simulation.snapshot)
				if outcome == nil {
					admitted++
					_, outcome = simulation.scheduler.admit(simulation.now, request, generation{maxTokens: 1})
					convey.So(outcome, convey.ShouldBeNil)
					continue
				}
				refused := outcome.(requests.NotRun)
				convey.So(refused.Code, convey.ShouldEqual, requests.CodeLimitReached)
				convey.So(refused.RetryAt.After(simulation.now), convey.ShouldBeTrue)
			}
			convey.So(admitted, convey.ShouldEqual, 4)
		})
	}
}

// Guards against a stream that one version starts and another version continues.
func TestContinuationNeedsItsVersion(t *testing.T) {
	convey.Convey("A server of v2 admits the continuation of a stream of v2 and refuses one of v1", t, func() {
		simulation := newSimulation(Limits{}, &requestSource{name: "a", weight: 1, perSecond: 1, tokens: 1})
		simulation.scheduler.admission = simulation.scheduler.admission.WithServing("v2", true)
		for version, taken := range map[string]bool{"v1": false, "v2": true} {
			request := requests.Request{AttemptID: version, Organisation: "a", Deadline: simulation.now.Add(time.Minute), AfterPart: 3, Version: version}
			convey.So(simulation.scheduler.precheck(simulation.now, request, simulation.snapshot), convey.ShouldBeNil)
			_, outcome := simulation.scheduler.admit(simulation.now, request, generation{maxTokens: 9})
			convey.So(outcome == nil, convey.ShouldEqual, taken)
		}
	})
}

// Guards against a refusal that names the wrong reason if the state changes while the
// request is decoded: callers retry at other agents of one that leaves, not of one whose
// backend server is being changed.
func TestRefusalsNameTheReason(t *testing.T) {
	convey.Convey("Given an agent whose state changes between the checks of a request", t, func() {
		for code, change := range map[string]func(admissionState) admissionState{
			requests.CodeLeaving:         admissionState.WithDraining,
			requests.CodeNoBackendServer: admissionState.WithUnreachable,
			requests.CodeNotServing:      func(state admissionState) admissionState { return state.WithServing("", false) },
		} {
			simulation := newSimulation(Limits{}, &requestSource{name: "a", weight: 1, perSecond: 1, tokens: 1})
			request := requests.Request{AttemptID: "1", Organisation: "a", Deadline: simulation.now.Add(time.Minute)}
			convey.So(simulation.scheduler.precheck(simulation.now, request, simulation.snapshot), convey.ShouldBeNil)
			simulation.scheduler.admission = change(simulation.scheduler.admission)
			_, outcome := simulation.scheduler.admit(simulation.now, request, generation{maxTokens: 9})
			convey.So(outcome.(requests.NotRun).Code, convey.ShouldEqual, code)
		}
	})
}

// Guards against a queue that refuses every request because its estimates are too
// long, and that therefore never gets the measurements to correct them.
func TestEstimatesRecover(t *testing.T) {
	convey.Convey("After a slow period an idle server admits a request", t, func() {
		simulation := newSimulation(Limits{}, &requestSource{name: "a", weight: 1, perSecond: 1, tokens: 1})
		for range 100 {
			simulation.scheduler.estimates = simulation.scheduler.estimates.WithGeneration(60, 60, 1, 1)
		}
		request := requests.Request{AttemptID: "x", Organisation: "a", Deadline: simulation.now.Add(time.Second)}
		convey.So(simulation.scheduler.precheck(simulation.now, request, simulation.snapshot), convey.ShouldBeNil)
		_, refused := simulation.scheduler.admit(simulation.now, request, generation{maxTokens: 1})
		convey.So(refused, convey.ShouldBeNil)
		convey.So(simulation.scheduler.startNext(simulation.now), convey.ShouldNotBeNil)
	})
}

// Guards against a body that makes the agent panic or that requests more tokens than
// allowed.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"prompt":"p","max_tokens":5,"stream":true}`), true)
	f.Add([]byte(`{"call":"lot","arguments":{"number":1}}`), false)
	f.Fuzz(func(t *testing.T, body []byte, engine bool) {
		kind := configurations.DeploymentService
		if engine {
			kind = configurations.DeploymentEngine
		}
		job, err := decodeJob(kind, requests.Request{Body: body})
		if err != nil {
			return
		}
		if generate, isGeneration := job.(generation); isGeneration && (generate.maxTokens < 1 || generate.maxTokens > maxTokensLimit) {
			t.Fatalf("max_tokens %d", generate.maxTokens)
		}
		if seconds := newEstimates().serviceSeconds(job); seconds < 0 {
			t.Fatalf("expected service time %f", seconds)
		}
	})
}

// spacedBodyBackend is a service whose JSON bodies differ from those that
// encoding/json produces.
type spacedBodyBackend struct{ Backend }

func (spacedBodyBackend) Call(context.Context, engines.Call) (engines.Answer, error) {
	return engines.Answer{Body: json.RawMessage(`{ "text" : "<b>" }`)}, nil
}

// Guards against a digest that becomes invalid when the body is encoded again.
func TestBodyEncodingIsStable(t *testing.T) {
	convey.Convey("Encoding a service's answer again doesn't change it", t, func() {
		queue := &Queue{dependencies: Dependencies{Backend: spacedBodyBackend{}}}
		response, err := queue.call(context.Background(), &attempt{}, call{})
		convey.So(err, convey.ShouldBeNil)
		encoded, err := json.Marshal(response.body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(encoded), convey.ShouldEqual, string(response.body))
	})
}
