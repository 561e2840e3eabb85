package admissions

import (
	"firford/lib/engines"
	"firford/lib/requests"
)

// A request must only run on a backend server that is reachable, is not leaving and
// serves the intended version. The queue learns this from several sources that may
// be out of date: the loader, status responses and the versions stated in answers.

// admissionState decides whether new requests may start. It is immutable. The epoch
// grows with each order to the engine, so that answers and status responses to
// requests from before the order aren't compared with the version that is intended
// after it.
type admissionState struct {
	draining        bool   // The agent is shutting down.
	leaving         bool   // The last status said that the backend server is leaving.
	reachable       bool   // The last status request was answered.
	loading         bool   // The last status said that the engine is loading a version.
	serving         bool   // The loader has confirmed that the intended version is served.
	versionMismatch bool   // An answer stated a version other than the intended one.
	intendedVersion string // Empty for plain services, where any version is accepted.
	reportedVersion string // The version in the last status.
	epoch           int64
}

// WithServing returns the state after the loader has set the intended version and
// reported whether the backend server serves it.
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

// WithStatus returns the state after the response to a status request that was sent
// in the epoch.
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

// WithAnswer returns the state after an answer to a request that started in the
// epoch.
func (state admissionState) WithAnswer(version string, epoch int64) admissionState {
	if epoch == state.epoch && state.intendedVersion != "" && version != state.intendedVersion {
		state.versionMismatch = true
		// The new epoch keeps a status requested before this answer from clearing the
		// mismatch.
		state.epoch++
	}
	return state
}

// WithUnreachable returns the state after the backend server could not be reached.
func (state admissionState) WithUnreachable() admissionState {
	state.reachable = false
	return state
}

// WithDraining returns the state of an agent that is shutting down. It never admits
// requests again.
func (state admissionState) WithDraining() admissionState {
	state.draining = true
	return state
}

// refusalCode returns the code with which new requests are refused, or an empty
// string while they are admitted.
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
