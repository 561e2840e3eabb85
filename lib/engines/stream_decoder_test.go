package engines

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

var exampleStreams = []string{
	`{"seq":1,"token":"a"}` + "\n" + `{"seq":2,"token":""}` + "\n" + `{"done":true,"tokens":2,"version":"v1"}` + "\n",
	`{"done":true,"tokens":0,"version":"v1"}` + "\n",
	`{"seq":1,"token":"a"}` + "\n" + `{"seq":1,"token":"a"}` + "\n",
	`{"seq":2,"token":"b"}` + "\n",
	`{"seq":1,"token":"a"}` + "\n" + `{"done":true,"tokens":2,"version":"v1"}` + "\n",
	`{"seq":1,"token":"a"}` + "\n" + `{"done":true}` + "\n",
	`{"seq":1,"token":"a"}` + "\n",
	`{"seq":1,"token":"a"}` + "\n" + `{"done":true,"tok`,
	`{"seq":"1","token":"a"}` + "\n",
	`{"seq":1}` + "\n",
	`{"error":"cancelled"}` + "\n",
	"null\n",
	"\n",
}

// decodeStream decodes a stream to its end and describes its events and errors.
func decodeStream(stream []byte) (described string, tokens int, complete bool) {
	reader := bufio.NewReaderSize(bytes.NewReader(stream), maxLineBytes)
	state := newDecoder(0)
	var text strings.Builder
	for {
		line, err := readLine(reader)
		if err != nil {
			fmt.Fprintf(&text, "  error: %v\n", err)
			return text.String(), tokens, false
		}
		var decoded event
		state, decoded, err = state.decodeLine(line)
		if err != nil {
			fmt.Fprintf(&text, "  error: %v\n", err)
			return text.String(), tokens, false
		}
		switch decoded := decoded.(type) {
		case tokenEvent:
			tokens++
			fmt.Fprintf(&text, "  token %d %q\n", decoded.token.Sequence, decoded.token.Text)
		case doneEvent:
			fmt.Fprintf(&text, "  end after %d by %q\n", decoded.completion.Tokens, decoded.completion.Version)
			return text.String(), tokens, decoded.completion.Tokens == tokens
		}
	}
}

// Guards against accepting a truncated, duplicated or malformed stream as
// complete, and against errors that don't say what is wrong.
func TestDecodeStreams(t *testing.T) {
	var text strings.Builder
	for _, stream := range exampleStreams {
		described, _, _ := decodeStream([]byte(stream))
		fmt.Fprintf(&text, "%q\n%s", stream, described)
	}
	goldie.New(t).Assert(t, "streams", []byte(text.String()))
}

// Guards against bytes from an engine that crash the agent, or that end an
// answer as complete with a different number of tokens than were delivered.
func FuzzStream(f *testing.F) {
	for _, stream := range exampleStreams {
		f.Add([]byte(stream))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		described, _, complete := decodeStream(stream)
		if ended := strings.Contains(described, "  end after"); ended != complete {
			t.Fatalf("ended %t, complete %t:\n%s", ended, complete, described)
		}
	})
}

// Guards against a status or the answer of a call that crashes the agent.
func FuzzBodies(f *testing.F) {
	f.Add([]byte(`{"version":"v1","slots":16}`))
	f.Add([]byte(`{"request_id":"r","result":"x"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if status, err := decodeStatus(body); err == nil && status.Slots < 0 {
			t.Fatalf("negative slots: %+v", status)
		}
		if answer, err := decodeAnswer(body, "r"); err == nil && !bytes.Equal(answer.Body, body) {
			t.Fatalf("body changed: %q", answer.Body)
		}
	})
}
