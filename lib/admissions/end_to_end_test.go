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

type fixedSource struct {
	snapshot configurations.Snapshot
}

func (source fixedSource) Current() configurations.Snapshot { return source.snapshot }

func (source fixedSource) Wait(ctx context.Context, _ int64) (configurations.Snapshot, error) {
	<-ctx.Done()
	return source.snapshot, ctx.Err()
}

func configured(organisations ...configurations.Organisation) fixedSource {
	entries := []configurations.Entry{
		{Object: configurations.Deployment{Name: "plant", Type: configurations.DeploymentEngine}, Revision: 1},
	}
	for _, organisation := range organisations {
		entries = append(entries, configurations.Entry{Object: organisation, Revision: 1})
	}
	return fixedSource{snapshot: configurations.NewSnapshot(1, entries)}
}

// serve starts a fake engine and a queue in front of it.
func serve(t *testing.T) (*admissions.Queue, string) {
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
	ended := make(chan error, 1)
	go func() { ended <- engine.Serve(ctx, listener) }()
	client := engines.New(engines.Options{Address: listener.Addr().String()})
	queue := admissions.New(admissions.Dependencies{
		Deployment: "plant",
		Backend:    client,
		Source:     configured(configurations.Organisation{Name: "intake", Weight: 1}),
		Logger:     zap.NewNop(),
		Scope:      tally.NoopScope,
		Checker:    checker,
	})
	t.Cleanup(func() {
		queue.Close()
		client.Close()
		cancel()
		<-ended
	})
	queue.SetServing("v1", true)
	for queue.Load().Slots == 1 {
		time.Sleep(time.Millisecond)
	}
	return queue, listener.Addr().String()
}

func asking(number int) requests.Request {
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

// Guards against answers that are incomplete, mixed up between callers or
// without a valid end, through the whole path from the queue to an engine.
func TestAnswersOverSockets(t *testing.T) {
	convey.Convey("Given a queue in front of an engine", t, func() {
		queue, _ := serve(t)
		convey.Convey("concurrent callers each receive their own whole answer", func() {
			var group sync.WaitGroup
			problems := make(chan string, 64)
			for number := range 64 {
				group.Go(func() {
					text := ""
					outcome := queue.Run(context.Background(), asking(number), func(part requests.Part) { text += part.Text })
					want := tokens.New(fmt.Sprintf("request-%d", number), fmt.Sprintf("bale %d", number), "v1").Text(1, 12)
					answered, whole := outcome.(requests.Answered)
					if !whole || text != want || answered.Digest != weights.Sum([]byte(text)).String() || answered.Parts != 12 {
						problems <- fmt.Sprintf("request %d: %#v, text %q", number, outcome, text)
					}
				})
			}
			group.Wait()
			convey.So(problems, convey.ShouldBeEmpty)
		})
		convey.Convey("a finished answer is collected from a part on", func() {
			queue.Run(context.Background(), asking(1), func(requests.Part) {})
			text := ""
			outcome := queue.Collect(context.Background(), "attempt-1", 5, func(part requests.Part) { text += part.Text })
			convey.So(outcome, convey.ShouldHaveSameTypeAs, requests.Answered{})
			convey.So(text, convey.ShouldEqual, tokens.New("request-1", "bale 1", "v1").Text(6, 12))
		})
		convey.Convey("an answer that isn't streamed comes as one body", func() {
			request := asking(2)
			request.Stream = false
			answered := queue.Run(context.Background(), request, nil).(requests.Answered)
			var body struct{ Text string }
			convey.So(json.Unmarshal(answered.Body, &body), convey.ShouldBeNil)
			convey.So(body.Text, convey.ShouldEqual, tokens.New("request-2", "bale 2", "v1").Text(1, 12))
		})
	})
}
