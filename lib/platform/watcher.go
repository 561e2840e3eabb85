package platform

// Processes follow tables of the platform's store by long polls, because the platform
// charges for each call: a long poll costs one call per change instead of one per
// interval.

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

const (
	// maxHistoryPause bounds the pause before a table is read again whose history was
	// lost. It spreads the processes that are told so at the same time.
	maxHistoryPause = 100 * time.Millisecond

	millisecondsPerSecond = 1000
)

// ErrHistoryLost is returned by Feed.Changes when the store no longer holds the
// changes after the revision. The whole table must then be read again.
var ErrHistoryLost = errors.New("the store no longer holds the requested history")

type (
	// Change is a row that was written or deleted.
	Change struct {
		Row     Row
		Deleted bool
	}

	// Feed is the part of the store that serves snapshots of tables and their changes.
	Feed interface {
		// Snapshot returns all rows of the table at one revision.
		Snapshot(ctx context.Context, table string) (rows []Row, revision int64, err error)
		// Changes returns the rows that changed after the revision, in order. It waits
		// until there is one and returns none when the wait is over.
		Changes(ctx context.Context, table string, after int64, wait time.Duration) (changes []Change, revision int64, err error)
	}

	// View is the content of a table at a revision. UnavailableAt is when the last call
	// began that the store did not answer, or zero if it answered all: the store was
	// unavailable to this process then, and may have been available from then on.
	View struct {
		Rows          map[string]Row
		Revision      int64
		UnavailableAt time.Time
	}

	// Watcher follows one table. PollWait is how long a poll waits for a change.
	// PollPause returns the pause between two polls, which lets one poll return several
	// changes that are made within a short time. While the store does not answer, calls
	// begin at intervals that grow up to RetryInterval.
	Watcher struct {
		Feed          Feed
		Table         string
		PollWait      time.Duration
		PollPause     func() time.Duration
		RetryInterval time.Duration
		// Wake ends a pause between two polls early. It may be nil.
		Wake   <-chan struct{}
		Logger *zap.Logger
		// Scope receives the revision of the view and the time of the store's last
		// answer as metrics.
		Scope tally.Scope
		// OnUpdate is called with each new view, from one goroutine.
		OnUpdate func(View)
		// OnAnswer is called after each answer of the store, when the view is current.
		// It may be nil.
		OnAnswer func()
	}

	// watcherState is the state of a running watcher. hasView is set while the view can
	// be brought up to date by changes alone. failedCalls counts the calls that failed in
	// a row, the first of which began at failingSince and the last at failedAt.
	watcherState struct {
		Watcher
		view         View
		hasView      bool
		failedCalls  int
		failingSince time.Time
		failedAt     time.Time
		backoff      *backoff.ExponentialBackOff
	}
)

// FixedPause returns a PollPause that is always the same.
func FixedPause(duration time.Duration) func() time.Duration {
	return func() time.Duration { return duration }
}

// Run follows the table until the context ends.
func (watcher Watcher) Run(ctx context.Context) {
	state := &watcherState{Watcher: watcher, backoff: newRetryIntervals(watcher.RetryInterval)}
	for ctx.Err() == nil {
		state.poll(ctx)
	}
}

// poll calls the store until it answers, and pauses afterwards.
func (state *watcherState) poll(ctx context.Context) {
	answered, found := state.awaitAnswer(ctx)
	if !found {
		return
	}
	if err := state.apply(answered); err != nil {
		state.Logger.Info("store history lost", zap.String("table", state.Table), zap.Int64("revision", state.view.Revision))
		state.hasView = false
		pause(ctx, time.Duration(rand.Int64N(int64(maxHistoryPause))))
		return
	}
	state.recordSuccess()
	state.pauseBetweenPolls(ctx)
}

// pauseBetweenPolls waits for the pause between two polls or until it is ended early.
func (state *watcherState) pauseBetweenPolls(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-state.Wake:
	case <-time.After(state.PollPause()):
	}
}

// pause waits for the duration or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (state *watcherState) recordSuccess() {
	state.backoff.Reset()
	scope := state.Scope.Tagged(map[string]string{"table": state.Table})
	scope.Gauge("table_revision").Update(float64(state.view.Revision))
	scope.Gauge("table_answered_at_seconds").Update(float64(time.Now().UnixMilli()) / millisecondsPerSecond)
	if state.isFailing() {
		state.publish(state.view)
	}
	if state.OnAnswer != nil {
		state.OnAnswer()
	}
}

// apply brings the view up to date with an answered call. It returns ErrHistoryLost if
// the whole table must be read again.
func (state *watcherState) apply(answered call) error {
	if answered.err != nil {
		return answered.err
	}
	if !answered.isSnapshot {
		state.applyChanges(answered)
		return nil
	}
	if answered.revision < state.view.Revision {
		// A replica of the store that lags must not replace a newer view.
		return ErrHistoryLost
	}
	view := View{Rows: map[string]Row{}, Revision: answered.revision, UnavailableAt: state.view.UnavailableAt}
	for _, row := range answered.rows {
		view.Rows[row.Key] = row
	}
	state.publish(view)
	state.hasView = true
	return nil
}

func (state *watcherState) applyChanges(answered call) {
	if len(answered.changes) == 0 {
		state.view.Revision = max(state.view.Revision, answered.revision)
		return
	}
	state.publish(state.view.apply(answered.changes, answered.revision))
}

// publish makes the view the current one and reports it.
func (state *watcherState) publish(view View) {
	if state.isFailing() {
		view.UnavailableAt = state.failedAt
		state.Logger.Info("store regained", zap.String("table", state.Table), zap.Int64("revision", view.Revision),
			zap.Duration("lost_for", time.Since(state.failingSince)), zap.Int("failed_calls", state.failedCalls),
			zap.Duration("after_last_failed_call", time.Since(state.failedAt)))
		state.failedCalls = 0
	}
	state.view = view
	state.OnUpdate(view)
}

// LogDecodeErrors logs the errors of rows of the view that could not be decoded.
func (view View) LogDecodeErrors(logger *zap.Logger, decodeErrors []error) {
	for _, err := range decodeErrors {
		logger.Warn("failed to decode row", zap.Int64("revision", view.Revision), zap.Error(err))
	}
}

// apply returns the view after the changes. It ignores changes that are older than the
// known row, because a response of the store may be late.
func (view View) apply(changes []Change, revision int64) View {
	next := View{Rows: make(map[string]Row, len(view.Rows)), Revision: max(view.Revision, revision), UnavailableAt: view.UnavailableAt}
	for key, row := range view.Rows {
		next.Rows[key] = row
	}
	for _, change := range changes {
		if change.Row.Revision < next.Rows[change.Row.Key].Revision {
			continue
		}
		if change.Deleted {
			delete(next.Rows, change.Row.Key)
			continue
		}
		next.Rows[change.Row.Key] = change.Row
	}
	return next
}
