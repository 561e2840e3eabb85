package placements

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against first attempts that count as late on arrival because their callers
// state shorter timeouts than others, and against retries that count as first
// attempts: the share of both is replayed for callers with equal timeouts and for
// callers whose timeouts differ by 0.9 s, before and during an overload in which two
// fifths of the requests are retries.
func TestStatedTimeoutsTellRetriesFromFirstAttempts(t *testing.T) {
	const (
		target     = 400 * time.Millisecond
		longest    = 6 * time.Second
		retryDelay = 1400 * time.Millisecond
	)
	spreads := map[string]time.Duration{"equal timeouts": 100 * time.Millisecond, "varied timeouts": 900 * time.Millisecond}
	for name, spread := range spreads {
		convey.Convey("Given callers with "+name, t, func() {
			random := rand.New(rand.NewPCG(1, 2))
			draw := func() time.Duration { return longest - time.Duration(random.Float64()*float64(spread)) }
			timeouts := StatedTimeouts{}
			lateFirst, firsts, lateRetries, retries := 0, 0, 0, 0
			for i := range 2000 {
				timeout := draw()
				isOverload := i >= 1000
				isRetry := isOverload && random.Float64() < 0.4
				if isRetry {
					timeout -= retryDelay
				}
				isLate := timeouts.Elapsed(timeout) > target
				timeouts = timeouts.With(timeout)
				switch {
				case isRetry:
					retries++
					if isLate {
						lateRetries++
					}
				default:
					firsts++
					if isLate {
						lateFirst++
					}
				}
			}
			convey.Convey("Then first attempts are on time and most retries are late", func() {
				convey.So(float64(lateFirst)/float64(firsts), convey.ShouldBeLessThan, 0.02)
				convey.So(float64(lateRetries)/float64(retries), convey.ShouldBeGreaterThan, 0.8)
			})
		})
	}
}

// Guards against an estimate that never follows callers which state shorter timeouts
// than before: all their requests would count as late for good.
func TestStatedTimeoutsFollowShorterTimeouts(t *testing.T) {
	convey.Convey("Given callers that shorten their timeouts", t, func() {
		timeouts := StatedTimeouts{}
		for range 10 * timeoutsPerWindow {
			timeouts = timeouts.With(6 * time.Second)
		}
		convey.So(timeouts.Elapsed(2*time.Second), convey.ShouldEqual, 4*time.Second)
		for range (timeoutWindows + 1) * timeoutsPerWindow {
			timeouts = timeouts.With(2 * time.Second)
		}
		convey.So(timeouts.Elapsed(2*time.Second), convey.ShouldEqual, 0)
	})
}
