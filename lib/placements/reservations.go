package placements

// This file reserves engines for requests with strict targets (trunk reservation). Where
// kinds of requests with different route ranks use one service, requests with a lax target
// would fill every engine with as many prompts as that target allows, after which no
// engine could answer a request with a strict target in time. An engine that has prompts
// to read is therefore given a request only if a typical request of each stricter target
// would still be answered in time after it. An engine without prompts takes any request,
// so that none idles.

import (
	"slices"
	"time"

	"firford/lib/demands"
)

// SetTypicalRequests replaces the typical requests of the kinds that use the service,
// none unless their ranks differ.
func (fleet *Fleet) SetTypicalRequests(service string, typical []demands.Typical) {
	fleet.typical[service] = typical
}

// hasRanks reports whether kinds of different rank use the service.
func (fleet *Fleet) hasRanks(service string) bool { return len(fleet.typical[service]) > 0 }

// leavesRoom reports whether a typical request of each kind to which the request yields
// would still be answered in time by the engine, after the request.
func (fleet *Fleet) leavesRoom(profile EngineProfile, state ServerState, requirements Requirements, now time.Time) bool {
	typical := fleet.typical[requirements.Service]
	if len(typical) == 0 || requirements.mayUseReserved() {
		return true
	}
	pending := state.pendingTokens(now)
	if pending <= 0 {
		return true
	}
	if requirements.IdleOnly {
		return false
	}
	const itselfAndNext = 2
	waiting := state.load(now) + itselfAndNext - state.Server.Slots
	margin := fleet.predictionErrors[requirements.Service]
	for _, each := range typical {
		if requirements.yieldsTo(each.Kind) && profile.PredictFirstEvent(pending+requirements.Tokens, each.Tokens, waiting)+margin > each.Kind.Target {
			return false
		}
	}
	return true
}

// yields reports whether engines are reserved against the request for another kind.
func (fleet *Fleet) yields(requirements Requirements) bool {
	return slices.ContainsFunc(fleet.typical[requirements.Service], func(typical demands.Typical) bool {
		return requirements.isKeptBackFor(typical.Kind)
	})
}

// isReservedFor reports whether engines are reserved for the kind against the request.
func (fleet *Fleet) isReservedFor(kind demands.Kind, requirements Requirements) bool {
	return requirements.isKeptBackFor(kind) &&
		slices.ContainsFunc(fleet.typical[requirements.Service], func(typical demands.Typical) bool { return typical.Kind == kind })
}

// demand describes the request to the demand for its service.
func (requirements Requirements) demand() demands.Request {
	return demands.Request{
		Kind: requirements.Kind, Rank: requirements.Rank, Late: requirements.Late, Organisation: requirements.Organisation, Tokens: requirements.Tokens,
	}
}

// mayUseReserved reports whether the request may use what is reserved for others: requests
// that were accepted before have no kind, and those below their floor have to be served.
func (requirements Requirements) mayUseReserved() bool {
	return requirements.Kind.IsZero() || requirements.Resumed || requirements.BelowFloor
}

// isKeptBackFor reports whether the request may not take engines that a request of the kind
// may take: because they are reserved, or because it gets idle engines only.
func (requirements Requirements) isKeptBackFor(kind demands.Kind) bool {
	return !requirements.mayUseReserved() && (requirements.IdleOnly || requirements.yieldsTo(kind))
}

// yieldsTo reports whether engines are reserved against the request for the kind. A request
// that is late already has no target any more, so that every target is stricter.
func (requirements Requirements) yieldsTo(kind demands.Kind) bool {
	if requirements.Late {
		return kind.Target > 0
	}
	return kind.IsStricterThan(requirements.Kind)
}
