package directives

// Entries read the rows of evacuations from the operator's table. One that is cut off from
// the store hears of them through the agents: entries tell agents their state, and an agent
// answers an entry that asks for what it knows and knows less. Agents apply nothing.

import (
	"slices"
	"time"

	"firford/lib/evacuations"
	"firford/lib/platform"
)

const (
	// evacuationMemory is how long after the end of all evacuations others are still told.
	// One that was cut off for longer reads the rows itself.
	evacuationMemory = 10 * time.Minute
	// maxEvacuationBytes bounds the names of data centres in a datagram. A state is passed
	// on as a whole or not at all, since a part of it would end evacuations.
	maxEvacuationBytes = 1024
	// maxHeldMS keeps a remaining time in a datagram from overflowing; the state allows less.
	maxHeldMS = 60_000
)

// How a process learned that an evacuation began or ended. HeardByTime means that the row
// was not written again in time after the store came back from an older copy.
const (
	HeardByStore = "the store"
	HeardByAgent = "an agent"
	HeardByTime  = "the end of its time"
)

type (
	// EvacuationState is an evacuations.State in a datagram. HeldMS is for how much longer
	// data centres stay evacuated that rows of an earlier epoch named: a remaining time,
	// since the clocks of two hosts differ.
	EvacuationState struct {
		Epoch       int64            `json:"epoch"`
		Revision    int64            `json:"revision"`
		DataCentres []string         `json:"data_centres,omitempty"`
		HeldMS      map[string]int64 `json:"held_ms,omitempty"`
	}

	// evacuationRecord is the newest state, when others last had to be told of it, and the
	// data centres that this process has reported as evacuated.
	evacuationRecord struct {
		state    evacuations.State
		activeAt time.Time
		reported []string
	}
)

// encodeEvacuations returns nil if the state is too large for a datagram.
func encodeEvacuations(state evacuations.State, now time.Time) *EvacuationState {
	encoded := &EvacuationState{Epoch: state.Position().Epoch, Revision: state.Position().Revision, DataCentres: state.Rows()}
	bytes := 0
	for _, dataCentre := range encoded.DataCentres {
		bytes += len(dataCentre)
	}
	for dataCentre, until := range state.Held(now) {
		if encoded.HeldMS == nil {
			encoded.HeldMS = map[string]int64{}
		}
		encoded.HeldMS[dataCentre] = until.Sub(now).Milliseconds()
		bytes += len(dataCentre)
	}
	if bytes > maxEvacuationBytes {
		return nil
	}
	return encoded
}

// decode returns the state. That of a process which told nothing is before all others.
func (encoded *EvacuationState) decode(now time.Time) evacuations.State {
	if encoded == nil {
		return evacuations.State{}
	}
	held := map[string]time.Time{}
	for dataCentre, milliseconds := range encoded.HeldMS {
		held[dataCentre] = now.Add(time.Duration(min(max(milliseconds, 0), maxHeldMS)) * time.Millisecond)
	}
	position := platform.Position{Epoch: encoded.Epoch, Revision: encoded.Revision}
	return evacuations.New(position, encoded.DataCentres...).WithHeld(held, now)
}

// Evacuations returns the newest known state of evacuations.
func (follower *Follower) Evacuations() evacuations.State { return follower.evacuations.Load().state }

// EvacuationNews returns the state that others should know, or nil if all evacuations ended
// long ago.
func (follower *Follower) EvacuationNews(now time.Time) *EvacuationState {
	known := follower.evacuations.Load()
	if known.activeAt.IsZero() || !now.Before(known.activeAt.Add(evacuationMemory)) {
		return nil
	}
	return encodeEvacuations(known.state, now)
}

// UnknownEvacuations returns the known state if it is newer than the announced one and
// differs from it, or nil.
func (follower *Follower) UnknownEvacuations(announcement Announcement, now time.Time) *EvacuationState {
	state := follower.Evacuations()
	if !state.IsNewsTo(announcement.Evacuations.decode(now), now) {
		return nil
	}
	return encodeEvacuations(state, now)
}

// ApplyEvacuations applies the state that another process told.
func (follower *Follower) ApplyEvacuations(told *EvacuationState, now time.Time) {
	if told == nil {
		return
	}
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.mergeEvacuations(told.decode(now), HeardByAgent, now)
}

// RefreshEvacuations ends the evacuations whose time is over.
func (follower *Follower) RefreshEvacuations(now time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.mergeEvacuations(follower.Evacuations(), HeardByTime, now)
}

// applyEvacuationRows applies the rows of a view. A process without EvacuationsChanged reads
// only a part of the table, which says nothing about evacuations.
func (follower *Follower) applyEvacuationRows(dataCentres []string, position platform.Position, now time.Time) {
	if follower.EvacuationsChanged != nil {
		follower.mergeEvacuations(evacuations.New(position, dataCentres...), HeardByStore, now)
	}
}

// mergeEvacuations merges the state and reports a change. The caller holds the mutex.
func (follower *Follower) mergeEvacuations(state evacuations.State, heardBy string, now time.Time) {
	known := *follower.evacuations.Load()
	next := evacuationRecord{state: known.state.Merge(state, now), activeAt: known.activeAt}
	next.reported = next.state.DataCentres(now)
	if len(next.reported)+len(known.reported) > 0 {
		next.activeAt = now
	}
	follower.evacuations.Store(&next)
	if isChanged := !slices.Equal(next.reported, known.reported); isChanged && follower.EvacuationsChanged != nil {
		follower.EvacuationsChanged(next.reported, next.state.Position(), heardBy)
	}
}
