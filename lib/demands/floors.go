package demands

// This file decides which requests are started too rarely, and which too often. Refusing
// by rank alone would leave the least urgent kind, the callers of one organisation or the
// longest prompts without any service in a long overload.

import (
	"slices"
	"time"
)

const (
	// floorMemory is the time over which starts are compared with arrivals.
	floorMemory = 10 * time.Second
	// minCompared is the number of recent requests from which a share of starts counts: of
	// fewer, a quarter of the usual starts may be chance.
	minCompared = 8
	// floorOfMean is the least share of starts of a kind or an organisation, as a part of
	// the mean of the service.
	floorOfMean = 0.25
	// largeShare is the share of a kind's requests that count as large, and floorOfLarge
	// their least share of starts, as a part of that of the whole kind.
	largeShare   = 0.1
	floorOfLarge = 0.5
	// maxInversion is by how much the share of starts of a kind may be below that of a less
	// urgent one.
	maxInversion = 0.05
	// quantileStep is the change of the length from which a request counts as large, as a
	// part of the mean length, for each request.
	quantileStep = 0.05
)

// served counts the recent requests that arrived, and those that were started.
type served struct {
	arrived, started count
}

func (served served) withArrival(now time.Time) served {
	served.arrived = served.arrived.plusOne(now, floorMemory)
	return served
}

func (served served) withStart(now time.Time) served {
	served.started = served.started.plusOne(now, floorMemory)
	return served
}

// share returns the share of the recent requests that were started, and false if there were
// too few to tell.
func (served served) share(now time.Time) (float64, bool) {
	arrived := served.arrived.at(now, floorMemory)
	if arrived < minCompared {
		return 0, false
	}
	return served.started.at(now, floorMemory) / arrived, true
}

func (served served) isBelow(floor float64, now time.Time) bool {
	share, isKnown := served.share(now)
	return isKnown && share < floor
}

// WithStart returns the demand after a request was started.
func (demand Demand) WithStart(request Request, now time.Time) Demand {
	if request.Kind.IsZero() {
		return demand
	}
	demand, index := demand.with(request, now)
	kind := &demand.kinds[index]
	kind.all = kind.all.withStart(now)
	if kind.isLarge(request.Tokens) {
		kind.large = kind.large.withStart(now)
	}
	owner := demand.organisation(request.Organisation)
	owner.served = owner.served.withStart(now)
	if !request.Late {
		rank := demand.rank(request.Rank)
		rank.starts = rank.starts.plusOne(now, rateMemory)
	}
	return demand
}

// IsBelowFloor reports whether requests like this one are started so rarely that this one
// must not be kept back.
func (demand Demand) IsBelowFloor(request Request, now time.Time) bool {
	floor := floorOfMean * demand.meanShare(now)
	index := slices.IndexFunc(demand.kinds, func(each kindDemand) bool { return each.kind == request.Kind })
	if index < 0 {
		return false
	}
	kind := demand.kinds[index]
	if kind.all.isBelow(floor, now) {
		return true
	}
	owner := slices.IndexFunc(demand.organisations, func(each organisationDemand) bool { return each.name == request.Organisation })
	if owner >= 0 && demand.organisations[owner].served.isBelow(floor, now) {
		return true
	}
	ofKind, _ := kind.all.share(now)
	return kind.isLarge(request.Tokens) && kind.large.isBelow(floorOfLarge*ofKind, now)
}

// IsAboveMoreUrgent reports whether requests of the kind are started notably more often
// than those of a more urgent one.
func (demand Demand) IsAboveMoreUrgent(kind Kind, now time.Time) bool {
	index := slices.IndexFunc(demand.kinds, func(each kindDemand) bool { return each.kind == kind })
	if index < 0 {
		return false
	}
	own, isKnown := demand.kinds[index].all.share(now)
	return isKnown && slices.ContainsFunc(demand.kinds, func(each kindDemand) bool {
		return each.kind.Rank < kind.Rank && each.all.isBelow(own-maxInversion, now)
	})
}

// meanShare returns the share of all recent requests that were started.
func (demand Demand) meanShare(now time.Time) float64 {
	arrived, started := 0.0, 0.0
	for _, each := range demand.kinds {
		arrived += each.all.arrived.at(now, floorMemory)
		started += each.all.started.at(now, floorMemory)
	}
	return started / max(1, arrived)
}

// isLarge reports whether the prompt belongs to the largest of the kind.
func (each kindDemand) isLarge(tokens int) bool {
	return each.largeFrom > 0 && float64(tokens) > each.largeFrom
}

// withLargeFrom moves the length from which requests count as large towards the quantile.
func (each kindDemand) withLargeFrom(tokens int) kindDemand {
	if each.largeFrom == 0 {
		each.largeFrom = each.tokens
	}
	step := quantileStep * each.tokens
	if float64(tokens) > each.largeFrom {
		each.largeFrom += step * (1 - largeShare)
	} else {
		each.largeFrom -= step * largeShare
	}
	return each
}
