// Package warmups bounds the requests that a cold server gets (slow start). Several
// entries send to the server and share no queue, so each keeps to a share of the bound
// that is safe without asking the others.
//
// The bound is dealt out to the entries in turn, beginning with position 0. A share
// therefore never grows with the number of entries or with the position, and entries
// that overestimate either never exceed the bound together.
package warmups

import (
	"math"
	"slices"
	"time"
)

const (
	// Window is the time over which the starts of an entry are counted. The bound applies
	// to each second in which requests reach the server, and requests of different seconds
	// come closer together by the differences of the network's delay.
	Window = time.Second + networkMargin
	// networkMargin covers the differences of the delay between two hosts. Delays are a
	// few milliseconds, and some ten milliseconds on a link that is almost full.
	networkMargin = 50 * time.Millisecond
	// AssumedEntries is the number of entries that is assumed until an agent tells it.
	AssumedEntries = 16
	// holdTime is how long a larger number of entries counts at least after agents have
	// told a smaller one. An agent that was restarted hears of all entries within a second,
	// and one behind a partition misses entries that reach the server once the partition
	// ends.
	holdTime = time.Minute
	// maxGap is the longest pause between two signs of life of an entry that was not
	// frozen. They come at least every 200 ms.
	maxGap = time.Second
	// settleTime is how long an entry sends nothing to cold servers after its start and
	// after it was frozen. All entries know of it by then: a report of an agent is at most
	// 1.5 s old unless the agent is dead, or comes after a pause that is not noticed. What
	// they sent before, and what the entry itself sent before its restart, is older than the
	// window.
	settleTime = maxGap + 1500*time.Millisecond + Window
	// roundingError is larger than the error of multiplying a rate by the overage.
	roundingError = 1e-9
)

type (
	// Rule is what the operator states of the warm-up of a service's servers: how long it
	// lasts after a start, and how many requests a second a cold server takes. Without
	// PerS, cold servers are not limited.
	Rule struct {
		Lasts time.Duration
		PerS  float64
	}

	// Tolerance is by how much a cold server may get more requests than its rule states:
	// the rate is multiplied by Overage, and Slack requests are added.
	Tolerance struct {
		Overage float64
		Slack   float64
	}

	// Bound is the number of requests that a cold server may get from all entries together
	// in any second.
	Bound int

	// Group is the number of entries that send to a server, and the position of this entry
	// among them. It is zero if unknown.
	Group struct {
		Count    int
		Position int
	}

	// Census holds the groups that agents told recently. It is immutable, and empty if zero.
	Census struct {
		recent, earlier Group
		// recentUntil is when recent becomes earlier.
		recentUntil time.Time
	}

	// Presence tells since when this entry runs without a long pause. It is immutable, and
	// zero before the first sign of life.
	Presence struct {
		since, seenAt time.Time
	}

	// Starts is the log of this entry's requests to one server. A request is reserved, then
	// is being sent, and then was sent at some time. It is immutable, and empty if zero.
	Starts struct {
		reserved, sending int
		sentAt            []time.Time
	}
)

// DefaultTolerance allows what the rule states.
var DefaultTolerance = Tolerance{Overage: 1}

// IsLimited reports whether the rule limits cold servers.
func (rule Rule) IsLimited() bool { return rule.PerS > 0 }

// Bound returns how many requests a cold server may get in any second.
func (rule Rule) Bound(tolerance Tolerance) Bound {
	number := math.Floor(rule.PerS*tolerance.Overage + tolerance.Slack + roundingError)
	return Bound(min(max(0, number), math.MaxInt32))
}

// Share returns how many requests this entry may start in any Window. Without a group,
// the entry counts as one of AssumedEntries without a position.
func (bound Bound) Share(group Group) int {
	if group.Count <= 0 {
		return int(bound) / AssumedEntries
	}
	return (int(bound) - group.Position + group.Count - 1) / group.Count
}

// with returns a group that shares are safe with if they are with each of the two.
func (group Group) with(other Group) Group {
	return Group{Count: max(group.Count, other.Count), Position: max(group.Position, other.Position)}
}

// isValid reports whether an agent can have told the group.
func (group Group) isValid() bool { return group.Position >= 0 && group.Position < group.Count }

// With returns the census after an agent told the group. An impossible one is ignored.
func (census Census) With(group Group, now time.Time) Census {
	if !group.isValid() {
		return census
	}
	if !now.Before(census.recentUntil) {
		census.earlier, census.recent = census.recent, Group{}
		census.recentUntil = now.Add(holdTime)
	}
	census.recent = census.recent.with(group)
	return census
}

// Group returns the group to which this entry's share is adapted, zero if no agent told
// any. Without further news it stays the last one.
func (census Census) Group() Group { return census.recent.with(census.earlier) }

// With returns the presence after a sign of life.
func (presence Presence) With(now time.Time) Presence {
	if presence.seenAt.IsZero() || now.Sub(presence.seenAt) > maxGap {
		presence.since = now
	}
	presence.seenAt = now
	return presence
}

// IsSettled reports whether the entry has run for long enough to use its share. That ends
// at once when a frozen entry wakes.
func (presence Presence) IsSettled(now time.Time) bool {
	return !presence.seenAt.IsZero() && now.Sub(presence.seenAt) <= maxGap && !now.Before(presence.since.Add(settleTime))
}

// SettledAt returns the earliest time from which the entry may use its share, if it goes on
// to run without a long pause.
func (presence Presence) SettledAt(now time.Time) time.Time {
	return presence.With(now).since.Add(settleTime)
}

// MayReserve reports whether a further request may be reserved within the share. All
// requests that are reserved already may still be sent.
func (starts Starts) MayReserve(share int, now time.Time) bool {
	return starts.reserved+starts.sending+len(starts.recent(now)) < share
}

// MaySend reports whether a reserved request may be sent within the share.
func (starts Starts) MaySend(share int, now time.Time) bool {
	return starts.sending+len(starts.recent(now)) < share
}

// NextAt returns when a request that is sent now no longer is within the same window as
// the oldest one of the log: the earliest time at which a further one may be sent.
func (starts Starts) NextAt(now time.Time) time.Time {
	recent := starts.recent(now)
	if len(recent) == 0 {
		return now
	}
	return recent[0].Add(Window)
}

// WithReserved returns the log with one more reserved request.
func (starts Starts) WithReserved() Starts {
	starts.reserved++
	return starts
}

// WithoutReserved returns the log without a reserved request, which is not sent.
func (starts Starts) WithoutReserved() Starts {
	starts.reserved--
	return starts
}

// WithSending returns the log after the sending of a reserved request began.
func (starts Starts) WithSending() Starts {
	starts.reserved--
	starts.sending++
	return starts
}

// WithoutSending returns the log without a request of which nothing was sent after all.
func (starts Starts) WithoutSending() Starts {
	starts.sending--
	return starts
}

// WithSent returns the log after a request was sent. It counts from the end of sending, as
// the entry may have been frozen since it began.
func (starts Starts) WithSent(now time.Time) Starts {
	starts.sending--
	starts.sentAt = append(slices.Clone(starts.recent(now)), now)
	return starts
}

// IsEmpty reports whether the log says nothing about the requests to come.
func (starts Starts) IsEmpty(now time.Time) bool {
	return starts.reserved == 0 && starts.sending == 0 && len(starts.recent(now)) == 0
}

// recent returns the times within the window that ends now.
func (starts Starts) recent(now time.Time) []time.Time {
	from := now.Add(-Window)
	index := 0
	for index < len(starts.sentAt) && !starts.sentAt[index].After(from) {
		index++
	}
	return starts.sentAt[index:]
}
