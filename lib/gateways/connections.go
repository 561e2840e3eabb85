package gateways

// Connections to backend servers are our own, because a ready-made HTTP client
// repeats requests by itself on a connection that the server closed, and does
// not tell whether a request has left. A request that may run only once must
// never be sent twice, and "not run" must be true.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"firford/lib/dialers"
)

const (
	// connectTimeout bounds a new connection. Servers answer within a few
	// milliseconds; a machine without power does not answer at all.
	connectTimeout = 300 * time.Millisecond
	// idleLifetime is how long an idle connection is used again where the server
	// does not say; servers close idle ones without notice.
	idleLifetime = 4 * time.Second
	// idleMargin is taken from the time that a server names, for the request's way.
	idleMargin = time.Second
	// mostIdle bounds the idle connections to one server.
	mostIdle = 24
	// silenceTimeout is how long a server may leave sent bytes unacknowledged.
	silenceTimeout = 1500 * time.Millisecond
	readBuffer     = 4096
	// mostStale bounds how many answers to earlier requests are skipped on one
	// connection.
	mostStale = 3
)

// errNotSent wraps failures before the first byte of a request has left.
var errNotSent = errors.New("nothing was sent")

type (
	// connection is one connection to a server. It carries one request at a time.
	connection struct {
		net.Conn
		reader    *bufio.Reader
		fresh     bool
		idleUntil time.Time
	}

	// pool keeps idle connections by server.
	pool struct {
		mutex sync.Mutex
		idle  map[string][]*connection
	}
)

func newPool() *pool {
	return &pool{idle: map[string][]*connection{}}
}

// get returns an idle connection to the server, or a new one. Requests that may
// run only once always get a new one, since an idle one may be closed while they
// are on their way.
func (pool *pool) get(ctx context.Context, server, address string, onlyNew bool) (*connection, error) {
	now := time.Now()
	for !onlyNew {
		conn := pool.take(server)
		if conn == nil {
			break
		}
		if now.Before(conn.idleUntil) && conn.isQuiet() {
			conn.fresh = false
			return conn, nil
		}
		_ = conn.Close()
	}
	return dial(ctx, address)
}

func (pool *pool) take(server string) *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[server]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	pool.idle[server] = list[:len(list)-1]
	return conn
}

// put keeps a connection whose answer was read to its end.
func (pool *pool) put(server string, conn *connection, idleUntil time.Time) {
	if idleUntil.IsZero() {
		idleUntil = time.Now().Add(idleLifetime)
	} else {
		idleUntil = idleUntil.Add(-idleMargin)
	}
	conn.idleUntil = idleUntil
	_ = conn.SetDeadline(time.Time{})
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if conn.reader.Buffered() > 0 || len(pool.idle[server]) >= mostIdle {
		_ = conn.Close()
		return
	}
	pool.idle[server] = append(pool.idle[server], conn)
}

// keep closes the idle connections to servers that are gone.
func (pool *pool) keep(known map[string]bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for server, list := range pool.idle {
		if known[server] {
			continue
		}
		for _, conn := range list {
			_ = conn.Close()
		}
		delete(pool.idle, server)
	}
}

func dial(ctx context.Context, address string) (*connection, error) {
	conn, err := dialers.New(connectTimeout, silenceTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), fresh: true}, nil
}

// isQuiet reports whether an idle connection is open and holds no bytes that no
// request has asked for.
func (conn *connection) isQuiet() bool {
	count, err := peek(conn.Conn)
	return conn.reader.Buffered() == 0 && count < 0 && errors.Is(err, syscall.EAGAIN)
}

// isClosedByPeer reports whether the peer has closed its end. Bytes that it sent
// before hide the close.
func isClosedByPeer(conn net.Conn) bool {
	count, err := peek(conn)
	return count == 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
}

// peek looks at what has arrived on a connection without reading it. Count is
// zero when the peer has closed, and negative with an error.
func peek(conn net.Conn) (count int, err error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return -1, syscall.EAGAIN
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1, err
	}
	var one [1]byte
	var failed error
	// Read would wait for a reader that the HTTP server keeps on the connection.
	err = raw.Control(func(fd uintptr) {
		count, _, failed = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return -1, err
	}
	return count, failed
}

// send writes a whole request. The error wraps errNotSent where no byte left.
func (conn *connection) send(request []byte) error {
	written, err := conn.Write(request)
	if err == nil {
		return nil
	}
	if written == 0 {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	return fmt.Errorf("send: %w", err)
}

// receive reads the head of the answer to the request with the id. Answers with
// another id belong to earlier requests on this connection and are skipped.
func (conn *connection) receive(dialect Dialect, method, id string) (*http.Response, ResponseInfo, error) {
	for range mostStale {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, ResponseInfo{}, fmt.Errorf("read answer: %w", err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := dialect.ParseResponse(response.StatusCode, response.Header, time.Now())
		if reply.ID == id || reply.ID == "" && conn.fresh {
			return response, reply, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, mostAnswerBytes)); err != nil {
			return nil, ResponseInfo{}, fmt.Errorf("skip an answer to another request: %w", err)
		}
	}
	return nil, ResponseInfo{}, errors.New("only answers to other requests")
}

// cancelWith closes the connection when the context ends, which also tells the
// server to stop. The returned function ends the watch.
func (conn *connection) cancelWith(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = conn.Close() })
}

// requestBytes joins head and body, so that a request leaves in one write.
func requestBytes(method, target, host string, header http.Header, body []byte) []byte {
	var buffer bytes.Buffer
	writeRequest(&buffer, method, target, host, header, body)
	return buffer.Bytes()
}
