package fake

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
	blockBytes       = 64 // Prompt text is cached and computed in blocks of this size.
	blocksPerStep    = 32 // Prompt blocks that one step computes besides the tokens.
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
		checker  invariants.Asserter
		ctx      context.Context
		wake     chan struct{}

		mutex        sync.Mutex
		faults       faults
		changed      chan struct{} // Closed and replaced on each change of the faults.
		waiting      waitingList
		active       []*sequence
		arrivals     int64
		serving      content
		order        *order // The order that is being loaded.
		orders       []*order
		highestToken int64
		failedOrder  string
		role         string
		cache        *prefixCache
		load         loadHistory
		record       *record
		answers      int64 // Answers begun, for the choice of those to corrupt.
	}

	// content is what an engine serves: a version as a whole or nothing.
	content struct {
		version        string
		manifestDigest string
		orderID        string
		whole          bool
	}

	// sequence is one request in the batch.
	sequence struct {
		requestID string
		priority  int
		arrival   int64
		total     int // Tokens of the whole answer.
		done      int // Tokens that exist, including those before the resumption.
		prefill   int // Prompt blocks still to compute.
		content   content
		answer    tokens.Answer
		damage    damage
		progress  chan int // Newest value of done; closed when cancelled.
		closed    bool
	}

	waitingList []*sequence
)

// New returns an engine whose batch runs until the context ends. It keeps its
// record in memory only.
func New(ctx context.Context, settings Settings, logger *zap.Logger, checker invariants.Asserter) *Engine {
	engine := newEngine(ctx, settings, journal{}, logger, checker)
	go engine.batch()
	return engine
}

func newEngine(ctx context.Context, settings Settings, journal journal, logger *zap.Logger, checker invariants.Asserter) *Engine {
	engine := &Engine{
		settings: settings,
		logger:   logger,
		checker:  checker,
		ctx:      ctx,
		wake:     make(chan struct{}, 1),
		changed:  make(chan struct{}),
		faults:   faults{Speed: 1, RefuseTokens: settings.RefuseTokens},
		role:     roleServe,
		cache:    newPrefixCache(settings.PrefixBlocks, settings.CacheLag),
		record:   newRecord(settings.RecordLimit, journal),
	}
	if settings.Version != "" && !settings.Empty {
		engine.serve(content{version: settings.Version, whole: true}, time.Now())
	}
	return engine
}

// serve puts a content into service. Callers hold the mutex or own the engine.
func (engine *Engine) serve(served content, now time.Time) {
	engine.checker.Check(served.whole, invariants.WholeVersion, zap.String("version", served.version), zap.String("order_id", served.orderID))
	engine.checker.Check(len(engine.active) == 0, invariants.WholeVersion, zap.Int("running", len(engine.active)))
	engine.serving = served
	engine.record.served(served, now)
}

// submit queues a request and returns its sequence, or why it is refused.
func (engine *Engine) submit(body generateRequest) (*sequence, *refusal) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.refusal(); refused != nil {
		return nil, refused
	}
	engine.arrivals++
	engine.answers++
	next := &sequence{
		requestID: body.RequestID,
		priority:  body.Priority,
		arrival:   engine.arrivals,
		total:     min(max(body.MaxTokens, 0), maxTokens),
		done:      body.ResumeFrom,
		prefill:   engine.cache.missing(body.Prompt, time.Now()),
		content:   engine.serving,
		answer:    tokens.New(body.RequestID, body.Prompt, engine.serving.version),
		damage:    engine.faults.damageOf(engine.answers),
		progress:  make(chan int, 1),
	}
	engine.record.ran(body.RequestID, kindGenerate, engine.serving.version, body.ResumeFrom, time.Now())
	heap.Push(&engine.waiting, next)
	engine.noteLoad()
	engine.nudge()
	return next, nil
}

func (engine *Engine) refusal() *refusal {
	switch {
	case engine.faults.Leaving:
		return &refusal{status: 503, Code: codeLeaving}
	case engine.order != nil:
		return &refusal{status: 503, Code: codeLoading}
	case engine.serving.version == "" || engine.role != roleServe:
		return &refusal{status: 503, Code: codeNotServing}
	case len(engine.waiting) >= engine.settings.Queue && len(engine.active) >= engine.settings.Slots:
		return &refusal{status: 503, Code: codeOverloaded, RetryAfterMS: 1000}
	default:
		return nil
	}
}

// batch runs one step after the other while there is work.
func (engine *Engine) batch() {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		span, busy := engine.pace()
		if !busy {
			select {
			case <-engine.wake:
				next = time.Now()
				continue
			case <-engine.ctx.Done():
				return
			}
		}
		next = next.Add(span)
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
			engine.step()
		case <-engine.ctx.Done():
			return
		}
	}
}

// pace returns the time of the next step and whether there is one to do.
func (engine *Engine) pace() (time.Duration, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.faults.Freeze || len(engine.active)+len(engine.waiting) == 0 {
		return 0, false
	}
	return time.Duration(float64(engine.settings.Step) / engine.faults.Speed), true
}

// step admits waiting requests, computes prompt blocks within the step's budget
// and gives each request whose prompt is computed one more token.
func (engine *Engine) step() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for len(engine.waiting) > 0 && len(engine.active) < engine.settings.Slots {
		engine.active = append(engine.active, heap.Pop(&engine.waiting).(*sequence))
	}
	budget := blocksPerStep
	kept := engine.active[:0]
	for _, running := range engine.active {
		computed := min(budget, running.prefill)
		running.prefill -= computed
		budget -= computed
		if running.prefill == 0 {
			engine.advance(running)
		}
		if !running.closed && running.done < running.total {
			kept = append(kept, running)
		}
	}
	clear(engine.active[len(kept):])
	engine.active = kept
	engine.noteLoad()
}

func (engine *Engine) advance(running *sequence) {
	if running.closed {
		return
	}
	engine.checker.Check(running.content == engine.serving && engine.serving.whole, invariants.WholeVersion,
		zap.String("request_id", running.requestID), zap.String("version", running.content.version))
	running.done = min(running.done+1, running.total)
	select {
	case <-running.progress:
	default:
	}
	running.progress <- running.done
}

// cancel ends every request with the id, or one sequence where only is set.
func (engine *Engine) cancel(requestID string, only *sequence) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	chosen := func(candidate *sequence) bool {
		return !candidate.closed && candidate.requestID == requestID && (only == nil || only == candidate)
	}
	for _, running := range engine.active {
		if chosen(running) {
			running.close()
		}
	}
	kept := engine.waiting[:0]
	for _, queued := range engine.waiting {
		if chosen(queued) {
			queued.close()
			continue
		}
		kept = append(kept, queued)
	}
	clear(engine.waiting[len(kept):])
	engine.waiting = kept
	heap.Init(&engine.waiting)
	engine.noteLoad()
}

func (running *sequence) close() {
	running.closed = true
	close(running.progress)
}

func (engine *Engine) nudge() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

func (engine *Engine) noteLoad() {
	engine.load.note(time.Now(), len(engine.active), len(engine.waiting))
}

// Len implements heap.Interface.
func (list waitingList) Len() int { return len(list) }

// Less implements heap.Interface: higher priority first, then order of arrival.
func (list waitingList) Less(i, j int) bool {
	if list[i].priority != list[j].priority {
		return list[i].priority > list[j].priority
	}
	return list[i].arrival < list[j].arrival
}

// Swap implements heap.Interface.
func (list waitingList) Swap(i, j int) { list[i], list[j] = list[j], list[i] }

// Push implements heap.Interface.
func (list *waitingList) Push(queued any) { *list = append(*list, queued.(*sequence)) }

// Pop implements heap.Interface.
func (list *waitingList) Pop() any {
	last := len(*list) - 1
	queued := (*list)[last]
	(*list)[last] = nil
	*list = (*list)[:last]
	return queued
}
