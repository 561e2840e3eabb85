package gateways

import (
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"firford/lib/placements"
)

// Guards against a pace in an answer that is missed, that is logged with each answer, or
// that makes entries tell a demand for services whose servers state none.
func TestPacesInAnswersSwitchOnTheirService(t *testing.T) {
	cases := []struct {
		name, header string
		isPaced      bool
	}{
		{"states a pace", signedHeader + "Load: 5,2,8,250\r\n", true},
		{"states its load alone", signedHeader + "Load: 5,2,8,0\r\n", false},
	}
	for _, each := range cases {
		convey.Convey("Given a server that "+each.name+" in each answer", t, func() {
			fixture := newGatewayFixture(t, 4, newScriptedServer(t, answer(http.StatusOK, each.header, "slip")))
			core, lines := observer.New(zap.InfoLevel)
			fixture.gateway.Logger = zap.New(core)
			scope := tally.NewTestScope("", nil)
			fixture.gateway.Scope = scope
			for range 3 {
				status, _, _, err := fixture.post(t, "/again/", "")
				convey.So(err, convey.ShouldBeNil)
				convey.So(status, convey.ShouldEqual, http.StatusOK)
			}
			perS, isTold := fixture.queue.Demand("desk")
			convey.So(isTold, convey.ShouldEqual, each.isPaced)
			convey.So(perS > 0, convey.ShouldEqual, each.isPaced)
			convey.So(lines.FilterMessage(eventPace).Len() == 1, convey.ShouldEqual, each.isPaced)
			fixture.gateway.reportService("desk")
			_, hasGauge := scope.Snapshot().Gauges()["pace_percent+service=desk"]
			convey.So(hasGauge, convey.ShouldEqual, each.isPaced)
		})
	}
}

// Guards against a pace that its agent does not hear with the notice that an answer began.
func TestNoticesOfAnswersCarryThePace(t *testing.T) {
	convey.Convey("Given a request with a known prompt length", t, func() {
		var notices []Notice
		fleet := placements.NewFleet("nairobi")
		fleet.UpdateServers([]placements.Server{{ID: "i-1", Service: "desk", Address: "10.0.0.1:80", DataCentre: "nairobi", Slots: 8}}, time.Time{}, time.Now())
		queue := NewAdmissionQueue(fleet, func(notice Notice) { notices = append(notices, notice) })
		reservation, _, _, err := queue.admit(placements.Waiter{StartBy: time.Now().Add(time.Second), Requirements: placements.Requirements{Service: "desk", Tokens: 100}})
		convey.So(err, convey.ShouldBeNil)
		convey.So(queue.recordLoad(reservation, placements.LoadStatement{Pace: 250}), convey.ShouldBeTrue)
		queue.recordAnswerStart(reservation, 10*time.Millisecond)
		convey.So(notices, convey.ShouldHaveLength, 2)
		convey.So(notices[1].(RequestAnswered).Pace, convey.ShouldEqual, 250)
	})
}
