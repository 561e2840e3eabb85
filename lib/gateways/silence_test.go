package gateways

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/placements"
	"firford/lib/routes"
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

// silentAfter writes so many events and then nothing more.
func silentAfter(sent int) script {
	return func(conn net.Conn, received *http.Request) bool {
		if sent > 0 {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", received.Header.Get("Id"))
		}
		for i := 1; i <= sent; i++ {
			writeChunk(conn, event(i))
		}
		return hang(conn, received)
	}
}

// setRoutes changes all routes of the fixture's configuration.
func (fixture *gatewayFixture) setRoutes(change func(*routes.Route)) {
	next := configuration()
	for i := range next.Routes {
		change(&next.Routes[i])
	}
	table := routes.New(next)
	fixture.gateway.Table = func() routes.Table { return table }
}

// Guards against callers that wait for a server which has died without closing its
// connections, although another one could take their streams over.
func TestStreamOfSilentServerIsTakenOver(t *testing.T) {
	const events = 8
	convey.Convey("Given a server that falls silent for good and one that is sound", t, func() {
		for _, sent := range []int{0, 3} {
			fixture := newGatewayFixture(t, 1, newScriptedServer(t, silentAfter(sent)), newScriptedServer(t, streamUntil(events, true)))
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

// Guards against a stream that stays with a dead server because other requests take each
// place that becomes free at the sound one. Its caller gives up, and a server that goes on
// later runs it for nobody.
func TestStreamOfSilentServerIsTakenOverUnderLoad(t *testing.T) {
	for _, sent := range []int{0, 3} {
		convey.Convey(fmt.Sprintf("Given a server that falls silent after %d events and a sound one that is full", sent), t, func() {
			expectTakeoverUnderLoad(t, sent)
		})
	}
}

func expectTakeoverUnderLoad(t *testing.T, sent int) {
	const events, callers, workTime = 8, 24, 50 * time.Millisecond
	begun := make(chan struct{}, 1)
	unlessLoad := func(stream script) script {
		return func(conn net.Conn, received *http.Request) bool {
			if received.Header.Get("Load") == "" {
				return stream(conn, received)
			}
			time.Sleep(workTime)
			return answer(http.StatusOK, signedHeader, "slip")(conn, received)
		}
	}
	dead := newScriptedServer(t, unlessLoad(func(conn net.Conn, received *http.Request) bool {
		begun <- struct{}{}
		return silentAfter(sent)(conn, received)
	}))
	fixture := newGatewayFixture(t, 1, dead, newScriptedServer(t, unlessLoad(streamUntil(events, true))))
	fixture.setRoutes(func(route *routes.Route) { route.EventGap, route.Timeout = 200*time.Millisecond, 4*time.Second })
	// Makes the gateway prefer the server that will be silent.
	fixture.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) { fleet.RecordStart("1", 0, now) })
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		<-begun
		fixture.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) { fleet.RecordEnd("1", placements.Answered, now) })
		for range callers {
			group.Go(func() {
				for ctx.Err() == nil {
					_, _, _, _ = fixture.post(t, "/again/", "", "Load", "yes")
				}
			})
		}
	})
	began := time.Now()
	_, _, body, err := fixture.post(t, "/events/", "")
	elapsed := time.Since(began)
	cancel()
	group.Wait()
	convey.So(err, convey.ShouldBeNil)
	convey.So(body, convey.ShouldEqual, completeStream(events))
	convey.So(elapsed, convey.ShouldBeLessThan, abandonTime)
}

// Guards against silence in a stream that is noticed only after the time that a stream
// may take to begin.
func TestSilenceCountsFromLastEvent(t *testing.T) {
	const events, gap = 8, 100 * time.Millisecond
	convey.Convey("Given a route with a late target and short gaps", t, func() {
		fixture := newGatewayFixture(t, 1, newScriptedServer(t, silentAfter(3)), newScriptedServer(t, streamUntil(events, true)))
		fixture.setRoutes(func(route *routes.Route) { route.FirstEventTarget, route.EventGap = time.Second, gap })
		for range 4 {
			began := time.Now()
			_, _, body, err := fixture.post(t, "/events/", "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(body, convey.ShouldEqual, completeStream(events))
			convey.So(time.Since(began), convey.ShouldBeLessThan, 2*eventTimeoutGaps*gap)
		}
	})
}

// Guards against a request that waited long before it was sent to a server which then falls
// silent: its caller left before the silence counted, and the server ran it for nobody.
func TestSilenceLeavesTimeForASecondServer(t *testing.T) {
	fixture := newGatewayFixture(t, 1)
	match, err := fixture.gateway.Table().Match("desk.example", "/events/", "key")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ sentAfter, silentFor time.Duration }{
		{sentAfter: 0, silentFor: 600 * time.Millisecond},
		{sentAfter: 1400 * time.Millisecond, silentFor: 300 * time.Millisecond},
		// A sound server that is slow keeps a request that is late anyway.
		{sentAfter: 1900 * time.Millisecond, silentFor: 200 * time.Millisecond},
	} {
		convey.Convey(fmt.Sprintf("Given a stream that is sent %s after its arrival", test.sentAfter), t, func() {
			arrivedAt := time.Now()
			request := &request{gateway: fixture.gateway, match: match, service: "desk", arrivedAt: arrivedAt, lastDeliveredAt: arrivedAt}
			sentAt := arrivedAt.Add(test.sentAfter)
			convey.So(request.firstSilentAt(sentAt).Sub(sentAt), convey.ShouldEqual, test.silentFor)
		})
	}
}

// Guards against retries that are spent although no server got the request.
func TestUnreachableServersTakeNoRetries(t *testing.T) {
	convey.Convey("Given a silent server, and others that can't be reached", t, func() {
		servers := []*scriptedServer{newScriptedServer(t, streamWithSilence(4, 8))}
		for port := 1; port < maxConnectFailures; port++ {
			servers = append(servers, &scriptedServer{address: "127.0.0.1:" + strconv.Itoa(port)})
		}
		fixture := newGatewayFixture(t, 1, servers...)
		before := fixture.queue.serviceStatus("desk").RetriesLeft
		_, _, body, err := fixture.post(t, "/events/", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(body, convey.ShouldEqual, completeStream(8))
		convey.So(fixture.queue.serviceStatus("desk").RetriesLeft, convey.ShouldBeGreaterThanOrEqualTo, before)
	})
}

// Guards against a long request that breaks off because its server does not read for two
// seconds: its bytes stay unacknowledged, like those to a host without power.
func TestLongRequestOutlastsSilence(t *testing.T) {
	const bodyBytes, windowBytes, pause = 12 << 20, 4096, 2 * time.Second
	convey.Convey("Given a server that reads only the first bytes of a request for a while", t, func() {
		config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			})
		}}
		listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = listener.Close() }()
		server := &scriptedServer{address: listener.Addr().String(), scripts: []script{answer(http.StatusOK, signedHeader, "slip")}}
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			time.Sleep(pause)
			server.serve(conn)
		}()
		fixture := newGatewayFixture(t, 1, server)
		next := configuration()
		next.Limits.BodyBytes = bodyBytes
		for i := range next.Routes {
			next.Routes[i].Timeout = 10 * time.Second
		}
		table := routes.New(next)
		fixture.gateway.Table = func() routes.Table { return table }
		status, _, _, err := fixture.post(t, "/once/", strings.Repeat("x", bodyBytes))
		convey.So(err, convey.ShouldBeNil)
		convey.So(status, convey.ShouldEqual, http.StatusOK)
	})
}

// Guards against connections that are closed without an answer because the caller's time
// is over when its request arrives.
func TestRequestWithoutTimeLeftIsRefused(t *testing.T) {
	convey.Convey("Given requests with hardly any time left, each gets an answer", t, func() {
		fixture := newGatewayFixture(t, 1, newScriptedServer(t, answer(http.StatusOK, signedHeader, "slip")))
		for range 40 {
			for _, left := range []string{"0", "-5", "1"} {
				for _, body := range []string{"", "body"} {
					_, _, _, err := fixture.post(t, "/again/", body, "Left", left)
					convey.So(err, convey.ShouldBeNil)
				}
			}
		}
	})
}
