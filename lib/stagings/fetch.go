package stagings

// This file fetches the pieces of a version. A fetch reads this agent's share from
// the origin, waits for the pieces that other agents push, and then requests
// whatever is still missing from peers or the origin.

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"firford/lib/waits"
)

const (
	// idleFetchWorkers and servingFetchWorkers are the numbers of concurrent fetches
	// for an engine that answers no requests and for one that does. Most fetches
	// wait at a peer; the rate limits bound the bytes a second.
	idleFetchWorkers    = 6
	servingFetchWorkers = 3
	// pendingTimeout is how long failed reads of an agent's own pieces are retried. It
	// covers the origin's time for one copy and the transfer over two links.
	pendingTimeout = 3 * time.Second
	// pullTimeout is how long missing pieces are requested before the fetch counts as
	// failed, and pullInterval how long after one round of requests the next one is made.
	pullTimeout  = 3 * time.Second
	pullInterval = 250 * time.Millisecond
	// replaceReaderAfter is how long nobody may have had a piece until other agents
	// read it from the origin in place of the responsible one.
	replaceReaderAfter = 900 * time.Millisecond
	// originRetryDelay is the delay before a failed read from the origin is retried.
	originRetryDelay = 100 * time.Millisecond
	// suspectTime is how long a peer is avoided after it failed.
	suspectTime = 600 * time.Millisecond
	// planLifetime is how long an agent that has just started reads from the origin
	// before it plans again.
	planLifetime = 400 * time.Millisecond
	// pushIdleTimeout is how long no pushed piece may arrive before this agent
	// requests the missing ones.
	pushIdleTimeout = 300 * time.Millisecond
	// backoffShare is the share of the origin's time for a copy over which readers come
	// back after it was unavailable. Within it they ask for twice what its link carries, so
	// that the link is never idle until all have read.
	backoffShare = 0.5
	// pushTimeFactor times the transfer time of a copy is how long the pushes of its
	// pieces may take.
	pushTimeFactor = 1.5
	// stagingWorkers is the number of staged pieces that are read back from the
	// engine at the same time.
	stagingWorkers = 4
)

// versionKey returns the key of a version in rendezvous hashes.
func versionKey(model string, version int) string {
	return model + "/" + strconv.Itoa(version)
}

// fetchMissing collects the missing pieces: first those that are still staged at
// the engine, then those that this agent reads from the origin, those that others
// push, and whatever is missing after that. It returns true if the content is complete
// or the caller should plan again at once.
func (node *Node) fetchMissing(ctx context.Context, content *content, target Target, status Status) bool {
	began := time.Now()
	if target.AnnouncedAt.IsZero() || status.Versions[target.Model] == target.Version || len(status.Versions) == 0 {
		node.reuseStaged(ctx, content)
	}
	wanted := len(content.missing())
	plan := node.distributionPlan(content, target)
	ctx, stopReading := context.WithCancel(ctx)
	defer stopReading()
	go node.replaceStoppedReaders(ctx, content, target)
	own := ownMissing(content, plan)
	if len(own) > 0 && !node.readOwnPieces(ctx, content, target, own) {
		return true
	}
	go node.retryOwnPieces(ctx, content, target)
	if node.expectsPushes(plan, content) {
		awaitedAt := time.Now()
		node.awaitPushes(ctx, content)
		node.Logger.Info("pushes awaited", zap.Int("version", target.Version), zap.Int("missing", len(content.missing())), zap.Duration("took", time.Since(awaitedAt)))
	}
	node.pullMissing(ctx, content, target)
	if !content.complete() {
		node.recordFailedFetch(target.Version)
	}
	node.Logger.Info("pieces fetched", zap.String("model", target.Model), zap.Int("version", target.Version),
		zap.Int("wanted", wanted), zap.Int("missing", len(content.missing())), zap.Duration("took", time.Since(began)))
	return content.complete()
}

// readOwnPieces reads from the origin the pieces that this agent is responsible
// for. The agents read in the order of the piece numbers, so that the first piece
// arrives after the transfer time of one piece and can be pushed on, instead of
// all pieces arriving together at the end. It returns false if another version is to be
// fetched now, or if the plan has to be made again: agents that start together see only
// some of the others at first, and would all read the same pieces. After one try at each
// piece, those that failed are retried in turn, so that none has to wait for the retries of
// another.
func (node *Node) readOwnPieces(ctx context.Context, content *content, target Target, pieces []int) bool {
	node.originMutex.Lock()
	defer node.originMutex.Unlock()
	pieceTime := transferTime(content.manifest.PieceBytes, node.FleetView().OriginMbps)
	began := time.Now()
	for i, piece := range pieces {
		if target.AnnouncedAt.IsZero() && i > 0 && time.Since(began) > planLifetime {
			node.dropPlan(target.Version)
			return false
		}
		if !target.AnnouncedAt.IsZero() {
			waits.Sleep(ctx, time.Until(target.AnnouncedAt.Add(pieceTime*time.Duration(piece))))
		}
		if !node.isWanted(content) {
			return false
		}
		node.fetchPiece(ctx, content, piece, node.planFor(target), time.Now())
	}
	node.fetchAll(ctx, content, target, ownMissing(content, node.planFor(target)), time.Now().Add(pendingTimeout))
	node.Logger.Info("own pieces read from the origin", zap.Int("version", target.Version), zap.Int("pieces", len(pieces)),
		zap.Int("missing", len(content.missing())), zap.Duration("took", time.Since(began)))
	return true
}

// retryOwnPieces reads from the origin the pieces that readOwnPieces did not get and
// those that a new plan assigns to this agent, until the context ends. The others wait
// for them, while this agent waits for theirs.
func (node *Node) retryOwnPieces(ctx context.Context, content *content, target Target) {
	for ctx.Err() == nil && node.isWanted(content) {
		node.fetchAll(ctx, content, target, ownMissing(content, node.planFor(target)), time.Now().Add(pendingTimeout))
		waits.Sleep(ctx, idleDelay)
	}
}

// transferTime returns how long this many bytes take over a link, or zero if its
// rate is unknown.
func transferTime(bytes int64, mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) * bitsPerByte / (mbps * megabit) * float64(time.Second))
}

// pullMissing requests the missing pieces until the content is complete or pullTimeout
// has passed. The agents that should have pushed them are slow or have stopped, so it
// asks again and again who has pieces by now, instead of waiting for any one agent.
func (node *Node) pullMissing(ctx context.Context, content *content, target Target) {
	began := time.Now()
	for !content.complete() && time.Since(began) < pullTimeout && ctx.Err() == nil && node.isWanted(content) {
		plan := node.computePlan(target, node.probePeers(content, target))
		available := plan.available(content.missing(), time.Since(began) > replaceReaderAfter)
		if len(available) == 0 {
			waits.Sleep(ctx, pullInterval)
			continue
		}
		node.fetchAll(ctx, content, target, available, time.Now().Add(pullInterval))
	}
}

// expectsPushes reports whether other agents are expected to push missing pieces.
func (node *Node) expectsPushes(plan Plan, content *content) bool {
	for _, piece := range content.missing() {
		if plan.originReaders[piece].Name != "" {
			return true
		}
	}
	return false
}

// awaitPushes waits until the other agents have pushed all pieces, have stopped
// pushing, or take much longer than the links need.
func (node *Node) awaitPushes(ctx context.Context, content *content) {
	missing := len(content.missing())
	deadline := time.Now().Add(pushTimeLimit(content.manifest, node.LinkMbps, node.FleetView().OriginMbps))
	for idleDeadline := time.Now().Add(pushIdleTimeout); missing > 0; waits.Sleep(ctx, idleDelay) {
		now := time.Now()
		if ctx.Err() != nil || now.After(idleDeadline) || now.After(deadline) || !node.isWanted(content) {
			return
		}
		if left := len(content.missing()); left < missing {
			missing = left
			idleDeadline = time.Now().Add(pushIdleTimeout)
		}
	}
}

// pushTimeLimit returns how long the pushes of all pieces may take: the transfer
// time of a copy over the slower of this machine's link and the origin's, and half
// as much again for the hop through another agent. Without the limit, an agent
// behind a link that has become slow could push its pieces one by one, and no
// other source would be tried.
func pushTimeLimit(manifest Manifest, linkMbps, originMbps float64) time.Duration {
	bytes := manifest.PieceBytes * int64(len(manifest.Digests))
	copyTime := max(transferTime(bytes, linkMbps*servingLinkShare), transferTime(bytes, originMbps))
	return max(pushIdleTimeout, time.Duration(pushTimeFactor*float64(copyTime)))
}

// ownMissing returns the missing pieces that this agent reads from the origin.
func ownMissing(content *content, plan Plan) []int {
	var own []int
	for _, piece := range content.missing() {
		if plan.IsOriginReader(piece) {
			own = append(own, piece)
		}
	}
	return own
}

// fetchAll fetches the pieces concurrently. A piece that its source is still
// fetching goes to the end of the queue until the deadline, so that no worker waits
// for it while other pieces are available.
func (node *Node) fetchAll(ctx context.Context, content *content, target Target, pieces []int, deadline time.Time) {
	if len(pieces) == 0 {
		return
	}
	queue := make(chan int, len(pieces))
	for _, piece := range pieces {
		queue <- piece
	}
	var left atomic.Int64
	left.Store(int64(len(pieces)))
	var group sync.WaitGroup
	for range node.fetchWorkers() {
		group.Go(func() {
			for piece := range queue {
				if ctx.Err() == nil && node.isWanted(content) && node.fetchPiece(ctx, content, piece, node.planFor(target), deadline) {
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

// fetchWorkers returns the number of concurrent fetches for the engine's present
// load.
func (node *Node) fetchWorkers() int {
	if status, _ := node.latestStatus(); status.Running > 0 {
		return servingFetchWorkers
	}
	return idleFetchWorkers
}

// reuseStaged reads the missing pieces back from the engine's staging area and
// stores those that match their digests.
func (node *Node) reuseStaged(ctx context.Context, content *content) {
	forEachPiece(content.missing(), func(piece int) {
		body, err := node.Engine.ReadPiece(ctx, content.manifest.Model, piece)
		if err != nil {
			return
		}
		if _, isNew := content.put(piece, body); isNew {
			node.countPiece(sourceStage, len(body))
		}
	})
}

// forEachPiece calls act for each piece, at most stagingWorkers at a time.
func forEachPiece(pieces []int, act func(piece int)) {
	var group errgroup.Group
	group.SetLimit(stagingWorkers)
	for _, piece := range pieces {
		group.Go(func() error { act(piece); return nil })
	}
	_ = group.Wait() // The calls return no errors.
}

// fetchPiece tries the sources of the plan in turn until one delivers the piece. It
// returns true if the piece should be tried again later: its source is still fetching it,
// or the only source failed, and the deadline has not passed.
func (node *Node) fetchPiece(ctx context.Context, content *content, piece int, plan Plan, deadline time.Time) (pending bool) {
	sources := plan.Sources(piece)
	isBeingRead := false
	for _, source := range sources {
		if body, _ := content.get(piece); body != nil {
			return false
		}
		if !source.Origin && node.isSuspect(source.Host.Name) {
			continue
		}
		if source.Origin && isBeingRead && !plan.mayReplaceLiveReader() {
			return time.Now().Before(deadline)
		}
		body, err := node.requestPiece(ctx, source, content, piece, plan)
		isValid, isNew := false, false
		if err == nil {
			isValid, isNew = content.put(piece, body)
		}
		isBeingRead = isBeingRead || errors.Is(err, errPending) && source.Host.Name == plan.originReaders[piece].Name
		switch {
		case isValid:
			node.countPiece(source.metricsTag(), len(body))
			if isNew {
				node.storePiece(ctx, content, piece)
			}
			// The download limit is applied after the transfer, because most requests
			// return no piece.
			_ = node.download.WaitN(ctx, len(body)) // Fails only when the context ends.
			return false
		case errors.Is(err, errPending) && time.Now().Before(deadline):
			return true
		case len(sources) == 1 && time.Now().Before(deadline):
			// No other agent reads this piece from the origin, so the read is retried.
			node.Logger.Info("origin did not answer", zap.Int("piece", piece), zap.Bool("spoilt", err == nil), zap.Error(err))
			if err != nil {
				waits.Sleep(ctx, node.originBackoff(content, plan))
			}
			return true
		case err != nil && !source.Origin && !errors.Is(err, errPending):
			node.markSuspect(source.Host.Name, time.Now().Add(suspectTime))
		}
		node.Logger.Info("failed to fetch piece", zap.Int("piece", piece), zap.Bool("origin", source.Origin),
			zap.String("peer", source.Host.Name), zap.Bool("spoilt", err == nil), zap.Error(err))
		if ctx.Err() != nil || !node.isWanted(content) {
			return false
		}
	}
	return false
}

// metricsTag returns the value of the metrics tag "way" for the source.
func (source Source) metricsTag() string {
	if source.Origin {
		return sourceOrigin
	}
	return sourcePeer
}

func (node *Node) requestPiece(ctx context.Context, source Source, content *content, piece int, plan Plan) ([]byte, error) {
	manifest := content.manifest
	if !source.Origin {
		return node.peerClient.fetchPiece(source.Host.ChunkAddress, manifest.Model, manifest.Version, piece)
	}
	if !plan.IsOriginReader(piece) {
		// One read in place of others at a time. Those that wait for a connection to the
		// origin would read pieces that a peer has by then.
		if !node.replacing.TryLock() {
			return nil, errPending
		}
		defer node.replacing.Unlock()
	}
	body, err := node.Origin.Piece(ctx, manifest.Model, manifest.Version, piece)
	if err != nil {
		node.originFailures.Add(1)
	} else {
		node.originFailures.Store(0)
	}
	return body, err
}

// originBackoff returns how long to wait before a failed read from the origin is retried.
// The delay doubles with each failure in a row, up to this agent's part of backoffShare of
// the time for a copy, and has a random part: readers that all come back at once share the
// origin's link, and each gets its piece only when the whole copy has been sent.
func (node *Node) originBackoff(content *content, plan Plan) time.Duration {
	manifest := content.manifest
	copyTime := transferTime(manifest.PieceBytes*int64(len(manifest.Digests)), node.FleetView().OriginMbps)
	share := time.Duration(backoffShare * float64(copyTime))
	longest := max(originRetryDelay, share/time.Duration(max(1, len(ownMissing(content, plan)))))
	doublings := min(max(0, node.originFailures.Load()-1), maxDoublings)
	delay := min(originRetryDelay<<doublings, longest)
	if delay <= originRetryDelay {
		return delay
	}
	return delay/2 + time.Duration(rand.Int64N(int64(delay)/2))
}

// storePiece queues the pushes of a new piece and stages it at the engine.
func (node *Node) storePiece(ctx context.Context, content *content, piece int) {
	node.queuePushes(content, piece)
	node.stageNewPiece(ctx, content, piece)
}

// stageNewPiece writes a piece to the engine's staging area, where it outlives this
// process. While another version is being completed or started, the piece stays in
// memory only and is staged when its own version is started.
func (node *Node) stageNewPiece(ctx context.Context, content *content, piece int) {
	status, _ := node.latestStatus()
	if target, _ := node.startableTarget(status); target.Version != 0 && target.Version != content.manifest.Version {
		return
	}
	if next, found := node.nextTarget(); found && next.Version != content.manifest.Version {
		return
	}
	node.stageMutex.RLock()
	defer node.stageMutex.RUnlock()
	if node.startingVersion == 0 || node.startingVersion == content.manifest.Version {
		node.writeToStage(ctx, content, piece)
	}
}

// writeToStage writes a piece to the engine's staging area. Failures are only
// logged, because all staged pieces are verified before the engine is started.
func (node *Node) writeToStage(ctx context.Context, content *content, piece int) {
	body, _ := content.get(piece)
	if err := node.Engine.StagePiece(ctx, content.manifest.Model, piece, body); err != nil {
		node.Logger.Warn("failed to stage piece", zap.Int("piece", piece), zap.Error(err))
	}
}

// reserveStage keeps the pieces of all other versions out of the engine's staging
// area until the returned function is called.
func (node *Node) reserveStage(version int) (release func()) {
	set := func(version int) {
		node.stageMutex.Lock()
		defer node.stageMutex.Unlock()
		node.startingVersion = version
	}
	set(version)
	return func() { set(0) }
}
