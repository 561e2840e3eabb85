// Package probes serves the administrative HTTP endpoints of a process:
// liveness, readiness and metrics.
package probes

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"
)

type (
	// Readiness reports whether the process can do its work. The reason is the body
	// of the response in either case.
	Readiness func() (ready bool, reason string)

	// Server answers requests to /health, /ready and /metrics.
	Server struct {
		ready   Readiness
		metrics fasthttp.RequestHandler
	}
)

// New returns a server. It calls ready for each request to /ready instead of
// caching the result, so that a response is never stale.
func New(ready Readiness, metrics fasthttp.RequestHandler) *Server {
	return &Server{ready: ready, metrics: metrics}
}

// Serve answers requests on the listener until the context ends.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	http := &fasthttp.Server{Handler: server.handle, Name: "firford", MaxRequestBodySize: 1 << 10}
	go func() {
		<-ctx.Done()
		_ = http.Shutdown()
	}()
	return http.Serve(listener)
}

func (server *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/health":
		ctx.SetBodyString("ok\n")
	case "/ready":
		ready, reason := server.ready()
		if !ready {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		ctx.SetBodyString(reason + "\n")
	case "/metrics":
		server.metrics(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
