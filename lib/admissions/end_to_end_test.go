package admissions_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"firford/cmd/fakeengine/fake"
	"firford/cmd/fakeengine/tokens"
	"firford/lib/admissions"
	"firford/lib/configurations"
	"firford/lib/engines"
	"firford/lib/invariants"
	"firford/lib/requests"
	"firford/lib/weights"
)

type fixedConfiguration struct {
	snapshot configurations.Snapshot
}

func (source fixedConfiguration) Current() configurations.Snapshot { return source.snapshot }

func (source fixedConfiguration) Wait(ctx context.Context, _ int64) (configurations.Snapshot, error) {
	<-ctx.Done()
	return source.snapshot, ctx.Err()
}

func newConfiguration(organisations ...configurations.Organisation) fixedConfiguration {
	return newConfigurationFor(configurations.DeploymentEngine, organisations...)
}

func newConfigurationFor(kind string, organisations ...configurations.Organisation) fixedConfiguration {
	entries := []configurations.Entry{
		{Object: configurations.Deployment{Name: "plant", Type: kind}, Revision: 1},
	}
	for _, organisation := range organisations {
		entries = append(entries, configurations.Entry{Object: organisation, Revision: 1})
	}
	return fixedConfiguration{snapshot: configurations.NewSnapshot(1, entries)}
}

// startQueue starts a fake engine and a queue in front of it, and returns the queue
// and the engine's address.
func startQueue(t *testing.T, kind string) (*admissions.Queue, string) {
	t.Helper()
	settings := fake.DefaultSettings()
	settings.Step = time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	checker := invariants.NewForTest(func(name invariants.Name) { t.Errorf("violated: %s", name) })
	ctx, cancel := context.WithCancel(context.Background())
	engine := fake.New(ctx, settings, zap.NewNop(), checker)
	serveError := make(chan error, 1)
	go func() { serveError <- engine.Serve(ctx, listener) }()
	client := engines.New(engines.Options{Address: listener.Addr().String()})
	queue := admissions.New(admissions.Dependencies{
		Deployment: "plant",
		Backend:    client,
		Source:     newConfigurationFor(kind, configurations.Organisation{Name: "intake", Weight: 1}),
		Logger:     zap.NewNop(),
		Scope:      tally.NoopScope,
		Checker:    checker,
	})
	t.Cleanup(func() {
		queue.Close()
		client.Close()
		cancel()
		<-serveError
	})
	queue.SetServing("v1", true)
	for queue.Load().Slots == 1 {
		time.Sleep(time.Millisecond)
	}
	return queue, listener.Addr().String()
}

func newRequest(number int) requests.Request {
	body, _ := json.Marshal(map[string]any{"prompt": fmt.Sprintf("bale %d", number), "max_tokens": 12})
	return requests.Request{
		AttemptID:    fmt.Sprintf("attempt-%d", number),
		RequestID:    fmt.Sprintf("request-%d", number),
		Organisation: "intake",
		Deployment:   "plant",
		Deadline:     time.Now().Add(time.Minute),
		Idempotent:   true,
		Stream:       true,
		Body:         body,
	}
}

// Guards against answers that are incomplete, delivered to another caller or have a
// wrong digest or number of parts, on the whole path from the queue to an engine.
func TestAnswersOverSockets(t *testing.T) {
	convey.Convey("Given a queue in front of an engine", t, func() {
		queue, _ := startQueue(t, configurations.DeploymentEngine)
		convey.Convey("each of the concurrent callers receives its own complete answer", func() {
			var group sync.WaitGroup
			problems := make(chan string, 64)
			for number := range 64 {
				group.Go(func() {
					text := ""
					outcome := queue.Run(context.Background(), newRequest(number), func(part requests.Part) { text += part.Text })
					want := tokens.New(fmt.Sprintf("request-%d", number), fmt.Sprintf("bale %d", number), "v1").Text(1, 12)
					answered, complete := outcome.(requests.Answered)
					if !complete || text != want || answered.Digest != weights.Sum([]byte(text)).String() || answered.Parts != 12 {
						problems <- fmt.Sprintf("request %d: %#v, text %q", number, outcome, text)
					}
				})
			}
			group.Wait()
			convey.So(problems, convey.ShouldBeEmpty)
		})
		convey.Convey("a finished answer is collected from a given part on", func() {
			queue.Run(context.Background(), newRequest(1), func(requests.Part) {})
			text := ""
			outcome := queue.Collect(context.Background(), "attempt-1", 5, func(part requests.Part) { text += part.Text })
			convey.So(outcome, convey.ShouldHaveSameTypeAs, requests.Answered{})
			convey.So(text, convey.ShouldEqual, tokens.New("request-1", "bale 1", "v1").Text(6, 12))
		})
		convey.Convey("an answer that isn't streamed is returned as one body", func() {
			request := newRequest(2)
			request.Stream = false
			answered := queue.Run(context.Background(), request, nil).(requests.Answered)
			var body struct{ Text string }
			convey.So(json.Unmarshal(answered.Body, &body), convey.ShouldBeNil)
			convey.So(body.Text, convey.ShouldEqual, tokens.New("request-2", "bale 2", "v1").Text(1, 12))
		})
	})
}

// Guards against a non-idempotent call being executed twice because its connection
// broke, and against an idempotent call failing because its connection broke.
func TestSilentConnections(t *testing.T) {
	convey.Convey("Given a service whose open connections stop responding", t, func() {
		queue, address := startQueue(t, configurations.DeploymentService)
		call := newRequest(1)
		call.Stream = false
		call.Body = []byte(`{"call": "lot",  "arguments": {"number": 7}}`)
		convey.So(queue.Run(context.Background(), call, nil), convey.ShouldHaveSameTypeAs, requests.Answered{})
		setFaults(address, `{"silent":true}`)
		call.AttemptID = "attempt-2"
		call.RequestID = "request-2"
		convey.Convey("an idempotent call is tried once more on a new connection", func() {
			answered := queue.Run(context.Background(), call, nil).(requests.Answered)
			convey.So(answered.Digest, convey.ShouldEqual, requests.BodyDigest(answered.Body))
			encoded, err := json.Marshal(answered.Body)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(encoded), convey.ShouldEqual, string(answered.Body))
		})
		convey.Convey("a non-idempotent call uses a new connection and runs once", func() {
			call.Idempotent = false
			convey.So(queue.Run(context.Background(), call, nil), convey.ShouldHaveSameTypeAs, requests.Answered{})
			convey.So(queue.Resolve("attempt-2"), convey.ShouldEqual, requests.AttemptAnswered)
		})
		convey.Convey("a non-idempotent call whose connection stops responding has an unknown outcome and runs once", func() {
			setFaults(address, `{"delay_ms":100}`)
			call.Idempotent = false
			go func() {
				time.Sleep(50 * time.Millisecond)
				post(address, `{"silent":true}`)
			}()
			convey.So(queue.Run(context.Background(), call, nil), convey.ShouldHaveSameTypeAs, requests.Unknown{})
			convey.So(executions(address, "request-2"), convey.ShouldEqual, 1)
			convey.So(queue.Resolve("attempt-2"), convey.ShouldEqual, requests.AttemptUnknown)
		})
	})
}

func setFaults(address, change string) {
	time.Sleep(time.Millisecond) // Only connections opened before the fault stop responding.
	convey.So(post(address, change), convey.ShouldBeNil)
}

func post(address, change string) error {
	status, err := send(address, change)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

func send(address, change string) (int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/faults")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyString(change)
	err := fasthttp.Do(request, response)
	return response.StatusCode(), err
}

// executions returns how often the engine has executed the request.
func executions(address, requestID string) int {
	var record struct {
		Requests []struct{ Count int }
	}
	_, body, err := fasthttp.Get(nil, "http://"+address+"/record?id="+requestID)
	convey.So(err, convey.ShouldBeNil)
	convey.So(json.Unmarshal(body, &record), convey.ShouldBeNil)
	if len(record.Requests) == 0 {
		return 0
	}
	return record.Requests[0].Count
}
