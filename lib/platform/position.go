package platform

import "cmp"

// Position is a state of the store. Epoch counts how often the store came back from an
// older copy of itself. Revision counts its writes; after such a return, the revisions
// since the copy are given out again, so revisions compare only within an epoch.
type Position struct {
	Epoch    int64
	Revision int64
}

// Compare returns -1, 0 or 1 if the position is before, equal to or after the other.
func (position Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(position.Epoch, other.Epoch), cmp.Compare(position.Revision, other.Revision))
}

// Before reports whether the position is before the other.
func (position Position) Before(other Position) bool { return position.Compare(other) < 0 }
