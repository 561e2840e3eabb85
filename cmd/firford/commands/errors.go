package commands

// This file prints errors with their reason and whether the command can be
// repeated, and maps them to exit codes.

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

// errorView is an error as it is printed, with the exit code that it leads to.
type errorView struct {
	Error           string   `json:"error"`
	Reason          string   `json:"reason,omitempty"`
	Retry           string   `json:"retry"`
	RetryAfterMS    int64    `json:"retry_after_ms,omitempty"`
	CurrentRevision string   `json:"current_revision,omitempty"`
	RequestID       string   `json:"request_id,omitempty"`
	Findings        []string `json:"findings,omitempty"`
	code            int
}

// changeError is the error of a change, with the request id under which the
// change can be repeated.
type changeError struct {
	requestID string
	err       error
}

func (change *changeError) Error() string { return change.err.Error() }
func (change *changeError) Unwrap() error { return change.err }

// finish prints the error, if any, and returns the exit code.
func (session *session) finish(err error) int {
	if err == nil {
		return ExitDone
	}
	view := newErrorView(err)
	if session.arguments.JSON {
		if view.code == ExitIncomplete {
			return view.code // The document that the command printed shows the reason.
		}
		encoded, _ := json.Marshal(view) // Strings and numbers can always be encoded.
		_, _ = fmt.Fprintf(session.out, "%s\n", encoded)
	} else {
		_, _ = fmt.Fprint(session.errOut, view.text())
	}
	return view.code
}

// newErrorView returns the description of an error and its exit code.
func newErrorView(err error) errorView {
	view := errorView{Error: err.Error(), Retry: operators.RetryNever, code: ExitFailed}
	var change *changeError
	if errors.As(err, &change) {
		view.RequestID = change.requestID
		err = change.err
	}
	var exitErr *exitError
	var invalid *findings.Error
	switch {
	case errors.As(err, &exitErr):
		view.code = exitErr.code
	case errors.As(err, &invalid):
		view.code, view.Reason = ExitInvalid, operators.ReasonInvalid
		view.Error = fmt.Sprintf("%d findings", invalid.List.Len())
		for _, finding := range invalid.List.All() {
			view.Findings = append(view.Findings, finding.String())
		}
	default:
		if received, isStatus := status.FromError(err); isStatus {
			view.applyStatus(received)
		}
	}
	return view
}

// applyStatus takes over the message and the details of the entry's status.
func (view *errorView) applyStatus(received *status.Status) {
	view.Error = received.Message()
	for _, detail := range received.Details() {
		switch detail := detail.(type) {
		case *errdetails.ErrorInfo:
			view.Reason = detail.GetReason()
			view.Retry = detail.GetMetadata()[operators.MetadataRetry]
			view.CurrentRevision = detail.GetMetadata()[operators.MetadataCurrentRevision]
		case *errdetails.RetryInfo:
			view.RetryAfterMS = detail.GetRetryDelay().AsDuration().Milliseconds()
		case *errdetails.BadRequest:
			view.Error = fmt.Sprintf("%d findings", len(detail.GetFieldViolations()))
			for _, violation := range detail.GetFieldViolations() {
				view.Findings = append(view.Findings, violation.GetField()+": "+violation.GetDescription())
			}
		}
	}
	if view.Reason == "" {
		view.applyTransportError(received.Code())
	}
	view.code = exitCode(view.Reason)
}

// applyTransportError sets the reason of an error that does not come from the
// entry's service. The call may have reached the entry before the connection was
// lost, so the outcome of a change is unknown.
func (view *errorView) applyTransportError(code codes.Code) {
	switch code {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		view.Reason, view.Retry = operators.ReasonOutcomeUnknown, operators.RetrySameRequestID
		if view.RequestID == "" {
			view.Reason = "ENTRY_UNAVAILABLE"
		}
	default:
		view.Reason = operators.ReasonInternal
	}
}

// exitCode returns the exit code for the reason of an error.
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

func (view errorView) text() string {
	text := "firford: " + view.Error + "\n"
	for _, finding := range view.Findings {
		text += "  " + finding + "\n"
	}
	if view.Reason != "" {
		text += "reason: " + view.Reason + "\n"
	}
	switch {
	case view.code == ExitIncomplete:
	case view.Retry == operators.RetrySameRequestID && view.RequestID != "":
		text += "retry:  yes, with --request-id " + view.RequestID + view.retryDelay() + "\n"
	case view.Retry == operators.RetrySameRequestID:
		text += "retry:  yes" + view.retryDelay() + "\n"
	case view.Retry == operators.RetryAfterReading && view.CurrentRevision != "0":
		text += "retry:  after reading the object again; it was last changed in revision " + view.CurrentRevision + "\n"
	case view.Retry == operators.RetryAfterReading:
		text += "retry:  no, the object does not exist\n"
	default:
		text += "retry:  no, the same call would fail again\n"
	}
	return text
}

// retryDelay returns how long to wait before the command is repeated, or an
// empty text if the entry did not name a time.
func (view errorView) retryDelay() string {
	if view.RetryAfterMS == 0 {
		return ""
	}
	return fmt.Sprintf(", in %d s", (view.RetryAfterMS+999)/1000)
}
