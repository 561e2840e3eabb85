package backends

// An entry suspects an agent that it does not hear, by itself and only to route
// around it. When many agents go silent together, the common cause is more
// likely the entry's own network; it then keeps its subset instead of replacing
// all of it. Package hosts decides what one silence means; this file decides
// what the silences of a subset mean for its members.

import (
	"time"

	"firford/lib/hosts"
)

// ObservedAgent is an agent of a subset and what the entry has heard of it.
type ObservedAgent struct {
	Host     hosts.Host
	Sighting hosts.Sighting
}

// SuspectedAgents returns the names of the agents whose place in the subset others
// take. It is empty while the own network is in doubt, unless no agent is heard
// at all: then the entry has nothing to lose by trying others.
func SuspectedAgents(subset []ObservedAgent, now time.Time) map[string]bool {
	silent := map[string]bool{}
	sightings := make([]hosts.Sighting, 0, len(subset))
	for _, agent := range subset {
		sightings = append(sightings, agent.Sighting)
		switch hosts.Decide(agent.Host, true, agent.Sighting, now) {
		case hosts.Silent, hosts.Frozen:
			silent[agent.Host.Name] = true
		}
	}
	if hosts.DoubtsOwnNetwork(sightings, now) && len(silent) < len(subset) {
		return map[string]bool{}
	}
	return silent
}
