package rollouts

import (
	"sync"
	"time"
)

// guard notices that the process was paused: its ticks then have a gap. While
// the process runs without a gap it can't have missed that a later agent was
// started because this one seemed dead, so an outage of the table need not stop
// it from repairing its engine.
type guard struct {
	mutex    sync.Mutex
	limit    time.Duration
	lastTick time.Time
	paused   bool
}

func newGuard(limit time.Duration, now time.Time) *guard {
	return &guard{limit: limit, lastTick: now, paused: true}
}

// tick is called several times within the limit.
func (guard *guard) tick(now time.Time) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.note(now)
}

func (guard *guard) note(now time.Time) {
	if now.Sub(guard.lastTick) > guard.limit {
		guard.paused = true
	}
	guard.lastTick = now
}

// mustVerify reports whether the token has to be checked before the next order.
func (guard *guard) mustVerify(now time.Time) bool {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.note(now)
	return guard.paused
}

// verified records that the token was found to be the newest by a check that
// began at the time. A gap since then stays noted.
func (guard *guard) verified(began, now time.Time) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.paused = now.Sub(began) > guard.limit
	guard.lastTick = now
}
