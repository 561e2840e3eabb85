package commands

// This file shows errors with their reason and whether a repeat can help, and
// chooses the exit code.

import (
	"encoding/json"
	"errors"
	"fmt"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"firford/lib/findings"
	"firford/lib/operators"
)

// shownError is an error as --json prints it.
type shownError struct {
	Error           string   `json:"error"`
	Reason          string   `json:"reason,omitempty"`
	Retry           string   `json:"retry"`
	RetryAfterMS    int64    `json:"retry_after_ms,omitempty"`
	CurrentRevision string   `json:"current_revision,omitempty"`
	RequestID       string   `json:"request_id,omitempty"`
	Findings        []string `json:"findings,omitempty"`
	code            int
}

// changeError is an error of a change with the request id to repeat it with.
type changeError struct {
	requestID string
	err       error
}

func (change *changeError) Error() string { return change.err.Error() }
func (change *changeError) Unwrap() error { return change.err }

// end prints the error and returns the exit code.
func (session *session) end(err error) int {
	if err == nil {
		return ExitDone
	}
	shown := describe(err)
	if session.arguments.JSON {
		if shown.code == ExitIncomplete {
			return shown.code // The document that was printed says it.
		}
		encoded, _ := json.Marshal(shown) // Strings and numbers always encode.
		_, _ = fmt.Fprintf(session.out, "%s\n", encoded)
	} else {
		_, _ = fmt.Fprint(session.errors, shown.text())
	}
	return shown.code
}

func describe(err error) shownError {
	shown := shownError{Error: err.Error(), Retry: operators.RetryNever, code: ExitFailed}
	var change *changeError
	if errors.As(err, &change) {
		shown.RequestID = change.requestID
		err = change.err
	}
	var coded *codedError
	var invalid *findings.Error
	switch {
	case errors.As(err, &coded):
		shown.code = coded.code
	case errors.As(err, &invalid):
		shown.code, shown.Reason = ExitInvalid, operators.ReasonInvalid
		shown.Error = fmt.Sprintf("%d findings", invalid.List.Len())
		for _, finding := range invalid.List.All() {
			shown.Findings = append(shown.Findings, finding.String())
		}
	default:
		if answered, is := status.FromError(err); is {
			shown.read(answered)
		}
	}
	return shown
}

// read takes over what the entry said.
func (shown *shownError) read(answered *status.Status) {
	shown.Error = answered.Message()
	for _, detail := range answered.Details() {
		switch detail := detail.(type) {
		case *errdetails.ErrorInfo:
			shown.Reason = detail.GetReason()
			shown.Retry = detail.GetMetadata()[operators.MetadataRetry]
			shown.CurrentRevision = detail.GetMetadata()[operators.MetadataCurrentRevision]
		case *errdetails.RetryInfo:
			shown.RetryAfterMS = detail.GetRetryDelay().AsDuration().Milliseconds()
		case *errdetails.BadRequest:
			shown.Error = fmt.Sprintf("%d findings", len(detail.GetFieldViolations()))
			for _, violation := range detail.GetFieldViolations() {
				shown.Findings = append(shown.Findings, violation.GetField()+": "+violation.GetDescription())
			}
		}
	}
	if shown.Reason == "" {
		shown.transport(answered.Code())
	}
	shown.code = exitCode(shown.Reason)
}

// transport describes an error that did not come from the entry's service. The
// call may have reached the entry before the connection was lost.
func (shown *shownError) transport(code codes.Code) {
	switch code {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		shown.Reason, shown.Retry = operators.ReasonOutcomeUnknown, operators.RetrySameRequestID
		if shown.RequestID == "" {
			shown.Reason = "ENTRY_UNAVAILABLE"
		}
	default:
		shown.Reason = operators.ReasonInternal
	}
}

func exitCode(reason string) int {
	switch reason {
	case operators.ReasonInvalid:
		return ExitInvalid
	case operators.ReasonConflict, operators.ReasonNotFound, operators.ReasonNotApplicable, operators.ReasonNotProvided,
		operators.ReasonUnauthenticated, operators.ReasonRequestIDReused:
		return ExitRefused
	case operators.ReasonStoreUnavailable, operators.ReasonBusy, operators.ReasonNoConfiguration, "ENTRY_UNAVAILABLE":
		return ExitUnavailable
	case operators.ReasonOutcomeUnknown:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

func (shown shownError) text() string {
	text := "firford: " + shown.Error + "\n"
	for _, finding := range shown.Findings {
		text += "  " + finding + "\n"
	}
	if shown.Reason != "" {
		text += "reason: " + shown.Reason + "\n"
	}
	switch {
	case shown.code == ExitIncomplete:
	case shown.Retry == operators.RetrySameRequestID && shown.RequestID != "":
		text += "retry:  yes, with --request-id " + shown.RequestID + shown.pause() + "\n"
	case shown.Retry == operators.RetrySameRequestID:
		text += "retry:  yes" + shown.pause() + "\n"
	case shown.Retry == operators.RetryAfterReading && shown.CurrentRevision != "0":
		text += "retry:  after reading the object again; it was last changed in revision " + shown.CurrentRevision + "\n"
	case shown.Retry == operators.RetryAfterReading:
		text += "retry:  no, the object does not exist\n"
	default:
		text += "retry:  no, the same call would fail again\n"
	}
	return text
}

func (shown shownError) pause() string {
	if shown.RetryAfterMS == 0 {
		return ""
	}
	return fmt.Sprintf(", in %d s", (shown.RetryAfterMS+999)/1000)
}
