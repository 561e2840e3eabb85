package hosts

// This file decides what one observer takes another host for. It is pure: the
// caller passes the time and what it has seen.
//
// Two sources are kept apart. The platform's list alone says which hosts exist,
// seconds late; it is the same for everybody. Silence on a link is seen within
// SilenceLimit, but only by one observer, whose own network may be at fault, so
// its only effect is that this observer sends its new work elsewhere. Agreement
// between observers was rejected: it needs messages just when messages are lost.

import "time"

const (
	// SilenceLimit is the time without a message after which the observer suspects
	// a host. Heartbeats come each second, so two of them may be lost.
	SilenceLimit = 3 * time.Second
	// FrozenLimit is the silence after which a host counts as frozen if new
	// connections fail too: the silence limit and the time limit of one handshake.
	FrozenLimit = 6 * time.Second
	// CommonCauseWindow is the span within which many silences have one common cause.
	CommonCauseWindow = 5 * time.Second

	// States of a host as one observer sees it.

	// Live means that messages arrive.
	Live State = "live"
	// Leaving means that the platform or the host itself has announced its end: no
	// new work, work in progress finishes.
	Leaving State = "leaving"
	// Silent means that nothing has arrived within SilenceLimit: no new work.
	Silent State = "silent"
	// Frozen means that new connections to a silent host fail as well: calls in
	// progress there are not waited for.
	Frozen State = "frozen"
	// Removed means that the platform's list does not hold the host: connections
	// to it are closed.
	Removed State = "removed"
)

type (
	// State is what an observer takes a host for.
	State string

	// Sighting is what an observer has seen of one host. The zero value is a host
	// that was never reached. It is immutable.
	Sighting struct {
		heardAt  time.Time
		failedAt time.Time
		draining bool
	}
)

// WithMessage returns the sighting after any message from the host.
func (sighting Sighting) WithMessage(now time.Time) Sighting {
	sighting.heardAt = now
	sighting.failedAt = time.Time{}
	return sighting
}

// WithFailedConnection returns the sighting after a new connection has failed.
func (sighting Sighting) WithFailedConnection(now time.Time) Sighting {
	sighting.failedAt = now
	return sighting
}

// WithDrain returns the sighting after the host has said whether it is leaving.
func (sighting Sighting) WithDrain(draining bool) Sighting {
	sighting.draining = draining
	return sighting
}

// StateOf returns the state of a host. listed tells whether the platform's list
// holds it. A host that was never reached is silent.
func StateOf(host Host, listed bool, sighting Sighting, now time.Time) State {
	quiet := now.Sub(sighting.heardAt)
	switch {
	case !listed:
		return Removed
	case quiet >= FrozenLimit && sighting.failedAt.After(sighting.heardAt):
		return Frozen
	case quiet >= SilenceLimit:
		return Silent
	case host.Leaving || sighting.draining:
		return Leaving
	default:
		return Live
	}
}

// SuspectsOwnNetwork reports whether more than a third of the observed hosts have
// gone silent within one CommonCauseWindow. The cause is then more likely near the
// observer, which keeps its remaining hosts and does not replace the others.
// Hosts that were never reached don't count.
func SuspectsOwnNetwork(observed []Sighting, now time.Time) bool {
	reached, together := 0, 0
	for _, sighting := range observed {
		if sighting.heardAt.IsZero() {
			continue
		}
		reached++
		quiet := now.Sub(sighting.heardAt)
		if quiet >= SilenceLimit && quiet < SilenceLimit+CommonCauseWindow {
			together++
		}
	}
	return together > 1 && together*3 > reached
}
