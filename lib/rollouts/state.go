package rollouts

import (
	"context"
	"time"

	"go.uber.org/zap"

	"firford/lib/links"
)

const methodState = "rollout.state"

type (
	// HostState is what an agent reports of its engine. Version is what the engine
	// reports, whether or not it is admitted; Serving tells that work is admitted.
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

// setState keeps the state for State and logs each change of it.
func (loader *Loader) setState(view View, record HostRecord, decision Decision) {
	self := loader.dependencies.Self
	next := HostState{
		Host: self.Name, DataCentre: self.DataCentre, Deployment: self.Deployment,
		State: record.State, Target: view.Target(), Reason: reasonOf(view, decision), Token: loader.fence.held(),
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

func reasonOf(view View, decision Decision) string {
	if exhausted := view.LoadFailures.GiveUpReason(view.Plan.Version); exhausted != "" {
		return "gave up version " + view.Plan.Version + ": " + exhausted
	}
	if stay, staying := decision.(Wait); staying {
		return stay.Reason
	}
	return ""
}

// State returns the state of the engine as of the last round.
func (loader *Loader) State() HostState {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	state := loader.state
	state.Serving = loader.admitting
	return state
}

// Register answers the message rollout.state on an agent's links.
func Register(router *links.Router, loader *Loader) {
	links.OnCall(router, methodState, func(context.Context, *links.Link, stateParams) (HostState, error) {
		return loader.State(), nil
	})
}

// FetchState asks an agent for the state of its engine.
func FetchState(ctx context.Context, agent *links.Link) (HostState, error) {
	var state HostState
	err := agent.Call(ctx, methodState, stateParams{}, &state)
	return state, err
}
