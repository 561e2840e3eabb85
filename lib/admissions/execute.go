package admissions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"firford/lib/engines"
	"firford/lib/requests"
	"firford/lib/weights"
)

const (
	mostTries     = 2 // Of an idempotent request at this backend server.
	cancelTimeout = time.Second
)

var errAnswerTooLong = errors.New("answer above the size limit")

// result is what one try at the backend server has brought.
type result struct {
	version string
	tokens  int
	body    json.RawMessage
	first   time.Time // When the first token came.
}

// execute runs the attempt at the backend server and frees its slot.
func (queue *Queue) execute(ctx context.Context, running *attempt) {
	defer running.cancel()
	outcome := queue.attempt(ctx, running)
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.ledger.finish(now, running, outcome)
	queue.ledger.release(now, running)
	queue.ledger.flush(now)
	queue.dispatch(now)
	queue.settled()
}

// attempt hands the request to the backend server: once, or once more where it
// is idempotent and failed before its first part.
func (queue *Queue) attempt(ctx context.Context, running *attempt) requests.Outcome {
	mayHaveRun := false
	for try := 1; ; try++ {
		begun := time.Now()
		done, err := queue.hand(ctx, running)
		if err == nil {
			return queue.answered(running, done, begun)
		}
		mayHaveRun = mayHaveRun || engines.MayHaveRun(err)
		queue.failed(running, err)
		if try == mostTries || !queue.repeatable(ctx, running, err) {
			return queue.outcome(ctx, running, err, mayHaveRun)
		}
	}
}

func (queue *Queue) repeatable(ctx context.Context, running *attempt, err error) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return running.request.Idempotent && len(running.parts) == 0 && ctx.Err() == nil &&
		queue.ledger.gate.closed() == "" && !errors.Is(err, errAnswerTooLong) &&
		!engines.HasCode(err, engines.CodeMalformed)
}

func (queue *Queue) hand(ctx context.Context, running *attempt) (result, error) {
	queue.mutex.Lock()
	work := running.work
	if running.phase == phaseEnded {
		queue.mutex.Unlock()
		return result{}, &engines.UnreachableError{Err: context.Canceled}
	}
	queue.ledger.hand(running)
	running.reserve(asked(work))
	queue.mutex.Unlock()
	switch work := work.(type) {
	case generation:
		return queue.generate(ctx, running, work)
	case call:
		return queue.call(ctx, running, work)
	default:
		return result{}, &engines.UnreachableError{Err: fmt.Errorf("unknown job %T", work)}
	}
}

func (queue *Queue) generate(ctx context.Context, running *attempt, work generation) (result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var done result
	completion, err := queue.dependencies.Backend.Generate(ctx, engines.Generation{
		RequestID:  running.request.RequestID,
		Prompt:     work.prompt,
		MaxTokens:  work.maxTokens,
		Priority:   running.request.Priority,
		ResumeFrom: work.after,
		Once:       !running.request.Idempotent,
	}, func(token engines.Token) {
		if done.first.IsZero() {
			done.first = time.Now()
		}
		queue.mutex.Lock()
		defer queue.mutex.Unlock()
		if running.phase == phaseEnded {
			return // The size of a kept attempt no longer changes.
		}
		running.add(token.Text)
		if running.bytes > queue.dependencies.Limits.MaxAnswerBytes {
			cancel(errAnswerTooLong)
		}
	})
	if cause := context.Cause(ctx); errors.Is(cause, errAnswerTooLong) {
		err = cause
	}
	done.version = completion.Version
	done.tokens = completion.Tokens
	return done, err
}

func (queue *Queue) call(ctx context.Context, running *attempt, work call) (result, error) {
	answer, err := queue.dependencies.Backend.Call(ctx, engines.Call{
		RequestID: running.request.RequestID,
		Call:      work.name,
		Arguments: work.arguments,
		Once:      !running.request.Idempotent,
	})
	if err != nil {
		return result{}, err
	}
	// The body gets the form that it has after any further encoding, so that its
	// digest stays valid on the way to the caller.
	body, err := json.Marshal(answer.Body)
	return result{version: answer.Version, body: body}, err
}

// answered builds the outcome of a whole answer, measures it and holds its
// version against the intended one.
func (queue *Queue) answered(running *attempt, done result, begun time.Time) requests.Outcome {
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	total := now.Sub(begun).Seconds()
	if done.body != nil {
		queue.ledger.estimates = queue.ledger.estimates.WithCall(total)
	} else if count := len(running.parts); count > 0 {
		queue.ledger.estimates = queue.ledger.estimates.WithGeneration(done.first.Sub(begun).Seconds(), total, count, asked(running.work))
	}
	before := queue.ledger.gate
	queue.ledger.gate = before.WithAnswer(done.version, running.epoch)
	if queue.ledger.gate.suspect && !before.suspect {
		queue.dependencies.Logger.Error("answer by an unintended version", zap.String("version", done.version),
			zap.String("intended", before.intended), zap.String("attempt_id", running.request.AttemptID))
	}
	return running.answer(done)
}

// asked returns how many tokens the job asks for at most.
func asked(work job) int {
	if generate, is := work.(generation); is {
		return generate.maxTokens - generate.after
	}
	return 0
}

// answer returns the end of the whole answer. The digest covers the parts after
// AfterPart, because the agent has not seen those before.
func (running *attempt) answer(done result) requests.Answered {
	answered := requests.Answered{Version: done.version}
	switch {
	case done.body != nil:
		answered.Body = done.body
	case running.request.Stream:
		answered.Parts = done.tokens
		answered.Digest = weights.Sum([]byte(strings.Join(running.parts, ""))).String()
		return answered
	default:
		encoded, err := json.Marshal(textBody{Text: strings.Join(running.parts, "")})
		if err != nil {
			panic(fmt.Sprintf("a text is always encoded: %v", err))
		}
		answered.Body = encoded
		running.parts = nil
	}
	answered.Digest = weights.Sum(answered.Body).String()
	return answered
}

// failed draws the conclusions for the backend server as a whole.
func (queue *Queue) failed(running *attempt, err error) {
	var unreachable *engines.UnreachableError
	var broken *engines.BrokenError
	switch {
	case errors.As(err, &unreachable) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		queue.unreachable(err)
	case errors.As(err, &broken) && broken.Silent && !broken.Alive:
		queue.unreachable(err)
	case errors.As(err, &broken):
		queue.abandon(running)
	}
}

// abandon tells the engine to stop a request whose connection is broken, unless
// another attempt of the same request runs.
func (queue *Queue) abandon(running *attempt) {
	queue.mutex.Lock()
	for _, other := range queue.ledger.attempts {
		if other != running && other.phase == phaseRunning && other.request.RequestID == running.request.RequestID {
			queue.mutex.Unlock()
			return
		}
	}
	queue.mutex.Unlock()
	ctx, cancel := context.WithTimeout(queue.lifetime, cancelTimeout)
	defer cancel()
	if err := queue.dependencies.Backend.Cancel(ctx, running.request.RequestID); err != nil {
		queue.dependencies.Logger.Debug("cancel failed", zap.String("attempt_id", running.request.AttemptID), zap.Error(err))
	}
}

// outcome tells what is known after the last try.
func (queue *Queue) outcome(ctx context.Context, running *attempt, err error, mayHaveRun bool) requests.Outcome {
	queue.dependencies.Logger.Info("attempt failed", zap.String("attempt_id", running.request.AttemptID),
		zap.Bool("may_have_run", mayHaveRun), zap.Error(err))
	switch {
	case !mayHaveRun:
		return notRun(err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return requests.Unknown{Code: requests.CodeDeadlineExpired, Message: "the deadline passed while the request ran"}
	case len(running.parts) > 0:
		return requests.Unknown{Code: requests.CodeStreamBroken, Message: err.Error()}
	default:
		return requests.Unknown{Code: requests.CodeOutcomeUnknown, Message: err.Error()}
	}
}

// notRun turns a refusal of the backend server into one of the queue.
func notRun(err error) requests.Outcome {
	var refused *engines.RefusedError
	if !errors.As(err, &refused) {
		return requests.NotRun{Code: requests.CodeNoBackendServer, Message: err.Error(), RetryAt: time.Now().Add(retryClose)}
	}
	outcome := requests.NotRun{Code: requests.CodeNotServing, Message: err.Error(), RetryAt: refused.RetryAt}
	switch refused.Code {
	case engines.CodeMalformed:
		return requests.NotRun{Code: requests.CodeMalformed, Message: err.Error()}
	case engines.CodeOverloaded:
		outcome.Code = requests.CodeOverloaded
	case engines.CodeLeaving:
		outcome.Code = requests.CodeLeaving
	}
	if outcome.RetryAt.IsZero() {
		outcome.RetryAt = time.Now().Add(retryClose)
	}
	return outcome
}
