package rollouts

import (
	"maps"
	"slices"

	"firford/lib/configurations"
)

// Plan is what the configuration asks of one deployment. It is immutable.
//
// A rollout in progress takes precedence over the routing. Once a rollout has
// ended, a later change of the routing takes precedence over the rollout.
// Versions that the plan allows may serve; all others may not.
type Plan struct {
	Deployment configurations.Deployment
	// Configured is false until the deployment exists.
	Configured bool
	// RolloutState is the state of the rollout that governs the deployment, or empty.
	RolloutState string
	// Version is the version to reach and Previous the one before it, which is
	// empty where there is none.
	Version  string
	Previous string

	Rollout         configurations.Rollout
	RolloutRevision int64
	Routing         configurations.Routing
	RoutingRevision int64

	// carried is a version that is served although the plan no longer names it.
	carried  string
	versions map[string]configurations.Version
}

// NewPlan returns the plan for a deployment.
func NewPlan(snapshot configurations.Snapshot, deployment string) Plan {
	var plan Plan
	plan.Deployment, _, plan.Configured = configurations.Lookup[configurations.Deployment](snapshot, deployment)
	if !plan.Configured {
		return plan
	}
	plan.Routing, plan.RoutingRevision, _ = configurations.Lookup[configurations.Routing](snapshot, deployment)
	var exists bool
	plan.Rollout, plan.RolloutRevision, exists = configurations.Lookup[configurations.Rollout](snapshot, deployment)
	plan.Version = plan.Routing.Version
	if exists && plan.rolloutGoverns() {
		plan.RolloutState = plan.Rollout.State
		plan.Version = plan.Rollout.Version
		plan.Previous = plan.Rollout.Previous
		if plan.Previous == "" && plan.Routing.Version != plan.Version {
			plan.Previous = plan.Routing.Version
		}
	}
	plan.versions = map[string]configurations.Version{}
	for _, name := range []string{plan.Version, plan.Previous} {
		if version, _, found := configurations.Lookup[configurations.Version](snapshot, name); found {
			plan.versions[name] = version
		}
	}
	return plan
}

// WithRetainedVersion returns the plan for a host that serves a version which was
// intended until the configuration changed, for example by a rollout that
// replaced another half-way. It may serve on until its turn to load: otherwise
// one change would take all such hosts out of service at once.
func (plan Plan) WithRetainedVersion(snapshot configurations.Snapshot, name string) Plan {
	version, _, found := configurations.Lookup[configurations.Version](snapshot, name)
	if !found || slices.Contains(plan.AllowedVersions(), name) {
		return plan
	}
	plan.versions = maps.Clone(plan.versions)
	plan.versions[name] = version
	plan.carried = name
	return plan
}

func (plan Plan) rolloutGoverns() bool {
	switch plan.Rollout.State {
	case configurations.RolloutRunning, configurations.RolloutPaused:
		return true
	default:
		return plan.RolloutRevision > plan.RoutingRevision
	}
}

// IsService reports whether the backend servers are plain services, which have no
// versions to load.
func (plan Plan) IsService() bool {
	return plan.Deployment.Type == configurations.DeploymentService
}

// AllowedVersions returns the versions that may serve. During a rollout these are both
// versions, because hosts change one after the other, and the carried one.
func (plan Plan) AllowedVersions() []string {
	var allowed []string
	for _, name := range []string{plan.Version, plan.Previous} {
		if _, known := plan.versions[name]; !known {
			continue
		}
		if name == plan.Version || plan.RolloutState != configurations.RolloutDone {
			allowed = append(allowed, name)
		}
	}
	if plan.carried != "" {
		allowed = append(allowed, plan.carried)
	}
	return allowed
}

// ConfiguredVersion returns the configured version with the name, if the plan uses it.
func (plan Plan) ConfiguredVersion(name string) (configurations.Version, bool) {
	version, known := plan.versions[name]
	return version, known
}

// Admits reports whether an engine with the status may serve requests. An
// engine that reports no manifest digest is judged by the name of its version.
func (plan Plan) Admits(status Status) bool {
	if status.Loading || status.Leaving || !plan.Configured {
		return false
	}
	if plan.IsService() {
		return true
	}
	if !slices.Contains(plan.AllowedVersions(), status.Version) {
		return false
	}
	return status.ManifestDigest == "" || status.ManifestDigest == plan.versions[status.Version].ManifestDigest
}

// Target returns the version that a host is to load or keep. The host serves
// the version served, or an empty one if it serves none that is admitted; turn
// tells that the rollout has reached it; failed tells that it has given up on
// the new version for now.
func (plan Plan) Target(served string, turn, failed bool) string {
	switch plan.RolloutState {
	case configurations.RolloutRunning:
		if plan.Previous == "" || turn && !failed {
			return plan.Version
		}
		return plan.keep(served)
	case configurations.RolloutPaused, configurations.RolloutStopped:
		return plan.keep(served)
	case configurations.RolloutUndone:
		return plan.Previous
	default:
		return plan.Version
	}
}

// keep leaves a host on what it serves; one without a version gets the earlier.
func (plan Plan) keep(served string) string {
	if served != "" && slices.Contains(plan.AllowedVersions(), served) {
		return served
	}
	return plan.Previous
}
