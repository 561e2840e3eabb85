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

// A request that fails at the backend server may or may not have run there. The
// code below sends it again only where that is safe, and reports an unknown outcome
// rather than a refusal whenever the request may have run.

const (
	maxTries      = 2 // Tries of an idempotent request at this backend server.
	cancelTimeout = time.Second
)

var errAnswerTooLong = errors.New("answer above the size limit")

// result is what the backend server returned for one try.
type result struct {
	version      string
	tokens       int
	body         json.RawMessage
	firstTokenAt time.Time
}

// execute runs the attempt at the backend server, records its outcome, frees its
// slot and starts waiting attempts.
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

// runWithRetry sends the request to the backend server. An idempotent request that
// failed before its first part is sent once more.
func (queue *Queue) runWithRetry(ctx context.Context, attempt *attempt) requests.Outcome {
	mayHaveRun := false
	for try := 1; ; try++ {
		sentAt := time.Now()
		response, err := queue.sendToBackend(ctx, attempt)
		if err == nil {
			return queue.recordAnswer(attempt, response, sentAt)
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
		!engines.HasRefusalCode(err, engines.CodeMalformed)
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
	var response result
	completion, err := queue.dependencies.Backend.Generate(ctx, engines.Generation{
		RequestID:  attempt.request.RequestID,
		Prompt:     job.prompt,
		MaxTokens:  job.maxTokens,
		Priority:   attempt.request.Priority,
		ResumeFrom: job.resumeAfter,
		AtMostOnce: !attempt.request.Idempotent,
	}, func(token engines.Token) {
		if response.firstTokenAt.IsZero() {
			response.firstTokenAt = time.Now()
		}
		queue.mutex.Lock()
		defer queue.mutex.Unlock()
		if attempt.phase == phaseEnded {
			return // An ended attempt is kept, and its size is already counted.
		}
		attempt.appendPart(token.Text)
		if attempt.size > queue.dependencies.Limits.MaxAnswerBytes {
			cancel(errAnswerTooLong)
		}
	})
	if cause := context.Cause(ctx); errors.Is(cause, errAnswerTooLong) {
		err = cause
	}
	response.version = completion.Version
	response.tokens = completion.Tokens
	return response, err
}

func (queue *Queue) call(ctx context.Context, attempt *attempt, job call) (result, error) {
	answer, err := queue.dependencies.Backend.Call(ctx, engines.Call{
		RequestID:  attempt.request.RequestID,
		Call:       job.name,
		Arguments:  job.arguments,
		AtMostOnce: !attempt.request.Idempotent,
	})
	if err != nil {
		return result{}, err
	}
	// Encoding the body here gives it the form that later encodings preserve, so
	// that its digest is still valid when it reaches the caller.
	body, err := json.Marshal(answer.Body)
	return result{version: answer.Version, body: body}, err
}

// recordAnswer builds the outcome of a complete answer. It updates the estimates
// with the measured times and compares the answer's version with the intended one.
func (queue *Queue) recordAnswer(attempt *attempt, response result, sentAt time.Time) requests.Outcome {
	now := time.Now()
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	total := now.Sub(sentAt).Seconds()
	if response.body != nil {
		queue.scheduler.estimates = queue.scheduler.estimates.WithCall(total)
	} else if count := len(attempt.parts); count > 0 {
		queue.scheduler.estimates = queue.scheduler.estimates.WithGeneration(response.firstTokenAt.Sub(sentAt).Seconds(), total, count, requestedTokens(attempt.job))
	}
	before := queue.scheduler.admission
	queue.scheduler.admission = before.WithAnswer(response.version, attempt.epoch)
	if queue.scheduler.admission.versionMismatch && !before.versionMismatch {
		queue.dependencies.Logger.Error("answer by an unintended version", zap.String("version", response.version),
			zap.String("intended", before.intendedVersion), zap.String("attempt_id", attempt.request.AttemptID))
	}
	return attempt.buildAnswer(response)
}

// requestedTokens returns the maximum number of tokens that the job may generate,
// or 0 for a call.
func requestedTokens(job job) int {
	if generate, isGeneration := job.(generation); isGeneration {
		return generate.maxTokens - generate.resumeAfter
	}
	return 0
}

// buildAnswer returns the outcome of a complete answer. The digest of a streamed
// answer covers only the parts after AfterPart, because this agent has not seen the
// earlier ones.
func (attempt *attempt) buildAnswer(response result) requests.Answered {
	answered := requests.Answered{Version: response.version}
	switch {
	case response.body != nil:
		answered.Body = response.body
	case attempt.request.Stream:
		answered.Parts = response.tokens
		answered.Digest = weights.Sum([]byte(strings.Join(attempt.parts, ""))).String()
		return answered
	default:
		encoded, err := json.Marshal(textBody{Text: strings.Join(attempt.parts, "")})
		if err != nil {
			panic(fmt.Sprintf("encoding a text body failed: %v", err))
		}
		answered.Body = encoded
		attempt.parts = nil
	}
	answered.Digest = weights.Sum(answered.Body).String()
	return answered
}

// handleFailure closes admission if the error shows that the backend server is
// unreachable, and cancels the request there if only its connection broke.
func (queue *Queue) handleFailure(attempt *attempt, err error) {
	var unreachable *engines.UnreachableError
	var interrupted *engines.InterruptedError
	switch {
	case errors.As(err, &unreachable) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		queue.markUnreachable(err)
	case errors.As(err, &interrupted) && interrupted.Silent && !interrupted.ServerAlive:
		queue.markUnreachable(err)
	case errors.As(err, &interrupted):
		queue.cancelOnBackend(attempt)
	}
}

// cancelOnBackend cancels a request whose connection broke, unless another attempt
// of the same request is running.
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

// failureOutcome returns the outcome of an attempt whose last try failed.
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

// refusalOutcome returns the outcome for an error after which the request has
// certainly not run.
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
