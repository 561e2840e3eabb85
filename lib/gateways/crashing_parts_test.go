package gateways

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// crashOnPart ends the connection of each request that has the part in its prompt, and
// answers all others with a whole stream.
func crashOnPart(part string, events int) script {
	return func(conn net.Conn, received *http.Request) bool {
		if slices.Contains(strings.Fields(received.Header.Get("Parts")), part) {
			return false
		}
		return streamUntil(events, true)(conn, received)
	}
}

// Guards against requests that share a part of their prompts under which one server after
// another crashes: each of them was sent to two servers, however many had crashed.
func TestPartThatCrashesServersStopsReachingThem(t *testing.T) {
	// crashes is after how many crashes the part has to be known, and requests how many
	// requests with the part arrive.
	const events, servers, crashes, requests = 4, 12, 5, 20
	convey.Convey("Given requests with a part that crashes servers among sound ones", t, func() {
		var fleet []*scriptedServer
		for range servers {
			fleet = append(fleet, newScriptedServer(t, crashOnPart("bad", events)))
		}
		fixture := newGatewayFixture(t, 4, fleet...)
		for i := range requests {
			status, header, _, _ := fixture.post(t, "/events/", "", "Parts", "common bad document-"+strconv.Itoa(i))
			convey.So(status, convey.ShouldBeIn, http.StatusBadGateway, http.StatusServiceUnavailable)
			if status == http.StatusServiceUnavailable {
				convey.So(header.Get("Retry-After"), convey.ShouldNotBeEmpty)
			}
			_, _, body, err := fixture.post(t, "/events/", "", "Parts", "common document-"+strconv.Itoa(i))
			convey.So(err, convey.ShouldBeNil)
			convey.So(body, convey.ShouldEqual, completeStream(events))
		}
		crashed, sound := 0, 0
		for _, server := range fleet {
			for _, received := range server.requests() {
				if strings.Contains(received.Header.Get("Parts"), "bad") {
					crashed++
					continue
				}
				sound++
			}
		}
		convey.So(crashed, convey.ShouldBeLessThanOrEqualTo, crashes)
		convey.So(sound, convey.ShouldEqual, requests)
	})
}
