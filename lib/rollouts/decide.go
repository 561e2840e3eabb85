package rollouts

// This file decides the next step of one host's agent. Decide is a pure function
// of a View, so that each rule can be tested without a table or an engine.

import (
	"time"

	"firford/lib/configurations"
	"firford/lib/hosts"
)

type (
	// View holds everything that the next decision of a host's agent depends on.
	// Self is the name of the host. Members are the hosts of its deployment that
	// are not leaving. Table is the last snapshot of the deployment's rows.
	View struct {
		Now     time.Time
		Self    string
		Plan    Plan
		Members []hosts.Host
		Table   TableSnapshot
		// Status is the last status that the engine reported. Reachable is false if
		// the engine does not answer.
		Status    Status
		Reachable bool
		// HasToken and HasSlot report whether this agent holds a fencing token that
		// it may use and a slot whose lease has not expired.
		HasToken bool
		HasSlot  bool
		// LoadFailures counts the failed loads of this host.
		LoadFailures LoadFailures
		// ChangesPaused is true for some time after this agent has tried to change
		// the configuration; the time is longer if the change failed.
		ChangesPaused bool
		// HasAllChunks reports whether all chunks of a version are on this host.
		HasAllChunks func(version string) bool
	}

	// Decision is the next step of an agent: Wait, AcquireSlot, StartLoad,
	// ReleaseSlot, StopRollout, FinishRollout or SetRouting.
	Decision interface {
		decision()
	}

	// Wait does nothing until the view changes. Reason is empty if the engine
	// serves its target version or if there is nothing to load.
	Wait struct {
		Reason string
	}

	// AcquireSlot tries to acquire one of the slots with these indexes.
	AcquireSlot struct {
		Slots []int
	}

	// StartLoad starts to load the version into the engine.
	StartLoad struct {
		Version string
	}

	// ReleaseSlot releases the slot that this host holds.
	ReleaseSlot struct{}

	// StopRollout ends the rollout because a canary host can't load the version.
	StopRollout struct {
		Reason string
	}

	// FinishRollout ends a rollout whose version every member serves.
	FinishRollout struct{}

	// SetRouting changes the version in the deployment's routing.
	SetRouting struct {
		Version string
	}
)

func (Wait) decision()          {}
func (AcquireSlot) decision()   {}
func (StartLoad) decision()     {}
func (ReleaseSlot) decision()   {}
func (StopRollout) decision()   {}
func (FinishRollout) decision() {}
func (SetRouting) decision()    {}

// Canaries returns the members that load a new version before all others.
func Canaries(plan Plan, members []hosts.Host) []hosts.Host {
	ranked := hosts.Rank("canary/"+plan.Deployment.Name, members)
	return ranked[:min(plan.Deployment.CanaryHosts, len(ranked))]
}

func containsHost(list []hosts.Host, name string) bool {
	for _, host := range list {
		if host.Name == name {
			return true
		}
	}
	return false
}

// rolloutReachedSelf reports whether this host may load the new version: it is a
// canary, or every canary serves the new version. The answer is false for a host
// that the platform does not list yet, because such a host may not know the
// canaries either.
func (view View) rolloutReachedSelf() bool {
	if !containsHost(view.Members, view.Self) {
		return false
	}
	canaries := Canaries(view.Plan, view.Members)
	return containsHost(canaries, view.Self) || view.Table.allServe(canaries, view.Plan.Version)
}

// admittedVersion returns the version that the engine serves if the plan allows
// it, and otherwise an empty string.
func (view View) admittedVersion() string {
	if view.Reachable && view.Plan.Admits(view.Status) {
		return view.Status.Version
	}
	return ""
}

// Target returns the version that this host should load or keep serving. It is
// empty if there is none.
func (view View) Target() string {
	return view.Plan.Target(view.admittedVersion(), view.rolloutReachedSelf(), view.LoadFailures.GivenUp(view.Plan.Version, view.Now))
}

// Decide returns the next step of the agent that has this view.
func Decide(view View) Decision {
	plan := view.Plan
	if !plan.Configured || plan.IsService() {
		return Wait{}
	}
	if reason, stop := view.stopReason(); stop {
		return StopRollout{Reason: reason}
	}
	if !view.Reachable || view.Status.Leaving {
		return Wait{Reason: "the engine does not answer or is leaving"}
	}
	target := view.Target()
	if target != "" && view.admittedVersion() == target {
		return view.decideAtTarget()
	}
	return view.decideLoad(target)
}

// stopReason returns the reason for stopping the rollout, and true, if this host
// is a canary that has given up on the new version.
func (view View) stopReason() (string, bool) {
	if view.ChangesPaused || view.Plan.RolloutState != configurations.RolloutRunning || !containsHost(Canaries(view.Plan, view.Members), view.Self) {
		return "", false
	}
	reason := view.LoadFailures.GiveUpReason(view.Plan.Version)
	return "canary host " + view.Self + ": " + reason, reason != ""
}

// decideAtTarget returns the next step of a host whose engine serves its target.
func (view View) decideAtTarget() Decision {
	if view.HasSlot {
		return ReleaseSlot{}
	}
	ranked := hosts.Rank("rollout/"+view.Plan.Deployment.Name, view.Members)
	if view.ChangesPaused || len(ranked) == 0 || ranked[0].Name != view.Self {
		return Wait{}
	}
	return view.decideRolloutEnd()
}

// decideRolloutEnd returns the step that completes or withdraws a rollout. Only
// one member calls it, so that the others make no calls to the configuration. The
// routing is changed before the rollout is marked as done: if the agent is
// replaced between the two changes, the next agent finds the rollout still
// running and repeats them.
func (view View) decideRolloutEnd() Decision {
	plan := view.Plan
	switch plan.RolloutState {
	case configurations.RolloutRunning:
		if !view.Table.allServe(view.Members, plan.Version) {
			return Wait{}
		}
		if plan.Routing.Version != plan.Version {
			return SetRouting{Version: plan.Version}
		}
		return FinishRollout{}
	case configurations.RolloutUndone:
		// A routing that is written after the rollout takes precedence over it, which
		// withdraws the undone version.
		if plan.Previous != "" && view.Table.allServe(view.Members, plan.Previous) {
			return SetRouting{Version: plan.Previous}
		}
	default:
	}
	return Wait{}
}

// decideLoad returns the next step towards loading the target. A slot is needed
// only if the engine serves, because the load then takes it out of service.
func (view View) decideLoad(target string) Decision {
	switch {
	case target == "":
		return Wait{Reason: "no version is intended"}
	case !view.HasToken:
		return Wait{Reason: "no fencing token yet"}
	case !view.HasAllChunks(target):
		return Wait{Reason: "chunks are missing"}
	case view.Now.Before(view.LoadFailures.RetryAt(target)):
		return Wait{Reason: "pause after a failed load"}
	case view.HasSlot || view.admittedVersion() == "":
		return StartLoad{Version: target}
	}
	if !containsHost(view.Members, view.Self) {
		return Wait{Reason: "the platform does not list this host"}
	}
	if index, holds := view.Table.slotHeldBy(view.Self, view.Now); holds {
		return AcquireSlot{Slots: []int{index}}
	}
	free := view.Table.FreeSlots(view.Plan, view.Members, view.Self, view.Now)
	if len(free) == 0 {
		return Wait{Reason: "all slots are taken"}
	}
	return AcquireSlot{Slots: free}
}
