package rollouts

// This file detects that the process was paused. During a pause, a later agent may
// have taken over the host.

import (
	"sync"
	"time"
)

// pauseDetector detects a pause of the process by a gap between its ticks. A later
// agent is started only if this one appears to have failed, which this agent can't
// miss as long as its ticks have no gap. It may therefore continue to repair its
// engine while the table is unavailable. paused is true at first and after each
// gap, until the token was verified.
type pauseDetector struct {
	mutex     sync.Mutex
	threshold time.Duration
	lastTick  time.Time
	paused    bool
}

func newPauseDetector(threshold time.Duration, now time.Time) *pauseDetector {
	return &pauseDetector{threshold: threshold, lastTick: now, paused: true}
}

// tick records that the process runs. It must be called several times within the
// threshold.
func (detector *pauseDetector) tick(now time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.observe(now)
}

// observe updates paused from the time since the last tick. The caller holds the
// mutex.
func (detector *pauseDetector) observe(now time.Time) {
	if now.Sub(detector.lastTick) > detector.threshold {
		detector.paused = true
	}
	detector.lastTick = now
}

// mustVerify reports whether the fencing token has to be checked before the next
// order, because the process was paused since the last check.
func (detector *pauseDetector) mustVerify(now time.Time) bool {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.observe(now)
	return detector.paused
}

// markVerified records that a check that began at startedAt found the token to be
// the newest. If the check took longer than the threshold, the process may have
// been paused during it, and the token has to be checked again.
func (detector *pauseDetector) markVerified(startedAt, now time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.paused = now.Sub(startedAt) > detector.threshold
	detector.lastTick = now
}
