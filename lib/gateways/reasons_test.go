package gateways

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"firford/lib/placements"
	"firford/lib/routes"
)

// logged returns the last lines of requests that ended in the course of the
// function, as text of the fields that do not change from run to run.
func logged(front *front, wanted int, act func()) []string {
	core, lines := observer.New(zap.InfoLevel)
	front.gateway.Logger = zap.New(core)
	act()
	for began := time.Now(); lines.FilterMessage(eventEnded).Len() < wanted && time.Since(began) < 10*time.Second; {
		time.Sleep(time.Millisecond)
	}
	var texts []string
	for _, line := range lines.FilterMessage(eventEnded).All() {
		fields := line.ContextMap()
		var names []string
		for name := range fields {
			names = append(names, name)
		}
		slices.Sort(names)
		texts = append(texts, fmt.Sprintf("reason=%q status=%v fields=%s\n", fields["reason"], fields["status"], strings.Join(names, ",")))
	}
	return texts
}

// Guards against a refusal or failure that leaves no line in the log, or one
// without the figures that explain it. lib/timelines reads the golden file.
func TestEveryReasonIsLogged(t *testing.T) {
	convey.Convey("Given a request for each reason", t, func() {
		var texts []string
		record := func(front *front, act func()) { texts = append(texts, logged(front, 1, act)[0]) }
		refusing := answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
		away := []*server{{address: "127.0.0.1:1"}, {address: "127.0.0.1:1"}, {address: "127.0.0.1:1"}, {address: "127.0.0.1:1"}}

		front := newFront(t, 1)
		front.gateway.Table = func() routes.Table { return routes.Table{} }
		record(front, func() { front.ask(t, "/once/", "") })
		front = newFront(t, 1)
		record(front, func() { front.ask(t, "/once/", "") })
		record(front, func() { front.ask(t, "/elsewhere/", "") })
		record(front, func() { front.ask(t, "/once/", "", "Key", "stranger") })
		record(front, func() { front.ask(t, "/once/", strings.Repeat("x", 2000)) })
		record(front, func() { endAtDeadline(front) })
		record(front, func() { breakOffWhileAsking(t, front, "/once/", 100) })
		front = newFront(t, 1, newServer(t, refusing))
		record(front, func() { front.ask(t, "/once/", "") })
		front = newFront(t, 1, away...)
		record(front, func() { front.ask(t, "/once/", "") })
		front = newFront(t, 1, newServer(t, breakOff))
		record(front, func() { front.ask(t, "/once/", "") })
		front = newFront(t, 1, newServer(t, breakOff))
		record(front, func() { front.ask(t, "/again/", "") })
		front = newFront(t, 1, newServer(t, hang))
		record(front, func() { breakOffWhileAsking(t, front, "/once/", 0) })
		front = newFront(t, 1, newServer(t, hang))
		record(front, func() { fill(t, front); front.ask(t, "/once/", "") })

		slices.Sort(texts)
		all := strings.Join(texts, "")
		for _, reason := range reasons {
			convey.So(all, convey.ShouldContainSubstring, fmt.Sprintf("reason=%q", string(reason)))
		}
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "reasons", []byte(all))
	})
}

// fill takes the only place that an entry without reports uses at the server,
// after so many starts that the next one should have its turn at once.
func fill(t *testing.T, front *front) {
	t.Helper()
	const starts = 60
	for range starts {
		taken, err := front.desk.take(t.Context(), placements.Waiter{StartBy: time.Now(), Requirements: placements.Requirements{Service: "desk"}})
		if err != nil {
			t.Fatal(err)
		}
		front.desk.end(taken, placements.Answered)
	}
	if _, err := front.desk.take(t.Context(), placements.Waiter{StartBy: time.Now(), Requirements: placements.Requirements{Service: "desk"}}); err != nil {
		t.Fatal(err)
	}
}

// endAtDeadline ends a request whose deadline passed while it waited, which comes
// about only when two timers end at once.
func endAtDeadline(front *front) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	request := &request{
		gateway: front.gateway, writer: httptest.NewRecorder(), received: httptest.NewRequest(http.MethodPost, "/once/", nil),
		arrived: time.Now(),
	}
	request.unplaced(ctx, context.DeadlineExceeded)
}

// breakOffWhileAsking sends a request and closes the connection a moment later.
// Promised is how many bytes of a body are announced and not sent.
func breakOffWhileAsking(t *testing.T, front *front, path string, promised int) {
	t.Helper()
	conn, err := net.Dial("tcp", front.address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\nId: r-1\r\nKey: key\r\nContent-Length: %d\r\n\r\n", path, promised)
	time.Sleep(50 * time.Millisecond)
	_ = conn.Close()
}

// Guards against a log that grows with the load although nothing went wrong, and
// against one that leaves out a request that did.
func TestOnlyLinesOfPlainRequestsAreThinnedOut(t *testing.T) {
	convey.Convey("Given more requests at once than lines are written", t, func() {
		const requests = 3 * plainBurst
		front := newFront(t, requests, newServer(t, answer(http.StatusOK, signed, "slip")))
		scope := tally.NewTestScope("", nil)
		front.gateway.counters = newCounters(scope)
		core, lines := observer.New(zap.InfoLevel)
		front.gateway.Logger = zap.New(core)
		for range requests {
			front.ask(t, "/again/", "")
		}
		written := lines.FilterMessage(eventEnded).Len()
		convey.So(written, convey.ShouldBeGreaterThanOrEqualTo, plainBurst)
		convey.So(written, convey.ShouldBeLessThan, requests)
		convey.So(int64(requests-written), convey.ShouldEqual, scope.Snapshot().Counters()["log_lines_sampled_out+"].Value())
		convey.Convey("Then each failed request still has its line", func() {
			before := lines.FilterMessage(eventEnded).Len()
			for range requests {
				front.ask(t, "/elsewhere/", "")
			}
			convey.So(lines.FilterMessage(eventEnded).Len()-before, convey.ShouldEqual, requests)
		})
	})
}
