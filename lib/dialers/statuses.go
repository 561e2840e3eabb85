package dialers

// fasthttp takes an answer with the status 000 for one with the status 200, and those with
// statuses that no protocol defines for final answers like any other. RFC 9110, section 15,
// has three digits from 100 to 599. This file looks at the status lines of answers before
// the client does, so that an answer with another status is an error and ends its
// connection, whoever reads it.

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
)

const (
	// minStatus and maxStatus bound the statuses of RFC 9110.
	minStatus = 100
	maxStatus = 599
	// maxStatusLineBytes is how much of a status line is looked at. A status stands within
	// the first 12 bytes, unless there are more spaces than RFC 9112 allows.
	maxStatusLineBytes = 32
)

// ErrStatus is the error of an answer whose status is none. The request may have run.
var ErrStatus = errors.New("the answer has no valid status")

type (
	// statusConn is a connection that carries one request after another. It is used by one
	// goroutine at a time.
	statusConn struct {
		net.Conn
		scanner statusScanner
		hasRead bool
	}

	// statusScanner looks for the status lines in the bytes of one answer, up to that of the
	// final one.
	statusScanner struct {
		position scannerPosition
		line     []byte
		// isLineEmpty is set while the present line of an interim head has no bytes.
		isLineEmpty bool
	}

	// scannerPosition is what the next byte of an answer belongs to.
	scannerPosition int
)

const (
	inStatusLine scannerPosition = iota
	inInterimHead
	behindFinalStatus
)

// IsFinalOrInterim reports whether an answer may have the status. Switching protocols is an
// answer only to a request that asks for it, which none of this project's does.
func IsFinalOrInterim(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// WithValidStatuses returns the connection, which must carry one request after another, so
// that reading fails with ErrStatus at an answer whose status is none.
func WithValidStatuses(conn net.Conn) net.Conn { return &statusConn{Conn: conn} }

// Write implements net.Conn. It marks the start of a request.
func (conn *statusConn) Write(buffer []byte) (int, error) {
	if conn.hasRead {
		conn.scanner, conn.hasRead = statusScanner{line: conn.scanner.line[:0]}, false
	}
	return conn.Conn.Write(buffer)
}

// Read implements net.Conn.
func (conn *statusConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.hasRead = true
		if !conn.scanner.scan(buffer[:count]) {
			return 0, ErrStatus
		}
	}
	return count, err
}

// SyscallConn implements syscall.Conn.
func (conn *statusConn) SyscallConn() (syscall.RawConn, error) {
	inner, isSocket := conn.Conn.(syscall.Conn)
	if !isSocket {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// scan looks at the next bytes of the answer, and reports whether all statuses so far may
// be those of an answer. Texts that are no status lines are left to the client's parser.
func (scanner *statusScanner) scan(received []byte) bool {
	for _, each := range received {
		switch scanner.position {
		case inStatusLine:
			if !scanner.scanStatusLine(each) {
				return false
			}
		case inInterimHead:
			scanner.scanInterimHead(each)
		default:
			return true
		}
	}
	return true
}

// scanStatusLine takes a byte of the status line, and returns false at the end of one whose
// status is none. Parsers skip empty lines before it.
func (scanner *statusScanner) scanStatusLine(next byte) bool {
	if next != '\n' && len(scanner.line) < maxStatusLineBytes {
		scanner.line = append(scanner.line, next)
		return true
	}
	line := bytes.TrimRight(scanner.line, "\r")
	if next == '\n' && len(line) == 0 {
		scanner.line = scanner.line[:0]
		return true
	}
	status, isNumber := statusOf(line)
	if isNumber && !IsFinalOrInterim(status) {
		return false
	}
	scanner.line = scanner.line[:0]
	scanner.position = behindFinalStatus
	if isNumber && status < http.StatusOK {
		scanner.position, scanner.isLineEmpty = inInterimHead, next == '\n'
	}
	return true
}

// scanInterimHead takes a byte of the lines after an interim status. An empty line ends them.
func (scanner *statusScanner) scanInterimHead(next byte) {
	switch {
	case next == '\n' && scanner.isLineEmpty:
		scanner.position = inStatusLine
	case next == '\n':
		scanner.isLineEmpty = true
	case next != '\r':
		scanner.isLineEmpty = false
	}
}

// statusOf returns the status of a status line, or false if it has no number there.
func statusOf(line []byte) (int, bool) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.Atoi(string(text))
	return status, err == nil
}
