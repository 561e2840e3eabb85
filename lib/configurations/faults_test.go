package configurations

// This file simulates the platform's table and the network between nodes, with
// their faults, in the fake time of testing/synctest.

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

// Ways in which the answer to a write is lost.
const (
	lossNone = iota
	lossBefore
	lossAfter
	lossLate
)

const latency = 3 * time.Millisecond

type (
	fakeTable struct {
		mutex    sync.Mutex
		rows     map[string]platform.Row
		revision int64
		outage   bool
		loss     int
		slow     time.Duration
		random   *rand.Rand
		reads    int
	}

	// tableOf is the table as one node reaches it: not while the node is paused.
	tableOf struct {
		*fakeTable
		wait func(ctx context.Context)
	}

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

	fakePeers struct {
		network *fakeNetwork
		self    string
		onOpen  func(Peer)
		fixed   []string
		mutex   sync.Mutex
		kept    []string
	}
)

var errCut = errors.New("no answer")

func newFakeTable(seed uint64) *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// delay waits for a random part of the table's slowness, so answers cross.
func (table *fakeTable) delay() {
	table.mutex.Lock()
	pause := latency + time.Duration(table.random.Float64()*float64(table.slow))
	table.mutex.Unlock()
	time.Sleep(pause)
}

func (table *fakeTable) Transact(_ context.Context, conditions []platform.Condition, writes []platform.Write) (int64, error) {
	table.delay()
	table.mutex.Lock()
	outage, loss := table.outage, table.loss
	if loss != lossNone && table.random.IntN(2) == 0 {
		loss = lossNone
	}
	table.mutex.Unlock()
	switch {
	case outage:
		return 0, platform.ErrUnavailable
	case loss == lossBefore:
		return 0, platform.ErrOutcomeUnknown
	case loss == lossLate:
		time.AfterFunc(300*time.Millisecond, func() { _, _ = table.write(conditions, writes) })
		return 0, platform.ErrOutcomeUnknown
	}
	revision, err := table.write(conditions, writes)
	table.delay()
	if loss == lossAfter {
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

func (table *fakeTable) set(outage bool, loss int, slow time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.outage, table.loss, table.slow = outage, loss, slow
}

func (table tableOf) Transact(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (int64, error) {
	table.wait(ctx)
	revision, err := table.fakeTable.Transact(ctx, conditions, writes)
	table.wait(ctx)
	return revision, err
}

func (table tableOf) Read(ctx context.Context, key string) (platform.Row, error) {
	table.wait(ctx)
	row, err := table.fakeTable.Read(ctx, key)
	table.wait(ctx)
	return row, err
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{nodes: map[string]*Node{}, cuts: map[[2]string]bool{}, paused: map[string]chan struct{}{}}
}

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

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

// wait blocks while the node is paused.
func (network *fakeNetwork) wait(ctx context.Context, name string) {
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
	return !network.cuts[pair(a, b)] && network.nodes[a] != nil && network.nodes[b] != nil
}

func (network *fakeNetwork) node(name string) *Node {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.nodes[name]
}

func (peer fakePeer) Peer() links.Identity { return links.Identity{Name: peer.to} }

func (peer fakePeer) Call(ctx context.Context, method string, params, result any) error {
	time.Sleep(latency)
	peer.network.wait(ctx, peer.to)
	node := peer.network.node(peer.to)
	if !peer.network.connected(peer.from, peer.to) || ctx.Err() != nil || method != methodPull || node == nil {
		<-ctx.Done()
		return errCut
	}
	encoded := mustEncode(node.onPull(params.(pullParams)))
	time.Sleep(latency)
	peer.network.wait(ctx, peer.from)
	return json.Unmarshal(encoded, result)
}

// Notify delivers later; a paused receiver takes the message when it resumes.
func (peer fakePeer) Notify(_ string, params any) error {
	encoded := mustEncode(params)
	time.AfterFunc(latency, func() {
		if !peer.network.connected(peer.from, peer.to) {
			return
		}
		peer.network.wait(context.Background(), peer.to)
		var offer offerParams
		if node := peer.network.node(peer.to); node != nil && json.Unmarshal(encoded, &offer) == nil {
			node.onOffer(fakePeer{peer.network, peer.to, peer.from}, offer)
		}
	})
	return nil
}

func (peers *fakePeers) Keep(wanted []hosts.Host) {
	peers.mutex.Lock()
	peers.kept = peers.fixed
	if peers.fixed == nil {
		for _, host := range wanted {
			peers.kept = append(peers.kept, host.Name)
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
	for _, name := range peers.kept {
		if peers.network.connected(peers.self, name) {
			open = append(open, fakePeer{peers.network, peers.self, name})
		}
	}
	return open
}

// beat exchanges heartbeats with every connected neighbour each second.
func (peers *fakePeers) beat(ctx context.Context, node *Node) {
	for ctx.Err() == nil {
		time.Sleep(links.HeartbeatInterval)
		if peers.network.isPaused(peers.self) {
			continue
		}
		payload := node.HeartbeatPayload().(beatPayload)
		for _, peer := range peers.Peers() {
			to := peer.Peer().Name
			if other := peers.network.node(to); other != nil && !peers.network.isPaused(to) {
				other.onRevision(fakePeer{peers.network, to, peers.self}, payload.Revision)
			}
		}
	}
}

func hostName(index int) string { return fmt.Sprintf("host-%02d", index) }
