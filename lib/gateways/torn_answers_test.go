package gateways

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// failsOnKept answers the first request of each connection with a success and the others
// with an error.
func failsOnKept(server **repeatingServer) script {
	return func(conn net.Conn, received *http.Request) bool {
		if (*server).isFirst(conn, received.Header.Get("Id")) {
			return answer(http.StatusOK, signedHeader, "slip")(conn, received)
		}
		return answer(http.StatusInternalServerError, signedHeader, "error")(conn, received)
	}
}

// isFirst reports whether the request was the first one on the connection.
func (server *repeatingServer) isFirst(conn net.Conn, id string) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.firstIDs[conn] == id
}

// Guards against an earlier answer that breaks off in its head while the next request is
// under way: what follows is read as the rest of that head, so the next answer would get
// the status of the earlier one. A request that ran would count as not run, and a failure
// as a success.
func TestTornAnswersLendNoStatus(t *testing.T) {
	for kind, head := range map[string]string{
		"refusal":     "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-After: 0.3\r\n\r\n",
		"misdirected": "HTTP/1.1 421 Misdirected Request\r\nDate: today\r\n\r\n",
		"success":     "HTTP/1.1 200 OK\r\nSigned: yes\r\nDate: today\r\n\r\n",
	} {
		for length := 1; length < len(head); length++ {
			name := fmt.Sprintf("%s, torn after %d bytes", kind, length)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				convey.Convey(name, t, func() {
					torn := func(string) []string { return []string{head[:length]} }
					list := make([]*repeatingServer, 2)
					for i := range list {
						list[i] = newRepeatingServer(t, failsOnKept(&list[i]), onNextRequest, torn)
					}
					fixture := newGatewayFixture(t, 1, list[0].scriptedServer, list[1].scriptedServer)
					for i := range 3 {
						id := "r-" + strconv.Itoa(i)
						status, _, body, err := fixture.post(t, "/again/", "", "Id", id)
						convey.So(err, convey.ShouldBeNil)
						runs := list[0].runsOf(id) + list[1].runsOf(id)
						if status < http.StatusInternalServerError && body != "slip" || isPromise(status) && runs > 0 {
							t.Errorf("torn at %q: request %d got %d with %q, and ran %d times", head[max(0, length-12):length], i, status, strings.TrimSpace(body), runs)
						}
					}
					convey.So(list[0].keptCount()+list[1].keptCount(), convey.ShouldBeGreaterThan, 0)
				})
			})
		}
	}
}
