package gateways

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// stopAfter stops the gateway, which ends its requests after the time.
func (fixture *gatewayFixture) stopAfter(after time.Duration) {
	endsAt := time.Now().Add(after)
	ctx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	fixture.gateway.BeginDrain(endsAt)
	_ = fixture.gateway.Shutdown(ctx) // Its error is that the requests did not end in time.
}

// Guards against a gateway that stops while requests wait in its queue, and closes their
// connections: whether they ran is not known to their callers.
func TestStoppingGatewayRefusesWaitingRequests(t *testing.T) {
	convey.Convey("Given requests in the queue of a gateway with a busy server", t, func() {
		const waiting = 5
		server := newScriptedServer(t, hang)
		fixture := newGatewayFixture(t, 1, server)
		occupyOnlySlot(t, fixture)
		statuses := make(chan int, waiting)
		for range waiting {
			go func() {
				status, header, _, _ := fixture.post(t, "/once/", "")
				if header.Get("Retry-After") == "" {
					status = 0
				}
				statuses <- status
			}()
		}
		time.Sleep(20 * time.Millisecond)
		fixture.stopAfter(60 * time.Millisecond)
		for range waiting {
			convey.So(<-statuses, convey.ShouldEqual, http.StatusServiceUnavailable)
		}
		convey.So(server.requests(), convey.ShouldBeEmpty)
	})
}

// Guards against a gateway that stops while servers work, and closes the connections of
// callers without any answer at the end of its time.
func TestStoppingGatewayAnswersRunningRequests(t *testing.T) {
	convey.Convey("Given requests at a server that takes longer than the gateway has left", t, func() {
		paths := []string{"/once/", "/again/", "/events/", "/events-once/"}
		server := newScriptedServer(t, hang)
		fixture := newGatewayFixture(t, len(paths), server)
		statuses := make(chan int, len(paths))
		for _, path := range paths {
			go func() {
				status, _, _, _ := fixture.post(t, path, "")
				statuses <- status
			}()
		}
		time.Sleep(50 * time.Millisecond)
		startedAt := time.Now()
		fixture.stopAfter(60 * time.Millisecond)
		convey.So(time.Since(startedAt), convey.ShouldBeLessThan, 60*time.Millisecond+LastAnswerTime)
		for range paths {
			convey.So(<-statuses, convey.ShouldEqual, http.StatusBadGateway)
		}
		convey.So(server.requests(), convey.ShouldHaveLength, len(paths))
	})
	convey.Convey("Given a server that answers in time, its answer is passed on", t, func() {
		server := newScriptedServer(t, func(conn net.Conn, received *http.Request) bool {
			time.Sleep(100 * time.Millisecond)
			return answer(http.StatusOK, signedHeader, "slip")(conn, received)
		})
		fixture := newGatewayFixture(t, 1, server)
		statuses := make(chan int, 1)
		go func() {
			status, _, _, _ := fixture.post(t, "/once/", "")
			statuses <- status
		}()
		time.Sleep(20 * time.Millisecond)
		fixture.stopAfter(time.Second)
		convey.So(<-statuses, convey.ShouldEqual, http.StatusOK)
	})
}
