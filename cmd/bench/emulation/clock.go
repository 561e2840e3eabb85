// Package emulation simulates entries, engines and callers with a discrete-event
// clock. It runs the unchanged admission and placement code of lib/placements and
// compares it with other policies under load patterns that make requests wait or
// be refused.
package emulation

import (
	"container/heap"
	"time"
)

// startTime is the beginning of simulated time. Its value is arbitrary.
var startTime = time.Unix(1_800_000_000, 0)

type (
	// event is a function that runs at a simulated time. Events with the same time run
	// in the order in which they were scheduled.
	event struct {
		at       time.Time
		sequence int
		run      func()
	}

	// eventQueue is a heap of events that implements heap.Interface.
	eventQueue []event

	// clock advances simulated time from event to event.
	clock struct {
		now          time.Time
		queue        eventQueue
		lastSequence int
	}
)

func newClock() *clock { return &clock{now: startTime} }

// scheduleAt schedules an event. An event in the past runs next.
func (clock *clock) scheduleAt(at time.Time, run func()) {
	clock.lastSequence++
	heap.Push(&clock.queue, event{at: at, sequence: clock.lastSequence, run: run})
}

// scheduleAfter schedules an event after a delay from now.
func (clock *clock) scheduleAfter(delay time.Duration, run func()) {
	clock.scheduleAt(clock.now.Add(delay), run)
}

// runUntil runs all events up to and including the end time.
func (clock *clock) runUntil(end time.Time) {
	for len(clock.queue) > 0 && !clock.queue[0].at.After(end) {
		event := heap.Pop(&clock.queue).(event)
		if event.at.After(clock.now) {
			clock.now = event.at
		}
		event.run()
	}
}

func (queue eventQueue) Len() int { return len(queue) }

func (queue eventQueue) Less(left, right int) bool {
	if queue[left].at.Equal(queue[right].at) {
		return queue[left].sequence < queue[right].sequence
	}
	return queue[left].at.Before(queue[right].at)
}

func (queue eventQueue) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }

func (queue *eventQueue) Push(item any) { *queue = append(*queue, item.(event)) }

func (queue *eventQueue) Pop() any {
	lastIndex := len(*queue) - 1
	popped := (*queue)[lastIndex]
	*queue = (*queue)[:lastIndex]
	return popped
}
