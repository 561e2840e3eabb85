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

// Guards against a refusal by one agent that reaches the caller although
// another agent would run the request.
func TestRetryElsewhere(t *testing.T) {
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

// Guards against a stream that restarts, repeats parts or is silently
// truncated when its backend server fails.
func TestStreamResumesElsewhere(t *testing.T) {
	fleet := startFleet(t, 2)
	for _, runner := range fleet.runners {
		runner.parts = 6
	}
	fleet.runners[0].stopAfter = 2
	convey.Convey("The answer is whole", t, func() {
		resumed := 0
		// The first choice is random; one stream in two begins at the failing agent.
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
	convey.Convey("Where nothing can continue it, the last line says so", t, func() {
		fleet.runners[1].stopAfter = 2
		status, lines := fleet.post(streamBody)
		convey.So(status, convey.ShouldEqual, 200)
		convey.So(lines[len(lines)-1], convey.ShouldContainSubstring, CodeStreamBroken)
	})
}

// Guards against a lost connection that fails or repeats a request although
// its agent still runs it.
func TestCollectOverNewConnection(t *testing.T) {
	fleet := startFleet(t, 1)
	fleet.runners[0].parts, fleet.runners[0].partPause = 5, 60*time.Millisecond
	convey.Convey("Streamed and keyed requests end whole after their links were cut", t, func() {
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

// Guards against requests that are cut off, or new ones that are accepted, when
// an entry is shut down.
func TestGracefulShutdown(t *testing.T) {
	fleet := startFleet(t, 1)
	fleet.runners[0].parts, fleet.runners[0].partPause = 5, 50*time.Millisecond
	convey.Convey("The request in progress ends whole", t, func() {
		var lines []string
		var wait sync.WaitGroup
		wait.Go(func() { _, lines = fleet.post(streamBody) })
		waitFor(func() bool { return totalRuns(fleet, streamBody) == 1 })
		fleet.stop()
		convey.So(<-fleet.ended, convey.ShouldBeNil)
		convey.So(fleet.front.InProgress(), convey.ShouldEqual, 0)
		wait.Wait()
		convey.So(lines[:5], convey.ShouldResemble, expectedStream(streamBody, 5))
		status, _ := fleet.post(plainBody)
		convey.So(status, convey.ShouldEqual, 0)
	})
}

// Guards against a key that runs twice when repeats cross, and against claims
// that each take a transaction of their own.
func TestCrossedRepeatsOfKeys(t *testing.T) {
	fleet := startFleet(t, 3)
	convey.Convey("Each key runs once and all repeats get its answer", t, func() {
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
		status, lines := fleet.send(http.MethodGet, "/v1/requests/k0", "")
		convey.So(status, convey.ShouldEqual, 200)
		convey.So(lines[0], convey.ShouldContainSubstring, `"outcome":"answered"`)
	})
}

// Guards against a request that runs without a certain claim, and against one
// that waits while the store is out.
func TestStoreFaults(t *testing.T) {
	fleet := startFleet(t, 1)
	keyed := func(key string) (int, string) {
		status, lines := fleet.post(plainBody, "Idempotent", "false", "Request-Key", key)
		return status, strings.Join(lines, "\n")
	}
	convey.Convey("With the store out the request is refused as not run, and idempotent ones go on", t, func() {
		fleet.table.setFault(func() tableFault { return faultUnavailable })
		status, text := keyed("out")
		convey.So(status, convey.ShouldEqual, 503)
		convey.So(text, convey.ShouldContainSubstring, CodeStoreUnavailable)
		convey.So(totalRuns(fleet, plainBody), convey.ShouldEqual, 0)
		status, _ = fleet.post(streamBody)
		convey.So(status, convey.ShouldEqual, 200)
	})
	convey.Convey("A lost answer to a write is read back, whether it took effect or not", t, func() {
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
			time.Sleep(storePause)
			status, _ := keyed(fmt.Sprintf("lost%d", index))
			convey.So(status, convey.ShouldEqual, 200)
			convey.So(totalRuns(fleet, plainBody), convey.ShouldEqual, before+1)
			// A claim that is taken for another's would have its attempt resolved first.
			convey.So(len(fleet.runners[0].attempts), convey.ShouldEqual, known+1)
		}
	})
}

// Guards against a claim of an entry that died before it sent the request:
// another entry has to run it, and the late message of the dead one must not.
func TestTakeOverOfUnusedClaim(t *testing.T) {
	fleet := startFleet(t, 1)
	convey.Convey("The repeat takes the claim over and the late attempt is refused", t, func() {
		dispatcher := fleet.front.dependencies.Dispatcher
		call := Call{Key: "k", Request: Request{Organisation: "mill", Deployment: "plant", Body: []byte(plainBody)}}
		held, _ := fleet.agents.pick("plant", "", nil, time.Now())
		record := newClaimRecord(call, held, "entry-dead")
		_, result := dispatcher.claims.put(context.Background(), claimKey("mill", "k"), 0, record)
		convey.So(result.won, convey.ShouldBeTrue)
		status, _ := fleet.post(plainBody, "Idempotent", "false", "Request-Key", "k")
		convey.So(status, convey.ShouldEqual, 200)
		late := call.Request
		late.AttemptID, late.Deadline = record.AttemptID, time.Now().Add(time.Second)
		outcome := dispatcher.attempt(context.Background(), held, late, newProgress(func(Part) {}))
		_, refused := outcome.(NotRun)
		convey.So(refused, convey.ShouldBeTrue)
		convey.So(totalRuns(fleet, plainBody), convey.ShouldEqual, 1)
	})
}

// Guards against claims of refused requests that stay and make every repeat of
// their key ask an agent.
func TestUnusedClaimIsReleased(t *testing.T) {
	fleet := startFleet(t, 1)
	convey.Convey("A claim whose writes were all lost is refused as not run and then deleted", t, func() {
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

// Guards against a repeat that can't ask the agent of its claim, because that
// agent is not in the subset of the repeat's entry.
func TestReachOutsideTheSubset(t *testing.T) {
	fleet := startFleet(t, 1)
	convey.Convey("A listed agent is reached over a link of its own, another is not", t, func() {
		fleet.agents.mutex.Lock()
		delete(fleet.agents.views, "agent-0")
		fleet.agents.mutex.Unlock()
		peer, done, err := fleet.agents.reach(context.Background(), "agent-0")
		convey.So(err, convey.ShouldBeNil)
		state, err := ResolveAttempt(context.Background(), peer, NewID(), "i1")
		convey.So(err, convey.ShouldBeNil)
		convey.So(state, convey.ShouldEqual, AttemptNotRun)
		done()
		<-peer.Done()
		_, _, err = fleet.agents.reach(context.Background(), "agent-9")
		convey.So(err, convey.ShouldNotBeNil)
	})
}
