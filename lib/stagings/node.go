package stagings

// A Node runs three loops for one engine: one polls the engine's status, one
// fetches the next version, and one starts the newest version that is complete.

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"firford/lib/hosts"
	"firford/lib/waits"
)

const (
	// connectTimeout bounds a new connection to a peer or the origin.
	connectTimeout = 400 * time.Millisecond
	// statusInterval is the interval between polls of the engine's status. They cost
	// next to nothing, since the engine is on the same machine.
	statusInterval = 40 * time.Millisecond
	// idleDelay is the delay after a step that had nothing to do.
	idleDelay = 60 * time.Millisecond
	// engineLossTime is how long an engine may fail to answer before its agent no longer
	// takes part in fetching: it usually stops soon after its engine.
	engineLossTime = 400 * time.Millisecond
	// servingLinkShare is the share of the link that transfers may use while the
	// engine answers requests. They are not limited while the engine is idle.
	servingLinkShare = 0.85
	// keptVersions is how many versions are kept in memory for peers.
	keptVersions = 3
	bitsPerByte  = 8
	megabit      = 1e6
)

type (
	// Status is an engine's own report. StartedUnixMilli is when the engine started,
	// as Unix time in milliseconds, and Sequence counts its orders since then. Busy
	// is set while it carries out an order. Versions holds only the models of which
	// the engine has all layers in one version.
	Status struct {
		StartedUnixMilli int64
		Sequence         int
		Busy             bool
		Running          int
		Queued           int
		Versions         map[string]int
	}

	// Order is an order to an engine to load the staged pieces. Sequence is the number
	// of orders that the engine must have accepted before. With AbortRunning the engine
	// aborts its running requests, otherwise it finishes them first.
	Order struct {
		Model        string
		Version      int
		Sequence     int
		AbortRunning bool
	}

	// Engine is the client of the engine on this machine. ReadPiece and StagePiece
	// access its staging area.
	Engine interface {
		Status(ctx context.Context) (Status, error)
		ReadPiece(ctx context.Context, model string, piece int) ([]byte, error)
		StagePiece(ctx context.Context, model string, piece int, body []byte) error
		// Start returns an error unless the engine accepted the order or has already
		// carried it out.
		Start(ctx context.Context, order Order) error
	}

	// Origin serves manifests and pieces over a slow link that all agents share.
	Origin interface {
		Manifest(ctx context.Context, model string, version int) (Manifest, error)
		Piece(ctx context.Context, model string, version, piece int) ([]byte, error)
	}

	// ManifestStore stores manifests so that they outlive every process.
	ManifestStore interface {
		LoadManifest(ctx context.Context, model string, version int) (Manifest, error)
		SaveManifest(ctx context.Context, manifest Manifest) error
	}

	// Target is a version that the engine is to serve. AnnouncedAt and Due are zero
	// for a version that was announced before this process started: it is started
	// as soon as it is complete. Pieces is the number of pieces, zero if unknown.
	Target struct {
		Model       string
		Version     int
		Pieces      int
		AnnouncedAt time.Time
		Due         time.Time
	}

	// FleetView is what the agent knows of the rest of the system. Targets are the
	// versions of the engine's model from the oldest to the newest; the last one is
	// the version that the engine must serve in the end. OriginMbps is the rate of
	// the origin's link in Mbit/s, zero if unknown.
	FleetView struct {
		Targets    []Target
		Peers      []Peer
		OriginMbps float64
	}

	// Dependencies are the dependencies of a node. LinkMbps is the rate of the
	// machine's link in Mbit/s. Report is called with each status of the engine;
	// closed is set while the engine should get no new requests.
	Dependencies struct {
		Self          hosts.Host
		Engine        Engine
		Origin        Origin
		ManifestStore ManifestStore
		FleetView     func() FleetView
		Report        func(status Status, closed bool)
		LinkMbps      float64
		UploadLimiter *rate.Limiter
		Logger        *zap.Logger
		Scope         tally.Scope
	}

	// Node fetches the versions of its FleetView and starts them at its engine.
	Node struct {
		Dependencies
		peerClient *peerClient
		download   *rate.Limiter

		// stageMutex guards the engine's staging area. startingVersion is the version
		// that is being started, or zero; meanwhile no other version may be staged.
		stageMutex      sync.RWMutex
		startingVersion int

		// originMutex is held while this agent's own pieces are read from the origin, and
		// replacing while it reads a piece in place of another agent. originFailures counts
		// the reads that failed in a row.
		originMutex    sync.Mutex
		replacing      sync.Mutex
		originFailures atomic.Int64

		// receiving holds a token for each piece that a peer may be pushing here.
		receiving chan struct{}

		mutex        sync.Mutex
		status       Status
		lastStatusAt time.Time
		closed       bool
		pushQueue    chan pushTask
		contents     map[int]*content
		plans        map[int]Plan
		// takenOver holds, by version, the pieces that this agent reads because their readers
		// have stopped.
		takenOver     map[int][]int
		failedFetches map[int]int
		suspects      map[string]time.Time
	}
)

// New returns a node that does nothing until Run is called.
func New(dependencies Dependencies) *Node {
	return &Node{
		Dependencies:  dependencies,
		peerClient:    newPeerClient(),
		download:      rate.NewLimiter(rate.Inf, maxPieceBytes),
		contents:      map[int]*content{},
		pushQueue:     make(chan pushTask, pushQueueSize),
		receiving:     make(chan struct{}, maxReceivedPushes),
		plans:         map[int]Plan{},
		takenOver:     map[int][]int{},
		failedFetches: map[int]int{},
		suspects:      map[string]time.Time{},
	}
}

// Run runs the node until the context ends. Fetching and starting run
// concurrently, because a version may be announced while an earlier one is being
// started. This agent's own pieces of the newest version are read while an earlier
// one is still being completed, because the origin may be unavailable later.
func (node *Node) Run(ctx context.Context) {
	go node.pollStatus(ctx)
	go node.updateMetrics(ctx)
	for range pushWorkers {
		go node.runPushes(ctx)
	}
	go repeat(ctx, node.fetchNext)
	go repeat(ctx, node.readAhead)
	repeat(ctx, node.startNext)
}

// repeat calls step until the context ends, with a delay after each call that
// returns false.
func repeat(ctx context.Context, step func(context.Context) bool) {
	for ctx.Err() == nil {
		if !step(ctx) {
			waits.Sleep(ctx, idleDelay)
		}
	}
}

// pollStatus polls the engine's status until the context ends. It logs only the
// first of several failures in a row.
func (node *Node) pollStatus(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		status, err := node.Engine.Status(ctx)
		switch {
		case err == nil:
			if lost {
				node.Logger.Info("engine regained", zap.Int64("born", status.StartedUnixMilli))
			}
			lost = false
			node.applyStatus(status)
		case !lost:
			lost = true
			node.Logger.Warn("engine lost", zap.Error(err))
		}
		waits.Sleep(ctx, statusInterval)
	}
}

// applyStatus stores and reports a status of the engine, and sets the transfer
// limits for its load.
func (node *Node) applyStatus(status Status) {
	node.mutex.Lock()
	if status.StartedUnixMilli != node.status.StartedUnixMilli {
		node.Logger.Info("engine started", zap.Int64("born", status.StartedUnixMilli), zap.Any("versions", status.Versions))
	}
	node.status = status
	node.lastStatusAt = time.Now()
	closed := node.closed || status.Busy
	node.mutex.Unlock()
	limit := rate.Inf
	if status.Running > 0 && node.LinkMbps > 0 {
		limit = rate.Limit(servingLinkShare * node.LinkMbps * megabit / bitsPerByte)
	}
	node.UploadLimiter.SetLimit(limit)
	node.download.SetLimit(limit)
	node.Report(status, closed)
}

// latestStatus returns the newest status of the engine, and false if there is none
// yet.
func (node *Node) latestStatus() (Status, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.status, !node.lastStatusAt.IsZero()
}

// setClosed sets whether the engine should get no new requests, and reports it.
func (node *Node) setClosed(closed bool) {
	node.mutex.Lock()
	node.closed = closed
	status := node.status
	node.mutex.Unlock()
	node.Report(status, closed || status.Busy)
}

// contentOf returns the content of a version that a peer requests, or nil if it is
// not kept here.
func (node *Node) contentOf(model, version string) *content {
	number, err := strconv.Atoi(version)
	if err != nil {
		return nil
	}
	content := node.content(number)
	if content == nil || content.manifest.Model != model {
		return nil
	}
	return content
}

func (node *Node) content(version int) *content {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.contents[version]
}

// fetchNext fetches the content of the next target. It returns false if there is
// nothing to fetch or if the fetch should be retried after a delay.
func (node *Node) fetchNext(ctx context.Context) bool {
	target, found := node.nextTarget()
	status, seen := node.latestStatus()
	if !found || !seen {
		return false
	}
	content := node.openContent(ctx, target)
	if content == nil || content.complete() {
		return false
	}
	return node.fetchMissing(ctx, content, target, status)
}

// readAhead reads the manifest of the newest version and this agent's own pieces of it
// while an older version is still being completed. It returns false, because there is
// nothing to repeat at once.
func (node *Node) readAhead(ctx context.Context) bool {
	next, newest, found := node.wantedTargets()
	if !found || next.Version == newest.Version {
		return false
	}
	content := node.openContent(ctx, newest)
	if content == nil || node.readsFromOrigin(next) {
		return false
	}
	if own := ownMissing(content, node.distributionPlan(content, newest)); len(own) > 0 {
		node.readOwnPieces(ctx, content, newest, own)
	}
	return false
}

// readsFromOrigin reports whether this agent still has to read pieces of the target
// from the origin.
func (node *Node) readsFromOrigin(target Target) bool {
	content := node.content(target.Version)
	if content == nil {
		return true
	}
	return len(ownMissing(content, node.planFor(target))) > 0
}

// openContent returns the content of the target. If there is none yet, it fetches
// the manifest and creates it. It returns nil if the manifest is not available.
func (node *Node) openContent(ctx context.Context, target Target) *content {
	if content := node.content(target.Version); content != nil {
		return content
	}
	manifest, ok := node.findManifest(ctx, target)
	if !ok {
		return nil
	}
	// The limiters must allow a burst of one piece, or no piece could be sent.
	node.UploadLimiter.SetBurst(int(manifest.PieceBytes))
	node.download.SetBurst(int(manifest.PieceBytes))
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if content := node.contents[target.Version]; content != nil {
		return content
	}
	content := newContent(manifest)
	node.contents[target.Version] = content
	for version := range node.contents {
		if version <= target.Version-keptVersions {
			delete(node.contents, version)
			delete(node.failedFetches, version)
			delete(node.plans, version)
			delete(node.takenOver, version)
		}
	}
	node.Logger.Info("version wanted", zap.String("model", target.Model), zap.Int("version", target.Version))
	return content
}

// startNext starts the newest version whose content is complete, if the engine
// serves an older one or none. A version that has been superseded is still started
// if its successor is not complete yet, because the engine has to leave the old
// version in time.
func (node *Node) startNext(ctx context.Context) bool {
	status, seen := node.latestStatus()
	if !seen || status.Busy {
		return false
	}
	target, content := node.startableTarget(status)
	if content == nil {
		return false
	}
	return node.startVersion(ctx, content, target, status)
}

// planFor returns the last plan for the target. If there is none, it makes one from
// the platform's list of peers.
func (node *Node) planFor(target Target) Plan {
	node.mutex.Lock()
	plan, isPlanned := node.plans[target.Version]
	node.mutex.Unlock()
	if isPlanned {
		return plan
	}
	return node.computePlan(target, node.FleetView().Peers)
}

// computePlan makes the plan for the target and caches it until the next one.
func (node *Node) computePlan(target Target, peers []Peer) Plan {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	input := PlanInput{Self: node.Self, Peers: peers, FailedFetches: node.failedFetches[target.Version]}
	plan := NewPlan(versionKey(target.Model, target.Version), max(1, target.Pieces), input).WithOwnPieces(node.takenOver[target.Version])
	node.plans[target.Version] = plan
	return plan
}

// distributionPlan returns the plan by which the pieces of the target are read from the
// origin and pushed. It is made once, so that the reader of a piece and those who push
// it on follow the same plan.
func (node *Node) distributionPlan(content *content, target Target) Plan {
	node.mutex.Lock()
	plan, isPlanned := node.plans[target.Version]
	isFirst := node.failedFetches[target.Version] == 0 && !target.AnnouncedAt.IsZero()
	node.mutex.Unlock()
	if isPlanned {
		return plan
	}
	peers := node.probePeers(content, target)
	if isFirst {
		peers = withoutFirstPieces(peers, len(content.manifest.Digests))
	}
	return node.computePlan(target, peers)
}

// dropPlan makes the next call of distributionPlan plan again.
func (node *Node) dropPlan(version int) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	delete(node.plans, version)
}

// recordFailedFetch records that a fetch of the version ended without all pieces. The
// next one follows a new plan.
func (node *Node) recordFailedFetch(version int) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.failedFetches[version]++
	delete(node.plans, version)
}

// markSuspect makes this agent avoid the peer until the given time.
func (node *Node) markSuspect(name string, until time.Time) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.suspects[name] = until
}
