package gateways

import (
	"context"
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
