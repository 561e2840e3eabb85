package platform

// In a drill the store may come back from a copy that is some seconds old. What was
// written since is gone, and its revisions are given out again. The operator and the
// servers write their rows again, in any order and over some seconds. A watcher reads
// the table anew, and reports how long it took until the rows were back.

import (
	"time"

	"go.uber.org/zap"
)

// restorationTime is how long a watcher waits for rows to be written again.
const restorationTime = 10 * time.Second

// restoration is the return of the store from an older copy. Position is that of the
// view before, and toldAt when the call began that first told of the epoch. Missing
// holds the rows of the earlier view that are not written again yet, and gone is how
// many they were in the first view of the epoch. It is zero if none is being followed.
type restoration struct {
	before  Position
	epoch   int64
	toldAt  time.Time
	missing map[string]bool
	gone    int
}

// noteEpoch begins a restoration if the call is the first to tell of a new epoch.
func (state *watcherState) noteEpoch(ended call) {
	if !state.hasRows() || ended.position.Epoch <= state.knownEpoch() {
		return
	}
	state.restoration = restoration{before: state.view.Position, epoch: ended.position.Epoch, toldAt: ended.startedAt}
	state.Logger.Warn("store came back from an older copy", zap.String("table", state.Table),
		zap.Int64("epoch_before", state.view.Epoch), zap.Int64("epoch", ended.position.Epoch), zap.Int64("revision_before", state.view.Revision))
}

// knownEpoch returns the newest epoch that the store has told.
func (state *watcherState) knownEpoch() int64 { return max(state.view.Epoch, state.restoration.epoch) }

// withFirstView returns the restoration after the first view of the new epoch.
func (restored restoration) withFirstView(before, first View) restoration {
	restored.missing = map[string]bool{}
	for key := range before.Rows {
		if _, isThere := first.Rows[key]; !isThere {
			restored.missing[key] = true
		}
	}
	restored.gone = len(restored.missing)
	return restored
}

// followRestoration logs a restoration once all rows are back or its time is over.
func (state *watcherState) followRestoration(now time.Time) {
	restored := state.restoration
	if restored.missing == nil {
		return
	}
	for key := range restored.missing {
		if _, isThere := state.view.Rows[key]; isThere {
			delete(restored.missing, key)
		}
	}
	if len(restored.missing) > 0 && now.Before(restored.toldAt.Add(restorationTime)) {
		return
	}
	state.Logger.Info("table restored", zap.String("table", state.Table),
		zap.Int64("epoch_before", restored.before.Epoch), zap.Int64("epoch", restored.epoch),
		zap.Int64("revision_before", restored.before.Revision), zap.Int64("revision", state.view.Revision),
		zap.Int("rows_gone", restored.gone), zap.Int("rows_back", restored.gone-len(restored.missing)), zap.Duration("took", now.Sub(restored.toldAt)))
	state.restoration = restoration{}
}
