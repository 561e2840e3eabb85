package stagings

// A new version is handed on: whoever gets a piece that it brings into a region
// sends it to the others there at once. Asking for pieces instead made every
// agent wait at sources that were still fetching themselves.

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"firford/lib/hosts"
)

const (
	// handWorkers is how many pieces are handed on at a time; the rate limit keeps
	// them apart, and one receiver that does not answer holds up only one of them.
	handWorkers = 4
	// handQueue bounds the pieces that wait to be handed on: several versions.
	handQueue = 4096
	// handTries is how often a receiver is tried that does not know the version yet.
	handTries = 4
)

// handover is one piece for one receiver.
type handover struct {
	content *content
	piece   int
	to      hosts.Host
	tries   int
}

// hand queues the piece for all agents that get it from this one.
func (node *Node) hand(content *content, piece int) {
	target := Target{Model: content.manifest.Model, Version: content.manifest.Version, Pieces: len(content.manifest.Digests)}
	for _, receiver := range node.plan(target).Receivers(piece) {
		node.queue(handover{content: content, piece: piece, to: receiver})
	}
}

func (node *Node) queue(next handover) {
	select {
	case node.handovers <- next:
	default:
		node.Logger.Warn("piece not handed on, too many wait", zap.Int("piece", next.piece), zap.String("peer", next.to.Name))
	}
}

func (node *Node) handOn(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-node.handovers:
			node.deliver(ctx, next)
		}
	}
}

func (node *Node) deliver(ctx context.Context, next handover) {
	if !node.isWanted(next.content) || node.isSuspect(next.to.Name) {
		return
	}
	body, _ := next.content.get(next.piece)
	if err := node.UploadLimiter.WaitN(ctx, len(body)); err != nil {
		return
	}
	manifest := next.content.manifest
	err := node.peers.hand(next.to.ChunkAddress, manifest.Model, manifest.Version, next.piece, body)
	switch {
	case err == nil:
	case errors.Is(err, errPending) && next.tries < handTries:
		next.tries++
		sleep(ctx, holdPause)
		node.queue(next)
	default:
		node.Logger.Info("piece not handed on", zap.Int("piece", next.piece), zap.String("peer", next.to.Name), zap.Error(err))
		node.suspect(next.to.Name, time.Now().Add(suspicion))
	}
}

func (node *Node) isSuspect(name string) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return time.Now().Before(node.suspects[name])
}

// accept keeps a piece that another agent handed over.
func (node *Node) accept(content *content, piece int, body []byte) bool {
	known, _ := content.get(piece)
	if !content.put(piece, body) {
		return false
	}
	if known == nil {
		node.countPiece(wayHanded, len(body))
		node.keep(context.Background(), content, piece)
	}
	return true
}
