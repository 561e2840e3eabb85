package admissions_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"firford/cmd/fakeengine/tokens"
	"firford/lib/engines"
)

// States of the stub of a backend server.
const (
	working  condition = iota
	killed             // Nothing listens; open exchanges break.
	frozen             // Nothing is answered.
	silent             // Open exchanges go silent, new ones work.
	refusing           // Generate is refused as overloaded.
	failing            // Exchanges break before the first token.
)

const (
	stubSlots = 4
	stubStep  = 9 * time.Millisecond
	// statusLimit is the time in which engines.Client gives up a status question.
	statusLimit = engines.DefaultSilenceLimit * 2 / 3
)

type (
	condition int

	// stub is a backend server in simulated time.
	stub struct {
		mutex      sync.Mutex
		condition  condition
		changed    chan struct{}
		version    string
		changes    int // Of the version.
		leaving    bool
		executions map[string]int
		starts     []time.Time
		cut        map[string]time.Time // Requests that the queue has ended, by request id.
		running    int
		most       int
		strayed    time.Time // When an answer begun since the last change of version stated another than v1.
	}
)

var errBroken = errors.New("connection reset")

func newStub() *stub {
	return &stub{changed: make(chan struct{}), version: "v1", executions: map[string]int{}, cut: map[string]time.Time{}}
}

func (server *stub) set(change func()) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	change()
	close(server.changed)
	server.changed = make(chan struct{})
}

func (server *stub) look() (condition, chan struct{}) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.condition, server.changed
}

// Generate implements Backend.
func (server *stub) Generate(ctx context.Context, generation engines.Generation, deliver func(engines.Token)) (engines.Completion, error) {
	version, change, err := server.begin(generation.RequestID)
	if err != nil {
		return engines.Completion{}, err
	}
	defer server.end()
	answer := tokens.New(generation.RequestID, generation.Prompt, version)
	for sequence := generation.ResumeFrom + 1; sequence <= generation.MaxTokens; sequence++ {
		if err := server.step(ctx, generation.RequestID); err != nil {
			return engines.Completion{}, err
		}
		deliver(engines.Token{Sequence: sequence, Text: answer.At(sequence)})
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if version != "v1" && change == server.changes && server.strayed.IsZero() {
		server.strayed = time.Now()
	}
	return engines.Completion{Tokens: generation.MaxTokens, Version: version}, nil
}

func (server *stub) begin(requestID string) (version string, change int, err error) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch server.condition {
	case killed:
		return "", 0, &engines.UnreachableError{Err: errBroken}
	case refusing:
		return "", 0, &engines.RefusedError{Status: 503, Code: engines.CodeOverloaded}
	}
	server.executions[requestID]++
	server.starts = append(server.starts, time.Now())
	server.running++
	server.most = max(server.most, server.running)
	return server.version, server.changes, nil
}

func (server *stub) end() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.running--
}

// step takes the time of one token and meets the fault of the moment.
func (server *stub) step(ctx context.Context, requestID string) error {
	timer := time.NewTimer(stubStep)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return server.cutOff(ctx, requestID)
	}
	switch now, changed := server.look(); now {
	case killed, failing:
		return &engines.BrokenError{Err: errBroken}
	case frozen, silent:
		return server.hang(ctx, requestID, engines.DefaultSilenceLimit, changed)
	default:
		return nil
	}
}

func (server *stub) hang(ctx context.Context, requestID string, limit time.Duration, changed chan struct{}) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-timer.C:
		now, _ := server.look()
		return &engines.BrokenError{Err: errBroken, Silent: true, Alive: now != frozen}
	case <-changed:
		return nil
	case <-ctx.Done():
		return server.cutOff(ctx, requestID)
	}
}

func (server *stub) cutOff(ctx context.Context, requestID string) error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.cut[requestID] = time.Now()
	return &engines.BrokenError{Err: ctx.Err()}
}

// Call implements Backend.
func (server *stub) Call(context.Context, engines.Call) (engines.Answer, error) {
	return engines.Answer{}, &engines.RefusedError{Status: 400, Code: engines.CodeMalformed}
}

// Status implements Backend.
func (server *stub) Status(ctx context.Context) (engines.Status, error) {
	now, changed := server.look()
	switch now {
	case killed:
		return engines.Status{}, &engines.UnreachableError{Err: errBroken}
	case frozen:
		if err := server.hang(ctx, "", statusLimit, changed); err != nil {
			return engines.Status{}, err
		}
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return engines.Status{Version: server.version, Slots: stubSlots, Leaving: server.leaving}, nil
}

// Cancel implements Backend.
func (server *stub) Cancel(context.Context, string) error { return nil }
