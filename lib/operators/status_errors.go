package operators

// This file converts errors to gRPC statuses with typed details, so that a
// program can tell from the details, without parsing the message, why a call
// failed and whether to retry it.

import (
	"context"
	"errors"
	"strconv"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"firford/lib/configurations"
	"firford/lib/findings"
	"firford/lib/platform"
)

const (
	// ErrorDomain is the domain of every ErrorInfo in the statuses of this service.
	ErrorDomain = "firford"

	// Values of ErrorInfo.Reason.

	// ReasonInvalid means that the request or its object is not valid. For an
	// invalid object, BadRequest lists each finding.
	ReasonInvalid = "INVALID"
	// ReasonConflict means that the object has changed since the caller read it.
	ReasonConflict = "CONFLICT"
	// ReasonRequestIDReused means that the request id was used for another change.
	ReasonRequestIDReused = "REQUEST_ID_REUSED"
	// ReasonStoreUnavailable means that the platform's table is unavailable.
	ReasonStoreUnavailable = "STORE_UNAVAILABLE"
	// ReasonBusy means that concurrent changes won every attempt to commit.
	ReasonBusy = "BUSY"
	// ReasonOutcomeUnknown means that the store's answer was lost, so the change
	// may or may not have been committed.
	ReasonOutcomeUnknown = "OUTCOME_UNKNOWN"
	// ReasonNotFound means that the object does not exist.
	ReasonNotFound = "NOT_FOUND"
	// ReasonNotApplicable means that the rollout's state does not allow the call.
	ReasonNotApplicable = "NOT_APPLICABLE"
	// ReasonUnauthenticated means that the call has no valid operator token.
	ReasonUnauthenticated = "UNAUTHENTICATED"
	// ReasonNoConfiguration means that the entry has not received a configuration
	// yet.
	ReasonNoConfiguration = "NO_CONFIGURATION"
	// ReasonNotProvided means that the entry was started without a dependency that
	// the call needs.
	ReasonNotProvided = "NOT_PROVIDED"
	// ReasonInternal means an unexpected error in the entry.
	ReasonInternal = "INTERNAL"

	// Values of the metadata key MetadataRetry.

	// RetryNever means that a retry of the same call would fail again.
	RetryNever = "never"
	// RetrySameRequestID means that the call may be retried with the same request
	// id.
	RetrySameRequestID = "same_request_id"
	// RetryAfterReading means that the caller has to read the object again before
	// a retry.
	RetryAfterReading = "after_reading"

	// Keys of ErrorInfo.Metadata.

	// MetadataRetry holds one of the Retry values.
	MetadataRetry = "retry"
	// MetadataCurrentRevision holds the revision of the object's last change. It
	// is present with ReasonConflict only.
	MetadataCurrentRevision = "current_revision"

	// Delays before a retry. A store outage lasts longer than a burst of
	// conflicting changes.
	outageRetryDelay   = 5 * time.Second
	conflictRetryDelay = time.Second
)

// failure holds everything that the caller is told about a failed call. The
// current revision, the delay before a retry and the findings are optional.
type failure struct {
	code            codes.Code
	reason          string
	message         string
	retry           string
	currentRevision string
	retryDelay      *durationpb.Duration
	findings        []findings.Finding
}

// statusError converts an error to a gRPC status error. Errors that already
// have a status are returned unchanged.
func statusError(err error) error {
	if err == nil {
		return nil
	}
	if _, isStatus := status.FromError(err); isStatus {
		return err
	}
	return classify(err).status()
}

// classify derives the code, reason and retry advice from the error's type.
func classify(err error) failure {
	var invalid *findings.Error
	var conflict *configurations.ConflictError
	var reused *configurations.ReusedIDError
	result := failure{code: codes.Unavailable, message: err.Error(), retry: RetrySameRequestID}
	switch {
	case errors.As(err, &invalid):
		result.code, result.reason, result.retry = codes.InvalidArgument, ReasonInvalid, RetryNever
		result.findings = invalid.List.All()
	case errors.As(err, &conflict):
		result.code, result.reason, result.retry = codes.Aborted, ReasonConflict, RetryAfterReading
		result.currentRevision = strconv.FormatInt(conflict.CurrentRevision, 10)
	case errors.As(err, &reused):
		result.code, result.reason, result.retry = codes.AlreadyExists, ReasonRequestIDReused, RetryNever
	case errors.Is(err, platform.ErrOutcomeUnknown):
		result.reason = ReasonOutcomeUnknown
		result.retryDelay = durationpb.New(outageRetryDelay)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		result.reason = ReasonStoreUnavailable
		result.retryDelay = durationpb.New(outageRetryDelay)
	case errors.Is(err, configurations.ErrBusy):
		result.reason = ReasonBusy
		result.retryDelay = durationpb.New(conflictRetryDelay)
	default:
		result.code, result.reason, result.retry = codes.Internal, ReasonInternal, RetryNever
	}
	return result
}

// status returns the gRPC status error with its typed details.
func (failure failure) status() error {
	info := &errdetails.ErrorInfo{Reason: failure.reason, Domain: ErrorDomain, Metadata: map[string]string{MetadataRetry: failure.retry}}
	if failure.currentRevision != "" {
		info.Metadata[MetadataCurrentRevision] = failure.currentRevision
	}
	details := []protoadapt.MessageV1{info}
	if failure.retryDelay != nil {
		details = append(details, &errdetails.RetryInfo{RetryDelay: failure.retryDelay})
	}
	if len(failure.findings) > 0 {
		badRequest := &errdetails.BadRequest{}
		for _, finding := range failure.findings {
			key := finding.Key
			finding.Key = ""
			badRequest.FieldViolations = append(badRequest.FieldViolations, &errdetails.BadRequest_FieldViolation{Field: key, Description: finding.String()})
		}
		details = append(details, badRequest)
	}
	detailed, err := status.New(failure.code, failure.message).WithDetails(details...)
	if err != nil {
		return status.Error(failure.code, failure.message)
	}
	return detailed.Err()
}

func notFound(kind, name string) error {
	return failure{
		code: codes.NotFound, reason: ReasonNotFound, retry: RetryNever,
		message: kind + " " + name + " does not exist",
	}.status()
}

func notApplicable(message string) error {
	return failure{code: codes.FailedPrecondition, reason: ReasonNotApplicable, retry: RetryNever, message: message}.status()
}

func invalid(message string) error {
	return failure{code: codes.InvalidArgument, reason: ReasonInvalid, retry: RetryNever, message: message}.status()
}

func notProvided(feature string) error {
	return failure{code: codes.Unimplemented, reason: ReasonNotProvided, retry: RetryNever, message: "this entry does not provide " + feature}.status()
}
