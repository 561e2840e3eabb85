package budgets

// This file accounts for connections by wrapping them: what is read of a head is taken from
// the budget before the HTTP library sees it, since a parsed head takes many times its
// length.

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"firford/lib/dialers"
)

const (
	// lineBytes is what each line of a head takes, parsed and as a copy for a server, beside
	// twice its length.
	lineBytes = 384
	// sendBytes is how much is written at once, so that a slow reader is seen to move.
	sendBytes = 64 << 10
	// handshakeCopies is how often the bytes of a TLS handshake are in memory, since its buffers
	// grow by doubling.
	handshakeCopies = 3
	// refusalTimeout bounds how long an evicted caller may take to read that it is refused.
	refusalTimeout = time.Second
)

type (
	// Options are how connections are served. The refusal, if any, is written to a caller whose
	// head can't be read. TLS is nil without TLS.
	Options struct {
		Refusal []byte
		TLS     *tls.Config
	}

	// Conn is a connection of a caller, with its account. It embeds the connection with TLS, if
	// any.
	Conn struct {
		net.Conn
		accepted  net.Conn
		account   *Account
		refusal   []byte
		isSecured atomic.Bool
		isRefused atomic.Bool
		isClosed  atomic.Bool
	}

	// handshakeConn is the connection below TLS. It accounts for the handshake.
	handshakeConn struct {
		net.Conn
		conn *Conn
	}

	// Listener accepts connections that the budget admits, and closes the others unread.
	Listener struct {
		net.Listener
		budget  *Budget
		options Options
	}
)

// NewListener returns a listener that admits the connections of another one to the budget.
func NewListener(listener net.Listener, budget *Budget, options Options) *Listener {
	return &Listener{Listener: listener, budget: budget, options: options}
}

// Accept implements net.Listener.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn, isAdmitted := listener.budget.Admit(accepted, listener.options); isAdmitted {
			return conn, nil
		}
	}
}

// Admit returns an accepted connection with its account. If the budget does not suffice, it
// closes the connection, of which nothing has been read, and returns false.
func (budget *Budget) Admit(accepted net.Conn, options Options) (*Conn, bool) {
	conn := &Conn{Conn: accepted, accepted: accepted, refusal: options.Refusal}
	if options.TLS != nil {
		conn.Conn = tls.Server(handshakeConn{Conn: accepted, conn: conn}, options.TLS)
	}
	account, err := budget.Open(conn.evict, conn.hasUnread)
	if err != nil {
		_ = accepted.Close()
		return nil, false
	}
	conn.account = account
	return conn, true
}

// Read implements net.Conn.
func (below handshakeConn) Read(buffer []byte) (int, error) {
	count, err := below.Conn.Read(buffer)
	if count == 0 || below.conn.isSecured.Load() {
		return count, err
	}
	account := below.conn.account
	if _, moveErr := account.move(count); moveErr != nil {
		return 0, moveErr
	}
	if takeErr := account.Take(Requests, handshakeCopies*int64(count)); takeErr != nil {
		return 0, takeErr
	}
	return count, err
}

// Account returns the account of the connection.
func (conn *Conn) Account() *Account { return conn.account }

// Unaccounted returns the connection below, from which bytes are read that are not kept.
func (conn *Conn) Unaccounted() net.Conn { return conn.Conn }

// IsRefused reports whether the head of a request could not be read since callers hold too
// much.
func (conn *Conn) IsRefused() bool { return conn.isRefused.Load() }

// Read implements net.Conn.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && conn.account.IsEvicted() {
		return 0, conn.refuse(ErrEvicted)
	}
	if count == 0 {
		return count, err
	}
	conn.isSecured.Store(true)
	phase, moveErr := conn.account.move(count)
	if moveErr == nil && phase == ReceivingHead {
		moveErr = conn.account.Take(Requests, HeadBytes(count, bytes.Count(buffer[:count], []byte("\n"))))
	}
	if moveErr != nil {
		return 0, conn.refuse(moveErr)
	}
	return count, err
}

// HeadBytes returns what a head takes in memory that has the length and the number of lines.
func HeadBytes(length, lines int) int64 { return int64(2*length + lineBytes*lines) }

// refuse answers a request whose head can't be read, if this package is to do so. It returns
// an error after which the HTTP library closes the connection.
func (conn *Conn) refuse(cause error) error {
	if conn.isRefused.CompareAndSwap(false, true) && conn.refusal != nil && conn.account.phase() == ReceivingHead {
		_ = conn.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = conn.Conn.Write(conn.refusal) // The caller may have left.
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: cause}
}

// Write implements net.Conn.
func (conn *Conn) Write(buffer []byte) (written int, err error) {
	before := conn.account.beginSending()
	for written < len(buffer) && err == nil {
		var count int
		count, err = conn.Conn.Write(buffer[written:min(len(buffer), written+sendBytes)])
		written += count
		_, _ = conn.account.move(count)
	}
	_ = conn.account.Enter(before)
	return written, err
}

// SetReadDeadline implements net.Conn. A connection that was evicted is not read any more.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	err := conn.Conn.SetReadDeadline(deadline)
	if conn.account.IsEvicted() {
		return conn.Conn.SetReadDeadline(time.Now())
	}
	return err
}

// SetDeadline implements net.Conn.
func (conn *Conn) SetDeadline(deadline time.Time) error {
	return errors.Join(conn.Conn.SetWriteDeadline(deadline), conn.SetReadDeadline(deadline))
}

// Close implements net.Conn.
func (conn *Conn) Close() error {
	if conn.isClosed.CompareAndSwap(false, true) {
		conn.account.Close()
	}
	return conn.Conn.Close()
}

// CloseWrite closes the sending direction, if the connection below can.
func (conn *Conn) CloseWrite() error {
	half, canHalf := conn.Conn.(interface{ CloseWrite() error })
	if !canHalf {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// SyscallConn implements syscall.Conn.
func (conn *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, isSocket := conn.Conn.(syscall.Conn)
	if !isSocket {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// hasUnread reports whether bytes have come that were not read.
func (conn *Conn) hasUnread() bool {
	count, err := dialers.Peek(conn.accepted)
	return err == nil && count > 0
}

// evict makes the goroutine that serves the connection end it. A request under way is
// refused, an answer under way breaks off.
func (conn *Conn) evict(phase Phase) {
	switch phase {
	case ReceivingHead, ReceivingBody:
		_ = conn.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_ = conn.Conn.SetReadDeadline(time.Now())
	case Sending:
		if tcp, isTCP := conn.accepted.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0) // An answer that ends early must not look complete.
		}
		_ = conn.accepted.Close()
	default:
		_ = conn.accepted.Close() // Not of TLS, which may block.
	}
}
