package requests

// Requests that are not idempotent run at most once for each key. The claim
// names the one attempt that may run and the agent that alone can tell what
// became of it. A repeat of the key never sends that attempt again: it collects
// the answer, or has the agent record that the attempt will never run and then
// takes the claim over.

import (
	"context"
	"errors"
	"time"

	"firford/lib/platform"
)

const (
	// A claim may change hands while a repeat looks at it; after so many changes
	// the outcome is reported as unknown.
	maxClaimChanges = 3
	// A repeat waits before it resolves a running claim. Resolving an attempt that
	// its entry is about to send ends it, and two crossed requests that resolve
	// each other's attempts would both go without an answer. Sending takes a few
	// milliseconds, but more on an overloaded host, so the time doubles with each
	// change of the claim.
	resolveGrace = 100 * time.Millisecond
)

// runClaimed runs a request that is not idempotent.
func (dispatcher *Dispatcher) runClaimed(ctx context.Context, call Call, passed *progress) Outcome {
	if dispatcher.claims == nil {
		return storeUnavailable("there is no store for claims")
	}
	key := claimKey(call.Request.Organisation, call.Key)
	held, found := dispatcher.agents.pick(call.Request.Deployment, "", nil, time.Now())
	if !found {
		return dispatcher.withoutAgent(ctx, call, key, passed)
	}
	return dispatcher.claimAndRun(ctx, call, held, claim{key: key}, passed, maxClaimChanges)
}

func storeUnavailable(reason string) NotRun {
	return NotRun{Code: CodeStoreUnavailable, Message: reason, RetryAt: time.Now().Add(defaultRetryAfter)}
}

// withoutAgent answers a repeat even when no agent takes new requests.
func (dispatcher *Dispatcher) withoutAgent(ctx context.Context, call Call, key string, passed *progress) Outcome {
	found, err := dispatcher.claims.read(ctx, key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return noAgent()
	case err != nil:
		return storeUnavailable("the claim could not be read")
	}
	return dispatcher.repeat(ctx, call, found, passed, maxClaimChanges)
}

// claimAndRun writes the claim in the place of the given one and runs the
// request on the held agent. Nothing leaves the entry before the claim is
// certain.
func (dispatcher *Dispatcher) claimAndRun(ctx context.Context, call Call, held *lease, replaced claim, passed *progress, changes int) Outcome {
	record := newClaimRecord(call, held, dispatcher.agents.self.Name)
	own, result := dispatcher.claims.put(ctx, replaced.key, replaced.revision, record)
	switch {
	case result.err != nil:
		held.release()
		dispatcher.claims.later(claimTask{held: claim{key: replaced.key, record: record}})
		if replaced.revision != 0 {
			return Unknown{Code: CodeOutcomeUnknown, Message: "another entry may have taken the key: " + result.err.Error()}
		}
		return storeUnavailable(result.err.Error())
	case !result.won:
		held.release()
		return dispatcher.conflicted(ctx, call, result.row, passed, changes)
	}
	call.Request.AttemptID = record.AttemptID
	outcome := dispatcher.attempt(ctx, held, call.Request, passed)
	return dispatcher.conclude(ctx, call, own, outcome, passed, changes)
}

func newClaimRecord(call Call, held *lease, entry string) claimRecord {
	return claimRecord{
		AttemptID:     NewID(),
		Agent:         held.name,
		Incarnation:   held.incarnation,
		Entry:         entry,
		State:         claimRunning,
		Deployment:    call.Request.Deployment,
		RequestDigest: requestDigest(call.Request),
		Stream:        call.Request.Stream,
	}
}

// requestDigest identifies what the caller asked for, so that a key that is
// used for another request is noticed.
func requestDigest(request Request) string {
	return BodyDigest(append([]byte(request.Deployment+"\n"), request.Body...))
}

// conflicted continues with the claim that another request holds.
func (dispatcher *Dispatcher) conflicted(ctx context.Context, call Call, row platform.Row, passed *progress, changes int) Outcome {
	if changes == 0 {
		return Unknown{Code: CodeOutcomeUnknown, Message: "the claim changed too often"}
	}
	if row.Revision == 0 {
		return Unknown{Code: CodeOutcomeUnknown, Message: "the claim was released by another entry"}
	}
	found, err := decodeClaim(row)
	if err != nil {
		return Unknown{Code: CodeOutcomeUnknown, Message: err.Error()}
	}
	return dispatcher.repeat(ctx, call, found, passed, changes-1)
}

// conclude records the outcome of an attempt. A refusal holds only while the
// claim is still the own one: another entry that resolved the refused attempt
// may have taken the key over.
func (dispatcher *Dispatcher) conclude(ctx context.Context, call Call, own claim, outcome Outcome, passed *progress, changes int) Outcome {
	switch ended := outcome.(type) {
	case Answered:
		dispatcher.claims.later(claimTask{held: own, outcome: answeredRecord(own.record, ended, passed)})
		return ended
	case NotRun:
		return dispatcher.withdraw(ctx, call, own, ended, passed, changes)
	default:
		return outcome
	}
}

// withdraw releases the claim of an attempt that was refused, or gives it to
// another agent.
func (dispatcher *Dispatcher) withdraw(ctx context.Context, call Call, own claim, refusal NotRun, passed *progress, changes int) Outcome {
	if changes > 0 && ctx.Err() == nil && retryable(refusal) && dispatcher.mayRetry() {
		tried := map[string]bool{own.record.Agent: true}
		if held, found := dispatcher.agents.pick(call.Request.Deployment, "", tried, time.Now()); found {
			return dispatcher.claimAndRun(ctx, call, held, own, passed, changes-1)
		}
	}
	result := dispatcher.claims.remove(ctx, own)
	switch {
	case result.err != nil:
		dispatcher.claims.later(claimTask{held: own})
		return Unknown{Code: CodeOutcomeUnknown, Message: "the claim could not be released: " + result.err.Error()}
	case !result.won:
		return dispatcher.conflicted(ctx, call, result.row, passed, changes)
	}
	return refusal
}

// answeredRecord is the claim of an answered request, with the answer where it
// is short enough for the table.
func answeredRecord(record claimRecord, end Answered, passed *progress) *claimRecord {
	record.State = claimAnswered
	record.Version, record.Parts, record.Digest = end.Version, end.Parts, end.Digest
	if record.Stream {
		texts, kept := passed.kept()
		if kept {
			record.Texts, record.Kept = texts, true
		}
		return &record
	}
	if len(end.Body) <= maxKeptBytes {
		record.Body, record.Kept = end.Body, true
	}
	return &record
}

// repeat answers a key that was used before.
func (dispatcher *Dispatcher) repeat(ctx context.Context, call Call, found claim, passed *progress, changes int) Outcome {
	record := found.record
	if record.RequestDigest != requestDigest(call.Request) || record.Stream != call.Request.Stream {
		return NotRun{Code: CodeKeyReused, Message: "the key belongs to another request"}
	}
	if record.State == claimAnswered && record.Kept {
		return replay(record, passed)
	}
	pause(ctx, resolveGrace<<(maxClaimChanges-changes))
	state, peer, done, err := dispatcher.resolve(ctx, record)
	if err != nil {
		return lostAnswer(record, err.Error())
	}
	defer done()
	switch state {
	case AttemptRunning, AttemptAnswered:
		return dispatcher.collect(ctx, call, found, peer, passed)
	case AttemptNotRun:
		if record.State == claimAnswered {
			return lostAnswer(record, "the agent does not know the attempt")
		}
		return dispatcher.takeOver(ctx, call, found, passed, changes)
	default:
		return lostAnswer(record, "the agent that ran the request has restarted")
	}
}

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// lostAnswer is the outcome of a repeat whose agent can't tell.
func lostAnswer(record claimRecord, reason string) Outcome {
	if record.State == claimAnswered {
		return NotKept{Answered: Answered{Version: record.Version, Parts: record.Parts, Digest: record.Digest}}
	}
	return Unknown{Code: CodeOutcomeUnknown, Message: reason}
}

func replay(record claimRecord, passed *progress) Outcome {
	for index, text := range record.Texts {
		passed.pass(Part{AttemptID: record.AttemptID, Number: index + 1, Text: text})
	}
	return Answered{Version: record.Version, Parts: record.Parts, Digest: record.Digest, Body: record.Body}
}

// resolve asks the agent that a claim names. done ends the use of the peer.
func (dispatcher *Dispatcher) resolve(ctx context.Context, record claimRecord) (AttemptState, Peer, func(), error) {
	peer, done, err := dispatcher.agents.reach(ctx, record.Agent)
	if err != nil {
		return "", nil, nil, err
	}
	state, err := ResolveAttempt(ctx, peer, record.AttemptID, record.Incarnation)
	if err != nil {
		done()
		return "", nil, nil, err
	}
	return state, peer, done, nil
}

// collect follows the attempt of the claim to its end.
func (dispatcher *Dispatcher) collect(ctx context.Context, call Call, found claim, peer Peer, passed *progress) Outcome {
	call.Request.AttemptID = found.record.AttemptID
	attempt := dispatcher.client.NewAttempt(call.Request, passed.pass)
	defer attempt.Close()
	outcome, err := attempt.Collect(ctx, peer)
	if err != nil {
		return lostAnswer(found.record, err.Error())
	}
	end, answered := outcome.(Answered)
	if !answered {
		return lostAnswer(found.record, "the attempt ended without an answer")
	}
	if found.record.State == claimRunning {
		dispatcher.claims.later(claimTask{held: found, outcome: answeredRecord(found.record, end, passed)})
	}
	return end
}

// takeOver replaces a claim whose attempt will never run.
func (dispatcher *Dispatcher) takeOver(ctx context.Context, call Call, found claim, passed *progress, changes int) Outcome {
	held, available := dispatcher.agents.pick(call.Request.Deployment, "", nil, time.Now())
	if !available {
		result := dispatcher.claims.remove(ctx, found)
		if result.err == nil && result.won {
			return noAgent()
		}
		return Unknown{Code: CodeNoBackendServer, Message: "no backend server of the deployment takes requests"}
	}
	return dispatcher.claimAndRun(ctx, call, held, found, passed, changes)
}

// Lookup reports the outcome of an earlier request that was not idempotent.
// The state is running while the request is in progress.
func (dispatcher *Dispatcher) Lookup(ctx context.Context, organisation, key string) (AttemptState, Answered, error) {
	if dispatcher.claims == nil {
		return "", Answered{}, ErrClaimNotWritten
	}
	found, err := dispatcher.claims.read(ctx, claimKey(organisation, key))
	if err != nil {
		return "", Answered{}, err
	}
	record := found.record
	if record.State == claimAnswered {
		return AttemptAnswered, Answered{Version: record.Version, Parts: record.Parts, Digest: record.Digest, Body: record.Body}, nil
	}
	state, _, done, err := dispatcher.resolve(ctx, record)
	if err != nil {
		return AttemptUnknown, Answered{}, nil
	}
	done()
	return state, Answered{}, nil
}
