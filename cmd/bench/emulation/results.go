package emulation

import (
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
}

// addOffered adds the worth of a new request.
func (result *result) addOffered(kind requestKind) { result.offeredWorth += kind.worth }

// record adds a finished request with its outcome.
func (result *result) record(request *request, outcome outcome) {
	result.counts[outcome]++
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
	result.offeredWorth += other.offeredWorth
	result.earnedWorth += other.earnedWorth
	result.refusedRepeatedly += other.refusedRepeatedly
	result.firstEventTimes = append(slices.Clone(result.firstEventTimes), other.firstEventTimes...)
	result.tokensWritten += other.tokensWritten
	return result
}
