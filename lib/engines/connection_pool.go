package engines

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"firford/lib/dialers"
)

const (
	bufferBytes        = 16 << 10
	maxWriteBytes      = 256 << 10 // Larger bodies are written in parts with a deadline each.
	maxIdleConnections = 32
)

type (
	// connection is a TCP connection that serves one exchange at a time.
	connection struct {
		net.Conn
		reader  *bufio.Reader
		writer  *bufio.Writer
		monitor *progressMonitor // Nil if the current exchange isn't monitored.
		pool    *pool
	}

	// pool keeps idle connections and limits those in use. It is safe for
	// concurrent use.
	pool struct {
		options Options
		inUse   chan struct{}

		mutex  sync.Mutex
		idle   []*connection
		closed bool
	}
)

func newPool(options Options) *pool {
	return &pool{options: options, inUse: make(chan struct{}, options.MaxConnections)}
}

// acquire returns an idle connection, or a new one if there is none or if
// newConnection is set. It waits while the maximum of connections is in use. The
// caller must pass the connection to release or discard.
func (pool *pool) acquire(ctx context.Context, newConnection bool) (*connection, error) {
	select {
	case pool.inUse <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for !newConnection {
		reused := pool.popIdle()
		if reused == nil {
			break
		}
		if reused.isReusable() {
			return reused, nil
		}
		_ = reused.Close()
	}
	dialer := net.Dialer{Timeout: pool.options.SilenceLimit}
	conn, err := dialer.DialContext(ctx, "tcp", pool.options.Address)
	if err != nil {
		<-pool.inUse
		return nil, err
	}
	conn = dialers.WithValidStatuses(conn)
	opened := &connection{Conn: conn, pool: pool, reader: bufio.NewReaderSize(conn, bufferBytes)}
	opened.writer = bufio.NewWriterSize(opened, bufferBytes)
	return opened, nil
}

func (pool *pool) popIdle() *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	last := len(pool.idle) - 1
	if last < 0 {
		return nil
	}
	reused := pool.idle[last]
	pool.idle[last] = nil
	pool.idle = pool.idle[:last]
	return reused
}

// isReusable reports whether an idle connection is still open and holds no bytes that
// nobody requested. A refusal among them would count as the answer to the next request.
func (conn *connection) isReusable() bool {
	return conn.reader.Buffered() == 0 && dialers.IsIdle(conn.Conn)
}

// release returns a connection to the pool, after its answer has been read to
// the end.
func (pool *pool) release(conn *connection) {
	<-pool.inUse
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed || len(pool.idle) == maxIdleConnections {
		_ = conn.Close()
		return
	}
	pool.idle = append(pool.idle, conn)
}

func (pool *pool) discard(conn *connection) {
	<-pool.inUse
	_ = conn.Close()
}

// closeIdle closes the connections that no exchange uses. After a silence on
// one connection the others are likely to be silent too.
func (pool *pool) closeIdle() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, conn := range pool.idle {
		_ = conn.Close()
	}
	clear(pool.idle)
	pool.idle = pool.idle[:0]
}

func (pool *pool) close() {
	pool.closeIdle()
	pool.mutex.Lock()
	pool.closed = true
	pool.mutex.Unlock()
}

// Write implements io.Writer. It splits large bodies into parts and gives each
// of them the silence limit as its timeout, so that a large body doesn't count
// as silence.
func (conn *connection) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		if err := conn.SetWriteDeadline(time.Now().Add(conn.pool.options.SilenceLimit)); err != nil {
			return written, err
		}
		count, err := conn.Conn.Write(content[written:min(written+maxWriteBytes, len(content))])
		written += count
		if conn.monitor != nil {
			conn.monitor.recordProgress()
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
