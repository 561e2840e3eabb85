// Package evacuations holds which data centres are evacuated: nothing more is sent to
// the backend servers there until the operator removes the row.
//
// The store holds the rows. Each process keeps a State, which is the rows up to a
// position of the store, and adopts a newer one from another process. Nobody decides by
// vote or by time: the rows at the highest position are the truth.
package evacuations

import (
	"maps"
	"slices"
	"time"

	"firford/lib/platform"
)

// holdTime is how long data centres stay evacuated after the store came back from an older
// copy, which may lack their rows. It equals the time for which draining servers stay
// draining; the operator writes missing rows again meanwhile.
const holdTime = 15 * time.Second

// State is which data centres are evacuated by the rows of the store up to a position. It
// is immutable; the zero value is before all rows.
type State struct {
	position platform.Position
	// rows are the data centres that rows name, sorted and without repetitions.
	rows []string
	// heldUntil is until when data centres stay evacuated that rows of an earlier epoch named.
	heldUntil map[string]time.Time
}

// New returns the state by the rows up to the position, which name the data centres.
func New(position platform.Position, dataCentres ...string) State {
	rows := slices.Clone(dataCentres)
	slices.Sort(rows)
	return State{position: position, rows: slices.Compact(rows)}
}

// WithHeld returns the state in which the data centres also stay evacuated until the times,
// which are at most the usual time from now.
func (state State) WithHeld(until map[string]time.Time, now time.Time) State {
	held := map[string]time.Time{}
	for dataCentre, at := range until {
		if latest := now.Add(holdTime); at.After(latest) {
			at = latest
		}
		held[dataCentre] = at
	}
	state.heldUntil = held
	return state
}

// Position returns the position of the store up to which rows were read.
func (state State) Position() platform.Position { return state.position }

// Rows returns the data centres that rows name, sorted.
func (state State) Rows() []string { return slices.Clone(state.rows) }

// Held returns until when data centres stay evacuated that rows of an earlier epoch named.
func (state State) Held(now time.Time) map[string]time.Time {
	held := maps.Clone(state.heldUntil)
	maps.DeleteFunc(held, func(_ string, until time.Time) bool { return !now.Before(until) })
	return held
}

// DataCentres returns the evacuated data centres, sorted.
func (state State) DataCentres(now time.Time) []string {
	all := append(state.Rows(), slices.Collect(maps.Keys(state.Held(now)))...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Merge returns the newer of the two states. States at the same position count together:
// a table that changes while its pages are read shows rows that are newer than its
// position. The data centres of an earlier epoch stay evacuated for holdTime.
func (state State) Merge(other State, now time.Time) State {
	switch order := state.position.Compare(other.position); {
	case order > 0:
		return state
	case order == 0:
		return New(state.position, append(state.Rows(), other.rows...)...).WithHeld(state.Held(now), now)
	}
	held := other.Held(now)
	if held == nil {
		held = map[string]time.Time{}
	}
	maps.Copy(held, state.Held(now))
	if state.position.Epoch < other.position.Epoch {
		for _, dataCentre := range state.rows {
			held[dataCentre] = now.Add(holdTime)
		}
	}
	return New(other.position, other.rows...).WithHeld(held, now)
}

// IsNewsTo reports whether the state is newer than the other one and differs from it.
func (state State) IsNewsTo(other State, now time.Time) bool {
	return other.position.Before(state.position) && !slices.Equal(state.DataCentres(now), other.DataCentres(now))
}
