package placements

// This file tracks which versions of a model the operator announced, and which of them
// may still begin a request.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"firford/lib/waits"
)

type (
	// VersionTargets holds which versions of each model the operator announced, and by
	// when each has to be in use. It is immutable.
	VersionTargets struct {
		models map[string][]VersionTarget
	}

	// VersionTarget is a version that the operator announced. AnnouncedAt is the earliest
	// time at which a process is known to have seen it, zero if this process does not know
	// any. Due is when the version has to be in use. BeforeStart is set if it was announced
	// before this process started.
	VersionTarget struct {
		Version     int
		AnnouncedAt time.Time
		Due         time.Time
		BeforeStart bool
	}
)

// With returns the targets with one more version, or with what is earlier of two times
// for a version that is known.
func (targets VersionTargets) With(model string, target VersionTarget) VersionTargets {
	list := slices.Clone(targets.models[model])
	place, isKnown := slices.BinarySearchFunc(list, target.Version, func(known VersionTarget, version int) int { return cmp.Compare(known.Version, version) })
	if isKnown {
		list[place] = list[place].withEarlier(target)
	} else {
		list = slices.Insert(list, place, target)
	}
	next := maps.Clone(targets.models)
	if next == nil {
		next = map[string][]VersionTarget{}
	}
	next[model] = list
	return VersionTargets{models: next}
}

// withEarlier returns the target with the earlier times of both.
func (target VersionTarget) withEarlier(other VersionTarget) VersionTarget {
	target.Due = waits.Earlier(target.Due, other.Due)
	if target.AnnouncedAt.IsZero() || !other.AnnouncedAt.IsZero() && other.AnnouncedAt.Before(target.AnnouncedAt) {
		target.AnnouncedAt = other.AnnouncedAt
	}
	return target
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

// Models returns the models of which a version was announced, in order.
func (targets VersionTargets) Models() []string { return slices.Sorted(maps.Keys(targets.models)) }

// All returns the versions of the model, the newest last.
func (targets VersionTargets) All(model string) []VersionTarget { return targets.models[model] }

// Find returns the version of the model, or false if it was not announced.
func (targets VersionTargets) Find(model string, version int) (VersionTarget, bool) {
	for _, target := range targets.models[model] {
		if target.Version == version {
			return target, true
		}
	}
	return VersionTarget{}, false
}

// ReplacementDue returns the time by which the version has to be replaced by a newer
// one, or false if it is the newest.
func (targets VersionTargets) ReplacementDue(model string, version int) (time.Time, bool) {
	var due time.Time
	isReplaced := false
	for _, target := range targets.models[model] {
		if target.Version <= version {
			continue
		}
		if !isReplaced || target.Due.Before(due) {
			due = target.Due
		}
		isReplaced = true
	}
	return due, isReplaced
}
