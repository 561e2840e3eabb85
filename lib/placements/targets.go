package placements

import (
	"maps"
	"time"
)

type (
	// Targets holds which versions of each model the operator named, and by when
	// each has to be in use. It is immutable.
	Targets struct {
		models map[string][]target
	}

	target struct {
		version int
		due     time.Time
	}
)

// With returns the targets after the operator named a version that has to be in
// use by due. Versions that are known or older than a known one change nothing.
func (targets Targets) With(model string, version int, due time.Time) Targets {
	known := targets.models[model]
	if len(known) > 0 && known[len(known)-1].version >= version {
		return targets
	}
	next := maps.Clone(targets.models)
	if next == nil {
		next = map[string][]target{}
	}
	next[model] = append(known[:len(known):len(known)], target{version: version, due: due})
	return Targets{models: next}
}

// Least returns the oldest version that may still begin a request, zero if any may.
func (targets Targets) Least(model string, now time.Time) int {
	least := 0
	for _, each := range targets.models[model] {
		if !now.Before(each.due) {
			least = max(least, each.version)
		}
	}
	return least
}

// Newest returns the newest named version, zero if none was named.
func (targets Targets) Newest(model string) int {
	known := targets.models[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].version
}

// Due returns by when the version has to be replaced by a newer one, false if it
// is the newest.
func (targets Targets) Due(model string, version int) (time.Time, bool) {
	for _, each := range targets.models[model] {
		if each.version > version {
			return each.due, true
		}
	}
	return time.Time{}, false
}
