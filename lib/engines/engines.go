// Package engines implements the agent's client of its one backend server,
// which is an engine or a plain service.
//
// Each exchange owns its connection until the answer has been read to the end,
// so that an answer can't be mistaken for that of a later request. The
// connection pool of fasthttp's client was rejected for two reasons: it can't
// interrupt a streamed read without a fixed timeout, and it doesn't report
// whether a request had been sent before an error.
package engines

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Codes with which a backend server refuses a request. A refusal with one of
// them means that nothing was executed.
const (
	CodeLoading      = "loading"
	CodeOverloaded   = "overloaded"
	CodeLeaving      = "leaving"
	CodeMalformed    = "malformed"
	CodeNotServing   = "not_serving"
	CodeStaleToken   = "stale_token"
	CodeUnknownOrder = "unknown_order"
	CodeIncomplete   = "incomplete"
)

type (
	// Generation is a request for tokens. Tokens up to ResumeFrom are not sent
	// again. AtMostOnce means that the request must not run twice. It is then sent
	// on a new connection, because if the server has closed a pooled one, it
	// remains unknown whether the request arrived.
	Generation struct {
		RequestID  string
		Prompt     string
		MaxTokens  int
		Priority   int
		ResumeFrom int
		AtMostOnce bool
	}

	// Token is one piece of an answer. The first has sequence number 1.
	Token struct {
		Sequence int
		Text     string
	}

	// Completion describes the end of a complete answer. Tokens counts all of its
	// tokens, including those before a resumption.
	Completion struct {
		Tokens  int
		Version string
	}

	// Call is one call to a plain service. AtMostOnce has the same meaning as in
	// Generation.
	Call struct {
		RequestID  string
		Call       string
		Arguments  json.RawMessage
		AtMostOnce bool
	}

	// Answer is the answer of a plain service. Version is empty if the service
	// doesn't state one.
	Answer struct {
		Version string
		Body    json.RawMessage
	}

	// Status is what a backend server reports about itself. Running and Queued lag
	// behind its actual load. FailedOrder names the last order whose load has
	// failed.
	Status struct {
		Version        string `json:"version"`
		ManifestDigest string `json:"manifest_digest"`
		OrderID        string `json:"order_id"`
		FailedOrder    string `json:"failed_order"`
		Loading        bool   `json:"loading"`
		Running        int    `json:"running"`
		Queued         int    `json:"queued"`
		Slots          int    `json:"slots"`
		Leaving        bool   `json:"leaving"`
	}

	// Order announces a version to an engine. An engine may refuse a fencing token
	// that is lower than one it has seen.
	Order struct {
		FencingToken   int64  `json:"fencing_token"`
		OrderID        string `json:"order_id"`
		ManifestDigest string `json:"manifest_digest"`
		Version        string `json:"version"`
		Size           int64  `json:"size"`
	}

	// RefusedError reports that the backend server refused the request and
	// executed nothing. RetryAt is zero if the server named no time.
	RefusedError struct {
		Status  int
		Code    string
		RetryAt time.Time
	}

	// UnreachableError reports that nothing was sent.
	UnreachableError struct {
		Err error
	}

	// InterruptedError reports that the request was sent but no complete answer
	// was received, so that the request may have run. Silent is set if the
	// connection made no progress for the silence limit; ServerAlive then tells
	// whether the backend server answered on a new connection.
	InterruptedError struct {
		Err         error
		Silent      bool
		ServerAlive bool
	}
)

func (refused *RefusedError) Error() string {
	return fmt.Sprintf("backend server refused with status %d: %s", refused.Status, refused.Code)
}

func (unreachable *UnreachableError) Error() string {
	return fmt.Sprintf("backend server unreachable: %v", unreachable.Err)
}

// Unwrap returns the underlying error.
func (unreachable *UnreachableError) Unwrap() error { return unreachable.Err }

func (interrupted *InterruptedError) Error() string {
	if interrupted.Silent {
		return fmt.Sprintf("connection to the backend server is silent, server alive %t: %v", interrupted.ServerAlive, interrupted.Err)
	}
	return fmt.Sprintf("exchange with the backend server interrupted: %v", interrupted.Err)
}

// Unwrap returns the underlying error.
func (interrupted *InterruptedError) Unwrap() error { return interrupted.Err }

// MayHaveRun reports whether a request that failed with the error may have been
// executed. Errors of unknown type count as such.
func MayHaveRun(err error) bool {
	var refused *RefusedError
	var unreachable *UnreachableError
	return err != nil && !errors.As(err, &refused) && !errors.As(err, &unreachable)
}

// HasRefusalCode reports whether the error is a refusal with the code.
func HasRefusalCode(err error, code string) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Code == code
}
