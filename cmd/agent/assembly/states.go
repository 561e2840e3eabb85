package assembly

import (
	"context"
	"sync"
	"time"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/links"
	"firford/lib/requests"
)

// stateInterval is how often an agent states its load to each entry.
const stateInterval = time.Second

// stateFeed tells the entries that are linked to this agent its state, each
// second and at once when it changes. It is safe for concurrent use.
type stateFeed struct {
	incarnation string
	deployment  string
	load        func() requests.Load
	source      configurations.Source
	changed     chan struct{}

	mutex    sync.Mutex
	entries  map[*links.Link]bool
	version  string
	admits   bool
	draining bool
	refusing string // Why the queue takes no new requests; empty if it does.
}

func newStateFeed(agent *agent) *stateFeed {
	return &stateFeed{
		incarnation: agent.self.Incarnation,
		deployment:  agent.settings.Deployment,
		load:        func() requests.Load { return agent.queue.Load() },
		source:      agent.configuration,
		changed:     make(chan struct{}, 1),
		entries:     map[*links.Link]bool{},
	}
}

// add registers a link if an entry has opened it.
func (feed *stateFeed) add(link *links.Link) {
	if link.Peer().Role != hosts.RoleEntry {
		return
	}
	feed.mutex.Lock()
	feed.entries[link] = true
	feed.mutex.Unlock()
	feed.wake()
	go func() {
		<-link.Done()
		feed.mutex.Lock()
		defer feed.mutex.Unlock()
		delete(feed.entries, link)
	}()
}

func (feed *stateFeed) setServing(version string, serving bool) {
	feed.mutex.Lock()
	feed.version, feed.admits = version, serving
	feed.mutex.Unlock()
	feed.wake()
}

// setRefusing is told by the queue when its backend server leaves, loads, is
// not reachable, or takes requests again.
func (feed *stateFeed) setRefusing(code string) {
	feed.mutex.Lock()
	feed.refusing = code
	feed.mutex.Unlock()
	feed.wake()
}

func (feed *stateFeed) setDraining() {
	feed.mutex.Lock()
	feed.draining = true
	feed.mutex.Unlock()
	feed.wake()
}

func (feed *stateFeed) serving() bool {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	return feed.admits && !feed.draining && feed.refusing == ""
}

func (feed *stateFeed) wake() {
	select {
	case feed.changed <- struct{}{}:
	default:
	}
}

func (feed *stateFeed) run(ctx context.Context) {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-feed.changed:
		}
		feed.send()
	}
}

// send does not wait for the links: a write that blocks ends its link after the
// silence limit, and must not delay the statement to the others.
func (feed *stateFeed) send() {
	state, entries := feed.current()
	for _, link := range entries {
		go func() { _ = requests.NotifyAgentState(link, state) }()
	}
}

func (feed *stateFeed) current() (requests.AgentState, []*links.Link) {
	load := feed.load()
	entries := feed.links()
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	state := requests.AgentState{
		Incarnation: feed.incarnation, Deployment: feed.deployment, Version: feed.version, State: requests.StateLoading,
		Running: load.Running, Queued: load.Queued, Slots: load.Slots, Revision: feed.source.Current().Revision,
	}
	switch {
	case feed.draining || feed.refusing == requests.CodeLeaving:
		state.State = requests.StateDraining
	case feed.admits && feed.refusing == "":
		state.State = requests.StateServing
	}
	return state, entries
}

// links returns the open links of entries.
func (feed *stateFeed) links() []*links.Link {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	entries := make([]*links.Link, 0, len(feed.entries))
	for link := range feed.entries {
		entries = append(entries, link)
	}
	return entries
}
