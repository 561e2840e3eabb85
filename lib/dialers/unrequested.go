package dialers

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// ErrUnrequestedBytes is returned by Write if bytes arrived while no request was under
// way. Nothing was sent, and the connection must be closed.
var ErrUnrequestedBytes = errors.New("bytes arrived that nobody requested")

// requestConn is a connection on which bytes may only arrive after a request. It is used
// by one goroutine at a time.
type requestConn struct {
	net.Conn
	// hasRead is set once bytes were read since the last request was sent.
	hasRead bool
}

// WithoutUnrequestedBytes returns the connection, which must carry one request after
// another, so that it sends no request once bytes have come that no request asked for. A
// server may send a second copy of an answer, late, and the client would take it for the
// answer to its next request. Answers without a valid status are errors, as with
// WithValidStatuses.
func WithoutUnrequestedBytes(conn net.Conn) net.Conn {
	return &requestConn{Conn: WithValidStatuses(conn)}
}

// DialForRequests opens a TCP connection with the timeouts of New that carries one request
// after another, without unrequested bytes.
func DialForRequests(address string, connectTimeout, silenceLimit time.Duration) (net.Conn, error) {
	conn, err := New(connectTimeout, silenceLimit).Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return WithoutUnrequestedBytes(conn), nil
}

// Write implements net.Conn.
func (conn *requestConn) Write(buffer []byte) (int, error) {
	if conn.hasRead {
		if count, err := Peek(conn.Conn); count > 0 && err == nil {
			return 0, ErrUnrequestedBytes
		}
	}
	conn.hasRead = false
	return conn.Conn.Write(buffer)
}

// Read implements net.Conn.
func (conn *requestConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.hasRead = conn.hasRead || count > 0
	return count, err
}

// Peek checks whether a byte has arrived on a connection, without consuming it.
// Count is zero if the peer has closed the connection, and negative if there is
// an error.
func Peek(conn net.Conn) (count int, err error) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return -1, syscall.EAGAIN
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1, err
	}
	var buffer [1]byte
	var recvErr error
	// Control is used because Read would block behind a read that is pending on the
	// connection.
	err = raw.Control(func(fd uintptr) {
		count, _, recvErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return -1, err
	}
	return count, recvErr
}

// IsIdle reports whether a connection is open and holds no bytes that were not read.
func IsIdle(conn net.Conn) bool {
	count, err := Peek(conn)
	return count < 0 && errors.Is(err, syscall.EAGAIN)
}
