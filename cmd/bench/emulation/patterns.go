package emulation

import (
	"time"

	"firford/lib/demands"
)

// The load of the users' sites: kinds of requests with their tokens, targets and
// worths (given/kit, SYSTEM), and the faults of the fleet under each load pattern.

const (
	// meanAnswerTokens is the mean number of tokens of an answer.
	meanAnswerTokens = 92
	// engineCount and entryCount are those of one of the first sites, with its spare
	// engines.
	engineCount = 16
	entryCount  = 5
	// usualRate is the number of requests per second at such a site.
	usualRate = 152.0
	// arrivalDuration is how long requests arrive.
	arrivalDuration = 30 * time.Second
	// disturbanceStart is when a load rises or faults begin, and disturbanceTime is
	// how long this lasts.
	disturbanceStart = 8 * time.Second
	disturbanceTime  = 10 * time.Second
)

type (
	// requestKind is a kind of request. worth is earned by an answer whose first event
	// and gaps between events meet their limits, lateWorth by any other complete answer.
	requestKind struct {
		name             string
		rank             int
		requestShare     float64
		promptTokens     int
		answerTokens     int
		firstEventTarget time.Duration
		maxEventGap      time.Duration
		deadline         time.Duration
		worth            float64
		lateWorth        float64
	}

	// loadPattern is a load and the faults that happen meanwhile. relativeRate returns
	// the requests per second as a share of the usual rate.
	loadPattern struct {
		name         string
		relativeRate func(since time.Duration) float64
		// abuserShare is the share of callers that retry almost at once, three times.
		// impatientShare is the share that leave after impatientTime without an event.
		abuserShare    float64
		impatientShare float64
		// firstEntryShare is the share of requests that are sent to the first entry. All
		// others choose a random entry.
		firstEntryShare float64
		// site replaces the usual site, nil for none.
		site *site
		// entriesLostAt is from when no request reaches a third of the entries, zero for
		// never.
		entriesLostAt time.Duration
		// scheduleFaults schedules crashes, version changes or slow engines.
		scheduleFaults func(simulation *simulation)
	}
)

// site is a fleet with its own kinds of requests. rate is its usual number of requests a
// second, and kinds returns the kinds with their shares of the usual rate, the sum of which
// is the present rate.
type site struct {
	engines, entries, slots int
	rate                    float64
	kinds                   func(since time.Duration) []requestKind
}

// demandKind returns the kind as entries know it.
func (kind requestKind) demandKind() demands.Kind {
	return demands.Kind{Route: kind.name, Rank: kind.rank, Target: kind.firstEventTarget}
}

// impatientTime is how long impatient callers wait for the first event.
const impatientTime = 800 * time.Millisecond

func requestKinds() []requestKind {
	return []requestKind{
		{"intake", 0, 0.41, 1330, 100, 500 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second, 2.4, 0.6},
		{"quote", 0, 0.31, 827, 100, 400 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second, 2, 0.49},
		{"summary", 0, 0.28, 647, 70, 400 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second, 1.5, 0.37},
	}
}

func loadPatterns() []loadPattern {
	return append(rankPatterns(), usualPatterns()...)
}

func usualPatterns() []loadPattern {
	return []loadPattern{
		{name: "usual", relativeRate: constantRate(0.8)},
		{name: "steps", relativeRate: func(elapsed time.Duration) float64 {
			return 0.55 + 0.15*float64(min(5, elapsed/(3*time.Second)))
		}},
		{name: "burst", relativeRate: disturbedRate(0.8, 2)},
		{name: "shift", relativeRate: constantRate(0.9), firstEntryShare: 0.7},
		{name: "retry_abuse", relativeRate: disturbedRate(0.8, 1.4), abuserShare: 0.4},
		{name: "give_up", relativeRate: disturbedRate(0.8, 1.4), impatientShare: 0.4},
		{name: "third_lost", relativeRate: constantRate(0.9), scheduleFaults: func(simulation *simulation) {
			for engineNumber := range len(simulation.engines) / 3 {
				simulation.scheduleCrash(engineNumber, disturbanceStart, disturbanceTime)
			}
		}},
		{name: "new_version", relativeRate: constantRate(0.9), scheduleFaults: func(simulation *simulation) {
			// One engine after the other is unavailable while it drains and loads.
			for engineNumber := range simulation.engines {
				simulation.scheduleVersionChange(engineNumber, disturbanceStart+time.Duration(engineNumber)*300*time.Millisecond, 500*time.Millisecond)
			}
		}},
		{name: "slow_engines", relativeRate: constantRate(0.8), scheduleFaults: func(simulation *simulation) {
			for engineNumber := range 2 {
				simulation.clock.scheduleAfter(disturbanceStart, func() { simulation.engines[engineNumber].slowdown = 4 })
				simulation.clock.scheduleAfter(disturbanceStart+disturbanceTime, func() { simulation.engines[engineNumber].slowdown = 1 })
			}
		}},
	}
}

// constantRate returns a rate that does not change.
func constantRate(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// disturbedRate returns a rate that changes during the disturbance.
func disturbedRate(usual, disturbed float64) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed >= disturbanceStart && elapsed < disturbanceStart+disturbanceTime {
			return disturbed
		}
		return usual
	}
}
