// Package invariants checks at run time the conditions that the programs must
// never violate. A violation is logged with its evidence and counted; in tests
// and long runs it also ends the process, so that later events can't hide the
// first cause.
package invariants

import (
	"os"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// ExitCode is the exit code of a process that ended because of a violation.
const ExitCode = 70

type (
	// Name identifies an invariant in logs and metrics.
	Name string

	// LoggingChecker logs and counts violations. It is safe for concurrent use.
	LoggingChecker struct {
		logger *zap.Logger
		scope  tally.Scope
		stop   func()
	}
)

// The invariants that the programs check.
const (
	// WholeVersion requires that a version is complete before a transfer reports it
	// as complete, before an engine is ordered to load it and before it is served. It
	// also requires that the served version does not change while requests run, so
	// that each answer comes from one version.
	WholeVersion Name = "whole_version"
	// OwnAnswer requires that a streamed answer consists of exactly the parts that
	// its caller received.
	OwnAnswer Name = "own_answer"
	// TrueRefusal requires that a request reported as not run has not run, does not
	// run later and has returned no part of an answer.
	TrueRefusal Name = "true_refusal"
	// AtMostOnce requires that an attempt which is not idempotent is sent to the
	// backend server at most once.
	AtMostOnce Name = "at_most_once"
	// NoWorkLeaving requires that no request starts while admission refuses
	// requests, for example because the backend server is leaving or loading.
	NoWorkLeaving Name = "no_work_leaving"
	// DrainedCleanly requires that no request is running when the time for a drain
	// is over.
	DrainedCleanly Name = "drained_cleanly"
	// RevisionForward requires that the revision of the configuration in force only
	// increases.
	RevisionForward Name = "revision_forward"
	// ChunkVerified requires that a chunk has the digest that its manifest states
	// when it is sent to an engine.
	ChunkVerified Name = "chunk_verified"
	// FenceForward requires that each new fencing token of an agent is higher than
	// the one before.
	FenceForward Name = "fence_forward"
	// OriginCap requires that a host reads a chunk from the origin only if the
	// selection of chunks allows it.
	OriginCap Name = "origin_cap"
)

// New returns a checker that logs and counts violations. If stopOnViolation is
// set, a violation also ends the process with ExitCode.
func New(logger *zap.Logger, scope tally.Scope, stopOnViolation bool) *LoggingChecker {
	stop := func() {}
	if stopOnViolation {
		stop = func() { os.Exit(ExitCode) }
	}
	return &LoggingChecker{logger: logger, scope: scope, stop: stop}
}

// NewForTest returns a checker that calls onViolation for each violation and
// neither logs nor ends the process.
func NewForTest(onViolation func(Name)) *TestChecker {
	return &TestChecker{onViolation: onViolation}
}

// TestChecker reports violations to a function.
type TestChecker struct {
	onViolation func(Name)
}

// Checker is the interface through which the libraries check invariants.
type Checker interface {
	// Check reports a violation of the invariant, with the evidence, if holds is
	// false.
	Check(holds bool, name Name, evidence ...zap.Field)
}

// Check implements Checker.
func (checker *TestChecker) Check(holds bool, name Name, _ ...zap.Field) {
	if !holds {
		checker.onViolation(name)
	}
}

// Check implements Checker.
func (checker *LoggingChecker) Check(holds bool, name Name, evidence ...zap.Field) {
	if holds {
		return
	}
	checker.scope.Tagged(map[string]string{"invariant": string(name)}).Counter("invariant_violations").Inc(1)
	checker.logger.Error("invariant violated", append(evidence, zap.String("invariant", string(name)))...)
	checker.stop()
}
