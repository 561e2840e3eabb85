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
	// silence is how long almost no request arrives in a pattern, and stormTime how long all that
	// were held back take to arrive after that.
	silence   = 2 * time.Second
	stormTime = time.Second
	// servedPerS is the number of requests a second that the site can serve.
	servedPerS = 420.0
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
		{name: "ranked_entries_lost", relativeRate: constantRate(1), site: rankedSite(2, 2.5, 6*time.Second), entriesLostAt: burstStart + 3*time.Second},
		{name: "ranked_silence", relativeRate: rateAroundSilence, site: rankedSite(0, 1, 0)},
	}
}

// rateAroundSilence returns a rate that is almost zero for a while, after which the missing
// requests arrive in addition to the usual ones.
func rateAroundSilence(elapsed time.Duration) float64 {
	const barely = 0.01 // The next arrival is scheduled at this rate, so it must not be far.
	switch since := elapsed - burstStart; {
	case since < 0 || since >= silence+stormTime:
		return 1
	case since < silence:
		return barely
	default:
		return 1 + silence.Seconds()/stormTime.Seconds()
	}
}

// lostEntries returns the number of entries that no request reaches any more.
func (simulation *simulation) lostEntries() int {
	lostAt := simulation.pattern.entriesLostAt
	if lostAt == 0 || simulation.clock.now.Before(startTime.Add(lostAt)) {
		return 0
	}
	return len(simulation.entries) / 3
}

// sumShares returns the sum of the kinds' shares.
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
