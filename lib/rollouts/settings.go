package rollouts

import "time"

// Settings are the intervals and timeouts of a loader.
type Settings struct {
	// StatusInterval is the time between two reads of the engine's status.
	StatusInterval time.Duration
	// EngineTimeout limits one call to the engine.
	EngineTimeout time.Duration
	// LoadTimeout limits the time from the commit of an order until the engine
	// serves the version.
	LoadTimeout time.Duration
	// TableTimeout limits one call to the table or one change of the configuration.
	TableTimeout time.Duration
	// SlotLease is the time after which a slot whose lease is not renewed is free.
	SlotLease time.Duration
	// FenceCheckInterval is the time between two checks that no later agent has
	// acquired the fencing token.
	FenceCheckInterval time.Duration
	// PauseThreshold is the longest gap between two ticks of the pause detector. The
	// process counts as paused after a longer gap and has to check its fencing token
	// before the next order.
	PauseThreshold time.Duration
}

// DefaultSettings returns the settings for production. SlotLease is much longer
// than a slow call to the table, and is renewed after a third of it. With these
// settings, two failed reads of a frozen engine take about five seconds.
func DefaultSettings() Settings {
	return Settings{
		StatusInterval:     time.Second,
		EngineTimeout:      2 * time.Second,
		LoadTimeout:        10 * time.Minute,
		TableTimeout:       3 * time.Second,
		SlotLease:          30 * time.Second,
		FenceCheckInterval: 30 * time.Second,
		PauseThreshold:     3 * time.Second,
	}
}
