package rollouts

import (
	"time"

	"firford/lib/configurations"
	"firford/lib/hosts"
)

type (
	// View is everything that a decision depends on.
	View struct {
		Now     time.Time
		Self    string
		Plan    Plan
		Members []hosts.Host
		Table   TableSnapshot
		// Status is what the engine last reported; Reachable is false when it does
		// not answer.
		Status    Status
		Reachable bool
		// HasToken and HasSlot tell what this agent holds.
		HasToken bool
		HasSlot  bool
		// LoadFailures says which loads have failed.
		LoadFailures LoadFailures
		// ChangesPaused is set for a while after a change of the configuration has
		// failed.
		ChangesPaused bool
		// HasAllChunks reports whether all chunks of a version are on this host.
		HasAllChunks func(version string) bool
	}

	// Decision is what an agent does next: Wait, AcquireSlot, StartLoad,
	// ReleaseSlot, StopRollout, FinishRollout or SetRouting.
	Decision interface {
		decision()
	}

	// Wait does nothing until something changes. Reason is empty when the engine
	// serves its target.
	Wait struct {
		Reason string
	}

	// AcquireSlot tries to take one of the slots.
	AcquireSlot struct {
		Slots []int
	}

	// StartLoad orders the engine to load the version.
	StartLoad struct {
		Version string
	}

	// ReleaseSlot gives the slot back.
	ReleaseSlot struct{}

	// StopRollout ends the rollout because a canary host can't load the version.
	StopRollout struct {
		Reason string
	}

	// FinishRollout ends a rollout that has reached every member.
	FinishRollout struct{}

	// SetRouting makes the version the one that the routing names.
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

// Canaries returns the members that load a new version first.
func Canaries(plan Plan, members []hosts.Host) []hosts.Host {
	ranked := hosts.Rank("canary/"+plan.Deployment.Name, members)
	return ranked[:min(plan.Deployment.CanaryHosts, len(ranked))]
}

func contains(list []hosts.Host, name string) bool {
	for _, host := range list {
		if host.Name == name {
			return true
		}
	}
	return false
}

// turn reports whether the rollout has reached self: it is a canary, or every
// canary serves the new version. A host that the platform does not list yet has
// no turn, because it may not know the canaries either.
func (view View) turn() bool {
	if !contains(view.Members, view.Self) {
		return false
	}
	canaries := Canaries(view.Plan, view.Members)
	return contains(canaries, view.Self) || view.Table.allServe(canaries, view.Plan.Version)
}

// admitted returns the version that the engine serves, if it may.
func (view View) admitted() string {
	if view.Reachable && view.Plan.Admits(view.Status) {
		return view.Status.Version
	}
	return ""
}

// Target returns the version that this host is to load or keep.
func (view View) Target() string {
	return view.Plan.Target(view.admitted(), view.turn(), view.LoadFailures.GivenUp(view.Plan.Version, view.Now))
}

// Decide returns the next step of this host's agent.
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
	if target != "" && view.admitted() == target {
		return view.settled()
	}
	return view.towards(target)
}

func (view View) stopReason() (string, bool) {
	if view.ChangesPaused || view.Plan.RolloutState != configurations.RolloutRunning || !contains(Canaries(view.Plan, view.Members), view.Self) {
		return "", false
	}
	reason := view.LoadFailures.GiveUpReason(view.Plan.Version)
	return "canary host " + view.Self + ": " + reason, reason != ""
}

func (view View) settled() Decision {
	if view.HasSlot {
		return ReleaseSlot{}
	}
	ranked := hosts.Rank("rollout/"+view.Plan.Deployment.Name, view.Members)
	if view.ChangesPaused || len(ranked) == 0 || ranked[0].Name != view.Self {
		return Wait{}
	}
	return view.conclude()
}

// conclude is decided by one member alone, so that the others make no calls. The
// routing changes before the rollout is done: an agent that is replaced between
// the two steps finds the rollout still running and repeats them.
func (view View) conclude() Decision {
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
		// Writing the routing after the rollout withdraws the undone version.
		if plan.Previous != "" && view.Table.allServe(view.Members, plan.Previous) {
			return SetRouting{Version: plan.Previous}
		}
	default:
	}
	return Wait{}
}

// towards returns the next step of loading the target. A slot is needed only
// when the engine serves, because loading then takes it out of service.
func (view View) towards(target string) Decision {
	switch {
	case target == "":
		return Wait{Reason: "no version is intended"}
	case !view.HasToken:
		return Wait{Reason: "no fencing token yet"}
	case !view.HasAllChunks(target):
		return Wait{Reason: "chunks are missing"}
	case view.Now.Before(view.LoadFailures.RetryAt(target)):
		return Wait{Reason: "pause after a failed load"}
	case view.HasSlot || view.admitted() == "":
		return StartLoad{Version: target}
	}
	if !contains(view.Members, view.Self) {
		return Wait{Reason: "the platform does not list this host"}
	}
	if index, own := view.Table.own(view.Self, view.Now); own {
		return AcquireSlot{Slots: []int{index}}
	}
	free := view.Table.FreeSlots(view.Plan, view.Members, view.Self, view.Now)
	if len(free) == 0 {
		return Wait{Reason: "all slots are taken"}
	}
	return AcquireSlot{Slots: free}
}
