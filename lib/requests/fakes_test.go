package requests

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/blake3"

	"firford/lib/configurations"
	"firford/lib/platform"
)

// fakeRunner runs each attempt once and keeps its answer. The text of an answer
// is derived from the body of the request, so that the answer of another
// request is detected.
type fakeRunner struct {
	mutex     sync.Mutex
	attempts  map[string]*fakeAttempt
	runs      map[string]int // Number of runs by request body.
	refuse    bool
	version   string
	partPause time.Duration
	parts     int
	stopAfter int
}

type fakeAttempt struct {
	state     AttemptState
	afterPart int
	texts     []string
	outcome   Outcome
	changed   chan struct{}
}

func newFakeRunner() *fakeRunner {
	return &fakeRunner{attempts: map[string]*fakeAttempt{}, runs: map[string]int{}, version: "v1", parts: 3}
}

func answerText(body []byte, number int) string {
	return fmt.Sprintf("%s/%d ", BodyDigest(body)[:8], number)
}

func (runner *fakeRunner) Run(ctx context.Context, request Request, deliver func(Part)) Outcome {
	runner.mutex.Lock()
	attempt, known := runner.attempts[request.AttemptID]
	if known && attempt.state == AttemptNotRun {
		runner.mutex.Unlock()
		return NotRun{Code: CodeCancelled, Message: "recorded as never run"}
	}
	if !known {
		attempt = &fakeAttempt{state: AttemptRunning, afterPart: request.AfterPart, changed: make(chan struct{})}
		runner.attempts[request.AttemptID] = attempt
		if runner.refuse {
			attempt.state = AttemptNotRun
			runner.mutex.Unlock()
			return NotRun{Code: CodeOverloaded, Message: "full", RetryAt: time.Now().Add(time.Second)}
		}
		runner.runs[string(request.Body)]++
		go runner.execute(request, attempt)
	}
	runner.mutex.Unlock()
	return runner.follow(ctx, request.AttemptID, attempt, request.AfterPart, deliver)
}

func (runner *fakeRunner) execute(request Request, attempt *fakeAttempt) {
	hash := blake3.New()
	end := Answered{Version: runner.version}
	for number := request.AfterPart + 1; request.Stream && number <= runner.parts; number++ {
		time.Sleep(runner.partPause)
		if runner.stopAfter > 0 && number > runner.stopAfter {
			runner.finish(attempt, Unknown{Code: CodeOutcomeUnknown, Message: "engine failed"}, AttemptUnknown)
			return
		}
		text := answerText(request.Body, number)
		_, _ = hash.WriteString(text)
		runner.mutex.Lock()
		attempt.texts = append(attempt.texts, text)
		close(attempt.changed)
		attempt.changed = make(chan struct{})
		runner.mutex.Unlock()
	}
	if request.Stream {
		end.Parts, end.Digest = runner.parts, hex.EncodeToString(hash.Sum(nil))
	} else {
		time.Sleep(runner.partPause)
		end.Body, _ = json.Marshal(answerText(request.Body, 0))
		end.Digest = BodyDigest(end.Body)
	}
	runner.finish(attempt, end, AttemptAnswered)
}

func (runner *fakeRunner) finish(attempt *fakeAttempt, end Outcome, state AttemptState) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	attempt.outcome, attempt.state = end, state
	close(attempt.changed)
	attempt.changed = make(chan struct{})
}

func (runner *fakeRunner) follow(ctx context.Context, id string, attempt *fakeAttempt, after int, deliver func(Part)) Outcome {
	next := after + 1
	for {
		runner.mutex.Lock()
		texts, end, change := attempt.texts, attempt.outcome, attempt.changed
		runner.mutex.Unlock()
		for ; next <= attempt.afterPart+len(texts); next++ {
			deliver(Part{AttemptID: id, Number: next, Text: texts[next-attempt.afterPart-1]})
		}
		if end != nil {
			return end
		}
		select {
		case <-ctx.Done():
			return Unknown{Code: CodeOutcomeUnknown, Message: "deadline"}
		case <-change:
		}
	}
}

func (runner *fakeRunner) Collect(ctx context.Context, attemptID string, afterPart int, deliver func(Part)) Outcome {
	runner.mutex.Lock()
	attempt := runner.attempts[attemptID]
	unknown := attempt == nil || attempt.state == AttemptNotRun
	runner.mutex.Unlock()
	if unknown {
		return Unknown{Code: CodeOutcomeUnknown, Message: "no such attempt"}
	}
	return runner.follow(ctx, attemptID, attempt, afterPart, deliver)
}

func (runner *fakeRunner) Resolve(attemptID string) AttemptState {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	attempt, known := runner.attempts[attemptID]
	if !known {
		runner.attempts[attemptID] = &fakeAttempt{state: AttemptNotRun}
		return AttemptNotRun
	}
	return attempt.state
}

func (runner *fakeRunner) Cancel(string) {}

func (runner *fakeRunner) Load() Load { return Load{Slots: 8} }

func (runner *fakeRunner) countRuns(body string) int {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.runs[body]
}

// resumedAfter reports whether an attempt began after the part.
func (runner *fakeRunner) resumedAfter(part int) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	for _, attempt := range runner.attempts {
		if attempt.afterPart == part {
			return true
		}
	}
	return false
}

// fakeTable is a transactional table in memory. fault is called for each
// transaction and each read and returns the fault to inject.
type fakeTable struct {
	mutex        sync.Mutex
	rows         map[string]platform.Row
	revision     int64
	fault        func() tableFault
	transactions int
}

type tableFault int

const (
	faultNone tableFault = iota
	faultUnavailable
	faultLostBefore // The answer is lost and the writes do not take effect.
	faultLostAfter  // The answer is lost and the writes take effect.
)

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, fault: func() tableFault { return faultNone }}
}

func (table *fakeTable) Transact(_ context.Context, conditions []platform.Condition, writes []platform.Write) (int64, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.transactions++
	fault := table.fault()
	switch fault {
	case faultUnavailable:
		return 0, platform.ErrUnavailable
	case faultLostBefore:
		return 0, platform.ErrOutcomeUnknown
	}
	var conflict platform.ConflictError
	for _, condition := range conditions {
		row := table.rows[condition.Key]
		if row.Revision != condition.Revision {
			row.Key = condition.Key
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		if fault == faultLostAfter {
			return 0, platform.ErrOutcomeUnknown
		}
		return 0, &conflict
	}
	table.revision++
	for _, write := range writes {
		if write.Delete {
			delete(table.rows, write.Key)
			continue
		}
		table.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: table.revision}
	}
	if fault == faultLostAfter {
		return 0, platform.ErrOutcomeUnknown
	}
	return table.revision, nil
}

func (table *fakeTable) Read(_ context.Context, key string) (platform.Row, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.fault() == faultUnavailable {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, found := table.rows[key]
	if !found {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (table *fakeTable) Scan(context.Context, string, int64) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (table *fakeTable) transactionCount() int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.transactions
}

func (table *fakeTable) setFault(fault func() tableFault) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.fault = fault
}

// fakeSource is a configuration that does not change.
type fakeSource struct{ snapshot configurations.Snapshot }

func (source fakeSource) Current() configurations.Snapshot { return source.snapshot }

func (source fakeSource) Wait(ctx context.Context, _ int64) (configurations.Snapshot, error) {
	<-ctx.Done()
	return source.snapshot, ctx.Err()
}

const testToken = "secret"

func testSnapshot() configurations.Snapshot {
	return configurations.NewSnapshot(7, []configurations.Entry{
		{Object: configurations.Deployment{Name: "plant", Type: configurations.DeploymentEngine}, Revision: 1},
		{Object: configurations.Deployment{Name: "lots", Type: configurations.DeploymentService}, Revision: 2},
		{Object: configurations.Routing{Deployment: "plant", Spill: configurations.SpillAnywhere}, Revision: 3},
		{Object: configurations.Organisation{Name: "mill", TokenHash: tokenHash(testToken)}, Revision: 4},
		{Object: configurations.Organisation{Name: "slow", TokenHash: tokenHash("slow"), RequestsPerSecond: 1}, Revision: 5},
	})
}

func longBody(size int) string {
	return `{"prompt":"` + strings.Repeat("x", size) + `"}`
}
