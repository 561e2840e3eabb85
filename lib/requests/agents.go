package requests

// The entry's view of the agents: which of them it is connected to, the state
// that each reported last, and how many requests of this entry are in flight
// there. Package backends decides which agent runs a request; this file
// supplies it with data from links and the clock.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"firford/lib/backends"
	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/links"
)

// Agents report their state each second. An agent that has missed two reports
// gets requests only if no other candidate has reported in time.
const staleStateAge = 2500 * time.Millisecond

type (
	// Agents is an entry's view of the agents. It is safe for concurrent use.
	Agents struct {
		self           hosts.Host
		policy         backends.Policy
		setLinkedHosts func(wanted []hosts.Host)
		dial           func(ctx context.Context, address string) (Peer, error)

		mutex      sync.Mutex
		members    map[string]hosts.Host
		views      map[string]*agentView
		subsets    map[string][]string
		turn       uint64
		linkOpened chan struct{}
	}

	agentView struct {
		host             hosts.Host
		peer             Peer
		observation      hosts.Observation
		state            AgentState
		stateReceivedAt  time.Time
		inFlight         int
		reportedLoad     int
		inFlightAtReport int
		othersLoad       float64
	}

	// reservation is one request in flight at an agent. It counts towards the
	// agent's load until it is released.
	reservation struct {
		agents      *Agents
		name        string
		incarnation string
		version     string
		peer        Peer
	}
)

// NewAgents returns the view of the agents for the entry self. A pool keeps its
// links open until the context ends. The handler for agent.state is registered
// with the router of the options.
func NewAgents(ctx context.Context, self hosts.Host, policy backends.Policy, options links.Options) *Agents {
	agents := newAgents(self, policy)
	pool := links.NewPool(ctx, options, func(host hosts.Host, link *links.Link) {
		agents.handleLinkOpened(host.Name, link)
	})
	agents.setLinkedHosts = pool.SetHosts
	agents.dial = func(ctx context.Context, address string) (Peer, error) {
		return links.Dial(ctx, address, options)
	}
	OnAgentState(options.Router, func(link *links.Link, state AgentState) { agents.handleState(link, state) })
	return agents
}

func newAgents(self hosts.Host, policy backends.Policy) *Agents {
	return &Agents{
		self:           self,
		policy:         policy,
		setLinkedHosts: func([]hosts.Host) {},
		views:          map[string]*agentView{},
		subsets:        map[string][]string{},
		linkOpened:     make(chan struct{}),
	}
}

// Update selects the subsets again from the platform's list of hosts and the
// configuration. Call it when either has changed, and each second, so that
// suspected agents are replaced.
func (agents *Agents) Update(members []hosts.Host, snapshot configurations.Snapshot) {
	wanted := agents.selectSubsets(members, snapshot, time.Now())
	agents.setLinkedHosts(wanted)
}

func (agents *Agents) selectSubsets(members []hosts.Host, snapshot configurations.Snapshot, now time.Time) []hosts.Host {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	var wanted []hosts.Host
	subsets := map[string][]string{}
	for _, deployment := range configurations.All[configurations.Deployment](snapshot) {
		routing, _, _ := configurations.Lookup[configurations.Routing](snapshot, deployment.Name)
		suspects := backends.SuspectedAgents(agents.observedAgents(deployment.Name), now)
		subset := backends.Subset(agents.self, deployment.Name, routing.Spill, members, func(name string) bool { return suspects[name] })
		for _, host := range subset {
			subsets[deployment.Name] = append(subsets[deployment.Name], host.Name)
		}
		wanted = append(wanted, subset...)
	}
	agents.subsets = subsets
	agents.updateViews(members, wanted, now)
	return append(wanted, agents.hostsInUse(wanted)...)
}

// hostsInUse returns the hosts outside the wanted ones where requests of this
// entry are in flight. Closing their links would cut those requests off.
func (agents *Agents) hostsInUse(wanted []hosts.Host) []hosts.Host {
	isWanted := map[string]bool{}
	for _, host := range wanted {
		isWanted[host.Name] = true
	}
	var list []hosts.Host
	for name, view := range agents.views {
		if view.inFlight > 0 && !isWanted[name] {
			list = append(list, view.host)
		}
	}
	return list
}

func (agents *Agents) observedAgents(deployment string) []backends.ObservedAgent {
	var list []backends.ObservedAgent
	for _, name := range agents.subsets[deployment] {
		if view, known := agents.views[name]; known {
			list = append(list, backends.ObservedAgent{Host: view.host, Observation: view.observation})
		}
	}
	return list
}

// updateViews adds a view for each newly wanted host. A view is deleted once
// its host is no longer listed and has neither a link nor requests in flight,
// so a host that is leaving keeps its view until its requests have ended.
func (agents *Agents) updateViews(members, wanted []hosts.Host, now time.Time) {
	listed := map[string]hosts.Host{}
	for _, host := range members {
		listed[host.Name] = host
	}
	agents.members = listed
	for _, host := range wanted {
		if _, known := agents.views[host.Name]; !known {
			// The silence limit starts now, as if a message had just arrived.
			agents.views[host.Name] = &agentView{host: host, observation: hosts.Observation{}.WithMessage(now)}
		}
	}
	for name, view := range agents.views {
		host, present := listed[name]
		if present {
			view.host = host
		} else if view.inFlight == 0 && view.peer == nil {
			delete(agents.views, name)
		}
	}
}

// handleLinkOpened records a new link to an agent and discards the state that
// an earlier incarnation of the agent reported.
func (agents *Agents) handleLinkOpened(name string, peer Peer) {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	view, known := agents.views[name]
	if !known {
		return
	}
	if view.state.Incarnation != peer.Peer().Incarnation {
		view.state, view.stateReceivedAt = AgentState{}, time.Time{}
	}
	view.peer, view.observation = peer, view.observation.WithMessage(time.Now())
	agents.signalLinkOpened()
	go agents.clearLinkWhenClosed(name, peer)
}

// clearLinkWhenClosed waits until the link has ended and then removes it from
// the agent's view.
func (agents *Agents) clearLinkWhenClosed(name string, peer Peer) {
	<-peer.Done()
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	view, known := agents.views[name]
	if known && view.peer == peer {
		view.peer = nil
	}
}

func (agents *Agents) signalLinkOpened() {
	close(agents.linkOpened)
	agents.linkOpened = make(chan struct{})
}

func (agents *Agents) handleState(peer Peer, state AgentState) {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	view, known := agents.views[peer.Peer().Name]
	if !known || state.Incarnation != peer.Peer().Incarnation {
		return
	}
	now := time.Now()
	view.state, view.stateReceivedAt = state, now
	view.observation = view.observation.WithMessage(now).WithDrain(state.State == StateDraining)
	view.updateLoad(state.Running + state.Queued)
}

func (view *agentView) updateLoad(load int) {
	view.reportedLoad, view.inFlightAtReport = load, view.inFlight
	view.othersLoad = backends.SmoothOthersLoad(view.othersLoad, load, view.inFlight)
}

// recordLoad records the load that an agent reported with an answer.
func (agents *Agents) recordLoad(name string, load Load) {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	if view, known := agents.views[name]; known && load.Slots > 0 {
		view.state.Slots = load.Slots
		view.updateLoad(load.Running + load.Queued)
	}
}

// reserve selects an agent, other than those already tried, and counts a
// request as in flight there. If version is set, only an agent that serves it
// is selected, because no other version may continue the stream.
func (agents *Agents) reserve(deployment, version string, tried map[string]bool, now time.Time) (*reservation, bool) {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	candidates := agents.candidates(deployment, version, tried, now)
	agents.turn++
	index := backends.Choose(agents.policy, candidates, agents.turn, globalRandom{})
	if index < 0 {
		return nil, false
	}
	view := agents.views[candidates[index].Name]
	view.inFlight++
	return &reservation{
		agents:      agents,
		name:        view.host.Name,
		incarnation: view.peer.Peer().Incarnation,
		version:     view.state.Version,
		peer:        view.peer,
	}, true
}

func (agents *Agents) candidates(deployment, version string, tried map[string]bool, now time.Time) []backends.Candidate {
	var fresh, stale []backends.Candidate
	for _, name := range agents.subsets[deployment] {
		view := agents.views[name]
		if view == nil || tried[name] || !view.usable(deployment, version) {
			continue
		}
		candidate := backends.Candidate{
			Name: name, Slots: view.state.Slots, InFlight: view.inFlight, ReportedLoad: view.reportedLoad, InFlightAtReport: view.inFlightAtReport, OthersLoad: view.othersLoad,
		}
		if now.Sub(view.stateReceivedAt) > staleStateAge {
			stale = append(stale, candidate)
		} else {
			fresh = append(fresh, candidate)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return stale
}

func (view *agentView) usable(deployment, version string) bool {
	return view.peer != nil && !view.host.Leaving &&
		view.state.State == StateServing && view.state.Deployment == deployment &&
		(version == "" || version == view.state.Version)
}

// release ends the reservation.
func (reserved *reservation) release() {
	reserved.agents.mutex.Lock()
	defer reserved.agents.mutex.Unlock()
	if view, known := reserved.agents.views[reserved.name]; known {
		view.inFlight--
	}
}

// awaitNewLink waits until there is a link to the agent other than previous and
// returns it.
func (agents *Agents) awaitNewLink(ctx context.Context, name string, previous Peer) (Peer, error) {
	for {
		agents.mutex.Lock()
		view, changed := agents.views[name], agents.linkOpened
		var peer Peer
		if view != nil {
			peer = view.peer
		}
		agents.mutex.Unlock()
		if peer != nil && peer != previous {
			return peer, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

// connect returns a link to any listed agent. For an agent outside the subsets
// it dials a temporary link, which done closes.
func (agents *Agents) connect(ctx context.Context, name string) (peer Peer, done func(), err error) {
	agents.mutex.Lock()
	view, host := agents.views[name], agents.members[name]
	if view != nil {
		peer = view.peer
	}
	agents.mutex.Unlock()
	if peer != nil {
		return peer, func() {}, nil
	}
	if host.Address == "" || agents.dial == nil {
		return nil, nil, errors.New("agent " + name + " is not listed")
	}
	peer, err = agents.dial(ctx, host.Address)
	if err != nil {
		return nil, nil, err
	}
	return peer, peer.Close, nil
}

// CountServing returns the number of agents that can take requests of the
// deployment.
func (agents *Agents) CountServing(deployment string) int {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	return len(agents.candidates(deployment, "", nil, time.Now()))
}

// globalRandom is the process's random source, which is safe for concurrent
// use.
type globalRandom struct{}

// IntN implements backends.RandomSource.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// Float64 implements backends.RandomSource.
func (globalRandom) Float64() float64 { return rand.Float64() }
