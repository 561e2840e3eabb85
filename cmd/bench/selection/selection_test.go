package selection

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/backends"
)

// Guards against a bench that loses requests or counts them in the wrong column.
func TestMeasureCountsEveryRequest(t *testing.T) {
	convey.Convey("Every request of a small cell is answered whole", t, func() {
		seen, err := measure(context.Background(), plan{
			policy: backends.DefaultPolicy(), lag: 50 * time.Millisecond, entries: 2, speeds: []float64{1, 1},
			rate: 20, warmUp: 100 * time.Millisecond, length: 500 * time.Millisecond,
		}, 1)
		convey.So(err, convey.ShouldBeNil)
		convey.So(seen.asked, convey.ShouldBeGreaterThan, 0)
		convey.So(seen.answered, convey.ShouldEqual, seen.asked)
		convey.So(seen.wrong+seen.violations, convey.ShouldEqual, 0)
		convey.So(seen.runs[0]+seen.runs[1], convey.ShouldBeGreaterThanOrEqualTo, int64(seen.asked))
	})
}

// Guards against a spread that ignores the speed of the engines.
func TestSpread(t *testing.T) {
	convey.Convey("A slow engine with half the runs is not spread", t, func() {
		seen := &result{runs: []int64{50, 100, 120}}
		convey.So(seen.spread([]float64{0.5, 1, 1}), convey.ShouldAlmostEqual, 1.2)
	})
}
