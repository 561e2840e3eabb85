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
	slots   = 4
	step    = 9 * time.Millisecond
	answer  = 10 // Tokens of each answer.
	version = "v1"
)

// engine computes a token at each step for up to slots requests. The queue in
// front of it belongs to the agent.
type engine struct {
	speed float64
	runs  atomic.Int64
}

// Generate implements admissions.Backend.
func (engine *engine) Generate(ctx context.Context, generation engines.Generation, deliver func(engines.Token)) (engines.Completion, error) {
	engine.runs.Add(1)
	next := time.Now()
	for sequence := generation.ResumeFrom + 1; sequence <= generation.MaxTokens; sequence++ {
		next = next.Add(time.Duration(float64(step) / engine.speed))
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
func (engine *engine) Call(context.Context, engines.Call) (engines.Answer, error) {
	return engines.Answer{Body: []byte("{}")}, nil
}

// Status implements admissions.Backend.
func (engine *engine) Status(context.Context) (engines.Status, error) {
	return engines.Status{Version: version, Slots: slots}, nil
}

// Cancel implements admissions.Backend.
func (engine *engine) Cancel(context.Context, string) error { return nil }

// laggingRunner states the load of a while ago, as engines do.
type laggingRunner struct {
	requests.Runner
	lagging atomic.Pointer[requests.Load]
}

// Load implements requests.Runner.
func (runner *laggingRunner) Load() requests.Load {
	if load := runner.lagging.Load(); load != nil {
		return *load
	}
	return requests.Load{Slots: slots}
}

// follow keeps the stated load the given time behind the true one.
func (runner *laggingRunner) follow(ctx context.Context, lag time.Duration) {
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
			runner.lagging.Store(&oldest)
		}
	}
}
