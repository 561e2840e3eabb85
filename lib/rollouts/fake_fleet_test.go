package rollouts

// This file simulates a deployment in one process: its table, configuration,
// chunks and agents. All waiting is done in the synthetic time of synctest.

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
	"firford/lib/waits"
	"firford/lib/weights"
)

const (
	testDeployment = "plant"
	chunkBytes     = 16
	loadSteps      = 3
)

// fakeTable is the platform's table in memory. loseAnswers makes half of the
// transactions take effect without an answer.
type fakeTable struct {
	mutex       sync.Mutex
	revision    int64
	rows        map[string]platform.Row
	unavailable bool
	loseAnswers bool
	random      *rand.Rand
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, random: rand.New(rand.NewPCG(1, 1))}
}

func (table *fakeTable) Transact(_ context.Context, conditions []platform.Condition, writes []platform.Write) (int64, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.unavailable {
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
	if table.loseAnswers && table.random.IntN(2) == 0 {
		return 0, platform.ErrOutcomeUnknown
	}
	return table.revision, nil
}

func (table *fakeTable) Read(_ context.Context, key string) (platform.Row, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.unavailable {
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
	if table.unavailable {
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

// fleet is a deployment of several hosts that share one table and one
// configuration. It records violations of invariants.
type fleet struct {
	table *fakeTable

	mutex              sync.Mutex
	snapshot           configurations.Snapshot
	changed            chan struct{}
	contents           map[string][]byte
	chunks             map[weights.Digest][]byte
	objects            map[string][]byte
	members            []hosts.Host
	recordedViolations []string
	changedAt          time.Time
	// corrupt makes the chunk source return content that does not match the digest.
	corrupt bool
	// chunkPause is the time that the chunk source takes to return a chunk.
	chunkPause time.Duration
	// startOffset is the time between the starts of two agents, and callLatency the
	// time that a call of an agent takes. Both are zero unless a test sets them.
	startOffset   time.Duration
	callLatency   time.Duration
	startedAgents int
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
	fleet.putObject(deployment)
	for _, name := range versions {
		content := bytes.Repeat([]byte(name+"."), chunkBytes)
		manifest, err := weights.BuildManifest(name, bytes.NewReader(content), chunkBytes)
		if err != nil {
			panic(err)
		}
		for index, digest := range manifest.Chunks {
			offset, length := manifest.ChunkRange(index)
			fleet.chunks[digest] = content[offset : offset+length]
		}
		fleet.contents[name] = content
		fleet.objects[weights.ManifestObjectName(manifest.Digest())] = manifest.Encode()
		fleet.putObject(configurations.Version{Name: name, ManifestDigest: manifest.Digest().String(), Size: manifest.Size})
	}
	fleet.putObject(configurations.Routing{Deployment: testDeployment, Version: versions[0]})
	return fleet
}

// putObject changes the configuration as an operator would.
func (fleet *fleet) putObject(object configurations.Object) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.putObjectLocked(object)
}

func (fleet *fleet) putObjectLocked(object configurations.Object) {
	next, err := fleet.snapshot.With(configurations.Change{
		Revision: fleet.snapshot.Revision + 1, Kind: object.Kind(), Name: object.ObjectName(), Object: object,
	})
	if err != nil {
		panic(err)
	}
	fleet.snapshot = next
	fleet.changedAt = time.Now()
	close(fleet.changed)
	fleet.changed = make(chan struct{})
}

// setRollout sets the state of the rollout from v1 to v2.
func (fleet *fleet) setRollout(state string) {
	fleet.putObject(configurations.Rollout{Deployment: testDeployment, Version: "v2", Previous: "v1", State: state})
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

func (fleet *fleet) changeConfiguration(_ context.Context, _ string, object configurations.Object, revision int64) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.table.isUnavailable() {
		return platform.ErrUnavailable
	}
	for _, entry := range fleet.snapshot.Entries() {
		if entry.Object.Kind() == object.Kind() && entry.Object.ObjectName() == object.ObjectName() && entry.Revision != revision {
			return errors.New("conflict")
		}
	}
	fleet.putObjectLocked(object)
	return nil
}

func (table *fakeTable) update(change func(*fakeTable)) {
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

func (table *fakeTable) isUnavailable() bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.unavailable
}

// Put implements platform.ObjectStore.
func (fleet *fleet) Put(context.Context, string, []byte) error { return nil }

// Get implements platform.ObjectStore.
func (fleet *fleet) Get(_ context.Context, name string) ([]byte, error) {
	return fleet.objects[name], nil
}

// FetchChunks implements ChunkSource.
func (fleet *fleet) FetchChunks(ctx context.Context, _ weights.Manifest) error {
	waits.Sleep(ctx, time.Second+fleet.callLatency)
	fleet.update(func() { fleet.evicted = false })
	return ctx.Err()
}

// Chunk implements ChunkSource.
func (fleet *fleet) Chunk(ctx context.Context, digest weights.Digest) ([]byte, error) {
	fleet.mutex.Lock()
	pause, evicted := fleet.chunkPause, fleet.evicted
	fleet.mutex.Unlock()
	waits.Sleep(ctx, pause)
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

func (fleet *fleet) update(change func()) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	change()
}

// unchangedFor reports whether the last change of the configuration is longer ago
// than the grace period.
func (fleet *fleet) unchangedFor(now time.Time, grace time.Duration) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return now.Sub(fleet.changedAt) > grace
}

func (fleet *fleet) recordViolation(format string, arguments ...any) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.recordedViolations = append(fleet.recordedViolations, fmt.Sprintf(format, arguments...))
}

func (fleet *fleet) violations() []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.Clone(fleet.recordedViolations)
}

// agent is one agent process: a loader whose calls can be paused. resumed is
// closed when the agent is resumed, and nil while it is not paused.
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
	resumed chan struct{}
	// lastResumed is the time at which the agent was last resumed.
	lastResumed time.Time
}

// waitWhilePaused blocks a call while the agent is paused.
func (agent *agent) waitWhilePaused() {
	agent.mutex.Lock()
	resumed := agent.resumed
	agent.mutex.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (agent *agent) pause() {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	if agent.resumed == nil {
		agent.resumed = make(chan struct{})
	}
}

func (agent *agent) resume() {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	if agent.resumed != nil {
		close(agent.resumed)
		agent.resumed = nil
		agent.lastResumed = time.Now()
	}
}

// stop ends the agent as a crash would: its slot is not released.
func (agent *agent) stop() {
	agent.resume()
	agent.cancel()
	<-agent.ended
}

// admission returns the version for which the agent admits requests, and whether
// it admits any.
func (agent *agent) admission() (string, bool) {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	return agent.version, agent.serving
}

// pausableTable and pausableEngine block the calls of a paused agent: writes and
// orders before they are sent, reads before their result is returned.
type (
	pausableTable struct {
		platform.Table
		agent *agent
	}

	pausableEngine struct {
		Engine
		agent *agent
	}
)

func (pausable pausableTable) Transact(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (int64, error) {
	time.Sleep(pausable.agent.fleet.callLatency)
	pausable.agent.waitWhilePaused()
	return pausable.Table.Transact(ctx, conditions, writes)
}

func (pausable pausableTable) Read(ctx context.Context, key string) (platform.Row, error) {
	row, err := pausable.Table.Read(ctx, key)
	time.Sleep(pausable.agent.fleet.callLatency)
	pausable.agent.waitWhilePaused()
	return row, err
}

func (pausable pausableEngine) CommitOrder(ctx context.Context, orderID string, token int64) error {
	time.Sleep(pausable.agent.fleet.callLatency)
	pausable.agent.waitWhilePaused()
	if version, serving := pausable.agent.admission(); serving {
		pausable.agent.fleet.recordViolation("%s admits %q while it commits %s", pausable.agent.host, version, orderID)
	}
	return pausable.Engine.CommitOrder(ctx, orderID, token)
}

func (pausable pausableEngine) SendOrder(ctx context.Context, order Order) error {
	time.Sleep(pausable.agent.fleet.callLatency)
	pausable.agent.waitWhilePaused()
	return pausable.Engine.SendOrder(ctx, order)
}

func (pausable pausableEngine) Status(ctx context.Context) (Status, error) {
	status, err := pausable.Engine.Status(ctx)
	time.Sleep(pausable.agent.fleet.callLatency)
	pausable.agent.waitWhilePaused()
	return status, err
}

// startAgent starts an agent of the host in the current synctest bubble.
func (fleet *fleet) startAgent(host string, engine *fakeEngine) *agent {
	started := &agent{fleet: fleet, host: host, engine: engine, ended: make(chan error, 1)}
	settings := DefaultSettings()
	started.loader = NewLoader(Dependencies{
		Self:   hosts.Host{Name: host, Role: hosts.RoleAgent, Deployment: testDeployment},
		Engine: pausableEngine{Engine: engine, agent: started},
		Table:  pausableTable{Table: fleet.table, agent: started}, Objects: fleet, Configuration: fleet, Chunks: fleet, ChangeConfiguration: fleet.changeConfiguration,
		Hosts:           func() []hosts.Host { return fleet.members },
		OnServingChange: started.setServing,
		Checker: invariants.NewForTest(func(name invariants.Name) {
			fleet.recordViolation("%s: invariant %s", host, name)
		}),
		Scope: tally.NoopScope, Logger: zap.NewNop(), Settings: settings,
	})
	var ctx context.Context
	ctx, started.cancel = context.WithCancel(context.Background())
	fleet.startedAgents++
	offset := time.Duration(fleet.startedAgents) * fleet.startOffset
	go func() {
		time.Sleep(offset)
		started.ended <- started.loader.Run(ctx)
	}()
	return started
}

func (agent *agent) setServing(version string, serving bool) {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	agent.version, agent.serving = version, serving
}

// checkAdmission records a violation if the agent admits requests for a version
// that the engine does not serve or that is not intended. The grace period is long
// enough for an agent that reads the engine's status each second to see a change.
func (agent *agent) checkAdmission(now time.Time) {
	const grace = 6 * time.Second
	agent.mutex.Lock()
	version, serving := agent.version, agent.serving
	settled := agent.resumed == nil && now.Sub(agent.lastResumed) > grace
	agent.mutex.Unlock()
	agent.engine.mutex.Lock()
	served, content := agent.engine.status.Version, agent.engine.content
	settled = settled && now.Sub(agent.engine.changedAt) > grace && !agent.engine.down
	agent.engine.mutex.Unlock()
	if !serving || !settled {
		return
	}
	if served != version || !bytes.Equal(content, agent.fleet.contents[version]) {
		agent.fleet.recordViolation("%s admits %q while the engine serves %q with %d bytes", agent.host, version, served, len(content))
	}
	if agent.fleet.unchangedFor(now, grace) && !NewPlan(agent.fleet.Current(), testDeployment).Admits(Status{Version: version}) {
		agent.fleet.recordViolation("%s admits %q, which is not intended", agent.host, version)
	}
}

// advance lets synthetic time pass and checks the agents twice a second.
func advance(span time.Duration, agents ...*agent) {
	const checkInterval = 500 * time.Millisecond
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(min(checkInterval, time.Until(end)))
		synctest.Wait()
		for _, agent := range agents {
			agent.checkAdmission(time.Now())
		}
	}
}
