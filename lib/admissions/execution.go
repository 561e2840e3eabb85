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
	maxTries      = 2 // Of an idempotent request at this backend server.
	cancelTimeout = time.Second
)

var errAnswerTooLong = errors.New("answer above the size limit")

// result is what one try at the backend server has brought.
type result struct {
	version      string
	tokens       int
	body         json.RawMessage
	firstTokenAt time.Time // When the first token came.
}

// execute runs the attempt at the backend server and frees its slot.
func (queue *Queue) execute(ctx context.Context, attempt *attempt) {
	defer attempt.cancel()
	outcome := queue.runWithRetry(ctx, attempt)
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.scheduler.finish(now, attempt, outcome)
	queue.scheduler.releaseSlot(now, attempt)
	queue.scheduler.refuseAllIfClosed(now)
	queue.dispatch(now)
	queue.wakeDrain()
}

// attempt hands the request to the backend server: once, or once more where it
// is idempotent and failed before its first part.
func (queue *Queue) runWithRetry(ctx context.Context, attempt *attempt) requests.Outcome {
	mayHaveRun := false
	for try := 1; ; try++ {
		sentAt := time.Now()
		done, err := queue.sendToBackend(ctx, attempt)
		if err == nil {
			return queue.recordAnswer(attempt, done, sentAt)
		}
		mayHaveRun = mayHaveRun || engines.MayHaveRun(err)
		queue.handleFailure(attempt, err)
		if try == maxTries || !queue.mayRetry(ctx, attempt, err) {
			return queue.failureOutcome(ctx, attempt, err, mayHaveRun)
		}
	}
}

func (queue *Queue) mayRetry(ctx context.Context, attempt *attempt, err error) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return attempt.request.Idempotent && len(attempt.parts) == 0 && ctx.Err() == nil &&
		queue.scheduler.admission.refusalCode() == "" && !errors.Is(err, errAnswerTooLong) &&
		!engines.HasCode(err, engines.CodeMalformed)
}

func (queue *Queue) sendToBackend(ctx context.Context, attempt *attempt) (result, error) {
	queue.mutex.Lock()
	job := attempt.job
	if attempt.phase == phaseEnded {
		queue.mutex.Unlock()
		return result{}, &engines.UnreachableError{Err: context.Canceled}
	}
	queue.scheduler.recordSend(attempt)
	attempt.reserveParts(requestedTokens(job))
	queue.mutex.Unlock()
	switch job := job.(type) {
	case generation:
		return queue.generate(ctx, attempt, job)
	case call:
		return queue.call(ctx, attempt, job)
	default:
		return result{}, &engines.UnreachableError{Err: fmt.Errorf("unknown job %T", job)}
	}
}

func (queue *Queue) generate(ctx context.Context, attempt *attempt, job generation) (result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var done result
	completion, err := queue.dependencies.Backend.Generate(ctx, engines.Generation{
		RequestID:  attempt.request.RequestID,
		Prompt:     job.prompt,
		MaxTokens:  job.maxTokens,
		Priority:   attempt.request.Priority,
		ResumeFrom: job.resumeAfter,
		Once:       !attempt.request.Idempotent,
	}, func(token engines.Token) {
		if done.firstTokenAt.IsZero() {
			done.firstTokenAt = time.Now()
		}
		queue.mutex.Lock()
		defer queue.mutex.Unlock()
		if attempt.phase == phaseEnded {
			return // The size of a kept attempt no longer changes.
		}
		attempt.appendPart(token.Text)
		if attempt.size > queue.dependencies.Limits.MaxAnswerBytes {
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

func (queue *Queue) call(ctx context.Context, attempt *attempt, job call) (result, error) {
	answer, err := queue.dependencies.Backend.Call(ctx, engines.Call{
		RequestID: attempt.request.RequestID,
		Call:      job.name,
		Arguments: job.arguments,
		Once:      !attempt.request.Idempotent,
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
func (queue *Queue) recordAnswer(attempt *attempt, done result, sentAt time.Time) requests.Outcome {
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	total := now.Sub(sentAt).Seconds()
	if done.body != nil {
		queue.scheduler.estimates = queue.scheduler.estimates.WithCall(total)
	} else if count := len(attempt.parts); count > 0 {
		queue.scheduler.estimates = queue.scheduler.estimates.WithGeneration(done.firstTokenAt.Sub(sentAt).Seconds(), total, count, requestedTokens(attempt.job))
	}
	before := queue.scheduler.admission
	queue.scheduler.admission = before.WithAnswer(done.version, attempt.epoch)
	if queue.scheduler.admission.versionMismatch && !before.versionMismatch {
		queue.dependencies.Logger.Error("answer by an unintended version", zap.String("version", done.version),
			zap.String("intended", before.intendedVersion), zap.String("attempt_id", attempt.request.AttemptID))
	}
	return attempt.buildAnswer(done)
}

// asked returns how many tokens the job asks for at most.
func requestedTokens(job job) int {
	if generate, is := job.(generation); is {
		return generate.maxTokens - generate.resumeAfter
	}
	return 0
}

// answer returns the end of the whole answer. The digest covers the parts after
// AfterPart, because the agent has not seen those before.
func (attempt *attempt) buildAnswer(done result) requests.Answered {
	answered := requests.Answered{Version: done.version}
	switch {
	case done.body != nil:
		answered.Body = done.body
	case attempt.request.Stream:
		answered.Parts = done.tokens
		answered.Digest = weights.Sum([]byte(strings.Join(attempt.parts, ""))).String()
		return answered
	default:
		encoded, err := json.Marshal(textBody{Text: strings.Join(attempt.parts, "")})
		if err != nil {
			panic(fmt.Sprintf("a text is always encoded: %v", err))
		}
		answered.Body = encoded
		attempt.parts = nil
	}
	answered.Digest = weights.Sum(answered.Body).String()
	return answered
}

// failed draws the conclusions for the backend server as a whole.
func (queue *Queue) handleFailure(attempt *attempt, err error) {
	var unreachable *engines.UnreachableError
	var broken *engines.BrokenError
	switch {
	case errors.As(err, &unreachable) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		queue.markUnreachable(err)
	case errors.As(err, &broken) && broken.Silent && !broken.Alive:
		queue.markUnreachable(err)
	case errors.As(err, &broken):
		queue.cancelOnBackend(attempt)
	}
}

// abandon tells the engine to stop a request whose connection is broken, unless
// another attempt of the same request runs.
func (queue *Queue) cancelOnBackend(attempt *attempt) {
	queue.mutex.Lock()
	for _, other := range queue.scheduler.attempts {
		if other != attempt && other.phase == phaseRunning && other.request.RequestID == attempt.request.RequestID {
			queue.mutex.Unlock()
			return
		}
	}
	queue.mutex.Unlock()
	ctx, cancel := context.WithTimeout(queue.lifetime, cancelTimeout)
	defer cancel()
	if err := queue.dependencies.Backend.Cancel(ctx, attempt.request.RequestID); err != nil {
		queue.dependencies.Logger.Debug("cancel failed", zap.String("attempt_id", attempt.request.AttemptID), zap.Error(err))
	}
}

// outcome tells what is known after the last try.
func (queue *Queue) failureOutcome(ctx context.Context, attempt *attempt, err error, mayHaveRun bool) requests.Outcome {
	queue.dependencies.Logger.Info("attempt failed", zap.String("attempt_id", attempt.request.AttemptID),
		zap.Bool("may_have_run", mayHaveRun), zap.Error(err))
	switch {
	case !mayHaveRun:
		return refusalOutcome(err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return requests.Unknown{Code: requests.CodeDeadlineExpired, Message: "the deadline passed while the request ran"}
	case len(attempt.parts) > 0:
		return requests.Unknown{Code: requests.CodeStreamBroken, Message: err.Error()}
	default:
		return requests.Unknown{Code: requests.CodeOutcomeUnknown, Message: err.Error()}
	}
}

// notRun turns a refusal of the backend server into one of the queue.
func refusalOutcome(err error) requests.Outcome {
	var refused *engines.RefusedError
	if !errors.As(err, &refused) {
		return requests.NotRun{Code: requests.CodeNoBackendServer, Message: err.Error(), RetryAt: time.Now().Add(closedRetryDelay)}
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
		outcome.RetryAt = time.Now().Add(closedRetryDelay)
	}
	return outcome
}
