package configurations

// This file contains fakes of the platform's table and of the network between
// nodes. They inject faults and run in the fake time of testing/synctest.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"firford/lib/hosts"
	"firford/lib/links"
	"firford/lib/platform"
)

// Faults of a write to the table. With each of the three faults the caller does
// not learn the outcome: the write is never made, is made before the answer is
// lost, or is made only after the caller has given up.
const (
	noWriteFault = iota
	requestLost
	answerLost
	requestDelayed
)

const latency = 3 * time.Millisecond

type (
	// fakeTable is an in-memory table. The fields from outage to maxDelay are the
	// faults in force.
	fakeTable struct {
		mutex      sync.Mutex
		rows       map[string]platform.Row
		revision   int64
		outage     bool
		writeFault int
		maxDelay   time.Duration
		random     *rand.Rand
		reads      int
	}

	// nodeTable is the table as seen by one node. Its calls block while the node is
	// paused.
	nodeTable struct {
		*fakeTable
		waitWhilePaused func(ctx context.Context)
	}

	// fakeNetwork connects all nodes, except over the links in cuts. A paused node
	// has a channel that is closed when it resumes.
	fakeNetwork struct {
		mutex  sync.Mutex
		nodes  map[string]*Node
		cuts   map[[2]string]bool
		paused map[string]chan struct{}
	}

	fakePeer struct {
		network *fakeNetwork
		from    string
		to      string
	}

	// fakePeers is the peerSet of one node. If fixedNeighbours is set, it replaces
	// the hosts that the node asks for.
	fakePeers struct {
		network         *fakeNetwork
		self            string
		onOpen          func(Peer)
		fixedNeighbours []string
		mutex           sync.Mutex
		neighbours      []string
	}
)

var errNoAnswer = errors.New("no answer")

func newFakeTable(seed uint64) *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// delay sleeps for the latency and a random part of maxDelay, so that answers
// arrive out of order.
func (table *fakeTable) delay() {
	table.mutex.Lock()
	delay := latency + time.Duration(table.random.Float64()*float64(table.maxDelay))
	table.mutex.Unlock()
	time.Sleep(delay)
}

func (table *fakeTable) Transact(_ context.Context, conditions []platform.Condition, writes []platform.Write) (int64, error) {
	table.delay()
	table.mutex.Lock()
	outage, writeFault := table.outage, table.writeFault
	if writeFault != noWriteFault && table.random.IntN(2) == 0 {
		writeFault = noWriteFault
	}
	table.mutex.Unlock()
	switch {
	case outage:
		return 0, platform.ErrUnavailable
	case writeFault == requestLost:
		return 0, platform.ErrOutcomeUnknown
	case writeFault == requestDelayed:
		time.AfterFunc(300*time.Millisecond, func() { _, _ = table.write(conditions, writes) })
		return 0, platform.ErrOutcomeUnknown
	}
	revision, err := table.write(conditions, writes)
	table.delay()
	if writeFault == answerLost {
		return 0, platform.ErrOutcomeUnknown
	}
	return revision, err
}

func (table *fakeTable) write(conditions []platform.Condition, writes []platform.Write) (int64, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var conflict platform.ConflictError
	for _, condition := range conditions {
		if row := table.rows[condition.Key]; row.Revision != condition.Revision {
			conflict.Rows = append(conflict.Rows, platform.Row{Key: condition.Key, Revision: row.Revision, Value: row.Value})
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, &conflict
	}
	table.revision++
	for _, write := range writes {
		table.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: table.revision}
		if write.Delete {
			delete(table.rows, write.Key)
		}
	}
	return table.revision, nil
}

func (table *fakeTable) Read(_ context.Context, key string) (platform.Row, error) {
	table.delay()
	table.mutex.Lock()
	row, found := table.rows[key]
	outage := table.outage
	table.reads++
	table.mutex.Unlock()
	table.delay()
	switch {
	case outage:
		return platform.Row{}, platform.ErrUnavailable
	case !found:
		return platform.Row{}, platform.ErrNotFound
	default:
		return row, nil
	}
}

func (table *fakeTable) Scan(_ context.Context, prefix string, after int64) ([]platform.Row, error) {
	table.delay()
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.reads++
	if table.outage {
		return nil, platform.ErrUnavailable
	}
	var list []platform.Row
	for key, row := range table.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > after {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b platform.Row) int { return int(a.Revision - b.Revision) })
	return list, nil
}

func (table *fakeTable) setFaults(outage bool, writeFault int, maxDelay time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.outage, table.writeFault, table.maxDelay = outage, writeFault, maxDelay
}

func (table nodeTable) Transact(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (int64, error) {
	table.waitWhilePaused(ctx)
	revision, err := table.fakeTable.Transact(ctx, conditions, writes)
	table.waitWhilePaused(ctx)
	return revision, err
}

func (table nodeTable) Read(ctx context.Context, key string) (platform.Row, error) {
	table.waitWhilePaused(ctx)
	row, err := table.fakeTable.Read(ctx, key)
	table.waitWhilePaused(ctx)
	return row, err
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{nodes: map[string]*Node{}, cuts: map[[2]string]bool{}, paused: map[string]chan struct{}{}}
}

// linkKey returns the key of the link between two hosts, which is the same in
// both directions.
func linkKey(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (network *fakeNetwork) pause(name string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.paused[name] == nil {
		network.paused[name] = make(chan struct{})
	}
}

func (network *fakeNetwork) resume(name string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if paused := network.paused[name]; paused != nil {
		close(paused)
		delete(network.paused, name)
	}
}

func (network *fakeNetwork) isPaused(name string) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.paused[name] != nil
}

// waitWhilePaused blocks while the node is paused.
func (network *fakeNetwork) waitWhilePaused(ctx context.Context, name string) {
	network.mutex.Lock()
	paused := network.paused[name]
	network.mutex.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
}

func (network *fakeNetwork) connected(a, b string) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return !network.cuts[linkKey(a, b)] && network.nodes[a] != nil && network.nodes[b] != nil
}

func (network *fakeNetwork) node(name string) *Node {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.nodes[name]
}

func (peer fakePeer) Peer() links.Identity { return links.Identity{Name: peer.to} }

func (peer fakePeer) Call(ctx context.Context, method string, params, result any) error {
	time.Sleep(latency)
	peer.network.waitWhilePaused(ctx, peer.to)
	node := peer.network.node(peer.to)
	if !peer.network.connected(peer.from, peer.to) || ctx.Err() != nil || method != methodPull || node == nil {
		<-ctx.Done()
		return errNoAnswer
	}
	encoded := mustEncode(node.handlePull(params.(pullParams)))
	time.Sleep(latency)
	peer.network.waitWhilePaused(ctx, peer.from)
	return json.Unmarshal(encoded, result)
}

// Notify delivers the message after the latency. A paused receiver handles it when
// it resumes.
func (peer fakePeer) Notify(_ string, params any) error {
	encoded := mustEncode(params)
	time.AfterFunc(latency, func() {
		if !peer.network.connected(peer.from, peer.to) {
			return
		}
		peer.network.waitWhilePaused(context.Background(), peer.to)
		var offer offerParams
		if node := peer.network.node(peer.to); node != nil && json.Unmarshal(encoded, &offer) == nil {
			node.handleOffer(fakePeer{peer.network, peer.to, peer.from}, offer)
		}
	})
	return nil
}

func (peers *fakePeers) SetHosts(wanted []hosts.Host) {
	peers.mutex.Lock()
	peers.neighbours = peers.fixedNeighbours
	if peers.fixedNeighbours == nil {
		for _, host := range wanted {
			peers.neighbours = append(peers.neighbours, host.Name)
		}
	}
	peers.mutex.Unlock()
	for _, peer := range peers.Peers() {
		peers.onOpen(peer)
	}
}

func (peers *fakePeers) Peers() []Peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	var open []Peer
	for _, name := range peers.neighbours {
		if peers.network.connected(peers.self, name) {
			open = append(open, fakePeer{peers.network, peers.self, name})
		}
	}
	return open
}

// sendHeartbeats sends a heartbeat to every connected neighbour each second.
func (peers *fakePeers) sendHeartbeats(ctx context.Context, node *Node) {
	for ctx.Err() == nil {
		time.Sleep(links.HeartbeatInterval)
		if peers.network.isPaused(peers.self) {
			continue
		}
		payload := node.HeartbeatPayload().(heartbeatPayload)
		for _, peer := range peers.Peers() {
			to := peer.Peer().Name
			if other := peers.network.node(to); other != nil && !peers.network.isPaused(to) {
				other.recordPeerRevision(fakePeer{peers.network, to, peers.self}, payload.Revision)
			}
		}
	}
}

func hostName(index int) string { return fmt.Sprintf("host-%02d", index) }
