package stagings

// This file decides which of the announced versions an agent fetches and starts.

import (
	"strconv"
	"time"
)

// nextTarget returns the version to fetch: the newest one, or an older one of which
// more than half is present. The older one is completed first, because the engine
// has to leave its old version before the newest one can be complete.
func (node *Node) nextTarget() (Target, bool) {
	next, _, found := node.wantedTargets()
	return next, found
}

// wantedTargets returns the version to fetch next and the newest one, or false if there
// are none. Both come from one view of the fleet, which may be empty at the next call.
func (node *Node) wantedTargets() (next, newest Target, found bool) {
	targets := node.FleetView().Targets
	if len(targets) == 0 {
		return Target{}, Target{}, false
	}
	newest = targets[len(targets)-1]
	status, _ := node.latestStatus()
	for _, target := range targets[:len(targets)-1] {
		content := node.content(target.Version)
		if content != nil && target.Version > status.Versions[target.Model] && content.isMostlyFetched() {
			return target, newest, true
		}
	}
	return newest, newest, true
}

// startableTarget returns the newest complete version that is newer than the one
// that the engine serves. The content is nil if there is none.
func (node *Node) startableTarget(status Status) (Target, *content) {
	targets := node.FleetView().Targets
	for i := len(targets) - 1; i >= 0; i-- {
		target := targets[i]
		if status.Versions[target.Model] >= target.Version {
			break
		}
		if content := node.content(target.Version); content != nil && content.complete() {
			return target, content
		}
	}
	return Target{}, nil
}

// takesPart reports whether this agent has the version or will fetch it. It does not
// if its engine has stopped, or if it goes on with a newer version, as an agent does
// that has lost the pieces of the older one in a restart.
func (node *Node) takesPart(version string) bool {
	number, err := strconv.Atoi(version)
	if err != nil {
		return false
	}
	if content := node.content(number); content != nil && content.complete() {
		return true
	}
	node.mutex.Lock()
	isEngineLost := time.Since(node.lastStatusAt) > engineLossTime
	node.mutex.Unlock()
	next, found := node.nextTarget()
	return found && !isEngineLost && number >= next.Version
}

// isWanted reports whether the content is that of the newest version or of the
// next target.
func (node *Node) isWanted(content *content) bool {
	next, newest, found := node.wantedTargets()
	version := content.manifest.Version
	return found && (next.Version == version || newest.Version == version)
}

// IsUpToDate reports whether the engine serves the newest version.
func (node *Node) IsUpToDate() bool {
	targets := node.FleetView().Targets
	status, seen := node.latestStatus()
	if !seen || len(targets) == 0 {
		return false
	}
	newest := targets[len(targets)-1]
	return status.Versions[newest.Model] == newest.Version
}
