package placements

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against a fleet whose entries together send more retries than the service's
// limit when everything fails at once, after a long quiet time.
func TestRetriesOfAllEntriesStayWithinTheFleetsBudget(t *testing.T) {
	const ratio, second = 0.2, 1000
	for _, each := range []struct {
		entries, perSecond int
		constant           float64
	}{{5, 150, 104}, {5, 18, 104}, {14, 530, 128}, {14, 64, 128}} {
		convey.Convey(fmt.Sprintf("Given %d entries, %d requests a second, and from second 60 on only failures", each.entries, each.perSecond), t, func() {
			fleet := make([]RetryBudget, each.entries)
			retries := map[int]int{}
			for tick := range 90 * second {
				now := at(time.Duration(tick) * time.Millisecond)
				if tick*each.perSecond/second == (tick-1)*each.perSecond/second && tick > 0 {
					continue
				}
				entry := (tick * each.perSecond / second) % each.entries
				fleet[entry] = fleet[entry].WithRequest(now)
				if tick < 60*second {
					continue
				}
				for {
					after, allowed := fleet[entry].WithRetry(now)
					fleet[entry] = after
					if !allowed {
						break
					}
					retries[tick/second]++
				}
			}
			for from := 50; from <= 80; from++ {
				sum := 0
				for offset := range 10 {
					sum += retries[from+offset]
				}
				convey.So(float64(sum), convey.ShouldBeLessThanOrEqualTo, ratio*10*float64(each.perSecond)+each.constant)
			}
		})
	}
}

// Guards against entries that retry nothing at all, and against a reserve that is
// never refilled.
func TestRequestsRefillTheRetryBudget(t *testing.T) {
	convey.Convey("Given an entry that has spent its reserve", t, func() {
		budget := RetryBudget{}
		for range minReserve {
			var allowed bool
			budget, allowed = budget.WithRetry(at(0))
			convey.So(allowed, convey.ShouldBeTrue)
		}
		_, allowed := budget.WithRetry(at(0))
		convey.So(allowed, convey.ShouldBeFalse)
		for range 7 {
			budget = budget.WithRequest(at(time.Second))
		}
		_, allowed = budget.WithRetry(at(time.Second))
		convey.So(allowed, convey.ShouldBeTrue)
	})
}
