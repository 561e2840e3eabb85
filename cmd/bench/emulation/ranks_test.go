package emulation

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// runRanked simulates a quarter of the ranked site.
func runRanked(t *testing.T, policyName, loadName string) result {
	t.Helper()
	const part = 4
	variant, pattern := findVariant(t, policyName, loadName)
	small := *pattern.site
	small.engines, small.entries, small.rate = small.engines/part, small.entries/part, small.rate/part
	pattern.site = &small
	return emulate(variant, pattern, 1, 0, 0)
}

// Guards against requests with a lax target that fill the engines in an overload: before
// the reservation, fewer of the most urgent requests were on time than of the least
// urgent.
func TestReservationServesTheMostUrgent(t *testing.T) {
	for _, pattern := range []string{"ranked_steady", "ranked_burst_third", "ranked_burst_first"} {
		convey.Convey("Given the pattern "+pattern, t, func() {
			const minGain = 0.03
			reserved, unreserved := runRanked(t, "predicted", pattern), runRanked(t, "rank_only", pattern)
			convey.So(reserved.worthShare(), convey.ShouldBeGreaterThan, unreserved.worthShare()+minGain)
			first, third := reserved.kinds["first"], reserved.kinds["third"]
			convey.So(first.share(outcomeOnTime), convey.ShouldBeGreaterThan, third.share(outcomeOnTime)-0.05)
		})
	}
}
