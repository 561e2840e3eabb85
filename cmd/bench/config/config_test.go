package config

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

// Guards against a report that states the goal as met although a change was late,
// is missing or was followed by an older revision, and against a wrong prediction
// for the full fleet.
func TestSummary(t *testing.T) {
	convey.Convey("Given the results of three fleet sizes", t, func() {
		results := []result{
			{Processes: 10, Changes: 200, P99MS: 20, LargestMS: 1000, IdleBytes: 3000, BusyCPU: 0.004, LargestMB: 20},
			{Processes: 20, Changes: 200, P99MS: 30, LargestMS: 2000, IdleBytes: 4000, BusyCPU: 0.005, LargestMB: 21},
			{Processes: 30, Changes: 200, P99MS: 40, LargestMS: 3000, IdleBytes: 5000, BusyCPU: 0.006, LargestMB: 22},
		}
		goldie.New(t).Assert(t, "summary", []byte(summarise(results, "make bench_config").Text()))
		goalMet := func() bool { return summarise(results, "").Summary.(summary).GoalMet }
		convey.So(goalMet(), convey.ShouldBeTrue)
		for _, breakGoal := range []func(*result){
			func(result *result) { result.LargestMS = 6001 },
			func(result *result) { result.Missing = 1 },
			func(result *result) { result.Backwards = 1 },
		} {
			original := results[1]
			breakGoal(&results[1])
			convey.So(goalMet(), convey.ShouldBeFalse)
			results[1] = original
		}
	})
}

// Guards against counting the delay of a paused process as a late change.
func TestPausedProcessesDoNotCount(t *testing.T) {
	convey.Convey("Only times that overlap the pause of a process are excluded", t, func() {
		start := time.Unix(1000, 0)
		process := &nodeProcess{pauses: []pauseInterval{{from: start, to: start.Add(3 * time.Second)}}}
		convey.So(process.wasPaused(start.Add(time.Second), start.Add(4*time.Second)), convey.ShouldBeTrue)
		convey.So(process.wasPaused(start.Add(4*time.Second), start.Add(5*time.Second)), convey.ShouldBeFalse)
	})
}
