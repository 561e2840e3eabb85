package requests

// A body above what the entry reads is refused before it has arrived. Closing
// the connection then resets it, and the caller, who is still sending, loses
// the refusal. Connections therefore end in two steps: the entry stops sending,
// and for a short time reads and drops what still arrives. Reading every body to
// its end before the refusal was rejected, because it holds memory for as long
// as a slow caller likes.

import (
	"io"
	"net"
	"time"
)

const (
	// lingerBytes and lingerTime bound what a closed connection costs.
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

	// halfCloser is a connection that can end its own direction, as TCP and TLS
	// connections can.
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

// Close ends sending at once and the connection after the lingering time, or
// when the caller has closed it.
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
