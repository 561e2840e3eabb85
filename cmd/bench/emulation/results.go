package emulation

import (
	"maps"
	"slices"
	"time"
)

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomeOnTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
	// outcomeAbandoned is that of a caller that gave up early. Such a request adds
	// nothing to the offered worth.
	outcomeAbandoned
)

// result sums up the requests of one or more simulations.
type result struct {
	counts                    [outcomeAbandoned + 1]int
	offeredWorth, earnedWorth float64
	refusedRepeatedly         int
	firstEventTimes           []time.Duration
	tokensWritten             int
	// kinds holds the results of each kind of requests of a ranked site by its name.
	kinds map[string]kindResult
}

// kindResult sums up the requests of a kind.
type kindResult struct {
	counts                    [outcomeAbandoned + 1]int
	offeredWorth, earnedWorth float64
}

// addOffered adds the worth of a new request.
func (result *result) addOffered(kind requestKind) { result.offeredWorth += kind.worth }

// recordKind records the outcome for the request's kind, and its earned worth.
func (result *result) recordKind(kind requestKind, outcome outcome, earned float64) {
	if result.kinds == nil {
		result.kinds = map[string]kindResult{}
	}
	sum := result.kinds[kind.name]
	sum.counts[outcome]++
	sum.offeredWorth += kind.worth
	sum.earnedWorth += earned
	result.kinds[kind.name] = sum
}

// share returns the share of the kind's requests with the outcome.
func (sum kindResult) share(outcome outcome) float64 {
	count := 0
	for _, each := range sum.counts {
		count += each
	}
	return float64(sum.counts[outcome]) / max(1, float64(count))
}

// record adds a finished request with its outcome.
func (result *result) record(request *request, outcome outcome) {
	result.counts[outcome]++
	before := result.earnedWorth
	defer func() { result.recordKind(request.kind, outcome, result.earnedWorth-before) }()
	switch outcome {
	case outcomeOnTime:
		result.earnedWorth += request.kind.worth
	case outcomeLate:
		result.earnedWorth += request.kind.lateWorth
	case outcomeAbandoned:
		result.offeredWorth -= request.kind.worth
	case outcomeRefused, outcomeFailed:
	}
	if request.refusalCount > 1 {
		result.refusedRepeatedly++
	}
	if !request.firstEventAt.IsZero() {
		result.firstEventTimes = append(result.firstEventTimes, request.firstEventAt.Sub(request.arrived))
	}
}

// worthShare returns the earned share of the offered worth.
func (result result) worthShare() float64 { return result.earnedWorth / max(1, result.offeredWorth) }

// share returns the share of requests with the outcome, without abandoned requests.
func (result result) share(outcome outcome) float64 {
	return float64(result.counts[outcome]) / max(1, float64(result.countRequests()))
}

// countRequests returns the number of requests that were not abandoned.
func (result result) countRequests() int {
	sum := 0
	for number, count := range result.counts {
		if outcome(number) != outcomeAbandoned {
			sum += count
		}
	}
	return sum
}

// firstEventQuantile returns a quantile of the times to the first event.
func (result result) firstEventQuantile(quantile float64) time.Duration {
	if len(result.firstEventTimes) == 0 {
		return 0
	}
	sorted := slices.Clone(result.firstEventTimes)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}

// merge returns the sum of both results.
func (result result) merge(other result) result {
	for number := range other.counts {
		result.counts[number] += other.counts[number]
	}
	kinds := maps.Clone(result.kinds)
	if kinds == nil {
		kinds = map[string]kindResult{}
	}
	for name, added := range other.kinds {
		sum := kinds[name]
		for number := range added.counts {
			sum.counts[number] += added.counts[number]
		}
		sum.offeredWorth += added.offeredWorth
		sum.earnedWorth += added.earnedWorth
		kinds[name] = sum
	}
	result.kinds = kinds
	result.offeredWorth += other.offeredWorth
	result.earnedWorth += other.earnedWorth
	result.refusedRepeatedly += other.refusedRepeatedly
	result.firstEventTimes = append(slices.Clone(result.firstEventTimes), other.firstEventTimes...)
	result.tokensWritten += other.tokensWritten
	return result
}
