package requests

// The entry's side of an attempt. All links of the process share one table of
// attempts, because the parts of an attempt continue on another connection when
// the first one has gone silent. A table for each link could not follow them
// there.

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
	"firford/lib/waits"
)

const (
	idBytes = 16
	// Limit on collecting a truncated answer over one connection, and on
	// continuing an attempt over new connections.
	maxCollectAttempts = 3
	// Pause before a call is repeated that an overloaded link has refused, and
	// limit on such calls.
	refusedCallPause = 100 * time.Millisecond
	maxRefusedCalls  = 5
)

type (
	// Client passes incoming parts on to the attempts of this process. It is
	// safe for concurrent use.
	Client struct {
		mutex    sync.Mutex
		attempts map[string][]*Attempt
	}

	// Attempt is one attempt to run a request on an agent. Its methods must be
	// called by one goroutine; parts may arrive over any connection.
	Attempt struct {
		client  *Client
		request Request

		mutex   sync.Mutex
		parts   *partSequence
		deliver func(Part)
		closed  bool
		load    Load
	}
)

// Errors of an attempt.
var (
	// ErrConnectionLost means that the connection ended, stayed silent or refused
	// to continue before the outcome arrived.
	ErrConnectionLost = errors.New("the connection ended before the outcome arrived")
	// ErrRefusedByLink means that the link refused the call, so nothing has
	// run.
	ErrRefusedByLink = errors.New("the peer refused the call before its handler")
)

// NewID returns a random 128-bit value in hex.
func NewID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id) // crypto/rand never fails on supported systems.
	return hex.EncodeToString(id)
}

// NewClient returns a client and registers its handler for parts with the
// router.
func NewClient(router *links.Router) *Client {
	client := &Client{attempts: map[string][]*Attempt{}}
	links.OnNotification(router, methodPart, func(_ *links.Link, params partParams) {
		client.receive(params)
	})
	return client
}

// NewAttempt registers an attempt, so that parts reach it; Run or Collect sends
// it. A repeat of a key may follow an attempt at the same time as the request
// that began it. deliver receives each part once and in order, must not block,
// and is not called after Close has returned.
func (client *Client) NewAttempt(request Request, deliver func(Part)) *Attempt {
	attempt := &Attempt{client: client, request: request, deliver: deliver, parts: newPartSequence(request.AfterPart)}
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
	if !attempt.closed && attempt.parts.accept(part) {
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
	remaining := slices.DeleteFunc(client.attempts[id], func(each *Attempt) bool { return each == attempt })
	if len(remaining) == 0 {
		delete(client.attempts, id)
		return
	}
	client.attempts[id] = remaining
}

// LastPart returns the number of the last delivered part.
func (attempt *Attempt) LastPart() int {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	return attempt.parts.lastPart
}

// Load returns the load that the agent reported with its last answer.
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
	if refusedByLink(err) {
		return nil, fmt.Errorf("%w: %w", ErrRefusedByLink, err)
	}
	return attempt.verifiedOutcome(ctx, peer, result, err)
}

// Collect continues the attempt over another connection to the same agent.
func (attempt *Attempt) Collect(ctx context.Context, peer Peer) (Outcome, error) {
	result, err := attempt.requestCollect(ctx, peer)
	return attempt.verifiedOutcome(ctx, peer, result, err)
}

func (attempt *Attempt) requestCollect(ctx context.Context, peer Peer) (runResult, error) {
	var result runResult
	params := collectParams{
		AttemptID: attempt.request.AttemptID,
		AfterPart: attempt.LastPart(),
		BudgetMS:  time.Until(attempt.request.Deadline).Milliseconds(),
	}
	err := callAboutAttempt(ctx, peer, methodCollect, params, &result)
	return result, err
}

// verifiedOutcome returns the outcome of a call after verifying its answer. A
// truncated answer is collected again over the same connection, because the
// agent still holds all of its parts.
func (attempt *Attempt) verifiedOutcome(ctx context.Context, peer Peer, result runResult, err error) (Outcome, error) {
	for range maxCollectAttempts {
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrConnectionLost, err)
		}
		attempt.recordLoad(result)
		outcome := result.outcome(time.Now())
		end, answered := outcome.(Answered)
		if !answered {
			return outcome, nil
		}
		if attempt.verify(end) == nil {
			return end, nil
		}
		result, err = attempt.requestCollect(ctx, peer)
	}
	return Unknown{Code: CodeStreamBroken, Message: "the answer does not match its digest"}, nil
}

// callAboutAttempt calls the peer about an attempt that was sent before. An
// overloaded link refuses the call, which says nothing about the attempt, so the
// call is repeated a few times.
func callAboutAttempt(ctx context.Context, peer Peer, method string, params, result any) error {
	err := peer.Call(ctx, method, params, result)
	for range maxRefusedCalls {
		if !refusedByLink(err) || !waits.Sleep(ctx, refusedCallPause) {
			break
		}
		err = peer.Call(ctx, method, params, result)
	}
	return err
}

func (attempt *Attempt) recordLoad(result runResult) {
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
	return attempt.parts.verify(end)
}

// ResolveAttempt asks the agent for the state of an attempt. Only the
// incarnation that the attempt was sent to has a record of it; for any other
// one the state is AttemptUnknown.
func ResolveAttempt(ctx context.Context, peer Peer, attemptID, incarnation string) (AttemptState, error) {
	if peer.Peer().Incarnation != incarnation {
		return AttemptUnknown, nil
	}
	var result resolveResult
	params := resolveParams{AttemptID: attemptID, Incarnation: incarnation}
	if err := callAboutAttempt(ctx, peer, methodResolve, params, &result); err != nil {
		return "", fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	return result.State, nil
}

// CancelAttempt tells the agent that the attempt's answer is no longer wanted.
// If the message is lost, the agent completes an answer that nobody reads.
func CancelAttempt(peer Peer, attemptID string) {
	_ = peer.Notify(methodCancel, cancelParams{AttemptID: attemptID})
}
