package gateways

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/time/rate"

	"firford/lib/logs"
	"firford/lib/timelines"
)

// delayed runs the script after the route's target.
func delayed(next script) script {
	return func(conn net.Conn, received *http.Request) bool {
		time.Sleep(250 * time.Millisecond)
		return next(conn, received)
	}
}

// endFields returns the fields of the lines of ended requests.
func endFields(lines *observer.ObservedLogs) []map[string]any {
	var fields []map[string]any
	for _, line := range lines.FilterMessage(eventEnded).All() {
		fields = append(fields, line.ContextMap())
	}
	return fields
}

// Guards against a log from which the number of requests can't be told, because the lines
// that were left out are counted nowhere in it, and against fields whose names differ from
// those that lib/timelines reads.
func TestLinesTellHowManyWereLeftOut(t *testing.T) {
	convey.Convey("Given routine requests of which only the first may write its line", t, func() {
		fixture := newGatewayFixture(t, 4, newScriptedServer(t, answer(http.StatusOK, signedHeader, "slip")))
		var text bytes.Buffer
		logger, err := logs.NewTo("info", "entry-1", zapcore.Lock(zapcore.AddSync(&text)))
		convey.So(err, convey.ShouldBeNil)
		fixture.gateway.Logger = logger
		fixture.gateway.sampler.limiter = rate.NewLimiter(0, 1)
		for range 4 {
			fixture.post(t, "/again/", "")
		}
		convey.Convey("Then the next line that is written counts the others, and the load has all", func() {
			fixture.gateway.sampler.limiter.SetLimit(rate.Inf)
			fixture.post(t, "/again/", "")
			fixture.post(t, "/again/", "")
			fixture.post(t, "/elsewhere/", "")
			convey.So(strings.Count(text.String(), "left_out=3 "), convey.ShouldEqual, 1)
			log := timelines.NewLoadLog()
			convey.So(log.AddLog(&text, "log"), convey.ShouldBeNil)
			report := log.Report()
			convey.So(report.Total.Arrivals, convey.ShouldEqual, 4)
			convey.So(report.Total.PlacedAtOnce, convey.ShouldEqual, 3)
			convey.So(report.Total.Rejected, convey.ShouldEqual, 1)
			convey.So(*report.Total.Covered, convey.ShouldAlmostEqual, 4.0/7)
			convey.So(report.Organisations[0].Name, convey.ShouldEqual, "buyers")
		})
	})
}

// Guards against a stream that counts as late because the server that went on with it
// began after the target.
func TestLateFirstEventsAreLogged(t *testing.T) {
	convey.Convey("Given a late answer, and a stream that began in time and was resumed late", t, func() {
		core, lines := observer.New(zap.InfoLevel)
		fixture := newGatewayFixture(t, 4, newScriptedServer(t, delayed(answer(http.StatusOK, signedHeader, "slip"))))
		fixture.gateway.Logger = zap.New(core)
		fixture.post(t, "/again/", "")
		var attempts atomic.Int64
		cutOnce := func(conn net.Conn, received *http.Request) bool {
			if attempts.Add(1) == 1 {
				return streamUntil(3, false)(conn, received)
			}
			return delayed(streamUntil(5, true))(conn, received)
		}
		fixture = newGatewayFixture(t, 4, newScriptedServer(t, cutOnce), newScriptedServer(t, cutOnce))
		fixture.gateway.Logger = zap.New(core)
		fixture.post(t, "/events/", "")
		fields := endFields(lines)
		convey.So(fields, convey.ShouldHaveLength, 2)
		convey.So(fields[0]["late"], convey.ShouldEqual, true)
		convey.So(fields[1]["answered_after"], convey.ShouldBeGreaterThan, 200*time.Millisecond)
		convey.So(fields[1], convey.ShouldNotContainKey, "late")
	})
}
