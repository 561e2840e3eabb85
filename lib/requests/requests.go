// Package requests carries a caller's request to the one agent that runs it
// and its answer back.
//
// A request ends in one of three outcomes that are never confused: answered,
// not run, or unknown. Only who knows may say "not run": an entry before
// anything has left it, or an agent that has recorded that it will never run
// the attempt. Everything else that fails is unknown.
package requests

import (
	"context"
	"encoding/json"
	"time"
)

// Codes of refusals and unknown outcomes. They are part of the caller's API.
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

// States of an attempt as its agent knows them.
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
	// 128-bit value in hex that is never reused; RequestID stays the same when the
	// request is tried again. Parts up to AfterPart have reached the caller before;
	// Version then names the version that made them, and only that one may go on.
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
	// Version is the one that the backend server was serving when the attempt
	// began; it is empty for plain services.
	Part struct {
		AttemptID string
		Version   string
		Number    int
		Text      string
	}

	// Outcome is how an attempt ended: Answered, NotRun or Unknown. A repeat of a
	// key may also end as NotKept.
	Outcome interface {
		outcome()
	}

	// Answered carries the end of a whole answer. Parts is the number of the last
	// streamed part. Digest is the BLAKE3 hash in hex of the texts of all parts
	// after the request's AfterPart, also when they are collected in pieces, or of
	// Body where the answer was not streamed. Version is the one that the engine
	// stated.
	Answered struct {
		Version string
		Parts   int
		Digest  string
		Body    json.RawMessage
	}

	// NotRun says that the attempt has not run and never will. RetryAt is when
	// the caller may come back; the zero time means that a repeat can't help.
	NotRun struct {
		Code    string
		Message string
		RetryAt time.Time
	}

	// Unknown says that nobody can tell whether the attempt ran.
	Unknown struct {
		Code    string
		Message string
	}

	// NotKept says that the request was answered before and that its answer can't
	// be sent again. Only a repeat of a key ends so.
	NotKept struct {
		Answered Answered
	}

	// Load is what an agent tells of its backend server. Slots is how many
	// requests it runs at once.
	Load struct {
		Running int
		Queued  int
		Slots   int
	}

	// Runner runs attempts beside one backend server. It is implemented by the
	// agent's admission queue and is safe for concurrent use.
	Runner interface {
		// Run runs the attempt at most once and returns how it ended, by its
		// deadline. deliver gets the parts of a streamed answer in order; it must not
		// block. A second Run of the same AttemptID joins the first.
		Run(ctx context.Context, request Request, deliver func(Part)) Outcome
		// Collect continues an attempt that another connection has started.
		Collect(ctx context.Context, attemptID string, afterPart int, deliver func(Part)) Outcome
		// Resolve returns what is known of the attempt. For an attempt that has not
		// arrived it first records that the attempt will never run.
		Resolve(attemptID string) AttemptState
		// Cancel ends an attempt that nobody waits for any more.
		Cancel(attemptID string)
		// Load returns the load of this moment.
		Load() Load
	}
)

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}
func (NotKept) outcome()  {}
