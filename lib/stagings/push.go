package stagings

// The pieces of a new version are pushed from agent to agent: an agent that is
// responsible for bringing a piece into its region sends it to the other agents
// there as soon as it has it. When agents requested the pieces instead, each of
// them waited for sources that were still fetching themselves.

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"firford/lib/hosts"
)

const (
	// pushWorkers is the number of concurrent pushes. The rate limit spaces them out,
	// and a receiver that does not answer blocks only one of them.
	pushWorkers = 4
	// pushQueueSize limits the queued pushes. It leaves room for several versions.
	pushQueueSize = 4096
	// maxPushRetries is how many times a push is retried if the receiver does not
	// know the version yet, and pushRetryDelay the delay before each. Together they
	// cover the time in which all agents learn of a version and read its manifest.
	maxPushRetries = 10
	pushRetryDelay = 150 * time.Millisecond
	// maxBusyRetries is how many times a push is retried if the receiver is taking other
	// pieces. They cover the transfer of a copy over its link.
	maxBusyRetries = 30
	// slowReceiverTime is how long no piece is pushed to a receiver that did not take one
	// in time: the pushes of all agents would fill its link for seconds, and requests for
	// its engine wait behind them.
	slowReceiverTime = 3 * time.Second
)

// pushTask is one piece to be pushed to one receiver.
type pushTask struct {
	content  *content
	piece    int
	receiver hosts.Host
	retries  int
}

// queuePushes queues the piece for all agents that this one pushes it to.
func (node *Node) queuePushes(content *content, piece int) {
	target := Target{Model: content.manifest.Model, Version: content.manifest.Version, Pieces: len(content.manifest.Digests)}
	for _, receiver := range node.planFor(target).Receivers(piece) {
		node.enqueuePush(pushTask{content: content, piece: piece, receiver: receiver})
	}
}

// enqueuePush queues a push, or drops it if the queue is full: the receiver then
// requests the piece itself.
func (node *Node) enqueuePush(task pushTask) {
	select {
	case node.pushQueue <- task:
	default:
		node.Logger.Warn("push queue full, piece not pushed", zap.Int("piece", task.piece), zap.String("peer", task.receiver.Name))
	}
}

// runPushes makes the queued pushes until the context ends.
func (node *Node) runPushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-node.pushQueue:
			node.push(ctx, task)
		}
	}
}

// push sends a queued piece, within the upload limit. It drops pieces that are no
// longer wanted and those for receivers that failed a short time ago.
func (node *Node) push(ctx context.Context, task pushTask) {
	if !node.isWanted(task.content) || node.isSuspect(task.receiver.Name) {
		return
	}
	err := node.offerAndSend(ctx, task)
	switch {
	case err == nil:
	case errors.Is(err, errPending) && task.retries < maxPushRetries, errors.Is(err, errBusy) && task.retries < maxBusyRetries:
		task.retries++
		time.AfterFunc(pushRetryDelay, func() { node.enqueuePush(task) })
	default:
		node.Logger.Info("failed to push piece", zap.Int("piece", task.piece), zap.String("peer", task.receiver.Name), zap.Error(err))
		node.markSuspect(task.receiver.Name, time.Now().Add(slowReceiverTime))
	}
}

// offerAndSend sends the piece if the receiver still lacks it.
func (node *Node) offerAndSend(ctx context.Context, task pushTask) error {
	body, _ := task.content.get(task.piece)
	manifest := task.content.manifest
	isWanted, err := node.peerClient.offer(task.receiver.ChunkAddress, manifest.Model, manifest.Version, task.piece)
	if err != nil || !isWanted {
		return err
	}
	if err := node.UploadLimiter.WaitN(ctx, len(body)); err != nil {
		return err
	}
	return node.peerClient.push(task.receiver.ChunkAddress, manifest.Model, manifest.Version, task.piece, body)
}

// isSuspect reports whether the peer failed within the last suspectTime.
func (node *Node) isSuspect(name string) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return time.Now().Before(node.suspects[name])
}

// acceptPush stores a piece that another agent pushed, and pushes it on if it is
// new. It returns false if the piece does not match its digest.
func (node *Node) acceptPush(content *content, piece int, body []byte) bool {
	isValid, isNew := content.put(piece, body)
	if isNew {
		node.countPiece(sourcePush, len(body))
		node.storePiece(context.Background(), content, piece)
	}
	return isValid
}
