package placements

// This file decides whether this entry may send requests to a server, from what the
// server has stated about itself and from how it answered. Each fact holds until its
// own deadline or until the server is started again. Facts are kept by the id of the
// server and not with its entry in the platform's list: a list that lags, or that comes
// from an older copy of the store, must not end what the server itself has stated.

import (
	"maps"
	"slices"
	"time"

	"firford/lib/waits"
)

const (
	// availabilityMemory is how long facts about a server that is not listed are kept. It
	// is much longer than a server goes on after its entry was removed, and than the age
	// of any copy from which the store comes back.
	availabilityMemory = 10 * time.Minute
	// leavingSharedTime is how long entries tell each other that a server leaves. All of
	// them have heard it by then, or have not been reached for that long.
	leavingSharedTime = 10 * time.Second
	// minDeferralChange is the change of a deferral's end below which it does not count as
	// changed: a server that rejects many requests states a new end in each answer.
	minDeferralChange = 500 * time.Millisecond
)

type (
	// LeavingStatement is what a server stated about its shutdown, and when that was
	// heard. StartedUnixMilli is when the server that stated it was started, zero if that
	// is unknown.
	LeavingStatement struct {
		HeardAt          time.Time
		StartedUnixMilli int64
	}

	// StatementChange is a change of what is known from a server's statements. The variants
	// are sealed.
	StatementChange interface{ isStatementChange() }

	// LeavingChange means that another entry has heard that a server leaves.
	LeavingChange struct {
		Server    string
		Statement LeavingStatement
	}

	// RestartChange means that a server was started again, which ended what it had stated.
	RestartChange struct {
		Server           string
		StartedUnixMilli int64
	}

	// Permission states whether this entry may send requests to a server. The variants are
	// sealed.
	Permission interface{ isPermission() }

	// MaySend allows requests.
	MaySend struct{}

	// MaySendFrom allows requests from the time on. HeardAt is when the cause was heard.
	MaySendFrom struct {
		At      time.Time
		Cause   WaitCause
		HeardAt time.Time
	}

	// MaySendAfterRestart allows requests once the server was started again. HeardAt is
	// when the server or another entry told that it leaves.
	MaySendAfterRestart struct{ HeardAt time.Time }

	// WaitCause is why a server gets no requests until some time.
	WaitCause int

	// Availability holds the facts about one server that allow or forbid requests. It is
	// immutable; the zero value allows them.
	Availability struct {
		// startedUnixMilli is the newest start of the server that is known, zero if none is.
		startedUnixMilli int64
		leaving          leavingFact
		// deferral is set by a server that asked for no requests from this entry for a time,
		// and rejection by one that rejected a request without stating a time.
		deferral, rejection waitFact
		// forgetAt is when the facts are dropped if the server is not listed.
		forgetAt time.Time
	}

	// leavingFact is a statement of the server. isOwn is set if this entry has heard it
	// from the server.
	leavingFact struct {
		LeavingStatement
		isOwn bool
	}

	// waitFact is a fact from an answer to this entry. It holds from heardAt until the time.
	waitFact struct {
		heardAt, until time.Time
	}
)

const (
	// Deferred servers asked for no requests until the time.
	Deferred WaitCause = iota
	// RejectedRecently servers rejected a request just now, since they were full.
	RejectedRecently
	// Cold servers got as many requests as this entry may send them for now.
	Cold
)

func (LeavingChange) isStatementChange()       {}
func (RestartChange) isStatementChange()       {}
func (MaySend) isPermission()                  {}
func (MaySendFrom) isPermission()              {}
func (MaySendAfterRestart) isPermission()      {}
func (fact leavingFact) isKnown() bool         { return !fact.HeardAt.IsZero() }
func (fact waitFact) holds(now time.Time) bool { return now.Before(fact.until) }

// IsCurrent reports whether the statement is still passed on to other entries.
func (statement LeavingStatement) IsCurrent(now time.Time) bool {
	return now.Before(statement.HeardAt.Add(leavingSharedTime))
}

// Permission returns whether this entry may send a request to the server now, and if
// not, from when or upon which event it may.
func (availability Availability) Permission(now time.Time) Permission {
	switch {
	case availability.leaving.isKnown():
		return MaySendAfterRestart{HeardAt: availability.leaving.HeardAt}
	case availability.deferral.holds(now):
		return MaySendFrom{At: availability.deferral.until, Cause: Deferred, HeardAt: availability.deferral.heardAt}
	case availability.rejection.holds(now):
		return MaySendFrom{At: availability.rejection.until, Cause: RejectedRecently, HeardAt: availability.rejection.heardAt}
	default:
		return MaySend{}
	}
}

// WithStart returns the availability after the list or an agent reported when the server
// was started, zero if that is unknown. A newer start than the known one ends all facts.
// An older one comes from a list that lags or from an older copy, and changes nothing.
func (availability Availability) WithStart(startedUnixMilli int64) Availability {
	if startedUnixMilli <= availability.startedUnixMilli {
		return availability
	}
	if availability.startedUnixMilli != 0 {
		availability = Availability{forgetAt: availability.forgetAt}
	}
	availability.startedUnixMilli = startedUnixMilli
	return availability
}

// WithLeaving returns the availability after the server stated that it leaves, in an
// answer to this entry or to another one. A statement of an earlier start of the server
// does not count, nor one of another entry that does not know the start.
func (availability Availability) WithLeaving(statement LeavingStatement, isOwn bool) Availability {
	if isOwn && statement.StartedUnixMilli == 0 {
		statement.StartedUnixMilli = availability.startedUnixMilli
	}
	availability = availability.WithStart(statement.StartedUnixMilli)
	if statement.StartedUnixMilli < availability.startedUnixMilli {
		return availability
	}
	if availability.leaving.isKnown() && (availability.leaving.isOwn || !isOwn) {
		return availability
	}
	availability.leaving = leavingFact{LeavingStatement: statement, isOwn: isOwn}
	return availability
}

// WithDeferral returns the availability after the server asked this entry for no
// requests until the time. Each such statement holds until its own end, so a later one
// with an earlier end shortens nothing.
func (availability Availability) WithDeferral(until, now time.Time) Availability {
	if until.After(availability.deferral.until) {
		availability.deferral = waitFact{heardAt: now, until: until}
	}
	return availability
}

// WithRejection returns the availability after the server rejected a request.
func (availability Availability) WithRejection(now time.Time) Availability {
	availability.rejection = waitFact{heardAt: now, until: now.Add(rejectionSuspension)}
	return availability
}

// WithForgetAt returns the availability with the time at which it is dropped if the
// server is not listed.
func (availability Availability) WithForgetAt(at time.Time) Availability {
	availability.forgetAt = at
	return availability
}

// setAvailability replaces the facts about a server, and reports whether they end
// statements of an earlier start.
func (fleet *Fleet) setAvailability(id string, next Availability, now time.Time) (isRestart bool) {
	known := fleet.availability[id]
	if next == (Availability{}) {
		return false
	}
	if next.startedUnixMilli > known.startedUnixMilli && known.startedUnixMilli != 0 {
		fleet.recordNewStart(id, now)
	}
	if _, isListed := fleet.servers[id]; !isListed && next.forgetAt.IsZero() {
		next = next.WithForgetAt(now.Add(availabilityMemory))
	}
	fleet.availability[id] = next
	return next.startedUnixMilli > known.startedUnixMilli && known.startedUnixMilli != 0 && (known.leaving.isKnown() || known.deferral.holds(now))
}

// forgetAvailability drops facts about servers that have not been listed for long.
func (fleet *Fleet) forgetAvailability(now time.Time) {
	for id, known := range fleet.availability {
		if _, isListed := fleet.servers[id]; !isListed && !now.Before(known.forgetAt) {
			delete(fleet.availability, id)
		}
	}
}

// RecordLeaving records that the server stated in an answer to this entry that it
// leaves. It returns the statement, and whether this entry did not know that. The server
// is the one that was chosen for the request.
func (fleet *Fleet) RecordLeaving(server Server, now time.Time) (LeavingStatement, bool) {
	known := fleet.availability[server.ID]
	next := known.WithLeaving(LeavingStatement{HeardAt: now, StartedUnixMilli: server.StartedUnixMilli}, true)
	fleet.setAvailability(server.ID, next, now)
	return next.leaving.LeavingStatement, next.leaving.isKnown() && !known.leaving.isKnown()
}

// RecordDeferral records that the server asked this entry for no requests until the
// time, and reports whether that differs notably from before.
func (fleet *Fleet) RecordDeferral(id string, until, now time.Time) bool {
	known := fleet.availability[id]
	next := known.WithDeferral(until, now)
	fleet.setAvailability(id, next, now)
	return next.deferral.holds(now) && next.deferral.until.Sub(waits.Later(known.deferral.until, now)) >= minDeferralChange
}

// OwnLeaving returns the servers that recently stated to this entry that they leave.
func (fleet *Fleet) OwnLeaving(now time.Time) map[string]LeavingStatement {
	statements := map[string]LeavingStatement{}
	for id, known := range fleet.availability {
		if known.leaving.isOwn && known.leaving.IsCurrent(now) {
			statements[id] = known.leaving.LeavingStatement
		}
	}
	return statements
}

// mergeLeaving records the leaving servers that other entries have heard of.
func (fleet *Fleet) mergeLeaving(heard map[string]LeavingStatement, now time.Time) []StatementChange {
	var changes []StatementChange
	for _, id := range slices.Sorted(maps.Keys(heard)) {
		known := fleet.availability[id]
		next := known.WithLeaving(heard[id], false)
		fleet.setAvailability(id, next, now)
		if next.leaving.isKnown() && !known.leaving.isKnown() {
			changes = append(changes, LeavingChange{Server: id, Statement: next.leaving.LeavingStatement})
		}
	}
	return changes
}

// PermissionToSend returns whether a request for which the server was chosen may still be
// sent there. What the server itself has stated prevents that, but not a rejection of
// another request, which says nothing about a slot that is reserved. The bound of a cold
// server prevents it too.
func (fleet *Fleet) PermissionToSend(id string, now time.Time) Permission {
	permission := fleet.availability[id].Permission(now)
	if wait, mustWait := permission.(MaySendFrom); mustWait && wait.Cause != Deferred {
		permission = MaySend{}
	}
	if _, maySend := permission.(MaySend); maySend {
		return fleet.warmupPermission(id, now)
	}
	return permission
}

// deferredUntil returns the earliest time at which a server takes the request, if all that
// may receive it and have not left have asked for none until some time.
func (fleet *Fleet) deferredUntil(requirements Requirements, now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, id := range fleet.byService[requirements.Service] {
		state := fleet.servers[id]
		if state.isLeaving() || fleet.isEvacuated(state.Server) || !fleet.isAllowed(state.Server, requirements.Regions) {
			continue
		}
		switch permission := fleet.availability[id].Permission(now).(type) {
		case MaySendAfterRestart:
			continue
		case MaySendFrom:
			if permission.Cause != Deferred {
				return time.Time{}, false
			}
			if earliest.IsZero() || permission.At.Before(earliest) {
				earliest = permission.At
			}
		default:
			return time.Time{}, false
		}
	}
	return earliest, !earliest.IsZero()
}
