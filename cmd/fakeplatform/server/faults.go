package server

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// FaultChange is the body of POST /faults. Absent fields keep their value.
	// LoseAnswers is the share of writes whose answer is lost after they took
	// effect. Freeze silences all connections that are open at that moment.
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

	// FaultState is the answer of /faults: what is in force.
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
		originOut atomic.Bool

		mutex  sync.Mutex
		state  FaultState
		random *rand.Rand
	}
)

func newFaults(membershipLagMS int64) *faults {
	return &faults{
		state:  FaultState{MembershipLagMS: membershipLagMS},
		random: seeded(1),
	}
}

func seeded(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

func set[T any](field, given *T) {
	if given != nil {
		*field = *given
	}
}

func (faults *faults) apply(change FaultChange) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	set(&faults.state.Outage, change.Outage)
	set(&faults.state.MembershipOutage, change.MembershipOutage)
	set(&faults.state.OriginOutage, change.OriginOutage)
	set(&faults.state.DelayMS, change.DelayMS)
	set(&faults.state.LoseAnswers, change.LoseAnswers)
	set(&faults.state.MembershipLagMS, change.MembershipLagMS)
	if change.Seed != nil {
		faults.random = seeded(*change.Seed)
	}
	faults.originOut.Store(faults.state.OriginOutage)
}

func (faults *faults) froze(count int) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	faults.state.Frozen += count
}

func (faults *faults) current() FaultState {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	return faults.state
}

// delayed waits for the configured delay and returns what is in force after it.
func (faults *faults) delayed() FaultState {
	state := faults.current()
	if state.DelayMS > 0 {
		time.Sleep(time.Duration(state.DelayMS) * time.Millisecond)
	}
	return faults.current()
}

func (faults *faults) loses() bool {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	return faults.state.LoseAnswers > 0 && faults.random.Float64() < faults.state.LoseAnswers
}
