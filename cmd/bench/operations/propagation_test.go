package operations

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against a check that reports a process for a change that it could not
// receive while it was down, or that misses a process that is late.
func TestPropagationCheck(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	behind := []ProcessRevision{{Process: "agent-01", Revision: 4, Reached: true}}
	unreachable := []ProcessRevision{{Process: "agent-01"}}
	convey.Convey("Given revision 5, accepted at second 0", t, func() {
		check := PropagationCheck{}.WithAccepted(5, at(0))
		convey.Convey("a process that is still behind after the limit is reported", func() {
			check = check.WithPoll(at(0), behind).WithPoll(at(7), behind)
			convey.So(check.Violations(), convey.ShouldHaveLength, 1)
		})
		convey.Convey("a process that is reachable again at second 5 has until second 11", func() {
			check = check.WithPoll(at(1), unreachable).WithPoll(at(5), behind).WithPoll(at(10), behind)
			convey.So(check.Violations(), convey.ShouldBeEmpty)
			convey.So(check.WithPoll(at(12), behind).Violations(), convey.ShouldHaveLength, 1)
		})
		convey.Convey("a process that never answers is not reported", func() {
			check = check.WithPoll(at(1), unreachable).WithPoll(at(20), unreachable)
			convey.So(check.Violations(), convey.ShouldBeEmpty)
		})
	})
}
