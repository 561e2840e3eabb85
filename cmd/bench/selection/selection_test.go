package selection

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/backends"
)

// Guards against losing requests or counting them under the wrong outcome.
func TestMeasureCountsEveryRequest(t *testing.T) {
	convey.Convey("Every request of a cell with a low load is answered completely", t, func() {
		measured, err := measureCell(context.Background(), cellPlan{
			policy: backends.DefaultPolicy(), lag: 50 * time.Millisecond, entries: 2, speeds: []float64{1, 1},
			rate: 20, warmUp: 100 * time.Millisecond, length: 500 * time.Millisecond,
		}, 1)
		convey.So(err, convey.ShouldBeNil)
		convey.So(measured.sent, convey.ShouldBeGreaterThan, 0)
		convey.So(measured.answered, convey.ShouldEqual, measured.sent)
		convey.So(measured.wrong+measured.violations, convey.ShouldEqual, 0)
		convey.So(measured.runs[0]+measured.runs[1], convey.ShouldBeGreaterThanOrEqualTo, int64(measured.sent))
	})
}

// Guards against a panic when no request falls into the measured time.
func TestMeasureWithoutRequests(t *testing.T) {
	convey.Convey("A cell whose requests all come before the measured time has no runs", t, func() {
		measured, err := measureCell(context.Background(), cellPlan{
			policy: backends.DefaultPolicy(), lag: 50 * time.Millisecond, entries: 1, speeds: []float64{1, 1},
			rate: 0.001, warmUp: 100 * time.Millisecond, length: 100 * time.Millisecond,
		}, 1)
		convey.So(err, convey.ShouldBeNil)
		convey.So(measured.sent, convey.ShouldEqual, 0)
		convey.So(measured.runs, convey.ShouldResemble, []int64{0, 0})
	})
}

// Guards against a spread that ignores the engines' speeds and so reports a slow
// engine's lower number of runs as an uneven use.
func TestSpread(t *testing.T) {
	convey.Convey("Half the runs at half the speed do not count as spread", t, func() {
		measured := &callerResult{runs: []int64{50, 100, 120}}
		convey.So(measured.spread([]float64{0.5, 1, 1}), convey.ShouldAlmostEqual, 1.2)
	})
}
