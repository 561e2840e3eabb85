package engines

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

const (
	// agentMemoryBytes is the smallest memory of an agent's host.
	agentMemoryBytes = 152_000_000
	concurrentCalls  = 16
	headOfAnswer     = "HTTP/1.1 200 OK\r\n"
)

// startEndlessServer starts a server that answers each request with the text, followed by
// bytes without end.
func startEndlessServer(t *testing.T, text string) *Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	filler := bytes.Repeat([]byte("x"), 64<<10)
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err := conn.Write([]byte(text))
		for err == nil {
			_, err = conn.Write(filler)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	client := New(Options{Address: listener.Addr().String()})
	t.Cleanup(func() {
		client.Close()
		_ = listener.Close()
	})
	return client
}

// peakMemory returns the most memory that the process has from the system for its heap and
// stacks while the function runs.
func peakMemory(run func()) int64 {
	debug.FreeOSMemory()
	done, peak := make(chan struct{}), make(chan int64)
	go func() {
		for largest := int64(0); ; {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			largest = max(largest, int64(stats.Sys-stats.HeapReleased))
			select {
			case <-done:
				peak <- largest
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	run()
	close(done)
	return <-peak
}

// isTooLong reports whether an answer failed because a part of it exceeds a bound.
func isTooLong(err error) bool {
	var head *fasthttp.ErrSmallBuffer
	return errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.Is(err, errLineTooLong) || errors.As(err, &head)
}

// Guards against answers of a backend server that are too long or do not end and are taken
// for complete ones or fill the memory, and against a connection that is used again after
// such an answer.
func TestEndlessAnswersAreErrors(t *testing.T) {
	calls := map[string]func(client *Client) error{
		"status":  func(client *Client) error { _, err := client.status(context.Background(), false); return err },
		"command": func(client *Client) error { return client.Cancel(context.Background(), "r") },
		"call": func(client *Client) error {
			_, err := client.Call(context.Background(), Call{RequestID: "r", Call: "lot"})
			return err
		},
		"generation": func(client *Client) error {
			_, err := client.Generate(context.Background(), Generation{RequestID: "r", MaxTokens: 4}, func(Token) {})
			return err
		},
	}
	for name, call := range calls {
		for kind, text := range map[string]string{
			"a body without end":                headOfAnswer + "\r\n",
			"a body of 1 GB":                    headOfAnswer + "Content-Length: 1000000000\r\n\r\n",
			"a chunk of 1 GB":                   headOfAnswer + "Transfer-Encoding: chunked\r\n\r\n3b9aca00\r\n",
			"a header without end":              headOfAnswer + "Detail: ",
			"an informational head without end": "HTTP/1.1 103 Early Hints\r\nDetail: ",
		} {
			convey.Convey(fmt.Sprintf("Given a backend server that answers a %s with %s", name, kind), t, func() {
				client := startEndlessServer(t, text)
				peak := peakMemory(func() {
					var group sync.WaitGroup
					for range concurrentCalls {
						group.Go(func() {
							if err := call(client); !isTooLong(err) || !MayHaveRun(err) {
								t.Errorf("%s with %s: %v", name, kind, err)
							}
						})
					}
					group.Wait()
				})
				t.Logf("%s with %s: peak of %d MB", name, kind, peak/1_000_000)
				convey.So(peak, convey.ShouldBeLessThan, agentMemoryBytes)
				convey.So(client.pool.idle, convey.ShouldBeEmpty)
			})
		}
	}
}

// Guards against a stream without end whose tokens have no text, so that no bound on the
// length of the text ends it.
func TestTokensBeyondTheRequestedOnesAreErrors(t *testing.T) {
	convey.Convey("Given a backend server that streams more tokens than were requested", t, func() {
		var text strings.Builder
		text.WriteString(headOfAnswer + "\r\n")
		for sequence := 3; sequence < 10_000; sequence++ {
			fmt.Fprintf(&text, "{\"seq\":%d,\"token\":\"\"}\n", sequence)
		}
		client := startEndlessServer(t, text.String())
		delivered := 0
		_, err := client.Generate(context.Background(), Generation{RequestID: "r", MaxTokens: 6, ResumeFrom: 2}, func(Token) { delivered++ })
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(MayHaveRun(err), convey.ShouldBeTrue)
		convey.So(delivered, convey.ShouldEqual, 4)
		convey.So(client.pool.idle, convey.ShouldBeEmpty)
	})
}
