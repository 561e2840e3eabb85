package configurations

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
	"firford/lib/platform"
)

const (
	simulatedNodes = 10
	// inForceBound is the promise: accepted means in force everywhere within it.
	inForceBound = 6 * time.Second
)

type (
	// step is one round of a simulation: the faults that hold during it and the
	// changes that operators make.
	step struct {
		outage   bool
		loss     int
		slow     time.Duration
		cuts     [][2]string
		paused   []int
		restarts []int
		actor    int
		rival    int
		race     bool
		pauseMid bool
		object   int
		remove   bool
	}

	simulation struct {
		table    *fakeTable
		network  *fakeNetwork
		cancels  map[string]context.CancelFunc
		seed     uint64
		mutex    sync.Mutex
		problems []string
		requests int
		accepted map[string]int64
		all      []hosts.Host
		near     map[string][]hosts.Host
		// chain connects each node to the ones before and after it only.
		chain bool
	}

	outcome struct {
		id     string
		change Change
		err    error
		at     time.Time
	}
)

func drawStep(t *rapid.T) step {
	node := rapid.IntRange(0, simulatedNodes-1)
	drawn := step{
		outage:   rapid.IntRange(0, 4).Draw(t, "outage") == 0,
		loss:     rapid.IntRange(lossNone, lossLate).Draw(t, "loss"),
		slow:     time.Duration(rapid.SampledFrom([]int{0, 0, 100, 900}).Draw(t, "slow")) * time.Millisecond,
		paused:   rapid.SliceOfN(node, 0, 2).Draw(t, "paused"),
		restarts: rapid.SliceOfN(node, 0, 2).Draw(t, "restarts"),
		actor:    node.Draw(t, "actor"),
		rival:    node.Draw(t, "rival"),
		race:     rapid.Bool().Draw(t, "race"),
		pauseMid: rapid.IntRange(0, 3).Draw(t, "pause_mid") == 0,
		object:   rapid.IntRange(0, 2).Draw(t, "object"),
		remove:   rapid.IntRange(0, 3).Draw(t, "remove") == 0,
	}
	for range rapid.IntRange(0, 12).Draw(t, "cuts") {
		drawn.cuts = append(drawn.cuts, pair(hostName(node.Draw(t, "a")), hostName(node.Draw(t, "b"))))
	}
	return drawn
}

func newSimulation(seed uint64) *simulation {
	return newSimulationOf(seed, simulatedNodes, false)
}

func newSimulationOf(seed uint64, nodes int, chain bool) *simulation {
	world := &simulation{
		table: newFakeTable(seed), network: newFakeNetwork(), seed: seed, chain: chain,
		cancels: map[string]context.CancelFunc{}, accepted: map[string]int64{}, near: map[string][]hosts.Host{},
	}
	for i := range nodes {
		world.all = append(world.all, hosts.Host{Name: hostName(i), Address: hostName(i)})
	}
	for i := range nodes {
		world.start(i)
	}
	return world
}

func (world *simulation) problem(format string, values ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.problems = append(world.problems, fmt.Sprintf(format, values...))
}

// start runs a node without any configuration, in place of one that runs.
func (world *simulation) start(index int) {
	name := hostName(index)
	if cancel := world.cancels[name]; cancel != nil {
		cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := NewNode(Dependencies{
		Self: name, Hosts: func() []hosts.Host { return world.all }, Logger: zap.NewNop(), Scope: tally.NoopScope,
		Table: tableOf{world.table, func(ctx context.Context) { world.network.wait(ctx, name) }},
		Checker: invariants.NewForTest(func(invariant invariants.Name) {
			world.problem("%s violated on %s", invariant, name)
		}),
	})
	random := rand.New(rand.NewPCG(world.seed, uint64(index)))
	node.random = random.Float64
	node.connect = func(ctx context.Context, _ links.Options, onOpen func(Peer)) peerSet {
		peers := &fakePeers{network: world.network, self: name, onOpen: onOpen}
		if world.chain {
			peers.fixed = []string{hostName(index - 1), hostName(index + 1)}
		}
		go peers.beat(ctx, node)
		return peers
	}
	world.cancels[name] = cancel
	world.network.mutex.Lock()
	world.network.nodes[name] = node
	world.network.mutex.Unlock()
	go node.Run(ctx)
}

// stop ends all nodes and lets their last calls run into their deadlines,
// because fake time stands still after the test.
func (world *simulation) stop() {
	for i := range world.all {
		world.network.resume(hostName(i))
		world.cancels[hostName(i)]()
	}
	time.Sleep(time.Minute)
}

// inject puts the faults of the step in place of the earlier ones.
func (world *simulation) inject(drawn step) {
	world.table.set(drawn.outage, drawn.loss, drawn.slow)
	for _, index := range drawn.restarts {
		world.network.resume(hostName(index))
		world.start(index)
	}
	for i := range world.all {
		world.network.resume(hostName(i))
	}
	for _, index := range drawn.paused {
		world.network.pause(hostName(index))
	}
	world.network.mutex.Lock()
	world.network.cuts = map[[2]string]bool{}
	for _, cut := range drawn.cuts {
		world.network.cuts[cut] = true
	}
	world.network.mutex.Unlock()
}

// request is what an operator asks for after reading the object at the node.
func (world *simulation) request(index int, drawn step) Request {
	world.mutex.Lock()
	world.requests++
	id := fmt.Sprintf("request-%d", world.requests)
	world.mutex.Unlock()
	name := fmt.Sprintf("organisation-%d", drawn.object)
	revision := world.network.node(hostName(index)).Current().lastChange(KindOrganisation, name)
	request := Request{ID: id, Operator: "amina", Kind: KindOrganisation, Name: name, ExpectedRevision: revision}
	if !drawn.remove || revision == 0 {
		request.Object = Organisation{Name: name, Weight: float64(len(id)), TokenHash: fmt.Sprintf("%064x", drawn.object)}
	}
	return request
}

func (world *simulation) change(index int, request Request) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	change, err := world.network.node(hostName(index)).Change(ctx, request)
	if err == nil {
		world.mutex.Lock()
		world.accepted[request.ID] = change.Revision
		world.mutex.Unlock()
	}
	return outcome{id: request.ID, change: change, err: err, at: time.Now()}
}

// run plays one step and then holds its faults for the time in which accepted
// changes must come into force.
func (world *simulation) run(drawn step) {
	world.inject(drawn)
	if world.network.isPaused(hostName(drawn.actor)) || world.network.isPaused(hostName(drawn.rival)) {
		time.Sleep(inForceBound)
		return
	}
	results := make(chan outcome, 2)
	first, second := world.request(drawn.actor, drawn), world.request(drawn.rival, drawn)
	go func() { results <- world.change(drawn.actor, first) }()
	if drawn.pauseMid {
		time.Sleep(2 * latency)
		world.network.pause(hostName(drawn.actor))
	}
	if drawn.race && drawn.rival != drawn.actor {
		go func() { results <- world.change(drawn.rival, second) }()
		if drawn.pauseMid {
			time.Sleep(inForceBound)
			world.network.resume(hostName(drawn.actor))
		}
		world.checkRace(first, second, <-results, <-results)
		return
	}
	world.network.resume(hostName(drawn.actor))
	world.checkInForce(drawn, <-results)
}

// checkRace expects of two conflicting changes that at most one wins and that
// one that is told of a conflict learns the revision of the winner.
func (world *simulation) checkRace(first, second Request, a, b outcome) {
	if first.ExpectedRevision != second.ExpectedRevision {
		return
	}
	if a.err == nil && b.err == nil {
		world.problem("both of two conflicting changes were accepted: %d and %d", a.change.Revision, b.change.Revision)
	}
	for _, each := range [][2]outcome{{a, b}, {b, a}} {
		var conflict *ConflictError
		if each[0].err == nil && errors.As(each[1].err, &conflict) && conflict.CurrentRevision != each[0].change.Revision && each[0].change.Object != nil {
			world.problem("the loser learned revision %d, the winner has %d", conflict.CurrentRevision, each[0].change.Revision)
		}
	}
}

// checkInForce expects an accepted change on every node that the actor reaches
// over nodes that run.
func (world *simulation) checkInForce(drawn step, result outcome) {
	if result.err != nil {
		time.Sleep(inForceBound)
		return
	}
	time.Sleep(inForceBound)
	for name := range world.reachable(hostName(drawn.actor)) {
		if revision := world.network.node(name).Current().Revision; revision < result.change.Revision {
			world.problem("%s has revision %d, %d was accepted %v ago", name, revision, result.change.Revision, time.Since(result.at))
		}
	}
}

// neighbours computes each node's neighbours once.
func (world *simulation) neighbours(name string) []hosts.Host {
	if _, known := world.near[name]; !known {
		world.near[name] = hosts.Neighbours(name, world.all, neighbourCount)
	}
	return world.near[name]
}

func (world *simulation) reachable(from string) map[string]bool {
	reached := map[string]bool{from: true}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		for _, near := range world.neighbours(queue[0]) {
			if !reached[near.Name] && world.network.connected(queue[0], near.Name) && !world.network.isPaused(near.Name) {
				reached[near.Name] = true
				queue = append(queue, near.Name)
			}
		}
	}
	return reached
}

// checkEnd expects every node to hold exactly what the log says, and the log to
// hold each accepted request at its revision and no request twice.
func (world *simulation) checkEnd() {
	log := Snapshot{}
	seen := map[string]int64{}
	var last revisionRecord
	_ = json.Unmarshal(world.table.rows[revisionKey].Value, &last)
	for revision := int64(1); revision <= last.Revision; revision++ {
		var change Change
		if err := json.Unmarshal(world.table.rows[logRow(revision)].Value, &change); err != nil {
			world.problem("log row %d: %v", revision, err)
			return
		}
		if earlier := seen[change.RequestID]; earlier != 0 {
			world.problem("%s was made twice, in revisions %d and %d", change.RequestID, earlier, revision)
		}
		seen[change.RequestID] = revision
		log, _ = log.With(change)
	}
	for id, revision := range world.accepted {
		if seen[id] != revision {
			world.problem("%s was accepted as revision %d, the log has it as %d", id, revision, seen[id])
		}
	}
	for i := range world.all {
		snapshot := world.network.node(hostName(i)).Current()
		if string(mustEncode(snapshot.Entries())) != string(mustEncode(log.Entries())) || snapshot.Revision != log.Revision {
			world.problem("%s has revision %d with other objects than the log at revision %d", hostName(i), snapshot.Revision, log.Revision)
		}
	}
}

// Guards against a configuration that goes back, that is in force only in
// places, or that loses an accepted change, under faults of store, network and
// processes together.
func TestConfigurationUnderFaults(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		seed := rapid.Uint64().Draw(drawn, "seed")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 8).Draw(drawn, "steps")
		var problems []string
		synctest.Test(t, func(*testing.T) {
			world := newSimulation(seed)
			for _, each := range steps {
				world.run(each)
			}
			world.inject(step{})
			time.Sleep(2 * inForceBound)
			world.table.mutex.Lock()
			world.checkEnd()
			world.table.mutex.Unlock()
			world.stop()
			problems = world.problems
		})
		if len(problems) > 0 {
			drawn.Fatalf("%v", problems)
		}
	})
}

// revisions returns the revision in force on each node.
func (world *simulation) revisions() []int64 {
	var all []int64
	for i := range world.all {
		all = append(all, world.network.node(hostName(i)).Current().Revision)
	}
	return all
}

func (world *simulation) cutOff(index int) {
	world.network.mutex.Lock()
	defer world.network.mutex.Unlock()
	for i := range world.all {
		world.network.cuts[pair(hostName(i), hostName(index))] = true
	}
}

// Each case leaves one way alone by which a change can reach other nodes, and
// guards against its loss: the other ways hide it in the test of all faults.
func TestWaysOfPropagation(t *testing.T) {
	for _, example := range []struct {
		name  string
		chain bool
		play  func(world *simulation)
	}{
		// Hearing of a revision by heartbeats takes up to a second for each hop.
		{"offers cross many hops while the store is out", true, func(world *simulation) {
			world.change(0, world.request(0, step{}))
			world.table.set(true, lossNone, 0)
			time.Sleep(inForceBound)
		}},
		{"polling finds what an entry that stopped has told nobody", false, func(world *simulation) {
			world.cutOff(0)
			world.change(0, world.request(0, step{}))
			world.start(0)
			time.Sleep(inForceBound)
		}},
		{"heartbeats tell what an offer on a cut link could not", false, func(world *simulation) {
			world.cutOff(0)
			world.change(0, world.request(0, step{}))
			world.table.set(true, lossNone, 0)
			time.Sleep(500 * time.Millisecond)
			world.inject(step{outage: true})
			time.Sleep(inForceBound)
		}},
		{"a process that starts during an outage asks its peers at once", false, func(world *simulation) {
			world.change(0, world.request(0, step{}))
			time.Sleep(inForceBound)
			world.inject(step{outage: true, restarts: []int{3}})
			time.Sleep(500 * time.Millisecond)
		}},
	} {
		t.Run(example.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newSimulationOf(1, simulatedNodes, example.chain)
				time.Sleep(100 * time.Millisecond)
				example.play(world)
				if all := world.revisions(); slices.Min(all) != 1 {
					t.Errorf("revisions %v, want 1 everywhere", all)
				}
				world.stop()
			})
		})
	}
}

// Guards against a lost answer that makes a change twice or reports it wrongly,
// and against a repeated call with other content.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newSimulation(1)
		request := world.request(0, step{object: 1})
		world.table.set(false, lossAfter, 0)
		first := world.change(0, request)
		world.table.set(false, lossNone, 0)
		time.Sleep(inForceBound)
		again := world.change(4, request)
		if first.err != nil || again.err != nil || first.change.Revision != 1 || again.change.Revision != 1 {
			t.Errorf("first %v, again %v, want revision 1 twice", first, again)
		}
		request.Object = Organisation{Name: request.Name, Weight: 99, TokenHash: fmt.Sprintf("%064x", 1)}
		var reused *ReusedIDError
		if other := world.change(4, request); !errors.As(other.err, &reused) {
			t.Errorf("other content with the same request id: %v", other.err)
		}
		world.table.set(true, lossNone, 0)
		if refused := world.change(4, world.request(4, step{object: 2})); !errors.Is(refused.err, platform.ErrUnavailable) {
			t.Errorf("change during an outage: %v", refused.err)
		}
		world.stop()
	})
}

// Guards against a log that grows without end.
func TestLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newSimulation(1)
		world.network.node(hostName(0)).store.kept = 3
		for range 8 {
			if made := world.change(0, world.request(0, step{})); made.err != nil {
				t.Errorf("change: %v", made.err)
			}
		}
		time.Sleep(inForceBound)
		world.table.mutex.Lock()
		// The revision, one organisation, and log and request of three changes.
		if rows := len(world.table.rows); rows != 2+3*2 {
			t.Errorf("%d rows", rows)
		}
		world.table.mutex.Unlock()
		if all := world.revisions(); slices.Min(all) != 8 {
			t.Errorf("revisions %v, want 8 everywhere", all)
		}
		world.stop()
	})
}

// Guards against a way of propagation that is fast enough only in a small fleet
// or that takes more reads of the store than its share. Prints the figures.
func TestFullSize(t *testing.T) {
	if testing.Short() {
		t.Skip("1,290 nodes take some seconds")
	}
	synctest.Test(t, func(t *testing.T) {
		world := newSimulationOf(1, 1290, false)
		time.Sleep(20 * time.Second)
		before, start := world.reads(), time.Now()
		for round := range 2 {
			result := world.change(round, world.request(round, step{}))
			for slices.Min(world.revisions()) < result.change.Revision && time.Since(result.at) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			if span := time.Since(result.at); span > inForceBound {
				t.Errorf("revision %d is in force everywhere after %v", result.change.Revision, span)
			} else {
				t.Logf("revision %d is in force everywhere after %v", result.change.Revision, span)
			}
			time.Sleep(inForceBound)
		}
		rate := float64(world.reads()-before) / time.Since(start).Seconds()
		t.Logf("%.0f reads/s of the store", rate)
		if rate > 1.2*sharedPollRate {
			t.Errorf("%.0f reads/s of the store, the share is %d", rate, sharedPollRate)
		}
		world.stop()
	})
}

// Guards against a bound that holds at full size only without faults: one node
// in twenty is paused, one link in ten is cut, the store is slow and goes out as
// soon as the change is accepted.
func TestFullSizeUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("1,290 nodes take some seconds")
	}
	synctest.Test(t, func(t *testing.T) {
		world := newSimulationOf(1, nodesUnderFaults, false)
		time.Sleep(2 * time.Second)
		faults := step{slow: 900 * time.Millisecond}
		random := rand.New(rand.NewPCG(1, 1))
		for i := range world.all {
			if i > 0 && random.IntN(20) == 0 {
				faults.paused = append(faults.paused, i)
			}
			for _, near := range world.neighbours(hostName(i)) {
				if hostName(i) < near.Name && random.IntN(10) == 0 {
					faults.cuts = append(faults.cuts, pair(hostName(i), near.Name))
				}
			}
		}
		world.inject(faults)
		result := world.change(0, world.request(0, step{}))
		world.table.set(true, lossNone, 0)
		reached := world.reachable(hostName(0))
		late := func() (count int) {
			for name := range reached {
				if world.network.node(name).Current().Revision < result.change.Revision {
					count++
				}
			}
			return count
		}
		for late() > 0 && time.Since(result.at) < inForceBound {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("%d nodes paused, %d links cut, %d nodes reachable: in force on all but %d after %v",
			len(faults.paused), len(faults.cuts), len(reached), late(), time.Since(result.at))
		if result.err != nil || late() > 0 {
			t.Errorf("error %v, not in force on %d reachable nodes", result.err, late())
		}
		world.stop()
	})
}

func (world *simulation) reads() int {
	world.table.mutex.Lock()
	defer world.table.mutex.Unlock()
	return world.table.reads
}
