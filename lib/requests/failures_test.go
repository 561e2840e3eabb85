package requests

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const keyedCount = 40

func expectedStream(body string, parts int) []string {
	var lines []string
	for number := 1; number <= parts; number++ {
		line, _ := json.Marshal(partLine{Part: number, Text: answerText([]byte(body), number)})
		lines = append(lines, string(line))
	}
	return lines
}

func totalRuns(fleet *testFleet, body string) int {
	total := 0
	for _, runner := range fleet.runners {
		total += runner.countRuns(body)
	}
	return total
}

// Guards against returning one agent's refusal to the caller although another
// agent would run the request.
func TestRetryOnAnotherAgent(t *testing.T) {
	fleet := startFleet(t, 2)
	fleet.runners[0].refuse = true
	convey.Convey("Every request is answered by the other agent", t, func() {
		// The constant of the retry budget covers the 10 requests of this test.
		for index := range 5 {
			body := fmt.Sprintf(`{"prompt":"%d"}`, index)
			status, _ := fleet.post(body)
			convey.So(status, convey.ShouldEqual, 200)
			status, _ = fleet.post(body, "Idempotent", "false", "Request-Key", fmt.Sprintf("k%d", index))
			convey.So(status, convey.ShouldEqual, 200)
			convey.So(totalRuns(fleet, body), convey.ShouldEqual, 2)
		}
	})
}

// Guards against a stream that restarts, repeats parts or is silently truncated
// when its backend server fails.
func TestStreamResumesOnAnotherAgent(t *testing.T) {
	fleet := startFleet(t, 2)
	for _, runner := range fleet.runners {
		runner.parts = 6
	}
	fleet.runners[0].stopAfter = 2
	convey.Convey("The answer is complete", t, func() {
		resumed := 0
		// The first agent is chosen at random: one stream in two begins at the failing one.
		for index := 0; resumed == 0; index++ {
			body := fmt.Sprintf(`{"prompt":"%d","stream":true}`, index)
			status, lines := fleet.post(body)
			convey.So(status, convey.ShouldEqual, 200)
			convey.So(lines[:len(lines)-1], convey.ShouldResemble, expectedStream(body, 6))
			convey.So(lines[len(lines)-1], convey.ShouldContainSubstring, `"outcome":"answered","parts":6`)
			resumed = fleet.runners[0].countRuns(body)
			if resumed > 0 {
				convey.So(fleet.runners[1].resumedAfter(2), convey.ShouldBeTrue)
			}
		}
	})
	convey.Convey("If no agent can continue the stream, its last line states that it is broken", t, func() {
		fleet.runners[1].stopAfter = 2
		status, lines := fleet.post(streamBody)
		convey.So(status, convey.ShouldEqual, 200)
		convey.So(lines[len(lines)-1], convey.ShouldContainSubstring, CodeStreamBroken)
	})
}

// Guards against failing or repeating a request whose connection was lost while
// its agent still runs it.
func TestCollectOverNewConnection(t *testing.T) {
	fleet := startFleet(t, 1)
	fleet.runners[0].parts, fleet.runners[0].partPause = 5, 60*time.Millisecond
	convey.Convey("Streams with and without a key are answered completely after their links were cut", t, func() {
		var wait sync.WaitGroup
		type answer struct {
			status int
			lines  []string
		}
		answers := make([]answer, 2)
		wait.Go(func() { answers[0].status, answers[0].lines = fleet.post(streamBody) })
		keyed := `{"prompt":"keyed","stream":true}`
		wait.Go(func() {
			answers[1].status, answers[1].lines = fleet.post(keyed, "Idempotent", "false", "Request-Key", "k")
		})
		waitFor(func() bool { return totalRuns(fleet, streamBody) == 1 && totalRuns(fleet, keyed) == 1 })
		fleet.cutLinks(0)
		wait.Wait()
		for index, body := range []string{streamBody, keyed} {
			convey.So(answers[index].status, convey.ShouldEqual, 200)
			convey.So(answers[index].lines[:5], convey.ShouldResemble, expectedStream(body, 5))
			convey.So(totalRuns(fleet, body), convey.ShouldEqual, 1)
		}
	})
}

// Guards against an entry that cuts off requests in progress, or accepts new
// ones, while it shuts down.
func TestGracefulShutdown(t *testing.T) {
	fleet := startFleet(t, 1)
	fleet.runners[0].parts, fleet.runners[0].partPause = 5, 50*time.Millisecond
	convey.Convey("The request in progress is answered completely", t, func() {
		var lines []string
		var wait sync.WaitGroup
		wait.Go(func() { _, lines = fleet.post(streamBody) })
		waitFor(func() bool { return totalRuns(fleet, streamBody) == 1 })
		fleet.stop()
		convey.So(<-fleet.serveResult, convey.ShouldBeNil)
		convey.So(fleet.server.InProgress(), convey.ShouldEqual, 0)
		wait.Wait()
		convey.So(lines[:5], convey.ShouldResemble, expectedStream(streamBody, 5))
		status, _ := fleet.post(plainBody)
		convey.So(status, convey.ShouldEqual, 0)
	})
}

// Guards against running a key twice when its repeats run concurrently, and
// against claims that each take a transaction of their own.
func TestConcurrentRepeatsOfKeys(t *testing.T) {
	fleet := startFleet(t, 3)
	convey.Convey("Each key runs once and all repeats get its answer", t, func() {
		before := fleet.table.transactionCount()
		var wait sync.WaitGroup
		texts := make([][2]string, keyedCount)
		for index := range keyedCount {
			for repeat := range 2 {
				wait.Go(func() {
					_, lines := fleet.post(fmt.Sprintf(`{"prompt":"%d","stream":true}`, index),
						"Idempotent", "false", "Request-Key", fmt.Sprintf("k%d", index))
					texts[index][repeat] = strings.Join(lines, "\n")
				})
			}
		}
		wait.Wait()
		for index := range keyedCount {
			body := fmt.Sprintf(`{"prompt":"%d","stream":true}`, index)
			convey.So(totalRuns(fleet, body), convey.ShouldEqual, 1)
			convey.So(texts[index][0], convey.ShouldEqual, texts[index][1])
			convey.So(texts[index][0], convey.ShouldContainSubstring, `"outcome":"answered","parts":3`)
		}
		// Each key has a claim and an outcome, both of which are written.
		convey.So(fleet.table.transactionCount()-before, convey.ShouldBeLessThan, 2*keyedCount)
		status, lines := fleet.send(http.MethodGet, "/v1/requests/k0", "")
		convey.So(status, convey.ShouldEqual, 200)
		convey.So(lines[0], convey.ShouldContainSubstring, `"outcome":"answered"`)
	})
}

// Guards against running a request without a claim that is known to be written,
// and against a request that waits while the store is unavailable.
func TestStoreFaults(t *testing.T) {
	fleet := startFleet(t, 1)
	keyed := func(key string) (int, string) {
		status, lines := fleet.post(plainBody, "Idempotent", "false", "Request-Key", key)
		return status, strings.Join(lines, "\n")
	}
	convey.Convey("While the store is unavailable, a request with a key is refused as not run and an idempotent one is answered", t, func() {
		fleet.table.setFault(func() tableFault { return faultUnavailable })
		status, text := keyed("out")
		convey.So(status, convey.ShouldEqual, 503)
		convey.So(text, convey.ShouldContainSubstring, CodeStoreUnavailable)
		convey.So(totalRuns(fleet, plainBody), convey.ShouldEqual, 0)
		status, _ = fleet.post(streamBody)
		convey.So(status, convey.ShouldEqual, 200)
	})
	convey.Convey("If the answer to a write is lost, the request runs once, whether the write took effect or not", t, func() {
		for index, lost := range []tableFault{faultLostAfter, faultLostBefore} {
			faults := []tableFault{lost}
			fleet.table.setFault(func() tableFault {
				if len(faults) == 0 {
					return faultNone
				}
				next := faults[0]
				faults = faults[1:]
				return next
			})
			before, known := totalRuns(fleet, plainBody), len(fleet.runners[0].attempts)
			time.Sleep(storeBackoff)
			status, _ := keyed(fmt.Sprintf("lost%d", index))
			convey.So(status, convey.ShouldEqual, 200)
			convey.So(totalRuns(fleet, plainBody), convey.ShouldEqual, before+1)
			// A claim mistaken for another request's would have its attempt resolved first.
			convey.So(len(fleet.runners[0].attempts), convey.ShouldEqual, known+1)
		}
	})
}

// Guards against a key that is blocked by the claim of an entry that crashed
// before it sent the request. Another entry must run the request, and the late
// message of the crashed entry must not.
func TestTakeOverOfUnusedClaim(t *testing.T) {
	fleet := startFleet(t, 1)
	convey.Convey("The repeat takes the claim over and the late attempt is refused", t, func() {
		dispatcher := fleet.server.dependencies.Dispatcher
		incoming := IncomingRequest{Key: "k", Request: Request{Organisation: "mill", Deployment: "plant", Body: []byte(plainBody)}}
		reserved, _ := fleet.agents.reserve("plant", "", nil, time.Now())
		record := newClaimRecord(incoming, reserved, "entry-dead")
		_, result := dispatcher.claims.put(context.Background(), claimKey("mill", "k"), 0, record)
		convey.So(result.applied, convey.ShouldBeTrue)
		status, _ := fleet.post(plainBody, "Idempotent", "false", "Request-Key", "k")
		convey.So(status, convey.ShouldEqual, 200)
		late := incoming.Request
		late.AttemptID, late.Deadline = record.AttemptID, time.Now().Add(time.Second)
		outcome := dispatcher.runAttempt(context.Background(), reserved, late, newProgress(func(Part) {}))
		_, refused := outcome.(NotRun)
		convey.So(refused, convey.ShouldBeTrue)
		convey.So(totalRuns(fleet, plainBody), convey.ShouldEqual, 1)
	})
}

// Guards against claims of refused requests that remain in the store and make
// every repeat of their key ask an agent.
func TestUnusedClaimIsReleased(t *testing.T) {
	fleet := startFleet(t, 1)
	convey.Convey("If all answers to the writes of a claim are lost, the request is refused as not run and the claim is deleted", t, func() {
		lost := maxWriteAttempts
		fleet.table.setFault(func() tableFault {
			if lost == 0 {
				return faultNone
			}
			lost--
			return faultLostAfter
		})
		status, lines := fleet.post(plainBody, "Idempotent", "false", "Request-Key", "k")
		convey.So(status, convey.ShouldEqual, 503)
		convey.So(lines[0], convey.ShouldContainSubstring, CodeStoreUnavailable)
		convey.So(totalRuns(fleet, plainBody), convey.ShouldEqual, 0)
		waitFor(func() bool {
			fleet.table.mutex.Lock()
			defer fleet.table.mutex.Unlock()
			return len(fleet.table.rows) == 0
		})
	})
}

// Guards against a repeat that can't ask the agent of its claim because that
// agent is not in the subset of the repeat's entry.
func TestConnectOutsideSubset(t *testing.T) {
	fleet := startFleet(t, 1)
	convey.Convey("A listed agent outside the subset is reached over a temporary link, an unlisted one is not reached", t, func() {
		fleet.agents.mutex.Lock()
		delete(fleet.agents.views, "agent-0")
		fleet.agents.mutex.Unlock()
		peer, done, err := fleet.agents.connect(context.Background(), "agent-0")
		convey.So(err, convey.ShouldBeNil)
		state, err := ResolveAttempt(context.Background(), peer, NewID(), "i1")
		convey.So(err, convey.ShouldBeNil)
		convey.So(state, convey.ShouldEqual, AttemptNotRun)
		done()
		<-peer.Done()
		_, _, err = fleet.agents.connect(context.Background(), "agent-9")
		convey.So(err, convey.ShouldNotBeNil)
	})
}
