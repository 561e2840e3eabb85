package dialers

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against a status that is none and is not seen, or one that is valid and is refused,
// because the bytes of the answer arrive in other pieces.
func TestStatusesAreSeenInAnyPieces(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nNote: HTTP/1.1 000 X\r\n\r\n"
	answers := map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 X\r\n":  true,
		"HTTP/1.1 599\r\n\r\n":                       true,
		"HTTP/1.1 204\n\n":                           true,
		"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":            true,
		"HTTP/1.1  200 OK\r\n\r\n":                   true,
		"no answer at all, as long as a status line": true,
		interim + interim + "HTTP/1.1 200 OK\r\n":    true,
		"HTTP/1.1 100\n\nHTTP/1.1 404 No\n":          true,
		"HTTP/1.1 000 OK\r\n\r\n":                    false,
		"HTTP/1.1 000\r\n":                           false,
		"HTTP/1.1  099 OK\r\n":                       false,
		"\r\nHTTP/1.0 101 Switching\r\n":             false,
		interim + "HTTP/1.1 000 OK\r\n":              false,
		"HTTP/1.1 100\n\nHTTP/1.1 600 No\n":          false,
		"HTTP/1.1 1000 A long reason that goes on":   false,
	}
	for text, isValid := range answers {
		for first := range len(text) {
			for second := first; second <= len(text); second++ {
				var scanner statusScanner
				got := scanner.scan([]byte(text[:first])) && scanner.scan([]byte(text[first:second])) && scanner.scan([]byte(text[second:]))
				if got != isValid {
					t.Fatalf("%q in pieces of %d and %d bytes: valid %t", text, first, second-first, got)
				}
			}
		}
	}
	convey.Convey("Given the statuses that an answer may have, they are those of RFC 9110 but for 101", t, func() {
		for status, isValid := range map[int]bool{-1: false, 0: false, 99: false, 100: true, 101: false, 102: true, 200: true, 599: true, 600: false} {
			convey.So(fmt.Sprint(status, IsFinalOrInterim(status)), convey.ShouldEqual, fmt.Sprint(status, isValid))
		}
	})
}
