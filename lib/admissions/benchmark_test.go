package admissions

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/engines"
	"firford/lib/invariants"
	"firford/lib/requests"
)

// benchmarked returns a ledger for the number of organisations.
func benchmarked(organisations int) *simulation {
	sources := make([]*source, organisations)
	for i := range sources {
		sources[i] = &source{name: strconv.Itoa(i), weight: 1, perSecond: 1, tokens: 1}
	}
	return newSimulation(Limits{}, sources...)
}

// BenchmarkAdmission is one request from screening to its end.
func BenchmarkAdmission(b *testing.B) {
	for _, organisations := range []int{10, 100} {
		b.Run(strconv.Itoa(organisations)+"-organisations", func(b *testing.B) {
			run := benchmarked(organisations)
			request := requests.Request{Idempotent: true, Body: []byte(`{"prompt":"a short prompt","max_tokens":50}`)}
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				run.now = run.now.Add(time.Microsecond)
				request.AttemptID = strconv.Itoa(number)
				request.Organisation = strconv.Itoa(number % organisations)
				request.Deadline = run.now.Add(time.Minute)
				if refused := run.ledger.screen(run.now, request, run.snapshot); refused != nil {
					b.Fatal(refused)
				}
				work, err := decodeJob(configurations.DeploymentEngine, request)
				if err != nil {
					b.Fatal(err)
				}
				if _, refused := run.ledger.admit(run.now, request, work); refused != nil {
					b.Fatal(refused)
				}
				next := run.ledger.next(run.now)
				run.ledger.finish(run.now, next, requests.Answered{})
				run.ledger.release(run.now, next)
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "admissions/s")
		})
	}
}

// BenchmarkRefusal is one request that a full queue refuses.
func BenchmarkRefusal(b *testing.B) {
	run := benchmarked(10)
	run.ledger.checker = invariants.NewForTest(func(name invariants.Name) { b.Fatal(name) })
	request := requests.Request{Organisation: "0", Idempotent: true}
	fill := func(number int) requests.Outcome {
		request.AttemptID = strconv.Itoa(number)
		request.Deadline = run.now.Add(time.Hour)
		if refused := run.ledger.screen(run.now, request, run.snapshot); refused != nil {
			return refused
		}
		_, refused := run.ledger.admit(run.now, request, generation{maxTokens: 50})
		return refused
	}
	number := 0
	for fill(number) == nil {
		number++
		run.ledger.next(run.now)
	}
	b.ReportAllocs()
	for b.Loop() {
		number++
		if fill(number) == nil {
			b.Fatal("admitted to a full queue")
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "refusals/s")
}

// instant is a backend server that takes no time.
type instant struct{ Backend }

func (instant) Generate(_ context.Context, generation engines.Generation, deliver func(engines.Token)) (engines.Completion, error) {
	for sequence := 1; sequence <= generation.MaxTokens; sequence++ {
		deliver(engines.Token{Sequence: sequence, Text: " token"})
	}
	return engines.Completion{Tokens: generation.MaxTokens, Version: "v1"}, nil
}

func (instant) Status(context.Context) (engines.Status, error) {
	return engines.Status{Version: "v1", Slots: simulatedSlots}, nil
}

type fixedSource struct{ configurations.Snapshot }

func (source fixedSource) Current() configurations.Snapshot { return source.Snapshot }

func (source fixedSource) Wait(ctx context.Context, _ int64) (configurations.Snapshot, error) {
	<-ctx.Done()
	return source.Snapshot, ctx.Err()
}

// BenchmarkRun is one streamed request of 50 tokens through the whole queue.
func BenchmarkRun(b *testing.B) {
	snapshot := configurations.NewSnapshot(1, []configurations.Entry{
		{Object: configurations.Deployment{Name: "plant", Type: configurations.DeploymentEngine}},
		{Object: configurations.Organisation{Name: "a", Weight: 1}},
	})
	queue := New(Dependencies{
		Deployment: "plant", Backend: instant{}, Source: fixedSource{snapshot}, Logger: zap.NewNop(), Scope: tally.NoopScope,
		Checker: invariants.NewForTest(func(name invariants.Name) { b.Error(name) }),
	})
	defer queue.Close()
	queue.SetServing("v1", true)
	for queue.RefusalCode() != "" {
		time.Sleep(time.Millisecond)
	}
	request := requests.Request{Organisation: "a", Deployment: "plant", Idempotent: true, Stream: true, Body: []byte(`{"prompt":"a short prompt","max_tokens":50}`)}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		request.AttemptID = strconv.Itoa(number)
		request.RequestID = request.AttemptID
		request.Deadline = time.Now().Add(time.Minute)
		if outcome, whole := queue.Run(context.Background(), request, func(requests.Part) {}).(requests.Answered); !whole {
			b.Fatal(outcome)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
