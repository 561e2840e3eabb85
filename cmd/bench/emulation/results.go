package emulation

import (
	"slices"
	"time"
)

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomeInAim outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
	// outcomeLeft is that of a caller which gave up early; it is owed nothing.
	outcomeLeft
)

// result sums up the requests of a run.
type result struct {
	counts       [outcomeLeft + 1]int
	owed, earned float64
	refusedAgain int
	firsts       []time.Duration
	tokens       int
}

// owe counts what a request is worth.
func (result *result) owe(kind kind) { result.owed += kind.worth }

func (result *result) take(request *request, outcome outcome) {
	result.counts[outcome]++
	switch outcome {
	case outcomeInAim:
		result.earned += request.kind.worth
	case outcomeLate:
		result.earned += request.kind.late
	case outcomeLeft:
		result.owed -= request.kind.worth
	case outcomeRefused, outcomeFailed:
	}
	if request.refusals > 1 {
		result.refusedAgain++
	}
	if !request.first.IsZero() {
		result.firsts = append(result.firsts, request.first.Sub(request.asked))
	}
}

// worth returns the part of what was owed that was earned.
func (result result) worth() float64 { return result.earned / max(1, result.owed) }

// part returns the part of the owed requests with the outcome.
func (result result) part(outcome outcome) float64 {
	return float64(result.counts[outcome]) / max(1, float64(result.requests()))
}

func (result result) requests() int {
	sum := 0
	for each, count := range result.counts {
		if outcome(each) != outcomeLeft {
			sum += count
		}
	}
	return sum
}

// quantile returns a quantile of the times to the first event.
func (result result) quantile(part float64) time.Duration {
	if len(result.firsts) == 0 {
		return 0
	}
	sorted := slices.Clone(result.firsts)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// add returns both results as one.
func (result result) add(other result) result {
	for each := range other.counts {
		result.counts[each] += other.counts[each]
	}
	result.owed += other.owed
	result.earned += other.earned
	result.refusedAgain += other.refusedAgain
	result.firsts = append(slices.Clone(result.firsts), other.firsts...)
	result.tokens += other.tokens
	return result
}
