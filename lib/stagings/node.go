package stagings

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"firford/lib/hosts"
)

const (
	// connectTimeout bounds a new connection to a peer or the origin.
	connectTimeout = 400 * time.Millisecond
	// observePause is the pause between two looks at the engine's own report, which
	// is free on its own machine.
	observePause = 40 * time.Millisecond
	// stepPause is the pause after a step that could not do its work.
	stepPause = 60 * time.Millisecond
	// liveShare is the part of the link that transfers use while the engine answers
	// requests; an engine that answers none uses all of it.
	liveShare = 0.85
	// keptVersions is how many versions' pieces are kept for peers.
	keptVersions = 2
	bitsPerByte  = 8
	megabit      = 1e6
)

type (
	// Status is an engine's own report. Versions holds only models of which the
	// engine has all layers in one version. Sequence counts its orders since StartedUnixMilli,
	// which is the Unix millisecond of its start.
	Status struct {
		StartedUnixMilli int64
		Sequence         int
		Busy             bool
		Running          int
		Queued           int
		Versions         map[string]int
	}

	// Order tells an engine to start what lies beside it. Sequence is the number
	// of orders that the engine must have taken before. AbortRunning breaks off what runs;
	// without it the engine first finishes that.
	Order struct {
		Model        string
		Version      int
		Sequence     int
		AbortRunning bool
	}

	// Engine is the engine on this machine.
	Engine interface {
		Status(ctx context.Context) (Status, error)
		ReadPiece(ctx context.Context, model string, piece int) ([]byte, error)
		StagePiece(ctx context.Context, model string, piece int, body []byte) error
		// Start returns an error unless the engine took the order or has already
		// carried it out.
		Start(ctx context.Context, order Order) error
	}

	// Origin hands out manifests and pieces, over a slow link that all share.
	Origin interface {
		Manifest(ctx context.Context, model string, version int) (Manifest, error)
		Piece(ctx context.Context, model string, version, piece int) ([]byte, error)
	}

	// ManifestStore keeps manifests where they outlive every process.
	ManifestStore interface {
		LoadManifest(ctx context.Context, model string, version int) (Manifest, error)
		SaveManifest(ctx context.Context, manifest Manifest) error
	}

	// Target is the version that the engine is to serve. AnnouncedAt and Due are zero for
	// a version that was named before this process began to look: it is started as
	// soon as it is there. Pieces is the number of pieces, zero if unknown.
	Target struct {
		Model       string
		Version     int
		Pieces      int
		AnnouncedAt time.Time
		Due         time.Time
	}

	// FleetView is what the agent knows of the rest of the system. Targets are the
	// versions of the engine's model from the oldest to the newest; the last one is
	// the version that the engine has to come to in the end. OriginMbps is the rate
	// of the origin's link, zero if unknown.
	FleetView struct {
		Targets    []Target
		Peers      []Peer
		OriginMbps float64
	}

	// Dependencies are what a node needs. LinkMbps is the rate of the machine's
	// link. Report is told of each look at the engine; closed is set while it takes
	// no new requests.
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

	planned struct {
		plan    Plan
		version int
	}

	// Node brings the intended version to its engine.
	Node struct {
		Dependencies
		peers    *peers
		download *rate.Limiter

		// stage guards what lies beside the engine: starting is the version that is
		// being started, during which no other may be laid there.
		stage    sync.RWMutex
		starting int

		mutex     sync.Mutex
		status    Status
		observed  time.Time
		closed    bool
		handovers chan handover
		contents  map[int]*content
		planned   planned
		rounds    map[int]int
		suspects  map[string]time.Time
	}
)

// New returns a node.
func New(given Dependencies) *Node {
	return &Node{
		Dependencies: given,
		peers:        newPeers(),
		download:     rate.NewLimiter(rate.Inf, mostPieceBytes),
		contents:     map[int]*content{},
		handovers:    make(chan handover, handQueue),
		rounds:       map[int]int{},
		suspects:     map[string]time.Time{},
	}
}

// Run works until the context ends. Fetching and starting go on beside each
// other, because a version may be named while an earlier one is being started.
func (node *Node) Run(ctx context.Context) {
	go node.observe(ctx)
	go node.measure(ctx)
	for range handWorkers {
		go node.handOn(ctx)
	}
	go repeat(ctx, node.fetchNext)
	repeat(ctx, node.startNext)
}

func repeat(ctx context.Context, step func(context.Context) bool) {
	for ctx.Err() == nil {
		if !step(ctx) {
			sleep(ctx, stepPause)
		}
	}
}

func sleep(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// observe looks at the engine again and again.
func (node *Node) observe(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		status, err := node.Engine.Status(ctx)
		switch {
		case err == nil:
			if lost {
				node.Logger.Info("engine regained", zap.Int64("born", status.StartedUnixMilli))
			}
			lost = false
			node.take(status)
		case !lost:
			lost = true
			node.Logger.Warn("engine lost", zap.Error(err))
		}
		sleep(ctx, observePause)
	}
}

func (node *Node) take(status Status) {
	node.mutex.Lock()
	if status.StartedUnixMilli != node.status.StartedUnixMilli {
		node.Logger.Info("engine started", zap.Int64("born", status.StartedUnixMilli), zap.Any("versions", status.Versions))
	}
	node.status = status
	node.observed = time.Now()
	closed := node.closed || status.Busy
	node.mutex.Unlock()
	limit := rate.Inf
	if status.Running > 0 && node.LinkMbps > 0 {
		limit = rate.Limit(liveShare * node.LinkMbps * megabit / bitsPerByte)
	}
	node.UploadLimiter.SetLimit(limit)
	node.download.SetLimit(limit)
	node.Report(status, closed)
}

func (node *Node) current() (Status, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.status, !node.observed.IsZero()
}

func (node *Node) setClosed(closed bool) {
	node.mutex.Lock()
	node.closed = closed
	status := node.status
	node.mutex.Unlock()
	node.Report(status, closed || status.Busy)
}

// held returns the content of a version that peers may ask for.
func (node *Node) held(model, version string) *content {
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

// fetchNext brings the content of the version that is wanted next and reports
// whether there was anything to do.
func (node *Node) fetchNext(ctx context.Context) bool {
	target, found := node.goal()
	status, seen := node.current()
	if !found || !seen {
		return false
	}
	content := node.open(ctx, target)
	if content == nil || content.complete() {
		return false
	}
	return node.fill(ctx, content, target, status)
}

// goal returns the version to fetch: the newest one, or an older one of which
// more than half is there. That one is finished first, because the engine has to
// leave its old version before the newest one can be there.
func (node *Node) goal() (Target, bool) {
	targets := node.FleetView().Targets
	if len(targets) == 0 {
		return Target{}, false
	}
	status, _ := node.current()
	for _, target := range targets[:len(targets)-1] {
		content := node.content(target.Version)
		if content != nil && target.Version > status.Versions[target.Model] && content.isMostlyThere() {
			return target, true
		}
	}
	return targets[len(targets)-1], true
}

// open returns the content of the target, with its manifest.
func (node *Node) open(ctx context.Context, target Target) *content {
	if content := node.content(target.Version); content != nil {
		return content
	}
	manifest, ok := node.findManifest(ctx, target)
	if !ok {
		return nil
	}
	content := newContent(manifest)
	// One piece may leave at once, whatever the rate.
	node.UploadLimiter.SetBurst(int(manifest.PieceBytes))
	node.download.SetBurst(int(manifest.PieceBytes))
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.contents[target.Version] = content
	for version := range node.contents {
		if version <= target.Version-keptVersions {
			delete(node.contents, version)
			delete(node.rounds, version)
		}
	}
	node.Logger.Info("version wanted", zap.String("model", target.Model), zap.Int("version", target.Version))
	return content
}

// startNext starts the newest version whose content is complete, if the engine
// serves an older one or none. A version that was overtaken is still started
// when its successor is not there yet, because the old one has to go in time.
func (node *Node) startNext(ctx context.Context) bool {
	status, seen := node.current()
	if !seen || status.Busy {
		return false
	}
	target, content := node.startable(status)
	if content == nil {
		return false
	}
	return node.start(ctx, content, target, status)
}

func (node *Node) startable(status Status) (Target, *content) {
	targets := node.FleetView().Targets
	for i := len(targets) - 1; i >= 0; i-- {
		target := targets[i]
		if status.Versions[target.Model] >= target.Version {
			break
		}
		if content := node.content(target.Version); content != nil && content.complete() {
			return target, content
		}
	}
	return Target{}, nil
}

// isWanted reports whether the content is that of the newest version or of the
// one to fetch.
func (node *Node) isWanted(content *content) bool {
	targets := node.FleetView().Targets
	goal, found := node.goal()
	version := content.manifest.Version
	return found && (goal.Version == version || targets[len(targets)-1].Version == version)
}

// plan returns the plan of the fetch that is going on, or one by what the list
// says.
func (node *Node) plan(target Target) Plan {
	node.mutex.Lock()
	known := node.planned
	node.mutex.Unlock()
	if known.version == target.Version {
		return known.plan
	}
	return node.setPlan(target, node.FleetView().Peers)
}

func (node *Node) setPlan(target Target, peers []Peer) Plan {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	seen := PlanInput{Self: node.Self, Peers: peers, FailedFetches: node.rounds[target.Version]}
	plan := NewPlan(key(target.Model, target.Version), max(1, target.Pieces), seen)
	node.planned = planned{plan: plan, version: target.Version}
	return plan
}

// countRound notes that a fetch of the version ended without all pieces.
func (node *Node) countRound(version int) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.rounds[version]++
}

func (node *Node) suspect(name string, until time.Time) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.suspects[name] = until
}

// IsUpToDate reports whether the engine serves the newest version.
func (node *Node) IsUpToDate() bool {
	targets := node.FleetView().Targets
	status, seen := node.current()
	if !seen || len(targets) == 0 {
		return false
	}
	newest := targets[len(targets)-1]
	return status.Versions[newest.Model] == newest.Version
}
