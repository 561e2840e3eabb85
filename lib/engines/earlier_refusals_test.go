package engines

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const earlierRefusal = "HTTP/1.1 503 X\r\nContent-Type: application/json\r\nContent-Length: 21\r\n\r\n{\"code\":\"overloaded\"}"

// never as the delay of an earlier refusal means that none is written.
const never = -1

// refusingServer runs each request and, delay after its answer, writes an earlier refusal
// once more. refused gets a value after each answer and its refusal.
type refusingServer struct {
	address string
	delay   time.Duration
	opened  atomic.Int64
	refused chan struct{}
}

func newRefusingServer(t *testing.T, delay time.Duration) *refusingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &refusingServer{address: listener.Addr().String(), delay: delay, refused: make(chan struct{}, 1)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.opened.Add(1)
			go server.serve(conn)
		}
	}()
	return server
}

func (server *refusingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, received.Body)
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		if server.delay == 0 {
			answer += earlierRefusal
		}
		_, _ = conn.Write([]byte(answer))
		if server.delay > 0 {
			time.Sleep(server.delay)
			_, _ = conn.Write([]byte(earlierRefusal))
		}
		server.refused <- struct{}{}
	}
}

// countFailures sends 20 calls, one after another, and returns how many failed.
func (server *refusingServer) countFailures(isAtMostOnce bool) int {
	client := New(Options{Address: server.address})
	defer client.Close()
	failed := 0
	for i := range 20 {
		_, err := client.Call(context.Background(), Call{RequestID: strconv.Itoa(i), Call: "lot", AtMostOnce: isAtMostOnce})
		if err != nil {
			failed++
		}
		<-server.refused
	}
	return failed
}

// Guards against an earlier refusal that waits on an idle connection and is taken for the
// answer to the next request, which would count as not run although it ran.
func TestEarlierRefusalsAreNotBelieved(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for _, isAtMostOnce := range []bool{false, true} {
			convey.Convey(fmt.Sprintf("Given a backend server that refuses again after %s, each call gets its own answer, at most once %t", delay, isAtMostOnce), t, func() {
				convey.So(newRefusingServer(t, delay).countFailures(isAtMostOnce), convey.ShouldEqual, 0)
			})
		}
	}
	convey.Convey("Given a backend server that refuses nothing, its connection is used again", t, func() {
		server := newRefusingServer(t, never)
		convey.So(server.countFailures(false), convey.ShouldEqual, 0)
		convey.So(server.opened.Load(), convey.ShouldEqual, 1)
	})
}
