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
	// modelFleet is a fleet in memory whose messages and writes fail at random.
	modelFleet struct {
		mutex        sync.Mutex
		source       *rand.Rand
		faultPercent int // Percent of messages that fail.
		table        *fakeTable
		entries      []*modelEntry
		agents       []*modelAgent
		violations   []string
	}

	modelEntry struct {
		model      *modelFleet
		name       string
		client     *Client
		agents     *Agents
		dispatcher *Dispatcher
		stop       context.CancelFunc
	}

	modelAgent struct {
		host           hosts.Host
		runner         *fakeRunner
		peers          []*modelPeer
		retiredRunners []*fakeRunner
	}

	// modelPeer is a connection from an entry to an incarnation of an agent.
	modelPeer struct {
		model       *modelFleet
		entry       *modelEntry
		name        string
		incarnation string
		runner      *fakeRunner
		once        sync.Once
		closed      chan struct{}
	}

	// modelAgentPeer is the agent's side of the same connection.
	modelAgentPeer struct{ *modelPeer }

	modelCall struct {
		incoming      IncomingRequest
		startAfter    time.Duration
		repeats       int
		receivedTexts [][]string
		outcomes      []Outcome
	}
)

func (model *modelFleet) chance(percent int) bool {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	return model.source.IntN(100) < percent
}

func (model *modelFleet) randomInt(below int) int {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	return model.source.IntN(below)
}

func (model *modelFleet) delay() {
	time.Sleep(time.Duration(model.randomInt(20)) * time.Millisecond)
}

func (model *modelFleet) reportViolation(format string, arguments ...any) {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	model.violations = append(model.violations, fmt.Sprintf(format, arguments...))
}

// Call delivers the message, loses it, or loses its answer. A lost message may
// still arrive after its sender has closed the connection.
func (peer *modelPeer) Call(ctx context.Context, method string, params, result any) error {
	lost, late, lostAnswer := peer.model.chance(peer.model.faultPercent), peer.model.chance(50), peer.model.chance(peer.model.faultPercent)
	answered := make(chan any, 1)
	go func() {
		peer.model.delay()
		if lost && !late {
			return
		}
		if lost {
			time.Sleep(modelSilence + time.Duration(peer.model.randomInt(2000))*time.Millisecond)
		}
		answer := peer.serve(method, params)
		peer.model.delay()
		if !lost && !lostAnswer {
			answered <- answer
		}
	}()
	if lost || lostAnswer {
		go peer.closeAfterSilence()
	}
	select {
	case answer := <-answered:
		switch target := result.(type) {
		case *runResult:
			*target = answer.(runResult)
		case *resolveResult:
			*target = answer.(resolveResult)
		}
		return nil
	case <-peer.closed:
		return jsonrpc2.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (peer *modelPeer) closeAfterSilence() {
	select {
	case <-peer.closed:
	case <-time.After(modelSilence):
		peer.Close()
	}
}

func (peer *modelPeer) serve(method string, params any) any {
	switch request := params.(type) {
	case runParams:
		return serveRun(context.Background(), modelAgentPeer{peer}, peer.runner, request)
	case collectParams:
		return serveCollect(context.Background(), modelAgentPeer{peer}, peer.runner, request)
	case resolveParams:
		return resolveResult{State: peer.runner.Resolve(request.AttemptID)}
	default:
		peer.model.reportViolation("unknown message %s", method)
		return nil
	}
}

func (peer *modelPeer) Notify(string, any) error { return nil }
func (peer *modelPeer) Done() <-chan struct{}    { return peer.closed }
func (peer *modelPeer) Close()                   { peer.once.Do(func() { close(peer.closed) }) }
func (peer *modelPeer) Peer() links.Identity {
	return links.Identity{Name: peer.name, Incarnation: peer.incarnation}
}

// Notify delivers a part, loses it, duplicates it or delivers it late.
func (agentPeer modelAgentPeer) Notify(_ string, params any) error {
	part := params.(partParams)
	switch {
	case agentPeer.model.chance(agentPeer.model.faultPercent / 2):
	case agentPeer.model.chance(agentPeer.model.faultPercent):
		go func() {
			time.Sleep(time.Duration(agentPeer.model.randomInt(500)) * time.Millisecond)
			agentPeer.entry.client.receive(part)
		}()
	default:
		agentPeer.entry.client.receive(part)
		if agentPeer.model.chance(agentPeer.model.faultPercent) {
			agentPeer.entry.client.receive(part)
		}
	}
	return nil
}

func newModel(seed uint64, faults int) *modelFleet {
	model := &modelFleet{source: rand.New(rand.NewPCG(seed, 1)), faultPercent: faults, table: newFakeTable()}
	for index := range modelAgents {
		model.agents = append(model.agents, &modelAgent{host: hosts.Host{
			Name: fmt.Sprintf("agent-%d", index), Role: hosts.RoleAgent, Deployment: "plant", Address: "memory",
		}})
		model.restart(index)
	}
	model.table.fault = func() tableFault {
		if !model.chance(faults) {
			return faultNone
		}
		return tableFault(1 + model.randomInt(3))
	}
	return model
}

// restart gives the agent a new incarnation without any record of earlier
// attempts.
func (model *modelFleet) restart(index int) {
	agent := model.agents[index]
	model.mutex.Lock()
	defer model.mutex.Unlock()
	if agent.runner != nil {
		agent.retiredRunners = append(agent.retiredRunners, agent.runner)
	}
	agent.host.Incarnation = fmt.Sprintf("i%d", len(agent.retiredRunners))
	agent.runner = newFakeRunner()
	agent.runner.partPause = 10 * time.Millisecond
	for _, peer := range agent.peers {
		peer.Close()
	}
	agent.peers = nil
}

func (model *modelFleet) startEntry(ctx context.Context, index int) *modelEntry {
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
	go claims.Run(ctx)
	checker := invariants.NewForTest(func(name invariants.Name) { model.reportViolation("invariant %s", name) })
	entry.dispatcher = NewDispatcher(entry.agents, entry.client, claims, checker, zap.NewNop())
	for each := range model.agents {
		go entry.keepLink(ctx, each)
	}
	return entry
}

// keepLink opens a new connection to the agent whenever the last one has ended.
func (entry *modelEntry) keepLink(ctx context.Context, index int) {
	for ctx.Err() == nil {
		peer := entry.connect(index)
		entry.agents.handleLinkOpened(peer.name, peer)
		entry.agents.handleState(peer, AgentState{Incarnation: peer.incarnation, Deployment: "plant", Version: "v1", State: StateServing, Slots: 8})
		select {
		case <-ctx.Done():
			peer.Close()
		case <-peer.closed:
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
		incarnation: agent.host.Incarnation, runner: agent.runner, closed: make(chan struct{}),
	}
	agent.peers = append(agent.peers, peer)
	return peer
}

func (model *modelFleet) runs(body string) int {
	total := 0
	for _, agent := range model.agents {
		total += agent.runner.countRuns(body)
		for _, retired := range agent.retiredRunners {
			total += retired.countRuns(body)
		}
	}
	return total
}

func newModelCall(index int, idempotent bool, repeats int) *modelCall {
	body := fmt.Sprintf(`{"prompt":"%d"}`, index)
	return &modelCall{
		repeats: repeats, receivedTexts: make([][]string, repeats), outcomes: make([]Outcome, repeats),
		incoming: IncomingRequest{Key: fmt.Sprintf("k%d", index), Request: Request{
			RequestID: fmt.Sprint(index), Organisation: "mill", Deployment: "plant", Idempotent: idempotent,
			Stream: index%2 == 0, Body: []byte(body),
		}},
	}
}

// send sends the request from a random entry. Repeats of a key run concurrently.
func (model *modelFleet) send(request *modelCall, repeat int) {
	time.Sleep(request.startAfter + time.Duration(model.randomInt(30))*time.Millisecond)
	incoming := request.incoming
	incoming.Request.Deadline = time.Now().Add(modelDeadline)
	entry := model.entries[model.randomInt(len(model.entries))]
	var mutex sync.Mutex
	request.outcomes[repeat] = entry.dispatcher.Dispatch(context.Background(), incoming, func(part Part) {
		mutex.Lock()
		defer mutex.Unlock()
		request.receivedTexts[repeat] = append(request.receivedTexts[repeat], part.Text)
	})
	if time.Now().After(incoming.Request.Deadline) {
		model.reportViolation("request %s ended after its deadline", incoming.Key)
	}
}

// checkCall compares what the callers have received with what the agents have
// run.
func (model *modelFleet) checkCall(request *modelCall) {
	body := string(request.incoming.Request.Body)
	runs := model.runs(body)
	if !request.incoming.Request.Idempotent && runs > 1 {
		model.reportViolation("%s ran %d times", request.incoming.Key, runs)
	}
	for repeat, end := range request.outcomes {
		switch ended := end.(type) {
		case Answered:
			var want, got string
			if request.incoming.Request.Stream {
				want = answerText([]byte(body), 1) + answerText([]byte(body), 2) + answerText([]byte(body), 3)
				got = strings.Join(request.receivedTexts[repeat], "")
			} else {
				want, got = `"`+answerText([]byte(body), 0)+`"`, string(ended.Body)
			}
			if want != got {
				model.reportViolation("%s received %q instead of %q", request.incoming.Key, got, want)
			}
		case NotRun:
			if request.repeats == 1 && runs > 0 {
				model.reportViolation("%s was refused as not run (%s) but ran", request.incoming.Key, ended.Code)
			}
		}
	}
}

// Guards against breaking promises P2, P3 or P4, or the deadline of a request,
// when messages are lost, late, duplicated or reordered, answers of the store
// are lost, agents restart or an entry crashes.
func TestPromisesUnderFaults(t *testing.T) {
	answered, total := 0, 0
	rapid.Check(t, func(random *rapid.T) {
		seed, faults := rapid.Uint64().Draw(random, "seed"), rapid.IntRange(-5, 25).Draw(random, "faults")
		faults = max(0, faults)
		restarts, crashes := rapid.IntRange(0, 2).Draw(random, "restarts"), rapid.Bool().Draw(random, "entry crashes")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			model := newModel(seed, faults)
			calls := model.run(restarts, crashes)
			for _, request := range calls {
				model.checkCall(request)
				for _, end := range request.outcomes {
					total++
					if _, isAnswered := end.(Answered); isAnswered {
						answered++
					}
				}
			}
			if faults+restarts == 0 && !crashes && !allAnswered(calls) {
				model.reportViolation("a request was not answered although nothing failed")
			}
			violations = model.violations
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
	for _, request := range calls {
		for _, end := range request.outcomes {
			if _, isAnswered := end.(Answered); !isAnswered {
				return false
			}
		}
	}
	return true
}

func (model *modelFleet) run(restarts int, crashes bool) []*modelCall {
	ctx, cancel := context.WithCancel(context.Background())
	for index := range modelEntries {
		model.entries = append(model.entries, model.startEntry(ctx, index))
	}
	var calls []*modelCall
	for index := range 6 {
		calls = append(calls, newModelCall(index, false, 1+index/2), newModelCall(100+index, true, 1))
	}
	for _, request := range calls {
		request.startAfter = time.Duration(100+model.randomInt(3000)) * time.Millisecond
	}
	var wait sync.WaitGroup
	for _, request := range calls {
		for repeat := range request.repeats {
			wait.Go(func() { model.send(request, repeat) })
		}
	}
	for range restarts {
		time.Sleep(time.Duration(model.randomInt(1500)) * time.Millisecond)
		model.restart(model.randomInt(modelAgents))
	}
	if crashes {
		model.entries[0].crash()
	}
	wait.Wait()
	// Late messages arrive before the checks.
	time.Sleep(time.Minute)
	cancel()
	return calls
}

// crash closes the entry's connections and ends its writes to the store. Its
// callers would get no answer; here their calls end with the outcome that the
// dispatcher still returns.
func (entry *modelEntry) crash() {
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
