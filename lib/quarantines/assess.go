package quarantines

// This file finds the parts that explain crashes.

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes after which a part is quarantined, and
	// minRepeatCrashes the number after which a request with it is not sent again.
	minCrashes       = 3
	minRepeatCrashes = 2
	// simultaneousTime is the time within which crashes count as one: a fault of the
	// platform takes several servers at once, and cuts off requests with any part.
	simultaneousTime = 30 * time.Millisecond
)

// blame is what speaks against a part: when servers crashed under it, without the
// crashes that another part explains better.
type blame struct{ moments []time.Time }

func (blame blame) isQuarantined() bool { return len(blame.moments) >= minCrashes }

// probeAt returns when a request with the part may be let through. A crash that came
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

// assess returns what speaks against each part, given which parts are sound. The part with
// the most crashes is blamed for all of them, then the one with the most of the rest, and
// so on: requests that were cut off with the bad ones are not held against their own
// parts. Among equals, the part with the fewest answers is blamed.
func assess(crashes []Crash, known func(part string) soundness) map[string]blame {
	blamed := map[string]blame{}
	for remaining := crashes; ; {
		suspects := suspectedParts(remaining, known)
		worst := worstParts(suspects, known)
		if len(worst) == 0 {
			return blamed
		}
		for _, part := range worst {
			blamed[part] = suspects[part]
		}
		remaining = slices.DeleteFunc(slices.Clone(remaining), func(crash Crash) bool {
			return slices.ContainsFunc(worst, func(part string) bool { return slices.Contains(crash.Parts, part) })
		})
	}
}

// suspectedParts returns when servers crashed under each part since it was last sound.
func suspectedParts(crashes []Crash, known func(part string) soundness) map[string]blame {
	suspects := map[string]blame{}
	for _, crash := range crashes {
		for _, part := range crash.Parts {
			if crash.At.Before(known(part).lastBeganAt.Add(soundTime)) {
				continue
			}
			moments := suspects[part].moments
			if len(moments) > 0 && crash.At.Sub(moments[len(moments)-1]) < simultaneousTime {
				continue
			}
			suspects[part] = blame{moments: append(moments, crash.At)}
		}
	}
	return suspects
}

// worstParts returns the parts with the most crashes, if those are enough to count, and
// among these the ones with the fewest answers.
func worstParts(suspects map[string]blame, known func(part string) soundness) []string {
	most := minRepeatCrashes
	for _, suspect := range suspects {
		most = max(most, len(suspect.moments))
	}
	var worst []string
	fewest := 0
	for part, suspect := range suspects {
		if len(suspect.moments) < most {
			continue
		}
		answers := known(part).answers
		if len(worst) > 0 && answers > fewest {
			continue
		}
		if len(worst) > 0 && answers < fewest {
			worst = nil
		}
		worst, fewest = append(worst, part), answers
	}
	return worst
}
