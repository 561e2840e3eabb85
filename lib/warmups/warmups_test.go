package warmups

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

func at(after time.Duration) time.Time { return start.Add(after) }

// TestBounds guards against a bound that is too high by rounding or overflow, or too low.
func TestBounds(t *testing.T) {
	convey.Convey("The bound is the rate times the overage plus the slack, rounded down", t, func() {
		convey.So(Rule{PerS: 26}.Bound(Tolerance{Overage: 1.5, Slack: 5}), convey.ShouldEqual, 44)
		convey.So(Rule{PerS: 26}.Bound(DefaultTolerance), convey.ShouldEqual, 26)
		convey.So(Rule{PerS: 0.1}.Bound(Tolerance{Overage: 30}), convey.ShouldEqual, 3)
		convey.So(Rule{PerS: 0.9}.Bound(DefaultTolerance), convey.ShouldEqual, 0)
		convey.So(Rule{PerS: 1e308}.Bound(Tolerance{Overage: 1000}), convey.ShouldEqual, 1<<31-1)
		convey.So(Rule{PerS: 1}.Bound(Tolerance{Slack: -5}), convey.ShouldEqual, 0)
		convey.So(Rule{Lasts: time.Second}.IsLimited(), convey.ShouldBeFalse)
	})
}

// TestSharesAddUp guards against shares that exceed the bound together or leave a part of
// it unused, and against an entry that gets more when it hears of more entries.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound, count := Bound(rapid.IntRange(0, 200).Draw(t, "bound")), rapid.IntRange(1, 400).Draw(t, "count")
		sum := 0
		for position := range count {
			share := bound.Share(Group{Count: count, Position: position})
			sum += share
			if share < bound.Share(Group{Count: count + 1, Position: position}) || share < bound.Share(Group{Count: count + 1, Position: position + 1}) {
				t.Fatalf("position %d gets more with one more entry", position)
			}
		}
		if sum != int(bound) {
			t.Fatalf("the shares add up to %d", sum)
		}
	})
}

// TestCensus guards against a share that grows at once when an agent was restarted, or
// never grows again, and against impossible groups.
func TestCensus(t *testing.T) {
	convey.Convey("Without a report, 16 entries are assumed", t, func() {
		convey.So(Bound(44).Share(Census{}.Group()), convey.ShouldEqual, 2)
		convey.So(Bound(44).Share(Census{}.With(Group{Count: 3, Position: 3}, at(0)).Group()), convey.ShouldEqual, 2)
		convey.So(Bound(44).Share(Census{}.With(Group{Count: 3, Position: -1}, at(0)).Group()), convey.ShouldEqual, 2)
	})
	convey.Convey("Given a report of 14 entries", t, func() {
		census := Census{}.With(Group{Count: 14, Position: 5}, at(0))
		convey.So(Bound(44).Share(census.Group()), convey.ShouldEqual, 3)
		convey.Convey("a smaller number counts only after a minute", func() {
			census = census.With(Group{Count: 1}, at(59*time.Second)).With(Group{Count: 7}, at(61*time.Second))
			convey.So(census.Group(), convey.ShouldResemble, Group{Count: 14, Position: 5})
			census = census.With(Group{Count: 7}, at(122*time.Second))
			convey.So(census.Group(), convey.ShouldResemble, Group{Count: 7})
		})
		convey.Convey("a larger number counts at once", func() {
			convey.So(census.With(Group{Count: 20, Position: 5}, at(time.Second)).Group().Count, convey.ShouldEqual, 20)
		})
	})
}

// TestPresence guards against an entry that uses a share right after its start or right
// after it was frozen, when the others don't know of it.
func TestPresence(t *testing.T) {
	convey.Convey("Given an entry that shows signs of life", t, func() {
		var presence Presence
		convey.So(presence.IsSettled(at(0)), convey.ShouldBeFalse)
		now := at(0)
		for ; now.Before(at(settleTime)); now = now.Add(maxGap / 2) {
			presence = presence.With(now)
			convey.So(presence.IsSettled(now), convey.ShouldBeFalse)
		}
		presence = presence.With(now)
		convey.So(presence.IsSettled(now), convey.ShouldBeTrue)
		convey.Convey("it must settle again after a pause", func() {
			awake := now.Add(maxGap + time.Millisecond)
			convey.So(presence.IsSettled(awake), convey.ShouldBeFalse)
			convey.So(presence.With(awake).IsSettled(awake), convey.ShouldBeFalse)
		})
	})
}
