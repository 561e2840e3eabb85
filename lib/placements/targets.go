package placements

import (
	"maps"
	"time"
)

type (
	// VersionTargets holds which versions of each model the operator named, and by when
	// each has to be in use. It is immutable.
	VersionTargets struct {
		models map[string][]VersionTarget
	}

	// VersionTarget is a version that the operator named, when this process heard of it and
	// by when it has to be in use. VersionTarget is zero where it was named before the
	// process began.
	VersionTarget struct {
		Version int
		NamedAt time.Time
		Due     time.Time
	}
)

// With returns the targets with one more version. One that is known or older than
// a known one changes nothing.
func (targets VersionTargets) With(model string, named VersionTarget) VersionTargets {
	known := targets.models[model]
	if targets.Newest(model) >= named.Version {
		return targets
	}
	next := maps.Clone(targets.models)
	if next == nil {
		next = map[string][]VersionTarget{}
	}
	next[model] = append(known[:len(known):len(known)], named)
	return VersionTargets{models: next}
}

// Newest returns the newest version of the model, zero if none was named.
func (targets VersionTargets) Newest(model string) int {
	known := targets.models[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].Version
}

// MinVersion returns the oldest version that may still begin a request, zero if any may.
func (targets VersionTargets) MinVersion(model string, now time.Time) int {
	least := 0
	for _, each := range targets.models[model] {
		if !now.Before(each.Due) {
			least = max(least, each.Version)
		}
	}
	return least
}

// All returns the versions of the model, the newest last.
func (targets VersionTargets) All(model string) []VersionTarget { return targets.models[model] }

// ReplaceBy returns by when the version has to be replaced by a newer one, false if it
// is the newest.
func (targets VersionTargets) ReplaceBy(model string, version int) (time.Time, bool) {
	for _, each := range targets.models[model] {
		if each.Version > version {
			return each.Due, true
		}
	}
	return time.Time{}, false
}
