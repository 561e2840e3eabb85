package fake

import (
	"encoding/json"
	"fmt"
	"time"
)

// Ways in which an answer is damaged.
const (
	damageNone damage = iota
	damageDoubled
	damageSkipped
	damageMalformed
	damageTotal
	damageKinds
)

type (
	damage int

	// faults are the switches of one engine. A call of POST /faults changes the
	// fields that it names and leaves the others.
	faults struct {
		DelayMS      int64   `json:"delay_ms"`      // Before each response.
		Freeze       bool    `json:"freeze"`        // No steps and no responses.
		FailLoad     bool    `json:"fail_load"`     // Loads fail half-way; the earlier version stays.
		LoseVersion  bool    `json:"lose_version"`  // A failed load leaves no version at all.
		Corrupt      int64   `json:"corrupt"`       // Each answer of this number is damaged; 0: none.
		Silent       bool    `json:"silent"`        // Connections open now accept requests and never answer.
		RefuseTokens bool    `json:"refuse_tokens"` // Orders with an old fencing token are refused.
		Speed        float64 `json:"speed"`         // Steps are this many times as fast.
		Leaving      bool    `json:"leaving"`       // The status says leaving; new requests are refused.

		silentSince time.Time
	}
)

func (current faults) with(change []byte, now time.Time) (faults, error) {
	next := current
	if err := json.Unmarshal(change, &next); err != nil {
		return current, fmt.Errorf("faults: %w", err)
	}
	if next.Speed <= 0 || next.DelayMS < 0 || next.Corrupt < 0 {
		return current, fmt.Errorf("faults: speed must be positive, delay and corrupt not negative")
	}
	var named struct {
		Silent *bool `json:"silent"`
	}
	if err := json.Unmarshal(change, &named); err == nil && named.Silent != nil {
		next.silentSince = now
	}
	return next, nil
}

// silences reports whether a connection opened at the time is a silent one.
func (current faults) silences(opened time.Time) bool {
	return current.Silent && opened.Before(current.silentSince)
}

func (current faults) damageOf(answer int64) damage {
	if current.Corrupt == 0 || answer%current.Corrupt != 0 {
		return damageNone
	}
	return 1 + damage(answer/current.Corrupt)%(damageKinds-1)
}

// setFaults applies a change and wakes whatever waits for one.
func (engine *Engine) setFaults(change []byte) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	next, err := engine.faults.with(change, time.Now())
	if err != nil {
		return err
	}
	engine.faults = next
	close(engine.changed)
	engine.changed = make(chan struct{})
	engine.nudge()
	return nil
}

// hold blocks while the engine is frozen or the connection is silent. It
// reports false when the engine ends first.
func (engine *Engine) hold(opened time.Time) bool {
	for {
		engine.mutex.Lock()
		held := engine.faults.Freeze || engine.faults.silences(opened)
		changed := engine.changed
		engine.mutex.Unlock()
		if !held {
			return engine.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-engine.ctx.Done():
			return false
		}
	}
}

func (engine *Engine) delay() {
	engine.mutex.Lock()
	span := time.Duration(engine.faults.DelayMS) * time.Millisecond
	engine.mutex.Unlock()
	if span > 0 {
		time.Sleep(span)
	}
}
