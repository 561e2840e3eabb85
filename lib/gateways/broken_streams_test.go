package gateways

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

const (
	// brokenEvent is the number of the event at which the first stream breaks off, and
	// lastEvent the number of the last event of a whole stream.
	brokenEvent, lastEvent = 4, 7

	eventsHeader  = signedHeader + "Content-Type: text/event-stream\r\n"
	chunkedHeader = "Transfer-Encoding: chunked\r\n"
	lastChunk     = "0\r\n\r\n"
	// shortTimeout is what is left for requests whose servers send nothing more.
	shortTimeout = "Left: 700\r\n"
	// shutdownAfter is when an entry begins to stop, and how long it takes.
	shutdownAfter = 200 * time.Millisecond
)

// namedScript is a script with what it does.
type namedScript struct {
	name   string
	script script
}

// inTurn answers the first request that reaches any of its servers with the first script,
// the next one with the second, and so on. It repeats the last one.
func inTurn(scripts ...script) script {
	var arrived atomic.Int64
	return func(conn net.Conn, received *http.Request) bool {
		turn := int(arrived.Add(1)) - 1
		return scripts[min(turn, len(scripts)-1)](conn, received)
	}
}

// newTurnsFixture has one server for each script, so that each request to a server gets
// the next script, wherever it is sent.
func newTurnsFixture(t *testing.T, scripts ...script) *gatewayFixture {
	var servers []*scriptedServer
	turns := inTurn(scripts...)
	for range scripts {
		servers = append(servers, newScriptedServer(t, turns))
	}
	return newGatewayFixture(t, 1, servers...)
}

// rawAnswer writes the body as it is and closes the connection.
func rawAnswer(status int, header, body string) script {
	return func(conn net.Conn, received *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%s\r\n%s", status, received.Header.Get("Id"), header, body)
		return false
	}
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// rawExchange sends a request with the further header and describes the bytes that the
// caller gets.
func (fixture *gatewayFixture) rawExchange(t *testing.T, path, header string) string {
	conn, err := net.Dial("tcp", fixture.address)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\nId: r-1\r\nKey: key\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", path, header)
	received, _ := io.ReadAll(conn) // The caller gets what came before a reset.
	return describeAnswer(received)
}

// describeAnswer states whether the answer holds the events of the stream and nothing
// else, and whether it looks complete. It quotes any other text.
func describeAnswer(received []byte) string {
	head, body, _ := bytes.Cut(received, []byte("\r\n\r\n"))
	status, _, _ := strings.Cut(string(head), "\r\n")
	if !bytes.Contains(head, []byte("\r\nTransfer-Encoding: chunked")) {
		return fmt.Sprintf("%s and %q", status, body)
	}
	text, end := decodeChunks(string(body))
	if text == completeStream(lastEvent+1) {
		return "the whole stream, " + end
	}
	for number := range lastEvent {
		if text == completeStream(number+1) {
			return "its first events, " + end
		}
	}
	return fmt.Sprintf("other text %q, %s", text, end)
}

// decodeChunks returns the text of the chunks and how they end.
func decodeChunks(body string) (text, end string) {
	for {
		line, rest, found := strings.Cut(body, "\r\n")
		size, err := strconv.ParseInt(line, 16, 32)
		switch {
		case body == "":
			return text, "broken off"
		case body == lastChunk:
			return text, "complete"
		case !found || err != nil || size == 0 || int(size)+2 > len(rest):
			return text, fmt.Sprintf("then %q", body)
		}
		text += rest[:size]
		body = rest[size+2:]
	}
}

// goOn answers with the events after the caller's last one, none if that was the last.
func goOn(conn net.Conn, received *http.Request) bool {
	last, _ := strconv.Atoi(received.Header.Get("After"))
	return answer(http.StatusOK, eventsHeader, restOfStream(last+1))(conn, received)
}

// brokenStreams are answers that break off in different places.
func brokenStreams() []namedScript {
	events, header := chunk(completeStream(brokenEvent)), eventsHeader+chunkedHeader
	half := event(brokenEvent)[:9]
	return []namedScript{
		{"after its head", rawAnswer(http.StatusOK, header, "")},
		{"between two events", rawAnswer(http.StatusOK, header, events)},
		{"inside an event", rawAnswer(http.StatusOK, header, events+chunk(half))},
		{"inside a chunk", rawAnswer(http.StatusOK, header, events+chunk(event(brokenEvent))[:10])},
		{"inside the size of a chunk", rawAnswer(http.StatusOK, header, events+"1")},
		{"before its last chunk", rawAnswer(http.StatusOK, header, chunk(completeStream(lastEvent+1)))},
		{"inside its last chunk", rawAnswer(http.StatusOK, header, chunk(completeStream(lastEvent+1))+"0\r\n")},
		{"before the length that it states", rawAnswer(http.StatusOK, eventsHeader+"Content-Length: 500\r\n", completeStream(brokenEvent))},
		{"inside an event, without a length", rawAnswer(http.StatusOK, eventsHeader, completeStream(brokenEvent)+half)},
	}
}

// Guards against a broken stream that looks complete, that holds more than its events, or
// that another server continues although the route forbids it.
func TestBrokenStreamsInAllPlaces(t *testing.T) {
	convey.Convey("Given streams that break off, and another server that fails or goes on", t, func() {
		var text strings.Builder
		for _, broken := range brokenStreams() {
			fmt.Fprintf(&text, "The first stream breaks off %s.\n", broken.name)
			for _, next := range []namedScript{
				{"the next server fails", answer(http.StatusInternalServerError, signedHeader, "failed\n\n")},
				{"the next server goes on", goOn},
			} {
				for _, path := range []string{"/events/", "/events-once/"} {
					got := newTurnsFixture(t, broken.script, next.script).rawExchange(t, path, "")
					fmt.Fprintf(&text, "  %s, %s: %s\n", path, next.name, got)
				}
			}
		}
		goldie.New(t).Assert(t, "broken_streams", []byte(text.String()))
	})
}

// Guards against a stream that looks complete, or ends with the gateway's own answer,
// because nothing is left that could continue it.
func TestBrokenStreamsThatNobodyContinues(t *testing.T) {
	broken := rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, chunk(completeStream(brokenEvent)))
	sound := streamUntil(lastEvent+1, true)
	const expected = "its first events, broken off"
	convey.Convey("Given no retry that is left", t, func() {
		fixture := newTurnsFixture(t, broken, sound)
		for fixture.queue.takeRetry("desk") {
			continue
		}
		convey.So(fixture.rawExchange(t, "/events/", ""), convey.ShouldEqual, expected)
	})
	convey.Convey("Given no attempt that is left", t, func() {
		fixture := newTurnsFixture(t, streamUntil(2, false), streamUntil(4, false), streamUntil(6, false), sound)
		convey.So(fixture.rawExchange(t, "/events-thrice/", ""), convey.ShouldEqual, expected)
	})
	convey.Convey("Given no other server", t, func() {
		convey.So(newTurnsFixture(t, inTurn(broken, hang)).rawExchange(t, "/events/", shortTimeout), convey.ShouldEqual, expected)
	})
	convey.Convey("Given servers that are full", t, func() {
		full := answer(http.StatusServiceUnavailable, notRunHeader, "full\n\n")
		convey.So(newTurnsFixture(t, broken, full, full).rawExchange(t, "/events-thrice/", shortTimeout), convey.ShouldEqual, expected)
	})
	convey.Convey("Given servers that can't be reached", t, func() {
		servers := []*scriptedServer{newScriptedServer(t, inTurn(broken, hang)), {address: "127.0.0.1:1"}, {address: "127.0.0.1:2"}}
		convey.So(newGatewayFixture(t, 1, servers...).rawExchange(t, "/events/", shortTimeout), convey.ShouldEqual, expected)
	})
	convey.Convey("Given a deadline that passes before another server answers", t, func() {
		convey.So(newTurnsFixture(t, broken, hang).rawExchange(t, "/events/", shortTimeout), convey.ShouldEqual, expected)
	})
	convey.Convey("Given a deadline that passes while the first server is silent", t, func() {
		convey.So(newTurnsFixture(t, silentAfter(brokenEvent-1)).rawExchange(t, "/events-once/", shortTimeout), convey.ShouldEqual, expected)
	})
	convey.Convey("Given an entry that stops while another server is to answer", t, func() {
		fixture := newTurnsFixture(t, broken, hang)
		stopped := time.AfterFunc(shutdownAfter, func() {
			ctx, cancel := context.WithTimeout(context.Background(), shutdownAfter)
			defer cancel()
			_ = fixture.gateway.Shutdown(ctx)
			_ = fixture.gateway.server.Close() // As at the end of the process.
		})
		defer stopped.Stop()
		convey.So(fixture.rawExchange(t, "/events/", ""), convey.ShouldEqual, expected)
	})
}

// Guards against a broken stream that looks complete to a caller of HTTP/1.0, for which
// only the end of the connection ends it.
func TestBrokenStreamOverHTTP10IsReset(t *testing.T) {
	read := func(path string, scripts ...script) (string, error) {
		conn, err := net.Dial("tcp", newTurnsFixture(t, scripts...).address)
		if err != nil {
			return "", err
		}
		defer func() { _ = conn.Close() }()
		fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: desk.example\r\nId: r-1\r\nKey: key\r\nContent-Length: 0\r\n\r\n", path)
		received, err := io.ReadAll(conn)
		_, body, _ := strings.Cut(string(received), "\r\n\r\n")
		return body, err
	}
	convey.Convey("Given a stream that breaks off, its connection is reset", t, func() {
		for _, path := range []string{"/events/", "/events-once/"} {
			_, err := read(path, streamUntil(brokenEvent, false), streamUntil(brokenEvent+1, false))
			convey.So(errors.Is(err, syscall.ECONNRESET), convey.ShouldBeTrue)
		}
	})
	convey.Convey("Given a stream that another server completes, it ends with its connection", t, func() {
		body, err := read("/events/", streamUntil(brokenEvent, false), streamUntil(lastEvent+1, true))
		convey.So(err, convey.ShouldBeNil)
		convey.So(body, convey.ShouldEqual, completeStream(lastEvent+1))
	})
}
