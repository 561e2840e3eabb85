package transfers

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
	// Requests in flight. Eight left the link idle at times: 60 hosts took 1.22
	// instead of 1.06 times the limit; 16 and 20 gained nothing.
	window       = 12
	perNeighbour = 2
	originWindow = 4

	// Under less_time, the deadlines of two ranks differ by the time of one copy
	// divided by this. With the whole time in between, a chunk whose first two
	// ranks died reached 270 hosts at 1.53 instead of below 1.4 times the limit.
	hastySteps = 4
	// Asking a little faster than the origin sends keeps its link busy although
	// the hosts do not start at the same moment.
	hastySpread = 0.9

	// Without a configured origin rate, later ranks wait for this time.
	unknownOriginTime = 30 * time.Second
	// The origin's queue may hold one whole copy, so a read may take this many
	// times the expected time of a copy.
	originPatience     = 3
	leastOriginTimeout = 10 * time.Second

	// manifestKeyLength is the number of hex digits that name a manifest between
	// neighbours. The whole digest would double the size of an announcement.
	manifestKeyLength = 16
)

// transfer is one deployment's target on its way to this host.
type transfer struct {
	node   *Node
	ctx    context.Context
	stop   context.CancelFunc
	digest weights.Digest
	key    string
	whole  chan struct{}
	same   map[weights.Digest][]int

	deployment string
	manifest   weights.Manifest
	originS    float64

	mutex      sync.Mutex
	state      selections.State
	random     *rand.Rand
	clients    map[string]*fasthttp.HostClient
	neighbours []hosts.Host
	news       news
}

func newTransfer(node *Node, target Target) *transfer {
	ctx, stop := context.WithCancel(node.ctx)
	digest := target.Manifest.Digest()
	started := &transfer{
		node:   node,
		ctx:    ctx,
		stop:   stop,
		digest: digest,
		key:    digest.String()[:manifestKeyLength],
		whole:  make(chan struct{}),
		same:   map[weights.Digest][]int{},

		deployment: target.Deployment,
		manifest:   target.Manifest,
		originS:    originTime(target, node.given.Limits).Seconds(),

		random:  newRandom(node.given.Seed, target.Deployment+digest.String()),
		clients: map[string]*fasthttp.HostClient{},
		news:    newNews(),
	}
	for index, chunk := range target.Manifest.Chunks {
		started.same[chunk] = append(started.same[chunk], index)
	}
	ranks, names := started.place(target)
	held := node.given.Store.Held(target.Manifest)
	started.state = selections.New(selectionSettings(target, node.given.Limits), ranks, held, names, time.Now())
	if held.Full() {
		close(started.whole)
	}
	return started
}

func selectionSettings(target Target, limits Limits) selections.Settings {
	fewer := target.Policy == configurations.PolicyFewerOriginBytes
	span := originTime(target, limits)
	settings := selections.Settings{
		Window:          window,
		NeighbourWindow: perNeighbour,
		OriginWindow:    originWindow,
		OriginTime:      span,
		OriginSpread:    span,
		RankStep:        span,
	}
	if !fewer {
		settings.RankStep = span / hastySteps
		settings.OriginSpread = time.Duration(float64(span) * hastySpread)
	}
	if limits.OriginBytesPerS <= 0 {
		// The assumed time is long for the sake of later ranks.
		settings.OriginSpread = 0
	}
	return settings
}

// place finds this host's neighbours and its rank for each chunk.
func (transfer *transfer) place(target Target) (ranks []int, names []string) {
	given := transfer.node.given
	self := given.Self.Name
	transfer.neighbours = given.Topology.Neighbours(self, target.Hosts, given.Limits.NeighbourCount)
	for _, host := range transfer.neighbours {
		names = append(names, host.Name)
		if existing, known := transfer.clients[host.Name]; !known || existing.Addr != host.ChunkAddress {
			transfer.clients[host.Name] = transfer.newClient(host)
		}
	}
	for _, chunk := range target.Manifest.Chunks {
		ranks = append(ranks, given.Topology.Rank(chunk, self, target.Hosts))
	}
	return ranks, names
}

// retarget changes the hosts that take part in the transfer.
func (transfer *transfer) retarget(target Target) {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	ranks, names := transfer.place(target)
	transfer.state = transfer.state.WithNeighbours(ranks, names)
}

func (transfer *transfer) progress() Progress {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	held := transfer.state.Held()
	return Progress{Digest: transfer.digest, Held: held.Count(), Total: held.Size(), Complete: held.Full()}
}

// near returns the neighbours.
func (transfer *transfer) near() []hosts.Host {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	return transfer.neighbours
}

func (transfer *transfer) tick(now time.Time) {
	transfer.handle(selections.Tick{}, now)
	transfer.announceAdded(now)
}

// handle lets the selection react to a message and starts the requests that it
// decides on. The windows of the selection bound the number of goroutines.
func (transfer *transfer) handle(message selections.Event, now time.Time) {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	if transfer.ctx.Err() != nil {
		return
	}
	before := transfer.state.Held()
	var asks []selections.Request
	transfer.state, asks = transfer.state.Step(message, now, transfer.random)
	if !before.Full() && transfer.state.Held().Full() {
		transfer.finish()
	}
	for _, ask := range asks {
		if ask.From == selections.Origin {
			transfer.node.given.Invariants.Check(transfer.state.OriginAllowed(ask.Chunk, now), invariants.OriginCap,
				zap.Int("chunk", ask.Chunk))
			go transfer.fetchOrigin(ask.Chunk)
			continue
		}
		if transfer.state.RequestsFor(ask.Chunk) > 1 {
			transfer.node.counters.duplicates.add(1)
		}
		go transfer.fetchPeer(ask, transfer.clients[ask.From])
	}
}

func (transfer *transfer) finish() {
	node := transfer.node
	node.given.Invariants.Check(node.given.Store.Held(transfer.manifest).Full(), invariants.WholeVersion,
		zap.Stringer("manifest", transfer.digest))
	node.given.Logger.Info("transfer whole", zap.String("deployment", transfer.deployment),
		zap.Stringer("manifest", transfer.digest))
	close(transfer.whole)
}

func (transfer *transfer) fetchOrigin(chunk int) {
	offset, length := transfer.manifest.ChunkRange(chunk)
	limit := max(leastOriginTimeout, time.Duration(originPatience*transfer.originS*float64(time.Second)))
	ctx, cancel := context.WithTimeout(transfer.ctx, limit)
	defer cancel()
	content, err := transfer.node.given.Origin.ReadRange(ctx, transfer.manifest.Weights, offset, length)
	if err == nil {
		transfer.node.counters.origin.add(int64(len(content)))
		err = transfer.carry(len(content))
	}
	if err != nil {
		transfer.node.given.Logger.Debug("origin read failed", zap.Int("chunk", chunk), zap.Error(err))
		transfer.handle(selections.RequestFailed{Chunk: chunk, From: selections.Origin, Reason: selections.Broken}, time.Now())
		return
	}
	transfer.settle(selections.Request{Chunk: chunk, From: selections.Origin}, content)
}

// carry takes the bytes of an origin read off the download link.
func (transfer *transfer) carry(bytes int) error {
	for ; bytes > 0; bytes -= pieceBytes {
		if err := transfer.node.download.take(transfer.ctx, transfer.deployment, bytes); err != nil {
			return err
		}
	}
	return nil
}

// settle verifies and keeps the content of a request.
func (transfer *transfer) settle(ask selections.Request, content []byte) {
	digest := transfer.manifest.Chunks[ask.Chunk]
	err := transfer.node.given.Store.Put(digest, content)
	now := time.Now()
	switch {
	case errors.Is(err, weights.ErrWrongDigest):
		transfer.node.counters.wrong.add(1)
		transfer.node.given.Logger.Warn("wrong chunk dropped", zap.String("sender", ask.From), zap.Int("chunk", ask.Chunk))
		transfer.handle(selections.RequestFailed{Chunk: ask.Chunk, From: ask.From, Reason: selections.WrongDigest}, now)
	case err != nil:
		transfer.node.given.Logger.Error("chunk not kept", zap.Int("chunk", ask.Chunk), zap.Error(err))
		transfer.handle(selections.RequestFailed{Chunk: ask.Chunk, From: ask.From, Reason: selections.Broken}, now)
	default:
		for _, index := range transfer.same[digest] {
			transfer.handle(selections.ChunkReceived{Chunk: index, From: ask.From}, now)
			transfer.news.add(index)
		}
		transfer.announceAdded(now)
	}
}
