package admissions

import (
	"firford/lib/engines"
	"firford/lib/requests"
)

// gate decides whether new work may start. It is immutable. Epoch grows with
// each order to the engine, so that answers and status values from before the
// order aren't held against the version after it.
type admissionState struct {
	draining        bool   // The agent is shutting down.
	leaving         bool   // The backend server has said that it leaves.
	reachable       bool   // The last status question was answered.
	loading         bool   // The engine has said that it loads a version.
	serving         bool   // The loader has read back the intended version.
	versionMismatch bool   // An answer has stated an unintended version.
	intendedVersion string // Empty: any version, for plain services.
	reportedVersion string // The version of the last status.
	epoch           int64
}

// WithServing returns the gate after the loader's word on what the backend
// server is to serve and whether it does.
func (state admissionState) WithServing(version string, serving bool) admissionState {
	state.epoch++
	state.intendedVersion = version
	state.serving = serving
	if serving {
		state.reportedVersion = version
		state.versionMismatch = false
		state.loading = false
	}
	return state
}

// WithIntended returns the gate with another intended version. It stays closed
// until the engine states that version.
func (state admissionState) WithIntended(version string) admissionState {
	if version == state.intendedVersion {
		return state
	}
	state.epoch++
	state.intendedVersion = version
	return state
}

// WithStatus returns the gate after a status that was asked for in the epoch.
func (state admissionState) WithStatus(status engines.Status, epoch int64) admissionState {
	state.reachable = true
	state.leaving = status.Leaving
	if epoch != state.epoch {
		return state
	}
	state.loading = status.Loading
	state.reportedVersion = status.Version
	if !status.Loading && status.Version == state.intendedVersion {
		state.versionMismatch = false
	}
	return state
}

// WithAnswer returns the gate after an answer to a request of the epoch.
func (state admissionState) WithAnswer(version string, epoch int64) admissionState {
	if epoch == state.epoch && state.intendedVersion != "" && version != state.intendedVersion {
		state.versionMismatch = true
		// A status that was asked for before this answer must not clear the suspicion.
		state.epoch++
	}
	return state
}

// WithUnreachable returns the gate after a failure to reach the backend server.
func (state admissionState) WithUnreachable() admissionState {
	state.reachable = false
	return state
}

// WithDraining returns the gate of an agent that shuts down. It never opens again.
func (state admissionState) WithDraining() admissionState {
	state.draining = true
	return state
}

// closed returns the code with which new work is refused, or nothing while the
// gate is open.
func (state admissionState) refusalCode() string {
	switch {
	case state.draining || state.leaving:
		return requests.CodeLeaving
	case !state.reachable:
		return requests.CodeNoBackendServer
	case !state.serving || state.loading || state.versionMismatch:
		return requests.CodeNotServing
	case state.intendedVersion != "" && state.reportedVersion != state.intendedVersion:
		return requests.CodeNotServing
	default:
		return ""
	}
}
