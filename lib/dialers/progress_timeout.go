package dialers

import (
	"net"
	"time"
)

// progressConn is a connection whose deadlines allow the rest of an answer more
// time than its first byte.
type progressConn struct {
	net.Conn
	transferTime, silenceLimit time.Duration
	deadline                   time.Time
	answerStarted              bool
}

// WithProgressTimeout returns the connection with deadlines that distinguish a
// silent peer from a slow link. The first byte of an answer must arrive
// transferTime before the deadline. The rest may take until the deadline,
// without a pause longer than silenceLimit. The connection must carry one
// request after another.
func WithProgressTimeout(conn net.Conn, transferTime, silenceLimit time.Duration) net.Conn {
	return &progressConn{Conn: conn, transferTime: transferTime, silenceLimit: silenceLimit}
}

// Write implements net.Conn. It marks the start of a request.
func (conn *progressConn) Write(buffer []byte) (int, error) {
	conn.answerStarted = false
	return conn.Conn.Write(buffer)
}

// Read implements net.Conn. It sets the read deadline according to the progress
// of the answer.
func (conn *progressConn) Read(buffer []byte) (int, error) {
	if err := conn.Conn.SetReadDeadline(conn.readDeadline(time.Now())); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.answerStarted = true
	}
	return count, err
}

func (conn *progressConn) readDeadline(now time.Time) time.Time {
	switch {
	case conn.deadline.IsZero():
		return time.Time{}
	case !conn.answerStarted:
		return conn.deadline.Add(-conn.transferTime)
	case now.Add(conn.silenceLimit).Before(conn.deadline):
		return now.Add(conn.silenceLimit)
	default:
		return conn.deadline
	}
}

// SetDeadline implements net.Conn. It sets the write deadline, and the deadline
// of the whole answer, which Read applies.
func (conn *progressConn) SetDeadline(deadline time.Time) error {
	conn.deadline = deadline
	return conn.Conn.SetWriteDeadline(deadline)
}

// SetReadDeadline implements net.Conn. It sets the deadline of the whole
// answer, which Read applies.
func (conn *progressConn) SetReadDeadline(deadline time.Time) error {
	conn.deadline = deadline
	return nil
}
