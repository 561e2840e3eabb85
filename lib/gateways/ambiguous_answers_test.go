package gateways

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against an answer that bears the ids of two requests and is taken for the answer
// to one of them.
func TestAnswersWithTwoIDsAreNotBelieved(t *testing.T) {
	const own, other = "r-1", "r-0"
	for name, ids := range map[string]string{"own id first": own + "\r\nId: " + other, "other id first": other + "\r\nId: " + own} {
		convey.Convey(fmt.Sprintf("Given a refusal with two ids, %s, on a kept connection", name), t, func() {
			earlier := func(string) []string { return []string{refusalText(http.StatusServiceUnavailable, ids)} }
			server := newRepeatingServer(t, answer(http.StatusOK, signedHeader, "slip"), onNextRequest, earlier)
			fixture := newGatewayFixture(t, 1, server.scriptedServer)
			for _, id := range []string{other, own} {
				status, _, body, _ := fixture.post(t, "/again/", "", "Id", id)
				convey.So(status, convey.ShouldEqual, http.StatusOK)
				convey.So(body, convey.ShouldEqual, "slip")
			}
			convey.So(server.keptCount(), convey.ShouldEqual, 1)
		})
		convey.Convey(fmt.Sprintf("Given a refusal with two ids, %s, on a new connection", name), t, func() {
			server := newScriptedServer(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = conn.Write([]byte(refusalText(http.StatusServiceUnavailable, ids)))
				return false
			})
			status, _, _, _ := newGatewayFixture(t, 1, server).post(t, "/once/", "", "Id", own)
			convey.So(status, convey.ShouldEqual, http.StatusBadGateway)
		})
	}
}

// Guards against a refusal without an id that is believed although the server has shown
// that it writes answers to other requests on the connection.
func TestRefusalsAfterForeignAnswersNeedAnID(t *testing.T) {
	convey.Convey("Given a new connection with an answer to another request and a refusal without an id", t, func() {
		server := newScriptedServer(t, func(conn net.Conn, received *http.Request) bool {
			_, _ = conn.Write([]byte(refusalText(http.StatusServiceUnavailable, "r-0") + refusalText(http.StatusServiceUnavailable, "")))
			return answer(http.StatusOK, signedHeader, "slip")(conn, received)
		})
		status, _, body, _ := newGatewayFixture(t, 1, server).post(t, "/once/", "")
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(body, convey.ShouldEqual, "slip")
	})
	convey.Convey("Given a new connection with nothing but a refusal without an id, it is believed", t, func() {
		server := newScriptedServer(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = conn.Write([]byte(refusalText(http.StatusBadRequest, "")))
			return false
		})
		status, _, _, _ := newGatewayFixture(t, 1, server).post(t, "/once/", "")
		convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
	})
}

// Guards against requests without an id that get an earlier answer without one on a kept
// connection.
func TestRequestsWithoutIDGetNoEarlierAnswers(t *testing.T) {
	for name, earlier := range map[string]string{
		"refusal": refusalText(http.StatusServiceUnavailable, ""),
		"success": "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 3\r\n\r\nold",
	} {
		convey.Convey(fmt.Sprintf("Given a server that writes an earlier %s without an id", name), t, func() {
			server := newRepeatingServer(t, answer(http.StatusOK, signedHeader, "slip"), onNextRequest, func(string) []string { return []string{earlier} })
			fixture := newGatewayFixture(t, 1, server.scriptedServer)
			for range 3 {
				status, _, body, _ := fixture.post(t, "/again/", "", "Id", "")
				convey.So(status, convey.ShouldEqual, http.StatusOK)
				convey.So(body, convey.ShouldEqual, "slip")
			}
		})
	}
}

// Guards against the statement of an earlier refusal, left in the head of an answer that
// shows that the request ran: its caller would be told that it did not run, or it would run
// at a second server.
func TestStatementsOfAnswersThatRanAreNotBelieved(t *testing.T) {
	const statement = "Not-Run: 1\r\n"
	for _, path := range []string{"/once/", "/events-once/", "/again/"} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
			convey.Convey(fmt.Sprintf("Given answers of %d on %s that state that they did not run", status, path), t, func() {
				contradiction := answer(status, signedHeader+statement, "data: slip\n\n")
				servers := []*scriptedServer{newScriptedServer(t, contradiction), newScriptedServer(t, contradiction)}
				got, _, body, err := newGatewayFixture(t, 1, servers...).post(t, path, "")
				convey.So(err, convey.ShouldBeNil)
				convey.So(got, convey.ShouldEqual, status)
				convey.So(body, convey.ShouldEqual, "data: slip\n\n")
				if path != "/again/" {
					convey.So(len(servers[0].requests())+len(servers[1].requests()), convey.ShouldEqual, 1)
				}
			})
		}
	}
	for _, status := range []int{http.StatusBadRequest, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		convey.Convey(fmt.Sprintf("Given refusals of %d, the promise is passed on", status), t, func() {
			got, _, _, _ := newGatewayFixture(t, 1, newScriptedServer(t, answer(status, statement, ""))).post(t, "/once/", "")
			convey.So(got, convey.ShouldEqual, http.StatusServiceUnavailable)
		})
	}
}
