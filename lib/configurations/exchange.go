package configurations

// This file replicates changes between processes. A process offers each new
// revision to its neighbours (push replication) and pulls the changes that it is
// missing from a peer with a higher revision.

import (
	"context"
	"slices"

	"go.uber.org/zap"
)

// handleLinkOpened schedules a pull from a newly connected peer, so that a process
// that starts while the store is unavailable gets its configuration from the peer.
func (node *Node) handleLinkOpened(peer Peer) {
	node.mutex.Lock()
	revision := node.snapshot.Revision
	node.mutex.Unlock()
	node.addPullCandidate(peer, revision+1)
}

// recordPeerRevision records the revision that is in force at a peer and
// schedules a pull if the peer is ahead of this process.
func (node *Node) recordPeerRevision(peer Peer, revision int64) {
	node.mutex.Lock()
	node.latestRevision = max(node.latestRevision, revision)
	name := peer.Peer().Name
	if _, neighbour := node.peerRevisions[name]; neighbour || len(node.peerRevisions) < maxTrackedPeers {
		node.peerRevisions[name] = max(node.peerRevisions[name], revision)
	}
	ahead := revision > node.snapshot.Revision
	node.mutex.Unlock()
	if ahead {
		node.addPullCandidate(peer, revision)
	}
}

// addPullCandidate makes the peer a candidate for the next pull.
func (node *Node) addPullCandidate(peer Peer, revision int64) {
	node.mutex.Lock()
	if _, listed := node.pullCandidates[peer]; listed || len(node.pullCandidates) < maxTrackedPeers {
		node.pullCandidates[peer] = revision
	}
	node.mutex.Unlock()
	notify(node.pullNeeded)
}

// handleOffer applies the changes of an offer if they follow the current
// revision. If revisions in between are missing, they are pulled from the peer.
func (node *Node) handleOffer(peer Peer, offer offerParams) {
	node.metrics.offers.Inc(1)
	node.applyChanges(offer.Changes)
	node.recordPeerRevision(peer, offer.Revision)
}

// handlePull returns the changes after the revision that the peer has, or all
// entries if those changes are too many or no longer held in memory.
func (node *Node) handlePull(params pullParams) pullResult {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	result := pullResult{Revision: node.snapshot.Revision}
	if params.After >= node.snapshot.Revision {
		return result
	}
	if changes, available := node.changesSinceLocked(params.After); available && len(changes) <= maxIncrementalChanges {
		result.Changes = changes
		return result
	}
	result.Full = true
	result.Entries = node.snapshot.Entries()
	return result
}

// changesSinceLocked returns the changes after a revision. It reports false if
// some of them are no longer held in memory.
func (node *Node) changesSinceLocked(after int64) ([]Change, bool) {
	missing := node.snapshot.Revision - after
	if after < 0 || missing > int64(len(node.recentChanges)) {
		return nil, false
	}
	return slices.Clone(node.recentChanges[int64(len(node.recentChanges))-missing:]), true
}

// pullChanges pulls from the peers that are ahead of this process until none is.
func (node *Node) pullChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.pullNeeded:
		}
		for peer := node.nextPullCandidate(); peer != nil && ctx.Err() == nil; peer = node.nextPullCandidate() {
			node.pullFrom(ctx, peer)
		}
	}
}

// nextPullCandidate removes and returns the peer with the highest revision, or
// nil if no peer is ahead. A peer becomes a candidate again when it next reports
// its revision, so an unresponsive peer is retried at most once per message that
// it sends.
func (node *Node) nextPullCandidate() Peer {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	var best Peer
	for peer, revision := range node.pullCandidates {
		if revision <= node.snapshot.Revision {
			delete(node.pullCandidates, peer)
			continue
		}
		if best == nil || revision > node.pullCandidates[best] {
			best = peer
		}
	}
	if best != nil {
		delete(node.pullCandidates, best)
	}
	return best
}

// pullFrom fetches the missing changes from one peer and applies them.
func (node *Node) pullFrom(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	node.metrics.pulls.Inc(1)
	var result pullResult
	if err := peer.Call(ctx, methodPull, pullParams{After: node.Current().Revision}, &result); err != nil {
		node.dependencies.Logger.Debug("configuration pull failed", zap.String("peer", peer.Peer().Name), zap.Error(err))
		return
	}
	if result.Full {
		node.replaceSnapshot(NewSnapshot(result.Revision, result.Entries))
	} else {
		node.applyChanges(result.Changes)
	}
}

// offerChanges offers each new revision to the neighbours. At most one offer to
// each neighbour is in flight. A neighbour that is slow to accept messages is
// skipped and learns the revision from a later heartbeat.
func (node *Node) offerChanges(ctx context.Context, peers peerSet) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.offerNeeded:
		}
		for _, peer := range peers.Peers() {
			if offer, due := node.nextOffer(peer.Peer().Name); due {
				go node.sendOffer(peer, offer)
			}
		}
	}
}

// nextOffer returns the offer to send to the neighbour and marks it as in flight.
// It reports false if the neighbour is up to date or an offer to it is in flight.
func (node *Node) nextOffer(name string) (offerParams, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	revision, known := node.peerRevisions[name]
	if node.offersInFlight[name] || known && revision >= node.snapshot.Revision {
		return offerParams{}, false
	}
	offer := offerParams{Revision: node.snapshot.Revision}
	if !known {
		revision = node.snapshot.Revision - 1
	}
	if changes, available := node.changesSinceLocked(revision); available && len(changes) <= maxOfferedChanges {
		offer.Changes = changes
	}
	node.offersInFlight[name] = true
	return offer, true
}

// sendOffer sends the offer and schedules another if newer changes were applied
// meanwhile.
func (node *Node) sendOffer(peer Peer, offer offerParams) {
	name := peer.Peer().Name
	err := peer.Notify(methodOffer, offer)
	node.mutex.Lock()
	delete(node.offersInFlight, name)
	if err == nil {
		node.peerRevisions[name] = max(node.peerRevisions[name], offer.Revision)
	}
	superseded := err == nil && node.snapshot.Revision > offer.Revision
	node.mutex.Unlock()
	if superseded {
		notify(node.offerNeeded)
	}
}
