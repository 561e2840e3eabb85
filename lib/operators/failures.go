package operators

// This file turns errors into gRPC statuses with typed details, so that a
// program can tell why a call was refused and whether a repeat can help without
// reading the message.

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
	// Domain is the domain of every ErrorInfo.
	Domain = "firford"

	// Reasons of errors.

	// ReasonInvalid means that the object has findings; BadRequest holds them.
	ReasonInvalid = "INVALID"
	// ReasonConflict means that the object was changed since the caller read it.
	ReasonConflict = "CONFLICT"
	// ReasonRequestIDReused means that the request id made another change.
	ReasonRequestIDReused = "REQUEST_ID_REUSED"
	// ReasonStoreUnavailable means that the platform's table does not answer.
	ReasonStoreUnavailable = "STORE_UNAVAILABLE"
	// ReasonBusy means that other changes won every race.
	ReasonBusy = "BUSY"
	// ReasonOutcomeUnknown means that the change may have been accepted.
	ReasonOutcomeUnknown = "OUTCOME_UNKNOWN"
	// ReasonNotFound means that there is no such object.
	ReasonNotFound = "NOT_FOUND"
	// ReasonNotApplicable means that the rollout is not in a state for the call.
	ReasonNotApplicable = "NOT_APPLICABLE"
	// ReasonUnauthenticated means that the token is not an operator's.
	ReasonUnauthenticated = "UNAUTHENTICATED"
	// ReasonNoConfiguration means that the entry has no configuration yet.
	ReasonNoConfiguration = "NO_CONFIGURATION"
	// ReasonNotProvided means that the entry does not provide this call.
	ReasonNotProvided = "NOT_PROVIDED"
	// ReasonInternal means a fault of the entry.
	ReasonInternal = "INTERNAL"

	// Values of the metadata key retry.

	// RetryNever means that the same call can't succeed.
	RetryNever = "never"
	// RetrySame means that the call may be repeated with the same request id.
	RetrySame = "same_request_id"
	// RetryAfterReading means that the caller has to read the object again first.
	RetryAfterReading = "after_reading"

	// Keys of the metadata of ErrorInfo.

	// KeyRetry holds one of the Retry values.
	KeyRetry = "retry"
	// KeyCurrentRevision holds the revision of the object's last change.
	KeyCurrentRevision = "current_revision"

	// A store outage lasts longer than a lost race.
	pauseAfterOutage = 5 * time.Second
	pauseAfterRace   = time.Second
)

// failure is an error with everything that the caller is told. Pause is how
// long to wait before a repeat.
type failure struct {
	code     codes.Code
	reason   string
	message  string
	retry    string
	current  string
	pause    *durationpb.Duration
	problems []findings.Finding
}

// statusOf returns the gRPC status of an error of a change.
func statusOf(err error) error {
	if err == nil {
		return nil
	}
	if _, already := status.FromError(err); already {
		return err
	}
	return classify(err).status()
}

func classify(err error) failure {
	var invalid *findings.Error
	var conflict *configurations.ConflictError
	var reused *configurations.ReusedIDError
	result := failure{code: codes.Unavailable, message: err.Error(), retry: RetrySame}
	switch {
	case errors.As(err, &invalid):
		result.code, result.reason, result.retry = codes.InvalidArgument, ReasonInvalid, RetryNever
		result.problems = invalid.List.All()
	case errors.As(err, &conflict):
		result.code, result.reason, result.retry = codes.Aborted, ReasonConflict, RetryAfterReading
		result.current = strconv.FormatInt(conflict.CurrentRevision, 10)
	case errors.As(err, &reused):
		result.code, result.reason, result.retry = codes.AlreadyExists, ReasonRequestIDReused, RetryNever
	case errors.Is(err, platform.ErrOutcomeUnknown):
		result.reason = ReasonOutcomeUnknown
		result.pause = durationpb.New(pauseAfterOutage)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		result.reason = ReasonStoreUnavailable
		result.pause = durationpb.New(pauseAfterOutage)
	case errors.Is(err, configurations.ErrBusy):
		result.reason = ReasonBusy
		result.pause = durationpb.New(pauseAfterRace)
	default:
		result.code, result.reason, result.retry = codes.Internal, ReasonInternal, RetryNever
	}
	return result
}

func (result failure) status() error {
	info := &errdetails.ErrorInfo{Reason: result.reason, Domain: Domain, Metadata: map[string]string{KeyRetry: result.retry}}
	if result.current != "" {
		info.Metadata[KeyCurrentRevision] = result.current
	}
	details := []protoadapt.MessageV1{info}
	if result.pause != nil {
		details = append(details, &errdetails.RetryInfo{RetryDelay: result.pause})
	}
	if len(result.problems) > 0 {
		bad := &errdetails.BadRequest{}
		for _, problem := range result.problems {
			key := problem.Key
			problem.Key = ""
			bad.FieldViolations = append(bad.FieldViolations, &errdetails.BadRequest_FieldViolation{Field: key, Description: problem.String()})
		}
		details = append(details, bad)
	}
	detailed, err := status.New(result.code, result.message).WithDetails(details...)
	if err != nil {
		return status.Error(result.code, result.message)
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

func notProvided(what string) error {
	return failure{code: codes.Unimplemented, reason: ReasonNotProvided, retry: RetryNever, message: "this entry does not provide " + what}.status()
}
