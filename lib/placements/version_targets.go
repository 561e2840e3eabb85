package placements

// This file tracks which versions of a model the operator announced, and which of them
// may still begin a request.

import (
	"maps"
	"time"
)

type (
	// VersionTargets holds which versions of each model the operator announced, and by
	// when each has to be in use. It is immutable.
	VersionTargets struct {
		models map[string][]VersionTarget
	}

	// VersionTarget is a version that the operator announced. AnnouncedAt is when this
	// process first saw it, zero if it was announced before the process started. Due is
	// when the version has to be in use.
	VersionTarget struct {
		Version     int
		AnnouncedAt time.Time
		Due         time.Time
	}
)

// With returns the targets with one more version. A version that is not newer than
// all known ones changes nothing.
func (targets VersionTargets) With(model string, target VersionTarget) VersionTargets {
	known := targets.models[model]
	if targets.Newest(model) >= target.Version {
		return targets
	}
	next := maps.Clone(targets.models)
	if next == nil {
		next = map[string][]VersionTarget{}
	}
	next[model] = append(known[:len(known):len(known)], target)
	return VersionTargets{models: next}
}

// Newest returns the newest version of the model, zero if none was announced.
func (targets VersionTargets) Newest(model string) int {
	known := targets.models[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].Version
}

// MinVersion returns the oldest version that may still begin a request, zero if any
// may.
func (targets VersionTargets) MinVersion(model string, now time.Time) int {
	minimum := 0
	for _, target := range targets.models[model] {
		if !now.Before(target.Due) {
			minimum = max(minimum, target.Version)
		}
	}
	return minimum
}

// All returns the versions of the model, the newest last.
func (targets VersionTargets) All(model string) []VersionTarget { return targets.models[model] }

// ReplacementDue returns the time by which the version has to be replaced by a newer
// one, or false if it is the newest.
func (targets VersionTargets) ReplacementDue(model string, version int) (time.Time, bool) {
	for _, target := range targets.models[model] {
		if target.Version > version {
			return target.Due, true
		}
	}
	return time.Time{}, false
}
