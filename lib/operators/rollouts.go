package operators

// This file implements the calls on rollouts, and the calls that report on
// backend servers, revisions and burn rates.

import (
	"context"
	"fmt"
	"slices"
	"time"

	"firford/lib/configurations"
	"firford/lib/operators/wire"
)

const (
	watchInterval = time.Second

	// stateServing is the Engine.State of a backend server that takes requests.
	stateServing = "serving"
)

// StartRollout implements the StartRollout call. It replaces a rollout that is in
// progress. An undo still returns to the version that the routing names.
func (server *Server) StartRollout(ctx context.Context, request *wire.StartRolloutRequest) (*wire.Accepted, error) {
	snapshot := server.dependencies.Configuration.Current()
	routing, _, _ := configurations.Lookup[configurations.Routing](snapshot, request.GetDeployment())
	_, expected, _ := configurations.Lookup[configurations.Rollout](snapshot, request.GetDeployment())
	rollout := configurations.Rollout{
		Deployment: request.GetDeployment(),
		Version:    request.GetVersion(),
		State:      configurations.RolloutRunning,
		StartedBy:  operatorFromContext(ctx),
	}
	if routing.Version != rollout.Version {
		rollout.Previous = routing.Version
	}
	return server.commitChange(ctx, configurations.Request{
		ID: request.GetRequestId(), Kind: configurations.KindRollout, Name: rollout.Deployment, Object: rollout,
		Intent: "start " + rollout.Version, ExpectedRevision: expected,
	})
}

// PauseRollout implements the PauseRollout call.
func (server *Server) PauseRollout(ctx context.Context, request *wire.RolloutRequest) (*wire.Accepted, error) {
	return server.transitionRollout(ctx, request, "pause", configurations.RolloutPaused, configurations.RolloutRunning)
}

// ResumeRollout implements the ResumeRollout call. It also resumes a rollout that
// was stopped, for example by a failed canary.
func (server *Server) ResumeRollout(ctx context.Context, request *wire.RolloutRequest) (*wire.Accepted, error) {
	return server.transitionRollout(ctx, request, "resume", configurations.RolloutRunning,
		configurations.RolloutPaused, configurations.RolloutStopped)
}

// UndoRollout implements the UndoRollout call. It returns every host to the
// previous version.
func (server *Server) UndoRollout(ctx context.Context, request *wire.RolloutRequest) (*wire.Accepted, error) {
	return server.transitionRollout(ctx, request, "undo", configurations.RolloutUndone,
		configurations.RolloutRunning, configurations.RolloutPaused, configurations.RolloutStopped, configurations.RolloutDone)
}

// transitionRollout changes the state of a rollout if its current state is one of
// allowedStates. The configuration at this entry may be seconds old. A conflict
// updates it, and the transition is then retried once.
func (server *Server) transitionRollout(ctx context.Context, request *wire.RolloutRequest, intent, state string, allowedStates ...string) (*wire.Accepted, error) {
	revisionBefore := server.dependencies.Configuration.Current().Revision
	accepted, err := server.tryTransition(ctx, request, intent, state, allowedStates)
	if err != nil && revisionBefore < server.dependencies.Configuration.Current().Revision {
		return server.tryTransition(ctx, request, intent, state, allowedStates)
	}
	return accepted, err
}

func (server *Server) tryTransition(ctx context.Context, request *wire.RolloutRequest, intent, state string, allowedStates []string) (*wire.Accepted, error) {
	snapshot, err := server.currentSnapshot()
	if err != nil {
		return nil, err
	}
	rollout, expected, found := configurations.Lookup[configurations.Rollout](snapshot, request.GetDeployment())
	if !found {
		return nil, notFound(configurations.KindRollout, request.GetDeployment())
	}
	allowed := slices.Contains(allowedStates, rollout.State)
	if !allowed {
		// Still attempt the commit: if the call is a repeat, its request id is
		// recognised and it succeeds. Otherwise the commit fails, because no object
		// has this revision.
		expected = -1
	}
	updated := rollout
	updated.State, updated.Reason = state, intent+" by "+operatorFromContext(ctx)
	accepted, err := server.commitChange(ctx, configurations.Request{
		ID: request.GetRequestId(), Kind: configurations.KindRollout, Name: rollout.Deployment, Object: updated,
		Intent: intent, ExpectedRevision: expected,
	})
	if err != nil && !allowed && classify(err).reason == ReasonConflict {
		return nil, notApplicable(fmt.Sprintf("can't %s the rollout of %s, it is %s", intent, rollout.Deployment, rollout.State))
	}
	return accepted, err
}

// WatchRollout implements the WatchRollout call. It sends the progress each second
// until the rollout has ended.
func (server *Server) WatchRollout(request *wire.WatchRolloutRequest, stream wire.Operators_WatchRolloutServer) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		progress, ended, err := server.rolloutProgress(stream.Context(), request.GetDeployment())
		if err != nil {
			return err
		}
		if err := stream.Send(progress); err != nil || ended {
			return err
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-ticker.C:
		}
	}
}

// rolloutProgress returns the progress of the deployment's rollout, and whether the
// rollout has ended.
func (server *Server) rolloutProgress(ctx context.Context, deployment string) (*wire.RolloutProgress, bool, error) {
	snapshot, err := server.currentSnapshot()
	if err != nil {
		return nil, false, err
	}
	rollout, _, found := configurations.Lookup[configurations.Rollout](snapshot, deployment)
	if !found {
		return nil, false, notFound(configurations.KindRollout, deployment)
	}
	target := rollout.Version
	if rollout.State == configurations.RolloutUndone {
		target = rollout.Previous
	}
	progress := &wire.RolloutProgress{Rollout: rolloutToWire(rollout), Revision: snapshot.Revision}
	if server.dependencies.EngineLister != nil {
		engines, err := server.dependencies.EngineLister.Engines(ctx, deployment)
		if err != nil {
			return nil, false, err
		}
		addEngines(progress, engines, target)
	}
	return progress, hasEnded(rollout, progress), nil
}

// addEngines counts the backend servers in total, those that serve the target
// version, and those that serve another one.
func addEngines(progress *wire.RolloutProgress, engines []Engine, target string) {
	for _, engine := range engines {
		progress.Hosts++
		switch {
		case engine.State == stateServing && engine.Version == target:
			progress.Serving++
		case engine.State == stateServing:
			progress.Other++
		}
	}
}

// hasEnded reports whether the rollout will make no further progress. An undone
// rollout has ended when every host has returned to the previous version.
func hasEnded(rollout configurations.Rollout, progress *wire.RolloutProgress) bool {
	switch rollout.State {
	case configurations.RolloutDone, configurations.RolloutStopped:
		return true
	case configurations.RolloutUndone:
		return progress.GetServing() == progress.GetHosts()
	default:
		return false
	}
}

// ListEngines implements the ListEngines call.
func (server *Server) ListEngines(ctx context.Context, request *wire.ListEnginesRequest) (*wire.EngineList, error) {
	if server.dependencies.EngineLister == nil {
		return nil, notProvided("the list of engines")
	}
	engines, err := server.dependencies.EngineLister.Engines(ctx, request.GetDeployment())
	if err != nil {
		return nil, err
	}
	list := &wire.EngineList{}
	now := time.Now()
	for _, engine := range engines {
		list.Engines = append(list.Engines, &wire.Engine{
			Host: engine.Host, DataCentre: engine.DataCentre, Deployment: engine.Deployment,
			Version: engine.Version, State: engine.State,
			Running: int32(engine.Running), Queued: int32(engine.Queued), Slots: int32(engine.Slots),
			AgeMs: ageMS(engine.SeenAt, now),
		})
	}
	return list, nil
}

// ageMS returns the age of an engine's state in milliseconds, or -1 if the entry
// has received none.
func ageMS(seenAt, now time.Time) int64 {
	if seenAt.IsZero() {
		return -1
	}
	return now.Sub(seenAt).Milliseconds()
}

// GetRevisionStatus implements the GetRevisionStatus call. Revision zero asks about
// the revision in force at this entry.
func (server *Server) GetRevisionStatus(ctx context.Context, request *wire.RevisionStatusRequest) (*wire.RevisionStatus, error) {
	if server.dependencies.StatusQuerier == nil {
		return nil, notProvided("the status of a revision")
	}
	revision := request.GetRevision()
	if revision == 0 {
		revision = server.dependencies.Configuration.Current().Revision
	}
	result := &wire.RevisionStatus{Revision: revision}
	for _, process := range server.dependencies.StatusQuerier.QueryStatuses(ctx) {
		result.Processes++
		if process.Problem == "" && process.Status.AppliedRevision >= revision {
			continue
		}
		result.Behind = append(result.Behind, &wire.ProcessStatus{
			Name: process.Host.Name, Role: process.Host.Role, DataCentre: process.Host.DataCentre,
			Revision: process.Status.AppliedRevision, Problem: process.Problem,
		})
	}
	result.Everywhere = len(result.Behind) == 0
	return result, nil
}

// GetBurnReport implements the GetBurnReport call.
func (server *Server) GetBurnReport(ctx context.Context, request *wire.BurnReportRequest) (*wire.BurnReport, error) {
	if server.dependencies.BurnReporter == nil {
		return nil, notProvided("the burn report")
	}
	report, err := server.dependencies.BurnReporter.BurnReport(ctx, request.GetDeployment())
	if err != nil {
		return nil, err
	}
	return &wire.BurnReport{Json: report}, nil
}
