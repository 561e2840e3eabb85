// Package gateways forwards HTTP requests of callers to backend servers. It finds
// the route of a request, reserves capacity at a server, relays the answer as it
// arrives, and retries or resumes the request where its route allows that.
//
// Routing and placement decisions are made in lib/routes and lib/placements. This
// package handles connections, bodies and timers. Which headers carry the
// identity, the deadline and the outcome of a request is defined by a Dialect, so
// that another platform needs only another Dialect.
package gateways

import (
	"net/http"
	"time"

	"firford/lib/placements"
)

type (
	// RequestInfo holds what the headers of a caller's request state. Deadline and
	// Timeout, the time left until Deadline, are zero if the caller stated none.
	// LastEventID is the id of the last event that the caller has received, empty if
	// it wants the stream from the start. Model is empty for requests that are not
	// for a model engine.
	RequestInfo struct {
		ID          string
		APIKey      string
		Model       string
		LastEventID string
		Deadline    time.Time
		Timeout     time.Duration
		// PromptTokens is the length of the prompt in tokens, zero if unknown.
		PromptTokens int
		// SharedParts are the ids of the parts of the prompt that other requests may share,
		// in order.
		SharedParts []string
	}

	// ForwardInfo holds what the gateway adds to the caller's own headers when it
	// forwards a request. LastEventID replaces the caller's unless it is empty. Rank is the
	// rank of the route, which servers are told if HasRank is set.
	ForwardInfo struct {
		ServerID     string
		Organisation string
		LastEventID  string
		Deadline     time.Time
		HasRank      bool
		Rank         int
	}

	// ResponseInfo holds what the headers of a server's answer state. IDs are the ids of the
	// requests that it names, one at a sound server. NotRun means that the server stated
	// that it did not run the request and never will. Signed means that the answer comes
	// from a server that ran the request. Misdirected means that another server now has the
	// address. IdleUntil is when the server closes the connection if it stays idle, zero if
	// the server did not state it. LimitPerS is how many requests a second the server takes
	// from all entries together, zero if it states no limit. Leaving means that the server
	// shuts down and takes no new requests. NotBefore is until when a server that turned the
	// request away wants no requests from this entry, zero if it did not state that.
	// Unreadable is set if Leaving or NotBefore could not be read, so that they count as not
	// stated. Load is what the server stated about its load.
	ResponseInfo struct {
		IDs         []string
		NotRun      bool
		Signed      bool
		Misdirected bool
		IdleUntil   time.Time
		LimitPerS   float64
		Leaving     bool
		NotBefore   time.Time
		Unreadable  bool
		Load        placements.LoadStatement
	}

	// Dialect parses and writes the headers of a platform. Its methods are called
	// concurrently.
	Dialect interface {
		// ParseRequest parses the headers of a caller's request that arrived at now.
		ParseRequest(header http.Header, now time.Time) RequestInfo
		// RewriteRequest changes header, a copy of the caller's headers, into the
		// headers for a backend server.
		RewriteRequest(header http.Header, forward ForwardInfo, now time.Time)
		// ParseResponse parses the headers of a server's answer that arrived at now.
		ParseResponse(status int, header http.Header, now time.Time) ResponseInfo
	}
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}
