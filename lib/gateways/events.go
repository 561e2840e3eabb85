package gateways

import (
	"bytes"
	"io"
)

// mostEventBytes bounds one event, since a faulty server may never end it.
const mostEventBytes = 1 << 20

// events splits a stream of server-sent events. Only whole events are passed
// on, because a server may stop in the middle of one and another then continues
// after the last whole one.
type events struct {
	body    io.Reader
	pending []byte
	chunk   [4096]byte
	ended   error
}

// next returns all whole events that have arrived, with their terminators, and
// the id of the last one that has one. At the end it returns io.EOF, or
// io.ErrUnexpectedEOF where bytes of an unfinished event are left.
func (events *events) next() (whole []byte, lastID string, err error) {
	for {
		if at := lastTerminator(events.pending); at > 0 {
			whole = events.pending[:at:at]
			events.pending = bytes.Clone(events.pending[at:])
			return whole, lastEventID(whole), nil
		}
		if events.ended != nil {
			return nil, "", events.finish()
		}
		if len(events.pending) > mostEventBytes {
			return nil, "", io.ErrShortBuffer
		}
		count, err := events.body.Read(events.chunk[:])
		events.pending = append(events.pending, events.chunk[:count]...)
		events.ended = err
	}
}

func (events *events) finish() error {
	if events.ended == io.EOF && len(events.pending) > 0 {
		return io.ErrUnexpectedEOF
	}
	return events.ended
}

// lastTerminator returns the position after the last empty line, or zero.
func lastTerminator(text []byte) int {
	at := bytes.LastIndex(text, []byte("\n\n"))
	other := bytes.LastIndex(text, []byte("\r\n\r\n"))
	switch {
	case at < 0 && other < 0:
		return 0
	case other+4 > at+2 && other >= 0:
		return other + 4
	default:
		return at + 2
	}
}

func lastEventID(whole []byte) string {
	id := ""
	for _, line := range bytes.Split(whole, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
