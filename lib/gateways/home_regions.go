package gateways

// This file determines the home regions of a request. They follow the newest
// configuration and not the one that was in force when the request arrived: a request may
// wait or run much longer than the time within which a change must be in force.

import (
	"strings"

	"firford/lib/placements"
	"firford/lib/regions"
	"firford/lib/routes"
)

// homeRegions returns the regions in which the request may be served by the newest
// configuration. If that has no route for the request any more or does not know its key,
// the configuration under which it arrived applies.
func (request *request) homeRegions() regions.Set {
	match, err := request.matchIn(request.gateway.Table())
	if err != nil {
		return request.match.Regions()
	}
	return match.Regions()
}

// matchIn returns the route and the organisation of the request by the table.
func (request *request) matchIn(table routes.Table) (routes.Match, error) {
	path, _, _ := strings.Cut(request.received.RequestURI, "?")
	return table.Match(request.received.Host, path, request.info.APIKey)
}

// forbiddenCause returns the cause in the log of a request that must not be sent.
func forbiddenCause(cause placements.ForbiddenCause) string {
	switch cause {
	case placements.NotInAllowedRegion:
		return "not_in_allowed_region"
	case placements.InEvacuatedDataCentre:
		return "evacuated"
	case placements.EntryStops:
		return "entry_stops"
	default:
		return "unknown"
	}
}
