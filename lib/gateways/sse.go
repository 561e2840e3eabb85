package gateways

// This file splits event streams. A server may stop in the middle of an event, and
// another server then continues after the last complete one. The gateway therefore
// passes on complete events only.

import (
	"bytes"
	"io"
)

// maxEventBytes bounds one event, since a faulty server may never terminate it.
const maxEventBytes = 1 << 20

// eventReader splits a stream of server-sent events.
type eventReader struct {
	body    io.Reader
	pending []byte
	chunk   [4096]byte
	readErr error
}

// next returns all complete events that have arrived, with their terminators, and
// the id of the last of them that has one. It blocks until there is at least one.
// At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF if the stream
// ended within an event. For an event that exceeds maxEventBytes it returns
// io.ErrShortBuffer.
func (reader *eventReader) next() (complete []byte, lastID string, err error) {
	for {
		if end := lastTerminator(reader.pending); end > 0 {
			complete = reader.pending[:end:end]
			reader.pending = bytes.Clone(reader.pending[end:])
			return complete, lastEventID(complete), nil
		}
		if reader.readErr != nil {
			return nil, "", reader.endError()
		}
		if len(reader.pending) > maxEventBytes {
			return nil, "", io.ErrShortBuffer
		}
		count, err := reader.body.Read(reader.chunk[:])
		reader.pending = append(reader.pending, reader.chunk[:count]...)
		reader.readErr = err
	}
}

func (reader *eventReader) endError() error {
	if reader.readErr == io.EOF && len(reader.pending) > 0 {
		return io.ErrUnexpectedEOF
	}
	return reader.readErr
}

// lastTerminator returns the position after the last empty line, or zero if the
// text has none. Lines may end with LF or CRLF.
func lastTerminator(text []byte) int {
	lf := bytes.LastIndex(text, []byte("\n\n"))
	crlf := bytes.LastIndex(text, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf+4 > lf+2 && crlf >= 0:
		return crlf + 4
	default:
		return lf + 2
	}
}

func lastEventID(events []byte) string {
	id := ""
	for _, line := range bytes.Split(events, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
