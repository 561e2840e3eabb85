package placements

// A server in need states in its answers how many requests a second it takes from all
// entries together. The statement holds until an answer has another one.

import "time"

// LimitStatement is what a server stated about the requests that it takes, and when
// that was heard. PerS is zero if the server states no limit.
type LimitStatement struct {
	PerS    float64
	HeardAt time.Time
}

// isLimit reports whether the server states a limit.
func (statement LimitStatement) isLimit() bool { return statement.PerS > 0 }

// RecordLimit records the limit per second that a server stated in an answer, zero if
// it stated none, and reports whether that has changed. The request of the answer was
// sent at sentAt.
func (fleet *Fleet) RecordLimit(id string, perS float64, sentAt, now time.Time) bool {
	state, known := fleet.servers[id]
	if !known {
		return false
	}
	next, isNewer := state.limit.next(perS, sentAt, now)
	if !isNewer {
		return false
	}
	changed := next.PerS != state.limit.PerS
	state.limit = next
	fleet.servers[id] = state
	return changed
}

// next returns the statement after an answer, and whether the answer says anything new.
// An answer without a limit to a request that was sent before the limit was heard may
// have been written before the server stated it.
func (statement LimitStatement) next(perS float64, sentAt, now time.Time) (LimitStatement, bool) {
	if perS > 0 {
		return LimitStatement{PerS: perS, HeardAt: now}, true
	}
	if !statement.isLimit() || sentAt.Before(statement.HeardAt) {
		return statement, false
	}
	return LimitStatement{HeardAt: sentAt}, true
}
