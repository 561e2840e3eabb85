// Package admissions is the agent's half of the request path: the queue in
// front of one backend server, and the record of which attempts have run.
//
// Admission is decided here and not at the entries, because only the agent knows
// exactly what is running; entries would have to agree on each slot. The
// decisions are in a ledger that takes the time as an argument and opens no
// socket; Queue adds the lock, the goroutines and the backend server.
package admissions

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/engines"
	"firford/lib/invariants"
)

type (
	// Backend is what the queue needs of a backend server. *engines.Client
	// implements it.
	Backend interface {
		Generate(ctx context.Context, generation engines.Generation, deliver func(engines.Token)) (engines.Completion, error)
		Call(ctx context.Context, call engines.Call) (engines.Answer, error)
		Status(ctx context.Context) (engines.Status, error)
		Cancel(ctx context.Context, requestID string) error
	}

	// Dependencies are what a queue is built from. Deployment names the one whose
	// requests the backend server runs; its type in the configuration decides
	// between engine and plain service. Changed, which may be nil, is told the code
	// with which the queue refuses new work from now on, or nothing when it takes
	// work; it must not block or call the queue.
	Dependencies struct {
		Deployment        string
		Backend           Backend
		Source            configurations.Source
		Limits            Limits
		Logger            *zap.Logger
		Scope             tally.Scope
		Checker           invariants.Asserter
		OnAdmissionChange func(refusing string)
	}

	// Limits are the settings of a queue. Zero values mean the defaults.
	Limits struct {
		MaxWaiting          int           // Requests that wait at most.
		MaxWaitingBytes     int64         // Bodies of waiting requests in total.
		MaxKeptAnswers      int           // Finished answers kept for collection.
		MaxKeptBytes        int64         // Their size in total.
		MaxAnswerBytes      int           // Size of one answer.
		ExecutedFilterBytes int           // Memory that marks attempts that may have run.
		RefusedFilterIDs    int           // Never-run records of one generation; two are kept.
		MaxRequestTime      time.Duration // Longest time that a request may take.
		AnswerRetention     time.Duration // How long after its deadline a non-idempotent answer is kept.
		OrphanTimeout       time.Duration // How long an idempotent attempt runs without anybody waiting for it.
		StatusInterval      time.Duration // Time between two questions for the backend server's status.
	}
)

// WithDefaults returns the limits with every zero value replaced.
func (limits Limits) WithDefaults() Limits {
	replace(&limits.MaxWaiting, 1024)
	replace(&limits.MaxWaitingBytes, 64<<20)
	replace(&limits.MaxKeptAnswers, 4096)
	replace(&limits.MaxKeptBytes, 32<<20)
	replace(&limits.MaxAnswerBytes, 1<<20)
	replace(&limits.ExecutedFilterBytes, 16<<20)
	replace(&limits.RefusedFilterIDs, 1<<20)
	replace(&limits.MaxRequestTime, 10*time.Minute)
	replace(&limits.AnswerRetention, time.Minute)
	replace(&limits.OrphanTimeout, 10*time.Second)
	// Leaving must be noticed within 3 s: one interval and two time-outs of 1 s.
	replace(&limits.StatusInterval, 500*time.Millisecond)
	return limits
}

func replace[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
