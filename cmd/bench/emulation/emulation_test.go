package emulation

import (
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func find(t *testing.T, policy, load string) (variant, pattern) {
	t.Helper()
	for _, variant := range variants() {
		for _, pattern := range patterns() {
			if variant.name == policy && pattern.name == load {
				return variant, pattern
			}
		}
	}
	t.Fatalf("no policy %s or pattern %s", policy, load)
	return variant{}, pattern{}
}

func worth(t *testing.T, policy, load string) result {
	variant, pattern := find(t, policy, load)
	const seed, engines = 1, 6
	return emulate(variant, pattern, seed, engines, usualRate*engines/engineCount)
}

// Guards against an engine that answers at another pace than the published
// figures say: 20.7 prompt tokens a millisecond, and 9.27 ms for each token.
func TestEngineKeepsThePublishedFigures(t *testing.T) {
	convey.Convey("Given an engine with one request", t, func() {
		clock := newClock()
		engine := &engine{clock: clock, figures: standardFigures, pace: 1}
		var first, last time.Duration
		accepted := engine.take(&run{
			unread: 1330, prompt: 1330, left: 100,
			event: func(isFirst bool) {
				if isFirst {
					first = clock.now.Sub(start)
				}
			},
			end: func(bool) { last = clock.now.Sub(start) },
		})
		convey.So(accepted, convey.ShouldBeTrue)
		clock.run(start.Add(10 * time.Second))
		// The prompt, and five steps for the first event.
		convey.So(first, convey.ShouldAlmostEqual, 66*time.Millisecond+46*time.Millisecond, 5*time.Millisecond)
		convey.So(last-first, convey.ShouldAlmostEqual, 19*5*9290*time.Microsecond, 5*time.Millisecond)
	})
	convey.Convey("Given an engine whose places are all taken", t, func() {
		clock := newClock()
		engine := &engine{clock: clock, figures: standardFigures, pace: 1}
		for range standardFigures.slots + standardFigures.queue {
			convey.So(engine.take(&run{unread: 1, prompt: 1, left: 1, event: func(bool) {}, end: func(bool) {}}), convey.ShouldBeTrue)
		}
		convey.So(engine.take(&run{}), convey.ShouldBeFalse)
	})
}

// Guards against figures that change from run to run of the same seed.
func TestRunsOfASeedAreEqual(t *testing.T) {
	convey.Convey("Given two runs of a seed", t, func() {
		left, right := worth(t, "predicted", "third_lost"), worth(t, "predicted", "third_lost")
		convey.So(left.counts, convey.ShouldEqual, right.counts)
		convey.So(slices.Equal(left.firsts, right.firsts), convey.ShouldBeTrue)
	})
}

// Guards against the loss of a gain: each load pattern is replayed with the
// decision that answers it and with that decision taken out.
func TestEachDecisionAnswersItsPattern(t *testing.T) {
	for _, each := range []struct{ pattern, without, decision string }{
		{"third_lost", "counts", "engines are chosen by the prompt tokens that wait, not by requests"},
		{"burst", "patient", "what can't be on time is refused instead of waiting until its deadline"},
		{"shift", "patient", "one entry with most of the requests refuses by its own pace"},
		{"slow_engines", "two_choices", "slow engines get less"},
		{"retry_abuse", "least_own", "requests wait at the entry and not at the engines"},
		{"new_version", "round_robin", "engines that are about to change get nothing new"},
	} {
		convey.Convey("Given the pattern "+each.pattern+": "+each.decision, t, func() {
			const gain = 0.02
			convey.So(worth(t, "predicted", each.pattern).worth(), convey.ShouldBeGreaterThan, worth(t, each.without, each.pattern).worth()+gain)
		})
	}
}

// Guards against requests that are lost from the books of the emulation.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, policy := range []string{"predicted", "patient", "least_own"} {
		convey.Convey("Given impatient callers and the policy "+policy, t, func() {
			result := worth(t, policy, "give_up")
			sum := 0
			for _, count := range result.counts {
				sum += count
			}
			convey.So(sum, convey.ShouldBeGreaterThan, 1000)
			convey.So(result.earned, convey.ShouldBeLessThanOrEqualTo, result.owed)
			convey.So(result.counts[outcomeLeft], convey.ShouldBeGreaterThan, 0)
		})
	}
}
