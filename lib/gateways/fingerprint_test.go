package gateways

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/routes"
)

// fingerprintOf returns the fingerprint of a request to host and path with the body.
func fingerprintOf(method, host, path, organisation, body string) string {
	received := httptest.NewRequest(method, path, nil)
	received.Host, received.RequestURI = host, path
	each := &request{received: received, body: []byte(body), match: routes.Match{Organisation: routes.Organisation{Name: organisation}}}
	return each.fingerprint().String()
}

// Guards against a request that is not recognised when it comes again, and against two
// different ones that are taken for the same.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	convey.Convey("Given requests that ask the same for the same organisation, they have one fingerprint", t, func() {
		convey.So(fingerprintOf(http.MethodPost, "desk.example", "/a", "buyers", "text"), convey.ShouldEqual,
			fingerprintOf(http.MethodPost, "Desk.example", "/a", "buyers", "text"))
	})
	convey.Convey("Given requests that differ in one thing, they have different fingerprints", t, func() {
		all := map[string]bool{}
		for _, fields := range [][5]string{
			{http.MethodPost, "desk.example", "/a", "buyers", "text"},
			{http.MethodPut, "desk.example", "/a", "buyers", "text"},
			{http.MethodPost, "hall.example", "/a", "buyers", "text"},
			{http.MethodPost, "desk.example", "/a?b", "buyers", "text"},
			{http.MethodPost, "desk.example", "/a", "sellers", "text"},
			{http.MethodPost, "desk.example", "/a", "buyers", "text "},
			{http.MethodPost, "desk.example", "/ab", "uyers", "text"},
			{http.MethodPost, "desk.example", "/a", "", "buyerstext"},
		} {
			all[fingerprintOf(fields[0], fields[1], fields[2], fields[3], fields[4])] = true
		}
		convey.So(len(all), convey.ShouldEqual, 8)
	})
}
