package backends

// An entry connects to a subset of the agents of each deployment, because 350
// entries that each connect to 940 agents would need 329,000 links. The subset is
// the head of a rendezvous order (highest random weight hashing), so a host that
// joins or leaves moves only the links to itself. A random subset was rejected
// because an entry that restarts would replace all of its links.

import (
	"firford/lib/configurations"
	"firford/lib/hosts"
)

const (
	// SubsetSize is the number of agents that an entry is connected to for each
	// deployment: 350 entries with 20 agents each are about 8 links for each of
	// 940 agents.
	SubsetSize = 20
	// maxSubset bounds the subset with the replacements of suspected agents.
	maxSubset = 2 * SubsetSize
)

// Subset returns the agents of the deployment that the entry self connects to.
// Agents in the entry's own data centre come first, then those in its region and
// then all others, as far as the spill setting allows. Suspected agents stay in
// the subset, so that the entry keeps trying to reconnect to them, but don't count
// towards its size.
func Subset(self hosts.Host, deployment, spill string, all []hosts.Host, suspected func(name string) bool) []hosts.Host {
	order := rankEligible(self, deployment, spill, all)
	var subset []hosts.Host
	healthy := 0
	for _, host := range order {
		if healthy == SubsetSize || len(subset) == maxSubset {
			break
		}
		subset = append(subset, host)
		if !suspected(host.Name) {
			healthy++
		}
	}
	return subset
}

// rankEligible returns the eligible agents in order of preference.
func rankEligible(self hosts.Host, deployment, spill string, all []hosts.Host) []hosts.Host {
	var sameDataCentre, sameRegion, elsewhere []hosts.Host
	for _, host := range all {
		switch {
		case host.Role != hosts.RoleAgent || host.Deployment != deployment || host.Leaving:
		case host.DataCentre == self.DataCentre:
			sameDataCentre = append(sameDataCentre, host)
		case host.Region == self.Region && spill != configurations.SpillDataCentre:
			sameRegion = append(sameRegion, host)
		case spill == configurations.SpillAnywhere:
			elsewhere = append(elsewhere, host)
		}
	}
	key := self.Name + "/" + deployment
	order := hosts.Rank(key, sameDataCentre)
	order = append(order, hosts.Rank(key, sameRegion)...)
	return append(order, hosts.Rank(key, elsewhere)...)
}
