package paces

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a stale or wrong figure that keeps requests away from a server.
func TestFactorFades(t *testing.T) {
	convey.Convey("Given a pace of 250", t, func() {
		pace := New(250, start)
		convey.So(pace.Factor(start), convey.ShouldEqual, 2.5)
		convey.So(pace.Factor(start.Add(-time.Second)), convey.ShouldEqual, 2.5)
		convey.So(pace.Factor(start.Add(Lifetime/2)), convey.ShouldEqual, 1.75)
		convey.So(pace.Factor(start.Add(Lifetime)), convey.ShouldEqual, 1)
	})
	convey.Convey("Paces out of range are not stated", t, func() {
		for _, percent := range []int{-100, 0, maxPercent + 1} {
			convey.So(New(percent, start), convey.ShouldResemble, Pace{})
		}
	})
	convey.Convey("The newer pace counts, and a change of 25 is notable", t, func() {
		old, recent := New(250, start), New(100, start.Add(time.Millisecond))
		convey.So(old.With(recent), convey.ShouldResemble, recent)
		convey.So(recent.With(old), convey.ShouldResemble, recent)
		convey.So(old.With(Pace{}), convey.ShouldResemble, old)
		convey.So(New(125, start).DiffersNotably(Pace{}), convey.ShouldBeTrue)
		convey.So(New(124, start).DiffersNotably(recent), convey.ShouldBeFalse)
	})
}

// Guards against a server whose figure has stopped changing: it would get fewer requests
// for ever.
func TestAFigureThatStopsChangingCountsAsUsual(t *testing.T) {
	convey.Convey("Given a server that states 250 in each answer", t, func() {
		pace, now := Pace{}, start
		for ; now.Before(start.Add(maxUnchanged + time.Second)); now = now.Add(100 * time.Millisecond) {
			pace = pace.With(New(250, now))
			convey.So(pace.Factor(now) > 1, convey.ShouldEqual, now.Sub(start) <= maxUnchanged)
		}
		convey.Convey("Then another figure counts at once", func() {
			convey.So(pace.With(New(240, now)).Factor(now), convey.ShouldEqual, 2.4)
		})
		convey.Convey("Then it counts again after a pause without statements", func() {
			now = now.Add(maxGap)
			convey.So(pace.With(New(250, now)).Factor(now), convey.ShouldEqual, 2.5)
		})
	})
}

// Guards against a factor below 1, with which a wrong figure would attract requests, and
// against one that grows with the age of its statement.
func TestFactorIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pace := New(rapid.Int().Draw(t, "percent"), start)
		earlier := rapid.Int64Range(0, int64(2*Lifetime)).Draw(t, "earlier")
		later := earlier + rapid.Int64Range(0, int64(Lifetime)).Draw(t, "later")
		first, second := pace.Factor(start.Add(time.Duration(earlier))), pace.Factor(start.Add(time.Duration(later)))
		if second < 1 || second > first || first > maxPercent/Usual {
			t.Fatalf("factor %f at %d, %f at %d", first, earlier, second, later)
		}
	})
}
