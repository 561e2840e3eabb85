package requests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"firford/lib/backends"
	_ "firford/lib/fixedseed"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
)

const (
	modelEntries  = 2
	modelAgents   = 2
	modelSilence  = 3 * time.Second
	modelDeadline = 20 * time.Second
)

type (
	// model is a fleet in memory whose messages and writes fail at random.
	model struct {
		mutex      sync.Mutex
		source     *rand.Rand
		faults     int // Percent of messages that fail.
		table      *fakeTable
		entries    []*modelEntry
		agents     []*modelAgent
		violations []string
	}

	modelEntry struct {
		model      *model
		name       string
		client     *Client
		agents     *Agents
		dispatcher *Dispatcher
		stop       context.CancelFunc
	}

	modelAgent struct {
		host    hosts.Host
		runner  *fakeRunner
		peers   []*modelPeer
		retired []*fakeRunner
	}

	// modelPeer is a connection from an entry to an incarnation of an agent.
	modelPeer struct {
		model       *model
		entry       *modelEntry
		name        string
		incarnation string
		runner      *fakeRunner
		once        sync.Once
		ended       chan struct{}
	}

	// modelBack is the agent's end of the same connection.
	modelBack struct{ *modelPeer }

	modelCall struct {
		call    Call
		begin   time.Duration
		repeats int
		texts   [][]string
		ends    []Outcome
	}
)

func (model *model) chance(percent int) bool {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	return model.source.IntN(100) < percent
}

func (model *model) number(below int) int {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	return model.source.IntN(below)
}

func (model *model) delay() {
	time.Sleep(time.Duration(model.number(20)) * time.Millisecond)
}

func (model *model) violate(format string, arguments ...any) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.violations = append(model.violations, fmt.Sprintf(format, arguments...))
}

// Call delivers the message, loses it, or loses its answer. A lost message may
// still arrive after its sender has given the connection up.
func (peer *modelPeer) Call(ctx context.Context, method string, params, result any) error {
	lost, late, lostAnswer := peer.model.chance(peer.model.faults), peer.model.chance(50), peer.model.chance(peer.model.faults)
	answered := make(chan any, 1)
	go func() {
		peer.model.delay()
		if lost && !late {
			return
		}
		if lost {
			time.Sleep(modelSilence + time.Duration(peer.model.number(2000))*time.Millisecond)
		}
		answer := peer.serve(method, params)
		peer.model.delay()
		if !lost && !lostAnswer {
			answered <- answer
		}
	}()
	if lost || lostAnswer {
		go peer.endLater()
	}
	select {
	case answer := <-answered:
		switch wanted := result.(type) {
		case *runResult:
			*wanted = answer.(runResult)
		case *resolveResult:
			*wanted = answer.(resolveResult)
		}
		return nil
	case <-peer.ended:
		return jsonrpc2.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (peer *modelPeer) endLater() {
	select {
	case <-peer.ended:
	case <-time.After(modelSilence):
		peer.Close()
	}
}

func (peer *modelPeer) serve(method string, params any) any {
	switch asked := params.(type) {
	case runParams:
		return serveRun(context.Background(), modelBack{peer}, peer.runner, asked)
	case collectParams:
		return serveCollect(context.Background(), modelBack{peer}, peer.runner, asked)
	case resolveParams:
		return resolveResult{State: peer.runner.Resolve(asked.AttemptID)}
	default:
		peer.model.violate("unknown message %s", method)
		return nil
	}
}

func (peer *modelPeer) Notify(string, any) error { return nil }
func (peer *modelPeer) Done() <-chan struct{}    { return peer.ended }
func (peer *modelPeer) Close()                   { peer.once.Do(func() { close(peer.ended) }) }
func (peer *modelPeer) Peer() links.Identity {
	return links.Identity{Name: peer.name, Incarnation: peer.incarnation}
}

// Notify delivers a part, loses it, doubles it or delivers it late.
func (back modelBack) Notify(_ string, params any) error {
	part := params.(partParams)
	switch {
	case back.model.chance(back.model.faults / 2):
	case back.model.chance(back.model.faults):
		go func() {
			time.Sleep(time.Duration(back.model.number(500)) * time.Millisecond)
			back.entry.client.receive(part)
		}()
	default:
		back.entry.client.receive(part)
		if back.model.chance(back.model.faults) {
			back.entry.client.receive(part)
		}
	}
	return nil
}

func newModel(seed uint64, faults int) *model {
	world := &model{source: rand.New(rand.NewPCG(seed, 1)), faults: faults, table: newFakeTable()}
	for index := range modelAgents {
		world.agents = append(world.agents, &modelAgent{host: hosts.Host{
			Name: fmt.Sprintf("agent-%d", index), Role: hosts.RoleAgent, Deployment: "plant", Address: "memory",
		}})
		world.restart(index)
	}
	world.table.fault = func() tableFault {
		if !world.chance(faults) {
			return faultNone
		}
		return tableFault(1 + world.number(3))
	}
	return world
}

// restart gives the agent a new incarnation that knows nothing.
func (model *model) restart(index int) {
	agent := model.agents[index]
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if agent.runner != nil {
		agent.retired = append(agent.retired, agent.runner)
	}
	agent.host.Incarnation = fmt.Sprintf("i%d", len(agent.retired))
	agent.runner = newFakeRunner()
	agent.runner.partPause = 10 * time.Millisecond
	for _, peer := range agent.peers {
		peer.Close()
	}
	agent.peers = nil
}

func (model *model) startEntry(ctx context.Context, index int) *modelEntry {
	entry := &modelEntry{model: model, name: fmt.Sprintf("entry-%d", index), client: NewClient(links.NewRouter())}
	ctx, entry.stop = context.WithCancel(ctx)
	entry.agents = newAgents(hosts.Host{Name: entry.name}, backends.DefaultPolicy())
	var members []hosts.Host
	for _, agent := range model.agents {
		members = append(members, agent.host)
	}
	entry.agents.dial = func(context.Context, string) (Peer, error) { return nil, ErrConnectionLost }
	entry.agents.Update(members, testSnapshot())
	claims := NewClaimStore(model.table)
	go claims.Serve(ctx)
	asserter := invariants.NewForTest(func(name invariants.Name) { model.violate("invariant %s", name) })
	entry.dispatcher = NewDispatcher(entry.agents, entry.client, claims, asserter, zap.NewNop())
	for each := range model.agents {
		go entry.keepLink(ctx, each)
	}
	return entry
}

// keepLink opens a new connection to the agent whenever the last one has ended.
func (entry *modelEntry) keepLink(ctx context.Context, index int) {
	for ctx.Err() == nil {
		peer := entry.connect(index)
		entry.agents.opened(peer.name, peer)
		entry.agents.stated(peer, AgentState{Incarnation: peer.incarnation, Deployment: "plant", Version: "v1", State: StateServing, Slots: 8})
		select {
		case <-ctx.Done():
			peer.Close()
		case <-peer.ended:
			time.Sleep(200 * time.Millisecond)
		}
	}
}

func (entry *modelEntry) connect(index int) *modelPeer {
	entry.model.mutex.Lock()
	defer entry.model.mutex.Unlock()
	agent := entry.model.agents[index]
	peer := &modelPeer{
		model: entry.model, entry: entry, name: agent.host.Name,
		incarnation: agent.host.Incarnation, runner: agent.runner, ended: make(chan struct{}),
	}
	agent.peers = append(agent.peers, peer)
	return peer
}

func (model *model) runs(body string) int {
	total := 0
	for _, agent := range model.agents {
		total += agent.runner.countRuns(body)
		for _, retired := range agent.retired {
			total += retired.countRuns(body)
		}
	}
	return total
}

func newModelCall(index int, idempotent bool, repeats int) *modelCall {
	body := fmt.Sprintf(`{"prompt":"%d"}`, index)
	return &modelCall{
		repeats: repeats, texts: make([][]string, repeats), ends: make([]Outcome, repeats),
		call: Call{Key: fmt.Sprintf("k%d", index), Request: Request{
			RequestID: fmt.Sprint(index), Organisation: "mill", Deployment: "plant", Idempotent: idempotent,
			Stream: index%2 == 0, Body: []byte(body),
		}},
	}
}

// ask sends the call from a random entry. Repeats of a key cross each other.
func (model *model) ask(asked *modelCall, repeat int) {
	time.Sleep(asked.begin + time.Duration(model.number(30))*time.Millisecond)
	call := asked.call
	call.Request.Deadline = time.Now().Add(modelDeadline)
	entry := model.entries[model.number(len(model.entries))]
	var mutex sync.Mutex
	asked.ends[repeat] = entry.dispatcher.Dispatch(context.Background(), call, func(part Part) {
		mutex.Lock()
		defer mutex.Unlock()
		asked.texts[repeat] = append(asked.texts[repeat], part.Text)
	})
	if time.Now().After(call.Request.Deadline) {
		model.violate("request %s ended after its deadline", call.Key)
	}
}

// check judges what the callers have received against what the agents have run.
func (model *model) check(asked *modelCall) {
	body := string(asked.call.Request.Body)
	runs := model.runs(body)
	if !asked.call.Request.Idempotent && runs > 1 {
		model.violate("%s ran %d times", asked.call.Key, runs)
	}
	for repeat, end := range asked.ends {
		switch ended := end.(type) {
		case Answered:
			var want, got string
			if asked.call.Request.Stream {
				want = answerText([]byte(body), 1) + answerText([]byte(body), 2) + answerText([]byte(body), 3)
				got = strings.Join(asked.texts[repeat], "")
			} else {
				want, got = `"`+answerText([]byte(body), 0)+`"`, string(ended.Body)
			}
			if want != got {
				model.violate("%s received %q instead of %q", asked.call.Key, got, want)
			}
		case NotRun:
			if asked.repeats == 1 && runs > 0 {
				model.violate("%s was refused as not run (%s) and ran", asked.call.Key, ended.Code)
			}
		}
	}
}

// Guards the promises P2, P3 and P4 and the deadline of every request against
// lost, late, doubled and crossed messages, lost answers of the store, restarts
// of agents and the death of an entry.
func TestPromisesUnderFaults(t *testing.T) {
	answered, total := 0, 0
	rapid.Check(t, func(random *rapid.T) {
		seed, faults := rapid.Uint64().Draw(random, "seed"), rapid.IntRange(-5, 25).Draw(random, "faults")
		faults = max(0, faults)
		restarts, dies := rapid.IntRange(0, 2).Draw(random, "restarts"), rapid.Bool().Draw(random, "entry dies")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			world := newModel(seed, faults)
			calls := world.play(restarts, dies)
			for _, asked := range calls {
				world.check(asked)
				for _, end := range asked.ends {
					total++
					if _, whole := end.(Answered); whole {
						answered++
					}
				}
			}
			if faults+restarts == 0 && !dies && !allAnswered(calls) {
				world.violate("a request was not answered although nothing failed")
			}
			violations = world.violations
		})
		if len(violations) > 0 {
			random.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
	t.Logf("%d of %d requests were answered", answered, total)
	if answered*2 < total {
		t.Errorf("only %d of %d requests were answered, so the test checks too little", answered, total)
	}
}

func allAnswered(calls []*modelCall) bool {
	for _, asked := range calls {
		for _, end := range asked.ends {
			if _, whole := end.(Answered); !whole {
				return false
			}
		}
	}
	return true
}

func (model *model) play(restarts int, dies bool) []*modelCall {
	ctx, cancel := context.WithCancel(context.Background())
	for index := range modelEntries {
		model.entries = append(model.entries, model.startEntry(ctx, index))
	}
	var calls []*modelCall
	for index := range 6 {
		calls = append(calls, newModelCall(index, false, 1+index/2), newModelCall(100+index, true, 1))
	}
	for _, asked := range calls {
		asked.begin = time.Duration(100+model.number(3000)) * time.Millisecond
	}
	var wait sync.WaitGroup
	for _, asked := range calls {
		for repeat := range asked.repeats {
			wait.Go(func() { model.ask(asked, repeat) })
		}
	}
	for range restarts {
		time.Sleep(time.Duration(model.number(1500)) * time.Millisecond)
		model.restart(model.number(modelAgents))
	}
	if dies {
		model.entries[0].die()
	}
	wait.Wait()
	// Late messages arrive before the judgement.
	time.Sleep(time.Minute)
	cancel()
	return calls
}

// die ends the entry's connections and its writes to the store. Its callers
// learn nothing; their calls end here with what the dispatcher still returns.
func (entry *modelEntry) die() {
	entry.stop()
	entry.model.mutex.Lock()
	defer entry.model.mutex.Unlock()
	for _, agent := range entry.model.agents {
		for _, peer := range agent.peers {
			if peer.entry == entry {
				peer.Close()
			}
		}
	}
}
