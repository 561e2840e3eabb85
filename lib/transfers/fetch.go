package transfers

// Chunks are downloaded over HTTP connections that may stall at any time, even in
// the middle of a chunk. Each read therefore has its own timeout. A deadline for
// the whole request would either end slow but healthy requests or leave dead ones
// open.

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"firford/lib/dialers"
	"firford/lib/hosts"
	"firford/lib/transfers/selections"
)

const (
	// stallTimeout is the time without progress after which a connection is closed.
	stallTimeout   = 2 * time.Second
	dialTimeout    = time.Second
	requestTimeout = time.Minute
	idleTimeout    = 10 * time.Second

	headerDeployment = "Deployment"
	headerHost       = "From-Host"
	chunkPath        = "/chunks/"
)

// pacedConn is a connection over which one deployment downloads. It limits reads
// to the deployment's share of the link, and a read fails after stallTimeout
// without a byte.
type pacedConn struct {
	net.Conn
	ctx           context.Context
	limiter       *fairLimiter
	deployment    string
	readDeadline  time.Time
	stopAfterFunc func() bool
}

// newClient returns the HTTP client for a neighbour. It never retries, because the
// chunk selection decides where a failed request goes next.
func (transfer *transfer) newClient(host hosts.Host) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      host.ChunkAddress,
		Dial:                      transfer.dial,
		MaxConns:                  neighbourWindow,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       int(transfer.manifest.ChunkSize),
		ReadBufferSize:            quantumBytes,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// dial opens a connection for this transfer. The connection is closed when the
// transfer ends, so that a newer version does not wait for chunks of the old one.
func (transfer *transfer) dial(address string) (net.Conn, error) {
	dialler := net.Dialer{Timeout: dialTimeout}
	conn, err := dialler.DialContext(transfer.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if config := transfer.node.dependencies.Links.TLS; config != nil {
		conn = tls.Client(conn, config)
	}
	paced := &pacedConn{
		Conn:       conn,
		ctx:        transfer.ctx,
		limiter:    transfer.node.download,
		deployment: transfer.deployment,
	}
	paced.stopAfterFunc = context.AfterFunc(transfer.ctx, func() { _ = conn.Close() })
	return dialers.WithValidStatuses(paced), nil
}

// SetReadDeadline implements net.Conn. A read may fail earlier, after stallTimeout.
func (conn *pacedConn) SetReadDeadline(deadline time.Time) error {
	conn.readDeadline = deadline
	return nil
}

// SetDeadline implements net.Conn.
func (conn *pacedConn) SetDeadline(deadline time.Time) error {
	conn.readDeadline = deadline
	return conn.SetWriteDeadline(deadline)
}

// Read implements net.Conn. It returns after the received bytes are granted by
// the limiter.
func (conn *pacedConn) Read(buffer []byte) (int, error) {
	deadline := time.Now().Add(stallTimeout)
	if !conn.readDeadline.IsZero() && conn.readDeadline.Before(deadline) {
		deadline = conn.readDeadline
	}
	if err := conn.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Read(buffer[:min(len(buffer), quantumBytes)])
	if err != nil {
		return count, err
	}
	return count, conn.limiter.acquire(conn.ctx, conn.deployment, count)
}

// Close implements net.Conn.
func (conn *pacedConn) Close() error {
	conn.stopAfterFunc()
	return conn.Conn.Close()
}

// fetchFromNeighbour downloads a chunk from a neighbour and stores it or reports
// the failure to the chunk selection.
func (transfer *transfer) fetchFromNeighbour(request selections.Request, client *fasthttp.HostClient) {
	content, reason, failed := transfer.requestChunk(request, client)
	if !failed {
		transfer.node.counters.peerBytes.add(int64(len(content)))
		transfer.storeChunk(request, content)
		return
	}
	if reason == selections.Broken {
		transfer.node.counters.brokenRequests.add(1)
	}
	transfer.handle(selections.RequestFailed{Chunk: request.Chunk, From: request.From, Reason: reason}, time.Now())
}

// requestChunk downloads the content of a chunk from a neighbour. The reason is
// valid only when failed is true.
func (transfer *transfer) requestChunk(request selections.Request, client *fasthttp.HostClient) (content []byte, reason selections.FailureReason, failed bool) {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	httpRequest.SetRequestURI("http://" + client.Addr + chunkPath + transfer.manifest.Chunks[request.Chunk].String())
	httpRequest.Header.Set(headerDeployment, transfer.deployment)
	httpRequest.Header.Set(headerHost, transfer.node.dependencies.Self.Name)
	if err := client.DoTimeout(httpRequest, httpResponse, requestTimeout); err != nil {
		if transfer.ctx.Err() == nil {
			transfer.node.dependencies.Logger.Debug("downloading a chunk from a neighbour failed", zap.String("sender", request.From), zap.Error(err))
		}
		return nil, selections.Broken, true
	}
	switch httpResponse.StatusCode() {
	case fasthttp.StatusOK:
		return append([]byte(nil), httpResponse.Body()...), 0, false
	case fasthttp.StatusServiceUnavailable:
		return nil, selections.Busy, true
	case fasthttp.StatusNotFound:
		return nil, selections.Missing, true
	default:
		return nil, selections.Broken, true
	}
}
