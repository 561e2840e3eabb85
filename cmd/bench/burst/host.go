package burst

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
	"firford/lib/logs"
	"firford/lib/platform"
	"firford/lib/transfers"
	"firford/lib/weights"
)

const (
	targetPath = "/want/"
	statusPath = "/status"
	livePath   = "/live"

	benchDeployment = "bench"
	// A live request takes as long as one step of an engine.
	liveResponseTime  = 9 * time.Millisecond
	liveResponseBytes = 1 << 10
	// A stalled sender ends the body with an error after stallTime. This exceeds the
	// timeout of the receiver, so that the receiver gives up first, as it does on a
	// connection that passes no more bytes.
	stallTime = 3 * time.Second
)

type (
	// HostCommand runs one host of the plan as a process.
	HostCommand struct {
		Directory string `arg:"required" help:"where plan.json is"`
		Name      string `arg:"required" help:"name of the host in the plan"`
	}

	host struct {
		plan  plan
		self  hosts.Host
		node  *transfers.Node
		store *weights.Store
		ctx   context.Context

		mutex          sync.Mutex
		completedAt    map[string]time.Time
		controlAtStart map[string]int64
		controlAtEnd   map[string]int64
	}

	// status is the response to statusPath. CompletedAt is in nanoseconds since
	// 1970, and lacks a version until it is complete and verified. Control is the
	// number of control bytes that its transfer took.
	status struct {
		CompletedAt map[string]int64 `json:"whole_at"`
		Control     map[string]int64 `json:"control_bytes"`
		Held        int              `json:"held"`
		Counts      transfers.Counts `json:"counts"`
	}

	// bodyFaults corrupts a share of the chunk bodies that a host sends, and stalls
	// the bodies to one peer. It is safe for concurrent use.
	bodyFaults struct {
		mutex       sync.Mutex
		random      *rand.Rand
		share       float64
		stalledPeer string
	}

	// stalledReader is a body that stops in the middle.
	stalledReader struct {
		content io.Reader
	}
)

// Run runs the host until the context ends.
func (command *HostCommand) Run(ctx context.Context) error {
	plan, err := readPlan(command.Directory)
	if err != nil {
		return err
	}
	index := slices.IndexFunc(plan.Hosts, func(each hosts.Host) bool { return each.Name == command.Name })
	if index < 0 {
		return fmt.Errorf("host %s is not in the plan", command.Name)
	}
	logger, err := logs.New("info", command.Name)
	if err != nil {
		return err
	}
	host := &host{
		plan:           plan,
		self:           plan.Hosts[index],
		store:          weights.NewStore(2 * plan.Manifests[versionNew].Size),
		ctx:            ctx,
		completedAt:    map[string]time.Time{},
		controlAtStart: map[string]int64{},
		controlAtEnd:   map[string]int64{},
	}
	return host.run(ctx, logger, plan.Seed+uint64(index))
}

func (host *host) run(ctx context.Context, logger *zap.Logger, seed uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	linkListener, err := net.Listen("tcp", host.self.Address)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	chunkListener, err := net.Listen("tcp", host.self.ChunkAddress)
	if err != nil {
		return fmt.Errorf("listen for chunks: %w", err)
	}
	router := links.NewRouter()
	options := links.Options{
		Self:   links.Identity{Name: host.self.Name, Role: hosts.RoleAgent},
		Key:    []byte("bench"),
		Router: router,
		Logger: logger,
	}
	host.node = transfers.New(transfers.Dependencies{
		Self:          host.self,
		Links:         options,
		ChunkListener: chunkListener,
		Store:         host.store,
		Origin:        platform.New(host.plan.Origin, "bench").Weights(),
		Limits:        host.limits(),
		Topology:      host.plan.topology(),
		OverrideBody:  host.overrideBody(seed),
		Scope:         tally.NoopScope,
		Logger:        logger,
		Checker:       invariants.New(logger, tally.NoopScope, true),
		Seed:          seed,
	})
	host.node.Register(router)
	errs := make(chan error, 3)
	go func() { errs <- links.Serve(ctx, linkListener, options) }()
	go func() { errs <- host.node.Run(ctx) }()
	go func() { errs <- serve(ctx, host.plan.AdminAddresses[host.self.Name], host.handle) }()
	return <-errs
}

func (host *host) limits() transfers.Limits {
	return transfers.Limits{
		UploadBytesPerS:   host.plan.HostRate,
		DownloadBytesPerS: host.plan.HostRate,
		OriginBytesPerS:   host.plan.OriginRate,
		NeighbourCount:    host.plan.Neighbours,
	}
}

// overrideBody returns the function that injects faults into sent chunk bodies,
// or nil for a run without faults.
func (host *host) overrideBody(seed uint64) func(peer string, content []byte) io.Reader {
	if host.plan.CorruptRate == 0 {
		return nil
	}
	faults := &bodyFaults{
		random:      rand.New(rand.NewPCG(seed, 2)),
		share:       host.plan.CorruptRate,
		stalledPeer: host.plan.StalledPeers[host.self.Name],
	}
	return faults.reader
}

func (faults *bodyFaults) reader(peer string, content []byte) io.Reader {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	if peer == faults.stalledPeer {
		return &stalledReader{content: bytes.NewReader(content[:len(content)/2])}
	}
	if faults.random.Float64() < faults.share {
		content = bytes.Clone(content)
		content[faults.random.IntN(len(content))] ^= 1
	}
	return bytes.NewReader(content)
}

// Read implements io.Reader. It blocks at the end of the content, which is half
// of a chunk, and then fails.
func (stalled *stalledReader) Read(buffer []byte) (int, error) {
	count, err := stalled.content.Read(buffer)
	if err == io.EOF {
		time.Sleep(stallTime)
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

func (host *host) handle(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	switch {
	case path == readyPath:
	case path == livePath:
		time.Sleep(liveResponseTime)
		request.SetBody(make([]byte, liveResponseBytes))
	case path == statusPath:
		_ = json.NewEncoder(request).Encode(host.status())
	case len(path) > len(targetPath) && path[:len(targetPath)] == targetPath:
		if err := host.setTarget(path[len(targetPath):]); err != nil {
			request.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		}
	default:
		request.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (host *host) setTarget(version string) error {
	manifest, known := host.plan.Manifests[version]
	if !known {
		return fmt.Errorf("version %q is not in the plan", version)
	}
	host.mutex.Lock()
	host.controlAtStart[version] = host.node.Counts().ControlBytes
	host.mutex.Unlock()
	err := host.node.SetTarget(transfers.Target{
		Deployment: benchDeployment,
		Policy:     host.plan.Policy,
		Manifest:   manifest,
		Hosts:      host.plan.Hosts,
	})
	if err != nil {
		return err
	}
	go host.recordCompletion(version, manifest)
	return nil
}

// recordCompletion waits until the version is complete and records the time. It
// hashes each chunk again, so that the measurement does not depend on the
// node's own verification.
func (host *host) recordCompletion(version string, manifest weights.Manifest) {
	if err := host.node.WaitComplete(host.ctx, manifest.Digest()); err != nil {
		return
	}
	now := time.Now()
	for _, digest := range manifest.Chunks {
		chunk, held := host.node.Chunk(digest)
		if !held || weights.Sum(chunk) != digest {
			return
		}
	}
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.completedAt[version] = now
	host.controlAtEnd[version] = host.node.Counts().ControlBytes
}

func (host *host) status() status {
	counts := host.node.Counts()
	held, _ := host.node.Progress(benchDeployment)
	host.mutex.Lock()
	defer host.mutex.Unlock()
	current := status{CompletedAt: map[string]int64{}, Control: map[string]int64{}, Held: held.Held, Counts: counts}
	for version, completed := range host.completedAt {
		current.CompletedAt[version] = completed.UnixNano()
		current.Control[version] = host.controlAtEnd[version] - host.controlAtStart[version]
	}
	return current
}
