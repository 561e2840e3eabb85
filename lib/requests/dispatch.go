package requests

// The dispatcher brings a request to an agent and its answer back, whatever
// happens to agents and connections on the way. An idempotent request may run
// again elsewhere; one that is not idempotent stays with the agent that its
// claim names. Hedged requests (a second attempt while the first one runs) were
// dropped: they add load where engines batch continuously.

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
	// An idempotent request waits so long for a new link to its agent before it
	// runs elsewhere. Opening a link takes a few milliseconds and the pool pauses
	// at most 400 ms before its first attempt.
	reconnectWait = time.Second
	// Attempts of one request, beside the retry budget.
	maxAttempts = 4
	// The time after which a caller without a better hint may come back.
	defaultRetryAfter = time.Second
)

type (
	// Dispatcher runs requests on agents. It is safe for concurrent use.
	Dispatcher struct {
		agents   *Agents
		client   *Client
		claims   *ClaimStore
		asserter invariants.Asserter
		logger   *zap.Logger

		mutex   sync.Mutex
		retries backends.RetryBudget
	}

	// Call is a caller's request. Key is set where it is not idempotent.
	Call struct {
		Request Request
		Key     string
	}
)

// NewDispatcher returns a dispatcher. claims may be nil, then requests that are
// not idempotent are refused.
func NewDispatcher(agents *Agents, client *Client, claims *ClaimStore, asserter invariants.Asserter, logger *zap.Logger) *Dispatcher {
	return &Dispatcher{
		agents: agents, client: client, claims: claims, asserter: asserter, logger: logger,
		retries: backends.NewRetryBudget(),
	}
}

// Dispatch runs the call and returns how it ended, by its deadline. deliver gets the
// parts of a streamed answer in order and must not block. When the context ends
// early, the running attempt is cancelled.
func (dispatcher *Dispatcher) Dispatch(ctx context.Context, call Call, deliver func(Part)) Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	dispatcher.countRequest()
	passed := newProgress(deliver)
	var outcome Outcome
	if call.Request.Idempotent {
		outcome = dispatcher.runIdempotent(ctx, call.Request, passed)
	} else {
		outcome = dispatcher.runClaimed(ctx, call, passed)
	}
	return dispatcher.checked(call, outcome, passed)
}

// checked asserts what must hold of every outcome that leaves the entry.
func (dispatcher *Dispatcher) checked(call Call, outcome Outcome, passed *progress) Outcome {
	switch ended := outcome.(type) {
	case Answered:
		if call.Request.Stream {
			complete := ended.Parts == passed.count() && ended.Digest == passed.digest()
			dispatcher.asserter.Check(complete, invariants.OwnAnswer, logs.Request(call.Request.RequestID),
				zap.Int("parts", ended.Parts), zap.Int("passed", passed.count()))
		}
	case NotRun:
		dispatcher.asserter.Check(passed.count() == 0, invariants.TrueRefusal, logs.Request(call.Request.RequestID),
			zap.String("code", ended.Code), zap.Int("passed", passed.count()))
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

func (dispatcher *Dispatcher) mayRetry() bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	left, allowed := dispatcher.retries.WithRetry()
	dispatcher.retries = left
	return allowed
}

// runIdempotent tries agents until one answers, within the deadline and the
// retry budget. A stream continues behind the last part that the caller has,
// and only on the version that produced it.
func (dispatcher *Dispatcher) runIdempotent(ctx context.Context, request Request, passed *progress) Outcome {
	tried := map[string]bool{}
	var last Outcome = noAgent()
	version, mayHaveRun := "", false
	for range maxAttempts {
		held, found := dispatcher.agents.pick(request.Deployment, version, tried, time.Now())
		if !found {
			break
		}
		tried[held.name] = true
		request.AttemptID, request.AfterPart, request.Version = NewID(), passed.count(), version
		last = dispatcher.attempt(ctx, held, request, passed)
		if end, answered := last.(Answered); answered {
			return finished(request, end, version, passed)
		}
		if _, unknown := last.(Unknown); unknown {
			mayHaveRun = true
		}
		if version == "" && passed.count() > 0 {
			// The agent may have changed its version since it last stated one, so what
			// the parts state goes before it.
			version = cmp.Or(passed.begunBy(), held.version)
		}
		if ctx.Err() != nil || !retryable(last) || !dispatcher.mayRetry() {
			break
		}
	}
	return settled(last, mayHaveRun, passed.count())
}

func noAgent() NotRun {
	return NotRun{
		Code:    CodeNoBackendServer,
		Message: "no backend server of the deployment takes requests",
		RetryAt: time.Now().Add(defaultRetryAfter),
	}
}

// finished completes the end of a streamed answer with the digest over all
// attempts. A continuation by another version is not one answer.
func finished(request Request, end Answered, version string, passed *progress) Outcome {
	if !request.Stream {
		return end
	}
	if version != "" && end.Version != version {
		return Unknown{Code: CodeStreamBroken, Message: "the answer could not be continued by the version that began it"}
	}
	end.Digest = passed.digest()
	return end
}

// retryable reports whether another agent may do better.
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

// settled is the outcome of a request that no agent has answered. A refusal by
// the last agent says nothing of an earlier attempt that may have run.
func settled(last Outcome, mayHaveRun bool, passed int) Outcome {
	if passed > 0 {
		return Unknown{Code: CodeStreamBroken, Message: "the answer ended early and could not be continued"}
	}
	if refusal, refused := last.(NotRun); refused && mayHaveRun {
		return Unknown{Code: CodeOutcomeUnknown, Message: "an earlier attempt may have run: " + refusal.Message}
	}
	return last
}

// attempt runs the request on one agent. It returns NotRun only when the agent
// will never run this attempt.
func (dispatcher *Dispatcher) attempt(ctx context.Context, held *lease, request Request, passed *progress) Outcome {
	defer held.release()
	attempt := dispatcher.client.NewAttempt(request, passed.pass)
	defer attempt.Close()
	outcome, err := attempt.Run(ctx, held.peer)
	for range maxCollects {
		if !errors.Is(err, ErrConnectionLost) || ctx.Err() != nil {
			break
		}
		outcome, err = dispatcher.recover(ctx, held, attempt)
	}
	switch {
	case errors.Is(err, ErrRefusedByLink):
		return NotRun{Code: CodeOverloaded, Message: err.Error(), RetryAt: time.Now().Add(defaultRetryAfter)}
	case err != nil:
		CancelAttempt(held.peer, request.AttemptID)
		dispatcher.logger.Info("attempt lost", logs.Request(request.RequestID), zap.String("agent", held.name), zap.Error(err))
		return Unknown{Code: CodeOutcomeUnknown, Message: "the connection to the backend server was lost"}
	}
	dispatcher.agents.noted(held.name, attempt.Load())
	return outcome
}

// recover continues an attempt whose connection was lost over a new one. It
// first asks whether the attempt has arrived at all: for one that has not, the
// agent records that it will never run.
func (dispatcher *Dispatcher) recover(ctx context.Context, held *lease, attempt *Attempt) (Outcome, error) {
	wait := ctx
	if attempt.request.Idempotent {
		limited, cancel := context.WithTimeout(ctx, reconnectWait)
		defer cancel()
		wait = limited
	}
	peer, err := dispatcher.agents.await(wait, held.name, held.peer)
	if err != nil {
		return Unknown{Code: CodeOutcomeUnknown, Message: "the backend server could not be reached again"}, nil
	}
	held.peer = peer
	state, err := ResolveAttempt(ctx, peer, attempt.request.AttemptID, held.incarnation)
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
