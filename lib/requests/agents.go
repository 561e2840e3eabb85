package requests

// What an entry knows of the agents: which of them it is connected to, what
// they stated last, and what it has in flight there itself. The decisions are
// made in package backends; this file feeds them from links and the clock.

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

// An agent states its load each second. One that has missed two statements is
// passed over while there are others.
const quietLimit = 2500 * time.Millisecond

type (
	// Agents is an entry's view of the agents. It is safe for concurrent use.
	Agents struct {
		self   hosts.Host
		policy backends.Policy
		keep   func(wanted []hosts.Host)
		dial   func(ctx context.Context, address string) (Peer, error)

		mutex   sync.Mutex
		members map[string]hosts.Host
		views   map[string]*agentView
		subsets map[string][]string
		turn    uint64
		changed chan struct{}
	}

	agentView struct {
		host     hosts.Host
		peer     Peer
		sighting hosts.Sighting
		state    AgentState
		stateAt  time.Time
		own      int
		reported int
		ownThen  int
		others   float64
	}

	// lease is a request in flight at an agent.
	lease struct {
		agents      *Agents
		name        string
		incarnation string
		version     string
		peer        Peer
	}
)

// NewAgents returns the view of the entry self. Its links are kept by a pool
// that lives as long as the context, and its agent.state handler is registered
// with the router of the options.
func NewAgents(ctx context.Context, self hosts.Host, policy backends.Policy, options links.Options) *Agents {
	agents := newAgents(self, policy)
	pool := links.NewPool(ctx, options, func(host hosts.Host, link *links.Link) {
		agents.opened(host.Name, link)
	})
	agents.keep = pool.SetHosts
	agents.dial = func(ctx context.Context, address string) (Peer, error) {
		return links.Dial(ctx, address, options)
	}
	OnAgentState(options.Router, func(link *links.Link, state AgentState) { agents.stated(link, state) })
	return agents
}

func newAgents(self hosts.Host, policy backends.Policy) *Agents {
	return &Agents{
		self:    self,
		policy:  policy,
		keep:    func([]hosts.Host) {},
		views:   map[string]*agentView{},
		subsets: map[string][]string{},
		changed: make(chan struct{}),
	}
}

// Update chooses the subsets anew from the platform's list and the
// configuration. Call it when either has changed, and each second, so that
// suspected agents are replaced.
func (agents *Agents) Update(members []hosts.Host, snapshot configurations.Snapshot) {
	wanted := agents.choose(members, snapshot, time.Now())
	agents.keep(wanted)
}

func (agents *Agents) choose(members []hosts.Host, snapshot configurations.Snapshot, now time.Time) []hosts.Host {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	var wanted []hosts.Host
	subsets := map[string][]string{}
	for _, deployment := range configurations.All[configurations.Deployment](snapshot) {
		routing, _, _ := configurations.Lookup[configurations.Routing](snapshot, deployment.Name)
		suspects := backends.SuspectedAgents(agents.sighted(deployment.Name), now)
		subset := backends.Subset(agents.self, deployment.Name, routing.Spill, members, func(name string) bool { return suspects[name] })
		for _, host := range subset {
			subsets[deployment.Name] = append(subsets[deployment.Name], host.Name)
		}
		wanted = append(wanted, subset...)
	}
	agents.subsets = subsets
	agents.adopt(members, wanted, now)
	return append(wanted, agents.busy(wanted)...)
}

// busy returns the hosts outside the wanted ones where requests of this entry
// are in progress. Their links stay, or the requests would be cut off.
func (agents *Agents) busy(wanted []hosts.Host) []hosts.Host {
	among := map[string]bool{}
	for _, host := range wanted {
		among[host.Name] = true
	}
	var list []hosts.Host
	for name, view := range agents.views {
		if view.own > 0 && !among[name] {
			list = append(list, view.host)
		}
	}
	return list
}

func (agents *Agents) sighted(deployment string) []backends.ObservedAgent {
	var list []backends.ObservedAgent
	for _, name := range agents.subsets[deployment] {
		if view, known := agents.views[name]; known {
			list = append(list, backends.ObservedAgent{Host: view.host, Sighting: view.sighting})
		}
	}
	return list
}

// adopt makes the views those of the wanted hosts. A host that is leaving keeps
// its view, because requests are still in progress there.
func (agents *Agents) adopt(members, wanted []hosts.Host, now time.Time) {
	listed := map[string]hosts.Host{}
	for _, host := range members {
		listed[host.Name] = host
	}
	agents.members = listed
	for _, host := range wanted {
		if _, known := agents.views[host.Name]; !known {
			// A new agent has until the silence limit to be reached.
			agents.views[host.Name] = &agentView{host: host, sighting: hosts.Sighting{}.WithMessage(now)}
		}
	}
	for name, view := range agents.views {
		host, present := listed[name]
		if present {
			view.host = host
		} else if view.own == 0 && view.peer == nil {
			delete(agents.views, name)
		}
	}
}

// opened takes in a new link to an agent and clears what an earlier
// incarnation has stated.
func (agents *Agents) opened(name string, peer Peer) {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	view, known := agents.views[name]
	if !known {
		return
	}
	if view.state.Incarnation != peer.Peer().Incarnation {
		view.state, view.stateAt = AgentState{}, time.Time{}
	}
	view.peer, view.sighting = peer, view.sighting.WithMessage(time.Now())
	agents.broadcast()
	go agents.watch(name, peer)
}

// watch notes the end of a link.
func (agents *Agents) watch(name string, peer Peer) {
	<-peer.Done()
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	view, known := agents.views[name]
	if known && view.peer == peer {
		view.peer = nil
	}
}

func (agents *Agents) broadcast() {
	close(agents.changed)
	agents.changed = make(chan struct{})
}

func (agents *Agents) stated(peer Peer, state AgentState) {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	view, known := agents.views[peer.Peer().Name]
	if !known || state.Incarnation != peer.Peer().Incarnation {
		return
	}
	now := time.Now()
	view.state, view.stateAt = state, now
	view.sighting = view.sighting.WithMessage(now).WithDrain(state.State == StateDraining)
	view.report(state.Running + state.Queued)
}

func (view *agentView) report(load int) {
	view.reported, view.ownThen = load, view.own
	view.others = backends.SmoothOthersLoad(view.others, load, view.own)
}

// noted takes in the load that came with an answer.
func (agents *Agents) noted(name string, load Load) {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	if view, known := agents.views[name]; known && load.Slots > 0 {
		view.state.Slots = load.Slots
		view.report(load.Running + load.Queued)
	}
}

// pick chooses an agent for a request that the tried ones have not answered.
// version, where it is set, is the only one that may continue a stream.
func (agents *Agents) pick(deployment, version string, tried map[string]bool, now time.Time) (*lease, bool) {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	candidates := agents.candidates(deployment, version, tried, now)
	agents.turn++
	index := backends.Choose(agents.policy, candidates, agents.turn, chance{})
	if index < 0 {
		return nil, false
	}
	view := agents.views[candidates[index].Name]
	view.own++
	return &lease{
		agents:      agents,
		name:        view.host.Name,
		incarnation: view.peer.Peer().Incarnation,
		version:     view.state.Version,
		peer:        view.peer,
	}, true
}

func (agents *Agents) candidates(deployment, version string, tried map[string]bool, now time.Time) []backends.Candidate {
	var heard, quiet []backends.Candidate
	for _, name := range agents.subsets[deployment] {
		view := agents.views[name]
		if view == nil || tried[name] || !view.usable(deployment, version) {
			continue
		}
		candidate := backends.Candidate{
			Name: name, Slots: view.state.Slots, InFlight: view.own, ReportedLoad: view.reported, InFlightAtReport: view.ownThen, OthersLoad: view.others,
		}
		if now.Sub(view.stateAt) > quietLimit {
			quiet = append(quiet, candidate)
		} else {
			heard = append(heard, candidate)
		}
	}
	if len(heard) > 0 {
		return heard
	}
	return quiet
}

func (view *agentView) usable(deployment, version string) bool {
	return view.peer != nil && !view.host.Leaving &&
		view.state.State == StateServing && view.state.Deployment == deployment &&
		(version == "" || version == view.state.Version)
}

// release ends the request in flight.
func (held *lease) release() {
	held.agents.mutex.Lock()
	defer held.agents.mutex.Unlock()
	if view, known := held.agents.views[held.name]; known {
		view.own--
	}
}

// await returns a link to the agent other than the given one, as soon as there
// is one.
func (agents *Agents) await(ctx context.Context, name string, not Peer) (Peer, error) {
	for {
		agents.mutex.Lock()
		view, changed := agents.views[name], agents.changed
		var peer Peer
		if view != nil {
			peer = view.peer
		}
		agents.mutex.Unlock()
		if peer != nil && peer != not {
			return peer, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

// reach returns a link to any listed agent. For one outside the subsets it
// opens a link, which done closes.
func (agents *Agents) reach(ctx context.Context, name string) (peer Peer, done func(), err error) {
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

// CountServing returns the number of agents that may get requests of the deployment.
func (agents *Agents) CountServing(deployment string) int {
	agents.mutex.Lock()
	defer agents.mutex.Unlock()
	return len(agents.candidates(deployment, "", nil, time.Now()))
}

// chance is the process's random source, which is safe for concurrent use.
type chance struct{}

// IntN implements backends.Chance.
func (chance) IntN(n int) int { return rand.IntN(n) }

// Float64 implements backends.Chance.
func (chance) Float64() float64 { return rand.Float64() }
