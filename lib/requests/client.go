package requests

// The entry's end of an attempt. All links of the process share one table of
// attempts, because the parts of an attempt continue on another connection when
// the first one has gone silent. A table for each link was dropped for that
// reason.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"firford/lib/links"
)

const (
	idBytes = 16
	// A truncated answer is collected again so often on one connection.
	maxCollects = 3
)

type (
	// Client matches answers to the attempts of this process. It is safe for
	// concurrent use.
	Client struct {
		mutex    sync.Mutex
		attempts map[string][]*Attempt
	}

	// Attempt is one attempt at an agent. Its methods are called by one goroutine;
	// parts arrive from any connection.
	Attempt struct {
		client  *Client
		request Request

		mutex   sync.Mutex
		answer  *assembly
		deliver func(Part)
		closed  bool
		load    Load
	}
)

// Errors of an attempt.
var (
	// ErrConnectionLost says that the connection ended or stayed silent before the outcome.
	ErrConnectionLost = errors.New("the connection ended before the outcome arrived")
	// ErrRefusedByLink says that the link refused the call, so that nothing has run.
	ErrRefusedByLink = errors.New("the peer refused the call before its handler")
)

// NewID returns a random 128-bit value in hex.
func NewID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id) // crypto/rand never fails on supported systems.
	return hex.EncodeToString(id)
}

// NewClient returns a client and registers its notifications with the router.
func NewClient(router *links.Router) *Client {
	client := &Client{attempts: map[string][]*Attempt{}}
	links.OnNotification(router, methodPart, func(_ *links.Link, params partParams) {
		client.receive(params)
	})
	return client
}

// NewAttempt prepares an attempt. A repeat of a key may follow the same attempt
// beside the request that began it. deliver gets each part once and in order, must not
// block, and is not called after Close has returned.
func (client *Client) NewAttempt(request Request, deliver func(Part)) *Attempt {
	attempt := &Attempt{client: client, request: request, deliver: deliver, answer: newAssembly(request.AfterPart)}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.attempts[request.AttemptID] = append(client.attempts[request.AttemptID], attempt)
	return attempt
}

func (client *Client) receive(params partParams) {
	client.mutex.Lock()
	attempts := slices.Clone(client.attempts[params.AttemptID])
	client.mutex.Unlock()
	for _, attempt := range attempts {
		attempt.receive(Part{AttemptID: params.AttemptID, Version: params.Version, Number: params.Part, Text: params.Text})
	}
}

func (attempt *Attempt) receive(part Part) {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if !attempt.closed && attempt.answer.accept(part) {
		attempt.deliver(part)
	}
}

// Close ends the attempt. Parts that arrive later are dropped.
func (attempt *Attempt) Close() {
	attempt.client.remove(attempt)
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	attempt.closed = true
}

func (client *Client) remove(attempt *Attempt) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	id := attempt.request.AttemptID
	left := slices.DeleteFunc(client.attempts[id], func(each *Attempt) bool { return each == attempt })
	if len(left) == 0 {
		delete(client.attempts, id)
		return
	}
	client.attempts[id] = left
}

// LastPart returns the number of the last part that was delivered.
func (attempt *Attempt) LastPart() int {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	return attempt.answer.last
}

// Load returns the load that the agent stated with its last answer.
func (attempt *Attempt) Load() Load {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	return attempt.load
}

// Run sends the attempt over the peer's connection and waits for its outcome.
// It is called at most once. ErrConnectionLost means that the attempt may be
// running, ErrRefusedByLink that it is not running and never will.
func (attempt *Attempt) Run(ctx context.Context, peer Peer) (Outcome, error) {
	var result runResult
	err := peer.Call(ctx, methodRun, newRunParams(attempt.request, time.Now()), &result)
	return attempt.conclude(ctx, peer, result, err)
}

// Collect continues the attempt over another connection to the same agent.
func (attempt *Attempt) Collect(ctx context.Context, peer Peer) (Outcome, error) {
	result, err := attempt.collect(ctx, peer)
	return attempt.conclude(ctx, peer, result, err)
}

func (attempt *Attempt) collect(ctx context.Context, peer Peer) (runResult, error) {
	var result runResult
	params := collectParams{
		AttemptID: attempt.request.AttemptID,
		AfterPart: attempt.LastPart(),
		BudgetMS:  time.Until(attempt.request.Deadline).Milliseconds(),
	}
	err := peer.Call(ctx, methodCollect, params, &result)
	return result, err
}

// conclude verifies an answer. A truncated one is collected on the same
// connection, because the agent still holds all of its parts.
func (attempt *Attempt) conclude(ctx context.Context, peer Peer, result runResult, err error) (Outcome, error) {
	for range maxCollects {
		if err != nil {
			return nil, classify(err)
		}
		attempt.note(result)
		outcome := result.outcome(time.Now())
		end, answered := outcome.(Answered)
		if !answered {
			return outcome, nil
		}
		if attempt.verify(end) == nil {
			return end, nil
		}
		result, err = attempt.collect(ctx, peer)
	}
	return Unknown{Code: CodeStreamBroken, Message: "the answer does not match its digest"}, nil
}

func classify(err error) error {
	if refusedByLink(err) {
		return fmt.Errorf("%w: %w", ErrRefusedByLink, err)
	}
	return fmt.Errorf("%w: %w", ErrConnectionLost, err)
}

func (attempt *Attempt) note(result runResult) {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	attempt.load = Load{Running: result.Running, Queued: result.Queued, Slots: result.Slots}
}

func (attempt *Attempt) verify(end Answered) error {
	if !attempt.request.Stream {
		return verifyBody(end)
	}
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	return attempt.answer.verify(end)
}

// ResolveAttempt asks the agent what is known of an attempt. Only the incarnation
// that the attempt was sent to can know; another one has no record of it.
func ResolveAttempt(ctx context.Context, peer Peer, attemptID, incarnation string) (AttemptState, error) {
	if peer.Peer().Incarnation != incarnation {
		return AttemptUnknown, nil
	}
	var result resolveResult
	params := resolveParams{AttemptID: attemptID, Incarnation: incarnation}
	if err := peer.Call(ctx, methodResolve, params, &result); err != nil {
		return "", classify(err)
	}
	return result.State, nil
}

// CancelAttempt tells the agent that nobody waits for the attempt any more. A lost
// message costs only work that nobody reads.
func CancelAttempt(peer Peer, attemptID string) {
	_ = peer.Notify(methodCancel, cancelParams{AttemptID: attemptID})
}
