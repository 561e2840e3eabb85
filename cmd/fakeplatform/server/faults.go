package server

// Tests switch the faults of the platform on and off while it runs, through POST
// /faults. Random faults use a seed, so that a run can be repeated.

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// FaultChange is the body of POST /faults. Absent fields keep their value.
	// LoseAnswers is the share of writes whose response is lost after the write took
	// effect. Freeze silences all connections that are open at that moment, except
	// that of the request itself.
	FaultChange struct {
		Outage           *bool    `json:"outage,omitempty"`
		MembershipOutage *bool    `json:"membership_outage,omitempty"`
		OriginOutage     *bool    `json:"origin_outage,omitempty"`
		DelayMS          *int64   `json:"delay_ms,omitempty"`
		LoseAnswers      *float64 `json:"lose_answers,omitempty"`
		Seed             *uint64  `json:"seed,omitempty"`
		MembershipLagMS  *int64   `json:"membership_lag_ms,omitempty"`
		Freeze           *bool    `json:"freeze,omitempty"`
	}

	// FaultState is the response to /faults: the faults that are active. Frozen is the
	// number of connections silenced so far.
	FaultState struct {
		Outage           bool    `json:"outage"`
		MembershipOutage bool    `json:"membership_outage"`
		OriginOutage     bool    `json:"origin_outage"`
		DelayMS          int64   `json:"delay_ms"`
		LoseAnswers      float64 `json:"lose_answers"`
		MembershipLagMS  int64   `json:"membership_lag_ms"`
		Frozen           int     `json:"frozen"`
	}

	faults struct {
		originUnavailable atomic.Bool // Read for each buffer that the origin sends.

		mutex  sync.Mutex
		state  FaultState
		random *rand.Rand
	}
)

func newFaults(membershipLagMS int64) *faults {
	return &faults{
		state:  FaultState{MembershipLagMS: membershipLagMS},
		random: newRandom(1),
	}
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

// setIfGiven assigns the value to the field unless the value is nil.
func setIfGiven[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

func (faults *faults) apply(change FaultChange) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	setIfGiven(&faults.state.Outage, change.Outage)
	setIfGiven(&faults.state.MembershipOutage, change.MembershipOutage)
	setIfGiven(&faults.state.OriginOutage, change.OriginOutage)
	setIfGiven(&faults.state.DelayMS, change.DelayMS)
	setIfGiven(&faults.state.LoseAnswers, change.LoseAnswers)
	setIfGiven(&faults.state.MembershipLagMS, change.MembershipLagMS)
	if change.Seed != nil {
		faults.random = newRandom(*change.Seed)
	}
	faults.originUnavailable.Store(faults.state.OriginOutage)
}

// addFrozen adds to the number of silenced connections.
func (faults *faults) addFrozen(count int) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	faults.state.Frozen += count
}

func (faults *faults) current() FaultState {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	return faults.state
}

// afterDelay sleeps for the configured delay and returns the faults that are
// active after it.
func (faults *faults) afterDelay() FaultState {
	state := faults.current()
	if state.DelayMS > 0 {
		time.Sleep(time.Duration(state.DelayMS) * time.Millisecond)
	}
	return faults.current()
}

// losesAnswer decides at random whether the response to a write is lost.
func (faults *faults) losesAnswer() bool {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	return faults.state.LoseAnswers > 0 && faults.random.Float64() < faults.state.LoseAnswers
}
