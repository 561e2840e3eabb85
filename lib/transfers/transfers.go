// Package transfers brings the chunks of new versions to this host and serves
// them to other hosts.
//
// The package selections decides which chunk to ask of whom; this package runs
// its decisions over HTTP and links and keeps to the rates of the host's link.
// Each deployment has at most one transfer, which a newer target replaces.
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
	// the part of it that transfers may use, 0 meaning all. OriginBytesPerS is
	// the rate of the origin's link; it sets the deadlines after which later
	// ranks read from the origin.
	Limits struct {
		UploadBytesPerS   int64
		DownloadBytesPerS int64
		LinkShare         float64
		OriginBytesPerS   int64
		NeighbourCount    int
	}

	// Topology decides who exchanges chunks with whom and which hosts read a chunk
	// from the origin, by rank.
	Topology interface {
		Neighbours(self string, all []hosts.Host, count int) []hosts.Host
		Rank(chunk weights.Digest, self string, all []hosts.Host) int
	}

	// RandomGraph is the layout of the fleet: a random graph by hash with
	// rendezvous ranks.
	RandomGraph struct{}

	// Dependencies are what a Node needs. Links holds the identity and key of the
	// process and its router. Topology may be nil for RandomGraph. OverrideBody may be nil;
	// it replaces the content that is sent to a peer, for fault injection.
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
		Invariants    invariants.Asserter
		Seed          uint64
	}

	// Target is the version that a deployment's hosts are to hold. Policy is one
	// of the configuration's policies. Hosts are all that take part, with or
	// without this one.
	Target struct {
		Deployment      string
		Policy          string
		OriginLinkShare float64
		Manifest        weights.Manifest
		Hosts           []hosts.Host
	}

	// Progress tells how far a deployment's target is.
	Progress struct {
		Digest   weights.Digest
		Held     int
		Total    int
		Complete bool
	}

	// LiveLoad is what live requests need of the link. LatencyRatio is their p95
	// divided by the p95 without transfers; zero means unknown.
	LiveLoad struct {
		BytesPerS    int64
		LatencyRatio float64
	}

	// Counts are totals since the node started.
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

	// Node is the transfer part of an agent. It is safe for concurrent use.
	Node struct {
		given    Dependencies
		upload   *bandwidth
		download *bandwidth
		counters counters
		uploads  atomic.Int64

		mutex     sync.Mutex
		ctx       context.Context
		pool      *links.Pool
		accepted  map[string]*links.Link
		ended     int64
		transfers map[string]*transfer
		liveScale float64
	}
)

// Errors of a node.
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

// New returns a node that does nothing before Run.
func New(given Dependencies) *Node {
	if given.Topology == nil {
		given.Topology = RandomGraph{}
	}
	if given.Limits.LinkShare <= 0 {
		given.Limits.LinkShare = 1
	}
	node := &Node{
		given:     given,
		counters:  newCounters(given.Scope),
		accepted:  map[string]*links.Link{},
		transfers: map[string]*transfer{},
		liveScale: 1,
	}
	node.upload = newBandwidth(float64(given.Limits.UploadBytesPerS) * given.Limits.LinkShare)
	node.download = newBandwidth(float64(given.Limits.DownloadBytesPerS) * given.Limits.LinkShare)
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

// run is Run after start, so that a target can be set as soon as start returns.
func (node *Node) run(ctx context.Context) error {
	defer node.stop()
	served := make(chan error, 1)
	go func() { served <- node.serve(ctx) }()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-served:
			return err
		case <-ctx.Done():
			return <-served
		case now := <-ticker.C:
			for _, each := range node.running() {
				each.tick(now)
			}
		}
	}
}

func (node *Node) start(ctx context.Context) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.ctx = ctx
	node.pool = links.NewPool(ctx, node.given.Links, node.onOpen)
}

func (node *Node) stop() {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.ctx = nil
	for _, each := range node.transfers {
		each.stop()
	}
}

func (node *Node) running() []*transfer {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	all := make([]*transfer, 0, len(node.transfers))
	for _, each := range node.transfers {
		all = append(all, each)
	}
	return all
}

// SetTarget makes the target the one of its deployment. A target with another
// manifest stops the earlier transfer at once; chunks that both share are kept.
// It fails with ErrNotRunning before Run and with ErrTooLarge for a version
// that exceeds the chunk memory.
func (node *Node) SetTarget(target Target) error {
	if err := target.Manifest.Validate(); err != nil {
		return err
	}
	if target.Manifest.Size > node.given.Store.Limit() {
		return fmt.Errorf("%w: %d of at most %d bytes", ErrTooLarge, target.Manifest.Size, node.given.Store.Limit())
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.ctx == nil {
		return ErrNotRunning
	}
	earlier := node.transfers[target.Deployment]
	if earlier != nil && earlier.digest == target.Manifest.Digest() {
		earlier.retarget(target)
	} else {
		if earlier != nil {
			earlier.stop()
		}
		node.given.Store.Claim(target.Deployment, target.Manifest.Chunks)
		started := newTransfer(node, target)
		node.transfers[target.Deployment] = started
		node.given.Logger.Info("transfer started", zap.String("deployment", target.Deployment),
			zap.Stringer("manifest", started.digest), zap.Int("held", started.progress().Held))
	}
	node.pool.Keep(node.dialled())
	current := node.transfers[target.Deployment]
	go current.announceWhole()
	return nil
}

// RemoveTarget ends the transfer of a deployment and gives up its chunks.
func (node *Node) RemoveTarget(deployment string) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if earlier := node.transfers[deployment]; earlier != nil {
		earlier.stop()
		delete(node.transfers, deployment)
		node.given.Store.Claim(deployment, nil)
		node.pool.Keep(node.dialled())
	}
}

// Progress returns how far the deployment's target is; false without a target.
func (node *Node) Progress(deployment string) (Progress, bool) {
	node.mutex.Lock()
	current := node.transfers[deployment]
	node.mutex.Unlock()
	if current == nil {
		return Progress{}, false
	}
	return current.progress(), true
}

// WaitComplete returns when the store holds every chunk of the manifest with the
// digest. It fails with ErrNoTarget when no deployment has it as its target,
// and with ErrReplaced when that changes.
func (node *Node) WaitComplete(ctx context.Context, digest weights.Digest) error {
	for _, each := range node.running() {
		if each.digest != digest {
			continue
		}
		select {
		case <-each.whole:
			return nil
		case <-each.ctx.Done():
			return ErrReplaced
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return ErrNoTarget
}

// Chunk returns a verified chunk that the host holds.
func (node *Node) Chunk(digest weights.Digest) ([]byte, bool) {
	return node.given.Store.Get(digest)
}

// Counts returns the totals since the start.
func (node *Node) Counts() Counts {
	counts := node.counters.read()
	counts.ControlBytes = node.controlBytes()
	return counts
}

func newRandom(seed uint64, deployment string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(deployment)))
}

func originTime(target Target, limits Limits) time.Duration {
	if limits.OriginBytesPerS <= 0 {
		return unknownOriginTime
	}
	share := 1.0
	if target.Policy == configurations.PolicyFewerOriginBytes && target.OriginLinkShare > 0 {
		share = target.OriginLinkShare
	}
	return time.Duration(float64(target.Manifest.Size) / (float64(limits.OriginBytesPerS) * share) * float64(time.Second))
}
