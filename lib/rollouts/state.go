package rollouts

// This file reports the state of an engine to operators over the links between
// processes.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"firford/lib/links"
)

const methodState = "rollout.state"

type (
	// HostState is the state of a host's engine as its agent reports it. Version is
	// the version that the engine reports, even if it may not serve. Serving is true
	// if requests are admitted.
	HostState struct {
		Host           string      `json:"host"`
		DataCentre     string      `json:"data_centre"`
		Deployment     string      `json:"deployment"`
		State          EngineState `json:"state"`
		Serving        bool        `json:"serving"`
		Version        string      `json:"version"`
		ManifestDigest string      `json:"manifest_digest"`
		OrderID        string      `json:"order_id"`
		Target         string      `json:"target"`
		Reason         string      `json:"reason"`
		Token          int64       `json:"token"`
		Revision       int64       `json:"revision"`
		ChangedAt      time.Time   `json:"changed_at"`
	}

	stateParams struct{}
)

// updateState updates the state that State returns, and logs it if the engine's
// state, target or version has changed.
func (loader *Loader) updateState(view View, record HostRecord, decision Decision) {
	self := loader.dependencies.Self
	next := HostState{
		Host: self.Name, DataCentre: self.DataCentre, Deployment: self.Deployment,
		State: record.State, Target: view.Target(), Reason: stateReason(view, decision), Token: loader.fence.usableToken(),
		Version: view.Status.Version, ManifestDigest: view.Status.ManifestDigest, OrderID: view.Status.OrderID,
		Revision: loader.dependencies.Configuration.Current().Revision,
	}
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	next.Serving = loader.admitting
	next.ChangedAt = loader.state.ChangedAt
	if next.State != loader.state.State || next.Target != loader.state.Target || next.Version != loader.state.Version {
		next.ChangedAt = view.Now
		loader.dependencies.Logger.Info("state changed", zap.String("state", string(next.State)),
			zap.String("version", next.Version), zap.String("target", next.Target), zap.String("reason", next.Reason))
	}
	loader.state = next
}

// stateReason returns why the engine does not serve its target, or an empty string.
func stateReason(view View, decision Decision) string {
	if reason := view.LoadFailures.GiveUpReason(view.Plan.Version); reason != "" {
		return "gave up version " + view.Plan.Version + ": " + reason
	}
	if wait, waiting := decision.(Wait); waiting {
		return wait.Reason
	}
	return ""
}

// State returns the state of the engine as of the last round of the control loop.
// Serving is current.
func (loader *Loader) State() HostState {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	state := loader.state
	state.Serving = loader.admitting
	return state
}

// Register adds a handler to the router that answers the message rollout.state
// with the loader's state.
func Register(router *links.Router, loader *Loader) {
	links.OnCall(router, methodState, func(context.Context, *links.Link, stateParams) (HostState, error) {
		return loader.State(), nil
	})
}

// FetchState requests the state of an engine from its agent.
func FetchState(ctx context.Context, agent *links.Link) (HostState, error) {
	var state HostState
	err := agent.Call(ctx, methodState, stateParams{}, &state)
	return state, err
}
