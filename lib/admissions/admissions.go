// Package admissions implements the agent's side of the request path: the queue in
// front of one backend server, admission control, and the record of which attempts
// may have run.
//
// The agent decides on admission, not the entries, because only the agent knows
// exactly what is running; entries would have to agree on every slot. The
// scheduler makes the decisions. It takes the time as an argument and opens no
// sockets, so tests can simulate it. Queue adds the lock, the goroutines and the
// calls to the backend server.
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
	// Backend is the client of a backend server. *engines.Client implements it.
	Backend interface {
		Generate(ctx context.Context, generation engines.Generation, deliver func(engines.Token)) (engines.Completion, error)
		Call(ctx context.Context, call engines.Call) (engines.Answer, error)
		Status(ctx context.Context) (engines.Status, error)
		Cancel(ctx context.Context, requestID string) error
	}

	// Dependencies are the arguments of New. Deployment is the name of the deployment
	// whose requests the backend server runs; its type in the configuration says
	// whether that server is an engine or a plain service. OnAdmissionChange may be
	// nil. It is called with the code with which the queue refuses new requests from
	// now on, or with an empty string when the queue admits them. It is called with
	// the queue's lock held, so it must not block or call the queue.
	Dependencies struct {
		Deployment        string
		Backend           Backend
		Source            configurations.Source
		Limits            Limits
		Logger            *zap.Logger
		Scope             tally.Scope
		Checker           invariants.Checker
		OnAdmissionChange func(refusing string)
	}

	// Limits are the settings of a queue. A zero value means the default.
	Limits struct {
		MaxWaiting          int           // Waiting requests.
		MaxWaitingBytes     int64         // Total size of the bodies of waiting requests.
		MaxKeptAnswers      int           // Ended attempts whose answers are kept for Collect.
		MaxKeptBytes        int64         // Total size of the kept answers.
		MaxAnswerBytes      int           // Size of the parts of one answer.
		ExecutedFilterBytes int           // Memory of the filter of attempts that may have run.
		RefusedFilterIDs    int           // Ids in each of the two filters of refused attempts.
		MaxRequestTime      time.Duration // Longest time from a request's arrival to its deadline.
		AnswerRetention     time.Duration // How long after its deadline the answer of a non-idempotent request is kept.
		OrphanTimeout       time.Duration // How long an idempotent attempt may run without a subscriber.
		StatusInterval      time.Duration // Time between two status requests to the backend server.
	}
)

// WithDefaults returns the limits with every zero value replaced.
func (limits Limits) WithDefaults() Limits {
	setDefault(&limits.MaxWaiting, 1024)
	setDefault(&limits.MaxWaitingBytes, 64<<20)
	setDefault(&limits.MaxKeptAnswers, 4096)
	setDefault(&limits.MaxKeptBytes, 32<<20)
	setDefault(&limits.MaxAnswerBytes, 1<<20)
	setDefault(&limits.ExecutedFilterBytes, 16<<20)
	setDefault(&limits.RefusedFilterIDs, 1<<20)
	setDefault(&limits.MaxRequestTime, 10*time.Minute)
	setDefault(&limits.AnswerRetention, time.Minute)
	setDefault(&limits.OrphanTimeout, 10*time.Second)
	// A leaving backend server must be noticed within 3 s, which allows for one
	// interval and two time-outs of 1 s.
	setDefault(&limits.StatusInterval, 500*time.Millisecond)
	return limits
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
