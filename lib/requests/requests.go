// Package requests carries a caller's request from an entry to the agent that
// runs it, and carries the answer back.
//
// A request ends with one of three outcomes: answered, not run or unknown. "Not
// run" is a guarantee, so only two parties may report it: an entry that has
// sent nothing of the request yet, or an agent that has recorded that it will
// never run the attempt. Every other failure is reported as unknown.
package requests

import (
	"context"
	"encoding/json"
	"time"
)

// Codes of refusals and unknown outcomes. They are part of the caller HTTP API.
const (
	CodeMalformed           = "malformed"
	CodeTooLarge            = "too_large"
	CodeUnauthenticated     = "unauthenticated"
	CodeUnknownOrganisation = "unknown_organisation"
	CodeUnknownDeployment   = "unknown_deployment"
	CodeDeadlineExpired     = "deadline_expired"
	CodeLimitReached        = "limit_reached"
	CodeOverloaded          = "overloaded"
	CodeNoBackendServer     = "no_backend_server"
	CodeLeaving             = "leaving"
	CodeNotServing          = "not_serving"
	CodeStoreUnavailable    = "store_unavailable"
	CodeCancelled           = "cancelled"
	CodeOutcomeUnknown      = "outcome_unknown"
	CodeStreamBroken        = "stream_broken"
	CodeKeyReused           = "key_reused"
	CodeUnknownKey          = "unknown_key"
	CodeAnswerNotKept       = "answer_not_kept"
	CodeUnknownPath         = "unknown_path"
)

// States of an attempt as reported by its agent.
const (
	AttemptRunning  AttemptState = "running"
	AttemptAnswered AttemptState = "answered"
	AttemptNotRun   AttemptState = "not_run"
	AttemptUnknown  AttemptState = "unknown"
)

type (
	// AttemptState is one of the Attempt constants.
	AttemptState string

	// Request is one attempt to run a caller's request. AttemptID is a random
	// 128-bit value in hex that is never reused; RequestID stays the same when
	// the request is retried. When a stream is resumed, the caller already has
	// the parts up to AfterPart, and Version names the version that produced
	// them: no other version may continue the stream.
	Request struct {
		AttemptID    string
		RequestID    string
		Organisation string
		Deployment   string
		Deadline     time.Time
		Idempotent   bool
		Priority     int
		Stream       bool
		Body         json.RawMessage
		AfterPart    int
		Version      string
	}

	// Part is one numbered piece of a streamed answer; the first has number 1.
	// Version is the version that the backend server was serving when the
	// attempt began; it is empty for plain services.
	Part struct {
		AttemptID string
		Version   string
		Number    int
		Text      string
	}

	// Outcome is how an attempt ended: Answered, NotRun or Unknown. A repeated
	// request key may also end as NotKept.
	Outcome interface {
		outcome()
	}

	// Answered is the outcome of a complete answer. Parts is the number of the
	// last streamed part. Digest is the BLAKE3 hash in hex of the texts of all
	// parts after the request's AfterPart, even if they were collected over
	// several connections, or of Body if the answer was not streamed. Version
	// is the version that the engine reported.
	Answered struct {
		Version string
		Parts   int
		Digest  string
		Body    json.RawMessage
	}

	// NotRun guarantees that the attempt has not run and never will. RetryAt is
	// when the caller may retry; the zero time means that a retry can't
	// succeed.
	NotRun struct {
		Code    string
		Message string
		RetryAt time.Time
	}

	// Unknown means that it is not known whether the attempt ran.
	Unknown struct {
		Code    string
		Message string
	}

	// NotKept means that the request was answered earlier, but its answer is no
	// longer stored and can't be sent again. Only a repeated request key ends
	// this way.
	NotKept struct {
		Answered Answered
	}

	// Load is an agent's report on its backend server. Slots is the number of
	// requests that the backend server runs at once.
	Load struct {
		Running int
		Queued  int
		Slots   int
	}

	// Runner runs attempts on one backend server. The agent's admission queue
	// implements it. Implementations are safe for concurrent use.
	Runner interface {
		// Run runs the attempt at most once and returns its outcome by the
		// attempt's deadline. deliver receives the parts of a streamed answer
		// in order; it must not block. A second Run of the same AttemptID joins
		// the first.
		Run(ctx context.Context, request Request, deliver func(Part)) Outcome
		// Collect delivers the parts after afterPart of an attempt that was
		// started over another connection, and returns its outcome.
		Collect(ctx context.Context, attemptID string, afterPart int, deliver func(Part)) Outcome
		// Resolve returns the state of the attempt. If the attempt has not
		// arrived, Resolve first records that it will never run.
		Resolve(attemptID string) AttemptState
		// Cancel ends an attempt whose answer is no longer wanted.
		Cancel(attemptID string)
		// Load returns the current load.
		Load() Load
	}
)

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}
func (NotKept) outcome()  {}
