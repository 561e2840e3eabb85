package burst

import (
	"firford/lib/hosts"
	"firford/lib/transfers"
	"firford/lib/weights"
)

const neverRank = 1 << 30

type (
	// everyone is the baseline in which all hosts read from the origin.
	everyone struct{}

	// tree is the baseline in which each host fetches from one fixed parent.
	// One child for each host makes it a chain.
	tree struct{ children int }
)

func (made *plan) layout() transfers.Topology {
	switch made.Strategy {
	case strategyOrigin:
		return everyone{}
	case strategyChain:
		return tree{children: 1}
	case strategyTree:
		return tree{children: 2}
	default:
		return transfers.RandomGraph{}
	}
}

// Neighbours implements transfers.Topology.
func (everyone) Neighbours(string, []hosts.Host, int) []hosts.Host { return nil }

// Rank implements transfers.Topology.
func (everyone) Rank(weights.Digest, string, []hosts.Host) int { return 0 }

// Neighbours implements transfers.Topology. The parent learns of no chunk that it
// lacks, so the exchange runs downwards only.
func (layout tree) Neighbours(self string, all []hosts.Host, _ int) []hosts.Host {
	var near []hosts.Host
	for at, host := range all {
		if at > 0 && (host.Name == self || all[(at-1)/layout.children].Name == self) {
			if host.Name == self {
				near = append(near, all[(at-1)/layout.children])
			} else {
				near = append(near, host)
			}
		}
	}
	return near
}

// Rank implements transfers.Topology: the first host reads everything.
func (tree) Rank(_ weights.Digest, self string, all []hosts.Host) int {
	if all[0].Name == self {
		return 0
	}
	return neverRank
}
