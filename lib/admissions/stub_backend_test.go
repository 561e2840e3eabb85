package admissions_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"firford/cmd/fakeengine/tokens"
	"firford/lib/engines"
)

// Conditions of the stub backend server.
const (
	working  condition = iota
	killed             // The process is gone: new connections fail and open ones break.
	frozen             // No request is answered, not even one for the status.
	silent             // Open connections stop responding; new ones work.
	refusing           // Generate is refused as overloaded.
	failing            // Connections break at the next token, new ones before their first.
)

const (
	stubSlots     = 4
	stubTokenTime = 9 * time.Millisecond
	// statusTimeout is the time after which engines.Client gives up a status request.
	statusTimeout = engines.DefaultSilenceLimit * 2 / 3
)

type (
	condition int

	// stubBackend is a backend server that runs in the simulated time of synctest.
	stubBackend struct {
		mutex          sync.Mutex
		condition      condition
		changed        chan struct{}
		version        string
		versionChanges int // How often the version was set.
		leaving        bool
		executions     map[string]int
		startTimes     []time.Time
		cutOffAt       map[string]time.Time // When the queue cancelled a request, by request id.
		running        int
		maxRunning     int
		mismatchedAt   time.Time // When an answer that started after the last change of version first stated another version than v1.
	}
)

var errConnectionReset = errors.New("connection reset")

func newStubBackend() *stubBackend {
	return &stubBackend{changed: make(chan struct{}), version: "v1", executions: map[string]int{}, cutOffAt: map[string]time.Time{}}
}

func (server *stubBackend) update(change func()) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	change()
	close(server.changed)
	server.changed = make(chan struct{})
}

func (server *stubBackend) currentCondition() (condition, chan struct{}) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.condition, server.changed
}

// Generate implements Backend.
func (server *stubBackend) Generate(ctx context.Context, generation engines.Generation, deliver func(engines.Token)) (engines.Completion, error) {
	version, change, err := server.beginExecution(generation.RequestID)
	if err != nil {
		return engines.Completion{}, err
	}
	defer server.endExecution()
	answer := tokens.New(generation.RequestID, generation.Prompt, version)
	for sequence := generation.ResumeFrom + 1; sequence <= generation.MaxTokens; sequence++ {
		if err := server.produceToken(ctx, generation.RequestID); err != nil {
			return engines.Completion{}, err
		}
		deliver(engines.Token{Sequence: sequence, Text: answer.Token(sequence)})
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if version != "v1" && change == server.versionChanges && server.mismatchedAt.IsZero() {
		server.mismatchedAt = time.Now()
	}
	return engines.Completion{Tokens: generation.MaxTokens, Version: version}, nil
}

func (server *stubBackend) beginExecution(requestID string) (version string, change int, err error) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch server.condition {
	case killed:
		return "", 0, &engines.UnreachableError{Err: errConnectionReset}
	case refusing:
		return "", 0, &engines.RefusedError{Status: 503, Code: engines.CodeOverloaded}
	}
	server.executions[requestID]++
	server.startTimes = append(server.startTimes, time.Now())
	server.running++
	server.maxRunning = max(server.maxRunning, server.running)
	return server.version, server.versionChanges, nil
}

func (server *stubBackend) endExecution() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.running--
}

// produceToken waits for the time of one token and then fails or hangs as the
// present condition requires.
func (server *stubBackend) produceToken(ctx context.Context, requestID string) error {
	timer := time.NewTimer(stubTokenTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return server.cutOff(ctx, requestID)
	}
	switch current, changed := server.currentCondition(); current {
	case killed, failing:
		return &engines.InterruptedError{Err: errConnectionReset}
	case frozen, silent:
		return server.hang(ctx, requestID, engines.DefaultSilenceLimit, changed)
	default:
		return nil
	}
}

func (server *stubBackend) hang(ctx context.Context, requestID string, timeout time.Duration, changed chan struct{}) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		current, _ := server.currentCondition()
		return &engines.InterruptedError{Err: errConnectionReset, Silent: true, ServerAlive: current != frozen}
	case <-changed:
		return nil
	case <-ctx.Done():
		return server.cutOff(ctx, requestID)
	}
}

func (server *stubBackend) cutOff(ctx context.Context, requestID string) error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.cutOffAt[requestID] = time.Now()
	return &engines.InterruptedError{Err: ctx.Err()}
}

// Call implements Backend.
func (server *stubBackend) Call(context.Context, engines.Call) (engines.Answer, error) {
	return engines.Answer{}, &engines.RefusedError{Status: 400, Code: engines.CodeMalformed}
}

// Status implements Backend.
func (server *stubBackend) Status(ctx context.Context) (engines.Status, error) {
	current, changed := server.currentCondition()
	switch current {
	case killed:
		return engines.Status{}, &engines.UnreachableError{Err: errConnectionReset}
	case frozen:
		if err := server.hang(ctx, "", statusTimeout, changed); err != nil {
			return engines.Status{}, err
		}
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return engines.Status{Version: server.version, Slots: stubSlots, Leaving: server.leaving}, nil
}

// Cancel implements Backend.
func (server *stubBackend) Cancel(context.Context, string) error { return nil }
