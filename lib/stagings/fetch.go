package stagings

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/hosts"
)

const (
	// idleWorkers and liveWorkers are how many pieces are fetched at a time, for an
	// engine that answers no requests and for one that does. Two pieces on the way
	// fill a link; more would make live answers wait behind them.
	idleWorkers = 6
	liveWorkers = 2
	// suspicion is how long a peer that failed is not asked.
	suspicion = 600 * time.Millisecond
	// manifestPiece is the place of the manifest in the rank of sources.
	manifestPiece = -1
	// stagingWorkers is how many pieces are read back from the engine at a time.
	stagingWorkers = 4
)

// findManifest asks the peers and, where this agent is the one to do so, the
// origin.
func (node *Node) findManifest(ctx context.Context, target Target) (Manifest, bool) {
	for _, source := range Sources(key(target.Model, target.Version), manifestPiece, node.surroundings(time.Now())) {
		manifest, err := node.askManifest(ctx, source, target)
		if err == nil {
			err = manifest.Check(target.Model, target.Version, target.Pieces)
		}
		if err == nil {
			return manifest, true
		}
		node.Logger.Debug("manifest not found", zap.Bool("origin", source.Origin), zap.String("peer", source.Host.Name), zap.Error(err))
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
	return agreed(ctx, node.Origin, target.Model, target.Version)
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

// fill brings the missing pieces: from the engine's own stage where the engine
// serves the version, then from peers and the origin.
func (node *Node) fill(ctx context.Context, content *content, target Target, serves bool) bool {
	began := time.Now()
	node.recall(ctx, content)
	missing := content.missing()
	// Each agent begins with other pieces, so that the questions spread.
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	queue := make(chan int, len(missing))
	for _, piece := range missing {
		queue <- piece
	}
	close(queue)
	var group sync.WaitGroup
	for range node.workers() {
		group.Go(func() {
			for piece := range queue {
				if ctx.Err() != nil || !node.wanted(content) {
					return
				}
				node.fetch(ctx, content, piece, serves)
			}
		})
	}
	group.Wait()
	node.Logger.Info("pieces fetched", zap.String("model", target.Model), zap.Int("version", target.Version),
		zap.Int("wanted", len(missing)), zap.Int("missing", len(content.missing())), zap.Duration("took", time.Since(began)))
	return content.complete()
}

func (node *Node) workers() int {
	if status, _ := node.current(); status.Running > 0 {
		return liveWorkers
	}
	return idleWorkers
}

// recall takes the pieces that lie beside the engine and match.
func (node *Node) recall(ctx context.Context, content *content) {
	var group sync.WaitGroup
	queue := make(chan int, len(content.pieces))
	for _, piece := range content.missing() {
		queue <- piece
	}
	close(queue)
	for range stagingWorkers {
		group.Go(func() {
			for piece := range queue {
				body, err := node.Engine.ReadPiece(ctx, content.manifest.Model, piece)
				if err == nil {
					content.put(piece, body)
				}
			}
		})
	}
	group.Wait()
}

// fetch brings one piece and lays it beside the engine.
func (node *Node) fetch(ctx context.Context, content *content, piece int, serves bool) {
	manifest := content.manifest
	for _, source := range Sources(key(manifest.Model, manifest.Version), piece, node.surroundings(time.Now())) {
		if err := node.download.WaitN(ctx, int(manifest.PieceBytes)); err != nil {
			return
		}
		body, err := node.ask(ctx, source, manifest, piece)
		if err == nil && content.put(piece, body) {
			if !serves {
				node.lay(ctx, content, piece)
			}
			return
		}
		node.Logger.Info("piece not fetched", zap.Int("piece", piece), zap.Bool("origin", source.Origin),
			zap.String("peer", source.Host.Name), zap.Bool("spoilt", err == nil), zap.Error(err))
		if err != nil && !source.Origin {
			node.doubt(source.Host, err)
		}
		if ctx.Err() != nil || !node.wanted(content) {
			return
		}
	}
}

func (node *Node) doubt(host hosts.Host, _ error) {
	node.suspect(host.Name, time.Now().Add(suspicion))
}

func (node *Node) ask(ctx context.Context, source Source, manifest Manifest, piece int) ([]byte, error) {
	if source.Origin {
		return node.Origin.Piece(ctx, manifest.Model, manifest.Version, piece)
	}
	return node.peers.piece(source.Host.ChunkAddress, manifest.Model, manifest.Version, piece)
}

func (node *Node) lay(ctx context.Context, content *content, piece int) {
	body, _ := content.get(piece)
	if err := node.Engine.StagePiece(ctx, content.manifest.Model, piece, body); err != nil {
		node.Logger.Warn("piece not staged", zap.Int("piece", piece), zap.Error(err))
	}
}
