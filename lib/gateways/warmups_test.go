package gateways

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/placements"
	"firford/lib/warmups"
)

// newColdFixture returns a gateway that has run for four seconds, in front of servers
// that may get two requests a second while they are cold.
func newColdFixture(t *testing.T, servers ...*scriptedServer) *gatewayFixture {
	const ran, tick = 4 * time.Second, 200 * time.Millisecond
	fixture := newGatewayFixture(t, 4, servers...)
	fixture.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
		fleet.SetWarmups(map[string]warmups.Rule{"desk": {Lasts: time.Minute, PerS: 2}}, now)
		for before := ran; before >= 0; before -= tick {
			fleet.Expire(now.Add(-before))
		}
	})
	ticker, ended := time.NewTicker(tick), make(chan struct{})
	t.Cleanup(func() { close(ended); ticker.Stop() })
	go func() {
		for {
			select {
			case <-ticker.C:
				fixture.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) { fleet.Expire(now) })
			case <-ended:
				return
			}
		}
	}()
	return fixture
}

// restart tells the gateway that the server has started again.
func (fixture *gatewayFixture) restart(id string, startedUnixMilli int64) {
	fixture.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
		fleet.ApplyReport(placements.Report{Server: id, Incarnation: startedUnixMilli, Entries: placements.EntryGroup{Count: 1}}, now)
	})
}

// Guards against a cold server that gets more requests in a second than its bound, and
// against one that gets none any more because sent requests stay counted.
func TestColdServersGetTheirBound(t *testing.T) {
	convey.Convey("Given a server that has started again", t, func() {
		server := newScriptedServer(t, answer(http.StatusOK, signedHeader, "slip"))
		fixture := newColdFixture(t, server)
		fixture.restart("0", 1)
		fixture.restart("0", 2)
		var statuses []int
		post := func() {
			status, _, _, err := fixture.post(t, "/once/", "")
			convey.So(err, convey.ShouldBeNil)
			statuses = append(statuses, status)
		}
		began := time.Now()
		for range 4 {
			post()
		}
		if time.Since(began) < time.Second {
			convey.So(statuses, convey.ShouldResemble, []int{http.StatusOK, http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable})
			convey.So(server.requests(), convey.ShouldHaveLength, 2)
			convey.So(fixture.queue.takeKeptFromCold("desk"), convey.ShouldEqual, 2)
		}
		for time.Since(began) < warmups.Window+100*time.Millisecond {
			time.Sleep(100 * time.Millisecond)
		}
		statuses = nil
		post()
		convey.So(statuses, convey.ShouldResemble, []int{http.StatusOK})
	})
}

// Guards against a request that is sent to a server which became cold after the request
// got its reservation, and against one that may not return to this server later.
func TestRequestsAreWithdrawnFromColdServers(t *testing.T) {
	convey.Convey("Given three requests at a server that starts again before they are sent", t, func() {
		fixture := newColdFixture(t, newScriptedServer(t, hang))
		fixture.restart("0", 1)
		var reservations []*placements.Reservation
		for range 3 {
			reservation, _ := fixture.queue.enqueue(placements.Waiter{Requirements: placements.Requirements{Service: "desk"}})
			convey.So(reservation, convey.ShouldNotBeNil)
			reservations = append(reservations, reservation)
		}
		fixture.restart("0", 2)
		received := httptest.NewRequest(http.MethodPost, "/once/", nil)
		request := &request{gateway: fixture.gateway, received: received, service: "desk", triedServers: []string{"0"}}
		for _, reservation := range reservations[:2] {
			_, isWithdrawn := request.withdrawal(reservation)
			convey.So(isWithdrawn, convey.ShouldBeFalse)
		}
		outcome, isWithdrawn := request.withdrawal(reservations[2])
		convey.So(isWithdrawn, convey.ShouldBeTrue)
		convey.So(outcome.cause, convey.ShouldEqual, "cold")
		request.recordOutcome(reservations[2], outcome)
		convey.So(request.triedServers, convey.ShouldBeEmpty)
	})
}
