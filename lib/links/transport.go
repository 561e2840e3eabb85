package links

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

type (
	// boundedCodec frames each object by its length, as jsonrpc2's varint codec
	// does. It rejects a frame above MaxMessageBytes before reading it.
	boundedCodec struct {
		frames jsonrpc2.VarintObjectCodec
	}

	// monitoredConn counts bytes, and fails a read or write during which no byte
	// arrives or can be sent for silenceLimit.
	monitoredConn struct {
		net.Conn
		silenceLimit time.Duration
		received     atomic.Int64
		sent         atomic.Int64
	}

	// discardLogger drops the log lines of jsonrpc2, because the owner of a link
	// logs its end.
	discardLogger struct{}
)

// errUnreadableLength means that a frame does not begin with a length.
var errUnreadableLength = errors.New("frame without a readable length")

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec boundedCodec) WriteObject(stream io.Writer, object any) error {
	return codec.frames.WriteObject(stream, object)
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec boundedCodec) ReadObject(stream *bufio.Reader, object any) error {
	if _, err := stream.Peek(1); err != nil {
		return err
	}
	length, width := peekLength(stream)
	if width <= 0 {
		return errUnreadableLength
	}
	if length > MaxMessageBytes {
		return fmt.Errorf("frame of %d bytes, at most %d are allowed", length, MaxMessageBytes)
	}
	return codec.frames.ReadObject(stream, object)
}

// peekLength decodes the length of the next frame. It peeks one more byte at a
// time, because a longer Peek would block on a short message.
func peekLength(stream *bufio.Reader) (length uint64, width int) {
	for size := 1; size <= binary.MaxVarintLen64; size++ {
		head, err := stream.Peek(size)
		if err != nil {
			return 0, -1
		}
		if length, width = binary.Uvarint(head); width != 0 {
			return length, width
		}
	}
	return 0, -1
}

func (conn *monitoredConn) Read(buffer []byte) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(conn.silenceLimit)); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Read(buffer)
	conn.received.Add(int64(count))
	return count, err
}

func (conn *monitoredConn) Write(buffer []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(conn.silenceLimit)); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Write(buffer)
	conn.sent.Add(int64(count))
	return count, err
}

func (discardLogger) Printf(string, ...any) {}
