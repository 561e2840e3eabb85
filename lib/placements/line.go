package placements

import (
	"slices"
	"time"
)

const (
	// paceWindow is the span over which the pace of starts is counted.
	paceWindow = time.Second
	// leastPace is assumed while nothing is known, in starts a second.
	leastPace = 2.0
)

type (
	// Waiter is a request that waits for a place. StartBy is the latest time at
	// which it may get one; a request that is not placed by then is refused. Late
	// is set where the request can't meet its target any more, since it came back
	// after a refusal or a server failed it.
	Waiter struct {
		Number       uint64
		Priority     int
		Late         bool
		StartBy      time.Time
		Requirements Requirements
	}

	// Queue is the waiting line of one service: streams that have begun, then
	// those that can still be on time, then those that can't, which use what is left; then the highest rank, and
	// within a rank whoever has to start first. It is immutable.
	Queue struct {
		waiters []Waiter
	}

	// StartRate counts how many requests a service of this entry started of late. It is
	// immutable.
	StartRate struct {
		starts []time.Time
	}
)

// With returns the line with one more waiter.
func (line Queue) With(waiter Waiter) Queue {
	at := len(line.waiters)
	for i, other := range line.waiters {
		if waiter.before(other) {
			at = i
			break
		}
	}
	return Queue{waiters: slices.Insert(slices.Clone(line.waiters), at, waiter)}
}

// Without returns the line without the waiter.
func (line Queue) Without(number uint64) Queue {
	at := slices.IndexFunc(line.waiters, func(waiter Waiter) bool { return waiter.Number == number })
	if at < 0 {
		return line
	}
	return Queue{waiters: slices.Delete(slices.Clone(line.waiters), at, at+1)}
}

// Waiters returns the waiters in order. The slice must not be changed.
func (line Queue) Waiters() []Waiter { return line.waiters }

// CountAhead counts the waiters that come before a new one.
func (line Queue) CountAhead(waiter Waiter) int {
	count := 0
	for _, other := range line.waiters {
		if !waiter.before(other) {
			count++
		}
	}
	return count
}

func (waiter Waiter) before(other Waiter) bool {
	if waiter.Requirements.Resumed != other.Requirements.Resumed {
		return waiter.Requirements.Resumed
	}
	if waiter.Late != other.Late {
		return other.Late
	}
	if waiter.Priority != other.Priority {
		return waiter.Priority < other.Priority
	}
	return waiter.StartBy.Before(other.StartBy)
}

// WithStart returns the pace after one more start.
func (pace StartRate) WithStart(now time.Time) StartRate {
	return StartRate{starts: append(pace.recent(now), now)}
}

func (pace StartRate) recent(now time.Time) []time.Time {
	from := now.Add(-paceWindow)
	at, _ := slices.BinarySearchFunc(pace.starts, from, func(start, from time.Time) int { return start.Compare(from) })
	return slices.Clone(pace.starts[at:])
}

// PerSecond returns the starts of the last second.
func (pace StartRate) PerSecond(now time.Time) float64 {
	return max(leastPace, float64(len(pace.recent(now)))/paceWindow.Seconds())
}

// ExpectedWait returns how long it takes at the present pace until a waiter with so
// many others ahead has its turn.
func (pace StartRate) ExpectedWait(ahead int, now time.Time) time.Duration {
	return time.Duration(float64(ahead+1) / pace.PerSecond(now) * float64(time.Second))
}
