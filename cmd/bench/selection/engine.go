package selection

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"firford/lib/engines"
	"firford/lib/requests"
)

const (
	slotsPerEngine = 4
	tokenInterval  = 9 * time.Millisecond
	answerTokens   = 10 // Tokens of each answer.
	version        = "v1"
)

// simulatedEngine generates a token of each request every tokenInterval divided by
// its speed. It has no queue of its own; the agent's queue admits at most
// slotsPerEngine requests.
type simulatedEngine struct {
	speed float64
	runs  atomic.Int64
}

// Generate implements admissions.Backend.
func (engine *simulatedEngine) Generate(ctx context.Context, generation engines.Generation, deliver func(engines.Token)) (engines.Completion, error) {
	engine.runs.Add(1)
	next := time.Now()
	for sequence := generation.ResumeFrom + 1; sequence <= generation.MaxTokens; sequence++ {
		next = next.Add(time.Duration(float64(tokenInterval) / engine.speed))
		select {
		case <-ctx.Done():
			return engines.Completion{}, ctx.Err()
		case <-time.After(time.Until(next)):
		}
		deliver(engines.Token{Sequence: sequence, Text: "token " + strconv.Itoa(sequence)})
	}
	return engines.Completion{Tokens: generation.MaxTokens, Version: version}, nil
}

// Call implements admissions.Backend.
func (engine *simulatedEngine) Call(context.Context, engines.Call) (engines.Answer, error) {
	return engines.Answer{Body: []byte("{}")}, nil
}

// Status implements admissions.Backend.
func (engine *simulatedEngine) Status(context.Context) (engines.Status, error) {
	return engines.Status{Version: version, Slots: slotsPerEngine}, nil
}

// Cancel implements admissions.Backend.
func (engine *simulatedEngine) Cancel(context.Context, string) error { return nil }

// laggingRunner reports an outdated load, as real engines do.
type laggingRunner struct {
	requests.Runner
	delayedLoad atomic.Pointer[requests.Load]
}

// Load implements requests.Runner.
func (runner *laggingRunner) Load() requests.Load {
	if load := runner.delayedLoad.Load(); load != nil {
		return *load
	}
	return requests.Load{Slots: slotsPerEngine}
}

// trackLoad samples the true load and reports each sample after the lag.
func (runner *laggingRunner) trackLoad(ctx context.Context, lag time.Duration) {
	const samples = 10
	var history []requests.Load
	ticker := time.NewTicker(lag / samples)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		history = append(history, runner.Runner.Load())
		if len(history) > samples {
			oldest := history[0]
			history = history[1:]
			runner.delayedLoad.Store(&oldest)
		}
	}
}
