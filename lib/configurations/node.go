package configurations

// This file applies every accepted change in this process, in order and without
// gaps, and forwards it to other processes.
//
// Changes propagate in two ways. Each process polls the row of the last revision
// at random times, at a rate shared by all processes, and each exchanges
// revisions with about six neighbours. Polling alone is too slow for a fleet of
// full size within the store's read limit. Forwarding alone loses a change if
// the entry that accepted it stops before it has sent it to any neighbour.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
	"firford/lib/logs"
	"firford/lib/platform"
)

const (
	// sharedPollRate is the number of reads per second of the revision row that all
	// processes make together.
	sharedPollRate  = 100
	minPollInterval = time.Second
	// storeTimeout bounds one poll, including the reads of new changes, because the
	// store may be slow.
	storeTimeout = 4 * time.Second
	// pullTimeout bounds a pull from one peer, which may be frozen. It leaves time to
	// try other peers before the change has to be in force everywhere.
	pullTimeout = time.Second

	// maxRecentChanges bounds the changes that a node holds in memory for its peers.
	maxRecentChanges = 256
	// maxOfferedChanges bounds the changes in one offer. A peer that is missing more
	// pulls them.
	maxOfferedChanges = 8
	// maxTrackedPeers bounds the number of peers whose revisions a node tracks and
	// the number of candidates to pull from.
	maxTrackedPeers = 32
)

type (
	// Dependencies configures a node. Self is the name of the node's own host. Hosts
	// returns the members of the fleet; the node exchanges revisions with some of
	// them over links with the options Links. If HeartbeatPayload or OnHeartbeat is
	// nil in these options, the method of the node with this name is used.
	Dependencies struct {
		Self    string
		Table   platform.Table
		Hosts   func() []hosts.Host
		Links   links.Options
		Checker invariants.Checker
		Logger  *zap.Logger
		Scope   tally.Scope
	}

	// Node holds the configuration of one process and keeps it up to date. It
	// implements Source and is safe for concurrent use.
	Node struct {
		dependencies Dependencies
		store        store
		connect      func(ctx context.Context, options links.Options, onOpen func(Peer)) peerSet
		random       func() float64
		metrics      nodeMetrics

		// mutex protects the fields below it up to peers.
		mutex    sync.Mutex
		snapshot Snapshot
		// recentChanges holds consecutive changes that end at snapshot.Revision.
		recentChanges []Change
		// changed is closed and replaced when a new snapshot comes into force.
		changed chan struct{}
		// latestRevision is the newest revision that is known to exist. Its changes
		// may not have been received yet.
		latestRevision int64
		// pullCandidates maps peers that may be ahead to their revisions.
		pullCandidates map[Peer]int64
		// peerRevisions holds the revision in force at each neighbour by name, as far
		// as it is known.
		peerRevisions  map[string]int64
		offersInFlight map[string]bool
		peers          peerSet

		// pullNeeded and offerNeeded wake the loops that pull and offer changes.
		pullNeeded  chan struct{}
		offerNeeded chan struct{}
	}

	nodeMetrics struct {
		revision     tally.Gauge
		polls        tally.Counter
		pollFailures tally.Counter
		pulls        tally.Counter
		offers       tally.Counter
	}
)

// NewNode returns a node whose configuration is still empty. Call Register and
// then Run to keep it up to date.
func NewNode(dependencies Dependencies) *Node {
	node := &Node{
		dependencies:   dependencies,
		connect:        newLinkPeerSet,
		random:         rand.Float64,
		changed:        make(chan struct{}),
		pullCandidates: map[Peer]int64{},
		peerRevisions:  map[string]int64{},
		offersInFlight: map[string]bool{},
		pullNeeded:     make(chan struct{}, 1),
		offerNeeded:    make(chan struct{}, 1),
	}
	node.store = store{table: dependencies.Table, retained: maxRetainedChanges, snapshotAt: node.snapshotAt}
	scope := dependencies.Scope.SubScope("configuration")
	node.metrics = nodeMetrics{
		revision:     scope.Gauge("revision"),
		polls:        scope.Counter("polls"),
		pollFailures: scope.Counter("poll_failures"),
		pulls:        scope.Counter("pulls"),
		offers:       scope.Counter("offers"),
	}
	return node
}

// Register adds the node's handlers to the router of the process's links.
func (node *Node) Register(router *links.Router) {
	links.OnNotification(router, methodOffer, func(link *links.Link, offer offerParams) {
		node.handleOffer(link, offer)
	})
	links.OnCall(router, methodPull, func(_ context.Context, _ *links.Link, params pullParams) (pullResult, error) {
		return node.handlePull(params), nil
	})
	links.OnCall(router, methodStatus, func(context.Context, *links.Link, statusParams) (Status, error) {
		return node.Status(), nil
	})
}

// Run keeps the configuration up to date until the context ends.
func (node *Node) Run(ctx context.Context) {
	options := node.dependencies.Links
	if options.HeartbeatPayload == nil {
		options.HeartbeatPayload = node.HeartbeatPayload
	}
	if options.OnHeartbeat == nil {
		options.OnHeartbeat = node.OnHeartbeat
	}
	peers := node.connect(ctx, options, node.handleLinkOpened)
	node.mutex.Lock()
	node.peers = peers
	node.mutex.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { node.maintainNeighbours(ctx, peers) })
	loops.Go(func() { node.pollStore(ctx) })
	loops.Go(func() { node.pullChanges(ctx) })
	loops.Go(func() { node.offerChanges(ctx, peers) })
	loops.Wait()
}

// Broadcast sends a notification to every connected neighbour in the background.
// Errors are ignored.
func (node *Node) Broadcast(method string, params any) {
	node.mutex.Lock()
	peers := node.peers
	node.mutex.Unlock()
	if peers == nil {
		return
	}
	for _, peer := range peers.Peers() {
		go func() { _ = peer.Notify(method, params) }()
	}
}

// Current implements Source.
func (node *Node) Current() Snapshot {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.snapshot
}

// Wait implements Source. It fails only when the context ends.
func (node *Node) Wait(ctx context.Context, after int64) (Snapshot, error) {
	for {
		node.mutex.Lock()
		snapshot, changed := node.snapshot, node.changed
		node.mutex.Unlock()
		if snapshot.Revision > after {
			return snapshot, nil
		}
		select {
		case <-ctx.Done():
			return snapshot, context.Cause(ctx)
		case <-changed:
		}
	}
}

// Status returns the revision in force and the newest revision known to exist.
func (node *Node) Status() Status {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return Status{LatestRevision: max(node.latestRevision, node.snapshot.Revision), AppliedRevision: node.snapshot.Revision}
}

// Change commits the requested change to the store and applies it in this
// process. *ConflictError, *ReusedIDError, *findings.Error, ErrBusy and
// platform.ErrUnavailable mean that nothing was written. After
// platform.ErrOutcomeUnknown the caller should repeat the call with the same
// request id.
func (node *Node) Change(ctx context.Context, request Request) (Change, error) {
	change, err := node.store.commit(ctx, request)
	if err != nil {
		return change, err
	}
	if !node.applyChanges([]Change{change}) {
		node.recordRevision(change.Revision)
	}
	return change, nil
}

// snapshotAt returns the configuration at exactly the revision. It fails with
// errConcurrentChange if a newer revision is already in force.
func (node *Node) snapshotAt(ctx context.Context, revision int64) (Snapshot, error) {
	if node.Current().Revision < revision {
		if err := node.fetchFromStore(ctx, revision); err != nil {
			return Snapshot{}, err
		}
	}
	snapshot := node.Current()
	if snapshot.Revision != revision {
		return Snapshot{}, errConcurrentChange
	}
	return snapshot, nil
}

// fetchFromStore reads the store until the revision or a later one is in force.
func (node *Node) fetchFromStore(ctx context.Context, revision int64) error {
	current := node.Current().Revision
	if current == 0 || revision-current > maxIncrementalChanges {
		snapshot, err := node.store.loadSnapshot(ctx)
		if err == nil {
			node.replaceSnapshot(snapshot)
		}
		return err
	}
	changes, err := node.store.readChanges(ctx, current, revision)
	if err == nil {
		node.applyChanges(changes)
	}
	return err
}

// applyChanges applies the changes that follow the current revision, in order. It
// skips changes that are already in force, because responses and messages may
// arrive late. It reports false if a change could not be applied because the one
// before it is missing.
func (node *Node) applyChanges(changes []Change) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	snapshot, complete := node.snapshot, true
	for _, change := range changes {
		if change.Revision <= snapshot.Revision {
			continue
		}
		next, err := snapshot.With(change)
		if err != nil {
			complete = false
			break
		}
		snapshot = next
		node.recentChanges = append(node.recentChanges, change)
	}
	node.recentChanges = node.recentChanges[max(0, len(node.recentChanges)-maxRecentChanges):]
	if snapshot.Revision > node.snapshot.Revision {
		node.setSnapshotLocked(snapshot)
	}
	return complete
}

// replaceSnapshot puts a complete configuration in force unless its revision is
// not newer than the current one.
func (node *Node) replaceSnapshot(snapshot Snapshot) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if snapshot.Revision <= node.snapshot.Revision {
		return
	}
	node.recentChanges = nil
	node.setSnapshotLocked(snapshot)
}

func (node *Node) setSnapshotLocked(next Snapshot) {
	node.dependencies.Checker.Check(next.Revision > node.snapshot.Revision, invariants.RevisionForward,
		logs.Revision(next.Revision), zap.Int64("previous", node.snapshot.Revision))
	node.snapshot = next
	node.latestRevision = max(node.latestRevision, next.Revision)
	close(node.changed)
	node.changed = make(chan struct{})
	node.metrics.revision.Update(float64(next.Revision))
	node.dependencies.Logger.Info("configuration in force", logs.Revision(next.Revision))
	notify(node.offerNeeded)
}

// recordRevision records that a revision exists.
func (node *Node) recordRevision(revision int64) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.latestRevision = max(node.latestRevision, revision)
}

// maintainNeighbours updates the set of connected neighbours when hosts join or
// leave the fleet.
func (node *Node) maintainNeighbours(ctx context.Context, peers peerSet) {
	ticker := time.NewTicker(minPollInterval)
	defer ticker.Stop()
	var previous []hosts.Host
	for {
		if current := node.dependencies.Hosts(); !sameHosts(previous, current) {
			previous = current
			neighbours := hosts.Neighbours(node.dependencies.Self, current, neighbourCount)
			peers.SetHosts(neighbours)
			node.dropPeerRevisions(neighbours)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dropPeerRevisions removes the recorded revisions of hosts that are not among the
// neighbours.
func (node *Node) dropPeerRevisions(neighbours []hosts.Host) {
	names := map[string]bool{}
	for _, host := range neighbours {
		names[host.Name] = true
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for name := range node.peerRevisions {
		if !names[name] {
			delete(node.peerRevisions, name)
		}
	}
}

// sameHosts reports whether both lists have the same names and addresses in the
// same order.
func sameHosts(previous, current []hosts.Host) bool {
	if len(previous) != len(current) {
		return false
	}
	for i := range current {
		if previous[i].Name != current[i].Name || previous[i].Address != current[i].Address {
			return false
		}
	}
	return true
}

// pollStore reads the revision row at random intervals. Each delay is drawn anew,
// so that the processes do not synchronise their reads after an outage.
func (node *Node) pollStore(ctx context.Context) {
	delay := time.Duration(float64(node.pollInterval()) * node.random())
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		node.pollOnce(ctx)
		delay = time.Duration(float64(node.pollInterval()) * (0.5 + node.random()))
	}
}

// pollInterval returns the mean time between polls, at which the fleet together
// does not exceed sharedPollRate.
func (node *Node) pollInterval() time.Duration {
	return max(minPollInterval, time.Second*time.Duration(len(node.dependencies.Hosts()))/sharedPollRate)
}

// pollOnce reads the revision row and applies the changes that are new.
func (node *Node) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	node.metrics.polls.Inc(1)
	revision, _, err := node.store.lastRevision(ctx)
	if err == nil && revision > node.Current().Revision {
		node.recordRevision(revision)
		err = node.fetchFromStore(ctx, revision)
	}
	if err != nil && ctx.Err() == nil {
		node.metrics.pollFailures.Inc(1)
		node.dependencies.Logger.Debug("configuration poll failed", zap.Error(err))
	}
}

// HeartbeatPayload returns the payload of a link's heartbeats: the revision that
// is in force in this process.
func (node *Node) HeartbeatPayload() any {
	return heartbeatPayload{Revision: node.Current().Revision}
}

// OnHeartbeat records the revision that a peer's heartbeat carries.
func (node *Node) OnHeartbeat(link *links.Link, payload json.RawMessage) {
	var heartbeat heartbeatPayload
	if json.Unmarshal(payload, &heartbeat) == nil {
		node.recordPeerRevision(link, heartbeat.Revision)
	}
}

// notify signals a loop that it has work to do. The channel has a buffer of one,
// so a signal that is already pending suffices and notify never blocks.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
