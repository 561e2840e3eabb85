package shares

import (
	"math"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

// demands returns random demands, some of which are not stated, but the first is.
func demands(t *rapid.T) []Demand {
	figures := rapid.SliceOfN(rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 200), rapid.Float64()), 1, 350).Draw(t, "figures")
	list := make([]Demand, len(figures))
	for i, figure := range figures {
		if i == 0 || rapid.IntRange(0, 9).Draw(t, "stated") > 0 {
			list[i] = Demand{}.With(figure)
		}
	}
	return list
}

// Guards against entries that together use more slots than a report shows as free, and
// against free slots that no entry may use.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, turn := rapid.IntRange(-2, 64).Draw(t, "free"), rapid.Int().Draw(t, "turn")
		sum := 0
		for _, part := range Deal(demands(t), turn) {
			slots := part.Slots(free, turn)
			if slots < 0 {
				t.Fatalf("%d slots", slots)
			}
			sum += slots
		}
		if sum != max(0, free) {
			t.Fatalf("%d slots dealt of %d", sum, free)
		}
	})
}

// Guards against an entry that gets no slots, or far more than its part, although it has
// had its turn as often as the others.
func TestEachEntryGetsItsPartOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const reports, tolerance = 400, 4
		list := demands(t)
		mean, _ := meanDemand(list)
		sum := 0.0
		for _, demand := range list {
			sum += demand.weight(mean)
		}
		free, first := rapid.IntRange(1, 16).Draw(t, "free"), rapid.IntRange(0, 1e6).Draw(t, "first")
		got := make([]int, len(list))
		for turn := first; turn < first+reports; turn++ {
			for i, part := range Deal(list, turn) {
				got[i] += part.Slots(free, turn)
			}
		}
		for i, demand := range list {
			wanted := demand.weight(mean) / sum * float64(free) * reports
			if math.Abs(float64(got[i])-wanted) > tolerance+wanted/10 {
				t.Fatalf("entry %d got %d slots, its part is %.1f", i, got[i], wanted)
			}
		}
	})
}

// Guards against a wrong datagram that ends a process or gives an entry all slots.
func TestWrongPartsAreNotDealt(t *testing.T) {
	convey.Convey("Parts out of range or order are not dealt", t, func() {
		for _, edges := range [][2]int{{-1, 5}, {6, 5}, {0, 1001}} {
			convey.So(NewPart(edges[0], edges[1]), convey.ShouldResemble, Part{})
		}
		convey.So(NewPart(0, 0).IsDealt(), convey.ShouldBeTrue)
		convey.So(Deal(make([]Demand, 3), 1), convey.ShouldBeNil)
		convey.So(Demand{}.With(math.NaN()).IsStated(), convey.ShouldBeFalse)
	})
}

// Guards against a demand that counts a request twice, or that falls to nothing while
// requests wait and none arrives.
func TestMeter(t *testing.T) {
	convey.Convey("Given 40 arrivals in the last second, during which 5 requests waited", t, func() {
		now := time.Unix(1_800_000_000, 0)
		meter := Meter{}
		for i := range 80 {
			meter = meter.WithArrival(5, now.Add(time.Duration(i)*25*time.Millisecond))
		}
		last := now.Add(79 * 25 * time.Millisecond)
		convey.So(meter.PerSecond(7, last), convey.ShouldEqual, 45)
		convey.So(meter.PerSecond(7, last.Add(2*time.Second)), convey.ShouldEqual, 7)
	})
}
