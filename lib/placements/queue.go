package placements

// This file orders the requests that wait for a reservation, and estimates from the
// recent rate of starts how long they have to wait.

import (
	"slices"
	"time"

	"firford/lib/routes"
)

const (
	// rateWindow is the time over which starts are counted.
	rateWindow = time.Second
	// minStartRate is assumed while no starts are known, in starts a second.
	minStartRate = 2.0
)

type (
	// Waiter is a request that waits for a reservation. StartBy is the latest time at
	// which it may get one; a request that is not placed by then is refused. Late is
	// set if the request can no longer meet its target, because its caller retried it
	// after a refusal or a server failed it. Failover is set for a request that is at a
	// server which has fallen silent.
	Waiter struct {
		Number       uint64
		Rank         routes.Rank
		Late         bool
		Failover     bool
		StartBy      time.Time
		Requirements Requirements
	}

	// Queue is the queue of one service. Streams of which the caller already has events
	// come first, then requests at silent servers, then requests that can still be on
	// time, then late requests, which use the capacity that is left. Within each group it
	// is ordered by rank and then by StartBy. It is immutable.
	//
	// A request at a silent server was accepted: if it waited for the capacity that new
	// requests leave, its caller would give up in an overload, and the server would run
	// it for nobody once it goes on.
	Queue struct {
		waiters []Waiter
	}

	// StartRate counts how many requests of a service this entry started recently. It is
	// immutable.
	StartRate struct {
		starts []time.Time
	}
)

// With returns the queue with one more waiter.
func (queue Queue) With(waiter Waiter) Queue {
	index := len(queue.waiters)
	for i, other := range queue.waiters {
		if waiter.precedes(other) {
			index = i
			break
		}
	}
	return Queue{waiters: slices.Insert(slices.Clone(queue.waiters), index, waiter)}
}

// Without returns the queue without the waiter.
func (queue Queue) Without(number uint64) Queue {
	index := slices.IndexFunc(queue.waiters, func(waiter Waiter) bool { return waiter.Number == number })
	if index < 0 {
		return queue
	}
	return Queue{waiters: slices.Delete(slices.Clone(queue.waiters), index, index+1)}
}

// Waiters returns the waiters in order. The slice must not be changed.
func (queue Queue) Waiters() []Waiter { return queue.waiters }

// CountAhead counts the waiters to which a new one yields its turn.
func (queue Queue) CountAhead(waiter Waiter) int {
	count := 0
	for _, other := range queue.waiters {
		if waiter.yieldsTurnTo(other) {
			count++
		}
	}
	return count
}

// MayWaitLate reports whether a request that was not placed by its StartBy may wait on
// as a late one. Requests for plain services have hardly more time than their target.
func (waiter Waiter) MayWaitLate() bool {
	return waiter.Requirements.Model != "" && !waiter.Late && !waiter.Requirements.Resumed
}

// yieldsTurnTo reports whether the other waiter comes before this one and may use all
// servers that this one may use. Others, which wait for a region of their own, don't hold it
// up.
func (waiter Waiter) yieldsTurnTo(other Waiter) bool {
	return !waiter.precedes(other) && other.Requirements.Regions.Covers(waiter.Requirements.Regions)
}

func (waiter Waiter) precedes(other Waiter) bool {
	if waiter.Requirements.Resumed != other.Requirements.Resumed {
		return waiter.Requirements.Resumed
	}
	if waiter.Failover != other.Failover {
		return waiter.Failover
	}
	if waiter.Late != other.Late {
		return other.Late
	}
	if order := waiter.Rank.Compare(other.Rank); order != 0 {
		return order < 0
	}
	return waiter.StartBy.Before(other.StartBy)
}

// WithStart returns the rate after one more start.
func (rate StartRate) WithStart(now time.Time) StartRate {
	return StartRate{starts: append(rate.recentStarts(now), now)}
}

func (rate StartRate) recentStarts(now time.Time) []time.Time {
	from := now.Add(-rateWindow)
	index, _ := slices.BinarySearchFunc(rate.starts, from, func(start, from time.Time) int { return start.Compare(from) })
	return slices.Clone(rate.starts[index:])
}

// PerSecond returns the starts of the last second.
func (rate StartRate) PerSecond(now time.Time) float64 {
	return max(minStartRate, float64(len(rate.recentStarts(now)))/rateWindow.Seconds())
}

// ExpectedWait returns how long a waiter with this many others ahead waits at the
// present rate.
func (rate StartRate) ExpectedWait(ahead int, now time.Time) time.Duration {
	return time.Duration(float64(ahead+1) / rate.PerSecond(now) * float64(time.Second))
}
