package platform

// A watcher makes one call to the store at a time. After a call without an answer it
// waits until the store answers a probe.

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

// errEarlierEpoch is the error of a late answer that the store gave before it came back
// from an older copy.
var errEarlierEpoch = errors.New("the answer is of an earlier epoch of the store")

// call is a call to the store that has ended. A snapshot has rows, a poll has changes.
type call struct {
	startedAt  time.Time
	isSnapshot bool
	rows       []Row
	changes    []Change
	position   Position
	err        error
}

// isAnswered reports whether the store answered, if only that it lost the history.
func (ended call) isAnswered() bool {
	return ended.err == nil || errors.Is(ended.err, ErrHistoryLost)
}

// rowBytes returns the size of the values that the store answered with.
func (ended call) rowBytes() int {
	sum := 0
	for _, row := range ended.rows {
		sum += len(row.Value)
	}
	for _, change := range ended.changes {
		sum += len(change.Row.Value)
	}
	return sum
}

// awaitAnswer calls the store until it answers. It returns false if the context ends
// before.
func (state *watcherState) awaitAnswer(ctx context.Context) (call, bool) {
	for ctx.Err() == nil {
		if told, isNew := state.toldByOthers(); isNew {
			return told, true
		}
		ended := state.call(ctx)
		if ended.isAnswered() && ended.position.Epoch < state.knownEpoch() {
			ended.err = errEarlierEpoch
		}
		state.Reachability.recordEpoch(ended.position.Epoch)
		if ended.isAnswered() {
			return ended, true
		}
		if ctx.Err() != nil {
			break
		}
		state.recordFailure(ended)
		state.Reachability.Await(ctx)
	}
	return call{}, false
}

// call makes one call to the store.
func (state *watcherState) call(ctx context.Context) call {
	wait := state.PollWait
	if state.isFailing() {
		// A call without a wait is answered soonest.
		wait = 0
	}
	result := call{startedAt: time.Now(), isSnapshot: !state.hasView}
	if result.isSnapshot {
		result.rows, result.position, result.err = state.Feed.Snapshot(ctx, state.Table)
	} else {
		result.changes, result.position, result.err = state.Feed.Changes(ctx, state.Table, state.view.Position, wait)
	}
	return result
}

// toldByOthers returns an answer that tells of the newest epoch, if another watcher of
// the process was told of it and this one was not.
func (state *watcherState) toldByOthers() (call, bool) {
	epoch := state.Reachability.knownEpoch()
	told := call{startedAt: time.Now(), position: Position{Epoch: epoch}, err: ErrHistoryLost}
	return told, state.hasRows() && epoch > state.knownEpoch()
}

// isFailing reports whether the store has not answered the last calls.
func (state *watcherState) isFailing() bool { return state.failedCalls > 0 }

func (state *watcherState) recordFailure(failed call) {
	if !state.isFailing() {
		state.Logger.Warn("store lost", zap.String("table", state.Table), zap.Int64("revision", state.view.Revision), zap.Error(failed.err))
		state.failingSince = failed.startedAt
	}
	state.failedCalls++
	state.Reachability.recordFailure(failed.startedAt)
	state.noteEpoch(failed)
}
