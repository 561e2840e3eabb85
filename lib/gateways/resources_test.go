package gateways

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/placements"
)

// testTimeout bounds the requests of a test on one connection.
const testTimeout = 30 * time.Second

// awaitAccepted waits until the gateway has accepted the caller's connection.
func awaitAccepted(gateway *Gateway, caller net.Conn) {
	isAccepted := func() bool {
		gateway.callerConns.mutex.Lock()
		defer gateway.callerConns.mutex.Unlock()
		for conn := range gateway.callerConns.open {
			if conn.RemoteAddr().String() == caller.LocalAddr().String() {
				return true
			}
		}
		return false
	}
	for deadline := time.Now().Add(testTimeout); !isAccepted() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// askWithoutDescriptors sends a request on an open connection while this process, and so
// the gateway, has no descriptor left. It returns the status.
func askWithoutDescriptors(t *testing.T, fixture *gatewayFixture) int {
	t.Helper()
	conn, err := net.Dial("tcp", fixture.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	awaitAccepted(fixture.gateway, conn)
	var former syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &former); err != nil {
		t.Fatal(err)
	}
	setLimit := func(limit syscall.Rlimit) {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
	}
	setLimit(syscall.Rlimit{Cur: 0, Max: former.Max})
	defer setLimit(former)
	_, _ = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: desk.example\r\nId: r-1\r\nKey: key\r\nContent-Length: 0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against an entry that is short of descriptors, takes that for a fault of its
// servers, and sends them nothing for seconds after the shortage.
func TestShortageIsNoFaultOfServers(t *testing.T) {
	convey.Convey("Given a gateway that had no descriptor left for a request", t, func() {
		server := newScriptedServer(t, answer(http.StatusOK, "Signed: yes\r\n", "fine"))
		fixture := newGatewayFixture(t, 8, server)
		status := askWithoutDescriptors(t, fixture)
		convey.Convey("it has refused it, and nothing has reached the server", func() {
			convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
			convey.So(server.requests(), convey.ShouldBeEmpty)
		})
		convey.Convey("the server can take the next one at once, and serves it", func() {
			var counts placements.CandidateCounts
			fixture.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
				counts = fleet.CountCandidates(placements.Requirements{Service: "desk"}, 1, now)
			})
			convey.So(counts, convey.ShouldResemble, placements.CandidateCounts{Usable: 1})
			status, _, _, err := fixture.post(t, "/once/", "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldEqual, http.StatusOK)
		})
	})
}
