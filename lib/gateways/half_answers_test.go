package gateways

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// brokenAnswer writes the head and the part of a body, and closes the connection.
func brokenAnswer(head, body string) script {
	return func(conn net.Conn, received *http.Request) bool {
		fmt.Fprintf(conn, "%s\r\nId: %s\r\nSigned: yes\r\n\r\n%s", head, received.Header.Get("Id"), body)
		return false
	}
}

func compressed(t *testing.T, text string) string {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, err := writer.Write([]byte(text))
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	return buffer.String()
}

// halfAnswers returns answers with the whole text but for its end, by their form.
func halfAnswers(t *testing.T, text string) map[string]script {
	packed := compressed(t, text)
	withLength := func(version string, length int, header string) string {
		return fmt.Sprintf("%s 200 OK\r\nContent-Length: %d%s", version, length, header)
	}
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	return map[string]script{
		"a length, short by a byte":             brokenAnswer(withLength("HTTP/1.1", len(text), ""), text[:len(text)-1]),
		"a length and no body":                  brokenAnswer(withLength("HTTP/1.1", len(text), ""), ""),
		"chunks without the last one":           brokenAnswer(chunked, chunk),
		"chunks without the end of the last":    brokenAnswer(chunked, chunk+"0\r\n"),
		"a chunk, short by a byte":              brokenAnswer(chunked, chunk[:len(chunk)-3]),
		"compression and a length, short":       brokenAnswer(withLength("HTTP/1.1", len(packed), "\r\nContent-Encoding: gzip"), packed[:len(packed)-1]),
		"HTTP/1.0 and a length, short":          brokenAnswer(withLength("HTTP/1.0", len(text), ""), text[:len(text)-1]),
		"an interim answer before, then a half": brokenAnswer("HTTP/1.1 102 Processing\r\n\r\n"+withLength("HTTP/1.1", len(text), ""), text[:len(text)-1]),
	}
}

// Guards against an answer that breaks off and reaches the caller as a complete success,
// and against one that is not requested again although its route allows that.
func TestHalfAnswersAreNoSuccess(t *testing.T) {
	const events = 6
	for _, route := range []struct {
		path, text string
		mayRepeat  bool
	}{
		{path: "/once/", text: "slip"},
		{path: "/events-once/", text: completeStream(events)},
		{path: "/again/", text: "slip", mayRepeat: true},
		{path: "/events/", text: completeStream(events), mayRepeat: true},
	} {
		for form, half := range halfAnswers(t, route.text) {
			convey.Convey(fmt.Sprintf("Given answers on %s with %s", route.path, form), t, func() {
				servers := []*scriptedServer{newScriptedServer(t, half), newScriptedServer(t, half)}
				status, _, body, err := newGatewayFixture(t, 1, servers...).post(t, route.path, "")
				if err == nil && status < http.StatusInternalServerError {
					t.Errorf("%s, %s: complete %d with %d of %d bytes", route.path, form, status, len(body), len(route.text))
				}
				if !route.mayRepeat {
					return
				}
				sound := answer(http.StatusOK, signedHeader, route.text)
				if route.path == "/events/" {
					sound = streamUntil(events, true)
				}
				fixture := newGatewayFixture(t, 1, newScriptedServer(t, half), newScriptedServer(t, sound))
				for range 4 {
					status, _, body, err := fixture.post(t, route.path, "")
					convey.So(err, convey.ShouldBeNil)
					convey.So(status, convey.ShouldEqual, http.StatusOK)
					convey.So(body, convey.ShouldEqual, route.text)
				}
			})
		}
	}
}
