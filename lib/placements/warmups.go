package placements

// A cold server is one that has just started or that states that it is not warm yet. It
// takes only some requests a second from all entries together. This file decides until
// when this entry believes a server to be cold, and whether this entry's share of the
// bound allows a further request. lib/warmups holds the share and the log of starts.
//
// Unlike the limits that servers state themselves (limits.go), the bound holds for any
// second and is large enough to be used by most entries at the same time.

import (
	"slices"
	"strings"
	"time"

	"firford/lib/waits"
	"firford/lib/warmups"
)

// minColdChange is the change of the end of a warm-up below which it does not count as
// changed. A server may write its row again while its warm-up goes on.
const minColdChange = 500 * time.Millisecond

type (
	// ColdCause is why a server is believed to be cold.
	ColdCause int

	// ColdChange is a server that is believed to be cold until the time.
	ColdChange struct {
		Server  string
		Service string
		Cause   ColdCause
		Until   time.Time
	}

	// warmup is what an entry knows of the warm-up of one server. It is immutable; the zero
	// value is a warm server.
	warmup struct {
		starts warmups.Starts
		// rowRevision and rowLeft are those of the row that was read last, and rowUntil is the
		// end of the warm-up by it.
		rowRevision int64
		rowLeft     time.Duration
		rowUntil    time.Time
		// heardAt is when this entry last heard of a cause from which the warm-up takes the
		// time that the rule states. It is zero if there was none.
		heardAt    time.Time
		heardCause ColdCause
	}

	// warmupStage is how far a request of a service with a warm-up is on its way to the
	// server.
	warmupStage int

	// coldness is what a fleet knows of cold servers.
	coldness struct {
		// rules holds the rules of the services that have one that limits.
		rules     map[string]warmups.Rule
		tolerance warmups.Tolerance
		census    warmups.Census
		presence  warmups.Presence
		warmups   map[string]warmup
		// changes are servers that became cold and were not returned yet.
		changes []ColdChange
		// isListed is set once the platform's list was applied.
		isListed bool
		// exclusions counts how often a server was no candidate because it is cold, and
		// keptAway, by service, the requests that were not placed on arrival while there were
		// such servers.
		exclusions uint64
		keptAway   map[string]int64
	}
)

const (
	// ColdByRow servers state in their row in the platform's list that they are cold.
	ColdByRow ColdCause = iota
	// ColdByStart servers were started again under their id.
	ColdByStart
	// ColdByJoining servers joined while this entry runs.
	ColdByJoining
	// ColdByReturn servers got no requests while their data centre was evacuated.
	ColdByReturn
)

const (
	// notCounted requests go to a service without a warm-up.
	notCounted warmupStage = iota
	// countedAsReserved requests have a reservation.
	countedAsReserved
	// countedAsSending requests were allowed to be sent.
	countedAsSending
	// countedAsSent requests were sent.
	countedAsSent
)

func (ColdChange) isStatementChange() {}

// String implements fmt.Stringer.
func (cause ColdCause) String() string {
	switch cause {
	case ColdByRow:
		return "its row"
	case ColdByStart:
		return "a new start"
	case ColdByJoining:
		return "it joined"
	case ColdByReturn:
		return "the end of an evacuation"
	default:
		return "unknown"
	}
}

func newColdness() coldness {
	return coldness{tolerance: warmups.DefaultTolerance, warmups: map[string]warmup{}, keptAway: map[string]int64{}}
}

// withRow returns the warm-up after the row of the server was read. A row that was read
// before says nothing new. One from an older copy of the store does not shorten the
// warm-up.
func (known warmup) withRow(server Server, now time.Time) warmup {
	if server.Revision == known.rowRevision && server.WarmupLeft == known.rowLeft {
		return known
	}
	isOlder := server.Revision < known.rowRevision
	known.rowRevision, known.rowLeft = server.Revision, server.WarmupLeft
	until := now.Add(server.WarmupLeft)
	if isOlder {
		until = waits.Later(until, known.rowUntil)
	}
	known.rowUntil = until
	return known
}

// withCause returns the warm-up after this entry heard of a cause.
func (known warmup) withCause(cause ColdCause, now time.Time) warmup {
	known.heardAt, known.heardCause = now, cause
	return known
}

// withStarts returns the warm-up with the log of starts.
func (known warmup) withStarts(starts warmups.Starts) warmup {
	known.starts = starts
	return known
}

// coldUntil returns until when the server is believed to be cold, and why.
func (known warmup) coldUntil(rule warmups.Rule) (time.Time, ColdCause) {
	if known.heardAt.IsZero() {
		return known.rowUntil, ColdByRow
	}
	if until := known.heardAt.Add(rule.Lasts); until.After(known.rowUntil) {
		return until, known.heardCause
	}
	return known.rowUntil, ColdByRow
}

// SetWarmups replaces the rules for cold servers, which are keyed by service, and returns
// the servers that count as cold now.
func (fleet *Fleet) SetWarmups(rules map[string]warmups.Rule, now time.Time) []ColdChange {
	former := fleet.cold.rules
	fleet.cold.rules = map[string]warmups.Rule{}
	for service, rule := range rules {
		if rule.IsLimited() {
			fleet.cold.rules[service] = rule
		}
	}
	for service, rule := range fleet.cold.rules {
		for _, id := range fleet.byService[service] {
			fleet.noteColdChange(id, fleet.cold.warmups[id], former[service], rule, now)
		}
	}
	return fleet.takeColdChanges()
}

// SetWarmupTolerance sets by how much cold servers may get more requests than their rules
// state.
func (fleet *Fleet) SetWarmupTolerance(tolerance warmups.Tolerance) {
	fleet.cold.tolerance = tolerance
}

// RecordReturn records that the evacuation of the data centre has ended, after which its
// servers are cold. It returns those whose service has a warm-up.
func (fleet *Fleet) RecordReturn(dataCentre string, now time.Time) []ColdChange {
	for id, state := range fleet.servers {
		if state.Server.DataCentre == dataCentre {
			fleet.setWarmup(id, fleet.cold.warmups[id].withCause(ColdByReturn, now), now)
		}
	}
	return fleet.takeColdChanges()
}

// recordRow records what the row of a listed server says about its warm-up.
func (fleet *Fleet) recordRow(server Server, isNew bool, now time.Time) {
	next := fleet.cold.warmups[server.ID].withRow(server, now)
	if isNew && fleet.cold.isListed {
		next = next.withCause(ColdByJoining, now)
	}
	fleet.setWarmup(server.ID, next, now)
}

// recordNewStart records that this entry heard of a new start of a server.
func (fleet *Fleet) recordNewStart(id string, now time.Time) {
	fleet.setWarmup(id, fleet.cold.warmups[id].withCause(ColdByStart, now), now)
}

// setWarmup replaces what is known of a server, and notes if it makes the server cold.
func (fleet *Fleet) setWarmup(id string, next warmup, now time.Time) {
	known := fleet.cold.warmups[id]
	fleet.cold.warmups[id] = next
	if rule, isLimited := fleet.warmupRule(id); isLimited {
		formerUntil, _ := known.coldUntil(rule)
		fleet.noteCold(id, next, formerUntil, rule, now)
	}
}

// noteColdChange notes a server that a new rule makes cold.
func (fleet *Fleet) noteColdChange(id string, known warmup, former, rule warmups.Rule, now time.Time) {
	var formerUntil time.Time
	if former.IsLimited() {
		formerUntil, _ = known.coldUntil(former)
	}
	fleet.noteCold(id, known, formerUntil, rule, now)
}

// noteCold notes that a server counts as cold until notably later than before.
func (fleet *Fleet) noteCold(id string, known warmup, formerUntil time.Time, rule warmups.Rule, now time.Time) {
	until, cause := known.coldUntil(rule)
	if until.Sub(waits.Later(formerUntil, now)) < minColdChange {
		return
	}
	fleet.cold.changes = append(fleet.cold.changes, ColdChange{Server: id, Service: fleet.servers[id].Server.Service, Cause: cause, Until: until})
}

// takeColdChanges returns the servers that became cold since the last call, in order.
func (fleet *Fleet) takeColdChanges() []ColdChange {
	changes := fleet.cold.changes
	fleet.cold.changes = nil
	slices.SortStableFunc(changes, func(left, right ColdChange) int { return strings.Compare(left.Server, right.Server) })
	return changes
}

// warmupRule returns the rule for a listed server, or false if it has no warm-up.
func (fleet *Fleet) warmupRule(id string) (warmups.Rule, bool) {
	if len(fleet.cold.rules) == 0 {
		return warmups.Rule{}, false
	}
	rule, isLimited := fleet.cold.rules[fleet.servers[id].Server.Service]
	return rule, isLimited
}

// recordPresence records that this entry is running.
func (fleet *Fleet) recordPresence(now time.Time) {
	fleet.cold.presence = fleet.cold.presence.With(now)
}

// recordEntries records the group of entries that an agent told.
func (fleet *Fleet) recordEntries(group EntryGroup, now time.Time) {
	fleet.cold.census = fleet.cold.census.With(warmups.Group(group), now)
}

// warmupShare returns how many requests this entry may start at a cold server in any
// window.
func (fleet *Fleet) warmupShare(rule warmups.Rule, now time.Time) int {
	if !fleet.cold.presence.IsSettled(now) {
		return 0
	}
	return rule.Bound(fleet.cold.tolerance).Share(fleet.cold.census.Group())
}

// settlingWait returns how long a request with this many others ahead waits if this entry
// may not use its share yet, and all servers that could take the request are cold. The rate
// of recent starts says nothing about the time after that.
func (fleet *Fleet) settlingWait(requirements Requirements, ahead int, now time.Time) (time.Duration, bool) {
	rule, isLimited := fleet.cold.rules[requirements.Service]
	if !isLimited || fleet.cold.presence.IsSettled(now) {
		return 0, false
	}
	counts := fleet.CountCandidates(requirements, overcommit(requirements), now)
	perWindow := counts.Cold * rule.Bound(fleet.cold.tolerance).Share(fleet.cold.census.Group())
	if counts.hasWarmServer() || perWindow <= 0 {
		return 0, false
	}
	windows := time.Duration(ahead / perWindow)
	return fleet.cold.presence.SettledAt(now).Sub(now) + windows*warmups.Window, true
}

// hasWarmServer reports whether a server that is not known to be cold takes requests now or
// soon.
func (counts CandidateCounts) hasWarmServer() bool {
	return counts.Usable+counts.Full+counts.Limited+counts.Slow+counts.Outranked > 0
}

// coldServer returns the rule for a server that is believed to be cold now, and what is
// known of it.
func (fleet *Fleet) coldServer(id string, now time.Time) (warmups.Rule, warmup, bool) {
	rule, isLimited := fleet.warmupRule(id)
	if !isLimited {
		return warmups.Rule{}, warmup{}, false
	}
	known := fleet.cold.warmups[id]
	until, _ := known.coldUntil(rule)
	return rule, known, now.Before(until)
}

// isWithinWarmup reports whether this entry may reserve a request at the server now: it
// is warm, or the share of this entry allows it.
func (fleet *Fleet) isWithinWarmup(id string, now time.Time) bool {
	rule, known, isCold := fleet.coldServer(id, now)
	return !isCold || known.starts.MayReserve(fleet.warmupShare(rule, now), now)
}

// warmupPermission returns whether a reserved request may be sent to the server now. The
// server may have become cold since the reservation, and the share may have shrunk.
func (fleet *Fleet) warmupPermission(id string, now time.Time) Permission {
	rule, known, isCold := fleet.coldServer(id, now)
	if !isCold || known.starts.MaySend(fleet.warmupShare(rule, now), now) {
		return MaySend{}
	}
	return MaySendFrom{At: known.starts.NextAt(now), Cause: Cold, HeardAt: waits.Later(known.heardAt, known.rowUntil.Add(-known.rowLeft))}
}

// reserveStart counts a request for which the server was reserved, if its service has a
// warm-up. Those to warm servers are counted too, since they may become cold.
func (fleet *Fleet) reserveStart(id string) warmupStage {
	if _, isLimited := fleet.warmupRule(id); !isLimited {
		return notCounted
	}
	known := fleet.cold.warmups[id]
	fleet.cold.warmups[id] = known.withStarts(known.starts.WithReserved())
	return countedAsReserved
}

// beginSending counts a request that was allowed to be sent.
func (fleet *Fleet) beginSending(id string, stage warmupStage) warmupStage {
	if stage == notCounted {
		// The rule may be newer than the reservation.
		stage = fleet.reserveStart(id)
	}
	if stage != countedAsReserved {
		return stage
	}
	known := fleet.cold.warmups[id]
	fleet.cold.warmups[id] = known.withStarts(known.starts.WithSending())
	return countedAsSending
}

// recordSent counts a request that was sent.
func (fleet *Fleet) recordSent(id string, stage warmupStage, now time.Time) warmupStage {
	if stage != countedAsSending {
		return stage
	}
	known := fleet.cold.warmups[id]
	fleet.cold.warmups[id] = known.withStarts(known.starts.WithSent(now))
	return countedAsSent
}

// cancelStart ends the count of a request that is not sent any more.
func (fleet *Fleet) cancelStart(id string, stage warmupStage) warmupStage {
	known := fleet.cold.warmups[id]
	switch stage {
	case countedAsReserved:
		fleet.cold.warmups[id] = known.withStarts(known.starts.WithoutReserved())
	case countedAsSending:
		fleet.cold.warmups[id] = known.withStarts(known.starts.WithoutSending())
	default:
		return stage
	}
	return notCounted
}

// forgetWarmups drops what is known of servers that are not listed once nothing of it
// matters any more. A server that is listed again counts as cold in any case.
func (fleet *Fleet) forgetWarmups(now time.Time) {
	for id, known := range fleet.cold.warmups {
		if _, isListed := fleet.servers[id]; !isListed && known.starts.IsEmpty(now) {
			delete(fleet.cold.warmups, id)
		}
	}
}

// TakeKeptFromCold returns how many requests for the service were not placed on arrival
// since the last call while cold servers took no more of this entry.
func (dispatcher *Dispatcher) TakeKeptFromCold(service string) int64 {
	count := dispatcher.fleet.cold.keptAway[service]
	delete(dispatcher.fleet.cold.keptAway, service)
	return count
}

// RecordSent records that the request was sent to the server for which the reservation
// was made.
func (dispatcher *Dispatcher) RecordSent(reservation *Reservation, now time.Time) {
	reservation.stage = dispatcher.fleet.recordSent(reservation.Server.ID, reservation.stage, now)
}

// IsCounted reports whether the request counts towards the bound of a cold server.
func (reservation *Reservation) IsCounted() bool { return reservation.stage != notCounted }
