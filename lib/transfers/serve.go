package transfers

// Other hosts download chunks by digest. The server limits each response body to
// the requesting deployment's share of the upload link. It refuses requests beyond
// a short queue, so that the requesting host turns to another holder instead of
// waiting behind many others.

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"firford/lib/weights"
)

const (
	// maxConcurrentUploads bounds the response bodies that are queued or being sent.
	// A short queue moves requests to idle senders: with 16, a transfer to 60 hosts
	// took 1.13 instead of 1.06 times the ideal time.
	maxConcurrentUploads = 5
	maxServerConns       = 512
	maxRequestBytes      = 4 << 10
	serverIdleTimeout    = time.Minute
	unknownDeployment    = "unknown"
	maxDeploymentLength  = 128
)

type (
	// pacedBody is a response body that is limited to the deployment's share of the
	// upload link. The field remaining counts the bytes that are not yet reserved,
	// and credit those that are granted but not yet read.
	pacedBody struct {
		ctx        context.Context
		node       *Node
		deployment string
		content    io.Reader
		remaining  int
		credit     int
	}

	// writeTimeoutListener wraps accepted connections in writeTimeoutConn.
	writeTimeoutListener struct{ net.Listener }

	// writeTimeoutConn fails a write that does not end within stallTimeout, so that
	// a stalled receiver does not occupy an upload.
	writeTimeoutConn struct{ net.Conn }
)

// serve answers chunk requests until the context ends or the listener fails.
func (node *Node) serve(ctx context.Context) error {
	server := &fasthttp.Server{
		Handler:               func(request *fasthttp.RequestCtx) { node.handleRequest(ctx, request) },
		Concurrency:           maxServerConns,
		IdleTimeout:           serverIdleTimeout,
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                zap.NewStdLog(zap.NewNop()),
	}
	var listener net.Listener = writeTimeoutListener{node.dependencies.ChunkListener}
	if config := node.dependencies.Links.TLS; config != nil {
		listener = tls.NewListener(listener, config)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve chunks: %w", err)
	}
	return nil
}

// Accept implements net.Listener.
func (listener writeTimeoutListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return writeTimeoutConn{conn}, nil
}

// Write implements net.Conn.
func (conn writeTimeoutConn) Write(content []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(content)
}

// handleRequest answers GET /chunks/<digest in hex>. It answers 404 for a chunk
// that the host does not hold and 503 when the upload queue is full.
func (node *Node) handleRequest(ctx context.Context, request *fasthttp.RequestCtx) {
	name, found := strings.CutPrefix(string(request.Path()), chunkPath)
	digest, err := weights.ParseDigest(name)
	switch {
	case !found || err != nil:
		request.SetStatusCode(fasthttp.StatusBadRequest)
		return
	case !request.IsGet():
		request.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	content, held := node.dependencies.Store.Get(digest)
	if !held {
		request.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if node.activeUploads.Add(1) > maxConcurrentUploads {
		node.activeUploads.Add(-1)
		node.counters.refusedRequests.add(1)
		request.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if rangeHeader := request.Request.Header.Peek(fasthttp.HeaderRange); len(rangeHeader) > 0 {
		first, last, err := fasthttp.ParseByteRange(rangeHeader, len(content))
		if err != nil {
			node.activeUploads.Add(-1)
			request.SetStatusCode(fasthttp.StatusRequestedRangeNotSatisfiable)
			return
		}
		request.SetStatusCode(fasthttp.StatusPartialContent)
		request.Response.Header.SetContentRange(first, last, len(content))
		content = content[first : last+1]
	}
	request.SetBodyStream(node.newPacedBody(ctx, request, content), len(content))
}

// newPacedBody returns the response body for the deployment that the request's
// header names. Requests without a valid name share one queue of the limiter.
func (node *Node) newPacedBody(ctx context.Context, request *fasthttp.RequestCtx, content []byte) *pacedBody {
	deployment := string(request.Request.Header.Peek(headerDeployment))
	if deployment == "" || len(deployment) > maxDeploymentLength {
		deployment = unknownDeployment
	}
	body := &pacedBody{ctx: ctx, node: node, deployment: deployment, content: bytes.NewReader(content), remaining: len(content)}
	if node.dependencies.OverrideBody != nil {
		body.content = node.dependencies.OverrideBody(string(request.Request.Header.Peek(headerHost)), content)
	}
	return body
}

// Read implements io.Reader.
func (body *pacedBody) Read(buffer []byte) (int, error) {
	if body.credit == 0 && body.remaining > 0 {
		body.credit = min(body.remaining, quantumBytes)
		if err := body.node.upload.acquire(body.ctx, body.deployment, body.credit); err != nil {
			return 0, err
		}
		body.remaining -= body.credit
	}
	if body.credit == 0 {
		return 0, io.EOF
	}
	count, err := body.content.Read(buffer[:min(len(buffer), body.credit)])
	body.credit -= count
	body.node.counters.servedBytes.add(int64(count))
	return count, err
}

// Close implements io.Closer. The server calls it exactly once, even after a
// failure, which keeps activeUploads correct.
func (body *pacedBody) Close() error {
	body.node.activeUploads.Add(-1)
	return nil
}
