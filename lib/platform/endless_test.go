package platform

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"firford/lib/endless"
)

const (
	// agentMemoryBytes is what an agent may take without its chunks.
	agentMemoryBytes = 256_000_000
	// concurrentReads is how many chunks an agent reads from the origin at the same time.
	concurrentReads = 4
	chunkBytes      = 4 << 20
)

// Guards against bytes of a store or an origin that are no answer and do not end, in a head
// or in a body, and that a process keeps, takes for an answer, or reads until the call times
// out.
func TestBytesWithoutEndAreErrors(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for name, each := range map[string]struct {
		concurrent int
		call       func(client *Client) error
	}{
		"read":        {1, func(client *Client) error { _, err := client.Read(ctx, "a"); return err }},
		"scan":        {1, func(client *Client) error { _, err := client.Scan(ctx, "a", 0); return err }},
		"list":        {1, func(client *Client) error { _, err := client.List(ctx); return err }},
		"object":      {1, func(client *Client) error { _, err := client.Get(ctx, "a"); return err }},
		"save object": {1, func(client *Client) error { return unknownOutcome(t, client.Put(ctx, "a", []byte("b"))) }},
		"chunk": {concurrentReads, func(client *Client) error {
			_, err := client.Weights().ReadRange(ctx, "a", 0, chunkBytes)
			return err
		}},
		"transaction": {1, func(client *Client) error {
			_, err := client.Transact(ctx, nil, []Write{{Key: "a"}})
			return unknownOutcome(t, err)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			endless.Check(t, each.concurrent, agentMemoryBytes, func(address string) func() error {
				client := New(address, "token")
				return func() error { return each.call(client) }
			})
		})
	}
}

// Guards against a chunk that stops coming within its body, on a connection that stays open,
// and that a process waits for without end or takes for a complete one.
func TestStalledChunkIsAnError(t *testing.T) {
	const (
		timeout = 300 * time.Millisecond
		text    = "HTTP/1.1 206 Partial Content\r\nContent-Length: 10\r\n\r\nhalf"
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	began := time.Now()
	_, err = New(listener.Addr().String(), "token").Weights().ReadRange(ctx, "a", 0, 10)
	if took := time.Since(began); err == nil || took > 3*timeout {
		t.Errorf("%v after %s", err, took)
	}
}
