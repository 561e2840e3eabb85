// Package gateways answers callers over HTTP: it finds the route of a request,
// places it at a backend server, passes the answer back as it arrives, and
// repeats or resumes where the route allows it.
//
// The decisions stand in lib/routes and lib/placements; this package holds
// connections, bodies and timers. It speaks plain HTTP. Which headers carry the
// identity, the deadline and the outcome of a request is the business of a
// Dialect, so that another platform needs another dialect and no other gateway.
package gateways

import (
	"net/http"
	"time"
)

type (
	// RequestInfo is what the headers of a caller's request say. Deadline is zero where
	// the caller gave none. LastEventID is the last event of the stream that the
	// caller holds, empty for a request from the start. Model is empty for requests
	// that are not for a model engine.
	RequestInfo struct {
		ID          string
		APIKey      string
		Model       string
		LastEventID string
		Deadline    time.Time
		Timeout     time.Duration
		// PromptTokens is the length of the prompt, zero if unknown.
		PromptTokens int
	}

	// ForwardInfo is what a backend server is told beside the caller's own headers.
	// LastEventID replaces the caller's where it is set.
	ForwardInfo struct {
		ServerID     string
		Organisation string
		LastEventID  string
		Deadline     time.Time
	}

	// ResponseInfo is what the headers of a server's answer say. NotRun means that the
	// server stated that it did not run the request and never will. Signed means
	// that the answer comes from a server that ran it. Misdirected means that
	// another server has the address. IdleUntil is when the server closes the
	// connection if it stays idle, zero if it did not say.
	ResponseInfo struct {
		ID          string
		NotRun      bool
		Signed      bool
		Misdirected bool
		IdleUntil   time.Time
	}

	// Dialect reads and writes the headers of a platform.
	Dialect interface {
		// ParseRequest reads the headers of a caller's request that arrived now.
		ParseRequest(header http.Header, now time.Time) RequestInfo
		// RewriteRequest changes a copy of the caller's headers into those for a server.
		RewriteRequest(header http.Header, sent ForwardInfo, now time.Time)
		// ParseResponse reads the headers of a server's answer that arrived now.
		ParseResponse(status int, header http.Header, now time.Time) ResponseInfo
	}
)

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}
