package admissions_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/admissions"
	"firford/lib/invariants"
	"firford/lib/requests"
)

// Guards against slots that stay taken for callers whose entry has failed, and
// against cancelling a non-idempotent attempt although a caller may still ask for
// its outcome.
func TestOrphanedAttempts(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			queue := admissions.New(admissions.Dependencies{
				Deployment: "plant", Backend: newStubBackend(), Source: organisations, Logger: zap.NewNop(), Scope: tally.NoopScope,
				Checker: invariants.NewForTest(func(name invariants.Name) { t.Errorf("violated: %s", name) }),
			})
			defer queue.Close()
			queue.SetServing("v1", true)
			synctest.Wait()
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			request := newRequest(1)
			request.Idempotent = idempotent
			request.Body = []byte(`{"prompt":"p","max_tokens":5000}`)
			outcome := queue.Run(ctx, request, func(requests.Part) {})
			time.Sleep(11 * time.Second)
			running, state := queue.Load().Running, queue.Resolve(request.AttemptID)
			convey.Convey("An attempt without a subscriber is cancelled only if it is idempotent", t, func() {
				convey.So(outcome, convey.ShouldHaveSameTypeAs, requests.Unknown{})
				if idempotent {
					convey.So(running, convey.ShouldEqual, 0)
					convey.So(state, convey.ShouldEqual, requests.AttemptUnknown)
				} else {
					convey.So(running, convey.ShouldEqual, 1)
					convey.So(state, convey.ShouldEqual, requests.AttemptRunning)
				}
			})
		})
	}
}
