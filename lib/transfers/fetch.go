package transfers

// Chunks come over HTTP connections that may go silent at any time, also in
// the middle of a chunk. Each read has to make progress within a limit, which a
// deadline for the whole request can't express: it would either end slow but
// healthy requests or leave dead ones open.

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"firford/lib/hosts"
	"firford/lib/transfers/selections"
)

const (
	// progressLimit is the time without a byte after which a connection is closed.
	progressLimit  = 2 * time.Second
	dialTimeout    = time.Second
	requestTimeout = time.Minute
	idleLimit      = 10 * time.Second

	headerDeployment = "Deployment"
	headerHost       = "From-Host"
	chunkPath        = "/chunks/"
)

// pacedConn is a connection from which one deployment downloads. It reads at
// the deployment's share of the link and ends without progress.
type pacedConn struct {
	net.Conn
	ctx        context.Context
	link       *bandwidth
	deployment string
	limit      time.Time
	release    func() bool
}

func (transfer *transfer) newClient(host hosts.Host) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      host.ChunkAddress,
		Dial:                      transfer.dial,
		MaxConns:                  perNeighbour,
		MaxIdleConnDuration:       idleLimit,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       int(transfer.manifest.ChunkSize),
		ReadBufferSize:            pieceBytes,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// dial connects for one transfer. The connection ends with the transfer, so
// that a newer version does not wait for chunks of the old one.
func (transfer *transfer) dial(address string) (net.Conn, error) {
	dialler := net.Dialer{Timeout: dialTimeout}
	conn, err := dialler.DialContext(transfer.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if config := transfer.node.given.Links.TLS; config != nil {
		conn = tls.Client(conn, config)
	}
	paced := &pacedConn{
		Conn:       conn,
		ctx:        transfer.ctx,
		link:       transfer.node.download,
		deployment: transfer.deployment,
	}
	paced.release = context.AfterFunc(transfer.ctx, func() { _ = conn.Close() })
	return paced, nil
}

// SetReadDeadline implements net.Conn. Each read has its own deadline within it.
func (conn *pacedConn) SetReadDeadline(limit time.Time) error {
	conn.limit = limit
	return nil
}

// SetDeadline implements net.Conn.
func (conn *pacedConn) SetDeadline(limit time.Time) error {
	conn.limit = limit
	return conn.SetWriteDeadline(limit)
}

func (conn *pacedConn) Read(buffer []byte) (int, error) {
	deadline := time.Now().Add(progressLimit)
	if !conn.limit.IsZero() && conn.limit.Before(deadline) {
		deadline = conn.limit
	}
	if err := conn.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Read(buffer[:min(len(buffer), pieceBytes)])
	if err != nil {
		return count, err
	}
	return count, conn.link.take(conn.ctx, conn.deployment, count)
}

// Close implements net.Conn.
func (conn *pacedConn) Close() error {
	conn.release()
	return conn.Conn.Close()
}

func (transfer *transfer) fetchPeer(ask selections.Request, client *fasthttp.HostClient) {
	content, reason, failed := transfer.get(ask, client)
	if !failed {
		transfer.node.counters.peer.add(int64(len(content)))
		transfer.settle(ask, content)
		return
	}
	if reason == selections.Broken {
		transfer.node.counters.broken.add(1)
	}
	transfer.handle(selections.RequestFailed{Chunk: ask.Chunk, From: ask.From, Reason: reason}, time.Now())
}

// get asks a neighbour for a chunk.
func (transfer *transfer) get(ask selections.Request, client *fasthttp.HostClient) (content []byte, reason selections.FailureReason, failed bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + client.Addr + chunkPath + transfer.manifest.Chunks[ask.Chunk].String())
	request.Header.Set(headerDeployment, transfer.deployment)
	request.Header.Set(headerHost, transfer.node.given.Self.Name)
	if err := client.DoTimeout(request, response, requestTimeout); err != nil {
		if transfer.ctx.Err() == nil {
			transfer.node.given.Logger.Debug("chunk not received", zap.String("sender", ask.From), zap.Error(err))
		}
		return nil, selections.Broken, true
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		return append([]byte(nil), response.Body()...), 0, false
	case fasthttp.StatusServiceUnavailable:
		return nil, selections.Busy, true
	case fasthttp.StatusNotFound:
		return nil, selections.Missing, true
	default:
		return nil, selections.Broken, true
	}
}
