package backends

// An entry suspects an agent whose link is silent or lost, by itself and only
// to route around it. When many agents go silent together, the common cause is
// more likely the entry's own network; it then keeps its subset instead of
// replacing all of it.

import "time"

const (
	// Agents that went silent within this time may share a cause. It is twice the
	// time after which a silent link is closed.
	doubtWindow = 6 * time.Second
	// Above one part in this many of the subset, the own network is doubted.
	doubtPart = 3
)

// Silence is when the link to an agent went silent or was lost; the zero time
// stands for an agent that is heard.
type Silence struct {
	Name  string
	Since time.Time
}

// DoubtsOwnNetwork reports whether more than a third of the subset has gone
// silent within a few seconds of each other.
func DoubtsOwnNetwork(subset []Silence, now time.Time) bool {
	recent := 0
	for _, agent := range subset {
		if !agent.Since.IsZero() && now.Sub(agent.Since) <= doubtWindow {
			recent++
		}
	}
	return recent*doubtPart > len(subset)
}

// Suspects returns the names of the agents whose place in the subset others
// take. It is empty while the own network is in doubt, unless no agent is heard
// at all: then the entry has nothing to lose by trying others.
func Suspects(subset []Silence, now time.Time) map[string]bool {
	silent := map[string]bool{}
	for _, agent := range subset {
		if !agent.Since.IsZero() {
			silent[agent.Name] = true
		}
	}
	if DoubtsOwnNetwork(subset, now) && len(silent) < len(subset) {
		return map[string]bool{}
	}
	return silent
}
