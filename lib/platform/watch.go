package platform

// Processes follow tables of the platform's store by long polls, because each
// call is priced: a poll that waits costs one call for each change instead of
// one for each interval.

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
	// Pauses between failed calls grow from the first to the second, with jitter,
	// so that a fleet which restarts at once does not storm the store.
	firstPause = 100 * time.Millisecond
	longPause  = time.Second

	millisecondsPerSecond = 1000
)

// ErrHistoryLost is returned by Changes when the store no longer holds the
// changes after the revision. The whole table has to be read again.
var ErrHistoryLost = errors.New("the store no longer holds the requested history")

type (
	// Change is a row that was written, or deleted.
	Change struct {
		Row     Row
		Deleted bool
	}

	// Feed is the part of the store that serves whole tables and their changes.
	Feed interface {
		// Snapshot returns all rows of the table at one revision.
		Snapshot(ctx context.Context, table string) (rows []Row, revision int64, err error)
		// Changes returns the rows that changed after the revision, in order, as soon
		// as there is one, or nothing when the wait is over.
		Changes(ctx context.Context, table string, after int64, wait time.Duration) (changes []Change, revision int64, err error)
	}

	// View is the content of a table at a revision. RecoveredAt is when the store last
	// answered again after it had failed to, zero if it never failed.
	View struct {
		Rows        map[string]Row
		Revision    int64
		RecoveredAt time.Time
	}

	// Watcher follows one table. PollWait is how long a poll waits for a change; PollPause
	// tells the least pause between two polls, which joins changes that come together.
	Watcher struct {
		Feed      Feed
		Table     string
		PollWait  time.Duration
		PollPause func() time.Duration
		Logger    *zap.Logger
		// Scope gets the revision of the view and when the store last answered.
		Scope tally.Scope
		// OnUpdate is called with each new view, from one goroutine.
		OnUpdate func(View)
	}

	watching struct {
		Watcher
		view    View
		known   bool
		failing bool
		pauses  *backoff.ExponentialBackOff
	}
)

// FixedPause returns a settle time that never changes.
func FixedPause(span time.Duration) func() time.Duration {
	return func() time.Duration { return span }
}

// Run follows the table until the context ends.
func (watch Watcher) Run(ctx context.Context) {
	state := &watching{Watcher: watch, pauses: backoff.NewExponentialBackOff()}
	state.pauses.InitialInterval = firstPause
	state.pauses.MaxInterval = longPause
	for ctx.Err() == nil {
		state.step(ctx)
	}
}

func (watch *watching) step(ctx context.Context) {
	var err error
	if watch.known {
		err = watch.follow(ctx)
	} else {
		err = watch.read(ctx)
	}
	if err == nil {
		watch.succeed()
		pause(ctx, watch.PollPause())
		return
	}
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrHistoryLost) {
		watch.Logger.Info("store history lost", zap.String("table", watch.Table), zap.Int64("revision", watch.view.Revision))
		watch.known = false
		pause(ctx, time.Duration(rand.Int64N(int64(firstPause))))
		return
	}
	watch.fail(err)
	pause(ctx, watch.pauses.NextBackOff())
}

func pause(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

func (watch *watching) fail(err error) {
	if !watch.failing {
		watch.Logger.Warn("store lost", zap.String("table", watch.Table), zap.Int64("revision", watch.view.Revision), zap.Error(err))
	}
	watch.failing = true
}

func (watch *watching) succeed() {
	watch.pauses.Reset()
	scope := watch.Scope.Tagged(map[string]string{"table": watch.Table})
	scope.Gauge("table_revision").Update(float64(watch.view.Revision))
	scope.Gauge("table_answered_at_seconds").Update(float64(time.Now().UnixMilli()) / millisecondsPerSecond)
	if watch.failing {
		watch.publish(watch.view)
	}
}

func (watch *watching) read(ctx context.Context) error {
	rows, revision, err := watch.Feed.Snapshot(ctx, watch.Table)
	if err != nil {
		return err
	}
	if revision < watch.view.Revision {
		// A copy of the store that lags must not take back what is known.
		return ErrHistoryLost
	}
	view := View{Rows: map[string]Row{}, Revision: revision, RecoveredAt: watch.view.RecoveredAt}
	for _, row := range rows {
		view.Rows[row.Key] = row
	}
	watch.publish(view)
	watch.known = true
	return nil
}

func (watch *watching) follow(ctx context.Context) error {
	wait := watch.PollWait
	if watch.failing {
		// A short call tells soonest that the store is back.
		wait = 0
	}
	changes, revision, err := watch.Feed.Changes(ctx, watch.Table, watch.view.Revision, wait)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		watch.view.Revision = max(watch.view.Revision, revision)
		return nil
	}
	watch.publish(watch.view.with(changes, revision))
	return nil
}

func (watch *watching) publish(view View) {
	if watch.failing {
		watch.failing = false
		view.RecoveredAt = time.Now()
		watch.Logger.Info("store regained", zap.String("table", watch.Table), zap.Int64("revision", view.Revision))
	}
	watch.view = view
	watch.OnUpdate(view)
}

// LogDecodeErrors writes down rows of the view that could not be read.
func (view View) LogDecodeErrors(logger *zap.Logger, problems []error) {
	for _, problem := range problems {
		logger.Warn("row not read", zap.Int64("revision", view.Revision), zap.Error(problem))
	}
}

// with returns the view after the changes. Changes that are older than the row
// that is known are left out, because an answer of the store may arrive late.
func (view View) with(changes []Change, revision int64) View {
	next := View{Rows: make(map[string]Row, len(view.Rows)), Revision: max(view.Revision, revision), RecoveredAt: view.RecoveredAt}
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
