package stagings

import (
	"context"
	"strconv"
	"sync"
	"time"

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
	liveShare   = 0.55
	bitsPerByte = 8
	megabit     = 1e6
)

type (
	// Status is an engine's own report. Versions holds only models of which the
	// engine has all layers in one version. Sequence counts its orders since Born,
	// which is the Unix millisecond of its start.
	Status struct {
		Born     int64
		Sequence int
		Busy     bool
		Running  int
		Queued   int
		Versions map[string]int
	}

	// Order tells an engine to start what lies beside it. Sequence is the number
	// of orders that the engine must have taken before.
	Order struct {
		Model    string
		Version  int
		Sequence int
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

	// Target is the version that the engine is to serve. Named and Due are zero for
	// a version that was named before this process began to look: it is started as
	// soon as it is there. Pieces is the number of pieces, zero if unknown.
	Target struct {
		Model   string
		Version int
		Pieces  int
		Named   time.Time
		Due     time.Time
	}

	// World is what the agent knows of the rest of the system.
	World struct {
		Target       Target
		Peers        []Peer
		OriginRegion string
	}

	// Dependencies are what a node needs. LinkMbps is the rate of the machine's
	// link. Report is told of each look at the engine; closed is set while it takes
	// no new requests.
	Dependencies struct {
		Self     hosts.Host
		Engine   Engine
		Origin   Origin
		World    func() World
		Report   func(status Status, closed bool)
		LinkMbps float64
		Upload   *rate.Limiter
		Logger   *zap.Logger
	}

	// Node brings the intended version to its engine.
	Node struct {
		Dependencies
		peers    *peers
		download *rate.Limiter

		mutex    sync.Mutex
		status   Status
		observed time.Time
		closed   bool
		content  *content
		suspects map[string]time.Time
	}
)

// New returns a node.
func New(given Dependencies) *Node {
	return &Node{
		Dependencies: given,
		peers:        newPeers(),
		download:     rate.NewLimiter(rate.Inf, mostPieceBytes),
		suspects:     map[string]time.Time{},
	}
}

// Run works until the context ends.
func (node *Node) Run(ctx context.Context) {
	go node.observe(ctx)
	for ctx.Err() == nil {
		if !node.step(ctx) {
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
				node.Logger.Info("engine regained", zap.Int64("born", status.Born))
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
	if status.Born != node.status.Born {
		node.Logger.Info("engine started", zap.Int64("born", status.Born), zap.Any("versions", status.Versions))
	}
	node.status = status
	node.observed = time.Now()
	closed := node.closed || status.Busy
	node.mutex.Unlock()
	limit := rate.Inf
	if status.Running > 0 && node.LinkMbps > 0 {
		limit = rate.Limit(liveShare * node.LinkMbps * megabit / bitsPerByte)
	}
	node.Upload.SetLimit(limit)
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
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.content == nil || node.content.manifest.Model != model || strconv.Itoa(node.content.manifest.Version) != version {
		return nil
	}
	return node.content
}

// step does the next piece of work and reports whether there was any.
func (node *Node) step(ctx context.Context) bool {
	target := node.World().Target
	status, seen := node.current()
	if target.Model == "" || !seen {
		return false
	}
	content := node.open(ctx, target)
	if content == nil {
		return false
	}
	serves := status.Versions[target.Model] == target.Version
	if !content.complete() {
		return node.fill(ctx, content, target, serves)
	}
	if serves || status.Busy {
		return false
	}
	return node.start(ctx, content, target)
}

// open returns the content of the target, with its manifest.
func (node *Node) open(ctx context.Context, target Target) *content {
	if content := node.held(target.Model, strconv.Itoa(target.Version)); content != nil {
		return content
	}
	manifest, ok := node.findManifest(ctx, target)
	if !ok {
		return nil
	}
	content := newContent(manifest)
	node.mutex.Lock()
	node.content = content
	node.mutex.Unlock()
	node.Logger.Info("version wanted", zap.String("model", target.Model), zap.Int("version", target.Version))
	return content
}

// wanted reports whether the content is still that of the target.
func (node *Node) wanted(content *content) bool {
	target := node.World().Target
	return target.Model == content.manifest.Model && target.Version == content.manifest.Version
}

func (node *Node) surroundings(now time.Time) Surroundings {
	world := node.World()
	seen := Surroundings{Self: node.Self, OriginRegion: world.OriginRegion}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for _, peer := range world.Peers {
		if now.After(node.suspects[peer.Host.Name]) {
			seen.Peers = append(seen.Peers, peer)
		}
	}
	return seen
}

func (node *Node) suspect(name string, until time.Time) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.suspects[name] = until
}

// Held returns what the node serves its peers, for reports.
func (node *Node) Held() (model string, version int) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.content == nil {
		return "", 0
	}
	return node.content.manifest.Model, node.content.manifest.Version
}

// IsSettled reports whether the engine serves the target.
func (node *Node) IsSettled() bool {
	target := node.World().Target
	status, seen := node.current()
	return seen && target.Model != "" && status.Versions[target.Model] == target.Version
}
