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

// stateInterval is how often an agent sends its state to each entry.
const stateInterval = time.Second

// stateNotifier sends the agent's state to the entries that are linked with it,
// every second and immediately when it changes. It is safe for concurrent use.
type stateNotifier struct {
	incarnation   string
	deployment    string
	queueLoad     func() requests.Load
	configuration configurations.Source
	sendNow       chan struct{}

	mutex       sync.Mutex
	entryLinks  map[*links.Link]bool
	version     string
	admitting   bool
	draining    bool
	refusalCode string // Why the queue refuses new requests; empty if it admits them.
}

func newStateNotifier(agent *agent) *stateNotifier {
	return &stateNotifier{
		incarnation:   agent.self.Incarnation,
		deployment:    agent.settings.Deployment,
		queueLoad:     func() requests.Load { return agent.queue.Load() },
		configuration: agent.configuration,
		sendNow:       make(chan struct{}, 1),
		entryLinks:    map[*links.Link]bool{},
	}
}

// addLink adds a link that an entry opened, and removes it when it ends. It
// ignores other links.
func (notifier *stateNotifier) addLink(link *links.Link) {
	if link.Peer().Role != hosts.RoleEntry {
		return
	}
	notifier.mutex.Lock()
	notifier.entryLinks[link] = true
	notifier.mutex.Unlock()
	notifier.requestSend()
	go func() {
		<-link.Done()
		notifier.mutex.Lock()
		defer notifier.mutex.Unlock()
		delete(notifier.entryLinks, link)
	}()
}

// setServing sets the version that the agent serves and whether it admits
// requests.
func (notifier *stateNotifier) setServing(version string, serving bool) {
	notifier.mutex.Lock()
	notifier.version, notifier.admitting = version, serving
	notifier.mutex.Unlock()
	notifier.requestSend()
}

// setRefusalCode is called by the queue when its backend server is leaving,
// loading or unreachable, or accepts requests again.
func (notifier *stateNotifier) setRefusalCode(code string) {
	notifier.mutex.Lock()
	notifier.refusalCode = code
	notifier.mutex.Unlock()
	notifier.requestSend()
}

func (notifier *stateNotifier) setDraining() {
	notifier.mutex.Lock()
	notifier.draining = true
	notifier.mutex.Unlock()
	notifier.requestSend()
}

// isServing reports whether requests may be sent to the agent.
func (notifier *stateNotifier) isServing() bool {
	notifier.mutex.Lock()
	defer notifier.mutex.Unlock()
	return notifier.admitting && !notifier.draining && notifier.refusalCode == ""
}

// requestSend makes run send the state without waiting for the next interval.
func (notifier *stateNotifier) requestSend() {
	select {
	case notifier.sendNow <- struct{}{}:
	default:
	}
}

func (notifier *stateNotifier) run(ctx context.Context) {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-notifier.sendNow:
		}
		notifier.send()
	}
}

// send does not wait for the links: a write that blocks ends its link after the
// silence limit, and must not delay the state that other entries get.
func (notifier *stateNotifier) send() {
	state, entryLinks := notifier.currentState()
	for _, link := range entryLinks {
		go func() { _ = requests.NotifyAgentState(link, state) }()
	}
}

// currentState returns the state and the links to send it over.
func (notifier *stateNotifier) currentState() (requests.AgentState, []*links.Link) {
	load := notifier.queueLoad()
	entryLinks := notifier.links()
	notifier.mutex.Lock()
	defer notifier.mutex.Unlock()
	state := requests.AgentState{
		Incarnation: notifier.incarnation, Deployment: notifier.deployment, Version: notifier.version, State: requests.StateLoading,
		Running: load.Running, Queued: load.Queued, Slots: load.Slots, Revision: notifier.configuration.Current().Revision,
	}
	switch {
	case notifier.draining || notifier.refusalCode == requests.CodeLeaving:
		state.State = requests.StateDraining
	case notifier.admitting && notifier.refusalCode == "":
		state.State = requests.StateServing
	}
	return state, entryLinks
}

// links returns the open links to entries.
func (notifier *stateNotifier) links() []*links.Link {
	notifier.mutex.Lock()
	defer notifier.mutex.Unlock()
	open := make([]*links.Link, 0, len(notifier.entryLinks))
	for link := range notifier.entryLinks {
		open = append(open, link)
	}
	return open
}
