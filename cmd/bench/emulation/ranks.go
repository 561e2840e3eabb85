package emulation

// Loads of a site whose callers compete for too little capacity: three kinds of streams of
// different rank, with bursts of one kind.

import (
	"time"
)

const (
	// rankedRate is the usual number of requests a second of all kinds.
	rankedRate = 561.0
	// organisationCount is the number of organisations of the site, of which urgentCount
	// have priority 0 and the others 1.
	organisationCount = 24
	urgentCount       = 4
	// burstStart is when a burst begins. The entries know the demand by then.
	burstStart = 10 * time.Second
)

// rankedKinds returns the three kinds with their share of the usual rate.
func rankedKinds() []requestKind {
	return []requestKind{
		{"first", 0, 240.0 / rankedRate, 787, 92, 400 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second, 3.2, 0.32},
		{"second", 1, 132.0 / rankedRate, 607, 92, 400 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second, 1.3, 0.31},
		{"third", 2, 189.0 / rankedRate, 1290, 92, time.Second, 400 * time.Millisecond, 6 * time.Second, 1, 0.37},
	}
}

// rankedSite returns the site, at which the requests of the rank rise to the multiple of
// their rate at burstStart.
func rankedSite(rank int, multiple float64, duration time.Duration) *site {
	return &site{engines: 52, entries: 14, slots: 12, rate: rankedRate, kinds: func(since time.Duration) []requestKind {
		kinds := rankedKinds()
		if since >= burstStart && since < burstStart+duration {
			kinds[rank].requestShare *= multiple
		}
		return kinds
	}}
}

// rankPatterns returns the loads that exceed the capacity of the site.
func rankPatterns() []loadPattern {
	return []loadPattern{
		{name: "ranked_steady", relativeRate: constantRate(1), site: rankedSite(0, 1, 0)},
		{name: "ranked_burst_third", relativeRate: constantRate(1), site: rankedSite(2, 2.5, 6*time.Second)},
		{name: "ranked_burst_first", relativeRate: constantRate(1), site: rankedSite(0, 1.8, 3*time.Second)},
	}
}

// sum returns the sum of the kinds' shares.
func sumShares(kinds []requestKind) float64 {
	sum := 0.0
	for _, kind := range kinds {
		sum += kind.requestShare
	}
	return sum
}

// drawOrganisation chooses an organisation, and returns its number and priority.
func (simulation *simulation) drawOrganisation() (number, priority int) {
	number = simulation.random.IntN(organisationCount)
	if number < urgentCount {
		return number, 0
	}
	return number, 1
}
