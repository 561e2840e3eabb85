package backends

// Every entry keeps links to a few agents of each deployment instead of to all
// of them: 350 entries times 940 agents would be 329,000 links. The subset is
// the head of a rendezvous order, so that hosts that come and go move only
// their own share. A subset drawn at random was dropped because a restart of
// an entry would open all its links anew.

import (
	"firford/lib/configurations"
	"firford/lib/hosts"
)

const (
	// SubsetSize is the number of agents that an entry is connected to for each
	// deployment: 350 entries with 20 agents each are about 8 links for each of
	// 940 agents.
	SubsetSize = 20
	// Replacements of suspected agents at most double the subset.
	maxSubset = 2 * SubsetSize
)

// Subset returns the agents of the deployment that the entry self connects to:
// those of its own data centre first, then of its region and then of anywhere,
// as far as spill allows. Suspected agents stay in the subset, because their
// links are to be opened again, but don't count towards its size.
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

// rank returns the eligible agents in order of preference.
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
