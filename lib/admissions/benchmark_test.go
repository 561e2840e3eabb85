package admissions

import (
	"strconv"
	"testing"
	"time"

	"firford/lib/configurations"
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
