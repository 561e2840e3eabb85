package placements

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/regions"
)

// entries are as many as share a server whose load is not reported.
const entries = 1 / unreportedShare

// stoppingLoad is a load in simulated time: requests arrive at an entry whose only server
// works on each for the same time, until the entry ends.
type stoppingLoad struct {
	slots                      int
	interval, work             time.Duration
	stopsAt, arriveUntil, ends time.Duration
}

// stopResult counts the requests that were answered, that were refused, and that the end of
// the entry cut off at the server or in the queue. lastRefusal is when the last waiting one
// was refused.
type stopResult struct {
	answered, refused, cutAtServer, cutInQueue int
	lastRefusal                                time.Duration
}

// replay plays the load in steps of a millisecond.
func (load stoppingLoad) replay() stopResult {
	dispatcher := NewDispatcher(newRegionalFleet(newPlainServer("a", "north-1", entries*load.slots)), zeroRandom)
	running := map[*Reservation]time.Duration{}
	waiting := map[uint64]bool{}
	var result stopResult
	start := func(reservation *Reservation, now time.Duration) {
		if _, isForbidden := dispatcher.PermissionToSend(reservation, regions.Set{}, at(now)).(MayNotSend); isForbidden {
			dispatcher.Release(reservation, Abandoned, at(now))
			result.refused++
			return
		}
		running[reservation] = now + load.work
	}
	refuse := func(refusals []Refusal, now time.Duration) {
		for _, refusal := range refusals {
			delete(waiting, refusal.Number)
			result.refused++
			result.lastRefusal = now
		}
	}
	for now := time.Duration(0); now < load.ends; now += time.Millisecond {
		for reservation, endsAt := range running {
			if now >= endsAt {
				delete(running, reservation)
				dispatcher.Release(reservation, Answered, at(now))
				result.answered++
			}
		}
		for _, grant := range dispatcher.Dispatch("desk", at(now)) {
			delete(waiting, grant.Number)
			start(grant.Reservation, now)
		}
		switch {
		case now == load.stopsAt:
			refuse(dispatcher.Stop(at(load.ends), at(now)), now)
		case now > load.stopsAt:
			refuse(dispatcher.RefuseTooLate(at(now)), now)
		}
		if now >= load.arriveUntil || now%load.interval != 0 {
			continue
		}
		waiter := waiterIn(regions.Set{}, at(now+time.Hour))
		waiter.Requirements.Route, waiter.Requirements.Target = "slip", 2*load.work
		switch decision := dispatcher.Admit(waiter, at(now)).(type) {
		case Placed:
			start(decision.Reservation, now)
		case Queued:
			waiting[decision.Number] = true
		case Refused:
			result.refused++
		}
	}
	result.cutAtServer, result.cutInQueue = len(running), len(waiting)
	return result
}

// Guards against an entry that stops and ends with requests in its queue, or with requests
// that it has passed on too late to be answered: their callers get no answer and can't tell
// whether they ran. And against requests that it refuses although they can be answered.
func TestStoppingEntryStartsWhatItCanAnswer(t *testing.T) {
	convey.Convey("Given an entry with more requests than it can answer before it ends", t, func() {
		load := stoppingLoad{slots: 4, interval: 100 * time.Millisecond, work: time.Second, stopsAt: 6 * time.Second, arriveUntil: 8 * time.Second, ends: 12 * time.Second}
		result := load.replay()
		convey.So(result.cutInQueue, convey.ShouldEqual, 0)
		convey.So(result.cutAtServer, convey.ShouldEqual, 0)
		convey.Convey("Then it goes on to answer while it can", func() {
			mostPossible := load.slots * int(load.ends/load.work)
			convey.So(result.answered, convey.ShouldBeGreaterThanOrEqualTo, mostPossible-2*load.slots)
			convey.So(result.answered+result.refused, convey.ShouldEqual, int(load.arriveUntil/load.interval))
		})
		convey.Convey("Then no request waits until the end for its refusal", func() {
			convey.So(result.lastRefusal, convey.ShouldBeLessThanOrEqualTo, load.ends-load.work)
		})
	})
	convey.Convey("Given an entry with few requests, all that can be answered are", t, func() {
		load := stoppingLoad{slots: 4, interval: 300 * time.Millisecond, work: time.Second, stopsAt: 6 * time.Second, arriveUntil: 8 * time.Second, ends: 12 * time.Second}
		result := load.replay()
		convey.So(result, convey.ShouldResemble, stopResult{answered: 27})
	})
	convey.Convey("Given answers of which none is known, the target of the route counts", t, func() {
		dispatcher := NewDispatcher(newRegionalFleet(newPlainServer("a", "north-1", 2*entries)), zeroRandom)
		dispatcher.Stop(at(time.Second), at(0))
		waiter := waiterIn(regions.Set{}, at(time.Hour))
		waiter.Requirements.Route, waiter.Requirements.Target = "slip", 400*time.Millisecond
		convey.So(dispatcher.Admit(waiter, at(500*time.Millisecond)), convey.ShouldHaveSameTypeAs, Placed{})
		refused, isRefused := dispatcher.Admit(waiter, at(700*time.Millisecond)).(Refused)
		convey.So(isRefused, convey.ShouldBeTrue)
		convey.So(refused.Cause, convey.ShouldEqual, Stopping)
		convey.So(refused.RetryAfter, convey.ShouldEqual, StoppingRetryAfter)
		convey.Convey("And a stream in progress is continued until the end", func() {
			waiter.Requirements.Resumed = true
			convey.So(dispatcher.Admit(waiter, at(700*time.Millisecond)), convey.ShouldHaveSameTypeAs, Placed{})
		})
	})
	convey.Convey("Given a process that stood still between the reservation and the send, nothing is sent", t, func() {
		dispatcher := NewDispatcher(newRegionalFleet(newPlainServer("a", "north-1", entries)), zeroRandom)
		waiter := waiterIn(regions.Set{}, at(time.Hour))
		waiter.Requirements.Route, waiter.Requirements.Target = "slip", 400*time.Millisecond
		reservation := dispatcher.Admit(waiter, at(0)).(Placed).Reservation
		dispatcher.Stop(at(time.Second), at(0))
		convey.So(dispatcher.PermissionToSend(reservation, regions.Set{}, at(0)), convey.ShouldHaveSameTypeAs, MaySend{})
		convey.So(dispatcher.PermissionToSend(reservation, regions.Set{}, at(900*time.Millisecond)), convey.ShouldResemble, MayNotSend{Cause: EntryStops})
	})
}
