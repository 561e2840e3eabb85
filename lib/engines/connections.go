package engines

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	bufferBytes     = 16 << 10
	writeBytes      = 256 << 10 // Each write of this size gets a deadline of its own.
	idleConnections = 32
)

type (
	// connection is used by one exchange at a time.
	connection struct {
		net.Conn
		reader *bufio.Reader
		writer *bufio.Writer
		guard  *guard // Nil while no exchange watches for silence.
		pool   *pool
	}

	// pool keeps idle connections and bounds the open ones. It is safe for
	// concurrent use.
	pool struct {
		options Options
		open    chan struct{}

		mutex  sync.Mutex
		idle   []*connection
		closed bool
	}
)

func newPool(options Options) *pool {
	return &pool{options: options, open: make(chan struct{}, options.MaxConnections)}
}

// take returns an idle connection, or a new one where there is none or fresh is
// set. The caller gives it back or closes it with drop.
func (pool *pool) take(ctx context.Context, fresh bool) (*connection, error) {
	select {
	case pool.open <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if !fresh {
		if reused := pool.pop(); reused != nil {
			return reused, nil
		}
	}
	dialer := net.Dialer{Timeout: pool.options.SilenceLimit}
	conn, err := dialer.DialContext(ctx, "tcp", pool.options.Address)
	if err != nil {
		<-pool.open
		return nil, err
	}
	made := &connection{Conn: conn, pool: pool, reader: bufio.NewReaderSize(conn, bufferBytes)}
	made.writer = bufio.NewWriterSize(made, bufferBytes)
	return made, nil
}

func (pool *pool) pop() *connection {
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

// give returns a connection whose answer has been read to its end.
func (pool *pool) give(conn *connection) {
	<-pool.open
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed || len(pool.idle) == idleConnections {
		_ = conn.Close()
		return
	}
	pool.idle = append(pool.idle, conn)
}

func (pool *pool) drop(conn *connection) {
	<-pool.open
	_ = conn.Close()
}

// closeIdle closes the connections that no exchange uses. After a silence they
// are likely to be silent too.
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

// Write implements io.Writer. Large bodies are written in parts, each with the
// silence limit as its time, so that size alone never looks like silence.
func (conn *connection) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		if err := conn.SetWriteDeadline(time.Now().Add(conn.pool.options.SilenceLimit)); err != nil {
			return written, err
		}
		count, err := conn.Conn.Write(content[written:min(written+writeBytes, len(content))])
		written += count
		if conn.guard != nil {
			conn.guard.advance()
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
