package gateways

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// paced returns a script that streams events one to count with a pause before each, and
// completes the stream.
func paced(count int, pause time.Duration) script {
	return func(conn net.Conn, received *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", received.Header.Get("Id"))
		for i := 1; i <= count; i++ {
			time.Sleep(pause)
			writeChunk(conn, event(i))
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
}

// trickle streams one event, unless the caller has it, and then a byte of the next one at a
// time, without an end.
func trickle(conn net.Conn, received *http.Request) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", received.Header.Get("Id"))
	if received.Header.Get("After") == "" {
		writeChunk(conn, event(1))
	}
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
		if _, err := fmt.Fprint(conn, "1\r\n:\r\n"); err != nil {
			break
		}
	}
	return false
}

// Guards against slow but sound streams that are cut because each pause is nearly as long
// as a caller bears.
func TestSlowSoundStreamsStayWhole(t *testing.T) {
	convey.Convey("Given a stream with pauses of nine tenths of the longest one, it ends whole and is sent to one server", t, func() {
		const events = 15
		server, other := newScriptedServer(t, paced(events, 90*time.Millisecond)), newScriptedServer(t, paced(events, 90*time.Millisecond))
		fixture := newGatewayFixture(t, 1, server, other)
		status, _, body, err := fixture.post(t, "/events/x", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(strings.Count(body, "data:"), convey.ShouldEqual, events)
		convey.So(len(server.requests())+len(other.requests()), convey.ShouldEqual, 1)
	})
}

// Guards against stalled streams that never end because a byte comes now and then, and
// against such a stream that looks complete.
func TestTricklingStreamsEndByTheirDeadline(t *testing.T) {
	convey.Convey("Given servers that send a byte in each pause and never an event, the stream ends by the route's timeout, and not as complete", t, func() {
		fixture := newGatewayFixture(t, 1, newScriptedServer(t, trickle), newScriptedServer(t, trickle))
		began := time.Now()
		_, _, body, err := fixture.post(t, "/events/x", "")
		convey.So(time.Since(began), convey.ShouldBeLessThan, 2*time.Second+500*time.Millisecond)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(strings.Count(body, "data:"), convey.ShouldEqual, 1)
	})
}
