// Package probes serves the administrative HTTP endpoints of a process:
// liveness, readiness and metrics.
package probes

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"firford/lib/budgets"
)

const (
	// Clients reach these endpoints too. Those who ask for them are few, and keep their
	// connections.
	maxConnections = 64
	smallBytes     = maxConnections * (budgets.ConnectionBytes + budgets.SmallBytes)
	largeBytes     = 8 << 20
	maxBodyBytes   = 1 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
)

type (
	// Readiness reports whether the process can do its work. The reason is the body
	// of the response in either case.
	Readiness func() (ready bool, reason string)

	// Dependencies are what a Server needs. TLS is nil without TLS.
	Dependencies struct {
		Ready   Readiness
		Metrics fasthttp.RequestHandler
		TLS     *tls.Config
		Logger  *zap.Logger
		Scope   tally.Scope
	}

	// Server answers requests to /health, /ready and /metrics.
	Server struct {
		dependencies Dependencies
		callers      *budgets.Budget
	}
)

// New returns a server. It calls Ready for each request to /ready instead of
// caching the result, so that a response is never stale.
func New(dependencies Dependencies) *Server {
	limits := budgets.Limits{Connections: maxConnections, SmallBytes: smallBytes, LargeBytes: largeBytes, LargeRequestBytes: largeBytes / 2}
	scope := dependencies.Scope.Tagged(map[string]string{"listener": "probes"})
	return &Server{dependencies: dependencies, callers: budgets.New(limits, dependencies.Logger, scope)}
}

// Serve answers requests on the listener until the context ends.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	http := &fasthttp.Server{
		Handler:                      server.handle,
		ConnState:                    setState,
		ErrorHandler:                 refuseUnreadable,
		Name:                         "firford",
		MaxRequestBodySize:           maxBodyBytes,
		DisablePreParseMultipartForm: true,
		ReduceMemoryUsage:            true,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
	}
	go func() {
		<-ctx.Done()
		_ = http.Shutdown()
	}()
	return http.Serve(budgets.NewListener(listener, server.callers, budgets.Options{TLS: server.dependencies.TLS}))
}

// setState gives back what the connection holds when a request has ended.
func setState(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle || state == fasthttp.StateClosed {
		conn.(*budgets.Conn).Account().EndRequest()
	}
}

// refuseUnreadable answers a request that could not be read.
func refuseUnreadable(ctx *fasthttp.RequestCtx, _ error) {
	status := fasthttp.StatusBadRequest
	if ctx.Conn().(*budgets.Conn).IsRefused() {
		status = fasthttp.StatusServiceUnavailable
	}
	ctx.Error(fasthttp.StatusMessage(status), status)
}

func (server *Server) handle(ctx *fasthttp.RequestCtx) {
	account := ctx.Conn().(*budgets.Conn).Account()
	if account.Enter(budgets.Serving) != nil || account.Holds(budgets.Requests) > budgets.SmallBytes {
		// fasthttp keeps the memory of a parsed head for as long as the connection is open.
		ctx.SetConnectionClose()
	}
	server.answer(ctx)
	if account.Take(budgets.Answers, int64(len(ctx.Response.Body()))) != nil {
		ctx.Error(fasthttp.StatusMessage(fasthttp.StatusServiceUnavailable), fasthttp.StatusServiceUnavailable)
	}
}

func (server *Server) answer(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/health":
		ctx.SetBodyString("ok\n")
	case "/ready":
		ready, reason := server.dependencies.Ready()
		if !ready {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		ctx.SetBodyString(reason + "\n")
	case "/metrics":
		server.dependencies.Metrics(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
