package requests

// The messages between an entry and an agent. Both sides are declared in this
// file, so that a change of a message can't reach only one of them. Bodies are
// sent as bytes: an encoder would rewrite raw JSON (it compacts and escapes),
// and the digest of an answer would no longer match.

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"firford/lib/links"
)

const (
	methodRun     = "request.run"
	methodPart    = "request.part"
	methodCollect = "request.collect"
	methodResolve = "request.resolve"
	methodCancel  = "request.cancel"
	methodState   = "agent.state"
	methodLoad    = "agent.load"

	// Limit on the queued parts of each attempt. Parts beyond it are dropped;
	// the entry collects them when it detects the gap.
	maxQueuedParts = 1024
)

// Names of outcomes in messages and in the caller HTTP API.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

// States of an agent.
const (
	StateServing  = "serving"
	StateLoading  = "loading"
	StateDraining = "draining"
)

type (
	// AgentState is what an agent reports to the entries, each second and
	// immediately when its State field changes. Revision is that of the
	// configuration in force.
	AgentState struct {
		Incarnation string `json:"incarnation"`
		Deployment  string `json:"deployment"`
		Version     string `json:"version"`
		State       string `json:"state"`
		Running     int    `json:"running"`
		Queued      int    `json:"queued"`
		Slots       int    `json:"slots"`
		Revision    int64  `json:"revision"`
	}

	// Peer is the other end of a link. *links.Link implements it.
	Peer interface {
		Call(ctx context.Context, method string, params, result any) error
		Notify(method string, params any) error
		Done() <-chan struct{}
		Peer() links.Identity
		Close()
	}

	runParams struct {
		AttemptID    string `json:"attempt_id"`
		RequestID    string `json:"request_id"`
		Organisation string `json:"organisation"`
		Deployment   string `json:"deployment"`
		BudgetMS     int64  `json:"budget_ms"`
		Idempotent   bool   `json:"idempotent,omitempty"`
		Priority     int    `json:"priority"`
		Stream       bool   `json:"stream,omitempty"`
		Body         []byte `json:"body"`
		AfterPart    int    `json:"after_part,omitempty"`
		Version      string `json:"version,omitempty"`
	}

	runResult struct {
		Outcome      string `json:"outcome"`
		Reason       string `json:"reason,omitempty"`
		Message      string `json:"message,omitempty"`
		RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
		Version      string `json:"version,omitempty"`
		Parts        int    `json:"parts,omitempty"`
		Digest       string `json:"digest,omitempty"`
		Body         []byte `json:"body,omitempty"`
		Running      int    `json:"running"`
		Queued       int    `json:"queued"`
		Slots        int    `json:"slots"`
	}

	partParams struct {
		AttemptID string `json:"attempt_id"`
		Part      int    `json:"part"`
		Version   string `json:"version,omitempty"`
		Text      string `json:"text"`
	}

	collectParams struct {
		AttemptID string `json:"attempt_id"`
		AfterPart int    `json:"after_part"`
		BudgetMS  int64  `json:"budget_ms"`
	}

	resolveParams struct {
		AttemptID   string `json:"attempt_id"`
		Incarnation string `json:"incarnation"`
	}

	resolveResult struct {
		State AttemptState `json:"state"`
	}

	loadParams struct{}

	loadResult struct {
		Running int `json:"running"`
		Queued  int `json:"queued"`
		Slots   int `json:"slots"`
	}

	cancelParams struct {
		AttemptID string `json:"attempt_id"`
	}

	// partSender sends the parts of one attempt in order. The reader of the
	// engine's answer does not wait for the connection.
	partSender struct {
		peer  Peer
		sends sync.WaitGroup

		mutex   sync.Mutex
		queued  []Part
		sending bool
	}
)

// RegisterRunner registers the agent's handlers of request messages, which call
// the runner.
func RegisterRunner(router *links.Router, runner Runner) {
	links.OnCall(router, methodRun, func(ctx context.Context, link *links.Link, params runParams) (runResult, error) {
		return serveRun(ctx, link, runner, params), nil
	})
	links.OnCall(router, methodCollect, func(ctx context.Context, link *links.Link, params collectParams) (runResult, error) {
		return serveCollect(ctx, link, runner, params), nil
	})
	links.OnCall(router, methodResolve, func(_ context.Context, _ *links.Link, params resolveParams) (resolveResult, error) {
		return resolveResult{State: runner.Resolve(params.AttemptID)}, nil
	})
	links.OnNotification(router, methodCancel, func(_ *links.Link, params cancelParams) {
		runner.Cancel(params.AttemptID)
	})
	links.OnCall(router, methodLoad, func(context.Context, *links.Link, loadParams) (loadResult, error) {
		return loadResult(runner.Load()), nil
	})
}

// FetchLoad asks an agent for its current load.
func FetchLoad(ctx context.Context, agent Peer) (Load, error) {
	var load loadResult
	err := agent.Call(ctx, methodLoad, loadParams{}, &load)
	return Load(load), err
}

func serveRun(ctx context.Context, peer Peer, runner Runner, params runParams) runResult {
	request := params.request(time.Now())
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	outcome := runAndSendParts(peer, func(deliver func(Part)) Outcome { return runner.Run(ctx, request, deliver) })
	return newRunResult(outcome, runner.Load(), time.Now())
}

func serveCollect(ctx context.Context, peer Peer, runner Runner, params collectParams) runResult {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(params.BudgetMS)*time.Millisecond)
	defer cancel()
	outcome := runAndSendParts(peer, func(deliver func(Part)) Outcome {
		return runner.Collect(ctx, params.AttemptID, params.AfterPart, deliver)
	})
	return newRunResult(outcome, runner.Load(), time.Now())
}

// NotifyAgentState sends the agent's state to the entry at the other end of the
// link.
func NotifyAgentState(peer Peer, state AgentState) error {
	return peer.Notify(methodState, state)
}

// OnAgentState registers the entry's handler of agent.state, which must not
// block.
func OnAgentState(router *links.Router, handler func(link *links.Link, state AgentState)) {
	links.OnNotification(router, methodState, handler)
}

// runAndSendParts runs the attempt and returns once its last part has been
// sent, so that the outcome follows the parts on the connection.
func runAndSendParts(peer Peer, run func(deliver func(Part)) Outcome) Outcome {
	sender := &partSender{peer: peer}
	outcome := run(sender.enqueue)
	sender.sends.Wait()
	return outcome
}

// enqueue queues a part. The sending goroutine runs only while parts are
// queued, so that an answer without parts needs neither a queue nor a
// goroutine.
func (sender *partSender) enqueue(part Part) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	if len(sender.queued) == maxQueuedParts {
		return
	}
	sender.queued = append(sender.queued, part)
	if !sender.sending {
		sender.sending = true
		sender.sends.Go(sender.send)
	}
}

func (sender *partSender) send() {
	for {
		parts := sender.takeQueued()
		if len(parts) == 0 {
			return
		}
		for _, part := range parts {
			// If the link has ended, the call that waits for the outcome fails too.
			_ = sender.peer.Notify(methodPart, partParams{AttemptID: part.AttemptID, Part: part.Number, Version: part.Version, Text: part.Text})
		}
	}
}

// takeQueued empties the queue. If the queue was already empty, the sending
// goroutine ends.
func (sender *partSender) takeQueued() []Part {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	parts := sender.queued
	sender.queued = nil
	sender.sending = len(parts) > 0
	return parts
}

func newRunParams(request Request, now time.Time) runParams {
	return runParams{
		AttemptID:    request.AttemptID,
		RequestID:    request.RequestID,
		Organisation: request.Organisation,
		Deployment:   request.Deployment,
		BudgetMS:     request.Deadline.Sub(now).Milliseconds(),
		Idempotent:   request.Idempotent,
		Priority:     request.Priority,
		Stream:       request.Stream,
		Body:         request.Body,
		AfterPart:    request.AfterPart,
		Version:      request.Version,
	}
}

func (params runParams) request(now time.Time) Request {
	return Request{
		AttemptID:    params.AttemptID,
		RequestID:    params.RequestID,
		Organisation: params.Organisation,
		Deployment:   params.Deployment,
		Deadline:     now.Add(time.Duration(params.BudgetMS) * time.Millisecond),
		Idempotent:   params.Idempotent,
		Priority:     params.Priority,
		Stream:       params.Stream,
		Body:         json.RawMessage(params.Body),
		AfterPart:    params.AfterPart,
		Version:      params.Version,
	}
}

func newRunResult(outcome Outcome, load Load, now time.Time) runResult {
	result := runResult{Running: load.Running, Queued: load.Queued, Slots: load.Slots}
	switch ended := outcome.(type) {
	case Answered:
		result.Outcome, result.Version, result.Parts = OutcomeAnswered, ended.Version, ended.Parts
		result.Digest, result.Body = ended.Digest, ended.Body
	case NotRun:
		result.Outcome, result.Reason, result.Message = OutcomeNotRun, ended.Code, ended.Message
		result.RetryAfterMS = retryAfterMS(ended.RetryAt, now)
	case Unknown:
		result.Outcome, result.Reason, result.Message = OutcomeUnknown, ended.Code, ended.Message
	default:
		result.Outcome, result.Reason = OutcomeUnknown, CodeOutcomeUnknown
		result.Message = "the agent returned an outcome of an unknown type"
	}
	return result
}

// retryAfterMS returns zero for the zero time, and otherwise at least one.
func retryAfterMS(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(1, at.Sub(now).Milliseconds())
}

func (result runResult) outcome(now time.Time) Outcome {
	switch result.Outcome {
	case OutcomeAnswered:
		return Answered{Version: result.Version, Parts: result.Parts, Digest: result.Digest, Body: json.RawMessage(result.Body)}
	case OutcomeNotRun:
		refusal := NotRun{Code: result.Reason, Message: result.Message}
		if result.RetryAfterMS > 0 {
			refusal.RetryAt = now.Add(time.Duration(result.RetryAfterMS) * time.Millisecond)
		}
		return refusal
	case OutcomeUnknown:
		return Unknown{Code: result.Reason, Message: result.Message}
	default:
		return Unknown{Code: CodeOutcomeUnknown, Message: "the agent sent an unknown outcome " + result.Outcome}
	}
}

// refusedByLink reports whether the peer's link refused the call before any
// handler saw it, so that the attempt can't have run.
func refusedByLink(err error) bool {
	var coded *jsonrpc2.Error
	if !errors.As(err, &coded) {
		return false
	}
	return coded.Code == links.CodeOverloaded || coded.Code == links.CodeUnauthenticated ||
		coded.Code == jsonrpc2.CodeMethodNotFound || coded.Code == jsonrpc2.CodeInvalidParams
}
