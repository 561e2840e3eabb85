package gateways

// This file splits event streams. A server may stop in the middle of an event, and
// another server then continues after the last complete one. The gateway therefore
// passes on complete events only.

import (
	"bytes"
	"io"
	"iter"
)

const (
	// maxEventBytes bounds one event, since a faulty server may never terminate it.
	maxEventBytes = 1 << 20
	// maxEventIDBytes bounds the id of an event, which is kept beyond the event and is
	// sent in a header when the stream is resumed.
	maxEventIDBytes   = 1 << 10
	longestTerminator = "\r\n\r\n"
)

// eventReader splits a stream of server-sent events.
type eventReader struct {
	body    io.Reader
	buffers *buffers
	pending []byte
	// returned is the length of the events at the start of pending that were returned,
	// and searched the length in which no further end of an event was found.
	returned, searched int
	readErr            error
}

func newEventReader(body io.Reader, buffers *buffers) *eventReader {
	return &eventReader{body: body, buffers: buffers}
}

// free ends the use of the reader and of the events that it has returned.
func (reader *eventReader) free() {
	reader.buffers.free(reader.pending)
	reader.pending = nil
}

// next returns all complete events that have arrived, with their terminators. It blocks
// until there is at least one. The events are valid until the next call.
// At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF if the stream
// ended within an event. For an event that exceeds maxEventBytes or has an id that
// exceeds maxEventIDBytes it returns a tooLongError.
func (reader *eventReader) next() (complete []byte, err error) {
	reader.pending = append(reader.pending[:0], reader.pending[reader.returned:]...)
	reader.returned, reader.searched = 0, len(reader.pending)
	for {
		if end := reader.findEnd(); end > 0 {
			reader.returned = end
			complete = reader.pending[:end:end]
			return complete, checkIDs(complete)
		}
		if reader.readErr != nil {
			return nil, reader.endError()
		}
		if len(reader.pending) > maxEventBytes {
			return nil, &tooLongError{part: partEvent, limit: maxEventBytes}
		}
		if reader.pending, err = reader.buffers.makeRoom(reader.pending, maxEventBytes+1); err != nil {
			return nil, err
		}
		count, err := reader.body.Read(reader.pending[len(reader.pending):cap(reader.pending)])
		reader.pending = reader.pending[:len(reader.pending)+count]
		reader.readErr = err
	}
}

// findEnd returns the position after the last complete event, or zero if there is none.
// It searches only the bytes that arrived since the last search, since searching all of
// them again would take long for an event without end.
func (reader *eventReader) findEnd() int {
	from := max(0, reader.searched+1-len(longestTerminator))
	reader.searched = len(reader.pending)
	if end := lastTerminator(reader.pending[from:]); end > 0 {
		return from + end
	}
	return 0
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
	crlf := bytes.LastIndex(text, []byte(longestTerminator))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf+4 > lf+2 && crlf >= 0:
		return crlf + 4
	default:
		return lf + 2
	}
}

// checkIDs returns an error if an id of the events is too long to be kept.
func checkIDs(events []byte) error {
	for id := range eventIDs(events) {
		if len(id) > maxEventIDBytes {
			return &tooLongError{part: partID, limit: maxEventIDBytes}
		}
	}
	return nil
}

// eventIDs returns the id of each event in the text, which is empty for an event without
// one. Comments and reconnection times are no events.
func eventIDs(text []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		id, isEvent := "", false
		for line := range bytes.Lines(text) {
			line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
			value, hasID := bytes.CutPrefix(line, []byte("id:"))
			switch {
			case hasID:
				id, isEvent = string(bytes.TrimSpace(value)), true
			case len(line) > 0:
				isEvent = isEvent || line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:"))
			case isEvent:
				if !yield(id) {
					return
				}
				id, isEvent = "", false
			}
		}
	}
}
