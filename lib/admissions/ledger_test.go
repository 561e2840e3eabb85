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

// Guards against memory that grows with the number or size of answers, and
// against an attempt whose answer was dropped being reported as never run.
func TestKeptAnswersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newSimulation(Limits{MaxKeptAnswers: 5, MaxKeptBytes: 1000}, &source{name: "a", weight: 1, perSecond: 1, tokens: 1})
		count := rapid.IntRange(1, 40).Draw(t, "count")
		for number := range count {
			request := requests.Request{AttemptID: strconv.Itoa(number), Organisation: "a", Deadline: run.now.Add(time.Minute)}
			if refused := run.ledger.screen(run.now, request, run.snapshot); refused != nil {
				t.Fatalf("refused: %#v", refused)
			}
			if _, refused := run.ledger.admit(run.now, request, generation{maxTokens: 1}); refused != nil {
				t.Fatalf("refused: %#v", refused)
			}
			next := run.ledger.next(run.now)
			next.add(string(make([]byte, rapid.IntRange(0, 600).Draw(t, "size"))))
			run.ledger.finish(run.now, next, requests.Answered{})
			run.ledger.release(run.now, next)
			run.now = run.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
		}
		ledger := run.ledger
		if len(ledger.kept) > 5 || ledger.keptBytes > 1000 || ledger.keptBytes < 0 || len(ledger.attempts) != len(ledger.kept) {
			t.Fatalf("kept %d answers with %d bytes, %d attempts", len(ledger.kept), ledger.keptBytes, len(ledger.attempts))
		}
		for number := range count {
			if state := ledger.resolve(strconv.Itoa(number)); state != requests.AttemptAnswered && state != requests.AttemptUnknown {
				t.Fatalf("attempt %d was answered and is now %s", number, state)
			}
		}
	})
}

// Guards against a forgotten attempt, and against so many false positives that
// callers get wrong "unknown" outcomes.
func TestFilter(t *testing.T) {
	convey.Convey("A filter filled as designed", t, func() {
		const ids = 100_000
		known := newFilter(ids * filterBitsPer / 8)
		for number := range ids {
			known.add(fmt.Sprintf("known-%d", number))
		}
		forgotten, mistaken := 0, 0
		for number := range ids {
			if !known.has(fmt.Sprintf("known-%d", number)) {
				forgotten++
			}
			if known.has(fmt.Sprintf("other-%d", number)) {
				mistaken++
			}
		}
		convey.So(forgotten, convey.ShouldEqual, 0)
		convey.So(mistaken, convey.ShouldBeLessThan, 10)
	})
	convey.Convey("Generations remember the last ids and forget old ones", t, func() {
		known := newGenerations(1000)
		for number := range 9500 {
			known.add(strconv.Itoa(number))
		}
		for number := 8500; number < 9500; number++ {
			convey.So(known.has(strconv.Itoa(number)), convey.ShouldBeTrue)
		}
		remembered := 0
		for number := range 7000 {
			if known.has(strconv.Itoa(number)) {
				remembered++
			}
		}
		convey.So(remembered, convey.ShouldBeLessThan, 7)
	})
}

// Guards against a limit that isn't enforced, and against a refusal without a
// time to come back.
func TestLimitsOfAnOrganisation(t *testing.T) {
	for _, limited := range []configurations.Organisation{
		{Name: "a", Weight: 1, InFlight: 4},
		{Name: "a", Weight: 1, RequestsPerSecond: 4},
	} {
		convey.Convey(fmt.Sprintf("With %+v four of ten requests are admitted", limited), t, func() {
			run := newSimulation(Limits{}, &source{name: "a", weight: 1, perSecond: 1, tokens: 1})
			run.snapshot = configurations.NewSnapshot(2, []configurations.Entry{{Object: limited}})
			admitted := 0
			for number := range 10 {
				request := requests.Request{AttemptID: strconv.Itoa(number), Organisation: "a", Deadline: run.now.Add(time.Minute)}
				outcome := run.ledger.screen(run.now, request, run.snapshot)
				if outcome == nil {
					admitted++
					_, outcome = run.ledger.admit(run.now, request, generation{maxTokens: 1})
					convey.So(outcome, convey.ShouldBeNil)
					continue
				}
				refused := outcome.(requests.NotRun)
				convey.So(refused.Code, convey.ShouldEqual, requests.CodeLimitReached)
				convey.So(refused.RetryAt.After(run.now), convey.ShouldBeTrue)
			}
			convey.So(admitted, convey.ShouldEqual, 4)
		})
	}
}

// Guards against a stream that one version began and another one continues.
func TestContinuationNeedsItsVersion(t *testing.T) {
	convey.Convey("A server of v2 takes a continuation of v2 and refuses one of v1", t, func() {
		run := newSimulation(Limits{}, &source{name: "a", weight: 1, perSecond: 1, tokens: 1})
		run.ledger.gate = run.ledger.gate.WithServing("v2", true)
		for version, taken := range map[string]bool{"v1": false, "v2": true} {
			request := requests.Request{AttemptID: version, Organisation: "a", Deadline: run.now.Add(time.Minute), AfterPart: 3, Version: version}
			convey.So(run.ledger.screen(run.now, request, run.snapshot), convey.ShouldBeNil)
			_, outcome := run.ledger.admit(run.now, request, generation{maxTokens: 9})
			convey.So(outcome == nil, convey.ShouldEqual, taken)
		}
	})
}

// Guards against a queue that stays shut because of estimates that no new
// measurement corrects.
func TestEstimatesRecover(t *testing.T) {
	convey.Convey("After a slow period an idle server takes a request again", t, func() {
		run := newSimulation(Limits{}, &source{name: "a", weight: 1, perSecond: 1, tokens: 1})
		for range 100 {
			run.ledger.estimates = run.ledger.estimates.WithGeneration(60, 60, 1, 1)
		}
		request := requests.Request{AttemptID: "x", Organisation: "a", Deadline: run.now.Add(time.Second)}
		convey.So(run.ledger.screen(run.now, request, run.snapshot), convey.ShouldBeNil)
		_, refused := run.ledger.admit(run.now, request, generation{maxTokens: 1})
		convey.So(refused, convey.ShouldBeNil)
		convey.So(run.ledger.next(run.now), convey.ShouldNotBeNil)
	})
}

// Guards against a caller's body that stops the agent or asks for more than the
// limits.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"prompt":"p","max_tokens":5,"stream":true}`), true)
	f.Add([]byte(`{"call":"lot","arguments":{"number":1}}`), false)
	f.Fuzz(func(t *testing.T, body []byte, engine bool) {
		kind := configurations.DeploymentService
		if engine {
			kind = configurations.DeploymentEngine
		}
		work, err := decodeJob(kind, requests.Request{Body: body})
		if err != nil {
			return
		}
		if generate, is := work.(generation); is && (generate.maxTokens < 1 || generate.maxTokens > mostMaxTokens) {
			t.Fatalf("max_tokens %d", generate.maxTokens)
		}
		if seconds := newEstimates().of(work); seconds < 0 {
			t.Fatalf("expected service time %f", seconds)
		}
	})
}

// spaced is a service that answers in another form than the encoder's.
type spaced struct{ Backend }

func (spaced) Call(context.Context, engines.Call) (engines.Answer, error) {
	return engines.Answer{Body: json.RawMessage(`{ "text" : "<b>" }`)}, nil
}

// Guards against a digest that is only valid until the body is encoded again.
func TestBodyKeepsItsForm(t *testing.T) {
	convey.Convey("A service's answer encodes to itself", t, func() {
		queue := &Queue{dependencies: Dependencies{Backend: spaced{}}}
		done, err := queue.call(context.Background(), &attempt{}, call{})
		convey.So(err, convey.ShouldBeNil)
		encoded, err := json.Marshal(done.body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(encoded), convey.ShouldEqual, string(done.body))
	})
}
