package configurations

// This file brings every accepted change to this process, in order and without
// gaps, and passes it on to other processes.
//
// Two ways work together. The process reads the row of the last revision at
// random times, at a rate that all processes share, and it exchanges revisions
// with about six others. Reading alone is too slow at full size within the
// store's limit of reads; passing on alone fails when the entry that accepted a
// change stops before it has told anyone.

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
	// sharedPollRate is how many reads a second all processes together make of
	// the revision row.
	sharedPollRate      = 100
	minimumPollInterval = time.Second
	// storeTimeout bounds one exchange with the store, which may be slow.
	storeTimeout = 4 * time.Second
	// pullTimeout bounds the wait for one peer, which may be frozen; other peers
	// are asked afterwards within the time in which a change must be in force.
	pullTimeout = time.Second

	// recentChanges is how many changes a node remembers for its peers.
	recentChanges = 256
	// maxOffered bounds the changes in one offer; a peer that lacks more pulls.
	maxOffered = 8
	// maxSources bounds the peers that a node remembers as ahead of itself.
	maxSources = 32
)

type (
	// Dependencies are what a node works with. Hosts returns the members of the
	// fleet; the node exchanges revisions with some of them over Links, whose
	// HeartbeatPayload and OnHeartbeat default to the node's own.
	Dependencies struct {
		Self    string
		Table   platform.Table
		Hosts   func() []hosts.Host
		Links   links.Options
		Checker invariants.Asserter
		Logger  *zap.Logger
		Scope   tally.Scope
	}

	// Node holds the configuration of one process and implements Source. It is
	// safe for concurrent use.
	Node struct {
		dependencies Dependencies
		store        store
		connect      func(ctx context.Context, options links.Options, onOpen func(Peer)) peerSet
		random       func() float64
		metrics      nodeMetrics

		mutex    sync.Mutex
		snapshot Snapshot
		recent   []Change
		changed  chan struct{}
		heard    int64
		sources  map[Peer]int64
		known    map[string]int64
		sending  map[string]bool
		peers    peerSet

		behind  chan struct{}
		publish chan struct{}
	}

	nodeMetrics struct {
		revision tally.Gauge
		polls    tally.Counter
		failures tally.Counter
		pulls    tally.Counter
		offers   tally.Counter
	}
)

// NewNode returns a node without any configuration. Register it and call Run.
func NewNode(dependencies Dependencies) *Node {
	node := &Node{
		dependencies: dependencies,
		connect:      newLinkedPeers,
		random:       rand.Float64,
		changed:      make(chan struct{}),
		sources:      map[Peer]int64{},
		known:        map[string]int64{},
		sending:      map[string]bool{},
		behind:       make(chan struct{}, 1),
		publish:      make(chan struct{}, 1),
	}
	node.store = store{table: dependencies.Table, kept: keptChanges, upTo: node.upTo}
	scope := dependencies.Scope.SubScope("configuration")
	node.metrics = nodeMetrics{
		revision: scope.Gauge("revision"),
		polls:    scope.Counter("polls"),
		failures: scope.Counter("poll_failures"),
		pulls:    scope.Counter("pulls"),
		offers:   scope.Counter("offers"),
	}
	return node
}

// Register adds the node's handlers to the router of the process's links.
func (node *Node) Register(router *links.Router) {
	links.OnNotification(router, methodOffer, func(link *links.Link, offer offerParams) {
		node.onOffer(link, offer)
	})
	links.OnCall(router, methodPull, func(_ context.Context, _ *links.Link, params pullParams) (pullResult, error) {
		return node.onPull(params), nil
	})
	links.OnCall(router, methodStatus, func(context.Context, *links.Link, statusParams) (Status, error) {
		return node.Status(), nil
	})
}

// Run keeps the configuration current until the context ends.
func (node *Node) Run(ctx context.Context) {
	options := node.dependencies.Links
	if options.HeartbeatPayload == nil {
		options.HeartbeatPayload = node.Beat
	}
	if options.OnHeartbeat == nil {
		options.OnHeartbeat = node.OnBeat
	}
	peers := node.connect(ctx, options, node.onOpen)
	node.mutex.Lock()
	node.peers = peers
	node.mutex.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { node.followHosts(ctx, peers) })
	loops.Go(func() { node.pollStore(ctx) })
	loops.Go(func() { node.pullChanges(ctx) })
	loops.Go(func() { node.publishChanges(ctx, peers) })
	loops.Wait()
}

// Broadcast sends a notification to every neighbour that is connected, without
// waiting for any of them.
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

// Status returns the revision in force and the newest one heard of.
func (node *Node) Status() Status {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return Status{Revision: max(node.heard, node.snapshot.Revision), Applied: node.snapshot.Revision}
}

// Change commits the change and puts it in force in this process. The errors
// are those of a store access: *ConflictError, *ReusedIDError, *findings.Error,
// ErrBusy and platform.ErrUnavailable say that nothing was written;
// platform.ErrOutcomeUnknown asks the caller to repeat the call with the same
// request id.
func (node *Node) Change(ctx context.Context, request Request) (Change, error) {
	change, err := node.store.commit(ctx, request)
	if err != nil {
		return change, err
	}
	if !node.apply([]Change{change}) {
		node.hear(change.Revision)
	}
	return change, nil
}

// upTo returns the configuration at exactly the revision.
func (node *Node) upTo(ctx context.Context, revision int64) (Snapshot, error) {
	if node.Current().Revision < revision {
		if err := node.fetch(ctx, revision); err != nil {
			return Snapshot{}, err
		}
	}
	snapshot := node.Current()
	if snapshot.Revision != revision {
		return Snapshot{}, errRaced
	}
	return snapshot, nil
}

// fetch brings the configuration from the store up to the revision or a later one.
func (node *Node) fetch(ctx context.Context, revision int64) error {
	current := node.Current().Revision
	if current == 0 || revision-current > longGap {
		snapshot, err := node.store.load(ctx)
		if err == nil {
			node.replace(snapshot)
		}
		return err
	}
	changes, err := node.store.changes(ctx, current, revision)
	if err == nil {
		node.apply(changes)
	}
	return err
}

// apply puts the changes that follow the current revision in force, in order.
// Changes that are in force already are skipped, because answers and messages
// may arrive late. It reports whether the last of them is in force now.
func (node *Node) apply(changes []Change) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	snapshot, whole := node.snapshot, true
	for _, change := range changes {
		if change.Revision <= snapshot.Revision {
			continue
		}
		next, err := snapshot.With(change)
		if err != nil {
			whole = false
			break
		}
		snapshot = next
		node.recent = append(node.recent, change)
	}
	node.recent = node.recent[max(0, len(node.recent)-recentChanges):]
	if snapshot.Revision > node.snapshot.Revision {
		node.setLocked(snapshot)
	}
	return whole
}

// replace puts a whole configuration in force unless it is older.
func (node *Node) replace(snapshot Snapshot) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if snapshot.Revision <= node.snapshot.Revision {
		return
	}
	node.recent = nil
	node.setLocked(snapshot)
}

func (node *Node) setLocked(next Snapshot) {
	node.dependencies.Checker.Check(next.Revision > node.snapshot.Revision, invariants.RevisionForward,
		logs.Revision(next.Revision), zap.Int64("previous", node.snapshot.Revision))
	node.snapshot = next
	node.heard = max(node.heard, next.Revision)
	close(node.changed)
	node.changed = make(chan struct{})
	node.metrics.revision.Update(float64(next.Revision))
	node.dependencies.Logger.Info("configuration in force", logs.Revision(next.Revision))
	wake(node.publish)
}

// hear records that a revision exists.
func (node *Node) hear(revision int64) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.heard = max(node.heard, revision)
}

// followHosts keeps connections to the neighbours while hosts come and go.
func (node *Node) followHosts(ctx context.Context, peers peerSet) {
	ticker := time.NewTicker(minimumPollInterval)
	defer ticker.Stop()
	var last []hosts.Host
	for {
		if all := node.dependencies.Hosts(); !sameHosts(last, all) {
			last = all
			near := hosts.Neighbours(node.dependencies.Self, all, neighbourCount)
			peers.Keep(near)
			node.forget(near)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// forget drops what is known of hosts that are no longer neighbours.
func (node *Node) forget(near []hosts.Host) {
	names := map[string]bool{}
	for _, host := range near {
		names[host.Name] = true
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for name := range node.known {
		if !names[name] {
			delete(node.known, name)
		}
	}
}

func sameHosts(last, all []hosts.Host) bool {
	if len(last) != len(all) {
		return false
	}
	for i := range all {
		if last[i].Name != all[i].Name || last[i].Address != all[i].Address {
			return false
		}
	}
	return true
}

// pollStore reads the revision row at random times. The pause is drawn anew
// each time, so that the processes do not read in step after an outage.
func (node *Node) pollStore(ctx context.Context) {
	pause := time.Duration(float64(node.pollInterval()) * node.random())
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		node.pollOnce(ctx)
		pause = time.Duration(float64(node.pollInterval()) * (0.5 + node.random()))
	}
}

func (node *Node) pollInterval() time.Duration {
	return max(minimumPollInterval, time.Second*time.Duration(len(node.dependencies.Hosts()))/sharedPollRate)
}

func (node *Node) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	node.metrics.polls.Inc(1)
	revision, _, err := node.store.revision(ctx)
	if err == nil && revision > node.Current().Revision {
		node.hear(revision)
		err = node.fetch(ctx, revision)
	}
	if err != nil && ctx.Err() == nil {
		node.metrics.failures.Inc(1)
		node.dependencies.Logger.Debug("configuration not read from the store", zap.Error(err))
	}
}

// Beat returns what each heartbeat on a link carries.
func (node *Node) Beat() any {
	return beatPayload{Revision: node.Current().Revision}
}

// OnBeat takes the payload of a peer's heartbeat.
func (node *Node) OnBeat(link *links.Link, payload json.RawMessage) {
	var beat beatPayload
	if json.Unmarshal(payload, &beat) == nil {
		node.onRevision(link, beat.Revision)
	}
}

func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
