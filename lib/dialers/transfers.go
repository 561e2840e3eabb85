package dialers

import (
	"net"
	"time"
)

// transfer is a connection on which an answer may take longer than its first
// byte.
type transfer struct {
	net.Conn
	extra, silence time.Duration
	deadline       time.Time
	isAnswering    bool
}

// WithProgressTimeout returns the connection with deadlines that tell a silent other side
// from a slow link. The first byte of an answer has to come the extra time before
// the deadline; the rest may come until then, without a pause longer than the
// silence. It is for connections on which one request follows another.
func WithProgressTimeout(conn net.Conn, extra, silence time.Duration) net.Conn {
	return &transfer{Conn: conn, extra: extra, silence: silence}
}

// Write begins a request.
func (transfer *transfer) Write(bytes []byte) (int, error) {
	transfer.isAnswering = false
	return transfer.Conn.Write(bytes)
}

// Read reads some of an answer.
func (transfer *transfer) Read(bytes []byte) (int, error) {
	if err := transfer.Conn.SetReadDeadline(transfer.readBy(time.Now())); err != nil {
		return 0, err
	}
	count, err := transfer.Conn.Read(bytes)
	if count > 0 {
		transfer.isAnswering = true
	}
	return count, err
}

func (transfer *transfer) readBy(now time.Time) time.Time {
	switch {
	case transfer.deadline.IsZero():
		return time.Time{}
	case !transfer.isAnswering:
		return transfer.deadline.Add(-transfer.extra)
	case now.Add(transfer.silence).Before(transfer.deadline):
		return now.Add(transfer.silence)
	default:
		return transfer.deadline
	}
}

// SetDeadline implements net.Conn.
func (transfer *transfer) SetDeadline(deadline time.Time) error {
	transfer.deadline = deadline
	return transfer.Conn.SetWriteDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (transfer *transfer) SetReadDeadline(deadline time.Time) error {
	transfer.deadline = deadline
	return nil
}
