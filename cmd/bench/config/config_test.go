package config

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

// Guards against a report that calls the goal met when a change was late, is
// missing or went back, and against a wrong prediction for full size.
func TestSummary(t *testing.T) {
	convey.Convey("Given the results of three sizes", t, func() {
		results := []result{
			{Processes: 10, Changes: 200, P99MS: 20, LargestMS: 1000, IdleBytes: 3000, BusyCPU: 0.004, LargestMB: 20},
			{Processes: 20, Changes: 200, P99MS: 30, LargestMS: 2000, IdleBytes: 4000, BusyCPU: 0.005, LargestMB: 21},
			{Processes: 30, Changes: 200, P99MS: 40, LargestMS: 3000, IdleBytes: 5000, BusyCPU: 0.006, LargestMB: 22},
		}
		goldie.New(t).Assert(t, "summary", []byte(summarise(results, "make bench_config").Text()))
		met := func() bool { return summarise(results, "").Summary.(summary).GoalMet }
		convey.So(met(), convey.ShouldBeTrue)
		for _, spoil := range []func(*result){
			func(each *result) { each.LargestMS = 6001 },
			func(each *result) { each.Missing = 1 },
			func(each *result) { each.Backwards = 1 },
		} {
			kept := results[1]
			spoil(&results[1])
			convey.So(met(), convey.ShouldBeFalse)
			results[1] = kept
		}
	})
}

// Guards against a paused process that counts as late.
func TestPausedProcessesDoNotCount(t *testing.T) {
	convey.Convey("Given a process that was paused for three seconds", t, func() {
		start := time.Unix(1000, 0)
		target := &member{pauses: []pause{{from: start, to: start.Add(3 * time.Second)}}}
		convey.So(target.wasPaused(start.Add(time.Second), start.Add(4*time.Second)), convey.ShouldBeTrue)
		convey.So(target.wasPaused(start.Add(4*time.Second), start.Add(5*time.Second)), convey.ShouldBeFalse)
	})
}
