package fake

// Tests and benches change the faults of an engine while it runs, through POST
// /faults. Faults delay, stop, refuse or damage answers, or make loads fail.

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kinds of damage to an answer.
const (
	damageNone      damage = iota
	damageDuplicate        // One token is sent twice.
	damageGap              // One token is left out.
	damageMalformed        // One line is not valid JSON.
	damageTotal            // The last line states a wrong number of tokens.
	damageKinds
)

type (
	damage int

	// faults are the active faults of one engine. POST /faults changes the fields
	// that are in its body and leaves the others as they are.
	faults struct {
		DelayMS      int64   `json:"delay_ms"`      // Delay before each response.
		Freeze       bool    `json:"freeze"`        // The engine takes no steps and sends no responses.
		FailLoad     bool    `json:"fail_load"`     // Loads fail half-way; the previous version is served again.
		LoseVersion  bool    `json:"lose_version"`  // A failed load leaves the engine without a version.
		Corrupt      int64   `json:"corrupt"`       // Every n-th answer is damaged; 0 means none.
		Silent       bool    `json:"silent"`        // Connections open at the change accept requests and never answer.
		RefuseTokens bool    `json:"refuse_tokens"` // Orders with an old fencing token are refused.
		Speed        float64 `json:"speed"`         // Factor by which steps and calls are faster.
		Leaving      bool    `json:"leaving"`       // The status reports leaving and new requests are refused.

		silentSince time.Time
	}
)

// with returns the faults after a change, which is the body of POST /faults.
func (current faults) with(change []byte, now time.Time) (faults, error) {
	next := current
	if err := json.Unmarshal(change, &next); err != nil {
		return current, fmt.Errorf("faults: %w", err)
	}
	if next.Speed <= 0 || next.DelayMS < 0 || next.Corrupt < 0 {
		return current, fmt.Errorf("faults: speed must be positive, delay and corrupt not negative")
	}
	var given struct {
		Silent *bool `json:"silent"`
	}
	if err := json.Unmarshal(change, &given); err == nil && given.Silent != nil {
		next.silentSince = now
	}
	return next, nil
}

// silencesConnection reports whether a connection that was opened at the given
// time is silent.
func (current faults) silencesConnection(opened time.Time) bool {
	return current.Silent && opened.Before(current.silentSince)
}

// damageFor returns the damage to the answer with the number. Successive damaged
// answers cycle through the kinds.
func (current faults) damageFor(answer int64) damage {
	if current.Corrupt == 0 || answer%current.Corrupt != 0 {
		return damageNone
	}
	return 1 + damage(answer/current.Corrupt)%(damageKinds-1)
}

// setFaults applies a change and wakes the goroutines that wait for a change of
// the faults.
func (engine *Engine) setFaults(change []byte) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	next, err := engine.faults.with(change, time.Now())
	if err != nil {
		return err
	}
	engine.faults = next
	close(engine.faultsChanged)
	engine.faultsChanged = make(chan struct{})
	engine.wakeBatch()
	return nil
}

// waitWhileBlocked blocks while the engine is frozen or a connection opened at
// the given time is silent. It returns false if the engine ends first.
func (engine *Engine) waitWhileBlocked(opened time.Time) bool {
	for {
		engine.mutex.Lock()
		blocked := engine.faults.Freeze || engine.faults.silencesConnection(opened)
		changed := engine.faultsChanged
		engine.mutex.Unlock()
		if !blocked {
			return engine.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-engine.ctx.Done():
			return false
		}
	}
}

// delayResponse sleeps for the delay of the faults.
func (engine *Engine) delayResponse() {
	engine.mutex.Lock()
	delay := time.Duration(engine.faults.DelayMS) * time.Millisecond
	engine.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}
