package quarantines

// This file finds the traits that explain crashes.

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes after which a trait is quarantined, and
	// minRepeatCrashes the number after which a request with it is not sent again.
	minCrashes       = 3
	minRepeatCrashes = 2
	// minSoundCrashes is the number of crashes after which a trait may be blamed with which
	// answers have begun before. While no server answers, such traits can't show that they
	// are still sound, and a part that most prompts share is in every crash.
	minSoundCrashes = 8
	// simultaneousTime is the time within which crashes count as one: a fault of the
	// platform takes several servers at once, and cuts off requests with any trait.
	simultaneousTime = 30 * time.Millisecond
)

// blame is what speaks against a trait: when servers crashed under it, without the
// crashes that another trait explains better.
type blame struct{ moments []time.Time }

func (blame blame) isQuarantined() bool { return len(blame.moments) >= minCrashes }

// probeAt returns when a request with the trait may be let through. A crash that came
// more than half of probeInterval after the one before was that of a probe.
func (blame blame) probeAt() time.Time {
	probes := 0
	for i := 1; i < len(blame.moments); i++ {
		if blame.moments[i].Sub(blame.moments[i-1]) > probeInterval/2 {
			probes++
		}
	}
	last := blame.moments[len(blame.moments)-1]
	return last.Add(probeInterval << min(probes, maxProbeDoublings))
}

// assess returns what speaks against each trait, given which traits are known to be sound
// and which ones nearly all requests have. The latter are never blamed: they are in nearly every
// crash, whatever its cause, and without them nothing would be left to serve.
// The trait with the most crashes is blamed for all of them, then the one with the most of
// the rest, and so on: requests that were cut off with the bad ones are not held against
// their own traits. Traits with which no answer ever began are blamed first. Those that are
// only kept from being sent again explain no crash: a request that was sent twice has two, and
// it is open whether the request was the cause or a part that others share.
func assess(crashes []Crash, known func(trait Trait) soundness, isCommon func(trait Trait) bool) map[Trait]blame {
	blamed := map[Trait]blame{}
	cover(crashes, blamed, minRepeatCrashes, known, func(trait Trait) bool { return known(trait).answers == 0 && !isCommon(trait) })
	rest := withoutQuarantined(crashes, blamed)
	cover(rest, blamed, minSoundCrashes, known, func(trait Trait) bool { return !isCommon(trait) })
	return blamed
}

// withoutQuarantined returns the crashes that no quarantined trait explains.
func withoutQuarantined(crashes []Crash, blamed map[Trait]blame) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(crash Crash) bool {
		return slices.ContainsFunc(crash.Traits, func(trait Trait) bool { return blamed[trait].isQuarantined() })
	})
}

// cover blames the traits that may be blamed and are in enough crashes.
func cover(crashes []Crash, blamed map[Trait]blame, minimum int, known func(trait Trait) soundness, mayBlame func(trait Trait) bool) {
	for remaining := crashes; ; {
		suspects := suspectedTraits(remaining, known)
		maps.DeleteFunc(suspects, func(trait Trait, suspect blame) bool { return len(suspect.moments) < minimum || !mayBlame(trait) })
		worst := worstTraits(suspects, known)
		if len(worst) == 0 {
			return
		}
		for _, trait := range worst {
			blamed[trait] = suspects[trait]
		}
		remaining = slices.DeleteFunc(slices.Clone(remaining), func(crash Crash) bool {
			return slices.ContainsFunc(worst, func(trait Trait) bool { return slices.Contains(crash.Traits, trait) })
		})
	}
}

// suspectedTraits returns when servers crashed under each trait since it was last sound.
func suspectedTraits(crashes []Crash, known func(trait Trait) soundness) map[Trait]blame {
	suspects := map[Trait]blame{}
	for _, crash := range crashes {
		for _, trait := range crash.Traits {
			if known(trait).isSoundAt(crash.At) {
				continue
			}
			moments := suspects[trait].moments
			if len(moments) > 0 && crash.At.Sub(moments[len(moments)-1]) < simultaneousTime {
				continue
			}
			suspects[trait] = blame{moments: append(moments, crash.At)}
		}
	}
	return suspects
}

// worstTraits returns the traits with the most crashes, among these the ones with the
// fewest answers that servers survived, then with the fewest complete answers, and among
// these requests rather than parts. If a part is bad all the same, the next request with it
// shows that.
func worstTraits(suspects map[Trait]blame, known func(trait Trait) soundness) []Trait {
	var worst []Trait
	for trait, suspect := range suspects {
		order := -1
		if len(worst) > 0 {
			other := worst[0]
			order = cmp.Or(
				cmp.Compare(len(suspects[other].moments), len(suspect.moments)),
				cmp.Compare(known(trait).answers, known(other).answers),
				cmp.Compare(known(trait).complete, known(other).complete),
				compareBreadth(trait, other),
			)
		}
		switch {
		case order < 0:
			worst = []Trait{trait}
		case order == 0:
			worst = append(worst, trait)
		}
	}
	return worst
}
