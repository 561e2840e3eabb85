package placements

import (
	"net/netip"
	"time"
)

const (
	// reportLifetime is how long a report of an agent counts. Agents report at
	// least twice in this time, so a single lost datagram does not matter.
	reportLifetime = 1500 * time.Millisecond
	// firstClosure and longClosure bound how long a server gets no requests after
	// failures in a row; each failure doubles the time.
	firstClosure = 400 * time.Millisecond
	longClosure  = 4 * time.Second
	// fullClosure is how long a server that turned a request away counts as full.
	fullClosure = 60 * time.Millisecond
	// toleratedFailures is how many failures in a row do not close a server yet,
	// since some requests fail by themselves.
	toleratedFailures = 1
	// blindShare is the part of a server's slots that one entry uses when it does
	// not know what the others send there.
	blindShare = 0.25
	// slowReply is the weight of the newest reply in a server's smoothed reply time.
	slowReply = 0.2
)

type (
	// Server is a backend server as the platform lists it, with a checked address.
	// Versions holds the version of each model that it serves.
	Server struct {
		ID         string
		Service    string
		Address    string
		DataCentre string
		Slots      int
		Draining   bool
		Versions   map[string]int
	}

	// Report is what the agent beside a server says of it. A report of another
	// start of the server than the one before begins anew. Pending is the number of
	// prompt tokens of requests that entries sent and that have not been answered.
	Report struct {
		Server      string
		Incarnation int64
		Running     int
		Queued      int
		Pending     int
		Closed      bool
		Versions    map[string]int
	}

	// ServerState is what an entry knows of one server. It is immutable.
	ServerState struct {
		Server   Server
		own      int
		report   Report
		reported time.Time
		// Requests of this entry that began and ended since the report.
		began, ended int
		// Prompt tokens of this entry's requests without an answer, and those sent
		// and answered since the report.
		ownPending, sent, answered int
		failures                   int
		closedUntil                time.Time
		replyTime                  time.Duration
	}

	// Outcome is how a request at a server ended.
	Outcome int
)

// The outcomes of a request at a server.
const (
	// Answered means a whole answer.
	Answered Outcome = iota
	// Rejected means that the server refused the request without running it.
	Rejected
	// Unreachable means that no connection came about.
	Unreachable
	// Failed means that the answer was missing, late or unusable.
	Failed
	// Abandoned means that the caller left, which says nothing of the server.
	Abandoned
)

// AgentAddress returns the address of the agent beside the server: on its machine, at the
// port that all processes use.
func (server Server) AgentAddress(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddrPort(server.Address).Addr(), uint16(port))
}

// WithVersions returns the server with the versions that it serves now.
func (server Server) WithVersions(versions map[string]int) Server {
	server.Versions = versions
	return server
}

// WithServer returns the standing after the platform listed the server anew.
func (standing ServerState) WithServer(server Server) ServerState {
	standing.Server = server
	return standing
}

// WithReport returns the standing after a report of the agent.
func (standing ServerState) WithReport(report Report, now time.Time) ServerState {
	if report.Incarnation != standing.report.Incarnation {
		standing.failures = 0
		standing.closedUntil = time.Time{}
	}
	standing.report = report
	standing.reported = now
	standing.began = 0
	standing.ended = 0
	standing.sent = 0
	standing.answered = 0
	return standing
}

// WithStart returns the standing after a request with so many prompt tokens was
// sent to the server.
func (standing ServerState) WithStart(tokens int) ServerState {
	standing.own++
	standing.began++
	standing.ownPending += tokens
	standing.sent += tokens
	return standing
}

// WithAnswer returns the standing after the server began to answer a request
// with so many prompt tokens, or will not any more.
func (standing ServerState) WithAnswer(tokens int) ServerState {
	standing.ownPending -= tokens
	standing.answered += tokens
	return standing
}

// WithReply returns the standing after a first event arrived this long after
// its request was sent.
func (standing ServerState) WithReply(after time.Duration) ServerState {
	if standing.replyTime == 0 {
		standing.replyTime = after
		return standing
	}
	standing.replyTime += time.Duration(slowReply * float64(after-standing.replyTime))
	return standing
}

// WithEnd returns the standing after a request ended.
func (standing ServerState) WithEnd(outcome Outcome, now time.Time) ServerState {
	standing.own--
	standing.ended++
	switch outcome {
	case Answered:
		standing.failures = 0
	case Rejected:
		standing.closedUntil = later(standing.closedUntil, now.Add(fullClosure))
	case Unreachable:
		standing.failures += toleratedFailures
		standing = standing.withFailure(now)
	case Failed:
		standing = standing.withFailure(now)
	case Abandoned:
	}
	return standing
}

func (standing ServerState) withFailure(now time.Time) ServerState {
	standing.failures++
	beyond := standing.failures - toleratedFailures
	if beyond <= 0 {
		return standing
	}
	closure := min(longClosure, firstClosure<<min(beyond-1, 8))
	standing.closedUntil = later(standing.closedUntil, now.Add(closure))
	return standing
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

func (standing ServerState) isReported(now time.Time) bool {
	return !standing.reported.IsZero() && now.Sub(standing.reported) < reportLifetime
}

// load estimates how many requests the server runs and holds.
func (standing ServerState) load(now time.Time) int {
	if !standing.isReported(now) {
		return standing.own
	}
	return max(standing.own, standing.report.Running+standing.report.Queued+standing.began-standing.ended)
}

// pending estimates the prompt tokens that the server still has to read.
func (standing ServerState) pending(now time.Time) int {
	if !standing.isReported(now) {
		return standing.ownPending
	}
	return max(standing.ownPending, standing.report.Pending+standing.sent-standing.answered)
}

// room returns how many more requests of this entry the server can take beside
// its slots and the allowance.
func (standing ServerState) room(allowance int, now time.Time) int {
	if standing.isReported(now) {
		return standing.Server.Slots + allowance - standing.load(now)
	}
	return max(1, int(blindShare*float64(standing.Server.Slots))) - standing.own
}

// versions returns the versions that the server runs; the agent knows better
// than the platform's list.
func (standing ServerState) versions(now time.Time) map[string]int {
	if standing.isReported(now) && standing.report.Versions != nil {
		return standing.report.Versions
	}
	return standing.Server.Versions
}

func (standing ServerState) isClosed(now time.Time) bool {
	if now.Before(standing.closedUntil) || standing.Server.Draining {
		return true
	}
	return standing.isReported(now) && standing.report.Closed
}
