// Package emulation emulates entries, engines and callers in simulated time. It
// drives the decisions of lib/placements as they are and compares them with
// others under the load patterns at which requests have to wait or be refused.
package emulation

import (
	"container/heap"
	"time"
)

// start is when simulated time begins. Any time will do.
var start = time.Unix(1_800_000_000, 0)

type (
	// event is something that happens at a time. Events of the same time happen in
	// the order in which they were set.
	event struct {
		at     time.Time
		number int
		act    func()
	}

	events []event

	// clock runs events in the order of their times.
	clock struct {
		now    time.Time
		queue  events
		number int
	}
)

func newClock() *clock { return &clock{now: start} }

// at sets an event. One in the past happens next.
func (clock *clock) at(when time.Time, act func()) {
	clock.number++
	heap.Push(&clock.queue, event{at: when, number: clock.number, act: act})
}

// after sets an event by the time until it.
func (clock *clock) after(span time.Duration, act func()) { clock.at(clock.now.Add(span), act) }

// run runs all events up to the end.
func (clock *clock) run(end time.Time) {
	for len(clock.queue) > 0 && !clock.queue[0].at.After(end) {
		next := heap.Pop(&clock.queue).(event)
		if next.at.After(clock.now) {
			clock.now = next.at
		}
		next.act()
	}
}

func (events events) Len() int { return len(events) }

func (events events) Less(i, k int) bool {
	if events[i].at.Equal(events[k].at) {
		return events[i].number < events[k].number
	}
	return events[i].at.Before(events[k].at)
}

func (events events) Swap(i, k int) { events[i], events[k] = events[k], events[i] }

func (events *events) Push(each any) { *events = append(*events, each.(event)) }

func (events *events) Pop() any {
	last := len(*events) - 1
	each := (*events)[last]
	*events = (*events)[:last]
	return each
}
