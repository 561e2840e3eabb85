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
)

const (
	// lingerBytes and lingerTime limit the cost of a connection that is
	// closing.
	lingerBytes = 32 << 20
	lingerTime  = 2 * time.Second
)

type (
	lingeringListener struct {
		net.Listener
	}

	lingeringConn struct {
		net.Conn
	}

	// halfCloser is a connection that can close its sending direction alone, as
	// TCP and TLS connections can.
	halfCloser interface {
		CloseWrite() error
	}
)

// Accept implements net.Listener.
func (listener lingeringListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lingeringConn{Conn: conn}, nil
}

// Close stops sending immediately. It closes the connection when the caller has
// closed it, or else after lingerTime or lingerBytes.
func (conn lingeringConn) Close() error {
	half, ok := conn.Conn.(halfCloser)
	if !ok || half.CloseWrite() != nil {
		return conn.Conn.Close()
	}
	go func() {
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, conn.Conn, lingerBytes)
		_ = conn.Conn.Close()
	}()
	return nil
}
