package quarantines

// This file holds what requests have in common under which servers may crash.

import (
	"cmp"
	"fmt"
	"strings"
)

type (
	// Trait is what requests may have in common. Traits are equal if they mean the same.
	// The variants are sealed: Part and Fingerprint.
	Trait interface {
		fmt.Stringer
		isTrait()
	}

	// Part is the id of a part of prompts.
	Part string

	// Fingerprint identifies requests that ask the same for the same organisation.
	Fingerprint uint64
)

func (Part) isTrait()        {}
func (Fingerprint) isTrait() {}

// String returns the id.
func (part Part) String() string { return string(part) }

// String returns the fingerprint as it stands in logs.
func (fingerprint Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(fingerprint)) }

// Parts returns the parts with the ids as traits.
func Parts(ids ...string) []Trait {
	traits := make([]Trait, 0, len(ids))
	for _, id := range ids {
		traits = append(traits, Part(id))
	}
	return traits
}

// compareBreadth orders traits by how many requests are refused with them.
func compareBreadth(left, right Trait) int {
	_, isLeftRequest := left.(Fingerprint)
	_, isRightRequest := right.(Fingerprint)
	switch {
	case isLeftRequest == isRightRequest:
		return 0
	case isLeftRequest:
		return -1
	default:
		return 1
	}
}

// compareTraits gives traits an order, so that logs don't depend on that of a map.
func compareTraits(left, right Trait) int {
	return cmp.Or(strings.Compare(fmt.Sprintf("%T", left), fmt.Sprintf("%T", right)), strings.Compare(left.String(), right.String()))
}
