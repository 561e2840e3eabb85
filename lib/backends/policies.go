// Package backends decides which backend server gets a request: the subset of
// agents that an entry is connected to, the choice among them, whom it
// suspects, and how often it may try again. All of it is pure: time and chance
// are arguments, so that the bench and the tests replay every decision.
package backends

import "math"

const (
	fullLoad = 100
	// One report changes the average of others' load by this part. Reports are
	// older than a request takes, so that a single one says little of now; what
	// lasts, such as a slow engine, shows in the average.
	smoothing = 0.1
)

type (
	// Candidate is an agent that may get a request. Slots is how many requests its
	// backend server runs at once, Own the number that this entry has in flight
	// there. Reported is the running and queued requests that the agent last
	// stated, and OwnThen the value of Own when that statement arrived. Others is
	// what Smooth has made of the statements.
	Candidate struct {
		Name             string
		Slots            int
		InFlight         int
		ReportedLoad     int
		InFlightAtReport int
		OthersLoad       float64
	}

	// RandomSource is a source of random numbers. *rand.Rand of math/rand/v2 implements it.
	RandomSource interface {
		IntN(n int) int
		Float64() float64
	}

	// Policy is a way to choose. The types of this package are all of its
	// implementations.
	Policy interface {
		// String returns the name of the policy in tables and settings.
		String() string
		policy()
	}

	// RoundRobin takes the candidates in turn.
	RoundRobin struct{}

	// AvailableLoad chooses at random in proportion to the effective available
	// load, (100 - load metric)% of the weight, as 3GPP C4-141319 describes it in
	// clause 4A.2. The metric is the reported load, the weight the slots.
	AvailableLoad struct{}

	// TwoChoices draws two candidates and takes the one where this entry has fewer
	// requests in flight for each slot.
	TwoChoices struct{}

	// TwoChoicesByLoad draws two candidates and takes the one with the lower
	// estimate of its whole load: what others had there at the last report and
	// what this entry has there now.
	TwoChoicesByLoad struct{}

	// TwoChoicesSmoothed draws two candidates and takes the one with fewer
	// requests for each slot: what this entry has there now, and what others had
	// there on average of the last reports.
	TwoChoicesSmoothed struct{}
)

func (RoundRobin) policy()         {}
func (AvailableLoad) policy()      {}
func (TwoChoices) policy()         {}
func (TwoChoicesByLoad) policy()   {}
func (TwoChoicesSmoothed) policy() {}

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

// DefaultPolicy returns the policy that the bench's table supports; see
// docs/notes/requests.md.
func DefaultPolicy() Policy { return TwoChoicesSmoothed{} }

// Policies returns all policies in the order of the bench's tables.
func Policies() []Policy {
	return []Policy{RoundRobin{}, AvailableLoad{}, TwoChoices{}, TwoChoicesByLoad{}, TwoChoicesSmoothed{}}
}

// Choose returns the index of the candidate that gets the request, or -1 when
// there is none. turn grows by one with each request of this entry.
func Choose(policy Policy, candidates []Candidate, turn uint64, chance RandomSource) int {
	if len(candidates) == 0 {
		return -1
	}
	switch policy.(type) {
	case RoundRobin:
		return int(turn % uint64(len(candidates)))
	case AvailableLoad:
		return chooseAvailable(candidates, chance)
	case TwoChoices:
		return lowerOfTwo(candidates, chance, Candidate.ownShare)
	case TwoChoicesByLoad:
		return lowerOfTwo(candidates, chance, Candidate.estimate)
	case TwoChoicesSmoothed:
		return lowerOfTwo(candidates, chance, Candidate.smoothed)
	default:
		return -1
	}
}

func (candidate Candidate) slots() float64 {
	return float64(max(1, candidate.Slots))
}

func (candidate Candidate) ownShare() float64 {
	return float64(candidate.InFlight) / candidate.slots()
}

// estimate is the load for each slot. The reported load contains this entry's
// own requests of that time, which are replaced by those of now.
func (candidate Candidate) estimate() float64 {
	others := max(0, candidate.ReportedLoad-candidate.InFlightAtReport)
	return float64(others+candidate.InFlight) / candidate.slots()
}

func (candidate Candidate) smoothed() float64 {
	return (math.Max(0, candidate.OthersLoad) + float64(candidate.InFlight)) / candidate.slots()
}

// SmoothOthersLoad returns the average of others' load after a report. It may be below
// zero when reports lag behind the own requests.
func SmoothOthersLoad(others float64, reported, own int) float64 {
	return others + smoothing*(float64(reported-own)-others)
}

// available is the effective available load of C4-141319.
func (candidate Candidate) available() float64 {
	metric := math.Min(fullLoad, fullLoad*float64(candidate.ReportedLoad)/candidate.slots())
	return (fullLoad - metric) / fullLoad * candidate.slots()
}

// chooseAvailable draws in proportion to the available load. When no candidate
// reports any, all are equally likely, because an agent still decides itself
// whether it can take the request.
func chooseAvailable(candidates []Candidate, chance RandomSource) int {
	var total float64
	for _, candidate := range candidates {
		total += candidate.available()
	}
	if total == 0 {
		return chance.IntN(len(candidates))
	}
	point := chance.Float64() * total
	for index, candidate := range candidates {
		point -= candidate.available()
		if point < 0 {
			return index
		}
	}
	return len(candidates) - 1
}

// lowerOfTwo draws two different candidates and returns the one with the lower
// value; the first of them on a tie.
func lowerOfTwo(candidates []Candidate, chance RandomSource, value func(Candidate) float64) int {
	first := chance.IntN(len(candidates))
	if len(candidates) == 1 {
		return first
	}
	second := chance.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if value(candidates[second]) < value(candidates[first]) {
		return second
	}
	return first
}
