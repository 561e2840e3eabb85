package admissions

import (
	"firford/lib/engines"
	"firford/lib/requests"
)

// gate decides whether new work may start. It is immutable. Epoch grows with
// each order to the engine, so that answers and status values from before the
// order aren't held against the version after it.
type gate struct {
	draining  bool   // The agent is shutting down.
	leaving   bool   // The backend server has said that it leaves.
	reachable bool   // The last status question was answered.
	loading   bool   // The engine has said that it loads a version.
	serving   bool   // The loader has read back the intended version.
	suspect   bool   // An answer has stated an unintended version.
	intended  string // Empty: any version, for plain services.
	stated    string // The version of the last status.
	epoch     int64
}

// WithServing returns the gate after the loader's word on what the backend
// server is to serve and whether it does.
func (current gate) WithServing(version string, serving bool) gate {
	current.epoch++
	current.intended = version
	current.serving = serving
	if serving {
		current.stated = version
		current.suspect = false
		current.loading = false
	}
	return current
}

// WithIntended returns the gate with another intended version. It stays closed
// until the engine states that version.
func (current gate) WithIntended(version string) gate {
	if version == current.intended {
		return current
	}
	current.epoch++
	current.intended = version
	return current
}

// WithStatus returns the gate after a status that was asked for in the epoch.
func (current gate) WithStatus(status engines.Status, epoch int64) gate {
	current.reachable = true
	current.leaving = status.Leaving
	if epoch != current.epoch {
		return current
	}
	current.loading = status.Loading
	current.stated = status.Version
	if !status.Loading && status.Version == current.intended {
		current.suspect = false
	}
	return current
}

// WithAnswer returns the gate after an answer to a request of the epoch.
func (current gate) WithAnswer(version string, epoch int64) gate {
	if epoch == current.epoch && current.intended != "" && version != current.intended {
		current.suspect = true
		// A status that was asked for before this answer must not clear the suspicion.
		current.epoch++
	}
	return current
}

// WithUnreachable returns the gate after a failure to reach the backend server.
func (current gate) WithUnreachable() gate {
	current.reachable = false
	return current
}

// WithDraining returns the gate of an agent that shuts down. It never opens again.
func (current gate) WithDraining() gate {
	current.draining = true
	return current
}

// closed returns the code with which new work is refused, or nothing while the
// gate is open.
func (current gate) closed() string {
	switch {
	case current.draining || current.leaving:
		return requests.CodeLeaving
	case !current.reachable:
		return requests.CodeNoBackendServer
	case !current.serving || current.loading || current.suspect:
		return requests.CodeNotServing
	case current.intended != "" && current.stated != current.intended:
		return requests.CodeNotServing
	default:
		return ""
	}
}
