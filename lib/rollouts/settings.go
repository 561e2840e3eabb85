package rollouts

import "time"

// Settings are the durations of a loader.
type Settings struct {
	// StatusInterval is the time between two reads of what the engine serves.
	StatusInterval time.Duration
	// EngineTimeout bounds one call to the engine.
	EngineTimeout time.Duration
	// LoadTimeout bounds the time from the commit of an order until the engine
	// serves the version.
	LoadTimeout time.Duration
	// StoreTimeout bounds one call to the table.
	StoreTimeout time.Duration
	// SlotLease is the time after which a slot that is not renewed is free.
	SlotLease time.Duration
	// FenceCheckInterval is the time between two checks that no later agent has taken
	// the fencing token.
	FenceCheckInterval time.Duration
	// PauseThreshold is the gap between two ticks from which on the process counts as
	// paused, so that it checks its token before the next order.
	PauseThreshold time.Duration
}

// DefaultSettings returns the settings of a real fleet. The lease is far above
// the duration of a slow call to the store, and a third of it passes between
// two renewals. Two failed reads of a frozen engine take about five seconds.
func DefaultSettings() Settings {
	return Settings{
		StatusInterval:     time.Second,
		EngineTimeout:      2 * time.Second,
		LoadTimeout:        10 * time.Minute,
		StoreTimeout:       3 * time.Second,
		SlotLease:          30 * time.Second,
		FenceCheckInterval: 30 * time.Second,
		PauseThreshold:     3 * time.Second,
	}
}
