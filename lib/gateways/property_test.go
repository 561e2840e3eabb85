package gateways

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

// behaviour is what a server does with a request and whether it may have run it.
type behaviour struct {
	name   string
	script script
	mayRun bool
}

var behaviours = []behaviour{
	{"answers", answer(http.StatusOK, signedHeader, "slip"), true},
	{"answers unsigned", answer(http.StatusOK, "", "whose?"), true},
	{"states that it did not run", answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", ""), false},
	{"refuses without a statement", answer(http.StatusServiceUnavailable, "", ""), true},
	{"fails", answer(http.StatusInternalServerError, signedHeader, "error"), true},
	{"closes without an answer", closeWithoutAnswer, true},
	{"answers another request", func(conn net.Conn, _ *http.Request) bool {
		writeAnswer(conn, 200, "r-0", signedHeader, "old")
		return false
	}, true},
	{"truncates its answer", func(conn net.Conn, received *http.Request) bool {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: " + received.Header.Get("Id") + "\r\nSigned: yes\r\nContent-Length: 99\r\n\r\nsl"))
		return false
	}, true},
}

// TestAttemptOutcomes guards, for random combinations of server behaviours, against
// four faults: a request that runs more than once although it may run only once, a
// promise that a request has not run although it may have, more attempts than the
// route allows, and an answer that belongs to another request.
func TestAttemptOutcomes(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		const servers = 4
		var list []*scriptedServer
		var drawn []behaviour
		for range servers {
			behaviour := rapid.SampledFrom(behaviours).Draw(random, "behaviour")
			drawn = append(drawn, behaviour)
			list = append(list, newScriptedServer(t, behaviour.script))
		}
		fixture := newGatewayFixture(t, 1, list...)
		route := rapid.SampledFrom([]string{"/once/", "/again/"}).Draw(random, "route")
		status, header, body, err := fixture.post(t, route, "quote")
		reached, mayHaveRun, answered := 0, 0, false
		for at, server := range list {
			count := len(server.requests())
			reached += count
			if drawn[at].mayRun {
				mayHaveRun += count
			}
			answered = answered || count > 0 && drawn[at].name == "answers"
		}
		runsOnce := route == "/once/"
		switch {
		case runsOnce && mayHaveRun > 1:
			random.Fatalf("ran at %d servers", mayHaveRun)
		case runsOnce && reached > 1 || reached > 2:
			random.Fatalf("sent to %d servers", reached)
		case status == http.StatusServiceUnavailable && mayHaveRun > 0:
			random.Fatalf("promised that it has not run, but it may have at %d servers", mayHaveRun)
		case status == http.StatusServiceUnavailable && header.Get("Retry-After") == "":
			random.Fatalf("refused without Retry-After")
		case status == http.StatusOK && (!answered || err != nil || body != "slip"):
			random.Fatalf("success with %q, %v", body, err)
		case status != http.StatusOK && answered:
			random.Fatalf("status %d though a server answered", status)
		case strings.Contains(body, "old") || strings.Contains(body, "whose"):
			random.Fatalf("answer to another request: %q", body)
		}
	})
}

// TestStreamOutcomes guards, for servers that end streams at random events, against
// a stream that looks complete but is not, and against missing or repeated events.
func TestStreamOutcomes(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		const events, servers = 8, 3
		var list []*scriptedServer
		for range servers {
			end := rapid.IntRange(1, events).Draw(random, "end")
			list = append(list, newScriptedServer(t, streamUntil(end, end == events)))
		}
		_, _, body, err := newGatewayFixture(t, 1, list...).post(t, "/events/", "")
		complete := completeStream(events)
		if err == nil && body != complete && !strings.Contains(body, string(reasonAnswerLost)) && !strings.Contains(body, string(reasonNoServerLeft)) {
			random.Fatalf("stream looks complete with %q", body)
		}
		if err != nil && !strings.HasPrefix(complete, body) {
			random.Fatalf("truncated stream with %q", body)
		}
	})
}
