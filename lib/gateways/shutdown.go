package gateways

// This file ends the connections of callers when the gateway stops. http.Server.Shutdown
// closes each connection at once on which no request has been read. On a busy host, a
// request may have arrived and not have been read yet, and its caller would lose it. So a
// connection is closed by an answer that says so, or after it has been quiet for a while
// with nothing left to read. For the same reason, all connections that callers have opened
// are accepted before the listener is closed. Whatever has not ended by then is answered:
// as not run, or as a request whose outcome is unknown.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"firford/lib/budgets"
	"firford/lib/dialers"
	"firford/lib/listeners"
	"firford/lib/waits"
)

const (
	// quietTime is how long nothing must have come over a connection that is closed without
	// an answer. It is longer than a request takes to arrive in several packets.
	quietTime = 500 * time.Millisecond
	// closeInterval is the pause between two looks at the connections.
	closeInterval = 20 * time.Millisecond
	// lastAcceptTime is how long a listener that stops waits for one more connection, and
	// maxAcceptTime how long it does so: callers may go on to open new ones. It closes at a
	// moment when none waits to be accepted, as long as Shutdown has time.
	lastAcceptTime = 20 * time.Millisecond
	maxAcceptTime  = 200 * time.Millisecond
	// LastAnswerTime is how long after the end of its context Shutdown may go on to answer
	// the requests that are left.
	LastAnswerTime = 300 * time.Millisecond
)

// errEnding is the error of requests that have not ended when the process is about to end.
var errEnding = errors.New("the process is about to end")

type (
	// callerConn is the connection of a caller. readAt is the Unix time in nanoseconds at
	// which bytes were last read from it.
	callerConn struct {
		*budgets.Conn
		tcp    *net.TCPConn
		readAt atomic.Int64
	}

	// callerListener accepts the connections of callers until it stops. acceptUntil is the
	// Unix time in nanoseconds until which it does so then, zero before. stopped is closed
	// once it accepts no more.
	callerListener struct {
		*listeners.Listener
		budget      *budgets.Budget
		acceptUntil atomic.Int64
		stopped     chan struct{}
	}

	// callerConns are the open connections and since when they are in their state. It is
	// safe for concurrent use.
	callerConns struct {
		mutex sync.Mutex
		open  map[net.Conn]connState
	}

	connState struct {
		state http.ConnState
		since time.Time
	}
)

// Read implements net.Conn.
func (conn *callerConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.readAt.Store(time.Now().UnixNano())
	}
	return count, err
}

// lastReadAt returns when bytes were last read, the Unix epoch if none were.
func (conn *callerConn) lastReadAt() time.Time { return time.Unix(0, conn.readAt.Load()) }

// Accept implements net.Listener. A listener that stops returns the connections that are
// open already, and then net.ErrClosed.
func (listener *callerListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.accept()
		if err != nil {
			close(listener.stopped) // The server calls Accept no more.
			return nil, err
		}
		if conn, isAdmitted := listener.budget.Admit(accepted, budgets.Options{Refusal: headRefusal}); isAdmitted {
			return &callerConn{Conn: conn, tcp: accepted.(*net.TCPConn)}, nil
		}
	}
}

func (listener *callerListener) accept() (net.Conn, error) {
	for {
		acceptUntil := listener.acceptUntil.Load()
		isStopping := acceptUntil != 0
		if isStopping && time.Now().UnixNano() > acceptUntil && !listener.HasWaiting() {
			return nil, net.ErrClosed
		}
		if isStopping {
			if err := listener.SetDeadline(time.Now().Add(lastAcceptTime)); err != nil {
				return nil, err
			}
		}
		conn, err := listener.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		// The deadline may only have ended the wait of before, or have passed before this
		// goroutine got to accept, or while the process was short of descriptors.
		if isStopping && !listener.HasWaiting() {
			return nil, net.ErrClosed
		}
	}
}

// stop ends the wait for connections.
func (listener *callerListener) stop() {
	listener.acceptUntil.Store(time.Now().Add(maxAcceptTime).UnixNano())
	_ = listener.SetDeadline(time.Now()) // Fails only if the listener is closed.
}

// setState implements http.Server.ConnState.
func (conns *callerConns) setState(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		_ = conn.(*callerConn).Account().Enter(budgets.Idle) // An evicted connection is closed by now.
	}
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(conns.open, conn)
		return
	}
	conns.open[conn] = connState{state: state, since: time.Now()}
}

// closeQuiet closes the connections over which nothing comes, and returns how many are
// left. Those that got an answer since the stop are closed at once, as if it had said so.
func (conns *callerConns) closeQuiet(stoppedAt, now time.Time) (left int) {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	for conn, current := range conns.open {
		wasAnswered := current.state == http.StateIdle && current.since.After(stoppedAt)
		if current.state == http.StateActive || !isQuiet(conn, current.since, wasAnswered, now) {
			continue
		}
		_ = conn.Close() // The server notices the close and reports it.
		delete(conns.open, conn)
	}
	return len(conns.open)
}

// isQuiet reports whether nothing comes over the connection, which has been without a
// request since the time: for quietTime, or at all after an answer.
func isQuiet(conn net.Conn, since time.Time, wasAnswered bool, now time.Time) bool {
	lastReadAt := time.Time{}
	if caller, isCaller := conn.(*callerConn); isCaller {
		lastReadAt = caller.lastReadAt()
	}
	isPartlyRead := lastReadAt.After(since)
	if now.Sub(waits.Later(since, lastReadAt)) < quietTime && (isPartlyRead || !wasAnswered) {
		return false
	}
	count, err := dialers.Peek(conn)
	return count <= 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
}

// isStopped reports whether a request comes too late. One that arrived before the stop is
// served, also if it is read later. A later one may not be complete before the process ends.
func (gateway *Gateway) isStopped(now time.Time) bool {
	refuseFrom := gateway.refuseFrom.Load()
	return refuseFrom != 0 && now.UnixNano() >= refuseFrom
}

// Shutdown stops accepting connections, and waits until all connections have ended. When the
// context ends before, it answers the requests that are left, within LastAnswerTime, and
// returns the error of the context.
func (gateway *Gateway) Shutdown(ctx context.Context) error {
	gateway.draining.Store(true)
	stoppedAt := time.Now()
	gateway.refuseFrom.Store(stoppedAt.Add(quietTime).UnixNano())
	if listener := gateway.listener.Load(); listener != nil {
		listener.stop()
		gateway.awaitAccepted(ctx, listener, stoppedAt)
	}
	if !gateway.awaitConns(ctx, stoppedAt) {
		gateway.endRequests(errEnding)
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), LastAnswerTime)
		defer cancel()
		gateway.awaitConns(last, stoppedAt)
		return ctx.Err()
	}
	return gateway.server.Shutdown(ctx)
}

// awaitAccepted waits until the listener accepts no more. While it is short of descriptors or
// memory, quiet connections make room for those that wait to be accepted.
func (gateway *Gateway) awaitAccepted(ctx context.Context, listener *callerListener, stoppedAt time.Time) {
	for {
		if now := time.Now(); listener.IsShort(now) {
			gateway.callerConns.closeQuiet(stoppedAt, now)
		}
		select {
		case <-listener.stopped:
			return
		case <-ctx.Done():
			return
		case <-time.After(closeInterval):
		}
	}
}

// awaitConns closes quiet connections until none is left, and returns false if the context
// ends before.
func (gateway *Gateway) awaitConns(ctx context.Context, stoppedAt time.Time) bool {
	for gateway.callerConns.closeQuiet(stoppedAt, time.Now()) > 0 {
		if !waits.Sleep(ctx, closeInterval) {
			return false
		}
	}
	return true
}
