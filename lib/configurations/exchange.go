package configurations

// This file exchanges revisions with peers: offers of what came into force,
// pulls of what is missing, and the answers to both.

import (
	"context"
	"slices"

	"go.uber.org/zap"
)

// onOpen asks a peer on a new connection for what this process lacks, so that a
// process that starts while the store is unavailable gets its configuration.
func (node *Node) onOpen(peer Peer) {
	node.mutex.Lock()
	revision := node.snapshot.Revision
	node.mutex.Unlock()
	node.addSource(peer, revision+1)
}

// onRevision records the revision that is in force at a peer.
func (node *Node) onRevision(peer Peer, revision int64) {
	node.mutex.Lock()
	node.heard = max(node.heard, revision)
	name := peer.Peer().Name
	if _, neighbour := node.known[name]; neighbour || len(node.known) < maxSources {
		node.known[name] = max(node.known[name], revision)
	}
	ahead := revision > node.snapshot.Revision
	node.mutex.Unlock()
	if ahead {
		node.addSource(peer, revision)
	}
}

func (node *Node) addSource(peer Peer, revision int64) {
	node.mutex.Lock()
	if _, listed := node.sources[peer]; listed || len(node.sources) < maxSources {
		node.sources[peer] = revision
	}
	node.mutex.Unlock()
	wake(node.behind)
}

// onOffer applies the changes of an offer if they follow the current revision.
// After a gap the peer is asked for all that is missing.
func (node *Node) onOffer(peer Peer, offer offerParams) {
	node.metrics.offers.Inc(1)
	node.apply(offer.Changes)
	node.onRevision(peer, offer.Revision)
}

func (node *Node) onPull(params pullParams) pullResult {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	result := pullResult{Revision: node.snapshot.Revision}
	if params.After >= node.snapshot.Revision {
		return result
	}
	if changes, remembered := node.sinceLocked(params.After); remembered && len(changes) <= longGap {
		result.Changes = changes
		return result
	}
	result.Whole = true
	result.Entries = node.snapshot.Entries()
	return result
}

// sinceLocked returns the changes after a revision, if all are remembered.
func (node *Node) sinceLocked(after int64) ([]Change, bool) {
	missing := node.snapshot.Revision - after
	if after < 0 || missing > int64(len(node.recent)) {
		return nil, false
	}
	return slices.Clone(node.recent[int64(len(node.recent))-missing:]), true
}

// pullChanges asks peers that are ahead until this process is not behind any.
func (node *Node) pullChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.behind:
		}
		for peer := node.nextSource(); peer != nil && ctx.Err() == nil; peer = node.nextSource() {
			node.pullFrom(ctx, peer)
		}
	}
}

// nextSource takes the peer that is furthest ahead. The peer is listed again
// when it next says its revision, so a peer that fails is asked at most once
// for each of its messages.
func (node *Node) nextSource() Peer {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	var best Peer
	for peer, revision := range node.sources {
		if revision <= node.snapshot.Revision {
			delete(node.sources, peer)
			continue
		}
		if best == nil || revision > node.sources[best] {
			best = peer
		}
	}
	if best != nil {
		delete(node.sources, best)
	}
	return best
}

func (node *Node) pullFrom(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	node.metrics.pulls.Inc(1)
	var result pullResult
	if err := peer.Call(ctx, methodPull, pullParams{After: node.Current().Revision}, &result); err != nil {
		node.dependencies.Logger.Debug("configuration not pulled", zap.String("peer", peer.Peer().Name), zap.Error(err))
		return
	}
	if result.Whole {
		node.replace(NewSnapshot(result.Revision, result.Entries))
	} else {
		node.apply(result.Changes)
	}
}

// publishChanges offers each new revision to the neighbours. Each neighbour has
// at most one message on its way; one that does not take messages is skipped
// and learns the revision from a later heartbeat.
func (node *Node) publishChanges(ctx context.Context, peers peerSet) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.publish:
		}
		for _, peer := range peers.Peers() {
			if offer, due := node.nextOffer(peer.Peer().Name); due {
				go node.offer(peer, offer)
			}
		}
	}
}

func (node *Node) nextOffer(name string) (offerParams, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	revision, known := node.known[name]
	if node.sending[name] || known && revision >= node.snapshot.Revision {
		return offerParams{}, false
	}
	offer := offerParams{Revision: node.snapshot.Revision}
	if !known {
		revision = node.snapshot.Revision - 1
	}
	if changes, remembered := node.sinceLocked(revision); remembered && len(changes) <= maxOffered {
		offer.Changes = changes
	}
	node.sending[name] = true
	return offer, true
}

func (node *Node) offer(peer Peer, offer offerParams) {
	name := peer.Peer().Name
	err := peer.Notify(methodOffer, offer)
	node.mutex.Lock()
	delete(node.sending, name)
	if err == nil {
		node.known[name] = max(node.known[name], offer.Revision)
	}
	stale := err == nil && node.snapshot.Revision > offer.Revision
	node.mutex.Unlock()
	if stale {
		wake(node.publish)
	}
}
