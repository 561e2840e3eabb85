package transfers

// A transfer runs the chunk selection of one deployment's target: it passes events
// to the selection, sends the requests that it returns and stores the results.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/transfers/selections"
	"firford/lib/weights"
)

const (
	// Requests in flight to all neighbours, to one neighbour and to the origin. A
	// requestWindow of eight left the link idle at times: a transfer to 60 hosts
	// took 1.22 instead of 1.06 times the ideal time; 16 and 20 gained nothing.
	requestWindow   = 12
	neighbourWindow = 2
	originWindow    = 4

	// Under the policy less_time, the origin deadlines of two consecutive ranks
	// differ by the time of one copy divided by lessTimeRankDivisor. With the whole
	// time of a copy in between, a chunk whose first two ranks died reached all of
	// 270 hosts at 1.53 instead of below 1.4 times the ideal time.
	lessTimeRankDivisor = 4
	// Under less_time, the hosts of rank zero request chunks a little faster than
	// the origin sends them. This keeps its link busy although the hosts do not
	// start at the same moment.
	lessTimeSpreadFactor = 0.9

	// defaultOriginCopyTime is the assumed time in which the origin sends one copy
	// when its rate is not configured.
	defaultOriginCopyTime = 30 * time.Second
	// A read from the origin times out after originTimeoutFactor times the expected
	// time of one copy, because the origin's queue may hold one whole copy.
	originTimeoutFactor = 3
	minOriginTimeout    = 10 * time.Second

	// manifestKeyLength is the number of hex digits of the digest that identify a
	// manifest in announcements. The whole digest would double their size.
	manifestKeyLength = 16
)

// transfer is the download of one deployment's target. The channel complete is
// closed when the host holds all chunks. Chunks with equal content share a digest,
// so chunkIndices lists all positions of each digest in the manifest. The mutex
// guards the fields below it except announcements, which has its own.
type transfer struct {
	node         *Node
	ctx          context.Context
	stop         context.CancelFunc
	digest       weights.Digest
	manifestKey  string
	complete     chan struct{}
	chunkIndices map[weights.Digest][]int

	deployment        string
	manifest          weights.Manifest
	originCopySeconds float64

	mutex         sync.Mutex
	state         selections.State
	random        *rand.Rand
	clients       map[string]*fasthttp.HostClient
	neighbours    []hosts.Host
	announcements announcements
}

func newTransfer(node *Node, target Target) *transfer {
	ctx, stop := context.WithCancel(node.ctx)
	digest := target.Manifest.Digest()
	created := &transfer{
		node:         node,
		ctx:          ctx,
		stop:         stop,
		digest:       digest,
		manifestKey:  digest.String()[:manifestKeyLength],
		complete:     make(chan struct{}),
		chunkIndices: map[weights.Digest][]int{},

		deployment:        target.Deployment,
		manifest:          target.Manifest,
		originCopySeconds: originCopyTime(target, node.dependencies.Limits).Seconds(),

		random:        newRandom(node.dependencies.Seed, target.Deployment+digest.String()),
		clients:       map[string]*fasthttp.HostClient{},
		announcements: newAnnouncements(),
	}
	for index, chunk := range target.Manifest.Chunks {
		created.chunkIndices[chunk] = append(created.chunkIndices[chunk], index)
	}
	ranks, names := created.applyTopology(target)
	held := node.dependencies.Store.Held(target.Manifest)
	created.state = selections.New(selectionSettings(target, node.dependencies.Limits), ranks, held, names, time.Now())
	if held.Full() {
		close(created.complete)
	}
	return created
}

// selectionSettings returns the windows and the origin timing of the target's
// policy.
func selectionSettings(target Target, limits Limits) selections.Settings {
	fewerOriginBytes := target.Policy == configurations.PolicyFewerOriginBytes
	copyTime := originCopyTime(target, limits)
	settings := selections.Settings{
		Window:          requestWindow,
		NeighbourWindow: neighbourWindow,
		OriginWindow:    originWindow,
		OriginTime:      copyTime,
		OriginSpread:    copyTime,
		RankStep:        copyTime,
	}
	if !fewerOriginBytes {
		settings.RankStep = copyTime / lessTimeRankDivisor
		settings.OriginSpread = time.Duration(float64(copyTime) * lessTimeSpreadFactor)
	}
	if limits.OriginBytesPerS <= 0 {
		// The assumed time is long so that later ranks wait. Reads of rank zero need
		// not be spread over it.
		settings.OriginSpread = 0
	}
	return settings
}

// applyTopology sets the neighbours of this host and their clients. It returns the
// host's rank for each chunk and the names of the neighbours. The caller holds the
// mutex once the transfer has started.
func (transfer *transfer) applyTopology(target Target) (ranks []int, names []string) {
	dependencies := transfer.node.dependencies
	self := dependencies.Self.Name
	transfer.neighbours = dependencies.Topology.Neighbours(self, target.Hosts, dependencies.Limits.NeighbourCount)
	for _, host := range transfer.neighbours {
		names = append(names, host.Name)
		if existing, known := transfer.clients[host.Name]; !known || existing.Addr != host.ChunkAddress {
			transfer.clients[host.Name] = transfer.newClient(host)
		}
	}
	for _, chunk := range target.Manifest.Chunks {
		ranks = append(ranks, dependencies.Topology.Rank(chunk, self, target.Hosts))
	}
	return ranks, names
}

// updateHosts changes the hosts that take part in the transfer.
func (transfer *transfer) updateHosts(target Target) {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	ranks, names := transfer.applyTopology(target)
	transfer.state = transfer.state.WithNeighbours(ranks, names)
}

func (transfer *transfer) progress() Progress {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	held := transfer.state.Held()
	return Progress{Digest: transfer.digest, Held: held.Count(), Total: held.Size(), Complete: held.Full()}
}

// currentNeighbours returns the neighbours under the mutex. updateHosts replaces
// the slice and never changes it in place.
func (transfer *transfer) currentNeighbours() []hosts.Host {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	return transfer.neighbours
}

func (transfer *transfer) tick(now time.Time) {
	transfer.handle(selections.Tick{}, now)
	transfer.announceNewChunks(now)
}

// handle passes an event to the chunk selection and starts the requests that it
// returns. The selection's windows bound the number of goroutines.
func (transfer *transfer) handle(event selections.Event, now time.Time) {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	if transfer.ctx.Err() != nil {
		return
	}
	before := transfer.state.Held()
	var requests []selections.Request
	transfer.state, requests = transfer.state.Step(event, now, transfer.random)
	if !before.Full() && transfer.state.Held().Full() {
		transfer.markComplete()
	}
	for _, request := range requests {
		if request.From == selections.Origin {
			transfer.node.dependencies.Checker.Check(transfer.state.OriginAllowed(request.Chunk, now), invariants.OriginCap,
				zap.Int("chunk", request.Chunk))
			go transfer.fetchFromOrigin(request.Chunk)
			continue
		}
		if transfer.state.RequestsFor(request.Chunk) > 1 {
			transfer.node.counters.duplicateRequests.add(1)
		}
		go transfer.fetchFromNeighbour(request, transfer.clients[request.From])
	}
}

// markComplete checks that the store holds every chunk and wakes WaitComplete.
func (transfer *transfer) markComplete() {
	node := transfer.node
	node.dependencies.Checker.Check(node.dependencies.Store.Held(transfer.manifest).Full(), invariants.WholeVersion,
		zap.Stringer("manifest", transfer.digest))
	node.dependencies.Logger.Info("transfer complete", zap.String("deployment", transfer.deployment),
		zap.Stringer("manifest", transfer.digest))
	close(transfer.complete)
}

// fetchFromOrigin reads a chunk from the origin and stores it or reports the
// failure to the chunk selection.
func (transfer *transfer) fetchFromOrigin(chunk int) {
	offset, length := transfer.manifest.ChunkRange(chunk)
	limit := max(minOriginTimeout, time.Duration(originTimeoutFactor*transfer.originCopySeconds*float64(time.Second)))
	ctx, cancel := context.WithTimeout(transfer.ctx, limit)
	defer cancel()
	content, err := transfer.node.dependencies.Origin.ReadRange(ctx, transfer.manifest.Weights, offset, length)
	if err == nil {
		transfer.node.counters.originBytes.add(int64(len(content)))
		err = transfer.acquireDownload(len(content))
	}
	if err != nil {
		transfer.node.dependencies.Logger.Debug("reading a chunk from the origin failed", zap.Int("chunk", chunk), zap.Error(err))
		transfer.handle(selections.RequestFailed{Chunk: chunk, From: selections.Origin, Reason: selections.Broken}, time.Now())
		return
	}
	transfer.storeChunk(selections.Request{Chunk: chunk, From: selections.Origin}, content)
}

// acquireDownload counts the bytes of an origin read against the deployment's
// share of the download link.
func (transfer *transfer) acquireDownload(bytes int) error {
	for ; bytes > 0; bytes -= quantumBytes {
		if err := transfer.node.download.acquire(transfer.ctx, transfer.deployment, bytes); err != nil {
			return err
		}
	}
	return nil
}

// storeChunk verifies and stores the content of a request and reports the result
// to the chunk selection.
func (transfer *transfer) storeChunk(request selections.Request, content []byte) {
	digest := transfer.manifest.Chunks[request.Chunk]
	err := transfer.node.dependencies.Store.Put(digest, content)
	now := time.Now()
	switch {
	case errors.Is(err, weights.ErrWrongDigest):
		transfer.node.counters.wrongChunks.add(1)
		transfer.node.dependencies.Logger.Warn("discarded a chunk with a wrong digest", zap.String("sender", request.From), zap.Int("chunk", request.Chunk))
		transfer.handle(selections.RequestFailed{Chunk: request.Chunk, From: request.From, Reason: selections.WrongDigest}, now)
	case err != nil:
		transfer.node.dependencies.Logger.Error("storing a chunk failed", zap.Int("chunk", request.Chunk), zap.Error(err))
		transfer.handle(selections.RequestFailed{Chunk: request.Chunk, From: request.From, Reason: selections.Broken}, now)
	default:
		for _, index := range transfer.chunkIndices[digest] {
			transfer.handle(selections.ChunkReceived{Chunk: index, From: request.From}, now)
			transfer.announcements.add(index)
		}
		transfer.announceNewChunks(now)
	}
}
