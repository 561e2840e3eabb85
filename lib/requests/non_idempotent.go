package requests

// Requests that are not idempotent run at most once for each key. The claim
// names the one attempt that may run and its agent; only that agent knows the
// attempt's state. A repeat of the key never sends the attempt again: it either
// collects the answer, or has the agent record that the attempt will never run
// and then takes the claim over.

import (
	"context"
	"errors"
	"time"

	"firford/lib/platform"
	"firford/lib/waits"
)

const (
	// The claim may change while a repeat handles it. After this many changes
	// the outcome is reported as unknown.
	maxClaimChanges = 3
	// Delay before a repeat resolves a running claim. Resolving an attempt that
	// its entry has not sent yet ends that attempt, so two concurrent requests
	// could resolve each other's attempts and both go unanswered. Sending takes
	// a few milliseconds, but more on an overloaded host, so the delay doubles
	// with each change of the claim.
	resolveDelay = 100 * time.Millisecond
)

// runNonIdempotent claims the key of a request that is not idempotent and runs
// the request.
func (dispatcher *Dispatcher) runNonIdempotent(ctx context.Context, incoming IncomingRequest, delivered *progress) Outcome {
	if dispatcher.claims == nil {
		return storeUnavailable(errNoClaimStore.Error())
	}
	key := claimKey(incoming.Request.Organisation, incoming.Key)
	reserved, found := dispatcher.agents.reserve(incoming.Request.Deployment, "", nil, time.Now())
	if !found {
		return dispatcher.repeatWithoutAgent(ctx, incoming, key, delivered)
	}
	return dispatcher.claimAndRun(ctx, incoming, reserved, claim{key: key}, delivered, maxClaimChanges)
}

func storeUnavailable(reason string) NotRun {
	return NotRun{Code: CodeStoreUnavailable, Message: reason, RetryAt: time.Now().Add(defaultRetryAfter)}
}

// repeatWithoutAgent answers a repeat of a key even if no agent takes new
// requests.
func (dispatcher *Dispatcher) repeatWithoutAgent(ctx context.Context, incoming IncomingRequest, key string, delivered *progress) Outcome {
	found, err := dispatcher.claims.read(ctx, key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return noAgentAvailable()
	case err != nil:
		return storeUnavailable("the claim could not be read")
	}
	return dispatcher.answerRepeat(ctx, incoming, found, delivered, maxClaimChanges)
}

// claimAndRun replaces the given claim by a new one and runs the request on the
// reserved agent. Nothing leaves the entry before the claim is known to be
// written.
func (dispatcher *Dispatcher) claimAndRun(ctx context.Context, incoming IncomingRequest, reserved *reservation, replaced claim, delivered *progress, changesLeft int) Outcome {
	record := newClaimRecord(incoming, reserved, dispatcher.agents.self.Name)
	own, result := dispatcher.claims.put(ctx, replaced.key, replaced.revision, record)
	switch {
	case result.err != nil:
		reserved.release()
		dispatcher.claims.enqueueTask(claimTask{claim: claim{key: replaced.key, record: record}})
		if replaced.revision != 0 {
			return Unknown{Code: CodeOutcomeUnknown, Message: "another entry may have taken the key: " + result.err.Error()}
		}
		return storeUnavailable(result.err.Error())
	case !result.applied:
		reserved.release()
		return dispatcher.handleConflict(ctx, incoming, result.row, delivered, changesLeft)
	}
	incoming.Request.AttemptID = record.AttemptID
	outcome := dispatcher.runAttempt(ctx, reserved, incoming.Request, delivered)
	return dispatcher.recordOutcome(ctx, incoming, own, outcome, delivered, changesLeft)
}

func newClaimRecord(incoming IncomingRequest, reserved *reservation, entry string) claimRecord {
	return claimRecord{
		AttemptID:     NewID(),
		Agent:         reserved.name,
		Incarnation:   reserved.incarnation,
		Entry:         entry,
		State:         claimRunning,
		Deployment:    incoming.Request.Deployment,
		RequestDigest: requestDigest(incoming.Request),
		Stream:        incoming.Request.Stream,
	}
}

// requestDigest identifies the content of the request, so that the use of a key
// for another request is detected.
func requestDigest(request Request) string {
	return BodyDigest(append([]byte(request.Deployment+"\n"), request.Body...))
}

// handleConflict continues with the claim that another request has written.
func (dispatcher *Dispatcher) handleConflict(ctx context.Context, incoming IncomingRequest, row platform.Row, delivered *progress, changesLeft int) Outcome {
	if changesLeft == 0 {
		return Unknown{Code: CodeOutcomeUnknown, Message: "the claim changed too often"}
	}
	if row.Revision == 0 {
		return Unknown{Code: CodeOutcomeUnknown, Message: "the claim was released by another entry"}
	}
	found, err := decodeClaim(row)
	if err != nil {
		return Unknown{Code: CodeOutcomeUnknown, Message: err.Error()}
	}
	return dispatcher.answerRepeat(ctx, incoming, found, delivered, changesLeft-1)
}

// recordOutcome records the outcome of an attempt. A refusal is valid only
// while this entry still holds the claim: another entry may have resolved the
// refused attempt and taken the key over.
func (dispatcher *Dispatcher) recordOutcome(ctx context.Context, incoming IncomingRequest, own claim, outcome Outcome, delivered *progress, changesLeft int) Outcome {
	switch ended := outcome.(type) {
	case Answered:
		dispatcher.claims.enqueueTask(claimTask{claim: own, outcome: answeredRecord(own.record, ended, delivered)})
		return ended
	case NotRun:
		return dispatcher.reassignOrRelease(ctx, incoming, own, ended, delivered, changesLeft)
	default:
		return outcome
	}
}

// reassignOrRelease moves the claim of a refused attempt to another agent and
// runs the request there, or deletes the claim.
func (dispatcher *Dispatcher) reassignOrRelease(ctx context.Context, incoming IncomingRequest, own claim, refusal NotRun, delivered *progress, changesLeft int) Outcome {
	if changesLeft > 0 && ctx.Err() == nil && retryable(refusal) && dispatcher.takeRetry() {
		tried := map[string]bool{own.record.Agent: true}
		if reserved, found := dispatcher.agents.reserve(incoming.Request.Deployment, "", tried, time.Now()); found {
			return dispatcher.claimAndRun(ctx, incoming, reserved, own, delivered, changesLeft-1)
		}
	}
	result := dispatcher.claims.remove(ctx, own)
	switch {
	case result.err != nil:
		dispatcher.claims.enqueueTask(claimTask{claim: own})
		return Unknown{Code: CodeOutcomeUnknown, Message: "the claim could not be released: " + result.err.Error()}
	case !result.applied:
		return dispatcher.handleConflict(ctx, incoming, result.row, delivered, changesLeft)
	}
	return refusal
}

// answeredRecord returns the claim of an answered request. It contains the
// answer if that is short enough for the table.
func answeredRecord(record claimRecord, end Answered, delivered *progress) *claimRecord {
	record.State = claimAnswered
	record.Version, record.Parts, record.Digest = end.Version, end.Parts, end.Digest
	if record.Stream {
		texts, kept := delivered.keptTexts()
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

// answerRepeat answers a request whose key has been used before.
func (dispatcher *Dispatcher) answerRepeat(ctx context.Context, incoming IncomingRequest, found claim, delivered *progress, changesLeft int) Outcome {
	record := found.record
	if record.RequestDigest != requestDigest(incoming.Request) || record.Stream != incoming.Request.Stream {
		return NotRun{Code: CodeKeyReused, Message: "the key belongs to another request"}
	}
	if record.State == claimAnswered && record.Kept {
		return replayAnswer(record, delivered)
	}
	waits.Sleep(ctx, resolveDelay<<(maxClaimChanges-changesLeft))
	state, peer, done, err := dispatcher.resolveClaim(ctx, record)
	if err != nil {
		return unavailableAnswer(record, err.Error())
	}
	defer done()
	switch state {
	case AttemptRunning, AttemptAnswered:
		return dispatcher.collectAnswer(ctx, incoming, found, peer, delivered)
	case AttemptNotRun:
		if record.State == claimAnswered {
			return unavailableAnswer(record, "the agent does not know the attempt")
		}
		return dispatcher.takeOver(ctx, incoming, found, delivered, changesLeft)
	default:
		return unavailableAnswer(record, "the agent that ran the request has restarted")
	}
}

// unavailableAnswer returns the outcome of a repeat whose answer can't be
// obtained from the agent.
func unavailableAnswer(record claimRecord, reason string) Outcome {
	if record.State == claimAnswered {
		return NotKept{Answered: Answered{Version: record.Version, Parts: record.Parts, Digest: record.Digest}}
	}
	return Unknown{Code: CodeOutcomeUnknown, Message: reason}
}

func replayAnswer(record claimRecord, delivered *progress) Outcome {
	for index, text := range record.Texts {
		delivered.deliverPart(Part{AttemptID: record.AttemptID, Number: index + 1, Text: text})
	}
	return Answered{Version: record.Version, Parts: record.Parts, Digest: record.Digest, Body: record.Body}
}

// resolveClaim asks the agent of the claim for the state of the attempt. The
// returned function must be called once the peer is no longer used.
func (dispatcher *Dispatcher) resolveClaim(ctx context.Context, record claimRecord) (AttemptState, Peer, func(), error) {
	peer, done, err := dispatcher.agents.connect(ctx, record.Agent)
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

// collectAnswer collects the answer to the claim's attempt, and records it if
// the claim does not name it yet.
func (dispatcher *Dispatcher) collectAnswer(ctx context.Context, incoming IncomingRequest, found claim, peer Peer, delivered *progress) Outcome {
	incoming.Request.AttemptID = found.record.AttemptID
	attempt := dispatcher.client.NewAttempt(incoming.Request, delivered.deliverPart)
	defer attempt.Close()
	outcome, err := attempt.Collect(ctx, peer)
	if err != nil {
		return unavailableAnswer(found.record, err.Error())
	}
	end, answered := outcome.(Answered)
	if !answered {
		return unavailableAnswer(found.record, "the attempt ended without an answer")
	}
	if found.record.State == claimRunning {
		dispatcher.claims.enqueueTask(claimTask{claim: found, outcome: answeredRecord(found.record, end, delivered)})
	}
	return end
}

// takeOver replaces a claim whose attempt will never run, and runs the request.
func (dispatcher *Dispatcher) takeOver(ctx context.Context, incoming IncomingRequest, found claim, delivered *progress, changesLeft int) Outcome {
	reserved, available := dispatcher.agents.reserve(incoming.Request.Deployment, "", nil, time.Now())
	if !available {
		result := dispatcher.claims.remove(ctx, found)
		if result.err == nil && result.applied {
			return noAgentAvailable()
		}
		return Unknown{Code: CodeNoBackendServer, Message: "no backend server of the deployment takes requests"}
	}
	return dispatcher.claimAndRun(ctx, incoming, reserved, found, delivered, changesLeft)
}

// Lookup returns the state of an earlier request that was not idempotent, and
// its answer if the claim records one. The state is AttemptRunning while the
// request is in progress.
func (dispatcher *Dispatcher) Lookup(ctx context.Context, organisation, key string) (AttemptState, Answered, error) {
	if dispatcher.claims == nil {
		return "", Answered{}, errNoClaimStore
	}
	found, err := dispatcher.claims.read(ctx, claimKey(organisation, key))
	if err != nil {
		return "", Answered{}, err
	}
	record := found.record
	if record.State == claimAnswered {
		return AttemptAnswered, Answered{Version: record.Version, Parts: record.Parts, Digest: record.Digest, Body: record.Body}, nil
	}
	state, _, done, err := dispatcher.resolveClaim(ctx, record)
	if err != nil {
		return AttemptUnknown, Answered{}, nil
	}
	done()
	return state, Answered{}, nil
}
