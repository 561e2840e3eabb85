package gateways

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// silence is longer than the longest gap after which the fixture's routes may send a
// stream on to another server, and shorter than the time after which callers leave.
const silence = 900 * time.Millisecond

// streamWithSilence writes the events after the caller's last one up to but without the
// event with the number end. Before the event with the number silentAt it is silent.
func streamWithSilence(silentAt, end int) script {
	return func(conn net.Conn, received *http.Request) bool {
		first, _ := strconv.Atoi(received.Header.Get("After"))
		if silentAt == 0 {
			time.Sleep(silence)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", received.Header.Get("Id"))
		for i := first + 1; i < end; i++ {
			if i == silentAt {
				time.Sleep(silence)
			}
			writeChunk(conn, event(i))
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
}

// Guards against a request that ends without its answer because its server was silent
// for a while, although no other server could take it over.
func TestSilenceOfSoundServerDoesNotEndAnswer(t *testing.T) {
	const events = 8
	expectWhole := func(path string, servers ...*scriptedServer) {
		fixture := newGatewayFixture(t, 1, servers...)
		status, _, body, err := fixture.post(t, path, "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(body, convey.ShouldEqual, completeStream(events))
	}
	for _, silentAt := range []int{0, 1, 4} {
		when := fmt.Sprintf("a server that is silent before event %d", silentAt)
		convey.Convey("Given "+when+" and a stream that may run once", t, func() {
			expectWhole("/events-once/", newScriptedServer(t, streamWithSilence(silentAt, events)), newScriptedServer(t, streamUntil(events, true)))
		})
		convey.Convey("Given "+when+" and no other server", t, func() {
			expectWhole("/events/", newScriptedServer(t, streamWithSilence(silentAt, events)))
		})
		convey.Convey("Given "+when+" and servers that turn requests away", t, func() {
			silent := newScriptedServer(t, streamWithSilence(silentAt, events))
			full := newScriptedServer(t, answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", ""))
			expectWhole("/events-thrice/", silent, full)
		})
		convey.Convey("Given "+when+" and one that can't be reached", t, func() {
			expectWhole("/events/", newScriptedServer(t, streamWithSilence(silentAt, events)), &scriptedServer{address: "127.0.0.1:1"})
		})
		convey.Convey("Given "+when+" and one that breaks off", t, func() {
			expectWhole("/events-thrice/", newScriptedServer(t, streamWithSilence(silentAt, events)), newScriptedServer(t, closeWithoutAnswer))
		})
		convey.Convey("Given two servers of which each is silent before event "+strconv.Itoa(silentAt), t, func() {
			expectWhole("/events/", newScriptedServer(t, streamWithSilence(silentAt, events)), newScriptedServer(t, streamWithSilence(silentAt, events)))
		})
	}
	convey.Convey("Given a silent server, a request without a stream and no other server", t, func() {
		server := newScriptedServer(t, func(conn net.Conn, received *http.Request) bool {
			time.Sleep(1700 * time.Millisecond) // Most of the route's timeout of 2 s.
			return answer(http.StatusOK, signedHeader, "slip")(conn, received)
		})
		status, _, body, err := newGatewayFixture(t, 1, server).post(t, "/again/", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(body, convey.ShouldEqual, "slip")
	})
}

// Guards against callers that wait for a server which has died without closing its
// connections, although another one could take their streams over.
func TestStreamOfSilentServerIsTakenOver(t *testing.T) {
	const events = 8
	convey.Convey("Given a server that falls silent for good and one that is sound", t, func() {
		for _, sent := range []int{0, 3} {
			dead := newScriptedServer(t, func(conn net.Conn, received *http.Request) bool {
				if sent > 0 {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", received.Header.Get("Id"))
				}
				for i := 1; i <= sent; i++ {
					writeChunk(conn, event(i))
				}
				return hang(conn, received)
			})
			fixture := newGatewayFixture(t, 1, dead, newScriptedServer(t, streamUntil(events, true)))
			for range 4 {
				began := time.Now()
				_, _, body, err := fixture.post(t, "/events/", "")
				convey.So(err, convey.ShouldBeNil)
				convey.So(body, convey.ShouldEqual, completeStream(events))
				// The caller gives up after 2 s without an event.
				convey.So(time.Since(began), convey.ShouldBeLessThan, abandonTime)
			}
		}
	})
}
