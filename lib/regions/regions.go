// Package regions holds sets of regions: those in which a request may be served.
//
// A set is either unrestricted or limited to named regions. A limited set without any
// name allows no region, so an intersection of two disjoint sets stays a limit and
// can't be mistaken for the absence of one.
package regions

import (
	"slices"
	"strings"
)

// Set is a set of regions. It is immutable; the zero value is unrestricted.
type Set struct {
	isLimited bool
	// names are the allowed regions, sorted and without repetitions.
	names []string
}

// Only returns the set of the named regions. An empty name stands for an unknown region
// and is left out.
func Only(names ...string) Set {
	kept := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == "" })
	slices.Sort(kept)
	return Set{isLimited: true, names: slices.Compact(kept)}
}

// Intersect returns the regions that both sets allow.
func (set Set) Intersect(other Set) Set {
	switch {
	case !set.isLimited:
		return other
	case !other.isLimited:
		return set
	}
	common := Set{isLimited: true}
	for _, name := range set.names {
		if other.Allows(name) {
			common.names = append(common.names, name)
		}
	}
	return common
}

// Allows reports whether the set holds the region. A limited set does not hold the
// unknown region, which has no name.
func (set Set) Allows(region string) bool {
	return !set.isLimited || slices.Contains(set.names, region)
}

// Covers reports whether the set allows every region that the other one allows.
func (set Set) Covers(other Set) bool {
	if !set.isLimited {
		return true
	}
	if !other.isLimited {
		return false
	}
	return !slices.ContainsFunc(other.names, func(name string) bool { return !set.Allows(name) })
}

// IsUnrestricted reports whether the set allows all regions, known or not.
func (set Set) IsUnrestricted() bool { return !set.isLimited }

// IsEmpty reports whether the set allows no region.
func (set Set) IsEmpty() bool { return set.isLimited && len(set.names) == 0 }

// Names returns the regions of a limited set, sorted.
func (set Set) Names() []string { return slices.Clone(set.names) }

// String returns the regions of a limited set, separated by commas, and * for an
// unrestricted one.
func (set Set) String() string {
	if !set.isLimited {
		return "*"
	}
	return strings.Join(set.names, ",")
}
