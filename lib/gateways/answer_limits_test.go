package gateways

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"firford/lib/endless"
	"firford/lib/memory"
	"firford/lib/routes"
)

const (
	// entryMemoryBytes is the memory of the smallest hosts of entries, those of the grown
	// deployments. The others have 284 MB.
	entryMemoryBytes = 184_000_000
	// concurrentAnswers is how many faulty answers arrive at the same time, about as many
	// as an entry has requests.
	concurrentAnswers = 300
	// declaredBytes is the length of an answer that no server of the platform sends.
	declaredBytes = 20 << 20
)

var (
	filler       = bytes.Repeat([]byte("x"), 64<<10)
	shortHeaders = encodeShortHeaders()
)

// encodeShortHeaders returns different headers without values, which take the most memory
// by their length.
func encodeShortHeaders() []byte {
	var lines []byte
	for number := range 30_000 {
		lines = append(strconv.AppendInt(lines, int64(number), 36), ":\r\n"...)
	}
	return lines
}

// writeFiller writes count bytes, or bytes without end if count is negative. It returns
// when the gateway has closed the connection.
func writeFiller(conn net.Conn, count int) {
	for count != 0 {
		size := len(filler)
		if count > 0 {
			size = min(size, count)
			count -= size
		}
		if _, err := conn.Write(filler[:size]); err != nil {
			return
		}
	}
}

// awaitClose blocks until the gateway closes the connection.
func awaitClose(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }

func writeHead(conn net.Conn, id, header string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n%s\r\n", id, header)
}

// oversizedAnswers are the answers of faulty servers that are too long or do not end.
var oversizedAnswers = map[string]script{
	"a body of 20 MiB": func(conn net.Conn, received *http.Request) bool {
		writeHead(conn, received.Header.Get("Id"), fmt.Sprintf("Content-Length: %d\r\n", declaredBytes))
		writeFiller(conn, declaredBytes)
		return true
	},
	"a body without length or end": func(conn net.Conn, received *http.Request) bool {
		writeHead(conn, received.Header.Get("Id"), "")
		writeFiller(conn, -1)
		return false
	},
	"chunks without end": func(conn net.Conn, received *http.Request) bool {
		writeHead(conn, received.Header.Get("Id"), "Transfer-Encoding: chunked\r\n")
		for err := error(nil); err == nil; {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(filler), filler)
		}
		return false
	},
	"a status line without end": func(conn net.Conn, _ *http.Request) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 ")
		writeFiller(conn, -1)
		return false
	},
	"a header without end": func(conn net.Conn, received *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nDetail: ", received.Header.Get("Id"))
		writeFiller(conn, -1)
		return false
	},
	"headers without end": func(conn net.Conn, received *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n", received.Header.Get("Id"))
		for number, err := 0, error(nil); err == nil; number++ {
			_, err = fmt.Fprintf(conn, "Detail-%d: x\r\n", number)
		}
		return false
	},
	"an informational head of 1 MiB": func(conn net.Conn, received *http.Request) bool {
		fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\nDetail: ")
		writeFiller(conn, 1<<20)
		fmt.Fprint(conn, "\r\n\r\n")
		writeAnswer(conn, http.StatusOK, received.Header.Get("Id"), signedHeader, "late")
		return false
	},
	"a body of 20 MiB to an earlier request": func(conn net.Conn, received *http.Request) bool {
		writeHead(conn, "r-0", fmt.Sprintf("Content-Length: %d\r\n", declaredBytes))
		// The bytes after the first 16 MiB look like the answer to this request.
		writeFiller(conn, 16<<20)
		for err := error(nil); err == nil; {
			writeAnswer(conn, http.StatusOK, received.Header.Get("Id"), signedHeader, "forged")
			_, err = conn.Write([]byte("\r\n"))
		}
		return false
	},
}

// Guards against an answer that is too long or does not end and reaches the caller as a
// complete one, and against a connection that is used again after it.
func TestOversizedAnswersAreFailures(t *testing.T) {
	for name, script := range oversizedAnswers {
		convey.Convey("Given a server that sends "+name, t, func() {
			convey.Convey("Then a request that may run once fails, and its connection is closed", func() {
				server := newScriptedServer(t, script)
				fixture := newGatewayFixture(t, 1, server)
				status, _, body, err := fixture.post(t, "/once/", "")
				convey.So(err, convey.ShouldBeNil)
				convey.So(status, convey.ShouldEqual, http.StatusBadGateway)
				convey.So(len(body), convey.ShouldBeLessThan, 1000)
				convey.So(len(server.requests()), convey.ShouldEqual, 1)
				convey.So(fixture.gateway.pool.idle["0"], convey.ShouldBeEmpty)
			})
			convey.Convey("Then a repeatable request is answered by another server", func() {
				good := newScriptedServer(t, answer(http.StatusOK, signedHeader, "slip"))
				fixture := newGatewayFixture(t, 1, newScriptedServer(t, script), good)
				for range 4 {
					status, _, body, err := fixture.post(t, "/again/", "")
					convey.So(err, convey.ShouldBeNil)
					convey.So(status, convey.ShouldEqual, http.StatusOK)
					convey.So(body == "slip", convey.ShouldBeTrue)
				}
			})
		})
	}
}

// Guards against a bound that fails answers which are large but complete.
func TestLargeAnswersAreRelayed(t *testing.T) {
	convey.Convey("Given answers with many headers, after informational ones, and with bodies of almost 16 MiB", t, func() {
		text := strings.Repeat("fibre bale ", (16<<20)/11)
		headers := signedHeader
		for i := range 40 {
			headers += fmt.Sprintf("Detail-%d: %s\r\n", i, strings.Repeat("d", 150))
		}
		server := newScriptedServer(t, func(conn net.Conn, received *http.Request) bool {
			fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\nDetail: soon\r\n\r\n")
			writeAnswer(conn, http.StatusOK, "r-0", signedHeader, text[:1<<20])
			writeAnswer(conn, http.StatusOK, received.Header.Get("Id"), headers, text)
			return true
		})
		fixture := newGatewayFixture(t, 1, server)
		for range 4 {
			status, header, body, err := fixture.post(t, "/once/", "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.So(len(header), convey.ShouldBeGreaterThan, 40)
			convey.So(body == text, convey.ShouldBeTrue)
		}
	})
}

// Guards against a long answer that is reported without the reason for its failure.
func TestOversizedAnswersAreLogged(t *testing.T) {
	for name, want := range map[string]string{"a body of 20 MiB": "body", "headers without end": "head"} {
		convey.Convey("Given a server that sends "+name, t, func() {
			core, logs := observer.New(zapcore.InfoLevel)
			fixture := newGatewayFixture(t, 1, newScriptedServer(t, oversizedAnswers[name]))
			fixture.gateway.Logger = zap.New(core)
			_, _, _, err := fixture.post(t, "/once/", "")
			convey.So(err, convey.ShouldBeNil)
			lines := logs.FilterMessage(eventAnswerLost).All()
			convey.So(lines, convey.ShouldHaveLength, 1)
			convey.So(fmt.Sprint(lines[0].ContextMap()["error"]), convey.ShouldContainSubstring, want+" of the answer exceeds")
		})
	}
}

// Guards against an entry that exceeds the memory of its host when many connections at
// the same time get bytes that do not end. A part of the bytes comes fast; the rest never
// comes, so that the memory is held until the deadline.
func TestMemoryOfConcurrentAnswersIsBounded(t *testing.T) {
	const heldBytes = 2 << 20
	defer memory.Limit(entryMemoryBytes)() // As the program does.
	for name, each := range map[string]struct {
		path  string
		write func(conn net.Conn, id string)
	}{
		"bodies that stop after 2 MiB": {"/once/", func(conn net.Conn, id string) {
			writeHead(conn, id, "Content-Length: 9000000\r\n")
			writeFiller(conn, heldBytes)
		}},
		"heads that stop after 2 MiB": {"/once/", func(conn net.Conn, id string) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nDetail: ", id)
			writeFiller(conn, heldBytes)
		}},
		"heads with many short headers": {"/once/", func(conn net.Conn, id string) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n", id)
			_, _ = conn.Write(shortHeaders)
		}},
		"heads of 7 KiB with many short headers, and bodies that stop after 1 MiB": {"/once/", func(conn net.Conn, id string) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Length: 9000000\r\n", id)
			end := bytes.LastIndexByte(shortHeaders[:7<<10], '\n') + 1
			_, _ = conn.Write(append(shortHeaders[:end:end], "\r\n"...))
			writeFiller(conn, 1<<20)
		}},
		"events that stop after 900 KiB": {"/events/", func(conn net.Conn, id string) {
			writeHead(conn, id, "Content-Length: 9000000\r\n")
			fmt.Fprint(conn, "data: ")
			writeFiller(conn, 900<<10)
		}},
		"bodies of 15 MiB": {"/again/", func(conn net.Conn, id string) {
			writeHead(conn, id, fmt.Sprintf("Content-Length: %d\r\n", 15<<20))
			writeFiller(conn, 15<<20)
		}},
	} {
		convey.Convey("Given 300 connections that get "+name, t, func() {
			var arrived sync.WaitGroup
			arrived.Add(concurrentAnswers)
			server := newScriptedServer(t, func(conn net.Conn, received *http.Request) bool {
				arrived.Done()
				arrived.Wait()
				each.write(conn, received.Header.Get("Id"))
				awaitClose(conn)
				return false
			})
			fixture := newGatewayFixture(t, concurrentAnswers, server)
			patient := configuration()
			for i := range patient.Routes {
				patient.Routes[i].FirstEventTarget = patient.Routes[i].Timeout
			}
			table := routes.New(patient)
			fixture.gateway.Table = func() routes.Table { return table }
			var group sync.WaitGroup
			peak := endless.PeakMemory(func() {
				for i := range concurrentAnswers {
					group.Go(func() { fixture.postDiscarding(each.path, "r-"+strconv.Itoa(i)) })
				}
				group.Wait()
			})
			t.Logf("%s: peak of %d MB", name, peak/1_000_000)
			convey.So(len(server.requests()), convey.ShouldEqual, concurrentAnswers)
			convey.So(peak, convey.ShouldBeLessThan, entryMemoryBytes)
			for began := time.Now(); fixture.gateway.InFlight() > 0 && time.Since(began) < 5*time.Second; {
				time.Sleep(time.Millisecond)
			}
			convey.So(fixture.gateway.InFlight(), convey.ShouldEqual, 0)
		})
	}
}

// postDiscarding sends a request and discards the answer without keeping it in memory.
func (fixture *gatewayFixture) postDiscarding(path, id string) {
	conn, err := net.Dial("tcp", fixture.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\nId: %s\r\nKey: key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, id)
	for buffer := make([]byte, 4<<10); err == nil; {
		_, err = conn.Read(buffer)
	}
}
