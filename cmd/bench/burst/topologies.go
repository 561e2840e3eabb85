package burst

import (
	"firford/lib/hosts"
	"firford/lib/transfers"
	"firford/lib/weights"
)

// neverReads is the rank of hosts that do not read from the origin.
const neverReads = 1 << 30

type (
	// originOnly is the baseline in which all hosts read from the origin.
	originOnly struct{}

	// tree is the baseline in which each host fetches from one fixed parent.
	// With one child per host the tree is a chain.
	tree struct{ children int }
)

func (plan *plan) topology() transfers.Topology {
	switch plan.Strategy {
	case strategyOrigin:
		return originOnly{}
	case strategyChain:
		return tree{children: 1}
	case strategyTree:
		return tree{children: 2}
	default:
		return transfers.RandomGraph{}
	}
}

// Neighbours implements transfers.Topology.
func (originOnly) Neighbours(string, []hosts.Host, int) []hosts.Host { return nil }

// Rank implements transfers.Topology.
func (originOnly) Rank(weights.Digest, string, []hosts.Host) int { return 0 }

// Neighbours implements transfers.Topology. It returns the parent and the
// children. Chunks move only from parent to child, since a child never holds a
// chunk that its parent lacks.
func (tree tree) Neighbours(self string, all []hosts.Host, _ int) []hosts.Host {
	var neighbours []hosts.Host
	for index, host := range all {
		if index > 0 && (host.Name == self || all[(index-1)/tree.children].Name == self) {
			if host.Name == self {
				neighbours = append(neighbours, all[(index-1)/tree.children])
			} else {
				neighbours = append(neighbours, host)
			}
		}
	}
	return neighbours
}

// Rank implements transfers.Topology: only the first host reads from the origin.
func (tree) Rank(_ weights.Digest, self string, all []hosts.Host) int {
	if all[0].Name == self {
		return 0
	}
	return neverReads
}
