package selection

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/admissions"
	"firford/lib/backends"
	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
	"firford/lib/requests"
)

const (
	deployment    = "plant"
	organisation  = "mill"
	token         = "bench"
	stateInterval = time.Second
	key           = "bench"
)

type (
	// fleet is the entries' and agents' own code in this process, connected by
	// links over loopback.
	fleet struct {
		engines     []*engine
		queues      []*admissions.Queue
		entries     []*requests.Dispatcher
		fronts      []string
		violations  int
		mutex       sync.Mutex
		stop        context.CancelFunc
		members     []hosts.Host
		snapshot    configurations.Snapshot
		allAgents   []*requests.Agents
		serveFronts bool
	}

	fixedSource struct{ snapshot configurations.Snapshot }
)

// Current implements configurations.Source.
func (source fixedSource) Current() configurations.Snapshot { return source.snapshot }

// Wait implements configurations.Source.
func (source fixedSource) Wait(ctx context.Context, _ int64) (configurations.Snapshot, error) {
	<-ctx.Done()
	return source.snapshot, ctx.Err()
}

func newSnapshot() configurations.Snapshot {
	hash := sha256.Sum256([]byte(token))
	return configurations.NewSnapshot(3, []configurations.Entry{
		{Object: configurations.Deployment{Name: deployment, Type: configurations.DeploymentEngine}, Revision: 1},
		{Object: configurations.Routing{Deployment: deployment, Spill: configurations.SpillAnywhere}, Revision: 2},
		{Object: configurations.Organisation{Name: organisation, TokenHash: hex.EncodeToString(hash[:]), Weight: 1}, Revision: 3},
	})
}

// start builds a fleet and waits until every entry may use every engine.
func start(ctx context.Context, plan plan) (*fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	built := &fleet{stop: stop, snapshot: newSnapshot(), serveFronts: plan.http}
	for index, speed := range plan.speeds {
		if err := built.startAgent(ctx, index, speed, plan.lag); err != nil {
			stop()
			return nil, err
		}
	}
	for index := range plan.entries {
		if err := built.startEntry(ctx, index, plan.policy); err != nil {
			stop()
			return nil, err
		}
	}
	for _, agents := range built.allAgents {
		for agents.CountServing(deployment) < len(plan.speeds) && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	return built, ctx.Err()
}

func (fleet *fleet) close() {
	fleet.stop()
	for _, queue := range fleet.queues {
		queue.Close()
	}
}

// asserter counts violated invariants.
func (fleet *fleet) asserter() invariants.Asserter {
	return invariants.NewForTest(func(invariants.Name) {
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		fleet.violations++
	})
}

func (fleet *fleet) startAgent(ctx context.Context, index int, speed float64, lag time.Duration) error {
	backend := &engine{speed: speed}
	queue := admissions.New(admissions.Dependencies{
		Deployment: deployment, Backend: backend, Source: fixedSource{fleet.snapshot},
		Logger: zap.NewNop(), Scope: tally.NoopScope, Checker: fleet.asserter(),
	})
	queue.SetServing(version, true)
	runner := &laggingRunner{Runner: queue}
	go runner.follow(ctx, lag)
	router := links.NewRouter()
	requests.RegisterRunner(router, runner)
	name := fmt.Sprintf("agent-%02d", index)
	router.OnLink(func(link *links.Link) { go stateLoop(ctx, link, runner, name) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	options := newOptions(name, hosts.RoleAgent, router)
	go func() { _ = links.Serve(ctx, listener, options) }()
	fleet.engines = append(fleet.engines, backend)
	fleet.queues = append(fleet.queues, queue)
	fleet.members = append(fleet.members, hosts.Host{
		Name: name, Role: hosts.RoleAgent, Address: listener.Addr().String(), Deployment: deployment, Incarnation: name,
	})
	return nil
}

func newOptions(name, role string, router *links.Router) links.Options {
	return links.Options{
		Self: links.Identity{Name: name, Role: role, Incarnation: name}, Key: []byte(key), Router: router, Logger: zap.NewNop(),
	}
}

// stateLoop sends agent.state each second, as the agent does.
func stateLoop(ctx context.Context, link *links.Link, runner requests.Runner, incarnation string) {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		load := runner.Load()
		_ = requests.NotifyAgentState(link, requests.AgentState{
			Incarnation: incarnation, Deployment: deployment, Version: version, State: requests.StateServing,
			Running: load.Running, Queued: load.Queued, Slots: load.Slots,
		})
		select {
		case <-ctx.Done():
			return
		case <-link.Done():
			return
		case <-ticker.C:
		}
	}
}

func (fleet *fleet) startEntry(ctx context.Context, index int, policy backends.Policy) error {
	router := links.NewRouter()
	client := requests.NewClient(router)
	name := fmt.Sprintf("entry-%02d", index)
	self := hosts.Host{Name: name, Role: hosts.RoleEntry}
	agents := requests.NewAgents(ctx, self, policy, newOptions(name, hosts.RoleEntry, router))
	agents.Update(fleet.members, fleet.snapshot)
	dispatcher := requests.NewDispatcher(agents, client, nil, fleet.asserter(), zap.NewNop())
	fleet.entries = append(fleet.entries, dispatcher)
	fleet.allAgents = append(fleet.allAgents, agents)
	if !fleet.serveFronts {
		return nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	front := requests.NewAPIServer(requests.Dependencies{
		Source: fixedSource{fleet.snapshot}, Dispatcher: dispatcher, CountLiveEntries: func() int { return 1 },
		Scope: tally.NoopScope, Logger: zap.NewNop(),
	})
	go func() { _ = front.Serve(ctx, listener) }()
	fleet.fronts = append(fleet.fronts, listener.Addr().String())
	return nil
}
