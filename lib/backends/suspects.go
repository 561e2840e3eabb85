package backends

// An entry suspects agents that it receives no messages from, so that it can
// connect to others in their place. The suspicion is local to the entry and
// affects only its routing. When many agents fall silent at once, the likely cause
// is the entry's own network, and the entry then keeps its subset instead of
// replacing all of it. Package hosts judges the silence of one agent; this file
// judges the agents of a subset together.

import (
	"time"

	"firford/lib/hosts"
)

// ObservedAgent is an agent of a subset and the messages that the entry has
// received from it.
type ObservedAgent struct {
	Host        hosts.Host
	Observation hosts.Observation
}

// SuspectedAgents returns the names of the agents that other agents should
// replace in the subset. It is empty while the entry doubts its own network,
// unless every agent is silent: then connecting to others can't make things worse.
func SuspectedAgents(subset []ObservedAgent, now time.Time) map[string]bool {
	silent := map[string]bool{}
	observations := make([]hosts.Observation, 0, len(subset))
	for _, agent := range subset {
		observations = append(observations, agent.Observation)
		switch hosts.StateOf(agent.Host, true, agent.Observation, now) {
		case hosts.Silent, hosts.Frozen:
			silent[agent.Host.Name] = true
		}
	}
	if hosts.SuspectsOwnNetwork(observations, now) && len(silent) < len(subset) {
		return map[string]bool{}
	}
	return silent
}
