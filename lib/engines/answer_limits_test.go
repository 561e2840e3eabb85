package engines

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"firford/lib/endless"

	"github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

const (
	// agentMemoryBytes is the smallest memory of an agent's host.
	agentMemoryBytes = 152_000_000
	concurrentCalls  = 16
	headOfAnswer     = "HTTP/1.1 200 OK\r\n"
)

// newEndlessClient returns a client of a server that answers each request with the text,
// followed by bytes without end.
func newEndlessClient(t *testing.T, text string) *Client {
	client := New(Options{Address: endless.StartServer(t, text)})
	t.Cleanup(client.Close)
	return client
}

// isTooLong reports whether an answer failed because a part of it exceeds a bound.
func isTooLong(err error) bool {
	var head *fasthttp.ErrSmallBuffer
	return errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.Is(err, errLineTooLong) || errors.As(err, &head)
}

// Guards against answers of a backend server that are too long or do not end and are taken
// for complete ones or fill the memory, and against a connection that is used again after
// such an answer.
func TestEndlessAnswersAreErrors(t *testing.T) {
	calls := map[string]func(client *Client) error{
		"status":  func(client *Client) error { _, err := client.status(context.Background(), false); return err },
		"command": func(client *Client) error { return client.Cancel(context.Background(), "r") },
		"call": func(client *Client) error {
			_, err := client.Call(context.Background(), Call{RequestID: "r", Call: "lot"})
			return err
		},
		"generation": func(client *Client) error {
			_, err := client.Generate(context.Background(), Generation{RequestID: "r", MaxTokens: 4}, func(Token) {})
			return err
		},
	}
	for name, call := range calls {
		for kind, text := range map[string]string{
			"a body without end":                headOfAnswer + "\r\n",
			"a body of 1 GB":                    headOfAnswer + "Content-Length: 1000000000\r\n\r\n",
			"a chunk of 1 GB":                   headOfAnswer + "Transfer-Encoding: chunked\r\n\r\n3b9aca00\r\n",
			"a header without end":              headOfAnswer + "Detail: ",
			"an informational head without end": "HTTP/1.1 103 Early Hints\r\nDetail: ",
		} {
			convey.Convey(fmt.Sprintf("Given a backend server that answers a %s with %s", name, kind), t, func() {
				client := newEndlessClient(t, text)
				peak := endless.PeakMemory(func() {
					var group sync.WaitGroup
					for range concurrentCalls {
						group.Go(func() {
							if err := call(client); !isTooLong(err) || !MayHaveRun(err) {
								t.Errorf("%s with %s: %v", name, kind, err)
							}
						})
					}
					group.Wait()
				})
				t.Logf("%s with %s: peak of %d MB", name, kind, peak/1_000_000)
				convey.So(peak, convey.ShouldBeLessThan, agentMemoryBytes)
				convey.So(client.pool.idle, convey.ShouldBeEmpty)
			})
		}
	}
}

// Guards against a stream without end whose tokens have no text, so that no bound on the
// length of the text ends it.
func TestTokensBeyondTheRequestedOnesAreErrors(t *testing.T) {
	convey.Convey("Given a backend server that streams more tokens than were requested", t, func() {
		var text strings.Builder
		text.WriteString(headOfAnswer + "\r\n")
		for sequence := 3; sequence < 10_000; sequence++ {
			fmt.Fprintf(&text, "{\"seq\":%d,\"token\":\"\"}\n", sequence)
		}
		client := newEndlessClient(t, text.String())
		delivered := 0
		_, err := client.Generate(context.Background(), Generation{RequestID: "r", MaxTokens: 6, ResumeFrom: 2}, func(Token) { delivered++ })
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(MayHaveRun(err), convey.ShouldBeTrue)
		convey.So(delivered, convey.ShouldEqual, 4)
		convey.So(client.pool.idle, convey.ShouldBeEmpty)
	})
}
