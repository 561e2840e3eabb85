package operators

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
	stateServing  = "serving"
)

// StartRollout implements the call. A rollout that is in progress is replaced;
// what the routing names stays the version to return to.
func (server *Server) StartRollout(ctx context.Context, given *wire.StartRolloutRequest) (*wire.Accepted, error) {
	snapshot := server.dependencies.Configuration.Current()
	routing, _, _ := configurations.Lookup[configurations.Routing](snapshot, given.GetDeployment())
	_, expected, _ := configurations.Lookup[configurations.Rollout](snapshot, given.GetDeployment())
	rollout := configurations.Rollout{
		Deployment: given.GetDeployment(),
		Version:    given.GetVersion(),
		State:      configurations.RolloutRunning,
		StartedBy:  operatorOf(ctx),
	}
	if routing.Version != rollout.Version {
		rollout.Previous = routing.Version
	}
	return server.change(ctx, configurations.Request{
		ID: given.GetRequestId(), Kind: configurations.KindRollout, Name: rollout.Deployment, Object: rollout,
		Intent: "start " + rollout.Version, ExpectedRevision: expected,
	})
}

// PauseRollout implements the call.
func (server *Server) PauseRollout(ctx context.Context, given *wire.RolloutRequest) (*wire.Accepted, error) {
	return server.moveRollout(ctx, given, "pause", configurations.RolloutPaused, configurations.RolloutRunning)
}

// ResumeRollout implements the call. A rollout that was stopped, such as by a
// failed canary, runs again.
func (server *Server) ResumeRollout(ctx context.Context, given *wire.RolloutRequest) (*wire.Accepted, error) {
	return server.moveRollout(ctx, given, "resume", configurations.RolloutRunning,
		configurations.RolloutPaused, configurations.RolloutStopped)
}

// UndoRollout implements the call. It returns every host to the earlier version.
func (server *Server) UndoRollout(ctx context.Context, given *wire.RolloutRequest) (*wire.Accepted, error) {
	return server.moveRollout(ctx, given, "undo", configurations.RolloutUndone,
		configurations.RolloutRunning, configurations.RolloutPaused, configurations.RolloutStopped, configurations.RolloutDone)
}

// moveRollout changes the state of a rollout if it is in one of the states. The
// configuration at this entry may be seconds old; a conflict brings it up to
// date, and the move is tried once more.
func (server *Server) moveRollout(ctx context.Context, given *wire.RolloutRequest, intent, state string, from ...string) (*wire.Accepted, error) {
	known := server.dependencies.Configuration.Current().Revision
	accepted, err := server.tryMove(ctx, given, intent, state, from)
	if err != nil && known < server.dependencies.Configuration.Current().Revision {
		return server.tryMove(ctx, given, intent, state, from)
	}
	return accepted, err
}

func (server *Server) tryMove(ctx context.Context, given *wire.RolloutRequest, intent, state string, from []string) (*wire.Accepted, error) {
	snapshot, err := server.snapshot()
	if err != nil {
		return nil, err
	}
	rollout, expected, found := configurations.Lookup[configurations.Rollout](snapshot, given.GetDeployment())
	if !found {
		return nil, notFound(configurations.KindRollout, given.GetDeployment())
	}
	applicable := slices.Contains(from, rollout.State)
	if !applicable {
		// The commit recognises a repeated call by its request id, then fails,
		// because no object has this revision.
		expected = -1
	}
	moved := rollout
	moved.State, moved.Reason = state, intent+" by "+operatorOf(ctx)
	accepted, err := server.change(ctx, configurations.Request{
		ID: given.GetRequestId(), Kind: configurations.KindRollout, Name: rollout.Deployment, Object: moved,
		Intent: intent, ExpectedRevision: expected,
	})
	if err != nil && !applicable && classify(err).reason == ReasonConflict {
		return nil, notApplicable(fmt.Sprintf("can't %s the rollout of %s, it is %s", intent, rollout.Deployment, rollout.State))
	}
	return accepted, err
}

// WatchRollout implements the call.
func (server *Server) WatchRollout(given *wire.WatchRolloutRequest, stream wire.Operators_WatchRolloutServer) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		progress, ended, err := server.progress(stream.Context(), given.GetDeployment())
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

func (server *Server) progress(ctx context.Context, deployment string) (*wire.RolloutProgress, bool, error) {
	snapshot, err := server.snapshot()
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
	if server.dependencies.Engines != nil {
		engines, err := server.dependencies.Engines.Engines(ctx, deployment)
		if err != nil {
			return nil, false, err
		}
		count(progress, engines, target)
	}
	return progress, ended(rollout, progress), nil
}

func count(progress *wire.RolloutProgress, engines []Engine, target string) {
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

// ended reports whether nothing more will happen. An undone rollout has ended
// when every host has returned to the earlier version.
func ended(rollout configurations.Rollout, progress *wire.RolloutProgress) bool {
	switch rollout.State {
	case configurations.RolloutDone, configurations.RolloutStopped:
		return true
	case configurations.RolloutUndone:
		return progress.GetServing() == progress.GetHosts()
	default:
		return false
	}
}

// ListEngines implements the call.
func (server *Server) ListEngines(ctx context.Context, given *wire.ListEnginesRequest) (*wire.EngineList, error) {
	if server.dependencies.Engines == nil {
		return nil, notProvided("the list of engines")
	}
	engines, err := server.dependencies.Engines.Engines(ctx, given.GetDeployment())
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

// ageMS returns -1 for an engine of which the entry knows nothing.
func ageMS(seenAt, now time.Time) int64 {
	if seenAt.IsZero() {
		return -1
	}
	return now.Sub(seenAt).Milliseconds()
}

// GetRevisionStatus implements the call.
func (server *Server) GetRevisionStatus(ctx context.Context, given *wire.RevisionStatusRequest) (*wire.RevisionStatus, error) {
	if server.dependencies.Surveyor == nil {
		return nil, notProvided("the status of a revision")
	}
	revision := given.GetRevision()
	if revision == 0 {
		revision = server.dependencies.Configuration.Current().Revision
	}
	answer := &wire.RevisionStatus{Revision: revision}
	for _, standing := range server.dependencies.Surveyor.Survey(ctx) {
		answer.Processes++
		if standing.Problem == "" && standing.Status.AppliedRevision >= revision {
			continue
		}
		answer.Behind = append(answer.Behind, &wire.ProcessStatus{
			Name: standing.Host.Name, Role: standing.Host.Role, DataCentre: standing.Host.DataCentre,
			Revision: standing.Status.AppliedRevision, Problem: standing.Problem,
		})
	}
	answer.Everywhere = len(answer.Behind) == 0
	return answer, nil
}

// GetBurnReport implements the call.
func (server *Server) GetBurnReport(ctx context.Context, given *wire.BurnReportRequest) (*wire.BurnReport, error) {
	if server.dependencies.Burn == nil {
		return nil, notProvided("the burn report")
	}
	report, err := server.dependencies.Burn.BurnReport(ctx, given.GetDeployment())
	if err != nil {
		return nil, err
	}
	return &wire.BurnReport{Json: report}, nil
}
