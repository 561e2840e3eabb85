// Package demands describes which kinds of requests compete for a service: how often each
// kind arrives and starts, how long its prompts are and which targets are in use.
//
// An entry learns this from its own requests alone. All values are immutable and take the
// time as an argument. Counts decay exponentially, so that no history is kept.
package demands

import (
	"cmp"
	"math"
	"slices"
	"time"

	"firford/lib/routes"
)

const (
	// shareMemory is the time over which the share of a kind and the length of its prompts
	// are learned: long enough that a burst of a few seconds changes neither much.
	shareMemory = 30 * time.Second
	// minShare is the least share of a service's demand that a kind needs to count.
	minShare = 0.05
	// minRequests is the number of requests from which shares are known: one request of
	// fewer would be a share above minShare.
	minRequests = 1 / minShare
	// forgottenBelow is the number of remembered requests below which a kind, an
	// organisation or a rank is forgotten.
	forgottenBelow = 0.05
)

type (
	// Kind is a kind of requests: those of one route, while its rank and its target for the
	// first event stay the same. The zero value is of no kind.
	Kind struct {
		Route  string
		Rank   int
		Target time.Duration
	}

	// Request describes one request to the demand.
	Request struct {
		Kind         Kind
		Rank         routes.Rank
		Late         bool
		Organisation string
		Tokens       int
	}

	// Typical is the typical request of a kind in use, with its share of the demand.
	Typical struct {
		Kind   Kind
		Tokens int
		Share  float64
	}

	// Demand is the demand for one service. It is immutable; the zero value has seen no
	// requests.
	Demand struct {
		kinds         []kindDemand
		organisations []organisationDemand
		ranks         []rankDemand
	}

	// kindDemand is the demand of one kind. arrivals decays by shareMemory.
	kindDemand struct {
		kind     Kind
		arrivals count
		// tokens is the smoothed length of the prompts.
		tokens float64
		// largeFrom is the length of a prompt from which a request counts as large.
		largeFrom float64
		// all counts all recent requests, and large the large ones.
		all, large served
	}

	// organisationDemand is the demand of one organisation.
	organisationDemand struct {
		name   string
		served served
	}

	// count is a number of events that decays exponentially.
	count struct {
		value     float64
		updatedAt time.Time
	}
)

// IsZero reports whether the kind is that of requests of no kind.
func (kind Kind) IsZero() bool { return kind == Kind{} }

// WithArrival returns the demand after the request of a caller has arrived.
func (demand Demand) WithArrival(request Request, now time.Time) Demand {
	if request.Kind.IsZero() {
		return demand
	}
	demand, index := demand.with(request, now)
	demand.kinds[index] = demand.kinds[index].withArrival(request.Tokens, now)
	owner := demand.organisation(request.Organisation)
	owner.served = owner.served.withArrival(now)
	return demand
}

// with returns a copy of the demand that knows the kind, the organisation and the rank of
// the request, without those that are not requested any more, and the index of the kind.
func (demand Demand) with(request Request, now time.Time) (Demand, int) {
	var copied Demand
	copied.kinds = make([]kindDemand, 0, len(demand.kinds)+1)
	for _, each := range demand.kinds {
		if each.kind == request.Kind || each.arrivals.at(now, shareMemory) >= forgottenBelow {
			copied.kinds = append(copied.kinds, each)
		}
	}
	copied.organisations = make([]organisationDemand, 0, len(demand.organisations)+1)
	for _, each := range demand.organisations {
		if each.name == request.Organisation || each.served.arrived.at(now, floorMemory) >= forgottenBelow {
			copied.organisations = append(copied.organisations, each)
		}
	}
	copied.ranks = make([]rankDemand, 0, len(demand.ranks)+1)
	for _, each := range demand.ranks {
		if each.rank == request.Rank || each.starts.at(now, rateMemory) >= forgottenBelow {
			copied.ranks = append(copied.ranks, each)
		}
	}
	index := slices.IndexFunc(copied.kinds, func(each kindDemand) bool { return each.kind == request.Kind })
	if index < 0 {
		index = len(copied.kinds)
		copied.kinds = append(copied.kinds, kindDemand{kind: request.Kind})
	}
	return copied, index
}

// organisation returns the organisation of a copied demand, which it adds if necessary.
func (demand *Demand) organisation(name string) *organisationDemand {
	index := slices.IndexFunc(demand.organisations, func(each organisationDemand) bool { return each.name == name })
	if index < 0 {
		index = len(demand.organisations)
		demand.organisations = append(demand.organisations, organisationDemand{name: name})
	}
	return &demand.organisations[index]
}

// rank returns the rank of a copied demand, which it adds if necessary.
func (demand *Demand) rank(rank routes.Rank) *rankDemand {
	index := slices.IndexFunc(demand.ranks, func(each rankDemand) bool { return each.rank == rank })
	if index < 0 {
		index = len(demand.ranks)
		demand.ranks = append(demand.ranks, rankDemand{rank: rank})
	}
	return &demand.ranks[index]
}

// Typical returns the typical requests of the kinds in use, the most urgent first. It
// returns nil unless kinds of different rank are in use.
func (demand Demand) Typical(now time.Time) []Typical {
	total := 0.0
	for _, each := range demand.kinds {
		total += each.arrivals.at(now, shareMemory)
	}
	if total < minRequests {
		return nil
	}
	var list []Typical
	for _, each := range demand.kinds {
		if share := each.arrivals.at(now, shareMemory) / total; share >= minShare {
			list = append(list, Typical{Kind: each.kind, Tokens: int(math.Round(each.tokens)), Share: share})
		}
	}
	if !hasDifferentRanks(list) {
		return nil
	}
	slices.SortFunc(list, func(left, right Typical) int {
		return cmp.Or(cmp.Compare(left.Kind.Rank, right.Kind.Rank), cmp.Compare(left.Kind.Route, right.Kind.Route), cmp.Compare(left.Kind.Target, right.Kind.Target))
	})
	return list
}

func hasDifferentRanks(list []Typical) bool {
	return slices.ContainsFunc(list, func(typical Typical) bool { return typical.Kind.Rank != list[0].Kind.Rank })
}

// IsStricterThan reports whether requests of the kind have room reserved that those of the
// other kind may not take: their target is stricter and they are at least as urgent.
func (kind Kind) IsStricterThan(other Kind) bool {
	return kind.Target > 0 && kind.Target < other.Target && kind.Rank <= other.Rank
}

func (each kindDemand) withArrival(tokens int, now time.Time) kindDemand {
	each.arrivals = each.arrivals.plusOne(now, shareMemory)
	// The mean of all prompts so far at first, and a decaying one later.
	each.tokens += (float64(tokens) - each.tokens) / each.arrivals.value
	each.all = each.all.withArrival(now)
	each = each.withLargeFrom(tokens)
	if each.isLarge(tokens) {
		each.large = each.large.withArrival(now)
	}
	return each
}

// at returns the number of events within about the memory.
func (number count) at(now time.Time, memory time.Duration) float64 {
	if number.value == 0 {
		return 0
	}
	return number.value * math.Exp(-max(0, now.Sub(number.updatedAt)).Seconds()/memory.Seconds())
}

func (number count) plusOne(now time.Time, memory time.Duration) count {
	return count{value: number.at(now, memory) + 1, updatedAt: now}
}
