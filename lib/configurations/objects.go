// Package configurations manages the configuration that operators set. It defines
// the configuration objects and their validation, commits changes in totally
// ordered revisions, and propagates each accepted change to every process.
package configurations

import "context"

// Kinds of configuration objects.
const (
	KindDeployment   = "deployment"
	KindModel        = "model"
	KindVersion      = "version"
	KindRouting      = "routing"
	KindOrganisation = "organisation"
	KindRollout      = "rollout"
)

// Allowed values of the enumerated fields of configuration objects.
const (
	DeploymentEngine  = "engine"
	DeploymentService = "service"

	PolicyLessTime         = "less_time"
	PolicyFewerOriginBytes = "fewer_origin_bytes"

	VersionWhole   = "whole"
	VersionAdapter = "adapter"

	SpillDataCentre = "data_centre"
	SpillRegion     = "region"
	SpillAnywhere   = "anywhere"

	RolloutRunning = "running"
	RolloutPaused  = "paused"
	RolloutStopped = "stopped"
	RolloutDone    = "done"
	RolloutUndone  = "undone"
)

type (
	// Object is one configuration object. It is implemented only by types of this
	// package.
	Object interface {
		// Kind returns one of the Kind constants.
		Kind() string
		// ObjectName returns the name, unique within the kind.
		ObjectName() string
		sealed()
	}

	// Objectives are the service level objectives of a deployment. AnsweredShare
	// lies between 0 and 1. A zero value means that there is no such objective.
	Objectives struct {
		AnsweredShare float64 `json:"answered_share,omitempty"`
		FirstTokenMS  int64   `json:"first_token_ms,omitempty"`
		TokenGapMS    int64   `json:"token_gap_ms,omitempty"`
		ReplicasMS    int64   `json:"replicas_ms,omitempty"`
	}

	// Deployment is a pool of backend servers that serve one model or service.
	// Shares lie between 0 and 1. Fences is true if the engines refuse orders with
	// an old fencing token.
	Deployment struct {
		Name                string     `json:"name"`
		Type                string     `json:"type"`
		Model               string     `json:"model,omitempty"`
		Policy              string     `json:"policy,omitempty"`
		OriginLinkShare     float64    `json:"origin_link_share,omitempty"`
		MinimumServingShare float64    `json:"minimum_serving_share,omitempty"`
		CanaryHosts         int        `json:"canary_hosts,omitempty"`
		Fences              bool       `json:"fences,omitempty"`
		Objectives          Objectives `json:"objectives"`
	}

	// Model is a name under which versions are published.
	Model struct {
		Name string `json:"name"`
	}

	// Version is one immutable set of weights of a model. Base is the name of the
	// version that an adapter applies to. Size is in bytes.
	Version struct {
		Name           string `json:"name"`
		Model          string `json:"model"`
		Type           string `json:"type"`
		Base           string `json:"base,omitempty"`
		ManifestDigest string `json:"manifest_digest"`
		Size           int64  `json:"size"`
	}

	// Routing selects the version that a deployment serves. Spill bounds how far
	// away a request may be served: in the data centre, in the region or anywhere.
	Routing struct {
		Deployment string `json:"deployment"`
		Version    string `json:"version,omitempty"`
		Spill      string `json:"spill,omitempty"`
	}

	// Organisation is one customer with its limits. TokenHash is the SHA-256 hash of
	// the bearer token in hex. The token itself is never stored.
	Organisation struct {
		Name              string  `json:"name"`
		TokenHash         string  `json:"token_hash"`
		Weight            float64 `json:"weight"`
		RequestsPerSecond float64 `json:"requests_per_s,omitempty"`
		InFlight          int     `json:"in_flight,omitempty"`
	}

	// Rollout changes the version of a deployment from Previous to Version.
	Rollout struct {
		Deployment string `json:"deployment"`
		Version    string `json:"version"`
		Previous   string `json:"previous,omitempty"`
		State      string `json:"state"`
		Reason     string `json:"reason,omitempty"`
		StartedBy  string `json:"started_by,omitempty"`
	}

	// Source provides the configuration to the other parts of a process.
	Source interface {
		// Current returns the newest configuration in force. Its revision is zero
		// until a configuration has been received.
		Current() Snapshot
		// Wait blocks until the revision in force is higher than after and returns the
		// configuration. It fails if the context ends first.
		Wait(ctx context.Context, after int64) (Snapshot, error)
	}
)

// Kind implements Object.
func (Deployment) Kind() string { return KindDeployment }

// Kind implements Object.
func (Model) Kind() string { return KindModel }

// Kind implements Object.
func (Version) Kind() string { return KindVersion }

// Kind implements Object.
func (Routing) Kind() string { return KindRouting }

// Kind implements Object.
func (Organisation) Kind() string { return KindOrganisation }

// Kind implements Object.
func (Rollout) Kind() string { return KindRollout }

// ObjectName implements Object.
func (deployment Deployment) ObjectName() string { return deployment.Name }

// ObjectName implements Object.
func (model Model) ObjectName() string { return model.Name }

// ObjectName implements Object.
func (version Version) ObjectName() string { return version.Name }

// ObjectName implements Object.
func (routing Routing) ObjectName() string { return routing.Deployment }

// ObjectName implements Object.
func (organisation Organisation) ObjectName() string { return organisation.Name }

// ObjectName implements Object.
func (rollout Rollout) ObjectName() string { return rollout.Deployment }

func (Deployment) sealed()   {}
func (Model) sealed()        {}
func (Version) sealed()      {}
func (Routing) sealed()      {}
func (Organisation) sealed() {}
func (Rollout) sealed()      {}
