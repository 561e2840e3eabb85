package configurations

// This file tests the propagation of changes in a simulated fleet. Randomly drawn
// and fixed scenarios run against fakes of the table and the network.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
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
	// propagationBound is the guaranteed time within which an accepted change is in
	// force on every reachable node.
	propagationBound = 6 * time.Second
)

type (
	// step is one round of a simulation: the faults that are in force during it and
	// the changes that operators request. The change is submitted at one node and,
	// if concurrent is set, a conflicting one at the rival node. Nodes and objects
	// are given by their index.
	step struct {
		outage            bool
		writeFault        int
		maxDelay          time.Duration
		cuts              [][2]string
		paused            []int
		restarts          []int
		submitter         int
		rival             int
		concurrent        bool
		pauseDuringChange bool
		object            int
		remove            bool
	}

	// simulation is a fleet of nodes that share a table and a network. violations
	// collects the failed checks.
	simulation struct {
		table        *fakeTable
		network      *fakeNetwork
		cancels      map[string]context.CancelFunc
		seed         uint64
		mutex        sync.Mutex
		violations   []string
		requests     int
		accepted     map[string]int64
		fleet        []hosts.Host
		neighboursOf map[string][]hosts.Host
		// chain connects each node only to the nodes before and after it.
		chain bool
	}

	// outcome is the result of a request and the time at which it was returned.
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
		outage:            rapid.IntRange(0, 4).Draw(t, "outage") == 0,
		writeFault:        rapid.IntRange(noWriteFault, requestDelayed).Draw(t, "loss"),
		maxDelay:          time.Duration(rapid.SampledFrom([]int{0, 0, 100, 900}).Draw(t, "slow")) * time.Millisecond,
		paused:            rapid.SliceOfN(node, 0, 2).Draw(t, "paused"),
		restarts:          rapid.SliceOfN(node, 0, 2).Draw(t, "restarts"),
		submitter:         node.Draw(t, "actor"),
		rival:             node.Draw(t, "rival"),
		concurrent:        rapid.Bool().Draw(t, "race"),
		pauseDuringChange: rapid.IntRange(0, 3).Draw(t, "pause_mid") == 0,
		object:            rapid.IntRange(0, 2).Draw(t, "object"),
		remove:            rapid.IntRange(0, 3).Draw(t, "remove") == 0,
	}
	for range rapid.IntRange(0, 12).Draw(t, "cuts") {
		drawn.cuts = append(drawn.cuts, linkKey(hostName(node.Draw(t, "a")), hostName(node.Draw(t, "b"))))
	}
	return drawn
}

func newSimulation(seed uint64) *simulation {
	return newSimulationWith(seed, simulatedNodes, false)
}

func newSimulationWith(seed uint64, nodes int, chain bool) *simulation {
	simulation := &simulation{
		table: newFakeTable(seed), network: newFakeNetwork(), seed: seed, chain: chain,
		cancels: map[string]context.CancelFunc{}, accepted: map[string]int64{}, neighboursOf: map[string][]hosts.Host{},
	}
	for i := range nodes {
		simulation.fleet = append(simulation.fleet, hosts.Host{Name: hostName(i), Address: hostName(i)})
	}
	for i := range nodes {
		simulation.startNode(i)
	}
	return simulation
}

func (simulation *simulation) recordViolation(format string, values ...any) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	simulation.violations = append(simulation.violations, fmt.Sprintf(format, values...))
}

// startNode starts a node whose configuration is empty. It replaces the node of
// this index that is running, if any.
func (simulation *simulation) startNode(index int) {
	name := hostName(index)
	if cancel := simulation.cancels[name]; cancel != nil {
		cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := NewNode(Dependencies{
		Self: name, Hosts: func() []hosts.Host { return simulation.fleet }, Logger: zap.NewNop(), Scope: tally.NoopScope,
		Table: nodeTable{simulation.table, func(ctx context.Context) { simulation.network.waitWhilePaused(ctx, name) }},
		Checker: invariants.NewForTest(func(invariant invariants.Name) {
			simulation.recordViolation("%s violated on %s", invariant, name)
		}),
	})
	random := rand.New(rand.NewPCG(simulation.seed, uint64(index)))
	node.random = random.Float64
	node.connect = func(ctx context.Context, _ links.Options, onOpen func(Peer)) peerSet {
		peers := &fakePeers{network: simulation.network, self: name, onOpen: onOpen}
		if simulation.chain {
			peers.fixedNeighbours = []string{hostName(index - 1), hostName(index + 1)}
		}
		go peers.sendHeartbeats(ctx, node)
		return peers
	}
	simulation.cancels[name] = cancel
	simulation.network.mutex.Lock()
	simulation.network.nodes[name] = node
	simulation.network.mutex.Unlock()
	go node.Run(ctx)
}

// stop stops all nodes and waits until the deadlines of their last calls have
// passed, because fake time does not advance after the test.
func (simulation *simulation) stop() {
	for i := range simulation.fleet {
		simulation.network.resume(hostName(i))
		simulation.cancels[hostName(i)]()
	}
	time.Sleep(time.Minute)
}

// injectFaults replaces the faults that are in force by those of the step.
func (simulation *simulation) injectFaults(drawn step) {
	simulation.table.setFaults(drawn.outage, drawn.writeFault, drawn.maxDelay)
	for _, index := range drawn.restarts {
		simulation.network.resume(hostName(index))
		simulation.startNode(index)
	}
	for i := range simulation.fleet {
		simulation.network.resume(hostName(i))
	}
	for _, index := range drawn.paused {
		simulation.network.pause(hostName(index))
	}
	simulation.network.mutex.Lock()
	simulation.network.cuts = map[[2]string]bool{}
	for _, cut := range drawn.cuts {
		simulation.network.cuts[cut] = true
	}
	simulation.network.mutex.Unlock()
}

// newRequest returns the request of an operator who has read the object from the
// node.
func (simulation *simulation) newRequest(index int, drawn step) Request {
	simulation.mutex.Lock()
	simulation.requests++
	id := fmt.Sprintf("request-%d", simulation.requests)
	simulation.mutex.Unlock()
	name := fmt.Sprintf("organisation-%d", drawn.object)
	revision := simulation.network.node(hostName(index)).Current().lastChange(KindOrganisation, name)
	request := Request{ID: id, Operator: "amina", Kind: KindOrganisation, Name: name, ExpectedRevision: revision}
	if !drawn.remove || revision == 0 {
		request.Object = Organisation{Name: name, Weight: float64(len(id)), TokenHash: fmt.Sprintf("%064x", drawn.object)}
	}
	return request
}

// submit sends the request to a node and records an accepted change.
func (simulation *simulation) submit(index int, request Request) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	change, err := simulation.network.node(hostName(index)).Change(ctx, request)
	if err == nil {
		simulation.mutex.Lock()
		simulation.accepted[request.ID] = change.Revision
		simulation.mutex.Unlock()
	}
	return outcome{id: request.ID, change: change, err: err, at: time.Now()}
}

// runStep runs one step and keeps its faults in force for the time within which
// accepted changes must propagate.
func (simulation *simulation) runStep(drawn step) {
	simulation.injectFaults(drawn)
	if simulation.network.isPaused(hostName(drawn.submitter)) || simulation.network.isPaused(hostName(drawn.rival)) {
		time.Sleep(propagationBound)
		return
	}
	results := make(chan outcome, 2)
	first, second := simulation.newRequest(drawn.submitter, drawn), simulation.newRequest(drawn.rival, drawn)
	go func() { results <- simulation.submit(drawn.submitter, first) }()
	if drawn.pauseDuringChange {
		time.Sleep(2 * latency)
		simulation.network.pause(hostName(drawn.submitter))
	}
	if drawn.concurrent && drawn.rival != drawn.submitter {
		go func() { results <- simulation.submit(drawn.rival, second) }()
		if drawn.pauseDuringChange {
			time.Sleep(propagationBound)
			simulation.network.resume(hostName(drawn.submitter))
		}
		simulation.checkConcurrentChanges(first, second, <-results, <-results)
		return
	}
	simulation.network.resume(hostName(drawn.submitter))
	simulation.checkPropagation(drawn, <-results)
}

// checkConcurrentChanges checks that at most one of two conflicting changes is
// accepted and that a conflict error holds the revision of the accepted change.
func (simulation *simulation) checkConcurrentChanges(first, second Request, a, b outcome) {
	if first.ExpectedRevision != second.ExpectedRevision {
		return
	}
	if a.err == nil && b.err == nil {
		simulation.recordViolation("both conflicting changes were accepted: revisions %d and %d", a.change.Revision, b.change.Revision)
	}
	for _, each := range [][2]outcome{{a, b}, {b, a}} {
		var conflict *ConflictError
		if each[0].err == nil && errors.As(each[1].err, &conflict) && conflict.CurrentRevision != each[0].change.Revision && each[0].change.Object != nil {
			simulation.recordViolation("conflict error holds revision %d, the accepted change has %d", conflict.CurrentRevision, each[0].change.Revision)
		}
	}
}

// checkPropagation checks that an accepted change is in force on every node that
// the submitter can reach over running nodes.
func (simulation *simulation) checkPropagation(drawn step, result outcome) {
	if result.err != nil {
		time.Sleep(propagationBound)
		return
	}
	time.Sleep(propagationBound)
	for name := range simulation.reachable(hostName(drawn.submitter)) {
		if revision := simulation.network.node(name).Current().Revision; revision < result.change.Revision {
			simulation.recordViolation("%s has revision %d, %d was accepted %v ago", name, revision, result.change.Revision, time.Since(result.at))
		}
	}
}

// neighbours returns the neighbours of a node. The result is cached because it is
// the same as long as the fleet does not change.
func (simulation *simulation) neighbours(name string) []hosts.Host {
	if _, known := simulation.neighboursOf[name]; !known {
		simulation.neighboursOf[name] = hosts.Neighbours(name, simulation.fleet, neighbourCount)
	}
	return simulation.neighboursOf[name]
}

// reachable returns the names of the nodes that are connected to the node over
// links that are not cut and nodes that are not paused.
func (simulation *simulation) reachable(from string) map[string]bool {
	reached := map[string]bool{from: true}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		for _, neighbour := range simulation.neighbours(queue[0]) {
			if !reached[neighbour.Name] && simulation.network.connected(queue[0], neighbour.Name) && !simulation.network.isPaused(neighbour.Name) {
				reached[neighbour.Name] = true
				queue = append(queue, neighbour.Name)
			}
		}
	}
	return reached
}

// checkFinalState checks that every node holds exactly the objects and the
// revision of the log, that the log contains each accepted request at its
// revision, and that it contains no request twice.
func (simulation *simulation) checkFinalState() {
	log := Snapshot{}
	seen := map[string]int64{}
	var last revisionRecord
	_ = json.Unmarshal(simulation.table.rows[revisionKey].Value, &last)
	for revision := int64(1); revision <= last.Revision; revision++ {
		var change Change
		if err := json.Unmarshal(simulation.table.rows[logRowKey(revision)].Value, &change); err != nil {
			simulation.recordViolation("log row %d: %v", revision, err)
			return
		}
		if earlier := seen[change.RequestID]; earlier != 0 {
			simulation.recordViolation("%s was applied twice, in revisions %d and %d", change.RequestID, earlier, revision)
		}
		seen[change.RequestID] = revision
		log, _ = log.With(change)
	}
	for id, revision := range simulation.accepted {
		if seen[id] != revision {
			simulation.recordViolation("%s was accepted as revision %d, the log has it as %d", id, revision, seen[id])
		}
	}
	for i := range simulation.fleet {
		snapshot := simulation.network.node(hostName(i)).Current()
		if string(mustEncode(snapshot.Entries())) != string(mustEncode(log.Entries())) || snapshot.Revision != log.Revision {
			simulation.recordViolation("%s at revision %d differs from the log at revision %d", hostName(i), snapshot.Revision, log.Revision)
		}
	}
}

// Guards against a revision that goes backwards, a change that reaches only some
// of the nodes, and the loss of an accepted change, under simultaneous faults of
// the store, the network and processes.
func TestConfigurationUnderFaults(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		seed := rapid.Uint64().Draw(rapidT, "seed")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 8).Draw(rapidT, "steps")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			simulation := newSimulation(seed)
			for _, each := range steps {
				simulation.runStep(each)
			}
			simulation.injectFaults(step{})
			time.Sleep(2 * propagationBound)
			simulation.table.mutex.Lock()
			simulation.checkFinalState()
			simulation.table.mutex.Unlock()
			simulation.stop()
			violations = simulation.violations
		})
		if len(violations) > 0 {
			rapidT.Fatalf("%v", violations)
		}
	})
}

// revisions returns the revision in force on each node.
func (simulation *simulation) revisions() []int64 {
	var revisions []int64
	for i := range simulation.fleet {
		revisions = append(revisions, simulation.network.node(hostName(i)).Current().Revision)
	}
	return revisions
}

// isolate cuts all links of a node.
func (simulation *simulation) isolate(index int) {
	simulation.network.mutex.Lock()
	defer simulation.network.mutex.Unlock()
	for i := range simulation.fleet {
		simulation.network.cuts[linkKey(hostName(i), hostName(index))] = true
	}
}

// Guards against the failure of a single propagation mechanism. Each case disables
// all mechanisms but one, because in TestConfigurationUnderFaults the others would
// compensate for its failure.
func TestEachPropagationMechanism(t *testing.T) {
	for _, example := range []struct {
		name  string
		chain bool
		run   func(simulation *simulation)
	}{
		// Heartbeats alone would be too slow, because they take up to a second per hop.
		{"offers cross many hops during a store outage", true, func(simulation *simulation) {
			simulation.submit(0, simulation.newRequest(0, step{}))
			simulation.table.setFaults(true, noWriteFault, 0)
			time.Sleep(propagationBound)
		}},
		{"polling finds a change of an entry that stopped before it could send an offer", false, func(simulation *simulation) {
			simulation.isolate(0)
			simulation.submit(0, simulation.newRequest(0, step{}))
			simulation.startNode(0)
			time.Sleep(propagationBound)
		}},
		{"heartbeats announce a revision whose offer was lost on a cut link", false, func(simulation *simulation) {
			simulation.isolate(0)
			simulation.submit(0, simulation.newRequest(0, step{}))
			simulation.table.setFaults(true, noWriteFault, 0)
			time.Sleep(500 * time.Millisecond)
			simulation.injectFaults(step{outage: true})
			time.Sleep(propagationBound)
		}},
		{"a process that starts during a store outage pulls from its peers at once", false, func(simulation *simulation) {
			simulation.submit(0, simulation.newRequest(0, step{}))
			time.Sleep(propagationBound)
			simulation.injectFaults(step{outage: true, restarts: []int{3}})
			time.Sleep(500 * time.Millisecond)
		}},
	} {
		t.Run(example.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulationWith(1, simulatedNodes, example.chain)
				time.Sleep(100 * time.Millisecond)
				example.run(simulation)
				if revisions := simulation.revisions(); slices.Min(revisions) != 1 {
					t.Errorf("revisions %v, want 1 everywhere", revisions)
				}
				simulation.stop()
			})
		})
	}
}

// Guards against a change that is applied twice or reported incorrectly because
// the answer to its write was lost, and against a request id that is reused for a
// different change, also for one that holds no number and ended the process.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(1)
		request := simulation.newRequest(0, step{object: 1})
		simulation.table.setFaults(false, answerLost, 0)
		first := simulation.submit(0, request)
		simulation.table.setFaults(false, noWriteFault, 0)
		time.Sleep(propagationBound)
		repeated := simulation.submit(4, request)
		if first.err != nil || repeated.err != nil || first.change.Revision != 1 || repeated.change.Revision != 1 {
			t.Errorf("first %v, repeated %v, want revision 1 twice", first, repeated)
		}
		request.Object = Organisation{Name: request.Name, Weight: 99, TokenHash: fmt.Sprintf("%064x", 1)}
		var reused *ReusedIDError
		if other := simulation.submit(4, request); !errors.As(other.err, &reused) {
			t.Errorf("different change with the same request id: %v", other.err)
		}
		request.Object = Organisation{Name: request.Name, Weight: math.NaN(), TokenHash: fmt.Sprintf("%064x", 1)}
		if other := simulation.submit(4, request); !errors.As(other.err, &reused) {
			t.Errorf("change that cannot be encoded with the same request id: %v", other.err)
		}
		simulation.table.setFaults(true, noWriteFault, 0)
		if refused := simulation.submit(4, simulation.newRequest(4, step{object: 2})); !errors.Is(refused.err, platform.ErrUnavailable) {
			t.Errorf("change during an outage: %v", refused.err)
		}
		simulation.stop()
	})
}

// Guards against a log that grows without bound.
func TestLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(1)
		simulation.network.node(hostName(0)).store.retained = 3
		for range 8 {
			if result := simulation.submit(0, simulation.newRequest(0, step{})); result.err != nil {
				t.Errorf("change: %v", result.err)
			}
		}
		time.Sleep(propagationBound)
		simulation.table.mutex.Lock()
		// The revision row, one organisation, and a log row and a request row for each
		// of the three retained changes.
		if rows := len(simulation.table.rows); rows != 2+3*2 {
			t.Errorf("%d rows", rows)
		}
		simulation.table.mutex.Unlock()
		if revisions := simulation.revisions(); slices.Min(revisions) != 8 {
			t.Errorf("revisions %v, want 8 everywhere", revisions)
		}
		simulation.stop()
	})
}

// Guards against propagation that is fast enough only in a small fleet or that
// reads the store more often than sharedPollRate allows. Logs the measured times
// and the read rate.
func TestFullSize(t *testing.T) {
	if testing.Short() {
		t.Skip("1,290 nodes take some seconds")
	}
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulationWith(1, 1290, false)
		time.Sleep(20 * time.Second)
		before, start := simulation.reads(), time.Now()
		for round := range 2 {
			result := simulation.submit(round, simulation.newRequest(round, step{}))
			for slices.Min(simulation.revisions()) < result.change.Revision && time.Since(result.at) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			if elapsed := time.Since(result.at); elapsed > propagationBound {
				t.Errorf("revision %d is in force everywhere after %v", result.change.Revision, elapsed)
			} else {
				t.Logf("revision %d is in force everywhere after %v", result.change.Revision, elapsed)
			}
			time.Sleep(propagationBound)
		}
		rate := float64(simulation.reads()-before) / time.Since(start).Seconds()
		t.Logf("%.0f reads/s of the store", rate)
		if rate > 1.2*sharedPollRate {
			t.Errorf("%.0f reads/s of the store, the allowed rate is %d", rate, sharedPollRate)
		}
		simulation.stop()
	})
}

// Guards against a propagation bound that a full-size fleet meets only without
// faults. One node in twenty is paused, one link in ten is cut, and the store is
// slow and becomes unavailable as soon as the change is accepted.
func TestFullSizeUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("1,290 nodes take some seconds")
	}
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulationWith(1, nodesUnderFaults, false)
		time.Sleep(2 * time.Second)
		faults := step{maxDelay: 900 * time.Millisecond}
		random := rand.New(rand.NewPCG(1, 1))
		for i := range simulation.fleet {
			if i > 0 && random.IntN(20) == 0 {
				faults.paused = append(faults.paused, i)
			}
			for _, neighbour := range simulation.neighbours(hostName(i)) {
				if hostName(i) < neighbour.Name && random.IntN(10) == 0 {
					faults.cuts = append(faults.cuts, linkKey(hostName(i), neighbour.Name))
				}
			}
		}
		simulation.injectFaults(faults)
		result := simulation.submit(0, simulation.newRequest(0, step{}))
		simulation.table.setFaults(true, noWriteFault, 0)
		reached := simulation.reachable(hostName(0))
		behind := func() (count int) {
			for name := range reached {
				if simulation.network.node(name).Current().Revision < result.change.Revision {
					count++
				}
			}
			return count
		}
		for behind() > 0 && time.Since(result.at) < propagationBound {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("%d nodes paused, %d links cut, %d nodes reachable: in force on all but %d after %v",
			len(faults.paused), len(faults.cuts), len(reached), behind(), time.Since(result.at))
		if result.err != nil || behind() > 0 {
			t.Errorf("error %v, not in force on %d reachable nodes", result.err, behind())
		}
		simulation.stop()
	})
}

// reads returns the number of reads of the table so far.
func (simulation *simulation) reads() int {
	simulation.table.mutex.Lock()
	defer simulation.table.mutex.Unlock()
	return simulation.table.reads
}
