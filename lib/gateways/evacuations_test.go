package gateways

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/placements"
)

// Guards against a request that waits at an entry, or has got a reservation, and is sent to
// a data centre that was evacuated meanwhile, and against one that is not sent elsewhere.
func TestWaitingRequestsLeaveAnEvacuatedDataCentre(t *testing.T) {
	convey.Convey("Given a request that waits while all servers are full", t, func() {
		north := newScriptedServer(t, answer(http.StatusOK, signedHeader, "slip"))
		south := newScriptedServer(t, answer(http.StatusOK, signedHeader, "slip"))
		fixture, _ := newRegionalFixture(t, []*scriptedServer{north}, []*scriptedServer{south})
		inNorth, inSouth := occupyRegion(t, fixture, "north"), occupyRegion(t, fixture, "south")
		convey.Convey("When one data centre is evacuated, it goes to the other one", func() {
			time.AfterFunc(30*time.Millisecond, func() {
				fixture.queue.SetEvacuations([]string{"north-1"})
				fixture.queue.release(inNorth, placements.Answered)
				fixture.queue.release(inSouth, placements.Answered)
			})
			status, _, _, _ := fixture.post(t, "/again/", "quote")
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.So(len(north.requests()), convey.ShouldEqual, 0)
		})
		convey.Convey("When all are evacuated, it is refused at once", func() {
			const patience = 5 * time.Second
			began := time.Now()
			time.AfterFunc(30*time.Millisecond, func() { fixture.queue.SetEvacuations([]string{"north-1", "south-1"}) })
			_, err := fixture.queue.acquire(t.Context(), placements.Waiter{StartBy: began.Add(patience), Requirements: placements.Requirements{Service: "desk"}})
			var refused *refusal
			convey.So(errors.As(err, &refused), convey.ShouldBeTrue)
			convey.So(refused.reason, convey.ShouldEqual, reasonEvacuated)
			convey.So(refused.RetryAfter, convey.ShouldBeGreaterThan, 0)
			convey.So(time.Since(began), convey.ShouldBeLessThan, patience/2)
			convey.So(len(north.requests())+len(south.requests()), convey.ShouldEqual, 0)
		})
	})
}

// Guards against a running stream that an evacuation cuts off.
func TestRunningStreamsContinueDuringAnEvacuation(t *testing.T) {
	convey.Convey("Given a stream at a server whose data centre is evacuated in the middle of it", t, func() {
		const events = 4
		var fixture *gatewayFixture
		evacuating := func(conn net.Conn, received *http.Request) bool {
			time.AfterFunc(10*time.Millisecond, func() { fixture.queue.SetEvacuations([]string{"north-1"}) })
			return slowStream(events, 20*time.Millisecond)(conn, received)
		}
		north, south := newScriptedServer(t, evacuating), newScriptedServer(t, closeWithoutAnswer)
		fixture, _ = newRegionalFixture(t, []*scriptedServer{north}, nil)
		_, _, body, err := fixture.post(t, "/events/", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(body, convey.ShouldEqual, completeStream(events))
		convey.So(len(south.requests()), convey.ShouldEqual, 0)
	})
}

// slowStream writes the events with numbers below end, with a pause before each.
func slowStream(end int, pause time.Duration) script {
	return func(conn net.Conn, received *http.Request) bool {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: " + received.Header.Get("Id") + "\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := 1; i < end; i++ {
			time.Sleep(pause)
			writeChunk(conn, event(i))
		}
		_, _ = conn.Write([]byte("0\r\n\r\n"))
		return true
	}
}
