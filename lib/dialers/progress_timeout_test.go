package dialers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

// Guards against an entry that never receives a large configuration over a link
// that other traffic fills. Each answer took longer than the timeout for a
// silent store, was aborted and started again, for 7.9 s.
func TestProgressTimeoutAllowsSlowAnswers(t *testing.T) {
	const (
		silenceLimit = 150 * time.Millisecond
		transferTime = 2 * time.Second
		parts        = 10
		pause        = 50 * time.Millisecond
	)
	requestTwice := func(serve func(conn net.Conn)) (time.Duration, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					reader := bufio.NewReader(conn)
					for {
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						serve(conn)
					}
				}()
			}
		}()
		client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, Dial: func(address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			return WithProgressTimeout(conn, transferTime, silenceLimit), err
		}}
		started := time.Now()
		for range 2 {
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			request.SetRequestURI("http://" + listener.Addr().String() + "/")
			if err = client.DoDeadline(request, response, time.Now().Add(silenceLimit+transferTime)); err != nil {
				break
			}
		}
		return time.Since(started), err
	}
	writeHeader := func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
	}
	convey.Convey("Given a server whose answers arrive slowly, the requests succeed", t, func() {
		_, err := requestTwice(func(conn net.Conn) {
			writeHeader(conn)
			for range parts {
				time.Sleep(pause)
				_, _ = io.WriteString(conn, "x")
			}
		})
		convey.So(err, convey.ShouldBeNil)
	})
	convey.Convey("Given a server that is silent, the request fails early", t, func() {
		elapsed, err := requestTwice(func(net.Conn) {})
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(elapsed, convey.ShouldBeLessThan, transferTime)
	})
	convey.Convey("Given a server that falls silent in the middle of an answer, the request fails early", t, func() {
		elapsed, err := requestTwice(func(conn net.Conn) { writeHeader(conn); _, _ = io.WriteString(conn, "xx") })
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(elapsed, convey.ShouldBeLessThan, transferTime)
	})
}
