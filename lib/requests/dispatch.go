package requests

// The dispatcher sends a request to an agent and returns its answer, even if
// agents or connections fail in between. An idempotent request may run again on
// another agent; one that is not idempotent stays with the agent that its claim
// names. There are no hedged requests (a second attempt while the first one
// runs), because they add load where engines batch continuously.

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/backends"
	"firford/lib/invariants"
	"firford/lib/logs"
)

const (
	// An idempotent request waits this long for a new link to its agent before
	// it runs on another one. Opening a link takes a few milliseconds, and the
	// pool pauses at most 400 ms before its first attempt.
	reconnectWait = time.Second
	// Limit on the attempts of one request, in addition to the retry budget.
	maxAttempts = 4
	// The retry delay that is reported to callers when no better one is known.
	defaultRetryAfter = time.Second
)

type (
	// Dispatcher runs requests on agents. It is safe for concurrent use.
	Dispatcher struct {
		agents  *Agents
		client  *Client
		claims  *ClaimStore
		checker invariants.Checker
		logger  *zap.Logger

		mutex   sync.Mutex
		retries backends.RetryBudget
	}

	// IncomingRequest is a request as its caller sent it. Key is the request key,
	// which is set if the request is not idempotent.
	IncomingRequest struct {
		Request Request
		Key     string
	}
)

// NewDispatcher returns a dispatcher. If claims is nil, requests that are not
// idempotent are refused.
func NewDispatcher(agents *Agents, client *Client, claims *ClaimStore, checker invariants.Checker, logger *zap.Logger) *Dispatcher {
	return &Dispatcher{
		agents: agents, client: client, claims: claims, checker: checker, logger: logger,
		retries: backends.NewRetryBudget(),
	}
}

// Dispatch runs the request and returns its outcome by the request's deadline.
// deliver receives the parts of a streamed answer in order and must not block.
// If the context ends early, the running attempt is cancelled.
func (dispatcher *Dispatcher) Dispatch(ctx context.Context, incoming IncomingRequest, deliver func(Part)) Outcome {
	ctx, cancel := context.WithDeadline(ctx, incoming.Request.Deadline)
	defer cancel()
	dispatcher.countRequest()
	delivered := newProgress(deliver)
	var outcome Outcome
	if incoming.Request.Idempotent {
		outcome = dispatcher.runIdempotent(ctx, incoming.Request, delivered)
	} else {
		outcome = dispatcher.runNonIdempotent(ctx, incoming, delivered)
	}
	return dispatcher.checkOutcome(incoming, outcome, delivered)
}

// checkOutcome asserts the invariants of every outcome that leaves the entry.
func (dispatcher *Dispatcher) checkOutcome(incoming IncomingRequest, outcome Outcome, delivered *progress) Outcome {
	switch ended := outcome.(type) {
	case Answered:
		if incoming.Request.Stream {
			complete := ended.Parts == delivered.partCount() && ended.Digest == delivered.digest()
			dispatcher.checker.Check(complete, invariants.OwnAnswer, logs.Request(incoming.Request.RequestID),
				zap.Int("parts", ended.Parts), zap.Int("passed", delivered.partCount()))
		}
	case NotRun:
		dispatcher.checker.Check(delivered.partCount() == 0, invariants.TrueRefusal, logs.Request(incoming.Request.RequestID),
			zap.String("code", ended.Code), zap.Int("passed", delivered.partCount()))
	case Unknown, NotKept:
	default:
		return Unknown{Code: CodeOutcomeUnknown, Message: "the request ended with an outcome of an unknown type"}
	}
	return outcome
}

func (dispatcher *Dispatcher) countRequest() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.retries = dispatcher.retries.WithRequest()
}

func (dispatcher *Dispatcher) takeRetry() bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	remaining, allowed := dispatcher.retries.WithRetry()
	dispatcher.retries = remaining
	return allowed
}

// runIdempotent tries agents until one answers, within the deadline and the
// retry budget. A stream resumes after the last part that the caller has, and
// only on the version that produced it.
func (dispatcher *Dispatcher) runIdempotent(ctx context.Context, request Request, delivered *progress) Outcome {
	tried := map[string]bool{}
	var lastOutcome Outcome = noAgentAvailable()
	version, mayHaveRun := "", false
	for range maxAttempts {
		reserved, found := dispatcher.agents.reserve(request.Deployment, version, tried, time.Now())
		if !found {
			break
		}
		tried[reserved.name] = true
		request.AttemptID, request.AfterPart, request.Version = NewID(), delivered.partCount(), version
		lastOutcome = dispatcher.runAttempt(ctx, reserved, request, delivered)
		if end, answered := lastOutcome.(Answered); answered {
			return completeStream(request, end, version, delivered)
		}
		if _, unknown := lastOutcome.(Unknown); unknown {
			mayHaveRun = true
		}
		if version == "" && delivered.partCount() > 0 {
			// The version in the parts takes precedence, because the agent may
			// have changed its version since it last reported it.
			version = cmp.Or(delivered.firstVersion(), reserved.version)
		}
		if ctx.Err() != nil || !retryable(lastOutcome) || !dispatcher.takeRetry() {
			break
		}
	}
	return unansweredOutcome(lastOutcome, mayHaveRun, delivered.partCount())
}

func noAgentAvailable() NotRun {
	return NotRun{
		Code:    CodeNoBackendServer,
		Message: "no backend server of the deployment takes requests",
		RetryAt: time.Now().Add(defaultRetryAfter),
	}
}

// completeStream sets the digest of a streamed answer to the digest over all
// attempts. An answer that another version has continued is not one answer, so
// its outcome is Unknown.
func completeStream(request Request, end Answered, version string, delivered *progress) Outcome {
	if !request.Stream {
		return end
	}
	if version != "" && end.Version != version {
		return Unknown{Code: CodeStreamBroken, Message: "the answer could not be continued by the version that began it"}
	}
	end.Digest = delivered.digest()
	return end
}

// retryable reports whether another agent may be able to run the request.
func retryable(outcome Outcome) bool {
	switch ended := outcome.(type) {
	case NotRun:
		return ended.Code != CodeLimitReached && ended.Code != CodeMalformed &&
			ended.Code != CodeCancelled && ended.Code != CodeDeadlineExpired
	case Unknown:
		return true
	default:
		return false
	}
}

// unansweredOutcome returns the outcome of a request that no agent has
// answered. A refusal by the last agent does not exclude that an earlier
// attempt has run.
func unansweredOutcome(lastOutcome Outcome, mayHaveRun bool, delivered int) Outcome {
	if delivered > 0 {
		return Unknown{Code: CodeStreamBroken, Message: "the answer ended early and could not be continued"}
	}
	if refusal, refused := lastOutcome.(NotRun); refused && mayHaveRun {
		return Unknown{Code: CodeOutcomeUnknown, Message: "an earlier attempt may have run: " + refusal.Message}
	}
	return lastOutcome
}

// runAttempt runs the request on the reserved agent. It returns NotRun only if
// the agent will never run this attempt.
func (dispatcher *Dispatcher) runAttempt(ctx context.Context, reserved *reservation, request Request, delivered *progress) Outcome {
	defer reserved.release()
	attempt := dispatcher.client.NewAttempt(request, delivered.deliverPart)
	defer attempt.Close()
	outcome, err := attempt.Run(ctx, reserved.peer)
	for range maxCollectAttempts {
		if !errors.Is(err, ErrConnectionLost) || ctx.Err() != nil {
			break
		}
		outcome, err = dispatcher.recoverAttempt(ctx, reserved, attempt)
	}
	switch {
	case errors.Is(err, ErrRefusedByLink):
		return NotRun{Code: CodeOverloaded, Message: err.Error(), RetryAt: time.Now().Add(defaultRetryAfter)}
	case err != nil:
		CancelAttempt(reserved.peer, request.AttemptID)
		dispatcher.logger.Info("connection to the agent lost during an attempt", logs.Request(request.RequestID), zap.String("agent", reserved.name), zap.Error(err))
		return Unknown{Code: CodeOutcomeUnknown, Message: "the connection to the backend server was lost"}
	}
	dispatcher.agents.recordLoad(reserved.name, attempt.Load())
	return outcome
}

// recoverAttempt continues an attempt over a new connection after its
// connection was lost. It first asks whether the attempt has arrived: if not,
// the agent records that it will never run.
func (dispatcher *Dispatcher) recoverAttempt(ctx context.Context, reserved *reservation, attempt *Attempt) (Outcome, error) {
	waitCtx := ctx
	if attempt.request.Idempotent {
		limited, cancel := context.WithTimeout(ctx, reconnectWait)
		defer cancel()
		waitCtx = limited
	}
	peer, err := dispatcher.agents.awaitNewLink(waitCtx, reserved.name, reserved.peer)
	if err != nil {
		return Unknown{Code: CodeOutcomeUnknown, Message: "the backend server could not be reached again"}, nil
	}
	reserved.peer = peer
	state, err := ResolveAttempt(ctx, peer, attempt.request.AttemptID, reserved.incarnation)
	if err != nil {
		return nil, err
	}
	switch state {
	case AttemptNotRun:
		return NotRun{Code: CodeNoBackendServer, Message: "the connection was lost before the request arrived", RetryAt: time.Now()}, nil
	case AttemptRunning, AttemptAnswered:
		return attempt.Collect(ctx, peer)
	case AttemptUnknown:
		return Unknown{Code: CodeOutcomeUnknown, Message: "the backend server's host has restarted"}, nil
	default:
		return Unknown{Code: CodeOutcomeUnknown, Message: "the agent returned an unknown state " + string(state)}, nil
	}
}
