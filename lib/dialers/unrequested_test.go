package dialers

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

// serveTwice answers each request with its path, and once more after the delay. It returns
// its address, and a channel that gets a value after each second copy.
func serveTwice(t *testing.T, delay time.Duration) (address string, copied chan struct{}) {
	copied = make(chan struct{}, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				for reader := bufio.NewReader(conn); ; {
					received, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(received.URL.Path), received.URL.Path)
					_, _ = conn.Write([]byte(answer))
					time.AfterFunc(delay, func() {
						_, _ = conn.Write([]byte(answer))
						copied <- struct{}{}
					})
				}
			}()
		}
	}()
	return listener.Addr().String(), copied
}

// Guards against a second copy of an answer that comes late, on a connection that waits to
// be used again, and is taken for the answer to the next request.
func TestSecondCopyOfAnAnswerIsNoAnswer(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		convey.Convey(fmt.Sprintf("Given a server that answers again after %s, each request gets its own answer or none", delay), t, func() {
			address, copied := serveTwice(t, delay)
			client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, Dial: func(address string) (net.Conn, error) {
				conn, err := net.Dial("tcp", address)
				return WithoutUnrequestedBytes(conn), err
			}}
			wrong, unsent := 0, 0
			for i := range 40 {
				path := fmt.Sprintf("/%d", i)
				status, body, err := client.Get(nil, "http://"+address+path)
				if errors.Is(err, ErrUnrequestedBytes) {
					unsent++
					continue
				}
				if err != nil || status != http.StatusOK || string(body) != path {
					wrong++
				}
				<-copied
			}
			convey.So(wrong, convey.ShouldEqual, 0)
			convey.So(unsent, convey.ShouldBeLessThan, 40)
		})
	}
	convey.Convey("Given a server that answers once, connections are used again", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = listener.Close() }()
		opened := 0
		go func() {
			_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
		}()
		client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, Dial: func(address string) (net.Conn, error) {
			opened++
			conn, err := net.Dial("tcp", address)
			return WithoutUnrequestedBytes(conn), err
		}}
		for range 20 {
			_, body, err := client.Get(nil, "http://"+listener.Addr().String()+"/")
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(body), convey.ShouldEqual, "ok")
		}
		convey.So(opened, convey.ShouldEqual, 1)
	})
}
