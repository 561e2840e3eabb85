package placements

// This file keeps requests with home regions away from servers in other regions. The
// rule is applied twice: when a server is chosen, and right before the request is sent,
// by the home regions of the newest configuration at that moment.

import (
	"time"

	"firford/lib/regions"
)

type (
	// MayNotSend forbids the request at the server, for as long as the cause holds.
	MayNotSend struct{ Cause ForbiddenCause }

	// ForbiddenCause is why a request must not be sent to a server.
	ForbiddenCause int
)

// NotInAllowedRegion servers are not in a region in which the request may be served.
const NotInAllowedRegion ForbiddenCause = iota

func (MayNotSend) isPermission() {}

// SetRegions replaces the map from data centres to their regions. A server in a data
// centre that is not in the map is in no known region, and gets no requests with home
// regions.
func (fleet *Fleet) SetRegions(byDataCentre map[string]string) { fleet.regions = byDataCentre }

// isAllowed reports whether a request with these home regions may be sent to the server.
func (fleet *Fleet) isAllowed(server Server, allowed regions.Set) bool {
	return allowed.IsUnrestricted() || allowed.Allows(fleet.regions[server.DataCentre])
}

// placePermission returns whether the data centre of the server allows the request. The
// server is as it was chosen. A newer entry in the platform's list, which may state
// another data centre, must allow the request too.
func (fleet *Fleet) placePermission(server Server, allowed regions.Set) Permission {
	if !fleet.isAllowed(server, allowed) {
		return MayNotSend{Cause: NotInAllowedRegion}
	}
	if listed, isListed := fleet.servers[server.ID]; isListed && !fleet.isAllowed(listed.Server, allowed) {
		return MayNotSend{Cause: NotInAllowedRegion}
	}
	return MaySend{}
}

// isOutOfReach reports whether no server of the service may ever receive the request
// under the present configuration, so that no wait helps it.
func (counts CandidateCounts) isOutOfReach(requirements Requirements) bool {
	return requirements.Regions.IsEmpty() || counts.Forbidden > 0 && counts.Forbidden == counts.Servers()
}

// refusalCause returns why a request with these candidates is refused.
func (counts CandidateCounts) refusalCause(requirements Requirements) RefusalCause {
	if counts.isOutOfReach(requirements) {
		return NoAllowedServer
	}
	return NoRoomInTime
}

// refuseOutOfReach returns the refusal of a request that no server may receive.
func (dispatcher *Dispatcher) refuseOutOfReach(requirements Requirements, now time.Time) (Refused, bool) {
	if requirements.Regions.IsUnrestricted() {
		return Refused{}, false
	}
	counts := dispatcher.fleet.CountCandidates(requirements, overcommit(requirements), now)
	if !counts.isOutOfReach(requirements) {
		return Refused{}, false
	}
	return dispatcher.newRefusal(requirements, 0, 0, now), true
}
