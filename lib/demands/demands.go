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
		kinds []kindDemand
	}

	// kindDemand is the demand of one kind. arrivals decays by shareMemory.
	kindDemand struct {
		kind     Kind
		arrivals count
		// tokens is the smoothed length of the prompts.
		tokens float64
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
	demand, index := demand.withKind(request.Kind, now)
	demand.kinds[index] = demand.kinds[index].withArrival(request.Tokens, now)
	return demand
}

// withKind returns a copy of the demand that knows the kind, without kinds that are not
// requested any more, and the index of the kind.
func (demand Demand) withKind(kind Kind, now time.Time) (Demand, int) {
	kinds := make([]kindDemand, 0, len(demand.kinds)+1)
	for _, each := range demand.kinds {
		if each.kind == kind || !each.isForgotten(now) {
			kinds = append(kinds, each)
		}
	}
	index := slices.IndexFunc(kinds, func(each kindDemand) bool { return each.kind == kind })
	if index < 0 {
		index = len(kinds)
		kinds = append(kinds, kindDemand{kind: kind})
	}
	return Demand{kinds: kinds}, index
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
	return each
}

// isForgotten reports whether so little is left of the kind's arrivals that it can't count.
func (each kindDemand) isForgotten(now time.Time) bool {
	return each.arrivals.at(now, shareMemory) < minShare
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
