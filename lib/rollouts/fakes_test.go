package rollouts

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/platform"
	"firford/lib/weights"
)

const (
	testDeployment = "plant"
	chunkBytes     = 16
	loadSteps      = 3
)

// fakeTable is the table service in memory, so that time can be synthetic.
type fakeTable struct {
	mutex    sync.Mutex
	revision int64
	rows     map[string]platform.Row
	out      bool
	lose     bool
	random   *rand.Rand
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, random: rand.New(rand.NewPCG(1, 1))}
}

func (table *fakeTable) Transact(_ context.Context, conditions []platform.Condition, writes []platform.Write) (int64, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.out {
		return 0, platform.ErrUnavailable
	}
	var conflict platform.ConflictError
	for _, condition := range conditions {
		if row := table.rows[condition.Key]; row.Revision != condition.Revision {
			row.Key = condition.Key
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, &conflict
	}
	table.revision++
	for _, write := range writes {
		table.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: table.revision}
	}
	if table.lose && table.random.IntN(2) == 0 {
		return 0, platform.ErrOutcomeUnknown
	}
	return table.revision, nil
}

func (table *fakeTable) Read(_ context.Context, key string) (platform.Row, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.out {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, known := table.rows[key]
	if !known {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (table *fakeTable) Scan(_ context.Context, prefix string, after int64) ([]platform.Row, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.out {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for key, row := range table.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return int(a.Revision - b.Revision) })
	return rows, nil
}

// fleet is a deployment of several hosts with one table and configuration.
type fleet struct {
	table *fakeTable

	mutex    sync.Mutex
	snapshot configurations.Snapshot
	changed  chan struct{}
	contents map[string][]byte
	chunks   map[weights.Digest][]byte
	objects  map[string][]byte
	members  []hosts.Host
	violated []string
	putAt    time.Time
	// corrupt makes the chunk source return other content than the digest names.
	corrupt bool
	// chunkPause is how long the chunk source takes for each chunk.
	chunkPause time.Duration
	// evicted makes chunks unavailable until the version is fetched again.
	evicted bool
}

func newFleet(count int, deployment configurations.Deployment, versions ...string) *fleet {
	fleet := &fleet{
		table: newFakeTable(), changed: make(chan struct{}),
		contents: map[string][]byte{}, chunks: map[weights.Digest][]byte{}, objects: map[string][]byte{},
	}
	for index := range count {
		fleet.members = append(fleet.members, hosts.Host{Name: fmt.Sprintf("h%d", index), Role: hosts.RoleAgent, Deployment: testDeployment})
	}
	deployment.Name, deployment.Type = testDeployment, configurations.DeploymentEngine
	fleet.put(deployment)
	for _, name := range versions {
		content := bytes.Repeat([]byte(name+"."), chunkBytes)
		manifest, err := weights.Seal(name, bytes.NewReader(content), chunkBytes)
		if err != nil {
			panic(err)
		}
		for index, digest := range manifest.Chunks {
			offset, length := manifest.Span(index)
			fleet.chunks[digest] = content[offset : offset+length]
		}
		fleet.contents[name] = content
		fleet.objects[weights.ObjectName(manifest.Digest())] = manifest.Encode()
		fleet.put(configurations.Version{Name: name, ManifestDigest: manifest.Digest().String(), Size: manifest.Size})
	}
	fleet.put(configurations.Routing{Deployment: testDeployment, Version: versions[0]})
	return fleet
}

// put changes the configuration as an operator does.
func (fleet *fleet) put(object configurations.Object) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.putLocked(object)
}

func (fleet *fleet) putLocked(object configurations.Object) {
	next, err := fleet.snapshot.With(configurations.Change{
		Revision: fleet.snapshot.Revision + 1, Kind: object.Kind(), Name: object.ObjectName(), Object: object,
	})
	if err != nil {
		panic(err)
	}
	fleet.snapshot = next
	fleet.putAt = time.Now()
	close(fleet.changed)
	fleet.changed = make(chan struct{})
}

func (fleet *fleet) rollout(state string) {
	fleet.put(configurations.Rollout{Deployment: testDeployment, Version: "v2", Previous: "v1", State: state})
}

func (fleet *fleet) rolloutState() string {
	rollout, _, _ := configurations.Lookup[configurations.Rollout](fleet.Current(), testDeployment)
	return rollout.State
}

func (fleet *fleet) routingVersion() string {
	routing, _, _ := configurations.Lookup[configurations.Routing](fleet.Current(), testDeployment)
	return routing.Version
}

func (fleet *fleet) digestOf(version string) string {
	configured, _, _ := configurations.Lookup[configurations.Version](fleet.Current(), version)
	return configured.ManifestDigest
}

// Current implements configurations.Source.
func (fleet *fleet) Current() configurations.Snapshot {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.snapshot
}

// Wait implements configurations.Source.
func (fleet *fleet) Wait(ctx context.Context, after int64) (configurations.Snapshot, error) {
	for {
		fleet.mutex.Lock()
		snapshot, changed := fleet.snapshot, fleet.changed
		fleet.mutex.Unlock()
		if snapshot.Revision > after {
			return snapshot, nil
		}
		select {
		case <-ctx.Done():
			return snapshot, ctx.Err()
		case <-changed:
		}
	}
}

func (fleet *fleet) change(_ context.Context, _ string, object configurations.Object, revision int64) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.table.isOut() {
		return platform.ErrUnavailable
	}
	for _, entry := range fleet.snapshot.Entries() {
		if entry.Object.Kind() == object.Kind() && entry.Object.ObjectName() == object.ObjectName() && entry.Revision != revision {
			return errors.New("conflict")
		}
	}
	fleet.putLocked(object)
	return nil
}

func (table *fakeTable) set(change func(*fakeTable)) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	change(table)
}

// writes returns the number of transactions that took effect.
func (table *fakeTable) writes() int64 {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.revision
}

func (table *fakeTable) isOut() bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.out
}

// Put implements platform.ObjectStore.
func (fleet *fleet) Put(context.Context, string, []byte) error { return nil }

// Get implements platform.ObjectStore.
func (fleet *fleet) Get(_ context.Context, name string) ([]byte, error) {
	return fleet.objects[name], nil
}

// FetchChunks implements ChunkSource.
func (fleet *fleet) FetchChunks(ctx context.Context, _ weights.Manifest) error {
	sleep(ctx, time.Second)
	fleet.set(func() { fleet.evicted = false })
	return ctx.Err()
}

// Chunk implements ChunkSource.
func (fleet *fleet) Chunk(ctx context.Context, digest weights.Digest) ([]byte, error) {
	fleet.mutex.Lock()
	pause, evicted := fleet.chunkPause, fleet.evicted
	fleet.mutex.Unlock()
	sleep(ctx, pause)
	if evicted {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.corrupt {
		return []byte("other content"), nil
	}
	return fleet.chunks[digest], nil
}

func (fleet *fleet) set(change func()) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	change()
}

// settled reports that the configuration has not changed within the grace period.
func (fleet *fleet) settled(now time.Time, grace time.Duration) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return now.Sub(fleet.putAt) > grace
}

func (fleet *fleet) violate(format string, arguments ...any) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.violated = append(fleet.violated, fmt.Sprintf(format, arguments...))
}

func (fleet *fleet) violations() []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.Clone(fleet.violated)
}

// agent is one agent process: a loader whose calls a gate can pause.
type agent struct {
	fleet  *fleet
	host   string
	engine *fakeEngine
	loader *Loader
	cancel context.CancelFunc
	ended  chan error

	mutex   sync.Mutex
	version string
	serving bool
	gate    chan struct{}
	// disturbedAt is when the agent was last paused or resumed.
	disturbedAt time.Time
}

// pass blocks a call while the agent is paused.
func (agent *agent) pass() {
	agent.mutex.Lock()
	gate := agent.gate
	agent.mutex.Unlock()
	if gate != nil {
		<-gate
	}
}

func (agent *agent) pause() {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	if agent.gate == nil {
		agent.gate = make(chan struct{})
	}
}

func (agent *agent) resume() {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	if agent.gate != nil {
		close(agent.gate)
		agent.gate = nil
		agent.disturbedAt = time.Now()
	}
}

// stop ends the agent as a crash does: it releases nothing.
func (agent *agent) stop() {
	agent.resume()
	agent.cancel()
	<-agent.ended
}

func (agent *agent) admits() (string, bool) {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	return agent.version, agent.serving
}

// gatedTable and gatedEngine stop a paused agent's calls before they are sent,
// as a stopped process would.
type (
	gatedTable struct {
		platform.Table
		agent *agent
	}

	gatedEngine struct {
		Engine
		agent *agent
	}
)

func (gated gatedTable) Transact(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (int64, error) {
	gated.agent.pass()
	return gated.Table.Transact(ctx, conditions, writes)
}

func (gated gatedTable) Read(ctx context.Context, key string) (platform.Row, error) {
	row, err := gated.Table.Read(ctx, key)
	gated.agent.pass()
	return row, err
}

func (gated gatedEngine) Commit(ctx context.Context, orderID string, token int64) error {
	gated.agent.pass()
	if version, serving := gated.agent.admits(); serving {
		gated.agent.fleet.violate("%s admits %q while it commits %s", gated.agent.host, version, orderID)
	}
	return gated.Engine.Commit(ctx, orderID, token)
}

func (gated gatedEngine) Order(ctx context.Context, order Order) error {
	gated.agent.pass()
	return gated.Engine.Order(ctx, order)
}

func (gated gatedEngine) Status(ctx context.Context) (Status, error) {
	status, err := gated.Engine.Status(ctx)
	gated.agent.pass()
	return status, err
}

// start runs an agent of the host within the present synctest bubble.
func (fleet *fleet) start(host string, engine *fakeEngine) *agent {
	started := &agent{fleet: fleet, host: host, engine: engine, ended: make(chan error, 1)}
	settings := DefaultSettings()
	started.loader = NewLoader(Dependencies{
		Self:   hosts.Host{Name: host, Role: hosts.RoleAgent, Deployment: testDeployment},
		Engine: gatedEngine{Engine: engine, agent: started},
		Table:  gatedTable{Table: fleet.table, agent: started}, Objects: fleet, Configuration: fleet, Chunks: fleet, ChangeConfiguration: fleet.change,
		Hosts:           func() []hosts.Host { return fleet.members },
		OnServingChange: started.onServing,
		Invariants: invariants.NewForTest(func(name invariants.Name) {
			fleet.violate("%s: invariant %s", host, name)
		}),
		Scope: tally.NoopScope, Logger: zap.NewNop(), Settings: settings,
	})
	var ctx context.Context
	ctx, started.cancel = context.WithCancel(context.Background())
	go func() { started.ended <- started.loader.Run(ctx) }()
	return started
}

func (agent *agent) onServing(version string, serving bool) {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	agent.version, agent.serving = version, serving
}

// probe checks what the agent admits against what the engine serves. An agent
// that reads back each second sees a change within the grace period.
func (agent *agent) probe(now time.Time) {
	const grace = 6 * time.Second
	agent.mutex.Lock()
	version, serving := agent.version, agent.serving
	settled := agent.gate == nil && now.Sub(agent.disturbedAt) > grace
	agent.mutex.Unlock()
	agent.engine.mutex.Lock()
	served, content := agent.engine.status.Version, agent.engine.content
	settled = settled && now.Sub(agent.engine.changedAt) > grace && !agent.engine.down
	agent.engine.mutex.Unlock()
	if !serving || !settled {
		return
	}
	if served != version || !bytes.Equal(content, agent.fleet.contents[version]) {
		agent.fleet.violate("%s admits %q while the engine serves %q with %d bytes", agent.host, version, served, len(content))
	}
	if agent.fleet.settled(now, grace) && !NewPlan(agent.fleet.Current(), testDeployment).Admits(Status{Version: version}) {
		agent.fleet.violate("%s admits %q, which is not intended", agent.host, version)
	}
}

// settle lets synthetic time pass and probes the agents twice a second.
func settle(span time.Duration, agents ...*agent) {
	const probeInterval = 500 * time.Millisecond
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(min(probeInterval, time.Until(end)))
		synctest.Wait()
		for _, each := range agents {
			each.probe(time.Now())
		}
	}
}
