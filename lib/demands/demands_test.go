package demands

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	strict = Kind{Route: "strict", Rank: 0, Target: 400 * time.Millisecond}
	lax    = Kind{Route: "lax", Rank: 2, Target: time.Second}
)

func at(after time.Duration) time.Time { return start.Add(after) }

// demandOf returns the demand after this many requests of each kind, in turn.
func demandOf(now time.Time, counts map[Kind]int) Demand {
	var demand Demand
	for kind, count := range counts {
		for range count {
			demand = demand.WithArrival(Request{Kind: kind, Tokens: 100 * (kind.Rank + 1)}, now)
		}
	}
	return demand
}

// Guards against decisions that change for a deployment whose kinds have one rank, or for
// the sake of a few requests.
func TestTypicalNeedsKindsOfDifferentRankInUse(t *testing.T) {
	convey.Convey("Given demands for a service", t, func() {
		sameRank := Kind{Route: "other", Rank: 2, Target: time.Millisecond}
		for _, each := range []struct {
			counts map[Kind]int
			kinds  int
		}{
			{map[Kind]int{lax: 100, sameRank: 100}, 0},
			{map[Kind]int{lax: 97, strict: 3}, 0},
			{map[Kind]int{lax: 5, strict: 5}, 0},
			{map[Kind]int{lax: 90, strict: 10}, 2},
			{map[Kind]int{lax: 90, strict: 10, sameRank: 2}, 2},
			{map[Kind]int{{}: 50}, 0},
		} {
			convey.So(demandOf(at(0), each.counts).Typical(at(0)), convey.ShouldHaveLength, each.kinds)
		}
	})
}

// Guards against typical requests that show the history instead of the present demand.
func TestTypicalRequestsFollowTheDemand(t *testing.T) {
	convey.Convey("Given kinds whose prompts were short and are longer now", t, func() {
		demand := demandOf(at(0), map[Kind]int{strict: 100, lax: 300})
		typical := demand.Typical(at(0))
		convey.So(typical[0].Kind, convey.ShouldResemble, strict)
		convey.So(typical[0].Tokens, convey.ShouldEqual, 100)
		convey.So(typical[0].Share, convey.ShouldAlmostEqual, 0.25)
		now := at(4 * shareMemory)
		for range 100 {
			demand = demand.WithArrival(Request{Kind: strict, Tokens: 900}, now)
			demand = demand.WithArrival(Request{Kind: lax, Tokens: 300}, now)
		}
		convey.So(demand.Typical(now)[0].Tokens, convey.ShouldAlmostEqual, 900, 20)
		convey.So(demand.Typical(now)[0].Share, convey.ShouldAlmostEqual, 0.5, 0.02)
		convey.Convey("Then a kind that is not requested any more is forgotten", func() {
			now = at(20 * shareMemory)
			demand = demand.WithArrival(Request{Kind: lax}, now)
			convey.So(demand.kinds, convey.ShouldHaveLength, 1)
		})
	})
}

// Guards against room that is reserved for requests which may wait, or which are less
// urgent.
func TestStricterKinds(t *testing.T) {
	convey.Convey("Given pairs of kinds", t, func() {
		convey.So(strict.IsStricterThan(lax), convey.ShouldBeTrue)
		convey.So(lax.IsStricterThan(strict), convey.ShouldBeFalse)
		convey.So(strict.IsStricterThan(strict), convey.ShouldBeFalse)
		convey.So(Kind{Rank: 3, Target: time.Millisecond}.IsStricterThan(lax), convey.ShouldBeFalse)
		convey.So(Kind{}.IsStricterThan(lax), convey.ShouldBeFalse)
	})
}
