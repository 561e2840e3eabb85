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
		Board   Board
		// Status is what the engine last reported; Reachable is false when it does
		// not answer.
		Status    Status
		Reachable bool
		// HasToken and HasSlot tell what this agent holds.
		HasToken bool
		HasSlot  bool
		// Attempts says which loads have failed.
		Attempts Attempts
		// ChangesPaused is set for a while after a change of the configuration has
		// failed.
		ChangesPaused bool
		// Whole reports whether all chunks of a version are on this host.
		Whole func(version string) bool
	}

	// Decision is what an agent does next: Stay, Take, Load, Release, StopRollout,
	// FinishRollout or SetRouting.
	Decision interface {
		decision()
	}

	// Stay does nothing until something changes. Reason is empty when the engine
	// serves its target.
	Stay struct {
		Reason string
	}

	// Take tries to take one of the slots.
	Take struct {
		Slots []int
	}

	// Load orders the engine to load the version.
	Load struct {
		Version string
	}

	// Release gives the slot back.
	Release struct{}

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

func (Stay) decision()          {}
func (Take) decision()          {}
func (Load) decision()          {}
func (Release) decision()       {}
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
	return contains(canaries, view.Self) || view.Board.allServe(canaries, view.Plan.Version)
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
	return view.Plan.Target(view.admitted(), view.turn(), view.Attempts.GivenUp(view.Plan.Version, view.Now))
}

// Decide returns the next step of this host's agent.
func Decide(view View) Decision {
	plan := view.Plan
	if !plan.Configured || plan.Service() {
		return Stay{}
	}
	if reason, stop := view.stopReason(); stop {
		return StopRollout{Reason: reason}
	}
	if !view.Reachable || view.Status.Leaving {
		return Stay{Reason: "the engine does not answer or is leaving"}
	}
	target := view.Target()
	if target != "" && view.admitted() == target {
		return view.settled()
	}
	return view.towards(target)
}

func (view View) stopReason() (string, bool) {
	if view.ChangesPaused || view.Plan.State != configurations.RolloutRunning || !contains(Canaries(view.Plan, view.Members), view.Self) {
		return "", false
	}
	reason := view.Attempts.Exhausted(view.Plan.Version)
	return "canary host " + view.Self + ": " + reason, reason != ""
}

func (view View) settled() Decision {
	if view.HasSlot {
		return Release{}
	}
	ranked := hosts.Rank("rollout/"+view.Plan.Deployment.Name, view.Members)
	if view.ChangesPaused || len(ranked) == 0 || ranked[0].Name != view.Self {
		return Stay{}
	}
	return view.conclude()
}

// conclude is decided by one member alone, so that the others make no calls. The
// routing changes before the rollout is done: an agent that is replaced between
// the two steps finds the rollout still running and repeats them.
func (view View) conclude() Decision {
	plan := view.Plan
	switch plan.State {
	case configurations.RolloutRunning:
		if !view.Board.allServe(view.Members, plan.Version) {
			return Stay{}
		}
		if plan.Routing.Version != plan.Version {
			return SetRouting{Version: plan.Version}
		}
		return FinishRollout{}
	case configurations.RolloutUndone:
		// Writing the routing after the rollout withdraws the undone version.
		if plan.Previous != "" && view.Board.allServe(view.Members, plan.Previous) {
			return SetRouting{Version: plan.Previous}
		}
	default:
	}
	return Stay{}
}

// towards returns the next step of loading the target. A slot is needed only
// when the engine serves, because loading then takes it out of service.
func (view View) towards(target string) Decision {
	switch {
	case target == "":
		return Stay{Reason: "no version is intended"}
	case !view.HasToken:
		return Stay{Reason: "no fencing token yet"}
	case !view.Whole(target):
		return Stay{Reason: "chunks are missing"}
	case view.Now.Before(view.Attempts.RetryAt(target)):
		return Stay{Reason: "pause after a failed load"}
	case view.HasSlot || view.admitted() == "":
		return Load{Version: target}
	}
	if !contains(view.Members, view.Self) {
		return Stay{Reason: "the platform does not list this host"}
	}
	if index, own := view.Board.own(view.Self, view.Now); own {
		return Take{Slots: []int{index}}
	}
	free := view.Board.FreeSlots(view.Plan, view.Members, view.Self, view.Now)
	if len(free) == 0 {
		return Stay{Reason: "all slots are taken"}
	}
	return Take{Slots: free}
}
