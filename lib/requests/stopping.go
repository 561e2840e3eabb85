package requests

// This file lets callers leave when the server stops. fasthttp closes at once each
// connection on which it has read no request. On a busy host one may have arrived, and its
// caller would get no answer. So answers first ask for the connection to be closed, and
// the server stops once the connections that are left have been quiet for a while.

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// quietTime is how long nothing must have come over a connection that is closed without
	// an answer.
	quietTime = 500 * time.Millisecond
	// maxQuietWait bounds the wait for that: callers may go on to open connections.
	maxQuietWait = 2 * time.Second
	// quietInterval is the pause between two looks at the connections.
	quietInterval = 20 * time.Millisecond
)

// callerConns are the open connections of callers, with the time since which each is
// without a request, zero for one with a request. It is safe for concurrent use.
type callerConns struct {
	mutex     sync.Mutex
	idleSince map[net.Conn]time.Time
}

// setState implements fasthttp.Server.ConnState.
func (conns *callerConns) setState(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle || state == fasthttp.StateClosed {
		conn.(lingeringConn).Account().EndRequest()
	}
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(conns.idleSince, conn)
	case fasthttp.StateActive:
		conns.idleSince[conn] = time.Time{}
	default:
		conns.idleSince[conn] = time.Now()
	}
}

// areQuiet reports whether all connections without a request have been so for quietTime.
func (conns *callerConns) areQuiet(now time.Time) bool {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	for _, since := range conns.idleSince {
		if !since.IsZero() && now.Sub(since) < quietTime {
			return false
		}
	}
	return true
}

// awaitQuiet waits until all connections are quiet since stoppedAt, for maxQuietWait at
// most.
func (conns *callerConns) awaitQuiet(stoppedAt time.Time) {
	for time.Sleep(quietTime); time.Since(stoppedAt) < maxQuietWait && !conns.areQuiet(time.Now()); {
		time.Sleep(quietInterval)
	}
}
