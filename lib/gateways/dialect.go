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
	// Call is what the headers of a caller's request say. Deadline is zero where
	// the caller gave none. LastEvent is the last event of the stream that the
	// caller holds, empty for a request from the start. Model is empty for requests
	// that are not for a model engine.
	Call struct {
		ID        string
		Key       string
		Model     string
		LastEvent string
		Deadline  time.Time
		Budget    time.Duration
		// PromptTokens is the length of the prompt, zero if unknown.
		PromptTokens int
	}

	// Sent is what a backend server is told beside the caller's own headers.
	// LastEvent replaces the caller's where it is set.
	Sent struct {
		Server       string
		Organisation string
		LastEvent    string
		Deadline     time.Time
	}

	// Reply is what the headers of a server's answer say. NotRun means that the
	// server stated that it did not run the request and never will. Signed means
	// that the answer comes from a server that ran it. Misdirected means that
	// another server has the address. IdleUntil is when the server closes the
	// connection if it stays idle, zero if it did not say.
	Reply struct {
		ID          string
		NotRun      bool
		Signed      bool
		Misdirected bool
		IdleUntil   time.Time
	}

	// Dialect reads and writes the headers of a platform.
	Dialect interface {
		// Call reads the headers of a caller's request that arrived now.
		Call(header http.Header, now time.Time) Call
		// Send changes a copy of the caller's headers into those for a server.
		Send(header http.Header, sent Sent, now time.Time)
		// Reply reads the headers of a server's answer that arrived now.
		Reply(status int, header http.Header, now time.Time) Reply
	}
)

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}
