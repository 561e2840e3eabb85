package placements

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/demands"
)

// Guards against requests of a kind that gets idle engines only, of an urgent organisation,
// which hold up more urgent kinds with the same target, and against late requests that
// arrive and overtake those that wait for the same idle engines.
func TestRequestsThatNeedIdleEnginesHoldUpOnlyEachOther(t *testing.T) {
	second := strictRequest
	second.Kind = demands.Kind{Route: "second", Rank: 1, Target: strictRequest.Kind.Target}
	newDispatcher := func() *Dispatcher {
		return rankedDispatcher(zeroRandom, []string{"a"}, map[demands.Request]int{strictRequest: 50, second: 50})
	}
	const pending = 1000
	convey.Convey("Given many requests of a kind that is started more often than a more urgent one", t, func() {
		dispatcher := newDispatcher()
		startAll(dispatcher, strictRequest, 30)
		startAll(dispatcher, second, 45)
		reportPending(dispatcher, "a", pending, at(0))
		for range 2 * maxPlacementFailures {
			waiter := rankedWaiter(second, at(0))
			waiter.Rank.Organisation = 0
			convey.So(dispatcher.Admit(waiter, at(0)), convey.ShouldHaveSameTypeAs, Queued{})
		}
		convey.Convey("Then a more urgent one that arrives is placed", func() {
			convey.So(dispatcher.Admit(rankedWaiter(strictRequest, at(0)), at(0)), convey.ShouldHaveSameTypeAs, Placed{})
		})
		convey.Convey("Then a more urgent one that waits is placed", func() {
			waiter := rankedWaiter(strictRequest, at(0))
			waiter.Number = 1000
			dispatcher.queues["pool"] = dispatcher.queues["pool"].With(waiter)
			grants := dispatcher.Dispatch("pool", at(0))
			convey.So(grants, convey.ShouldHaveLength, 1)
			convey.So(grants[0].Number, convey.ShouldEqual, 1000)
		})
	})
	convey.Convey("Given a late request that waits, and an engine that has become idle", t, func() {
		dispatcher := newDispatcher()
		reportPending(dispatcher, "a", 3200, at(0))
		late := rankedWaiter(strictRequest, at(0))
		late.Late, late.Requirements.Late, late.StartBy = true, true, at(0).Add(time.Second)
		convey.So(dispatcher.Admit(late, at(0)), convey.ShouldHaveSameTypeAs, Queued{})
		reportPending(dispatcher, "a", 0, at(0))
		convey.Convey("Then another late one does not overtake it", func() {
			late.StartBy = late.StartBy.Add(time.Second)
			convey.So(dispatcher.Admit(late, at(0)), convey.ShouldHaveSameTypeAs, Queued{})
		})
	})
}
