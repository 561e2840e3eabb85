// Package backends contains the decisions by which an entry routes a request to
// a backend server: the subset of agents it connects to, which agents it suspects
// of having failed, which candidate gets the request, and how many retries it may
// make. Every function is pure. The time and the source of random numbers are
// arguments, so the bench and the tests can replay each decision.
package backends

import "math"

const (
	fullLoadPercent = 100
	// smoothingFactor is the weight of one report in the moving average of the
	// load from other entries. A report is older than a request takes to run, so
	// a single one says little about the present load. Lasting conditions, such as
	// a slow engine, still show in the average.
	smoothingFactor = 0.1
)

type (
	// Candidate is an agent that may get a request. Slots is the number of requests
	// that its backend server runs at once, and InFlight the number that this entry
	// has in flight there. ReportedLoad is the number of running and queued requests
	// in the agent's last load report, and InFlightAtReport the value of InFlight
	// when that report arrived. OthersLoad is the moving average of the load from
	// other entries; SmoothOthersLoad updates it.
	Candidate struct {
		Name             string
		Slots            int
		InFlight         int
		ReportedLoad     int
		InFlightAtReport int
		OthersLoad       float64
	}

	// RandomSource is the part of *rand.Rand in math/rand/v2 that selection needs.
	RandomSource interface {
		IntN(n int) int
		Float64() float64
	}

	// Policy is a candidate selection policy. Only the types of this package
	// implement it.
	Policy interface {
		// String returns the policy's name in tables and settings.
		String() string
		isPolicy()
	}

	// RoundRobin selects the candidates in turn.
	RoundRobin struct{}

	// AvailableLoad selects at random, with a probability in proportion to the
	// effective available load: (100 - load metric)% of the weight, as defined in
	// clause 4A.2 of 3GPP C4-141319. The load metric is the reported load as a
	// percentage of the slots, and the weight is the number of slots.
	AvailableLoad struct{}

	// TwoChoices draws two candidates at random and selects the one where this
	// entry has fewer requests in flight per slot.
	TwoChoices struct{}

	// TwoChoicesByLoad draws two candidates at random and selects the one with the
	// lower estimated load per slot: the requests of other entries in the last load
	// report plus the requests that this entry has in flight now.
	TwoChoicesByLoad struct{}

	// TwoChoicesSmoothed draws two candidates at random and selects the one with
	// fewer requests per slot: the requests that this entry has in flight now plus
	// the moving average of other entries' requests over the last load reports.
	TwoChoicesSmoothed struct{}
)

func (RoundRobin) isPolicy()         {}
func (AvailableLoad) isPolicy()      {}
func (TwoChoices) isPolicy()         {}
func (TwoChoicesByLoad) isPolicy()   {}
func (TwoChoicesSmoothed) isPolicy() {}

// String implements Policy.
func (RoundRobin) String() string { return "round_robin" }

// String implements Policy.
func (AvailableLoad) String() string { return "available_load" }

// String implements Policy.
func (TwoChoices) String() string { return "two_choices" }

// String implements Policy.
func (TwoChoicesByLoad) String() string { return "two_choices_by_load" }

// String implements Policy.
func (TwoChoicesSmoothed) String() string { return "two_choices_smoothed" }

// DefaultPolicy returns the policy that the results of the bench support;
// see docs/notes/requests.md.
func DefaultPolicy() Policy { return TwoChoicesSmoothed{} }

// Policies returns all policies, in the order in which the bench's tables list
// them.
func Policies() []Policy {
	return []Policy{RoundRobin{}, AvailableLoad{}, TwoChoices{}, TwoChoicesByLoad{}, TwoChoicesSmoothed{}}
}

// Choose returns the index of the candidate that gets the request, or -1 when
// there are no candidates. The turn must grow by one with each request of this
// entry; round robin depends on it.
func Choose(policy Policy, candidates []Candidate, turn uint64, random RandomSource) int {
	if len(candidates) == 0 {
		return -1
	}
	switch policy.(type) {
	case RoundRobin:
		return int(turn % uint64(len(candidates)))
	case AvailableLoad:
		return chooseByAvailableLoad(candidates, random)
	case TwoChoices:
		return lowerOfTwo(candidates, random, Candidate.inFlightPerSlot)
	case TwoChoicesByLoad:
		return lowerOfTwo(candidates, random, Candidate.estimatedLoadPerSlot)
	case TwoChoicesSmoothed:
		return lowerOfTwo(candidates, random, Candidate.smoothedLoadPerSlot)
	default:
		return -1
	}
}

func (candidate Candidate) slotCount() float64 {
	return float64(max(1, candidate.Slots))
}

func (candidate Candidate) inFlightPerSlot() float64 {
	return float64(candidate.InFlight) / candidate.slotCount()
}

// estimatedLoadPerSlot replaces this entry's own requests in the reported load,
// which were counted when the report was made, by its requests in flight now.
func (candidate Candidate) estimatedLoadPerSlot() float64 {
	others := max(0, candidate.ReportedLoad-candidate.InFlightAtReport)
	return float64(others+candidate.InFlight) / candidate.slotCount()
}

func (candidate Candidate) smoothedLoadPerSlot() float64 {
	return (math.Max(0, candidate.OthersLoad) + float64(candidate.InFlight)) / candidate.slotCount()
}

// SmoothOthersLoad returns the moving average of the load from other entries
// after a load report. The average may be negative when reports lag behind the
// requests that this entry has in flight.
func SmoothOthersLoad(average float64, reported, inFlight int) float64 {
	return average + smoothingFactor*(float64(reported-inFlight)-average)
}

// availableLoad returns the effective available load of 3GPP C4-141319, in slots.
func (candidate Candidate) availableLoad() float64 {
	metric := math.Min(fullLoadPercent, fullLoadPercent*float64(candidate.ReportedLoad)/candidate.slotCount())
	return (fullLoadPercent - metric) / fullLoadPercent * candidate.slotCount()
}

// chooseByAvailableLoad selects at random in proportion to the available load.
// When no candidate has any, all are equally likely, because each agent decides
// for itself whether it admits the request.
func chooseByAvailableLoad(candidates []Candidate, random RandomSource) int {
	var total float64
	for _, candidate := range candidates {
		total += candidate.availableLoad()
	}
	if total == 0 {
		return random.IntN(len(candidates))
	}
	point := random.Float64() * total
	for index, candidate := range candidates {
		point -= candidate.availableLoad()
		if point < 0 {
			return index
		}
	}
	return len(candidates) - 1
}

// lowerOfTwo draws two different candidates and returns the index of the one with
// the lower value, or of the one drawn first on a tie.
func lowerOfTwo(candidates []Candidate, random RandomSource, value func(Candidate) float64) int {
	first := random.IntN(len(candidates))
	if len(candidates) == 1 {
		return first
	}
	second := random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if value(candidates[second]) < value(candidates[first]) {
		return second
	}
	return first
}
