// Package paces holds what a server states about how long work takes on its host at this
// moment, with the age of that statement.
//
// A host is slow for some hundred milliseconds at a stretch, so a statement loses its
// weight linearly with its age: a server that states nothing more counts as usual again.
package paces

import "time"

const (
	// Usual is the pace, in percent, of a host on which work takes as long as usual.
	Usual = 100
	// maxPercent is the highest pace that counts. A higher one would keep all requests away
	// from a server for a figure that can hardly be true: slow hosts take 2.5 times as long.
	maxPercent = 500
	// Lifetime is the age at which a statement has no weight any more. Hosts are slow for
	// about 600 ms at a stretch.
	Lifetime = 600 * time.Millisecond
	// notableChange is the change in percent that others are told at once.
	notableChange = 25
	// maxUnchanged is how long a pace above the usual may be stated unchanged until it counts
	// as usual. A figure that has stopped changing says nothing about the host.
	maxUnchanged = 5 * time.Second
	// maxGap is the time without a statement after which an equal pace counts as changed.
	maxGap = 2 * time.Second
)

// Pace is how long work takes at a server, in percent of the usual, and when it was stated.
// It is immutable. The zero value is a pace that was never stated.
type Pace struct {
	percent  int
	statedAt time.Time
	// unchangedSince is from when on the same percentage was stated.
	unchangedSince time.Time
}

// New returns the pace that was stated at the time. A percentage out of range counts as
// not stated.
func New(percent int, statedAt time.Time) Pace {
	if percent <= 0 || percent > maxPercent {
		return Pace{}
	}
	return Pace{percent: percent, statedAt: statedAt, unchangedSince: statedAt}
}

// IsStated reports whether the pace was stated at all.
func (pace Pace) IsStated() bool { return pace.percent > 0 }

// Percent returns the pace as it was stated, zero if it was not.
func (pace Pace) Percent() int { return pace.percent }

// Age returns how long ago the pace was stated.
func (pace Pace) Age(now time.Time) time.Duration { return max(0, now.Sub(pace.statedAt)) }

// IsCurrent reports whether the pace still has weight.
func (pace Pace) IsCurrent(now time.Time) bool { return pace.IsStated() && pace.Age(now) < Lifetime }

// With returns the pace after the server stated the other one. An older statement changes
// nothing.
func (pace Pace) With(other Pace) Pace {
	if !other.IsStated() || !other.statedAt.After(pace.statedAt) {
		return pace
	}
	if other.percent == pace.percent && other.statedAt.Sub(pace.statedAt) < maxGap {
		other.unchangedSince = pace.unchangedSince
	}
	return other
}

// isStuck reports whether the figure has stopped changing.
func (pace Pace) isStuck() bool { return pace.statedAt.Sub(pace.unchangedSince) > maxUnchanged }

// Factor returns by how much longer than usual work takes, at least 1. The excess over the
// usual falls linearly to nothing at the end of the lifetime.
func (pace Pace) Factor(now time.Time) float64 {
	if pace.percent <= Usual || !pace.IsCurrent(now) || pace.isStuck() {
		return 1
	}
	weight := 1 - float64(pace.Age(now))/float64(Lifetime)
	return 1 + weight*float64(pace.percent-Usual)/Usual
}

// DiffersNotably reports whether others have to be told at once that the pace has changed
// from the other one. A pace that was not stated counts as usual.
func (pace Pace) DiffersNotably(other Pace) bool {
	difference := pace.orUsual() - other.orUsual()
	return difference >= notableChange || -difference >= notableChange
}

func (pace Pace) orUsual() int {
	if !pace.IsStated() {
		return Usual
	}
	return pace.percent
}
