package loads

// This file carries what balances uneven demand and uneven servers: the demand of entries
// to the agents, each entry's part of the free slots back to it, and the pace that an
// engine stated to one entry to all others.

import (
	"math"
	"net/netip"
	"time"

	"firford/lib/paces"
	"firford/lib/placements"
	"firford/lib/shares"
)

// minPaceInterval bounds how often a change of the pace is reported at once. Agents
// report as often when the load of their engine changes.
const minPaceInterval = 40 * time.Millisecond

// unevenness is what an agent knows of the demand of entries and of the pace of its
// engine. The mutex of its reporter protects it.
type unevenness struct {
	demands map[netip.AddrPort]shares.Demand
	// parts are the parts that were dealt with the report of the number dealtWith. They stay
	// the same when it is sent again.
	parts     map[netip.AddrPort]shares.Part
	dealtWith int
	pace      paces.Pace
	// paceSentAt is when a change of the pace was last reported at once.
	paceSentAt time.Time
}

func encodeDemand(perS float64) *int {
	rounded := int(math.Ceil(perS))
	return &rounded
}

func encodePart(part shares.Part) *[2]int {
	if !part.IsDealt() {
		return nil
	}
	begin, end := part.Edges()
	return &[2]int{begin, end}
}

func decodePart(edges *[2]int) shares.Part {
	if edges == nil {
		return shares.Part{}
	}
	return shares.NewPart(edges[0], edges[1])
}

// withPace returns the report with the pace, unless that has no weight any more.
func (outgoing report) withPace(pace paces.Pace, now time.Time) report {
	if pace.IsCurrent(now) {
		outgoing.Pace, outgoing.PaceAgeMS = pace.Percent(), pace.Age(now).Milliseconds()
	}
	return outgoing
}

// recordDemand records the demand that an entry tells in its subscription. One that tells
// none any more has forgotten that servers state their pace.
func (reporter *Reporter) recordDemand(from netip.AddrPort, perS *int) {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	if perS == nil {
		delete(reporter.demands, from)
		return
	}
	reporter.demands[from] = reporter.demands[from].With(float64(*perS))
}

// deal deals the free slots that the report with the number shows among the subscribers.
// The caller holds the mutex.
func (reporter *Reporter) deal(subscribers []netip.AddrPort, number int) {
	reporter.parts, reporter.dealtWith = nil, number
	if len(reporter.demands) == 0 {
		return
	}
	demands := make([]shares.Demand, len(subscribers))
	for i, entry := range subscribers {
		demands[i] = reporter.demands[entry]
	}
	parts := shares.Deal(demands, number)
	if parts == nil {
		return
	}
	reporter.parts = make(map[netip.AddrPort]shares.Part, len(parts))
	for i, entry := range subscribers {
		reporter.parts[entry] = parts[i]
	}
}

// partsOf returns the parts that were dealt with the report, nil if none were or a newer
// report has replaced it.
func (reporter *Reporter) partsOf(report placements.Report) map[netip.AddrPort]shares.Part {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	if reporter.dealtWith != report.Number {
		return nil
	}
	return reporter.parts
}

// recordPace records the pace that the engine stated in an answer, and returns the last
// report if the other entries have to be told at once, with those entries.
func (reporter *Reporter) recordPace(percent int, now time.Time) (last placements.Report, to []netip.AddrPort) {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	reporter.pace = reporter.pace.With(paces.New(percent, now))
	isDue := reporter.pace.DiffersNotably(reporter.last.Pace) && now.Sub(reporter.paceSentAt) >= minPaceInterval
	if !isDue || reporter.last.Server == "" {
		return placements.Report{}, nil
	}
	reporter.last.Pace, reporter.paceSentAt = reporter.pace, now
	return reporter.last, reporter.currentSubscribers(now)
}

// handlePace passes on the pace that the engine stated in an answer, if it has changed.
func (reporter *Reporter) handlePace(percent int, now time.Time) {
	if percent == 0 {
		return
	}
	last, to := reporter.recordPace(percent, now)
	if len(to) > 0 {
		reporter.sendTo(to, to, last)
	}
}
