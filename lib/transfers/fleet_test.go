package transfers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
	"firford/lib/platform"
	"firford/lib/weights"
)

const (
	testChunkBytes = 1 << 10
	testWait       = 30 * time.Second
)

type (
	// memoryOrigin serves weights from memory and can be switched off.
	memoryOrigin struct {
		mutex   sync.Mutex
		content map[string][]byte
		out     atomic.Bool
		reads   atomic.Int64
	}

	// fleet runs nodes on loopback. Bodies may replace what a host sends.
	fleet struct {
		t      *testing.T
		origin *memoryOrigin
		hosts  []hosts.Host
		nodes  []*Node
		stops  []context.CancelFunc
		bodies map[string]func(peer string, content []byte) io.Reader
		limits Limits
		memory int64
		links  []net.Listener
		chunks []net.Listener
	}
)

func (origin *memoryOrigin) Put(context.Context, string, io.Reader, int64) error { return nil }

func (origin *memoryOrigin) ReadRange(_ context.Context, name string, offset, length int64) ([]byte, error) {
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	if origin.out.Load() {
		return nil, platform.ErrUnavailable
	}
	origin.reads.Add(1)
	return bytes.Clone(origin.content[name][offset : offset+length]), nil
}

// publish adds weights of the count of chunks; equal seeds give equal chunks.
func (origin *memoryOrigin) publish(name string, seeds ...int) weights.Manifest {
	var content []byte
	for _, seed := range seeds {
		digest := weights.Sum(fmt.Appendf(nil, "%d", seed))
		content = append(content, bytes.Repeat(digest[:], testChunkBytes/len(digest))...)
	}
	origin.mutex.Lock()
	origin.content[name] = content
	origin.mutex.Unlock()
	manifest, err := weights.BuildManifest(name, bytes.NewReader(content), testChunkBytes)
	if err != nil {
		panic(err)
	}
	return manifest
}

func seeds(first, count int) []int {
	list := make([]int, count)
	for at := range list {
		list[at] = first + at
	}
	return list
}

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	all := &fleet{
		t:      t,
		origin: &memoryOrigin{content: map[string][]byte{}},
		bodies: map[string]func(string, []byte) io.Reader{},
		nodes:  make([]*Node, count),
		stops:  make([]context.CancelFunc, count),
		limits: Limits{NeighbourCount: 8, OriginBytesPerS: 1 << 20},
		memory: 1 << 20,
	}
	for at := range count {
		control, chunk := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
		all.links, all.chunks = append(all.links, control), append(all.chunks, chunk)
		all.hosts = append(all.hosts, hosts.Host{
			Name:         fmt.Sprintf("host-%02d", at),
			Role:         hosts.RoleAgent,
			Address:      control.Addr().String(),
			ChunkAddress: chunk.Addr().String(),
		})
	}
	return all
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// start runs the host with an empty store, as after a restart.
func (all *fleet) start(at int) *Node {
	all.t.Helper()
	host := all.hosts[at]
	router := links.NewRouter()
	options := links.Options{Self: links.Identity{Name: host.Name}, Key: []byte("key"), Router: router, Logger: zap.NewNop()}
	node := New(Dependencies{
		Self:          host,
		Links:         options,
		ChunkListener: all.chunks[at],
		Store:         weights.NewStore(all.memory),
		Origin:        all.origin,
		Limits:        all.limits,
		OverrideBody:  all.bodies[host.Name],
		Scope:         tally.NoopScope,
		Logger:        zap.NewNop(),
		Invariants:    invariants.NewForTest(func(name invariants.Name) { all.t.Errorf("violated: %s", name) }),
		Seed:          uint64(at),
	})
	node.Register(router)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() { _ = links.Serve(ctx, all.links[at], options); ended <- struct{}{} }()
	node.start(ctx)
	go func() { _ = node.run(ctx); ended <- struct{}{} }()
	all.nodes[at] = node
	var once sync.Once
	all.stops[at] = func() {
		once.Do(func() {
			stop()
			<-ended
			<-ended
		})
	}
	all.t.Cleanup(all.stops[at])
	return node
}

// restart replaces a host's process by one with an empty store.
func (all *fleet) restart(at int) *Node {
	all.t.Helper()
	all.stops[at]()
	all.links[at] = listen(all.t, all.hosts[at].Address)
	all.chunks[at] = listen(all.t, all.hosts[at].ChunkAddress)
	return all.start(at)
}

func (all *fleet) startAll() {
	all.t.Helper()
	for at := range all.hosts {
		all.start(at)
	}
}

func (all *fleet) target(manifest weights.Manifest) Target {
	return Target{Deployment: "plant", Policy: configurations.PolicyLessTime, Manifest: manifest, Hosts: all.hosts}
}

func (all *fleet) want(target Target, at ...int) {
	all.t.Helper()
	for _, each := range at {
		if err := all.nodes[each].SetTarget(target); err != nil {
			all.t.Fatal(err)
		}
	}
}

// wait fails the test when a host does not become whole. The limit only ends a
// test that hangs.
func (all *fleet) wait(manifest weights.Manifest, at ...int) {
	all.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	for _, each := range at {
		if err := all.nodes[each].WaitComplete(ctx, manifest.Digest()); err != nil {
			all.t.Fatalf("%s: %v", all.hosts[each].Name, err)
		}
	}
}

func (all *fleet) everyone() []int {
	return seeds(0, len(all.hosts))
}
