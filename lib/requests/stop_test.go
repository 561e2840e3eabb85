package requests

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const (
	// busyTime is how long a busy host takes to read what has arrived.
	busyTime = 100 * time.Millisecond
	pauses   = 20
)

// busyListener accepts connections of a host that reads what has arrived busyTime later.
type busyListener struct{ net.Listener }

type busyConn struct{ net.Conn }

func (listener busyListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return busyConn{Conn: conn}, err
}

func (conn busyConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	time.Sleep(busyTime)
	return count, err
}

// Guards against requests that have arrived at a busy host and are cut off without an
// answer, because they are read only after the entry was told to stop.
func TestStoppingServerAnswersWhatHasArrived(t *testing.T) {
	convey.Convey("Given requests that arrive on kept connections just before a busy server stops, each is answered", t, func() {
		lost := 0
		for i := range pauses {
			fleet := startFleet(t, 1)
			ctx, stop := context.WithCancel(t.Context())
			listener := listen(t)
			served := make(chan error, 1)
			go func() { served <- fleet.server.Serve(ctx, busyListener{Listener: listener}) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			convey.So(err, convey.ShouldBeNil)
			reader := bufio.NewReader(conn)
			ask := func() error {
				_, _ = io.WriteString(conn, "POST /v1/deployments/plant/requests HTTP/1.1\r\nHost: desk\r\nContent-Length: 2\r\n\r\n{}")
				response, err := http.ReadResponse(reader, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
				return err
			}
			convey.So(ask(), convey.ShouldBeNil)
			time.Sleep(busyTime)
			time.AfterFunc(time.Duration(i)*busyTime/pauses+time.Millisecond, stop)
			if ask() != nil {
				lost++
			}
			_ = conn.Close()
			convey.So(<-served, convey.ShouldBeNil)
			fleet.stop()
		}
		convey.So(lost, convey.ShouldEqual, 0)
	})
}

// Guards against requests that were cut off without an answer because the entry stopped
// while they arrived, on a connection that had carried others before.
func TestStoppingServerAnswersWhatIsArriving(t *testing.T) {
	convey.Convey("Given a kept connection with the first half of a request when the server stops", t, func() {
		fleet := startFleet(t, 1)
		conn, err := net.Dial("tcp", strings.TrimPrefix(fleet.url, "http://"))
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		head := fmt.Sprintf("POST /v1/deployments/plant/requests HTTP/1.1\r\nHost: %s\r\n", strings.TrimPrefix(fleet.url, "http://"))
		const rest = "Content-Length: 2\r\n\r\n{}"
		_, _ = io.WriteString(conn, head+rest)
		first, err := http.ReadResponse(reader, nil)
		convey.So(err, convey.ShouldBeNil)
		_, _ = io.Copy(io.Discard, first.Body)
		_, _ = io.WriteString(conn, head)
		time.Sleep(20 * time.Millisecond)
		fleet.stop()
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(conn, rest)
		second, err := http.ReadResponse(reader, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(second.StatusCode, convey.ShouldBeIn, first.StatusCode, http.StatusServiceUnavailable)
		_, _ = io.Copy(io.Discard, second.Body)
		convey.So(<-fleet.serveResult, convey.ShouldBeNil)
	})
}
