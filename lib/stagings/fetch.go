package stagings

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// idleWorkers and liveWorkers are how many pieces are fetched at a time, for an
	// engine that answers no requests and for one that does. Most questions wait at
	// a peer; how many bytes flow is the business of the rate limits.
	idleWorkers = 6
	liveWorkers = 3
	// pendingPatience is how long a piece is waited for that its source is still
	// fetching: the origin's time for one copy, and the way over two links.
	pendingPatience = 3 * time.Second
	// originPause is the pause before the origin is asked again.
	originPause = 100 * time.Millisecond
	// suspicion is how long a peer that failed is not asked.
	suspicion = 600 * time.Millisecond
	// manifestPiece is the piece whose sources also have the manifest.
	manifestPiece = 0
	// manifestPatience is how long a manifest is waited for that its source is
	// still fetching, and mostManifestSources how many peers are asked for it.
	manifestPatience    = 800 * time.Millisecond
	mostManifestSources = 2
	// planLifetime is how long an agent that has just started reads the origin by
	// one plan.
	planLifetime = 400 * time.Millisecond
	// receivePatience is how long no piece may arrive before this agent asks for
	// the missing ones.
	receivePatience = 900 * time.Millisecond
	// receiveFactor is how many times a copy's own time its pieces may take to be
	// handed over.
	receiveFactor = 1.5
	// stagingWorkers is how many pieces are read back from the engine at a time.
	stagingWorkers = 4
)

// findManifest asks the store, the agent that reads it for this region and, where
// this agent is the one to do so or nobody else has it, the origin.
func (node *Node) findManifest(ctx context.Context, target Target) (Manifest, bool) {
	manifest, err := node.ManifestStore.LoadManifest(ctx, target.Model, target.Version)
	if err == nil {
		err = manifest.Validate(target.Model, target.Version, target.Pieces)
	}
	if err == nil {
		return manifest, true
	}
	sources := node.plan(target).Sources(manifestPiece)
	if len(sources) > mostManifestSources {
		sources = append(sources[:mostManifestSources:mostManifestSources], Source{Origin: true})
	}
	patience := time.Now().Add(manifestPatience)
	for _, source := range sources {
		manifest, err := node.askManifest(ctx, source, target)
		for errors.Is(err, errPending) && ctx.Err() == nil && time.Now().Before(patience) {
			manifest, err = node.askManifest(ctx, source, target)
		}
		if err == nil {
			err = manifest.Validate(target.Model, target.Version, target.Pieces)
		}
		if err == nil {
			return manifest, true
		}
		node.Logger.Info("manifest not found", zap.Int("version", target.Version), zap.Bool("origin", source.Origin),
			zap.String("peer", source.Host.Name), zap.Error(err))
		if ctx.Err() != nil {
			return Manifest{}, false
		}
	}
	return Manifest{}, false
}

func (node *Node) askManifest(ctx context.Context, source Source, target Target) (Manifest, error) {
	if !source.Origin {
		return node.peers.manifest(source.Host.ChunkAddress, target.Model, target.Version)
	}
	manifest, err := agreed(ctx, node.Origin, target.Model, target.Version)
	if err == nil {
		go node.save(ctx, manifest)
	}
	return manifest, err
}

// save keeps a manifest for agents that start when nobody else has it.
func (node *Node) save(ctx context.Context, manifest Manifest) {
	if err := node.ManifestStore.SaveManifest(ctx, manifest); err != nil {
		node.Logger.Warn("manifest not saved", zap.Int("version", manifest.Version), zap.Error(err))
	}
}

// agreed reads the manifest from the origin until two reads say the same, since
// the origin may spoil what it sends and nothing else vouches for a manifest.
func agreed(ctx context.Context, origin Origin, model string, version int) (Manifest, error) {
	const mostReads = 4
	var seen []Manifest
	var failure error
	for range mostReads {
		manifest, err := origin.Manifest(ctx, model, version)
		if err != nil {
			failure = err
			continue
		}
		for _, earlier := range seen {
			if earlier.Equal(manifest) {
				return manifest, nil
			}
		}
		seen = append(seen, manifest)
	}
	if failure == nil {
		failure = errDisagreed
	}
	return Manifest{}, failure
}

func key(model string, version int) string {
	return model + "/" + strconv.Itoa(version)
}

// fill brings the missing pieces: those that lie beside the engine, then those
// from peers and the origin. It takes the pieces first that this agent has to
// bring into its region, because others wait for them.
func (node *Node) fill(ctx context.Context, content *content, target Target, status Status) bool {
	began := time.Now()
	if status.Versions[target.Model] == target.Version || len(status.Versions) == 0 {
		node.recall(ctx, content)
	}
	wanted := len(content.missing())
	plan := node.setPlan(target, node.probe(content))
	first, _, _ := split(content, plan)
	if len(first) > 0 && !node.readFirst(ctx, content, target, first) {
		return true
	}
	if node.isHandedOn(plan, content) {
		node.receive(ctx, content)
		if len(content.missing()) > 0 {
			// Those who were to hand the rest over are slow or gone. Others have it by now.
			plan = node.setPlan(target, node.probe(content))
		}
	}
	first, duties, rest := split(content, plan)
	var group sync.WaitGroup
	group.Go(func() { node.fetchAll(ctx, content, target, first) })
	group.Go(func() { node.fetchAll(ctx, content, target, duties) })
	node.fetchAll(ctx, content, target, rest)
	group.Wait()
	if !content.complete() {
		node.countRound(target.Version)
	}
	node.Logger.Info("pieces fetched", zap.String("model", target.Model), zap.Int("version", target.Version),
		zap.Int("wanted", wanted), zap.Int("missing", len(content.missing())), zap.Duration("took", time.Since(began)))
	return content.complete()
}

// readFirst reads this agent's own pieces from the origin, each at its turn: the
// agents take turns by the number of the piece, so that the first pieces are
// there after one piece's time and can be handed on, instead of all at once. It
// returns false when it is time to plan anew, since agents that start together
// first see only some of the others and would all read the same pieces.
func (node *Node) readFirst(ctx context.Context, content *content, target Target, pieces []int) bool {
	span := pieceTime(content.manifest.PieceBytes, node.FleetView().OriginMbps)
	began := time.Now()
	for i, piece := range pieces {
		if target.AnnouncedAt.IsZero() && i > 0 && time.Since(began) > planLifetime {
			return false
		}
		if !target.AnnouncedAt.IsZero() {
			sleep(ctx, time.Until(target.AnnouncedAt.Add(span*time.Duration(piece))))
		}
		node.fetchAll(ctx, content, target, []int{piece})
	}
	node.Logger.Info("own pieces read from the origin", zap.Int("version", target.Version), zap.Int("pieces", len(pieces)),
		zap.Int("missing", len(content.missing())), zap.Duration("took", time.Since(began)))
	return true
}

// pieceTime returns how long a piece takes over a link.
func pieceTime(bytes int64, mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) * bitsPerByte / (mbps * megabit) * float64(time.Second))
}

// isHandedOn reports whether other agents are to hand over missing pieces.
func (node *Node) isHandedOn(plan Plan, content *content) bool {
	for _, piece := range content.missing() {
		if plan.first[piece].Name != "" {
			return true
		}
	}
	return false
}

// receive waits until the other agents have handed over all pieces, have stopped
// to, or take much longer than the links need.
func (node *Node) receive(ctx context.Context, content *content) {
	missing := len(content.missing())
	limit := time.Now().Add(receiveLimit(content.manifest, node.LinkMbps, node.FleetView().OriginMbps))
	for quietAt := time.Now().Add(receivePatience); missing > 0; sleep(ctx, stepPause) {
		now := time.Now()
		if ctx.Err() != nil || now.After(quietAt) || now.After(limit) || !node.isWanted(content) {
			return
		}
		if now := len(content.missing()); now < missing {
			missing = now
			quietAt = time.Now().Add(receivePatience)
		}
	}
}

// receiveLimit returns how long pieces may take to be handed over: the time of a
// copy over the slower of this machine's link and the origin's, and half as much
// for the way through another agent. An agent behind a link that has become slow
// hands its pieces on one by one, and nobody else would be asked for them.
func receiveLimit(manifest Manifest, linkMbps, originMbps float64) time.Duration {
	bytes := manifest.PieceBytes * int64(len(manifest.Digests))
	copyTime := max(pieceTime(bytes, linkMbps*liveShare), pieceTime(bytes, originMbps))
	return max(receivePatience, time.Duration(receiveFactor*float64(copyTime)))
}

// split parts the missing pieces into those that this agent reads from the
// origin, those that it brings into its region, and the others.
func split(content *content, plan Plan) (first, duties, rest []int) {
	for _, piece := range content.missing() {
		switch {
		case plan.IsOriginReader(piece):
			first = append(first, piece)
		case plan.IsRegionalFetcher(piece):
			duties = append(duties, piece)
		default:
			rest = append(rest, piece)
		}
	}
	return first, duties, rest
}

// fetchAll fetches the pieces. One that its source is still fetching goes to the
// end of the queue, so that no worker waits for it while others are there.
func (node *Node) fetchAll(ctx context.Context, content *content, target Target, pieces []int) {
	if len(pieces) == 0 {
		return
	}
	queue := make(chan int, len(pieces))
	for _, piece := range pieces {
		queue <- piece
	}
	var left atomic.Int64
	left.Store(int64(len(pieces)))
	patience := time.Now().Add(pendingPatience)
	var group sync.WaitGroup
	for range node.workers() {
		group.Go(func() {
			for piece := range queue {
				if ctx.Err() == nil && node.isWanted(content) && node.fetch(ctx, content, piece, node.plan(target).Sources(piece), patience) {
					queue <- piece
					continue
				}
				if left.Add(-1) == 0 {
					close(queue)
				}
			}
		})
	}
	group.Wait()
}

func (node *Node) workers() int {
	if status, _ := node.current(); status.Running > 0 {
		return liveWorkers
	}
	return idleWorkers
}

// recall takes the pieces that lie beside the engine and match.
func (node *Node) recall(ctx context.Context, content *content) {
	eachStaged(content.missing(), func(piece int) {
		body, err := node.Engine.ReadPiece(ctx, content.manifest.Model, piece)
		if err == nil && content.put(piece, body) {
			node.countPiece(wayStage, len(body))
		}
	})
}

// eachStaged calls act for each piece, for a few of them at a time.
func eachStaged(pieces []int, act func(piece int)) {
	var group errgroup.Group
	group.SetLimit(stagingWorkers)
	for _, piece := range pieces {
		group.Go(func() error { act(piece); return nil })
	}
	_ = group.Wait() // The calls return no errors.
}

// fetch brings one piece. It returns true if the best source is still fetching
// it, and the time to be patient is not over.
func (node *Node) fetch(ctx context.Context, content *content, piece int, sources []Source, patience time.Time) (pending bool) {
	manifest := content.manifest
	for _, source := range sources {
		if body, _ := content.get(piece); body != nil {
			return false
		}
		if !source.Origin && node.isSuspect(source.Host.Name) {
			continue
		}
		body, err := node.ask(ctx, source, manifest, piece)
		switch {
		case err == nil && content.put(piece, body):
			node.countPiece(source.way(), len(body))
			node.keep(ctx, content, piece)
			// The rate is kept by waiting after a piece, since most questions bring none.
			_ = node.download.WaitN(ctx, len(body)) // Fails only when the context ends.
			return false
		case errors.Is(err, errPending) && time.Now().Before(patience):
			return true
		case err != nil && len(sources) == 1 && time.Now().Before(patience):
			// Only this agent reads the piece from the origin, so it tries again.
			node.Logger.Info("origin did not answer", zap.Int("piece", piece), zap.Error(err))
			sleep(ctx, originPause)
			return true
		case err != nil && !source.Origin && !errors.Is(err, errPending):
			node.suspect(source.Host.Name, time.Now().Add(suspicion))
		}
		node.Logger.Info("piece not fetched", zap.Int("piece", piece), zap.Bool("origin", source.Origin),
			zap.String("peer", source.Host.Name), zap.Bool("spoilt", err == nil), zap.Error(err))
		if ctx.Err() != nil || !node.isWanted(content) {
			return false
		}
	}
	return false
}

func (source Source) way() string {
	if source.Origin {
		return wayOrigin
	}
	return wayPeer
}

func (node *Node) ask(ctx context.Context, source Source, manifest Manifest, piece int) ([]byte, error) {
	if source.Origin {
		return node.Origin.Piece(ctx, manifest.Model, manifest.Version, piece)
	}
	return node.peers.piece(source.Host.ChunkAddress, manifest.Model, manifest.Version, piece)
}

// keep lays a new piece beside the engine and hands it on.
func (node *Node) keep(ctx context.Context, content *content, piece int) {
	node.hand(content, piece)
	node.lay(ctx, content, piece)
}

// lay puts a piece beside the engine, where it outlives this process. A piece of
// another version than the one that is being started, or about to be, stays in
// memory until its own version is started.
func (node *Node) lay(ctx context.Context, content *content, piece int) {
	status, _ := node.current()
	if target, _ := node.startable(status); target.Version != 0 && target.Version != content.manifest.Version {
		return
	}
	node.stage.RLock()
	defer node.stage.RUnlock()
	if node.starting == 0 || node.starting == content.manifest.Version {
		node.put(ctx, content, piece)
	}
}

func (node *Node) put(ctx context.Context, content *content, piece int) {
	body, _ := content.get(piece)
	if err := node.Engine.StagePiece(ctx, content.manifest.Model, piece, body); err != nil {
		node.Logger.Warn("piece not staged", zap.Int("piece", piece), zap.Error(err))
	}
}

// reserve keeps all pieces of other versions out of the engine's stage until the
// returned function is called.
func (node *Node) reserve(version int) (release func()) {
	set := func(version int) {
		node.stage.Lock()
		defer node.stage.Unlock()
		node.starting = version
	}
	set(version)
	return func() { set(0) }
}
