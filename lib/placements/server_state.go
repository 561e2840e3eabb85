package placements

// This file estimates the load of a server from the last report of its agent and from
// the requests that this entry started and ended since. It also suspends servers that
// fail, which would otherwise look like the least loaded ones.

import (
	"net/netip"
	"time"

	"firford/lib/paces"
	"firford/lib/quarantines"
	"firford/lib/shares"
	"firford/lib/waits"
)

const (
	// reportLifetime is how long a report of an agent is valid. Agents report at least
	// twice in this time, so a single lost datagram does not matter.
	reportLifetime = 1500 * time.Millisecond
	// minSuspension and maxSuspension bound how long a server gets no requests after
	// consecutive failures; each failure doubles the time.
	minSuspension = 400 * time.Millisecond
	maxSuspension = 4 * time.Second
	// rejectionSuspension is how long a server that rejected a request counts as full and
	// gets no requests.
	rejectionSuspension = 60 * time.Millisecond
	// toleratedFailures is the number of consecutive failures that do not suspend a
	// server yet, since some requests fail through no fault of the server.
	toleratedFailures = 1
	// unreportedShare is the fraction of a server's slots that one entry uses when it
	// does not know what the other entries send there.
	unreportedShare = 0.25
	// responseTimeWeight is the weight of the newest response in a server's smoothed
	// response time.
	responseTimeWeight = 0.2
)

type (
	// Server is a backend server as the platform lists it, with a validated address.
	// Versions holds the version of each model that it serves. Revision is that of its
	// entry in the list: of two entries with one address, the one with the higher
	// revision is the newer. StartedUnixMilli is when it was started, zero if unknown; a
	// server may be started again under its id. WarmupLeft is how long it stated to be cold
	// when its entry was written.
	Server struct {
		ID         string
		Service    string
		Address    string
		DataCentre string
		Slots      int
		Draining   bool
		Versions   map[string]int
		Revision   int64

		StartedUnixMilli int64
		WarmupLeft       time.Duration
	}

	// Report is an agent's report of the server beside it. A different incarnation than in
	// the report before means that the server was restarted, which clears its failures. It
	// is the Unix time of the server's start in milliseconds, zero if unknown.
	// Pending is the number of prompt tokens of requests that entries sent and that the
	// server has not begun to answer. Entries are those that the agent reports to, Limits
	// the limits of servers that it knows from them, and Leaving the servers that leave.
	// Number counts the agent's reports. Crashes are what entries have recorded about
	// crashes of servers. Part is this entry's part of the free slots, if the agent deals
	// them by demand, and Pace the newest pace that the server stated.
	Report struct {
		Server      string
		Incarnation int64
		Running     int
		Queued      int
		Pending     int
		Closed      bool
		Versions    map[string]int
		Number      int
		Entries     EntryGroup
		Limits      map[string]LimitStatement
		Crashes     quarantines.Records
		Leaving     map[string]LeavingStatement
		Part        shares.Part
		Pace        paces.Pace
	}

	// ServerState is what an entry knows of one server. It is immutable.
	ServerState struct {
		Server     Server
		inFlight   int
		lastReport Report
		reportedAt time.Time
		// Requests of this entry that started and ended since the report.
		started, ended int
		// Prompt tokens of this entry's requests without an answer, and those sent and
		// answered since the report.
		ownPendingTokens, sentTokens, answeredTokens int
		consecutiveFailures                          int
		suspendedUntil                               time.Time
		// isReplaced is set once another server has answered at the address.
		isReplaced bool
		// keptUntil is until when a server that is missing from the platform's list stays
		// in use, zero for a listed one.
		keptUntil    time.Time
		responseTime time.Duration
		// stated is what the server stated about its load, nil if it never did. Each decision
		// copies the states of all servers, and few services have this.
		stated *loadState
	}

	// Outcome is how a request at a server ended.
	Outcome int
)

// The outcomes of a request at a server.
const (
	// Answered means a complete answer.
	Answered Outcome = iota
	// Rejected means that the server refused the request without running it.
	Rejected
	// Misdirected means that another server has the address now.
	Misdirected
	// Unreachable means that no connection could be established.
	Unreachable
	// Failed means that the answer was missing, late or unusable.
	Failed
	// Abandoned means that the caller left, which says nothing about the server.
	Abandoned
)

// AgentAddress returns the address of the agent beside the server: on the server's
// host, at the port that all processes use.
func (server Server) AgentAddress(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddrPort(server.Address).Addr(), uint16(port))
}

// WithVersions returns the server with the versions that it serves now.
func (server Server) WithVersions(versions map[string]int) Server {
	server.Versions = versions
	return server
}

// WithStart returns the server with the start that is known of it.
func (server Server) WithStart(startedUnixMilli int64) Server {
	server.StartedUnixMilli = max(server.StartedUnixMilli, startedUnixMilli)
	return server
}

// WithServer returns the state after the platform listed the server anew.
func (state ServerState) WithServer(server Server) ServerState {
	if server.Address != state.Server.Address {
		state.isReplaced = false
	}
	state.Server = server
	state.keptUntil = time.Time{}
	return state
}

// WithoutEntry returns the state after the server went missing from the platform's
// list. It stays in use until the time.
func (state ServerState) WithoutEntry(keptUntil time.Time) ServerState {
	state.keptUntil = keptUntil
	return state
}

// unfinished returns the state of the server after it was removed: only the counts of
// its requests remain.
func (state ServerState) unfinished() ServerState {
	return ServerState{inFlight: state.inFlight, ownPendingTokens: state.ownPendingTokens}
}

// isMissing reports whether the server is missing from the platform's list.
func (state ServerState) isMissing() bool { return !state.keptUntil.IsZero() }

// WithReport returns the state after a report of the agent.
func (state ServerState) WithReport(report Report, now time.Time) ServerState {
	state = state.withReportedPace(report)
	if state.isRepeated(report) {
		return state
	}
	if report.Incarnation != state.lastReport.Incarnation {
		state.consecutiveFailures = 0
		state.suspendedUntil = time.Time{}
	}
	state.lastReport = report
	state.reportedAt = now
	state.started = 0
	state.ended = 0
	state.sentTokens = 0
	state.answeredTokens = 0
	return state
}

// WithStart returns the state after a request with this many prompt tokens was sent to
// the server.
func (state ServerState) WithStart(tokens int) ServerState {
	state.inFlight++
	state.started++
	state.stated = state.stated.withStart()
	state.ownPendingTokens += tokens
	state.sentTokens += tokens
	return state
}

// WithAnswer returns the state after the server began to answer a request with this
// many prompt tokens, or never will.
func (state ServerState) WithAnswer(tokens int) ServerState {
	state.ownPendingTokens -= tokens
	state.answeredTokens += tokens
	return state
}

// WithResponseTime returns the state after a first event arrived this long after its
// request was sent.
func (state ServerState) WithResponseTime(after time.Duration) ServerState {
	if state.responseTime == 0 {
		state.responseTime = after
		return state
	}
	state.responseTime += time.Duration(responseTimeWeight * float64(after-state.responseTime))
	return state
}

// WithEnd returns the state after a request ended.
func (state ServerState) WithEnd(outcome Outcome, now time.Time) ServerState {
	state.inFlight--
	state.ended++
	state.stated = state.stated.withEnd()
	switch outcome {
	case Answered:
		state.consecutiveFailures = 0
	case Misdirected:
		state.isReplaced = true
	case Unreachable:
		state.consecutiveFailures += toleratedFailures
		state = state.withFailure(now)
	case Failed:
		state = state.withFailure(now)
	case Rejected, Abandoned:
	}
	return state
}

func (state ServerState) withFailure(now time.Time) ServerState {
	state.consecutiveFailures++
	untolerated := state.consecutiveFailures - toleratedFailures
	if untolerated <= 0 {
		return state
	}
	suspension := min(maxSuspension, minSuspension<<min(untolerated-1, 8))
	state.suspendedUntil = waits.Later(state.suspendedUntil, now.Add(suspension))
	return state
}

func (state ServerState) hasFreshReport(now time.Time) bool {
	return !state.reportedAt.IsZero() && now.Sub(state.reportedAt) < reportLifetime
}

// load estimates how many requests the server runs and queues.
func (state ServerState) load(now time.Time) int {
	if !state.hasFreshReport(now) {
		return state.inFlight
	}
	return max(state.inFlight, state.lastReport.Running+state.lastReport.Queued+state.started-state.ended)
}

// pendingTokens estimates the prompt tokens that the server still has to read.
func (state ServerState) pendingTokens(now time.Time) int {
	if !state.hasFreshReport(now) {
		return state.ownPendingTokens
	}
	return max(state.ownPendingTokens, state.lastReport.Pending+state.sentTokens-state.answeredTokens)
}

// freeCapacity returns how many more requests this entry may send to the server, given
// its slots and the overcommit.
func (state ServerState) freeCapacity(overcommit int, now time.Time) int {
	if state.hasFreshReport(now) {
		return min(state.Server.Slots+overcommit-state.load(now), state.allowance(overcommit)-state.started)
	}
	return max(1, int(unreportedShare*float64(state.Server.Slots))) - state.inFlight
}

// allowance returns how many requests this entry may send to the server before the next
// report: its part of the capacity that the last one shows to all entries. Without it,
// each of some dozen entries whose requests wait fills a server that has become free by
// itself. Each report gives what does not divide evenly to other entries. If the agent
// deals the free slots by demand, the part is the one in the report.
func (state ServerState) allowance(overcommit int) int {
	report := state.lastReport
	free := max(0, state.Server.Slots+overcommit-report.Running-report.Queued)
	if report.Part.IsDealt() {
		return report.Part.Slots(free, state.dealingTurn())
	}
	count := report.Entries.Count
	if count <= 1 {
		return free
	}
	part := free / count
	if (report.Entries.Position+report.Number)%count < free%count {
		part++
	}
	return part
}

// versions returns the versions that the server serves; the agent's report is newer
// than the platform's list.
func (state ServerState) versions(now time.Time) map[string]int {
	if state.hasFreshReport(now) && state.lastReport.Versions != nil {
		return state.lastReport.Versions
	}
	return state.Server.Versions
}

// isLeaving reports whether the platform lists the server as draining.
func (state ServerState) isLeaving() bool { return state.Server.Draining }

func (state ServerState) isUnavailable(now time.Time) bool {
	if now.Before(state.suspendedUntil) || state.isReplaced {
		return true
	}
	if state.isMissing() && !now.Before(state.keptUntil) {
		return true
	}
	return state.hasFreshReport(now) && state.lastReport.Closed
}
