package hosts

// This file derives the state that one observer assigns to another host. The
// functions are pure: the caller passes the time and what it has observed.
//
// Two sources are kept apart. Only the platform's list determines which hosts
// exist; it is the same for all processes, but seconds late. Silence on a link
// is detected within SilenceLimit, but only by one observer, whose own network
// may be at fault. Its only effect is therefore that this observer sends its
// new work elsewhere. Agreement between observers was rejected because it needs
// messages exactly when messages are lost.

import "time"

const (
	// SilenceLimit is the time without a message after which an observer suspects
	// a host. Heartbeats are sent every second, so two of them may be lost.
	SilenceLimit = 3 * time.Second
	// FrozenLimit is the silence after which a host counts as frozen if new
	// connections fail as well. It is the sum of SilenceLimit and the time limit
	// of one handshake.
	FrozenLimit = 6 * time.Second
	// CommonCauseWindow is the period within which several hosts that fall silent
	// are assumed to have a common cause.
	CommonCauseWindow = 5 * time.Second

	// States of a host as one observer sees it.

	// Live means that messages arrive.
	Live State = "live"
	// Leaving means that the platform or the host itself has announced its
	// shutdown: the host gets no new work, and work in progress finishes.
	Leaving State = "leaving"
	// Silent means that no message has arrived within SilenceLimit: the host gets
	// no new work.
	Silent State = "silent"
	// Frozen means that new connections to a silent host fail as well: calls in
	// progress on it are abandoned.
	Frozen State = "frozen"
	// Removed means that the platform's list doesn't contain the host: connections
	// to it are closed.
	Removed State = "removed"
)

type (
	// State is the state that an observer assigns to a host.
	State string

	// Observation is what an observer knows about one host from its connections.
	// The zero value describes a host that was never reached. It is immutable.
	Observation struct {
		lastMessageAt   time.Time
		connectFailedAt time.Time
		draining        bool
	}
)

// WithMessage returns the observation after a message of any kind from the
// host.
func (observation Observation) WithMessage(now time.Time) Observation {
	observation.lastMessageAt = now
	observation.connectFailedAt = time.Time{}
	return observation
}

// WithFailedConnection returns the observation after an attempt to connect has
// failed.
func (observation Observation) WithFailedConnection(now time.Time) Observation {
	observation.connectFailedAt = now
	return observation
}

// WithDrain returns the observation after the host has reported whether it is
// draining.
func (observation Observation) WithDrain(draining bool) Observation {
	observation.draining = draining
	return observation
}

// StateOf returns the state of a host. listed tells whether the platform's list
// contains it. A host that was never reached is silent.
func StateOf(host Host, listed bool, observation Observation, now time.Time) State {
	silence := now.Sub(observation.lastMessageAt)
	switch {
	case !listed:
		return Removed
	case silence >= FrozenLimit && observation.connectFailedAt.After(observation.lastMessageAt):
		return Frozen
	case silence >= SilenceLimit:
		return Silent
	case host.Leaving || observation.draining:
		return Leaving
	default:
		return Live
	}
}

// SuspectsOwnNetwork reports whether more than a third of the observed hosts
// have fallen silent within one CommonCauseWindow. The cause is then probably
// close to the observer, so it keeps using the hosts that it still reaches and
// does not replace the others. Hosts that were never reached don't count.
func SuspectsOwnNetwork(observed []Observation, now time.Time) bool {
	reached, recentlySilent := 0, 0
	for _, observation := range observed {
		if observation.lastMessageAt.IsZero() {
			continue
		}
		reached++
		silence := now.Sub(observation.lastMessageAt)
		if silence >= SilenceLimit && silence < SilenceLimit+CommonCauseWindow {
			recentlySilent++
		}
	}
	return recentlySilent > 1 && recentlySilent*3 > reached
}
