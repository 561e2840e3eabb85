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

const (
	// NotInAllowedRegion servers are not in a region in which the request may be served.
	NotInAllowedRegion ForbiddenCause = iota
	// InEvacuatedDataCentre servers are in an evacuated data centre.
	InEvacuatedDataCentre
	// EntryStops means that this entry ends before the request would be answered.
	EntryStops
)

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
	if fleet.isEvacuated(server) {
		return MayNotSend{Cause: InEvacuatedDataCentre}
	}
	listed, isListed := fleet.servers[server.ID]
	if isListed && listed.Server.DataCentre != server.DataCentre {
		return fleet.placePermission(listed.Server, allowed)
	}
	return MaySend{}
}

// isOutOfReach reports whether no server of the service may receive the request until the
// operator changes something, so that no wait helps it. A service without any server may
// have some soon.
func (fleet *Fleet) isOutOfReach(requirements Requirements) bool {
	if requirements.Regions.IsEmpty() {
		return true
	}
	if requirements.Regions.IsUnrestricted() && fleet.evacuations.isEmpty() {
		return false
	}
	ids := fleet.byService[requirements.Service]
	for _, id := range ids {
		if server := fleet.servers[id].Server; fleet.isAllowed(server, requirements.Regions) && !fleet.isEvacuated(server) {
			return false
		}
	}
	return len(ids) > 0
}

// refusalCause returns why a request with these candidates is refused.
func (counts CandidateCounts) refusalCause(requirements Requirements) RefusalCause {
	switch {
	case requirements.Regions.IsEmpty(), counts.Forbidden > 0 && counts.Forbidden == counts.Servers():
		return NoAllowedServer
	case counts.Evacuated > 0 && counts.Forbidden+counts.Evacuated == counts.Servers():
		return AllEvacuated
	default:
		return NoRoomInTime
	}
}

// refuseOutOfReach returns the refusal of a request that no server may receive.
func (dispatcher *Dispatcher) refuseOutOfReach(requirements Requirements, now time.Time) (Refused, bool) {
	if !dispatcher.fleet.isOutOfReach(requirements) {
		return Refused{}, false
	}
	return dispatcher.newRefusal(requirements, 0, 0, now), true
}
