package platform

// Processes follow tables of the platform's store by long polls, because the platform
// charges for each call: a long poll costs one call per change instead of one per
// interval.

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/waits"
)

const (
	// maxHistoryPause bounds the pause before a table is read again whose history was
	// lost. It spreads the processes that are told so at the same time.
	maxHistoryPause = 100 * time.Millisecond
	// immediateAnswerTime is how long a poll takes at the most that the store answered at
	// once, besides the time for large rows and for the pause before the poll.
	immediateAnswerTime   = 250 * time.Millisecond
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
		// Snapshot returns all rows of the table at one position. An error may come with the
		// epoch of the store.
		Snapshot(ctx context.Context, table string) (rows []Row, position Position, err error)
		// Changes returns the rows that changed after the position, in order. It waits
		// until there is one and returns none when the wait is over. They are changes to the
		// table at that position only if the epoch is still the same. An error may come with
		// the epoch of the store.
		Changes(ctx context.Context, table string, after Position, wait time.Duration) (changes []Change, position Position, err error)
	}

	// View is the content of a table at a position. UnavailableAt is when the last call
	// began that the store did not answer or that first told of the present epoch, or zero
	// if there was none: the store was unavailable to this process then, and may have been
	// available from then on. RestoredAt is when the call began that told of the present
	// epoch, or zero if the epoch has not changed. UnreadSince is from when on the newest
	// changes of the view may have been made, as far as the watcher paused before it read
	// them, or zero if the store was unavailable to it or the view is the first one.
	View struct {
		Position
		Rows          map[string]Row
		UnavailableAt time.Time
		RestoredAt    time.Time
		UnreadSince   time.Time
	}

	// Watcher follows one table. PollWait is how long a poll waits for a change.
	// PollPause returns the pause between two polls, which lets one poll return several
	// changes that are made within a short time. If BytesPerS is positive, the pause is at
	// least as long as the rows of the answer take at that rate, up to MaxTransferPause.
	// After the store came back from an older copy, the table is read again within
	// RestorePause. Reachability is shared by the watchers of a process.
	Watcher struct {
		Feed      Feed
		Table     string
		PollWait  time.Duration
		PollPause func() time.Duration
		BytesPerS int
		// MaxTransferPause bounds how much later a change after a large one is known.
		MaxTransferPause time.Duration
		RestorePause     time.Duration
		Reachability     *Reachability
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
	// be brought up to date by changes alone. answeredAt is when the store last brought the
	// view up to date, and resumeAt when the pauses after that were to end. failedCalls
	// counts the calls that failed in a row, the first of which began at failingSince.
	watcherState struct {
		Watcher
		view         View
		hasView      bool
		answeredAt   time.Time
		resumeAt     time.Time
		failedCalls  int
		failingSince time.Time
		restoration  restoration
	}

	// applyResult is whether a view is up to date after a call, and why not.
	applyResult int
)

const (
	upToDate applyResult = iota
	// historyLost means that the whole table must be read again.
	historyLost
	// epochChanged means the same, since the store came back from an older copy.
	epochChanged
)

// FixedPause returns a PollPause that is always the same.
func FixedPause(duration time.Duration) func() time.Duration {
	return func() time.Duration { return duration }
}

// Run follows the table until the context ends.
func (watcher Watcher) Run(ctx context.Context) {
	state := &watcherState{Watcher: watcher}
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
	switch state.apply(answered, time.Now()) {
	case upToDate:
		state.recordSuccess()
		next := max(state.PollPause(), state.transferPause(answered))
		state.resumeAt = state.answeredAt.Add(next)
		state.pauseBetweenPolls(ctx, next)
	case historyLost:
		state.Logger.Info("store history lost", zap.String("table", state.Table), zap.Int64("revision", state.view.Revision))
		state.hasView = false
		next := time.Duration(rand.Int64N(int64(maxHistoryPause)))
		state.resumeAt = state.resumeAt.Add(next)
		pause(ctx, next)
	case epochChanged:
		state.hasView = false
		pause(ctx, time.Duration(rand.Float64()*float64(state.RestorePause)))
	}
}

// transferPause returns the pause after an answer. A change of a large row transfers all
// of it, and many such changes would fill a link that carries other traffic.
func (state *watcherState) transferPause(answered call) time.Duration {
	return min(state.transferTime(answered), state.MaxTransferPause)
}

// transferTime returns how long the rows of the answer take at BytesPerS.
func (state *watcherState) transferTime(answered call) time.Duration {
	if state.BytesPerS <= 0 {
		return 0
	}
	return time.Duration(float64(answered.rowBytes()) / float64(state.BytesPerS) * float64(time.Second))
}

// pauseBetweenPolls waits for the pause between two polls or until it is ended early.
func (state *watcherState) pauseBetweenPolls(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-state.Wake:
	case <-time.After(duration):
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
	scope := state.Scope.Tagged(map[string]string{"table": state.Table})
	scope.Gauge("table_revision").Update(float64(state.view.Revision))
	scope.Gauge("table_epoch").Update(float64(state.view.Epoch))
	scope.Gauge("table_answered_at_seconds").Update(float64(time.Now().UnixMilli()) / millisecondsPerSecond)
	if state.isFailing() {
		state.publish(state.view)
	}
	if state.OnAnswer != nil {
		state.OnAnswer()
	}
}

// apply brings the view up to date with an answered call, if it can. While it can't, the
// earlier view stays in use.
func (state *watcherState) apply(answered call, now time.Time) applyResult {
	state.noteEpoch(answered)
	isNewEpoch := state.view.Epoch < answered.position.Epoch && state.hasRows()
	switch {
	case isNewEpoch && (!answered.isSnapshot || answered.err != nil):
		return epochChanged
	case answered.err != nil:
		return historyLost
	case answered.isSnapshot && answered.position.Before(state.view.Position):
		// A replica of the store that lags must not replace a newer view.
		return historyLost
	case answered.isSnapshot:
		state.applySnapshot(answered, state.unreadSince(answered, now))
	case len(answered.changes) > 0:
		view := state.view.apply(answered.changes, answered.position.Revision)
		view.UnreadSince = state.unreadSince(answered, now)
		state.publish(view)
	default:
		state.view.Revision = max(state.view.Revision, answered.position.Revision)
	}
	state.answeredAt = now
	state.followRestoration(now)
	return upToDate
}

// unreadSince returns from when on the changes of an answer may have been made. The store
// answers a poll as soon as there is a change, so one that was answered at once tells of a
// change during the pause before it. One that took no longer than that pause may have been
// answered at once as well, over a busy link. Only the intended pauses count: after a long
// stop of the process, nothing says that a change is as old as the stop.
func (state *watcherState) unreadSince(answered call, now time.Time) time.Time {
	paused := max(state.resumeAt.Sub(state.answeredAt), 0)
	switch {
	case state.isFailing() || !state.hasRows():
		return time.Time{}
	case answered.isSnapshot || now.Sub(answered.startedAt) <= immediateAnswerTime+state.transferTime(answered)+paused:
		return waits.Later(state.answeredAt, answered.startedAt.Add(-paused))
	default:
		return now
	}
}

func (state *watcherState) applySnapshot(answered call, unreadSince time.Time) {
	view := View{
		Position: answered.position, Rows: map[string]Row{}, UnavailableAt: state.view.UnavailableAt, RestoredAt: state.view.RestoredAt,
		UnreadSince: unreadSince,
	}
	for _, row := range answered.rows {
		view.Rows[row.Key] = row
	}
	if state.hasRows() && state.view.Epoch < view.Epoch {
		view.RestoredAt = state.restoration.toldAt
		view.UnavailableAt = waits.Later(view.UnavailableAt, view.RestoredAt)
		state.restoration = state.restoration.withFirstView(state.view, view)
	}
	state.publish(view)
	state.hasView = true
}

// hasRows reports whether any snapshot was read.
func (state *watcherState) hasRows() bool { return state.view.Rows != nil }

// publish makes the view the current one and reports it.
func (state *watcherState) publish(view View) {
	if state.isFailing() {
		failedAt := state.Reachability.lastFailedAt()
		view.UnavailableAt = waits.Later(view.UnavailableAt, failedAt)
		state.Logger.Info("store regained", zap.String("table", state.Table), zap.Int64("revision", view.Revision),
			zap.Duration("lost_for", time.Since(state.failingSince)), zap.Int("failed_calls", state.failedCalls),
			zap.Duration("after_last_failed_call", time.Since(failedAt)))
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
	next := view
	next.Rows = make(map[string]Row, len(view.Rows))
	next.Revision = max(view.Revision, revision)
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
