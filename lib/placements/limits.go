package placements

// A server in need states in its answers how many requests a second it takes from all
// entries together. Entries don't see what the others send, so each keeps to a share
// that holds without asking anyone: a few entries, which differ from server to server,
// send at a fixed interval, and the others send nothing.
//
// Equal shares for all entries were dropped: of 350 entries, each might send one request
// at the same time, and each would hear four minutes late that the limit has ended. What
// an entry has heard itself therefore goes to the others through the agents.

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"firford/lib/waits"
	"firford/lib/warmups"
)

const (
	// minLimitLifetime is how long a statement holds that no answer confirms, at least.
	// It holds for limitLifetimeRequests requests at the limit, if that is longer.
	minLimitLifetime      = 10 * time.Second
	limitLifetimeRequests = 4
	// spareSenders is by how many the entries that share a limit exceed its requests a
	// second. Each may be ahead of its share by one request: in four seconds a server gets
	// at most four times its limit and one more from each.
	spareSenders = 3
	// minLimitChange is the fraction by which a limit must differ to count as changed. A
	// server may state another number in each answer.
	minLimitChange = 0.1
)

type (
	// LimitStatement is what a server stated about the requests that it takes, and when
	// that was heard. PerS is zero if the server states no limit.
	LimitStatement struct {
		PerS    float64
		HeardAt time.Time
	}

	// LimitChange is a server whose limit has changed. PerS is zero if it ended.
	LimitChange struct {
		Server string
		PerS   float64
	}

	// EntryGroup is the number of entries that send to a server, and the position of this
	// entry among them. It is zero if unknown.
	EntryGroup struct {
		Count    int
		Position int
	}

	// serverLimit is the last statement of one server. isOwn is set if this entry has heard
	// it from the server. While a limit is in force, the next request starts at nextStartAt
	// at the earliest.
	serverLimit struct {
		LimitStatement
		isOwn       bool
		nextStartAt time.Time
	}

	// limitShare is the share of this entry in the limit of a server: it may send a request
	// in each interval, the first one after offset. It is zero if other entries share the
	// limit.
	limitShare struct {
		interval time.Duration
		offset   time.Duration
	}

	// serverLimits holds the last statement of each server that stated a limit recently.
	serverLimits map[string]serverLimit
)

func (LimitChange) isStatementChange() {}

// IsCurrent reports whether the statement still counts. One that no answer confirms is
// forgotten, in case that the server no longer gets requests.
func (statement LimitStatement) IsCurrent(now time.Time) bool {
	lifetime := minLimitLifetime
	if statement.PerS > 0 {
		lifetime = max(lifetime, seconds(limitLifetimeRequests/statement.PerS))
	}
	return now.Before(statement.HeardAt.Add(lifetime))
}

func (statement LimitStatement) isInForce(now time.Time) bool {
	return statement.PerS > 0 && statement.IsCurrent(now)
}

// seconds returns a duration of so many seconds, or the longest one if there is none.
func seconds(number float64) time.Duration {
	return time.Duration(min(number*float64(time.Second), math.MaxInt64/2))
}

// share returns the share of this entry in the limit of a server. Entries hear of a limit
// at about the same time, so their offsets differ.
func (group EntryGroup) share(server string, perS float64) limitShare {
	if group.Count <= 0 {
		interval := seconds(warmups.AssumedEntries / perS)
		return limitShare{interval: interval, offset: interval}
	}
	senders := min(group.Count, int(min(perS, float64(group.Count)))+spareSenders)
	turn := int((uint64(group.Position) + xxhash.Sum64String(server)) % uint64(group.Count))
	if turn >= senders {
		return limitShare{}
	}
	return limitShare{interval: seconds(float64(senders) / perS), offset: seconds(float64(turn) / perS)}
}

func (share limitShare) isSender() bool { return share.interval > 0 }

// record records the limit that a server stated in the answer to a request of this
// entry, and reports whether it has changed. An answer without a limit counts only if
// its request was sent after the limit was heard: another one may have been written
// before the server stated it.
func (limits serverLimits) record(server string, perS float64, sentAt, now time.Time, group EntryGroup) bool {
	if perS > 0 {
		return limits.set(server, serverLimit{LimitStatement: LimitStatement{PerS: perS, HeardAt: now}, isOwn: true}, now, group)
	}
	known, isKnown := limits[server]
	if !isKnown || !known.isInForce(now) || sentAt.Before(known.HeardAt) {
		return false
	}
	return limits.set(server, serverLimit{LimitStatement: LimitStatement{HeardAt: sentAt}, isOwn: true}, now, group)
}

// merge records what another entry has heard, if it is newer, and reports whether the
// limit has changed.
func (limits serverLimits) merge(server string, heard LimitStatement, now time.Time, group EntryGroup) bool {
	if !heard.HeardAt.After(limits[server].HeardAt) || !heard.IsCurrent(now) {
		return false
	}
	return limits.set(server, serverLimit{LimitStatement: heard}, now, group)
}

// set replaces the statement of a server.
func (limits serverLimits) set(server string, next serverLimit, now time.Time, group EntryGroup) bool {
	known := limits[server]
	share := group.share(server, next.PerS)
	switch {
	case !next.isInForce(now):
	case known.isInForce(now):
		next.nextStartAt = waits.Earlier(known.nextStartAt, now.Add(share.interval))
	default:
		next.nextStartAt = now.Add(share.offset)
	}
	limits[server] = next
	return known.isInForce(now) != next.isInForce(now) || next.isInForce(now) && math.Abs(next.PerS-known.PerS) > minLimitChange*known.PerS
}

// allows reports whether this entry may send a request to the server now.
func (limits serverLimits) allows(server string, now time.Time, group EntryGroup) bool {
	known, isKnown := limits[server]
	if !isKnown || !known.isInForce(now) {
		return true
	}
	return group.share(server, known.PerS).isSender() && !now.Before(known.nextStartAt)
}

// isLimited reports whether the server states a limit.
func (limits serverLimits) isLimited(server string, now time.Time) bool {
	return limits[server].isInForce(now)
}

// recordStart records that this entry sends a request to the server.
func (limits serverLimits) recordStart(server string, now time.Time, group EntryGroup) {
	known, isKnown := limits[server]
	if !isKnown || !known.isInForce(now) {
		return
	}
	known.nextStartAt = now.Add(group.share(server, known.PerS).interval)
	limits[server] = known
}

// own returns the current statements that this entry has heard itself.
func (limits serverLimits) own(now time.Time) map[string]LimitStatement {
	statements := map[string]LimitStatement{}
	for server, known := range limits {
		switch {
		case !known.IsCurrent(now):
			delete(limits, server)
		case known.isOwn:
			statements[server] = known.LimitStatement
		}
	}
	return statements
}

// RecordLimit records the limit per second that a server stated in an answer, zero if
// it stated none, and reports whether that has changed. The request of the answer was
// sent at sentAt.
func (fleet *Fleet) RecordLimit(id string, perS float64, sentAt, now time.Time) bool {
	return fleet.limits.record(id, perS, sentAt, now, fleet.entryGroup(id, now))
}

// OwnLimits returns the current statements that this entry has heard from servers, by
// the id of the server.
func (fleet *Fleet) OwnLimits(now time.Time) map[string]LimitStatement { return fleet.limits.own(now) }

// isWithinLimit reports whether this entry may send a request to the server now.
func (fleet *Fleet) isWithinLimit(id string, now time.Time) bool {
	return len(fleet.limits) == 0 || fleet.limits.allows(id, now, fleet.entryGroup(id, now))
}

// mergeLimits records the limits that other entries have heard, and returns those that
// have changed.
func (fleet *Fleet) mergeLimits(heard map[string]LimitStatement, now time.Time) []StatementChange {
	var changes []StatementChange
	for id, statement := range heard {
		if fleet.limits.merge(id, statement, now, fleet.entryGroup(id, now)) {
			changes = append(changes, LimitChange{Server: id, PerS: statement.PerS})
		}
	}
	return changes
}

// entryGroup returns the entries that send to the server: those that its agent knows, or
// else those that the last agent knew that reported.
func (fleet *Fleet) entryGroup(id string, now time.Time) EntryGroup {
	if state, known := fleet.servers[id]; known && state.hasFreshReport(now) && state.lastReport.Entries.Count > 0 {
		return state.lastReport.Entries
	}
	return fleet.entries
}
