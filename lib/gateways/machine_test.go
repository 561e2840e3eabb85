package gateways

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

// behaviour is what a server does with a request, and whether it may have run it.
type behaviour struct {
	name   string
	script script
	mayRun bool
}

var behaviours = []behaviour{
	{"answers", answer(http.StatusOK, signed, "slip"), true},
	{"answers unsigned", answer(http.StatusOK, "", "whose?"), true},
	{"states that it did not run", answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", ""), false},
	{"refuses without a word", answer(http.StatusServiceUnavailable, "", ""), true},
	{"fails", answer(http.StatusInternalServerError, signed, "error"), true},
	{"breaks off", breakOff, true},
	{"answers another request", func(conn net.Conn, _ *http.Request) bool { writeAnswer(conn, 200, "r-0", signed, "old"); return false }, true},
	{"cuts its answer", func(conn net.Conn, received *http.Request) bool {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: " + received.Header.Get("Id") + "\r\nSigned: yes\r\nContent-Length: 99\r\n\r\nsl"))
		return false
	}, true},
}

// TestAttemptMachine guards, over servers of all kinds in any order, against a
// request that runs twice although it may run once, a promise that it has not run
// where it may have, more servers than the route allows, and an answer that is not
// a server's own.
func TestAttemptMachine(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		const servers = 4
		var list []*server
		var drawn []behaviour
		for range servers {
			each := rapid.SampledFrom(behaviours).Draw(random, "behaviour")
			drawn = append(drawn, each)
			list = append(list, newServer(t, each.script))
		}
		front := newFront(t, 1, list...)
		route := rapid.SampledFrom([]string{"/once/", "/again/"}).Draw(random, "route")
		status, header, body, err := front.ask(t, route, "quote")
		reached, mayHaveRun, answered := 0, 0, false
		for at, server := range list {
			got := len(server.requests())
			reached += got
			if drawn[at].mayRun {
				mayHaveRun += got
			}
			answered = answered || got > 0 && drawn[at].name == "answers"
		}
		isOnce := route == "/once/"
		switch {
		case isOnce && mayHaveRun > 1:
			random.Fatalf("ran at %d servers", mayHaveRun)
		case isOnce && reached > 1 || reached > 2:
			random.Fatalf("sent to %d servers", reached)
		case status == http.StatusServiceUnavailable && mayHaveRun > 0:
			random.Fatalf("promised that it has not run, at %d servers it may have", mayHaveRun)
		case status == http.StatusServiceUnavailable && header.Get("Retry-After") == "":
			random.Fatalf("refused without a time to come back")
		case status == http.StatusOK && (!answered || err != nil || body != "slip"):
			random.Fatalf("success with %q, %v", body, err)
		case status != http.StatusOK && answered:
			random.Fatalf("status %d though a server answered", status)
		case strings.Contains(body, "old") || strings.Contains(body, "whose"):
			random.Fatalf("answer of somebody else: %q", body)
		}
	})
}

// TestStreamMachine guards, over servers that end streams anywhere, against a
// stream that looks complete and is not, and against missing or doubled events.
func TestStreamMachine(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		const events, servers = 8, 3
		var list []*server
		for range servers {
			end := rapid.IntRange(1, events).Draw(random, "end")
			list = append(list, newServer(t, stream(end, end == events)))
		}
		_, _, body, err := newFront(t, 1, list...).ask(t, "/events/", "")
		whole := wholeStream(events)
		if err == nil && body != whole && !strings.Contains(body, string(reasonAnswerLost)) && !strings.Contains(body, string(reasonNoneLeft)) {
			random.Fatalf("complete with %q", body)
		}
		if err != nil && !strings.HasPrefix(whole, body) {
			random.Fatalf("cut with %q", body)
		}
	})
}
