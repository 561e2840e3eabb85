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
	simulatedEntries  = 2
	simulatedAgents   = 2
	simulatedSilence  = 3 * time.Second
	simulatedDeadline = 20 * time.Second
)

type (
	// simulatedFleet is a fleet in memory whose messages and writes fail at random.
	simulatedFleet struct {
		mutex        sync.Mutex
		source       *rand.Rand
		faultPercent int // Percent of messages that fail.
		table        *fakeTable
		entries      []*simulatedEntry
		agents       []*simulatedAgent
		violations   []string
	}

	simulatedEntry struct {
		fleet      *simulatedFleet
		name       string
		client     *Client
		agents     *Agents
		dispatcher *Dispatcher
		stop       context.CancelFunc
	}

	simulatedAgent struct {
		host           hosts.Host
		runner         *fakeRunner
		peers          []*simulatedPeer
		retiredRunners []*fakeRunner
	}

	// simulatedPeer is a connection from an entry to an incarnation of an agent.
	simulatedPeer struct {
		fleet       *simulatedFleet
		entry       *simulatedEntry
		name        string
		incarnation string
		runner      *fakeRunner
		once        sync.Once
		closed      chan struct{}
	}

	// simulatedAgentPeer is the agent's side of the same connection.
	simulatedAgentPeer struct{ *simulatedPeer }

	simulatedRequest struct {
		incoming      IncomingRequest
		startAfter    time.Duration
		repeats       int
		receivedTexts [][]string
		outcomes      []Outcome
	}
)

func (fleet *simulatedFleet) chance(percent int) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.source.IntN(100) < percent
}

func (fleet *simulatedFleet) randomInt(below int) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.source.IntN(below)
}

func (fleet *simulatedFleet) delay() {
	time.Sleep(time.Duration(fleet.randomInt(20)) * time.Millisecond)
}

func (fleet *simulatedFleet) recordViolation(format string, arguments ...any) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.violations = append(fleet.violations, fmt.Sprintf(format, arguments...))
}

// Call delivers the message, loses it, or loses its answer. A lost message may
// still arrive after its sender has closed the connection.
func (peer *simulatedPeer) Call(ctx context.Context, method string, params, result any) error {
	lost, late, lostAnswer := peer.fleet.chance(peer.fleet.faultPercent), peer.fleet.chance(50), peer.fleet.chance(peer.fleet.faultPercent)
	answered := make(chan any, 1)
	go func() {
		peer.fleet.delay()
		if lost && !late {
			return
		}
		if lost {
			time.Sleep(simulatedSilence + time.Duration(peer.fleet.randomInt(2000))*time.Millisecond)
		}
		answer := peer.serve(method, params)
		peer.fleet.delay()
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

func (peer *simulatedPeer) closeAfterSilence() {
	select {
	case <-peer.closed:
	case <-time.After(simulatedSilence):
		peer.Close()
	}
}

func (peer *simulatedPeer) serve(method string, params any) any {
	switch request := params.(type) {
	case runParams:
		return serveRun(context.Background(), simulatedAgentPeer{peer}, peer.runner, request)
	case collectParams:
		return serveCollect(context.Background(), simulatedAgentPeer{peer}, peer.runner, request)
	case resolveParams:
		return resolveResult{State: peer.runner.Resolve(request.AttemptID)}
	default:
		peer.fleet.recordViolation("unknown message %s", method)
		return nil
	}
}

func (peer *simulatedPeer) Notify(string, any) error { return nil }
func (peer *simulatedPeer) Done() <-chan struct{}    { return peer.closed }
func (peer *simulatedPeer) Close()                   { peer.once.Do(func() { close(peer.closed) }) }
func (peer *simulatedPeer) Peer() links.Identity {
	return links.Identity{Name: peer.name, Incarnation: peer.incarnation}
}

// Notify delivers a part, loses it, duplicates it or delivers it late.
func (agentPeer simulatedAgentPeer) Notify(_ string, params any) error {
	part := params.(partParams)
	switch {
	case agentPeer.fleet.chance(agentPeer.fleet.faultPercent / 2):
	case agentPeer.fleet.chance(agentPeer.fleet.faultPercent):
		go func() {
			time.Sleep(time.Duration(agentPeer.fleet.randomInt(500)) * time.Millisecond)
			agentPeer.entry.client.receive(part)
		}()
	default:
		agentPeer.entry.client.receive(part)
		if agentPeer.fleet.chance(agentPeer.fleet.faultPercent) {
			agentPeer.entry.client.receive(part)
		}
	}
	return nil
}

func newSimulatedFleet(seed uint64, faults int) *simulatedFleet {
	fleet := &simulatedFleet{source: rand.New(rand.NewPCG(seed, 1)), faultPercent: faults, table: newFakeTable()}
	for index := range simulatedAgents {
		fleet.agents = append(fleet.agents, &simulatedAgent{host: hosts.Host{
			Name: fmt.Sprintf("agent-%d", index), Role: hosts.RoleAgent, Deployment: "plant", Address: "memory",
		}})
		fleet.restart(index)
	}
	fleet.table.fault = func() tableFault {
		if !fleet.chance(faults) {
			return faultNone
		}
		return tableFault(1 + fleet.randomInt(3))
	}
	return fleet
}

// restart gives the agent a new incarnation without any record of earlier
// attempts.
func (fleet *simulatedFleet) restart(index int) {
	agent := fleet.agents[index]
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
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

func (fleet *simulatedFleet) startEntry(ctx context.Context, index int) *simulatedEntry {
	entry := &simulatedEntry{fleet: fleet, name: fmt.Sprintf("entry-%d", index), client: NewClient(links.NewRouter())}
	ctx, entry.stop = context.WithCancel(ctx)
	entry.agents = newAgents(hosts.Host{Name: entry.name}, backends.DefaultPolicy())
	var members []hosts.Host
	for _, agent := range fleet.agents {
		members = append(members, agent.host)
	}
	entry.agents.dial = func(context.Context, string) (Peer, error) { return nil, ErrConnectionLost }
	entry.agents.Update(members, testSnapshot())
	claims := NewClaimStore(fleet.table)
	go claims.Run(ctx)
	checker := invariants.NewForTest(func(name invariants.Name) { fleet.recordViolation("invariant %s", name) })
	entry.dispatcher = NewDispatcher(entry.agents, entry.client, claims, checker, zap.NewNop())
	for each := range fleet.agents {
		go entry.keepLink(ctx, each)
	}
	return entry
}

// keepLink opens a new connection to the agent whenever the last one has ended.
func (entry *simulatedEntry) keepLink(ctx context.Context, index int) {
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

func (entry *simulatedEntry) connect(index int) *simulatedPeer {
	entry.fleet.mutex.Lock()
	defer entry.fleet.mutex.Unlock()
	agent := entry.fleet.agents[index]
	peer := &simulatedPeer{
		fleet: entry.fleet, entry: entry, name: agent.host.Name,
		incarnation: agent.host.Incarnation, runner: agent.runner, closed: make(chan struct{}),
	}
	agent.peers = append(agent.peers, peer)
	return peer
}

func (fleet *simulatedFleet) runs(body string) int {
	total := 0
	for _, agent := range fleet.agents {
		total += agent.runner.countRuns(body)
		for _, retired := range agent.retiredRunners {
			total += retired.countRuns(body)
		}
	}
	return total
}

func newSimulatedRequest(index int, idempotent bool, repeats int) *simulatedRequest {
	body := fmt.Sprintf(`{"prompt":"%d"}`, index)
	return &simulatedRequest{
		repeats: repeats, receivedTexts: make([][]string, repeats), outcomes: make([]Outcome, repeats),
		incoming: IncomingRequest{Key: fmt.Sprintf("k%d", index), Request: Request{
			RequestID: fmt.Sprint(index), Organisation: "mill", Deployment: "plant", Idempotent: idempotent,
			Stream: index%2 == 0, Body: []byte(body),
		}},
	}
}

// send sends the request from a random entry. Repeats of a key run concurrently.
func (fleet *simulatedFleet) send(request *simulatedRequest, repeat int) {
	time.Sleep(request.startAfter + time.Duration(fleet.randomInt(30))*time.Millisecond)
	incoming := request.incoming
	incoming.Request.Deadline = time.Now().Add(simulatedDeadline)
	entry := fleet.entries[fleet.randomInt(len(fleet.entries))]
	var mutex sync.Mutex
	request.outcomes[repeat] = entry.dispatcher.Dispatch(context.Background(), incoming, func(part Part) {
		mutex.Lock()
		defer mutex.Unlock()
		request.receivedTexts[repeat] = append(request.receivedTexts[repeat], part.Text)
	})
	if time.Now().After(incoming.Request.Deadline) {
		fleet.recordViolation("request %s ended after its deadline", incoming.Key)
	}
}

// checkRequest compares what the callers have received with what the agents have
// run.
func (fleet *simulatedFleet) checkRequest(request *simulatedRequest) {
	body := string(request.incoming.Request.Body)
	runs := fleet.runs(body)
	if !request.incoming.Request.Idempotent && runs > 1 {
		fleet.recordViolation("%s ran %d times", request.incoming.Key, runs)
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
				fleet.recordViolation("%s received %q instead of %q", request.incoming.Key, got, want)
			}
		case NotRun:
			if request.repeats == 1 && runs > 0 {
				fleet.recordViolation("%s was refused as not run (%s) but ran", request.incoming.Key, ended.Code)
			}
		}
	}
}

// Guards against a request that is not idempotent but runs twice, a wrong
// answer, a refusal of a request that ran (P2, P3 and P4 in the design) and an
// outcome after the deadline, when messages are lost, late, duplicated or
// reordered, answers of the store are lost, agents restart or an entry crashes.
func TestOutcomesUnderFaults(t *testing.T) {
	answered, total := 0, 0
	rapid.Check(t, func(random *rapid.T) {
		seed, faults := rapid.Uint64().Draw(random, "seed"), rapid.IntRange(-5, 25).Draw(random, "faults")
		faults = max(0, faults)
		restarts, crashes := rapid.IntRange(0, 2).Draw(random, "restarts"), rapid.Bool().Draw(random, "entry crashes")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			fleet := newSimulatedFleet(seed, faults)
			sent := fleet.run(restarts, crashes)
			for _, request := range sent {
				fleet.checkRequest(request)
				for _, end := range request.outcomes {
					total++
					if _, isAnswered := end.(Answered); isAnswered {
						answered++
					}
				}
			}
			if faults+restarts == 0 && !crashes && !allAnswered(sent) {
				fleet.recordViolation("a request was not answered although nothing failed")
			}
			violations = fleet.violations
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

func allAnswered(sent []*simulatedRequest) bool {
	for _, request := range sent {
		for _, end := range request.outcomes {
			if _, isAnswered := end.(Answered); !isAnswered {
				return false
			}
		}
	}
	return true
}

func (fleet *simulatedFleet) run(restarts int, crashes bool) []*simulatedRequest {
	ctx, cancel := context.WithCancel(context.Background())
	for index := range simulatedEntries {
		fleet.entries = append(fleet.entries, fleet.startEntry(ctx, index))
	}
	var sent []*simulatedRequest
	for index := range 6 {
		sent = append(sent, newSimulatedRequest(index, false, 1+index/2), newSimulatedRequest(100+index, true, 1))
	}
	for _, request := range sent {
		request.startAfter = time.Duration(100+fleet.randomInt(3000)) * time.Millisecond
	}
	var wait sync.WaitGroup
	for _, request := range sent {
		for repeat := range request.repeats {
			wait.Go(func() { fleet.send(request, repeat) })
		}
	}
	for range restarts {
		time.Sleep(time.Duration(fleet.randomInt(1500)) * time.Millisecond)
		fleet.restart(fleet.randomInt(simulatedAgents))
	}
	if crashes {
		fleet.entries[0].crash()
	}
	wait.Wait()
	// Late messages arrive before the checks.
	time.Sleep(time.Minute)
	cancel()
	return sent
}

// crash closes the entry's connections and ends its writes to the store. Its
// callers would get no answer; here their calls end with the outcome that the
// dispatcher still returns.
func (entry *simulatedEntry) crash() {
	entry.stop()
	entry.fleet.mutex.Lock()
	defer entry.fleet.mutex.Unlock()
	for _, agent := range entry.fleet.agents {
		for _, peer := range agent.peers {
			if peer.entry == entry {
				peer.Close()
			}
		}
	}
}
