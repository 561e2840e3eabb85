package transfers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
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
	// The ports of test hosts lie below the range from which the kernel chooses.
	firstTestPort = 20_000
	lastTestPort  = 32_000
)

// testPorts counts the ports that hosts of this test process have tried.
var testPorts atomic.Int64

type (
	// memoryOrigin serves weights from memory and can be switched off.
	memoryOrigin struct {
		mutex   sync.Mutex
		content map[string][]byte
		outage  atomic.Bool
		reads   atomic.Int64
	}

	// fleet runs the nodes of several hosts on loopback. An entry of overrideBodies
	// replaces the chunk content that the named host sends.
	fleet struct {
		t              *testing.T
		origin         *memoryOrigin
		hosts          []hosts.Host
		nodes          []*Node
		stops          []context.CancelFunc
		overrideBodies map[string]func(peer string, content []byte) io.Reader
		limits         Limits
		memoryBytes    int64
		links          []net.Listener
		chunks         []net.Listener
	}
)

func (origin *memoryOrigin) Put(context.Context, string, io.Reader, int64) error { return nil }

func (origin *memoryOrigin) ReadRange(_ context.Context, name string, offset, length int64) ([]byte, error) {
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	if origin.outage.Load() {
		return nil, platform.ErrUnavailable
	}
	origin.reads.Add(1)
	return bytes.Clone(origin.content[name][offset : offset+length]), nil
}

// publish stores weights with one chunk for each seed and returns their manifest.
// Equal seeds give equal chunks.
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

// sequence returns count consecutive numbers from first on.
func sequence(first, count int) []int {
	list := make([]int, count)
	for index := range list {
		list[index] = first + index
	}
	return list
}

// newFleet returns a fleet of hosts that do not run yet.
func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	fleet := &fleet{
		t:              t,
		origin:         &memoryOrigin{content: map[string][]byte{}},
		overrideBodies: map[string]func(string, []byte) io.Reader{},
		nodes:          make([]*Node, count),
		stops:          make([]context.CancelFunc, count),
		limits:         Limits{NeighbourCount: 8, OriginBytesPerS: 1 << 20},
		memoryBytes:    1 << 20,
	}
	for index := range count {
		control, chunk := listenOnTestPort(t), listenOnTestPort(t)
		fleet.links, fleet.chunks = append(fleet.links, control), append(fleet.chunks, chunk)
		fleet.hosts = append(fleet.hosts, hosts.Host{
			Name:         fmt.Sprintf("host-%02d", index),
			Role:         hosts.RoleAgent,
			Address:      control.Addr().String(),
			ChunkAddress: chunk.Addr().String(),
		})
	}
	return fleet
}

// listenOnTestPort listens on a port below those that the kernel chooses itself. A host
// that restarts listens on its ports again, and no listener on port 0 of another test
// can have taken them meanwhile.
func listenOnTestPort(t *testing.T) net.Listener {
	t.Helper()
	for range lastTestPort - firstTestPort {
		port := firstTestPort + (os.Getpid()+int(testPorts.Add(1)))%(lastTestPort-firstTestPort)
		if listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port))); err == nil {
			return listener
		}
	}
	t.Fatal("no free test port")
	return nil
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// start runs the node of a host with an empty store, as after a restart.
func (fleet *fleet) start(index int) *Node {
	fleet.t.Helper()
	host := fleet.hosts[index]
	router := links.NewRouter()
	options := links.Options{Self: links.Identity{Name: host.Name}, Key: []byte("key"), Router: router, Logger: zap.NewNop()}
	node := New(Dependencies{
		Self:          host,
		Links:         options,
		ChunkListener: fleet.chunks[index],
		Store:         weights.NewStore(fleet.memoryBytes),
		Origin:        fleet.origin,
		Limits:        fleet.limits,
		OverrideBody:  fleet.overrideBodies[host.Name],
		Scope:         tally.NoopScope,
		Logger:        zap.NewNop(),
		Checker:       invariants.NewForTest(func(name invariants.Name) { fleet.t.Errorf("violated: %s", name) }),
		Seed:          uint64(index),
	})
	node.Register(router)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{}, 2)
	go func() { _ = links.Serve(ctx, fleet.links[index], options); stopped <- struct{}{} }()
	node.start(ctx)
	go func() { _ = node.run(ctx); stopped <- struct{}{} }()
	fleet.nodes[index] = node
	var once sync.Once
	fleet.stops[index] = func() {
		once.Do(func() {
			stop()
			<-stopped
			<-stopped
		})
	}
	fleet.t.Cleanup(fleet.stops[index])
	return node
}

// restart stops the node of a host and starts a new one with an empty store.
func (fleet *fleet) restart(index int) *Node {
	fleet.t.Helper()
	fleet.stops[index]()
	fleet.links[index] = listen(fleet.t, fleet.hosts[index].Address)
	fleet.chunks[index] = listen(fleet.t, fleet.hosts[index].ChunkAddress)
	return fleet.start(index)
}

func (fleet *fleet) startAll() {
	fleet.t.Helper()
	for index := range fleet.hosts {
		fleet.start(index)
	}
}

func (fleet *fleet) target(manifest weights.Manifest) Target {
	return Target{Deployment: "plant", Policy: configurations.PolicyLessTime, Manifest: manifest, Hosts: fleet.hosts}
}

func (fleet *fleet) setTarget(target Target, indices ...int) {
	fleet.t.Helper()
	for _, each := range indices {
		if err := fleet.nodes[each].SetTarget(target); err != nil {
			fleet.t.Fatal(err)
		}
	}
}

// waitComplete fails the test when a host does not complete the version. The
// timeout only ends a test that hangs.
func (fleet *fleet) waitComplete(manifest weights.Manifest, indices ...int) {
	fleet.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	for _, each := range indices {
		if err := fleet.nodes[each].WaitComplete(ctx, manifest.Digest()); err != nil {
			fleet.t.Fatalf("%s: %v", fleet.hosts[each].Name, err)
		}
	}
}

func (fleet *fleet) allIndices() []int {
	return sequence(0, len(fleet.hosts))
}
