package gateways

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/cuts"
)

type (
	// cutRoute is a route whose servers stop within their answers.
	cutRoute struct {
		path, text string
		sound      script
		mayRepeat  bool
	}

	// cutServers is the script of two servers that answer completely, but for one answer: the
	// first one of all, or the first one on a connection that was used before if isKept is set.
	cutServers struct {
		sound  script
		cut    cuts.Cut
		isKept bool

		mutex   sync.Mutex
		used    map[net.Conn]bool
		isDone  bool
		answers int
	}
)

func cutRoutes() []cutRoute {
	const events, text = 3, "slip 9"
	plain, stream := answer(http.StatusOK, signedHeader, text), streamUntil(events, true)
	return []cutRoute{
		{path: "/once/", text: text, sound: plain},
		{path: "/again/", text: text, sound: plain, mayRepeat: true},
		{path: "/events-once/", text: completeStream(events), sound: stream},
		{path: "/events/", text: completeStream(events), sound: stream, mayRepeat: true},
	}
}

// forms returns the route's answer in all forms.
func (route cutRoute) forms() []cuts.Form {
	const header = "Id: r-1\r\nSigned: 3e\r\n"
	bare := fmt.Sprintf("HTTP/1.1 200 Fine\n%sContent-Length: %d\n\n%s", strings.ReplaceAll(header, "\r", ""), len(route.text), route.text)
	return append(cuts.Forms(http.StatusOK, header, route.text), cuts.Form{Name: "lines without CR", Text: bare, WholeFrom: len(bare)})
}

// write is the script of both servers.
func (servers *cutServers) write(conn net.Conn, received *http.Request) bool {
	if !servers.isNextCut(conn) {
		return servers.sound(conn, received)
	}
	servers.cut.Write(conn)
	return false
}

func (servers *cutServers) isNextCut(conn net.Conn) bool {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	servers.answers++
	wasUsed := servers.used[conn]
	servers.used[conn] = true
	if servers.isDone || servers.isKept && !wasUsed {
		return false
	}
	servers.isDone = true
	return true
}

func (servers *cutServers) counts() (answers int, isDone bool) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return servers.answers, servers.isDone
}

// check sends requests until a server has cut its answer. The caller must get the whole
// answer of another server, or a failure if the request may run only once.
func (route cutRoute) check(t *testing.T, cut cuts.Cut, isKept bool) {
	servers := &cutServers{sound: route.sound, cut: cut, isKept: isKept, used: map[net.Conn]bool{}}
	fixture := newGatewayFixture(t, 4, newScriptedServer(t, servers.write), newScriptedServer(t, servers.write))
	defer fixture.gateway.pool.closeUnknown(nil)
	for range 4 {
		before, _ := servers.counts()
		status, _, body, err := fixture.post(t, route.path, "")
		answers, isDone := servers.counts()
		isWhole := err == nil && status == http.StatusOK && body == route.text
		isFailure := status == http.StatusBadGateway && err == nil || status == http.StatusOK && err != nil && strings.HasPrefix(route.text, body)
		switch sent := answers - before; {
		case !isDone && isWhole && sent == 1:
			continue
		case isDone && route.mayRepeat && isWhole && sent == 2:
			return
		case isDone && !route.mayRepeat && isFailure && sent == 1:
			return
		default:
			t.Fatalf("%d %q (%v) after %d answers", status, body, err, sent)
		}
	}
	t.Fatal("no answer was cut")
}

// Guards against a server that stops within its answer, also within the head, and a caller
// that gets a complete success, and against a request that runs twice or not again because
// of that.
func TestCutAnswersAreNoSuccess(t *testing.T) {
	for _, route := range cutRoutes() {
		for _, form := range route.forms() {
			for _, cut := range form.Cuts() {
				t.Run(fmt.Sprintf("%s with %s: %s", route.path, form.Name, cut), func(t *testing.T) {
					t.Parallel()
					route.check(t, cut, false)
				})
			}
		}
	}
}

// Guards against the same on connections that were used before. Requests that may run only
// once always have a connection of their own.
func TestCutAnswersOnKeptConnectionsAreNoSuccess(t *testing.T) {
	for _, route := range cutRoutes() {
		if !route.mayRepeat {
			continue
		}
		for _, cut := range route.forms()[0].Cuts() {
			t.Run(fmt.Sprintf("%s: %s", route.path, cut), func(t *testing.T) {
				t.Parallel()
				route.check(t, cut, true)
			})
		}
	}
}

// Guards against a complete answer that counts as cut because its bytes arrive one by one.
func TestTornAnswersAreComplete(t *testing.T) {
	for _, route := range cutRoutes() {
		for _, form := range route.forms() {
			convey.Convey(fmt.Sprintf("Given an answer on %s with %s, byte by byte", route.path, form.Name), t, func() {
				torn := func(conn net.Conn, _ *http.Request) bool {
					cuts.WriteTorn(conn, form.Text)
					return false
				}
				status, _, body, err := newGatewayFixture(t, 1, newScriptedServer(t, torn)).post(t, route.path, "")
				convey.So(err, convey.ShouldBeNil)
				convey.So(status, convey.ShouldEqual, http.StatusOK)
				convey.So(body, convey.ShouldEqual, route.text)
			})
		}
	}
}
