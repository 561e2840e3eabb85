package platform

import (
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

// storeState is a table of a store at a position.
type storeState struct {
	position Position
	rows     map[string]Row
	// changes are all changes that lead to the position in its epoch.
	changes []Change
}

func (store storeState) write(key string, deleted bool) storeState {
	store.position.Revision++
	store.rows = maps.Clone(store.rows)
	row := Row{Key: key, Value: []byte(strconv.FormatInt(store.position.Epoch, 10)), Revision: store.position.Revision}
	store.changes = append(store.changes[:len(store.changes):len(store.changes)], Change{Row: row, Deleted: deleted})
	if deleted {
		delete(store.rows, key)
	} else {
		store.rows[key] = row
	}
	return store
}

// answer returns what a store in this state answers to the next call of the watcher.
func (store storeState) answer(state *watcherState, startedAt time.Time) call {
	result := call{startedAt: startedAt, isSnapshot: !state.hasView, position: store.position}
	if result.isSnapshot {
		for _, row := range store.rows {
			result.rows = append(result.rows, row)
		}
		return result
	}
	if state.view.Revision > store.position.Revision {
		result.err = ErrHistoryLost
		return result
	}
	for _, change := range store.changes {
		if change.Row.Revision > state.view.Revision {
			result.changes = append(result.changes, change)
		}
	}
	return result
}

// TestWatcherMachine lets a watcher follow a store through random histories: rows are
// written and deleted, the store comes back from older copies and gives out revisions
// again, replicas lag, and answers arrive late. It guards against a view that mixes
// epochs, that misses a row or shows one of an earlier epoch after one of a later, and
// against one that does not reach the store's state within three calls.
func TestWatcherMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		store := storeState{rows: map[string]Row{}}
		states := []storeState{store}
		var shown Position
		check := func(view View) {
			if view.Position.Before(shown) {
				t.Fatalf("the view went back from %v to %v", shown, view.Position)
			}
			shown = view.Position
			for _, known := range states {
				if known.position == view.Position {
					if !maps.EqualFunc(known.rows, view.Rows, func(a, b Row) bool { return a.Revision == b.Revision && string(a.Value) == string(b.Value) }) {
						t.Fatalf("the view at %v has %v instead of %v", view.Position, view.Rows, known.rows)
					}
					return
				}
			}
			t.Fatalf("the store never was at %v", view.Position)
		}
		state := &watcherState{
			Watcher: Watcher{
				Table: "servers", Logger: zap.NewNop(), Scope: tally.NoopScope, OnUpdate: check, Reachability: NewReachability(nil, time.Second),
			},
		}
		deliver := func(answered call) {
			if answered.position.Epoch < state.knownEpoch() {
				return
			}
			if state.apply(answered, now) != upToDate {
				state.hasView = false
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				store = store.write(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
				states = append(states, store)
			},
			"restore": func(t *rapid.T) {
				copied := states[rapid.IntRange(0, len(states)-1).Draw(t, "copy")]
				copied.position.Epoch = store.position.Epoch + 1
				store = copied
				states = append(states, store)
			},
			"poll": func(*rapid.T) { deliver(store.answer(state, now)) },
			"late answer or lagging replica": func(t *rapid.T) {
				from := max(0, len(states)-4)
				deliver(states[rapid.IntRange(from, len(states)-1).Draw(t, "state")].answer(state, now))
			},
			"store refuses": func(*rapid.T) {
				state.recordFailure(call{startedAt: now, position: store.position, err: ErrUnavailable})
			},
			"pass": func(*rapid.T) { now = now.Add(3 * time.Second) },
			"settle": func(t *rapid.T) {
				for range 3 {
					deliver(store.answer(state, now))
				}
				if state.view.Position != store.position || len(state.view.Rows) != len(store.rows) {
					t.Fatalf("the view is at %v with %d rows, the store at %v with %d", state.view.Position, len(state.view.Rows), store.position, len(store.rows))
				}
			},
		})
	})
}
