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

// newBenchmarkSimulation returns a simulation with the given number of organisations.
func newBenchmarkSimulation(organisations int) *simulation {
	sources := make([]*requestSource, organisations)
	for i := range sources {
		sources[i] = &requestSource{name: strconv.Itoa(i), weight: 1, perSecond: 1, tokens: 1}
	}
	return newSimulation(Limits{}, sources...)
}

// BenchmarkAdmission measures one request from precheck to the release of its slot.
func BenchmarkAdmission(b *testing.B) {
	for _, organisations := range []int{10, 100} {
		b.Run(strconv.Itoa(organisations)+"-organisations", func(b *testing.B) {
			simulation := newBenchmarkSimulation(organisations)
			request := requests.Request{Idempotent: true, Body: []byte(`{"prompt":"a short prompt","max_tokens":50}`)}
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				simulation.now = simulation.now.Add(time.Microsecond)
				request.AttemptID = strconv.Itoa(number)
				request.Organisation = strconv.Itoa(number % organisations)
				request.Deadline = simulation.now.Add(time.Minute)
				if refused := simulation.scheduler.precheck(simulation.now, request, simulation.snapshot); refused != nil {
					b.Fatal(refused)
				}
				job, err := decodeJob(configurations.DeploymentEngine, request)
				if err != nil {
					b.Fatal(err)
				}
				if _, refused := simulation.scheduler.admit(simulation.now, request, job); refused != nil {
					b.Fatal(refused)
				}
				next := simulation.scheduler.startNext(simulation.now)
				simulation.scheduler.finish(simulation.now, next, requests.Answered{})
				simulation.scheduler.releaseSlot(simulation.now, next)
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "admissions/s")
		})
	}
}

// BenchmarkRefusal measures one request that a full queue refuses.
func BenchmarkRefusal(b *testing.B) {
	simulation := newBenchmarkSimulation(10)
	simulation.scheduler.checker = invariants.NewForTest(func(name invariants.Name) { b.Fatal(name) })
	request := requests.Request{Organisation: "0", Idempotent: true}
	sendRequest := func(number int) requests.Outcome {
		request.AttemptID = strconv.Itoa(number)
		request.Deadline = simulation.now.Add(time.Hour)
		if refused := simulation.scheduler.precheck(simulation.now, request, simulation.snapshot); refused != nil {
			return refused
		}
		_, refused := simulation.scheduler.admit(simulation.now, request, generation{maxTokens: 50})
		return refused
	}
	number := 0
	for sendRequest(number) == nil {
		number++
		simulation.scheduler.startNext(simulation.now)
	}
	b.ReportAllocs()
	for b.Loop() {
		number++
		if sendRequest(number) == nil {
			b.Fatal("admitted to a full queue")
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "refusals/s")
}

// instantBackend is a backend server with a service time of zero.
type instantBackend struct{ Backend }

func (instantBackend) Generate(_ context.Context, generation engines.Generation, deliver func(engines.Token)) (engines.Completion, error) {
	for sequence := 1; sequence <= generation.MaxTokens; sequence++ {
		deliver(engines.Token{Sequence: sequence, Text: " token"})
	}
	return engines.Completion{Tokens: generation.MaxTokens, Version: "v1"}, nil
}

func (instantBackend) Status(context.Context) (engines.Status, error) {
	return engines.Status{Version: "v1", Slots: simulatedSlots}, nil
}

type fixedConfiguration struct{ configurations.Snapshot }

func (source fixedConfiguration) Current() configurations.Snapshot { return source.Snapshot }

func (source fixedConfiguration) Wait(ctx context.Context, _ int64) (configurations.Snapshot, error) {
	<-ctx.Done()
	return source.Snapshot, ctx.Err()
}

// BenchmarkRun measures one streamed request of 50 tokens through the whole queue.
func BenchmarkRun(b *testing.B) {
	snapshot := configurations.NewSnapshot(1, []configurations.Entry{
		{Object: configurations.Deployment{Name: "plant", Type: configurations.DeploymentEngine}},
		{Object: configurations.Organisation{Name: "a", Weight: 1}},
	})
	queue := New(Dependencies{
		Deployment: "plant", Backend: instantBackend{}, Source: fixedConfiguration{snapshot}, Logger: zap.NewNop(), Scope: tally.NoopScope,
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
		if outcome, complete := queue.Run(context.Background(), request, func(requests.Part) {}).(requests.Answered); !complete {
			b.Fatal(outcome)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
