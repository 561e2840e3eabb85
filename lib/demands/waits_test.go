package demands

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/routes"
)

// Guards against requests that wait in vain because more urgent ones keep being started, and
// against refusals for the sake of requests that are refused themselves or come last.
func TestExpectedWaitCountsMoreUrgentStarts(t *testing.T) {
	urgent, other := routes.Rank{Organisation: 1, Route: 0}, routes.Rank{Organisation: 1, Route: 2}
	convey.Convey("Given 20 starts of more urgent requests in a second, of 30 starts", t, func() {
		var demand Demand
		for range 20 {
			demand = demand.WithArrival(Request{Kind: strict, Rank: urgent}, at(0))
			demand = demand.WithStart(Request{Kind: strict, Rank: urgent}, at(0))
			demand = demand.WithStart(Request{Kind: strict, Rank: urgent, Late: true}, at(0))
			demand = demand.WithArrival(Request{Kind: strict, Rank: urgent}, at(0))
		}
		convey.So(demand.ExpectedWait(other, 4, 30, at(0)), convey.ShouldEqual, 500*time.Millisecond)
		convey.So(demand.ExpectedWait(urgent, 5, 30, at(0)), convey.ShouldEqual, 200*time.Millisecond)
		convey.So(demand.ExpectedWait(other, 0, 20, at(0)), convey.ShouldEqual, maxExpectedWait)
		convey.So(demand.ExpectedWait(other, 5, 30, at(10*rateMemory)), convey.ShouldAlmostEqual, 200*time.Millisecond, time.Millisecond)
	})
}
