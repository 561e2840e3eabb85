package gateways

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const (
	// onNextRequest as the time of an earlier answer means that it is written once the next
	// request has arrived on the connection.
	onNextRequest = -1
	// tornPause is the pause between two pieces of an answer that is written in pieces.
	tornPause = time.Millisecond
)

type (
	// repeatingServer runs every request that it receives. On each connection it writes an
	// earlier answer once more, delay after its first answer there and before the second.
	repeatingServer struct {
		*scriptedServer
		earlier func(earlierID string) []string
		delay   time.Duration

		mutex sync.Mutex
		// written has a channel for each connection that is closed once the earlier answer was
		// written, and firstIDs the id of its first request.
		written  map[net.Conn]chan struct{}
		firstIDs map[net.Conn]string
		// runs counts how often each request was run, and kept the requests that came on a
		// connection that had carried one.
		runs map[string]int
		kept int
	}
)

// newRepeatingServer returns a server that answers with the script. earlier returns the
// pieces of the earlier answer.
func newRepeatingServer(t *testing.T, sound script, delay time.Duration, earlier func(earlierID string) []string) *repeatingServer {
	server := &repeatingServer{
		earlier: earlier, delay: delay, written: map[net.Conn]chan struct{}{}, firstIDs: map[net.Conn]string{}, runs: map[string]int{},
	}
	server.scriptedServer = newScriptedServer(t, func(conn net.Conn, received *http.Request) bool {
		server.run(conn, received.Header.Get("Id"))
		isKept := sound(conn, received)
		if server.delay != onNextRequest {
			go server.writeEarlier(conn)
		}
		return isKept
	})
	return server
}

// run records that the request was run. On a connection that is used again it waits until
// the earlier answer was written.
func (server *repeatingServer) run(conn net.Conn, id string) {
	server.mutex.Lock()
	server.runs[id]++
	written, isKept := server.written[conn]
	if !isKept {
		server.written[conn] = make(chan struct{})
		server.firstIDs[conn] = id
	} else {
		server.kept++
	}
	server.mutex.Unlock()
	if !isKept {
		return
	}
	if server.delay == onNextRequest {
		server.writeEarlier(conn)
	}
	<-written
}

func (server *repeatingServer) writeEarlier(conn net.Conn) {
	server.mutex.Lock()
	written, id := server.written[conn], server.firstIDs[conn]
	server.mutex.Unlock()
	select {
	case <-written:
		return
	default:
	}
	if server.delay > 0 {
		time.Sleep(server.delay)
	}
	for at, piece := range server.earlier(id) {
		if at > 0 {
			time.Sleep(tornPause)
		}
		_, _ = conn.Write([]byte(piece))
	}
	close(written)
}

func (server *repeatingServer) runsOf(id string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.runs[id]
}

func (server *repeatingServer) keptCount() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.kept
}

// isPromise reports whether the status promises that the request did not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// refusalText returns a refusal with the id, or without one if it is empty.
func refusalText(status int, id string) string {
	idLine := ""
	if id != "" {
		idLine = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy", status, idLine)
}

// earlierRefusals returns the pieces of earlier refusals by their form.
func earlierRefusals() map[string]func(id string) []string {
	forms := map[string]func(id string) []string{
		"without an id":          func(string) []string { return []string{refusalText(503, "")} },
		"with its id twice":      func(id string) []string { return []string{refusalText(503, id+"\r\nId: "+id)} },
		"with an id in capitals": func(id string) []string { return []string{refusalText(503, strings.ToUpper(id))} },
		"after an interim answer": func(id string) []string {
			return []string{"HTTP/1.1 102 X\r\nId: " + id + "\r\n\r\n" + refusalText(503, id)}
		},
		"twice": func(id string) []string { return []string{refusalText(503, id), refusalText(503, id)} },
		"without a length": func(id string) []string {
			return []string{"HTTP/1.1 503 X\r\nId: " + id + "\r\nNot-Run: 1\r\n\r\nbusy"}
		},
		"in pieces": func(id string) []string {
			text := refusalText(503, id)
			return []string{text[:5], text[5:20], text[20 : len(text)-6], text[len(text)-6:]}
		},
		"torn in its body":            func(id string) []string { return []string{strings.TrimSuffix(refusalText(503, id), "sy")} },
		"torn at the end of a line":   func(id string) []string { return []string{"HTTP/1.1 503 X\r\nId: " + id + "\r\nNot-Run: 1\r\n"} },
		"torn in the name of a field": func(id string) []string { return []string{"HTTP/1.1 503 X\r\nId: " + id + "\r\nNot-"} },
	}
	for _, status := range []int{400, 408, 421, 429, 503} {
		forms[strconv.Itoa(status)] = func(id string) []string { return []string{refusalText(status, id)} }
	}
	return forms
}

// Guards against an earlier refusal that is written once more on a kept connection and is
// taken for the answer to the request that is under way there: its caller would be told
// that it did not run, or it would run at a second server.
func TestEarlierRefusalsAreNotBelieved(t *testing.T) {
	const events, requests = 3, 4
	for _, route := range []struct {
		path, text string
		sound      script
		runsOnce   bool
	}{
		{path: "/once/", text: "slip", sound: answer(http.StatusOK, signedHeader, "slip"), runsOnce: true},
		{path: "/events-once/", text: completeStream(events), sound: streamUntil(events, true), runsOnce: true},
		{path: "/again/", text: "slip", sound: answer(http.StatusOK, signedHeader, "slip")},
		{path: "/events/", text: completeStream(events), sound: streamUntil(events, true)},
	} {
		for form, earlier := range earlierRefusals() {
			for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, onNextRequest} {
				name := fmt.Sprintf("%s, refusal %s, %v", route.path, form, delay)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					convey.Convey(name, t, func() {
						servers := []*repeatingServer{newRepeatingServer(t, route.sound, delay, earlier), newRepeatingServer(t, route.sound, delay, earlier)}
						fixture := newGatewayFixture(t, 1, servers[0].scriptedServer, servers[1].scriptedServer)
						for i := range requests {
							id := "r-" + strconv.Itoa(i)
							status, _, body, err := fixture.post(t, route.path, "", "Id", id)
							runs := servers[0].runsOf(id) + servers[1].runsOf(id)
							isOwn := status == http.StatusOK && err == nil && body == route.text
							isRefused := isPromise(status) && runs == 0
							if !isOwn && !isRefused && (status < http.StatusInternalServerError || isPromise(status)) {
								t.Errorf("request %d got %d with %q, and ran %d times", i, status, body, runs)
							}
							if route.runsOnce && runs > 1 {
								t.Errorf("request %d ran %d times", i, runs)
							}
						}
						// The gateway may notice an answer in time that does not wait for the next request.
						if !route.runsOnce && delay == onNextRequest {
							convey.So(servers[0].keptCount()+servers[1].keptCount(), convey.ShouldBeGreaterThan, 0)
						}
					})
				})
			}
		}
	}
}
