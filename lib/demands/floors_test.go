package demands

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// load is a number of arrivals of a request, and how many of them are started.
type load struct {
	request          Request
	arrived, started int
}

func replay(loads ...load) Demand {
	var demand Demand
	for _, each := range loads {
		for i := range each.arrived {
			demand = demand.WithArrival(each.request, at(0))
			if i < each.started {
				demand = demand.WithStart(each.request, at(0))
			}
		}
	}
	return demand
}

// Guards against kinds, organisations and long prompts that get no service in a long
// overload, and against floors that a few refusals by chance set off.
func TestFloors(t *testing.T) {
	first, third := Request{Kind: strict, Organisation: "a", Tokens: 787}, Request{Kind: lax, Organisation: "a", Tokens: 1290}
	rare := third
	rare.Organisation = "b"
	convey.Convey("Given loads of two kinds", t, func() {
		convey.Convey("Then a kind below a quarter of the mean is below its floor", func() {
			demand := replay(load{first, 100, 90}, load{third, 100, 10})
			convey.So(demand.IsBelowFloor(third, at(0)), convey.ShouldBeTrue)
			convey.So(demand.IsBelowFloor(first, at(0)), convey.ShouldBeFalse)
			convey.So(replay(load{first, 100, 90}, load{third, 100, 20}).IsBelowFloor(third, at(0)), convey.ShouldBeFalse)
		})
		convey.Convey("Then so is an organisation, but not after a few requests", func() {
			convey.So(replay(load{third, 100, 90}, load{rare, 20, 2}).IsBelowFloor(rare, at(0)), convey.ShouldBeTrue)
			convey.So(replay(load{third, 100, 90}, load{rare, minCompared - 1, 0}).IsBelowFloor(rare, at(0)), convey.ShouldBeFalse)
		})
		convey.Convey("Then so are the longest prompts below half of their kind", func() {
			long := third
			long.Tokens = 4000
			var demand Demand
			for range 20 {
				for _, each := range []load{{third, 10, 9}, {long, 1, 0}} {
					for i := range each.arrived {
						demand = demand.WithArrival(each.request, at(0))
						if i < each.started {
							demand = demand.WithStart(each.request, at(0))
						}
					}
				}
			}
			convey.So(demand.IsBelowFloor(long, at(0)), convey.ShouldBeTrue)
			convey.So(demand.IsBelowFloor(third, at(0)), convey.ShouldBeFalse)
		})
		convey.Convey("Then what is long ago does not count", func() {
			demand := replay(load{first, 100, 90}, load{third, 100, 10})
			convey.So(demand.IsBelowFloor(third, at(10*floorMemory)), convey.ShouldBeFalse)
		})
	})
}

// Guards against a kind that is served more often than a more urgent one.
func TestInversionOfRanks(t *testing.T) {
	first, third := Request{Kind: strict, Tokens: 787}, Request{Kind: lax, Tokens: 1290}
	convey.Convey("Given shares of starts of two kinds", t, func() {
		convey.So(replay(load{first, 100, 70}, load{third, 100, 80}).IsAboveMoreUrgent(lax, at(0)), convey.ShouldBeTrue)
		convey.So(replay(load{first, 100, 70}, load{third, 100, 74}).IsAboveMoreUrgent(lax, at(0)), convey.ShouldBeFalse)
		convey.So(replay(load{first, 100, 90}, load{third, 100, 70}).IsAboveMoreUrgent(strict, at(0)), convey.ShouldBeFalse)
	})
}
