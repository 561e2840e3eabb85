// Package transfers downloads the chunks of new versions to this host and serves
// them to other hosts.
//
// Package selections decides which chunk to request from which neighbour or from
// the origin. This package sends these requests over HTTP, exchanges announcements
// over links and limits its traffic to the configured rates of the host's link.
// Each deployment has at most one transfer. A target with another manifest
// replaces it.
package transfers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
	"firford/lib/platform"
	"firford/lib/weights"
)

const tickInterval = 50 * time.Millisecond

type (
	// Limits are the rates of the host's link; zero means no limit. LinkShare is
	// the share of the link that transfers may use; 0 means all. OriginBytesPerS
	// is the rate of the origin's link, from which the deadlines follow after which
	// later ranks read from the origin; zero means unknown. NeighbourCount is the
	// approximate number of neighbours of a host.
	Limits struct {
		UploadBytesPerS   int64
		DownloadBytesPerS int64
		LinkShare         float64
		OriginBytesPerS   int64
		NeighbourCount    int
	}

	// Topology decides which hosts exchange chunks and in which order hosts may
	// read a chunk from the origin: the host of rank zero first.
	Topology interface {
		Neighbours(self string, all []hosts.Host, count int) []hosts.Host
		Rank(chunk weights.Digest, self string, all []hosts.Host) int
	}

	// RandomGraph is the default topology: a random graph of neighbours by hash,
	// and ranks by rendezvous hash.
	RandomGraph struct{}

	// Dependencies are what a Node needs. Links holds the identity and key of the
	// process and its router. ChunkListener accepts the chunk requests of other
	// hosts. A nil Topology means RandomGraph. OverrideBody replaces the content
	// that is sent to a peer, for fault injection, and may be nil. Scope may be nil.
	Dependencies struct {
		Self          hosts.Host
		Links         links.Options
		ChunkListener net.Listener
		Store         *weights.Store
		Origin        platform.WeightStore
		Limits        Limits
		Topology      Topology
		OverrideBody  func(peer string, content []byte) io.Reader
		Scope         tally.Scope
		Logger        *zap.Logger
		Checker       invariants.Checker
		Seed          uint64
	}

	// Target is the version that the hosts of a deployment are to hold. Policy is
	// one of the configuration's policies. OriginLinkShare is the share of the
	// origin's link that the policy fewer_origin_bytes may use; zero means all.
	// Hosts are all hosts that take part, with or without this one.
	Target struct {
		Deployment      string
		Policy          string
		OriginLinkShare float64
		Manifest        weights.Manifest
		Hosts           []hosts.Host
	}

	// Progress is the state of a transfer: the digest of the target's manifest, the
	// number of chunks that the host holds and their total number.
	Progress struct {
		Digest   weights.Digest
		Held     int
		Total    int
		Complete bool
	}

	// LiveLoad is the load of live requests. BytesPerS is what they use of the link.
	// LatencyRatio is their p95 latency divided by the p95 latency without
	// transfers; zero means unknown.
	LiveLoad struct {
		BytesPerS    int64
		LatencyRatio float64
	}

	// Counts are totals since the node started. OriginBytes and PeerBytes were
	// received, ServedBytes were sent to other hosts, and ControlBytes went over
	// links in both directions. WrongChunks had a wrong digest. DuplicateRequests
	// repeated slow ones at another neighbour. RefusedRequests were refused by this
	// host because its upload queue was full. BrokenRequests to neighbours failed by
	// the connection or by an unexpected response.
	Counts struct {
		OriginBytes       int64 `json:"origin_bytes"`
		PeerBytes         int64 `json:"peer_bytes"`
		ServedBytes       int64 `json:"served_bytes"`
		WrongChunks       int64 `json:"wrong_chunks"`
		DuplicateRequests int64 `json:"duplicates"`
		RefusedRequests   int64 `json:"refused"`
		BrokenRequests    int64 `json:"broken"`
		ControlBytes      int64 `json:"control_bytes"`
	}

	// Node runs the transfers of an agent. It is safe for concurrent use.
	Node struct {
		dependencies  Dependencies
		upload        *fairLimiter
		download      *fairLimiter
		counters      counters
		activeUploads atomic.Int64

		mutex           sync.Mutex
		ctx             context.Context
		pool            *links.Pool
		acceptedLinks   map[string]*links.Link
		closedLinkBytes int64
		transfers       map[string]*transfer
		liveScale       float64
	}
)

// Errors that the methods of a node return.
var (
	ErrNotRunning = errors.New("the node is not running")
	ErrTooLarge   = errors.New("the version is larger than the chunk memory")
	ErrNoTarget   = errors.New("no deployment has this version as its target")
	ErrReplaced   = errors.New("another target replaced the version")
)

// Neighbours implements Topology.
func (RandomGraph) Neighbours(self string, all []hosts.Host, count int) []hosts.Host {
	return hosts.Neighbours(self, all, count)
}

// Rank implements Topology.
func (RandomGraph) Rank(chunk weights.Digest, self string, all []hosts.Host) int {
	return hosts.Position(string(chunk[:]), self, all)
}

// New returns a node. It serves chunks and accepts targets only while Run runs.
func New(dependencies Dependencies) *Node {
	if dependencies.Topology == nil {
		dependencies.Topology = RandomGraph{}
	}
	if dependencies.Limits.LinkShare <= 0 {
		dependencies.Limits.LinkShare = 1
	}
	node := &Node{
		dependencies:  dependencies,
		counters:      newCounters(dependencies.Scope),
		acceptedLinks: map[string]*links.Link{},
		transfers:     map[string]*transfer{},
		liveScale:     1,
	}
	node.upload = newFairLimiter(float64(dependencies.Limits.UploadBytesPerS) * dependencies.Limits.LinkShare)
	node.download = newFairLimiter(float64(dependencies.Limits.DownloadBytesPerS) * dependencies.Limits.LinkShare)
	return node
}

// Run serves chunks and runs transfers until the context ends. It fails when
// the chunk listener fails.
func (node *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	node.start(ctx)
	return node.run(ctx)
}

// run does the work of Run after start. Tests call the two separately, because a
// target can be set as soon as start returns.
func (node *Node) run(ctx context.Context) error {
	defer node.stop()
	serveResult := make(chan error, 1)
	go func() { serveResult <- node.serve(ctx) }()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-serveResult:
			return err
		case <-ctx.Done():
			return <-serveResult
		case now := <-ticker.C:
			for _, each := range node.activeTransfers() {
				each.tick(now)
			}
		}
	}
}

func (node *Node) start(ctx context.Context) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.ctx = ctx
	node.pool = links.NewPool(ctx, node.dependencies.Links, node.handleLinkOpened)
}

func (node *Node) stop() {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.ctx = nil
	for _, each := range node.transfers {
		each.stop()
	}
}

func (node *Node) activeTransfers() []*transfer {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	all := make([]*transfer, 0, len(node.transfers))
	for _, each := range node.transfers {
		all = append(all, each)
	}
	return all
}

// SetTarget sets the target of its deployment and starts the transfer. A target
// with another manifest stops the previous transfer at once; chunks that both
// manifests share are kept. A target with the same manifest only changes the hosts
// that take part. It fails for an invalid manifest, with ErrTooLarge for a version
// that exceeds the chunk memory and with ErrNotRunning while Run does not run.
func (node *Node) SetTarget(target Target) error {
	if err := target.Manifest.Validate(); err != nil {
		return err
	}
	if target.Manifest.Size > node.dependencies.Store.Limit() {
		return fmt.Errorf("%w: %d of at most %d bytes", ErrTooLarge, target.Manifest.Size, node.dependencies.Store.Limit())
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.ctx == nil {
		return ErrNotRunning
	}
	previous := node.transfers[target.Deployment]
	if previous != nil && previous.digest == target.Manifest.Digest() {
		previous.updateHosts(target)
	} else {
		if previous != nil {
			previous.stop()
		}
		node.dependencies.Store.Claim(target.Deployment, target.Manifest.Chunks)
		created := newTransfer(node, target)
		node.transfers[target.Deployment] = created
		node.dependencies.Logger.Info("transfer started", zap.String("deployment", target.Deployment),
			zap.Stringer("manifest", created.digest), zap.Int("held", created.progress().Held))
	}
	node.pool.SetHosts(node.neighboursToDial())
	current := node.transfers[target.Deployment]
	go current.announceSnapshot()
	return nil
}

// RemoveTarget ends the transfer of a deployment and releases its claim on the
// chunks in the store.
func (node *Node) RemoveTarget(deployment string) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if previous := node.transfers[deployment]; previous != nil {
		previous.stop()
		delete(node.transfers, deployment)
		node.dependencies.Store.Claim(deployment, nil)
		node.pool.SetHosts(node.neighboursToDial())
	}
}

// Progress returns the progress of the deployment's transfer, or false if it has no
// target.
func (node *Node) Progress(deployment string) (Progress, bool) {
	node.mutex.Lock()
	current := node.transfers[deployment]
	node.mutex.Unlock()
	if current == nil {
		return Progress{}, false
	}
	return current.progress(), true
}

// WaitComplete waits until the store holds every chunk of the manifest with the
// digest. It fails with ErrNoTarget when no deployment has this manifest as its
// target, with ErrReplaced when the transfer is stopped first, and with the
// context's error when the context ends first.
func (node *Node) WaitComplete(ctx context.Context, digest weights.Digest) error {
	for _, each := range node.activeTransfers() {
		if each.digest != digest {
			continue
		}
		select {
		case <-each.complete:
			return nil
		case <-each.ctx.Done():
			return ErrReplaced
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return ErrNoTarget
}

// Chunk returns the verified content of a chunk, or false if the host does not hold
// it.
func (node *Node) Chunk(digest weights.Digest) ([]byte, bool) {
	return node.dependencies.Store.Get(digest)
}

// Counts returns the totals since the start.
func (node *Node) Counts() Counts {
	counts := node.counters.snapshot()
	counts.ControlBytes = node.controlBytes()
	return counts
}

// newRandom returns a generator whose sequence depends on the node's seed and on
// the text.
func newRandom(seed uint64, text string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(text)))
}

// originCopyTime returns the time in which the origin sends one copy of the target
// at the rate that the policy allows.
func originCopyTime(target Target, limits Limits) time.Duration {
	if limits.OriginBytesPerS <= 0 {
		return defaultOriginCopyTime
	}
	share := 1.0
	if target.Policy == configurations.PolicyFewerOriginBytes && target.OriginLinkShare > 0 {
		share = target.OriginLinkShare
	}
	return time.Duration(float64(target.Manifest.Size) / (float64(limits.OriginBytesPerS) * share) * float64(time.Second))
}
