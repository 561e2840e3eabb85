package fake

// A real engine computes many requests in one batch, so the time to the first
// token and the time between tokens depend on load. The fake engine runs the same
// loop with a fixed step time: each step admits queued requests, computes some
// prompt blocks and adds one token to each request whose prompt is computed.

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/cmd/fakeengine/tokens"
	"firford/lib/invariants"
)

const (
	blockBytes       = 64 // Size of the blocks in which prompts are computed and cached.
	blocksPerStep    = 32 // Prompt blocks that one step computes in addition to tokens.
	maxTokens        = 16_384
	maxOpenOrders    = 4
	maxOrderPieces   = 1 << 16
	maxPieceBytes    = 64 << 20
	maxRequestBytes  = 2 << 20
	maxConnections   = 4096
	roleServe        = "serve"
	roleStandby      = "standby"
	codeLoading      = "loading"
	codeOverloaded   = "overloaded"
	codeLeaving      = "leaving"
	codeMalformed    = "malformed"
	codeNotServing   = "not_serving"
	codeStaleToken   = "stale_token"
	codeUnknownOrder = "unknown_order"
	codeIncomplete   = "incomplete"
	codeCancelled    = "cancelled"
)

type (
	// Engine is one fake backend server. It is safe for concurrent use.
	Engine struct {
		settings Settings
		logger   *zap.Logger
		checker  invariants.Checker
		ctx      context.Context
		wake     chan struct{} // Wakes the batch loop when it is idle.

		mutex          sync.Mutex
		faults         faults
		faultsChanged  chan struct{} // Closed and replaced on each change of the faults.
		waiting        waitingHeap
		active         []*sequence
		arrivals       int64
		serving        loadedVersion
		loadingOrder   *order   // The committed order whose version is being loaded.
		openOrders     []*order // Orders that are not committed yet, oldest first.
		highestToken   int64    // Highest fencing token seen.
		failedOrder    string   // Order of the last finished load, if that load failed.
		role           string
		cache          *prefixCache
		load           loadHistory
		record         *record
		answersStarted int64 // Selects the answers to damage.
	}

	// loadedVersion is the version that an engine serves. The zero value means that
	// it serves none.
	loadedVersion struct {
		version        string
		manifestDigest string
		orderID        string
		complete       bool
	}

	// sequence is one request that is queued or in the batch.
	sequence struct {
		requestID string
		priority  int
		arrival   int64
		total     int // Tokens of the whole answer.
		done      int // Tokens computed so far, including those before the resumption.
		prefill   int // Prompt blocks that are not computed yet.
		served    loadedVersion
		answer    tokens.Answer
		damage    damage
		progress  chan int // Latest value of done; closed when the request is cancelled.
		closed    bool     // Whether progress is closed.
	}

	// waitingHeap is the queue of requests, ordered by priority and arrival.
	waitingHeap []*sequence
)

// New returns an engine whose batch loop runs until the context ends. Its record
// is kept in memory only.
func New(ctx context.Context, settings Settings, logger *zap.Logger, checker invariants.Checker) *Engine {
	engine := newEngine(ctx, settings, journal{}, logger, checker)
	go engine.runBatch()
	return engine
}

func newEngine(ctx context.Context, settings Settings, journal journal, logger *zap.Logger, checker invariants.Checker) *Engine {
	engine := &Engine{
		settings:      settings,
		logger:        logger,
		checker:       checker,
		ctx:           ctx,
		wake:          make(chan struct{}, 1),
		faultsChanged: make(chan struct{}),
		faults:        faults{Speed: 1, RefuseTokens: settings.RefuseTokens},
		role:          roleServe,
		cache:         newPrefixCache(settings.PrefixBlocks, settings.CacheLag),
		record:        newRecord(settings.RecordLimit, journal),
	}
	if settings.Version != "" && !settings.Empty {
		engine.setServing(loadedVersion{version: settings.Version, complete: true}, time.Now())
	}
	return engine
}

// setServing makes the engine serve the version. Callers hold the mutex or have
// not shared the engine yet.
func (engine *Engine) setServing(served loadedVersion, now time.Time) {
	engine.checker.Check(served.complete, invariants.WholeVersion, zap.String("version", served.version), zap.String("order_id", served.orderID))
	engine.checker.Check(len(engine.active) == 0, invariants.WholeVersion, zap.Int("running", len(engine.active)))
	engine.serving = served
	engine.record.addVersion(served, now)
}

// submit queues a request and returns its sequence, or a refusal.
func (engine *Engine) submit(body generateRequest) (*sequence, *refusal) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkAdmission(); refused != nil {
		return nil, refused
	}
	engine.arrivals++
	engine.answersStarted++
	queued := &sequence{
		requestID: body.RequestID,
		priority:  body.Priority,
		arrival:   engine.arrivals,
		total:     min(max(body.MaxTokens, 0), maxTokens),
		done:      body.ResumeFrom,
		prefill:   engine.cache.addPrompt(body.Prompt, time.Now()),
		served:    engine.serving,
		answer:    tokens.New(body.RequestID, body.Prompt, engine.serving.version),
		damage:    engine.faults.damageFor(engine.answersStarted),
		progress:  make(chan int, 1),
	}
	engine.record.addExecution(body.RequestID, kindGenerate, engine.serving.version, body.ResumeFrom, time.Now())
	heap.Push(&engine.waiting, queued)
	engine.recordLoad()
	engine.wakeBatch()
	return queued, nil
}

// checkAdmission returns the refusal of a new request, or nil if the engine
// accepts it. Callers hold the mutex.
func (engine *Engine) checkAdmission() *refusal {
	switch {
	case engine.faults.Leaving:
		return &refusal{status: 503, Code: codeLeaving}
	case engine.loadingOrder != nil:
		return &refusal{status: 503, Code: codeLoading}
	case engine.serving.version == "" || engine.role != roleServe:
		return &refusal{status: 503, Code: codeNotServing}
	case len(engine.waiting) >= engine.settings.Queue && len(engine.active) >= engine.settings.Slots:
		return &refusal{status: 503, Code: codeOverloaded, RetryAfterMS: 1000}
	default:
		return nil
	}
}

// runBatch runs one step after another while there are requests. The start of a
// step is computed from that of the step before, so that delays do not add up.
func (engine *Engine) runBatch() {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		duration, busy := engine.stepDuration()
		if !busy {
			select {
			case <-engine.wake:
				next = time.Now()
				continue
			case <-engine.ctx.Done():
				return
			}
		}
		next = next.Add(duration)
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
			engine.step()
		case <-engine.ctx.Done():
			return
		}
	}
}

// stepDuration returns the duration of the next step and whether the engine has
// requests and is not frozen.
func (engine *Engine) stepDuration() (time.Duration, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.faults.Freeze || len(engine.active)+len(engine.waiting) == 0 {
		return 0, false
	}
	return time.Duration(float64(engine.settings.Step) / engine.faults.Speed), true
}

// step moves queued requests into free slots, computes up to blocksPerStep prompt
// blocks and adds one token to each request whose prompt is computed.
func (engine *Engine) step() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for len(engine.waiting) > 0 && len(engine.active) < engine.settings.Slots {
		engine.active = append(engine.active, heap.Pop(&engine.waiting).(*sequence))
	}
	budget := blocksPerStep
	unfinished := engine.active[:0]
	for _, running := range engine.active {
		computed := min(budget, running.prefill)
		running.prefill -= computed
		budget -= computed
		if running.prefill == 0 {
			engine.addToken(running)
		}
		if !running.closed && running.done < running.total {
			unfinished = append(unfinished, running)
		}
	}
	clear(engine.active[len(unfinished):])
	engine.active = unfinished
	engine.recordLoad()
}

// addToken adds a token and replaces the value in the progress channel, so that
// it never blocks on a slow reader.
func (engine *Engine) addToken(running *sequence) {
	if running.closed {
		return
	}
	engine.checker.Check(running.served == engine.serving && engine.serving.complete, invariants.WholeVersion,
		zap.String("request_id", running.requestID), zap.String("version", running.served.version))
	running.done = min(running.done+1, running.total)
	select {
	case <-running.progress:
	default:
	}
	running.progress <- running.done
}

// cancel ends every request with the id. If only is set, it ends just that
// sequence.
func (engine *Engine) cancel(requestID string, only *sequence) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	matches := func(candidate *sequence) bool {
		return !candidate.closed && candidate.requestID == requestID && (only == nil || only == candidate)
	}
	for _, running := range engine.active {
		if matches(running) {
			running.close()
		}
	}
	remaining := engine.waiting[:0]
	for _, queued := range engine.waiting {
		if matches(queued) {
			queued.close()
			continue
		}
		remaining = append(remaining, queued)
	}
	clear(engine.waiting[len(remaining):])
	engine.waiting = remaining
	heap.Init(&engine.waiting)
	engine.recordLoad()
}

func (running *sequence) close() {
	running.closed = true
	close(running.progress)
}

// wakeBatch wakes the batch loop if it is idle. It never blocks.
func (engine *Engine) wakeBatch() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

func (engine *Engine) recordLoad() {
	engine.load.add(time.Now(), len(engine.active), len(engine.waiting))
}

// Len implements heap.Interface.
func (requests waitingHeap) Len() int { return len(requests) }

// Less implements heap.Interface. Requests with a higher priority come first,
// among equals those that arrived earlier.
func (requests waitingHeap) Less(i, j int) bool {
	if requests[i].priority != requests[j].priority {
		return requests[i].priority > requests[j].priority
	}
	return requests[i].arrival < requests[j].arrival
}

// Swap implements heap.Interface.
func (requests waitingHeap) Swap(i, j int) { requests[i], requests[j] = requests[j], requests[i] }

// Push implements heap.Interface.
func (requests *waitingHeap) Push(queued any) { *requests = append(*requests, queued.(*sequence)) }

// Pop implements heap.Interface.
func (requests *waitingHeap) Pop() any {
	last := len(*requests) - 1
	queued := (*requests)[last]
	(*requests)[last] = nil
	*requests = (*requests)[:last]
	return queued
}
