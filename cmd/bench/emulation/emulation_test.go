package emulation

import (
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func findVariant(t *testing.T, policyName, loadName string) (policyVariant, loadPattern) {
	t.Helper()
	for _, variant := range policyVariants() {
		for _, pattern := range loadPatterns() {
			if variant.name == policyName && pattern.name == loadName {
				return variant, pattern
			}
		}
	}
	t.Fatalf("no policy %s or pattern %s", policyName, loadName)
	return policyVariant{}, loadPattern{}
}

func runSeed(t *testing.T, policyName, loadName string) result {
	variant, pattern := findVariant(t, policyName, loadName)
	const seed, engines = 1, 6
	return emulate(variant, pattern, seed, engines, usualRate*engines/engineCount)
}

// Guards against a simulated engine that is faster or slower than its published
// figures: 20.7 prompt tokens per millisecond, and 9.27 ms for each token.
func TestEngineMatchesPublishedFigures(t *testing.T) {
	convey.Convey("Given an engine with one request", t, func() {
		clock := newClock()
		engine := &engine{clock: clock, profile: standardProfile, slowdown: 1}
		var first, last time.Duration
		accepted := engine.accept(&execution{
			unreadTokens: 1330, promptTokens: 1330, remainingTokens: 100,
			onEvent: func(isFirst bool) {
				if isFirst {
					first = clock.now.Sub(startTime)
				}
			},
			onEnd: func(bool) { last = clock.now.Sub(startTime) },
		})
		convey.So(accepted, convey.ShouldBeTrue)
		clock.runUntil(startTime.Add(10 * time.Second))
		// The time to read the prompt, and five steps for the first event.
		convey.So(first, convey.ShouldAlmostEqual, 66*time.Millisecond+46*time.Millisecond, 5*time.Millisecond)
		convey.So(last-first, convey.ShouldAlmostEqual, 19*5*9290*time.Microsecond, 5*time.Millisecond)
	})
	convey.Convey("Given an engine whose slots and queue are full", t, func() {
		clock := newClock()
		engine := &engine{clock: clock, profile: standardProfile, slowdown: 1}
		for range standardProfile.slots + standardProfile.queue {
			convey.So(engine.accept(&execution{unreadTokens: 1, promptTokens: 1, remainingTokens: 1, onEvent: func(bool) {}, onEnd: func(bool) {}}), convey.ShouldBeTrue)
		}
		convey.So(engine.accept(&execution{}), convey.ShouldBeFalse)
	})
}

// Guards against results that differ between runs with the same seed, for example
// through a source of randomness that does not use the seed.
func TestRunsOfASeedAreEqual(t *testing.T) {
	convey.Convey("Given two runs with the same seed", t, func() {
		first, second := runSeed(t, "predicted", "third_lost"), runSeed(t, "predicted", "third_lost")
		convey.So(first.counts, convey.ShouldEqual, second.counts)
		convey.So(slices.Equal(first.firstEventTimes, second.firstEventTimes), convey.ShouldBeTrue)
	})
}

// Guards against a decision that no longer improves the result: each load pattern
// runs with the decision that handles it, and with a policy that lacks this decision.
func TestEachDecisionImprovesItsPattern(t *testing.T) {
	for _, test := range []struct{ pattern, without, decision string }{
		{"third_lost", "counts", "engines are chosen by their waiting prompt tokens, not by their number of requests"},
		{"burst", "patient", "requests that can't meet their target are refused instead of waiting until their deadline"},
		{"shift", "patient", "an entry with most of the requests refuses according to its own rate"},
		{"slow_engines", "two_choices", "slow engines get fewer requests"},
		{"retry_abuse", "least_own", "requests wait at the entry instead of at the engines"},
		{"new_version", "round_robin", "engines that are about to change their version get no new requests"},
	} {
		convey.Convey("Given the pattern "+test.pattern+": "+test.decision, t, func() {
			const minGain = 0.02
			convey.So(runSeed(t, "predicted", test.pattern).worthShare(), convey.ShouldBeGreaterThan, runSeed(t, test.without, test.pattern).worthShare()+minGain)
		})
	}
}

// Guards against requests that the simulation drops without an outcome or counts
// with more than their worth.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, policy := range []string{"predicted", "patient", "least_own"} {
		convey.Convey("Given impatient callers and the policy "+policy, t, func() {
			result := runSeed(t, policy, "give_up")
			sum := 0
			for _, count := range result.counts {
				sum += count
			}
			convey.So(sum, convey.ShouldBeGreaterThan, 1000)
			convey.So(result.earnedWorth, convey.ShouldBeLessThanOrEqualTo, result.offeredWorth)
			convey.So(result.counts[outcomeAbandoned], convey.ShouldBeGreaterThan, 0)
		})
	}
}

// Guards against a request whose tokens are removed twice from an engine's pending
// tokens, or never, because its caller left before the engine answered. The engine
// then appears to have less or more to do than it has.
func TestPendingTokensEndAtZero(t *testing.T) {
	for _, run := range []struct{ policy, pattern string }{
		{"predicted", "give_up"}, {"patient", "give_up"}, {"patient", "third_lost"},
	} {
		convey.Convey("Given the pattern "+run.pattern+" and the policy "+run.policy, t, func() {
			const seed, engines = 1, 6
			variant, pattern := findVariant(t, run.policy, run.pattern)
			simulation := newSimulation(variant, pattern, seed, engines)
			simulation.run(usualRate * engines / engineCount)
			convey.So(simulation.pendingTokens, convey.ShouldResemble, make([]int, engines))
		})
	}
}
