package gateways

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// FuzzEvents guards against bytes that are lost, repeated or returned before their
// event is complete, for any input from a server that arrives one byte at a time.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"", "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n", "\n\n\n\n", "id:\n\nx", event(1) + event(2)[:5]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := &eventReader{body: iotest.OneByteReader(strings.NewReader(text))}
		var got strings.Builder
		for {
			part, _, err := reader.next()
			if err == nil {
				if !strings.HasSuffix(string(part), "\n") {
					t.Fatalf("part %q does not end an event", part)
				}
				got.Write(part)
				continue
			}
			rest, isPrefix := strings.CutPrefix(text, got.String())
			switch {
			case !isPrefix:
				t.Fatalf("got %q of %q", got.String(), text)
			case err == io.EOF && rest != "":
				t.Fatalf("end of stream with %q unread", rest)
			case err != io.EOF && !errors.Is(err, io.ErrUnexpectedEOF):
				t.Fatalf("error %v", err)
			}
			return
		}
	})
}
