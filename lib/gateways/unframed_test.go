package gateways

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// unframedAnswer answers with neither a length nor chunks. The answer ends with the
// connection, which is reset if isReset is set.
func unframedAnswer(isReset bool, text func(received *http.Request) string) script {
	return func(conn net.Conn, received *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n\r\n%s", received.Header.Get("Id"), text(received))
		if isReset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// unframedStream answers with the events after the caller's last one up to but without
// the event with the number end, and the rest.
func unframedStream(isReset bool, end int, rest string) script {
	return unframedAnswer(isReset, func(received *http.Request) string {
		first, _ := strconv.Atoi(received.Header.Get("After"))
		return completeStream(end)[len(completeStream(first+1)):] + rest
	})
}

// Guards against answers that are cut or repeated because only the end of their
// connection ends them, and against broken ones that look complete.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const events = 6
	convey.Convey("Given a whole stream, the caller gets it once", t, func() {
		server := newScriptedServer(t, unframedStream(false, events, ""))
		_, _, body, err := newGatewayFixture(t, 1, server).post(t, "/events/", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(body, convey.ShouldEqual, completeStream(events))
		convey.So(len(server.requests()), convey.ShouldEqual, 1)
	})
	for name, broken := range map[string]script{
		"ends inside an event": unframedStream(false, 3, event(3)[:4]),
		"is reset":             unframedStream(true, 3, event(3)[:4]),
	} {
		convey.Convey("Given a stream that "+name+", another server goes on", t, func() {
			fixture := newGatewayFixture(t, 1, newScriptedServer(t, broken), newScriptedServer(t, unframedStream(false, events, "")))
			for range 4 {
				_, _, body, err := fixture.post(t, "/events/", "")
				convey.So(err, convey.ShouldBeNil)
				convey.So(body, convey.ShouldEqual, completeStream(events))
			}
		})
		convey.Convey("Given a stream that "+name+" and no other server, it does not look complete", t, func() {
			_, _, _, err := newGatewayFixture(t, 1, newScriptedServer(t, broken)).post(t, "/events-once/", "")
			convey.So(err, convey.ShouldNotBeNil)
		})
	}
	plain := func(*http.Request) string { return "slip" }
	convey.Convey("Given a whole answer, the caller gets it", t, func() {
		status, _, body, err := newGatewayFixture(t, 1, newScriptedServer(t, unframedAnswer(false, plain))).post(t, "/once/", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(body, convey.ShouldEqual, "slip")
	})
	convey.Convey("Given an answer that is reset, the caller gets a failure", t, func() {
		status, _, _, _ := newGatewayFixture(t, 1, newScriptedServer(t, unframedAnswer(true, plain))).post(t, "/once/", "")
		convey.So(status, convey.ShouldEqual, http.StatusBadGateway)
	})
}

// Guards against a stream that breaks off and looks complete to a caller of HTTP/1.0, whose
// answer has neither a length nor chunks.
func TestBrokenStreamsDoNotLookCompleteToOldCallers(t *testing.T) {
	const events = 4
	read := func(t *testing.T, script script) (string, error) {
		conn, err := net.Dial("tcp", newGatewayFixture(t, 1, newScriptedServer(t, script)).address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		fmt.Fprint(conn, "POST /events-once/ HTTP/1.0\r\nHost: desk.example\r\nId: r-1\r\nKey: key\r\nContent-Length: 0\r\n\r\n")
		text, err := io.ReadAll(conn)
		return string(text), err
	}
	convey.Convey("Given a server that completes its stream, the caller gets it", t, func() {
		text, err := read(t, streamUntil(events, true))
		convey.So(err, convey.ShouldBeNil)
		convey.So(text, convey.ShouldEndWith, "\r\n\r\n"+completeStream(events))
	})
	for name, broken := range map[string]script{
		"breaks off in chunks": streamUntil(events, false),
		"is reset":             unframedStream(true, events, ""),
		"ends inside an event": unframedStream(false, events, event(events)[:4]),
	} {
		convey.Convey("Given a stream that "+name+", the caller's connection is reset", t, func() {
			_, err := read(t, broken)
			convey.So(err, convey.ShouldWrap, syscall.ECONNRESET)
		})
	}
}
