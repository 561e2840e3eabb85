package rollouts

// This file derives from the configuration which version a deployment should
// serve and which versions may serve in the meantime.

import (
	"maps"
	"slices"

	"firford/lib/configurations"
)

// Plan describes which versions the configuration intends for one deployment. It
// is immutable.
//
// A rollout in progress takes precedence over the routing. After a rollout has
// ended, a later change of the routing takes precedence over the rollout. Only
// versions that the plan allows may serve.
type Plan struct {
	Deployment configurations.Deployment
	// Configured is false until the deployment exists.
	Configured bool
	// RolloutState is the state of the rollout if it takes precedence over the
	// routing, and otherwise empty.
	RolloutState string
	// Version is the version that all hosts should serve in the end. Previous is
	// the version before it, or empty if there is none.
	Version  string
	Previous string

	Rollout         configurations.Rollout
	RolloutRevision int64
	Routing         configurations.Routing
	RoutingRevision int64

	// retainedVersion may serve although the configuration no longer names it.
	retainedVersion string
	versions        map[string]configurations.Version
}

// NewPlan returns the plan that the configuration snapshot defines for a
// deployment.
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
	if exists && plan.rolloutTakesPrecedence() {
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

// WithRetainedVersion returns a copy for a host that serves a version which was
// intended until the configuration changed, for example because a new rollout
// replaced one that was half finished. The host may continue to serve that
// version until its turn to load. Otherwise one change would take all such hosts
// out of service at once.
func (plan Plan) WithRetainedVersion(snapshot configurations.Snapshot, name string) Plan {
	version, _, found := configurations.Lookup[configurations.Version](snapshot, name)
	if !found || slices.Contains(plan.AllowedVersions(), name) {
		return plan
	}
	plan.versions = maps.Clone(plan.versions)
	plan.versions[name] = version
	plan.retainedVersion = name
	return plan
}

// rolloutTakesPrecedence reports whether the rollout, rather than the routing,
// determines the version.
func (plan Plan) rolloutTakesPrecedence() bool {
	switch plan.Rollout.State {
	case configurations.RolloutRunning, configurations.RolloutPaused:
		return true
	default:
		return plan.RolloutRevision > plan.RoutingRevision
	}
}

// IsService reports whether the deployment consists of plain services, which have
// no versions to load, instead of engines.
func (plan Plan) IsService() bool {
	return plan.Deployment.Type == configurations.DeploymentService
}

// AllowedVersions returns the versions that may serve. During a rollout these are
// the new and the previous version, because hosts change one after the other. The
// retained version is added if there is one.
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
	if plan.retainedVersion != "" {
		allowed = append(allowed, plan.retainedVersion)
	}
	return allowed
}

// ConfiguredVersion returns the configured version with the name and whether the
// plan uses it.
func (plan Plan) ConfiguredVersion(name string) (configurations.Version, bool) {
	version, known := plan.versions[name]
	return version, known
}

// Admits reports whether an engine with the status may serve requests. If the
// engine reports no manifest digest, only the name of its version is checked.
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

// Target returns the version that a host should load or keep serving. served is
// the admitted version that the host serves, or empty if there is none. reached
// is true if the rollout has reached the host. gaveUp is true if the host has
// given up on the new version for now.
func (plan Plan) Target(served string, reached, gaveUp bool) string {
	switch plan.RolloutState {
	case configurations.RolloutRunning:
		if plan.Previous == "" || reached && !gaveUp {
			return plan.Version
		}
		return plan.versionToKeep(served)
	case configurations.RolloutPaused, configurations.RolloutStopped:
		return plan.versionToKeep(served)
	case configurations.RolloutUndone:
		return plan.Previous
	default:
		return plan.Version
	}
}

// versionToKeep returns the version that a host serves while the rollout does not
// change it. A host that serves no allowed version gets the previous one.
func (plan Plan) versionToKeep(served string) string {
	if served != "" && slices.Contains(plan.AllowedVersions(), served) {
		return served
	}
	return plan.Previous
}
