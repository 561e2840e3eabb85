package engines

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"firford/cmd/fakeengine/fake"
	"firford/cmd/fakeengine/tokens"
	"firford/lib/invariants"
)

// testSilenceLimit is the default, because with a shorter limit the status
// request, whose timeout is a third of the limit, once timed out on a machine
// with a load of 140.
const testSilenceLimit = DefaultSilenceLimit

// startFakeEngine starts a fake engine and returns a client for it.
func startFakeEngine(t *testing.T, adjust func(*fake.Settings)) *Client {
	t.Helper()
	settings := fake.DefaultSettings()
	settings.Step = time.Millisecond
	settings.LoadTime = 10 * time.Millisecond
	if adjust != nil {
		adjust(&settings)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	checker := invariants.NewForTest(func(name invariants.Name) { t.Errorf("violated: %s", name) })
	ctx, cancel := context.WithCancel(context.Background())
	engine := fake.New(ctx, settings, zap.NewNop(), checker)
	ended := make(chan error, 1)
	go func() { ended <- engine.Serve(ctx, listener) }()
	client := New(Options{Address: listener.Addr().String(), SilenceLimit: testSilenceLimit})
	t.Cleanup(func() {
		client.Close()
		cancel()
		<-ended
	})
	return client
}

func setFaults(client *Client, change string) {
	request := client.newRequest(fasthttp.MethodPost, "/faults")
	request.SetBodyString(change)
	_, err := client.roundTrip(context.Background(), request, true, false)
	convey.So(err, convey.ShouldBeNil)
}

func generate(client *Client, generation Generation) (string, Completion, error) {
	var text strings.Builder
	completion, err := client.Generate(context.Background(), generation, func(token Token) { text.WriteString(token.Text) })
	return text.String(), completion, err
}

// Guards against answers that are truncated, repeated or resumed at the wrong
// token.
func TestGenerate(t *testing.T) {
	convey.Convey("Given an engine", t, func() {
		client := startFakeEngine(t, nil)
		want := tokens.New("r", "prompt", "v1")
		convey.Convey("a request returns its complete answer", func() {
			text, completion, err := generate(client, Generation{RequestID: "r", Prompt: "prompt", MaxTokens: 40})
			convey.So(err, convey.ShouldBeNil)
			convey.So(completion, convey.ShouldResemble, Completion{Tokens: 40, Version: "v1"})
			convey.So(text, convey.ShouldEqual, want.Text(1, 40))
			convey.So(client.pool.idle, convey.ShouldHaveLength, 1)
		})
		convey.Convey("a resumed request returns the rest of the answer", func() {
			text, completion, err := generate(client, Generation{RequestID: "r", Prompt: "prompt", MaxTokens: 40, ResumeFrom: 30})
			convey.So(err, convey.ShouldBeNil)
			convey.So(completion.Tokens, convey.ShouldEqual, 40)
			convey.So(text, convey.ShouldEqual, want.Text(31, 40))
		})
		convey.Convey("the end of the context cancels the request at the engine", func() {
			ctx, cancel := context.WithCancel(context.Background())
			_, err := client.Generate(ctx, Generation{RequestID: "r", MaxTokens: 10_000}, func(Token) { cancel() })
			convey.So(errors.Is(err, context.Canceled), convey.ShouldBeTrue)
			convey.So(MayHaveRun(err), convey.ShouldBeTrue)
			for status, _ := client.Status(ctx); status.Running > 0; status, err = client.Status(context.Background()) {
				convey.So(err, convey.ShouldBeNil)
			}
		})
		convey.Convey("a cancelled request ends with an error and not as a complete answer", func() {
			_, err := client.Generate(context.Background(), Generation{RequestID: "r", MaxTokens: 10_000}, func(token Token) {
				if token.Sequence == 3 {
					convey.So(client.Cancel(context.Background(), "r"), convey.ShouldBeNil)
				}
			})
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(MayHaveRun(err), convey.ShouldBeTrue)
		})
		convey.Convey("no corrupted answer is accepted as complete", func() {
			setFaults(client, `{"corrupt":1}`)
			for range 8 {
				_, _, err := generate(client, Generation{RequestID: "r", Prompt: "prompt", MaxTokens: 9})
				convey.So(err, convey.ShouldNotBeNil)
			}
			convey.So(client.pool.idle, convey.ShouldBeEmpty) // A connection with a corrupted answer isn't reused.
		})
	})
}

// Guards against reporting a refusal as a request that may have run, and
// against reporting a request that may have run as refused.
func TestErrorsTellWhetherTheRequestMayHaveRun(t *testing.T) {
	convey.Convey("Given an engine", t, func() {
		client := startFakeEngine(t, nil)
		convey.Convey("a leaving engine refuses the request", func() {
			setFaults(client, `{"leaving":true}`)
			_, _, err := generate(client, Generation{RequestID: "r", MaxTokens: 4})
			convey.So(HasRefusalCode(err, CodeLeaving), convey.ShouldBeTrue)
			convey.So(MayHaveRun(err), convey.ShouldBeFalse)
		})
		convey.Convey("an unreachable engine has not run the request", func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			convey.So(err, convey.ShouldBeNil)
			unreachable := New(Options{Address: listener.Addr().String()})
			convey.So(listener.Close(), convey.ShouldBeNil)
			_, err = unreachable.Call(context.Background(), Call{RequestID: "r", Call: "lot"})
			convey.So(err, convey.ShouldHaveSameTypeAs, &UnreachableError{})
			convey.So(MayHaveRun(err), convey.ShouldBeFalse)
		})
		convey.Convey("a status without a known refusal code leaves open whether the request ran", func() {
			request := client.newRequest(fasthttp.MethodGet, "/nowhere")
			_, err := client.roundTrip(context.Background(), request, false, true)
			convey.So(MayHaveRun(err), convey.ShouldBeTrue)
		})
	})
}

// Guards against requests that hang on a connection that no longer gets
// answers, although new connections work.
func TestSilentConnection(t *testing.T) {
	convey.Convey("Given an engine with an open connection", t, func() {
		client := startFakeEngine(t, nil)
		_, err := client.Status(context.Background())
		convey.So(err, convey.ShouldBeNil)
		convey.Convey("the connection goes silent: the request fails as silent with the server alive, and the next one succeeds", func() {
			time.Sleep(time.Millisecond)
			setFaults(client, `{"silent":true}`)
			_, err := client.Call(context.Background(), Call{RequestID: "r", Call: "lot"})
			var interrupted *InterruptedError
			convey.So(errors.As(err, &interrupted), convey.ShouldBeTrue)
			convey.So(interrupted.Silent, convey.ShouldBeTrue)
			convey.So(interrupted.ServerAlive, convey.ShouldBeTrue)
			_, err = client.Call(context.Background(), Call{RequestID: "r", Call: "lot"})
			convey.So(err, convey.ShouldBeNil)
		})
		convey.Convey("the connection goes silent in the middle of an answer: the rest can be resumed", func() {
			last := 0
			_, err := client.Generate(context.Background(), Generation{RequestID: "r", MaxTokens: 200}, func(token Token) {
				last = token.Sequence
				if last == 5 {
					setFaults(client, `{"silent":true}`)
				}
			})
			var interrupted *InterruptedError
			convey.So(errors.As(err, &interrupted), convey.ShouldBeTrue)
			convey.So(interrupted.Silent, convey.ShouldBeTrue)
			text, _, err := generate(client, Generation{RequestID: "r", MaxTokens: 200, ResumeFrom: last})
			convey.So(err, convey.ShouldBeNil)
			convey.So(text, convey.ShouldEqual, tokens.New("r", "", "v1").Text(last+1, 200))
		})
		convey.Convey("the whole engine freezes: the error says that the server is not alive", func() {
			setFaults(client, `{"freeze":true}`)
			_, _, err := generate(client, Generation{RequestID: "r", MaxTokens: 4})
			var interrupted *InterruptedError
			convey.So(errors.As(err, &interrupted), convey.ShouldBeTrue)
			convey.So(interrupted.Silent, convey.ShouldBeTrue)
			convey.So(interrupted.ServerAlive, convey.ShouldBeFalse)
			setFaults(client, `{"freeze":false}`)
		})
	})
}

// Guards against an engine that serves a version whose order was incomplete or
// outdated or whose load failed.
func TestOrders(t *testing.T) {
	convey.Convey("Given an engine that refuses old fencing tokens", t, func() {
		client := startFakeEngine(t, func(settings *fake.Settings) { settings.RefuseTokens = true })
		ctx := context.Background()
		order := Order{FencingToken: 7, OrderID: "o7", ManifestDigest: "d", Version: "v2", Size: 6}
		convey.So(client.SendOrder(ctx, order), convey.ShouldBeNil)
		convey.So(client.SendPiece(ctx, "o7", 0, []byte("abc")), convey.ShouldBeNil)
		convey.Convey("an incomplete order isn't loaded", func() {
			convey.So(HasRefusalCode(client.CommitOrder(ctx, "o7", 7), CodeIncomplete), convey.ShouldBeTrue)
		})
		convey.Convey("an old fencing token is refused", func() {
			old := Order{FencingToken: 6, OrderID: "o6", ManifestDigest: "d", Version: "v3", Size: 6}
			convey.So(HasRefusalCode(client.SendOrder(ctx, old), CodeStaleToken), convey.ShouldBeTrue)
			convey.So(HasRefusalCode(client.CommitOrder(ctx, "o7", 6), CodeStaleToken), convey.ShouldBeTrue)
		})
		convey.Convey("a complete order is loaded", func() {
			convey.So(client.SendPiece(ctx, "o7", 1, []byte("def")), convey.ShouldBeNil)
			convey.So(client.CommitOrder(ctx, "o7", 7), convey.ShouldBeNil)
			status := statusAfterLoad(client)
			convey.So(status.Version, convey.ShouldEqual, "v2")
			convey.So(status.OrderID, convey.ShouldEqual, "o7")
		})
		convey.Convey("a failed load leaves the earlier version in service", func() {
			setFaults(client, `{"fail_load":true}`)
			convey.So(client.SendPiece(ctx, "o7", 1, []byte("def")), convey.ShouldBeNil)
			convey.So(client.CommitOrder(ctx, "o7", 7), convey.ShouldBeNil)
			status := statusAfterLoad(client)
			convey.So(status.Version, convey.ShouldEqual, "v1")
			convey.So(status.FailedOrder, convey.ShouldEqual, "o7")
		})
		convey.Convey("a request during the load is refused, one from before it is answered by the earlier version", func() {
			convey.So(client.SendPiece(ctx, "o7", 1, []byte("def")), convey.ShouldBeNil)
			committed := false
			completion, err := client.Generate(ctx, Generation{RequestID: "r", MaxTokens: 60}, func(Token) {
				if !committed {
					committed = true
					convey.So(client.CommitOrder(ctx, "o7", 7), convey.ShouldBeNil)
					_, _, err := generate(client, Generation{RequestID: "s", MaxTokens: 1})
					convey.So(HasRefusalCode(err, CodeLoading), convey.ShouldBeTrue)
				}
			})
			convey.So(err, convey.ShouldBeNil)
			convey.So(completion.Version, convey.ShouldEqual, "v1")
			convey.So(statusAfterLoad(client).Version, convey.ShouldEqual, "v2")
		})
	})
	convey.Convey("Given an engine that ignores fencing tokens, an old order takes effect and shows in the status", t, func() {
		client := startFakeEngine(t, nil)
		ctx := context.Background()
		for _, order := range []Order{
			{FencingToken: 7, OrderID: "o7", Version: "v3", Size: 1},
			{FencingToken: 6, OrderID: "o6", Version: "v2", Size: 1},
		} {
			convey.So(client.SendOrder(ctx, order), convey.ShouldBeNil)
			convey.So(client.SendPiece(ctx, order.OrderID, 0, []byte("x")), convey.ShouldBeNil)
			convey.So(client.CommitOrder(ctx, order.OrderID, order.FencingToken), convey.ShouldBeNil)
			convey.So(statusAfterLoad(client).Version, convey.ShouldEqual, order.Version)
		}
	})
}

// statusAfterLoad polls the engine until no load is in progress and returns its
// status.
func statusAfterLoad(client *Client) Status {
	for {
		status, err := client.Status(context.Background())
		convey.So(err, convey.ShouldBeNil)
		if !status.Loading {
			return status
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against passing an answer to the caller of another request on a reused
// connection.
func TestAnswerNamesAnotherRequest(t *testing.T) {
	convey.Convey("A call whose answer names another request fails", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { fmt.Fprint(ctx, `{"request_id":"other"}`) }}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Shutdown() }()
		client := New(Options{Address: listener.Addr().String()})
		defer client.Close()
		_, err = client.Call(context.Background(), Call{RequestID: "mine", Call: "lot"})
		convey.So(err, convey.ShouldHaveSameTypeAs, &InterruptedError{})
	})
}
