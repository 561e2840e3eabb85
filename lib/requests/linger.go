package requests

// A body that exceeds what the entry reads is refused before it has arrived.
// Closing the connection at once would reset it, and the caller, who is still
// sending, would lose the refusal. Connections therefore close in two steps:
// the entry stops sending, then reads and discards what still arrives for a
// short time. Reading every body to its end before the refusal was rejected,
// because a slow caller could hold memory for as long as it likes.

import (
	"io"
	"net"
	"time"

	"firford/lib/budgets"
)

const (
	// lingerBytes and lingerTime limit the cost of a connection that is
	// closing.
	lingerBytes = 32 << 20
	lingerTime  = 2 * time.Second
)

type (
	lingeringListener struct {
		*budgets.Listener
	}

	lingeringConn struct {
		*budgets.Conn
	}
)

// Accept implements net.Listener.
func (listener lingeringListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lingeringConn{Conn: conn.(*budgets.Conn)}, nil
}

// Close stops sending immediately. It closes the connection when the caller has
// closed it, or else after lingerTime or lingerBytes, or to make room for other callers.
func (conn lingeringConn) Close() error {
	if conn.Account().Enter(budgets.Idle) != nil || conn.CloseWrite() != nil {
		return conn.Conn.Close()
	}
	go func() {
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, conn.Unaccounted(), lingerBytes)
		_ = conn.Conn.Close()
	}()
	return nil
}
