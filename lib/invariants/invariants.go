// Package invariants asserts inside the programs what must always hold. A
// violation is logged with its evidence and counted; in tests and long runs it
// also stops the process, so that no later event can hide the first cause.
package invariants

import (
	"os"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// ExitCode is the exit code of a process that a violation stopped.
const ExitCode = 70

type (
	// Name identifies an invariant in logs and metrics.
	Name string

	// Checker records violations. It is safe for concurrent use.
	Checker struct {
		logger *zap.Logger
		scope  tally.Scope
		stop   func()
	}
)

// The invariants that the programs assert.
const (
	WholeVersion    Name = "whole_version"
	OwnAnswer       Name = "own_answer"
	TrueRefusal     Name = "true_refusal"
	AtMostOnce      Name = "at_most_once"
	NoWorkLeaving   Name = "no_work_leaving"
	DrainedCleanly  Name = "drained_cleanly"
	RevisionForward Name = "revision_forward"
	ChunkVerified   Name = "chunk_verified"
	FenceForward    Name = "fence_forward"
	OriginCap       Name = "origin_cap"
)

// New returns a checker that only records. With stopping set, a violation ends
// the process with ExitCode.
func New(logger *zap.Logger, scope tally.Scope, stopping bool) *Checker {
	stop := func() {}
	if stopping {
		stop = func() { os.Exit(ExitCode) }
	}
	return &Checker{logger: logger, scope: scope, stop: stop}
}

// NewForTest returns a checker that calls violated instead of ending the process.
func NewForTest(violated func(Name)) *TestChecker {
	return &TestChecker{violated: violated}
}

// TestChecker hands violations to a function.
type TestChecker struct {
	violated func(Name)
}

// Asserter is what the libraries need of a checker.
type Asserter interface {
	// Check records a violation of the invariant unless holds is true.
	Check(holds bool, name Name, evidence ...zap.Field)
}

// Check implements Asserter.
func (checker *TestChecker) Check(holds bool, name Name, _ ...zap.Field) {
	if !holds {
		checker.violated(name)
	}
}

// Check implements Asserter.
func (checker *Checker) Check(holds bool, name Name, evidence ...zap.Field) {
	if holds {
		return
	}
	checker.scope.Tagged(map[string]string{"invariant": string(name)}).Counter("invariant_violations").Inc(1)
	checker.logger.Error("invariant violated", append(evidence, zap.String("invariant", string(name)))...)
	checker.stop()
}
