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
	wantPath   = "/want/"
	statusPath = "/status"
	livePath   = "/live"

	benchDeployment = "bench"
	// A live request takes as long as one step of an engine.
	liveTime  = 9 * time.Millisecond
	liveBytes = 1 << 10
	// A stalled sender gives a body up after this time, as a connection does on
	// which no byte can be written. It is longer than the receiver waits.
	stallTime = 3 * time.Second
)

type (
	// HostCommand runs one host of the plan.
	HostCommand struct {
		Directory string `arg:"required" help:"where plan.json is"`
		Name      string `arg:"required" help:"name of the host in the plan"`
	}

	host struct {
		made  plan
		self  hosts.Host
		node  *transfers.Node
		store *weights.Store
		ctx   context.Context

		mutex   sync.Mutex
		wholeAt map[string]time.Time
		begun   map[string]int64
		ended   map[string]int64
	}

	// status is what the driver reads of a host. Times are in nanoseconds since
	// 1970, zero until the version is whole and verified.
	status struct {
		WholeAt map[string]int64 `json:"whole_at"`
		Control map[string]int64 `json:"control_bytes"`
		Held    int              `json:"held"`
		Counts  transfers.Counts `json:"counts"`
	}

	// corruptBody changes a share of the bodies and stalls those to one peer.
	corruptBody struct {
		mutex  sync.Mutex
		random *rand.Rand
		share  float64
		stall  string
	}

	stalledReader struct {
		content io.Reader
	}
)

// Run runs the host until the context ends.
func (command *HostCommand) Run(ctx context.Context) error {
	made, err := readPlan(command.Directory)
	if err != nil {
		return err
	}
	at := slices.IndexFunc(made.Hosts, func(each hosts.Host) bool { return each.Name == command.Name })
	if at < 0 {
		return fmt.Errorf("host %s is not in the plan", command.Name)
	}
	logger, err := logs.New("info", command.Name)
	if err != nil {
		return err
	}
	running := &host{
		made:    made,
		self:    made.Hosts[at],
		store:   weights.NewStore(2 * made.Manifests[versionNew].Size),
		ctx:     ctx,
		wholeAt: map[string]time.Time{},
		begun:   map[string]int64{},
		ended:   map[string]int64{},
	}
	return running.run(ctx, logger, made.Seed+uint64(at))
}

func (host *host) run(ctx context.Context, logger *zap.Logger, seed uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	control, err := net.Listen("tcp", host.self.Address)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	chunks, err := net.Listen("tcp", host.self.ChunkAddress)
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
		ChunkListener: chunks,
		Store:         host.store,
		Origin:        platform.New(host.made.Origin, "bench").Weights(),
		Limits:        host.limits(),
		Topology:      host.made.layout(),
		OverrideBody:  host.body(seed),
		Scope:         tally.NoopScope,
		Logger:        logger,
		Checker:       invariants.New(logger, tally.NoopScope, true),
		Seed:          seed,
	})
	host.node.Register(router)
	failed := make(chan error, 3)
	go func() { failed <- links.Serve(ctx, control, options) }()
	go func() { failed <- host.node.Run(ctx) }()
	go func() { failed <- serve(ctx, host.made.Admins[host.self.Name], host.answer) }()
	return <-failed
}

func (host *host) limits() transfers.Limits {
	return transfers.Limits{
		UploadBytesPerS:   host.made.HostRate,
		DownloadBytesPerS: host.made.HostRate,
		OriginBytesPerS:   host.made.OriginRate,
		NeighbourCount:    host.made.Neighbours,
	}
}

// body returns the fault injection of the sender, or nil.
func (host *host) body(seed uint64) func(peer string, content []byte) io.Reader {
	if host.made.CorruptRate == 0 {
		return nil
	}
	faults := &corruptBody{
		random: rand.New(rand.NewPCG(seed, 2)),
		share:  host.made.CorruptRate,
		stall:  host.made.Stalls[host.self.Name],
	}
	return faults.reader
}

func (faults *corruptBody) reader(peer string, content []byte) io.Reader {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	if peer == faults.stall {
		return &stalledReader{content: bytes.NewReader(content[:len(content)/2])}
	}
	if faults.random.Float64() < faults.share {
		content = bytes.Clone(content)
		content[faults.random.IntN(len(content))] ^= 1
	}
	return bytes.NewReader(content)
}

// Read implements io.Reader. It hands out half of the chunk and then nothing.
func (stalled *stalledReader) Read(buffer []byte) (int, error) {
	count, err := stalled.content.Read(buffer)
	if err == io.EOF {
		time.Sleep(stallTime)
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

func (host *host) answer(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	switch {
	case path == readyPath:
	case path == livePath:
		time.Sleep(liveTime)
		request.SetBody(make([]byte, liveBytes))
	case path == statusPath:
		_ = json.NewEncoder(request).Encode(host.status())
	case len(path) > len(wantPath) && path[:len(wantPath)] == wantPath:
		if err := host.want(path[len(wantPath):]); err != nil {
			request.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		}
	default:
		request.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (host *host) want(version string) error {
	manifest, known := host.made.Manifests[version]
	if !known {
		return fmt.Errorf("version %q is not in the plan", version)
	}
	host.mutex.Lock()
	host.begun[version] = host.node.Counts().ControlBytes
	host.mutex.Unlock()
	err := host.node.SetTarget(transfers.Target{
		Deployment: benchDeployment,
		Policy:     host.made.Policy,
		Manifest:   manifest,
		Hosts:      host.made.Hosts,
	})
	if err != nil {
		return err
	}
	go host.watch(version, manifest)
	return nil
}

// watch records when the version is whole. It hashes each chunk again, so that
// the measurement does not depend on the node's own verification.
func (host *host) watch(version string, manifest weights.Manifest) {
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
	host.wholeAt[version] = now
	host.ended[version] = host.node.Counts().ControlBytes
}

func (host *host) status() status {
	counts := host.node.Counts()
	held, _ := host.node.Progress(benchDeployment)
	host.mutex.Lock()
	defer host.mutex.Unlock()
	now := status{WholeAt: map[string]int64{}, Control: map[string]int64{}, Held: held.Held, Counts: counts}
	for version, at := range host.wholeAt {
		now.WholeAt[version] = at.UnixNano()
		now.Control[version] = host.ended[version] - host.begun[version]
	}
	return now
}
