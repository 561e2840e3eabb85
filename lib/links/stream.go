package links

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

type (
	// boundedCodec frames each object by its length as jsonrpc2's own varint
	// codec does, and refuses a frame above MaxMessageBytes before reading it.
	boundedCodec struct {
		frames jsonrpc2.VarintObjectCodec
	}

	// countedConn counts bytes and ends a connection on which nothing arrives, or
	// nothing can be sent, for the silence limit.
	countedConn struct {
		net.Conn
		silence  time.Duration
		received atomic.Int64
		sent     atomic.Int64
	}

	// silentLogger drops jsonrpc2's own lines: the owner of a link logs its end.
	silentLogger struct{}
)

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
	if width <= 0 || length > MaxMessageBytes {
		return fmt.Errorf("frame of %d bytes, at most %d are allowed", length, MaxMessageBytes)
	}
	return codec.frames.ReadObject(stream, object)
}

// peekLength reads as few bytes as the length needs, because Peek would wait
// for bytes that a short message never sends.
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

func (conn *countedConn) Read(buffer []byte) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(conn.silence)); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Read(buffer)
	conn.received.Add(int64(count))
	return count, err
}

func (conn *countedConn) Write(buffer []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(conn.silence)); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Write(buffer)
	conn.sent.Add(int64(count))
	return count, err
}

func (silentLogger) Printf(string, ...any) {}
