// Package assembly joins the libraries into an entry. It holds no decisions of
// its own: it opens listeners, hands each part what it needs and ends them in an
// order that cuts off no request.
package assembly

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"firford/lib/backends"
	"firford/lib/burns"
	"firford/lib/configurations"
	"firford/lib/departures"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
	"firford/lib/logs"
	"firford/lib/metrics"
	"firford/lib/operators"
	"firford/lib/platform"
	"firford/lib/probes"
	"firford/lib/processes"
	"firford/lib/requests"
)

const (
	// updateInterval is how often the subsets of agents are chosen anew, so that
	// suspected agents are replaced.
	updateInterval = time.Second
)

// entry holds the parts of one process.
type entry struct {
	settings      processes.Entry
	self          hosts.Host
	logger        *zap.Logger
	metrics       *metrics.Metrics
	checker       *invariants.Checker
	router        *links.Router
	options       links.Options
	watcher       *hosts.Watcher
	configuration *configurations.Node
	departures    *departures.Node
	agents        *requests.Agents
	claims        *requests.ClaimStore
	front         *requests.APIServer
	platform      *platform.Client
	burn          *burns.Recorder
	operators     *operators.Server
}

// Run runs an entry until the context ends and its requests have finished.
func Run(ctx context.Context, settings processes.Entry) error {
	alive, end := context.WithCancel(context.Background())
	defer end()
	entry, err := newEntry(alive, settings)
	if err != nil {
		return err
	}
	defer func() { _ = entry.metrics.Close() }()
	return entry.run(ctx, alive, end)
}

func newEntry(alive context.Context, settings processes.Entry) (*entry, error) {
	logger, err := logs.New(settings.LogLevel, settings.Name)
	if err != nil {
		return nil, err
	}
	incarnation := processes.NewIncarnation()
	entry := &entry{
		settings: settings,
		self:     settings.Host(incarnation),
		logger:   logger,
		metrics:  metrics.New("firford_entry"),
		router:   links.NewRouter(),
	}
	entry.checker = invariants.New(logger, entry.metrics.Scope, settings.StopOnViolation)
	entry.options = settings.LinkOptions(hosts.RoleEntry, incarnation, entry.router, logger)
	entry.join(alive, platform.New(settings.PlatformAddress, string(settings.PlatformToken)))
	return entry, nil
}

// join creates the parts in the order in which they depend on each other.
func (entry *entry) join(alive context.Context, client *platform.Client) {
	entry.watcher = hosts.NewWatcher(client, entry.logger)
	entry.configuration = configurations.NewNode(configurations.Dependencies{
		Self: entry.self.Name, Table: client, Hosts: entry.watcher.Current, Links: entry.options,
		Checker: entry.checker, Logger: entry.logger, Scope: entry.metrics.Scope,
	})
	entry.options.HeartbeatPayload = entry.configuration.HeartbeatPayload
	entry.options.OnHeartbeat = entry.configuration.OnHeartbeat
	entry.configuration.Register(entry.router)
	entry.departures = departures.New(departures.Dependencies{
		Self: entry.self.Name, Watcher: entry.watcher, Broadcast: entry.configuration.Broadcast, Logger: entry.logger,
	})
	entry.departures.Register(entry.router)
	entry.platform = client
	entry.burn = burns.NewRecorder(entry.configuration, entry.metrics.Scope, entry.logger)
	burns.Register(entry.router, entry.burn)
	entry.agents = requests.NewAgents(alive, entry.self, backends.DefaultPolicy(), entry.options)
	entry.claims = requests.NewClaimStore(client)
	dispatcher := requests.NewDispatcher(entry.agents, requests.NewClient(entry.router), entry.claims, entry.checker, entry.logger)
	entry.front = requests.NewAPIServer(requests.Dependencies{
		Source: entry.configuration, Dispatcher: dispatcher, CountLiveEntries: entry.liveEntries,
		Observer: burnObserver{recorder: entry.burn},
		Scope:    entry.metrics.Scope, Logger: entry.logger,
	})
	entry.operators = operators.NewServer(operators.Dependencies{
		Configuration: entry.configuration, Authenticator: entry.settings.OperatorTokens, EngineLister: engineLister{entry: entry},
		StatusQuerier: surveyor{entry: entry}, BurnReporter: burnReporter{entry: entry}, TLS: entry.listenerTLS(), Logger: entry.logger,
	})
}

func (entry *entry) listenerTLS() *tls.Config {
	if entry.settings.TLS == nil {
		return nil
	}
	return entry.settings.TLS.ListenerConfig()
}

// liveEntries returns how many entries share an organisation's limits.
func (entry *entry) liveEntries() int {
	live := hosts.Select(entry.watcher.Current(), func(host hosts.Host) bool {
		return host.Role == hosts.RoleEntry && !host.Leaving
	})
	return max(1, len(live))
}

// run runs all parts until the context ends, lets the requests in progress
// finish, then ends the parts.
func (entry *entry) run(ctx, alive context.Context, end context.CancelFunc) error {
	listeners, err := entry.listen()
	if err != nil {
		return err
	}
	group, alive := errgroup.WithContext(alive)
	accepting, refuse := context.WithCancel(alive)
	stop := context.AfterFunc(ctx, refuse)
	defer stop()
	group.Go(func() error { return links.Serve(alive, listeners.links, entry.options) })
	group.Go(func() error {
		return probes.New(entry.ready(accepting), entry.metrics.Handler).Serve(alive, listeners.admin)
	})
	group.Go(func() error { entry.watcher.Run(alive); return nil })
	group.Go(func() error { entry.configuration.Run(alive); return nil })
	group.Go(func() error { entry.departures.Run(alive); return nil })
	group.Go(func() error { entry.claims.Serve(alive); return nil })
	group.Go(func() error { entry.followAgents(alive); return nil })
	group.Go(func() error { entry.followRollouts(alive); return nil })
	group.Go(func() error {
		entry.burn.Run(alive, burns.NewArchive(entry.self.Name, entry.platform, entry.platform))
		return nil
	})
	group.Go(func() error { return entry.operators.Serve(accepting, listeners.operators) })
	group.Go(func() error {
		defer end()
		return entry.front.Serve(accepting, listeners.callers)
	})
	entry.logger.Info("started", zap.String("incarnation", entry.self.Incarnation))
	err = group.Wait()
	entry.logger.Info("stopped", zap.Error(err))
	return err
}

// ready tells the load balancer whether to send callers here.
func (entry *entry) ready(accepting context.Context) probes.Readiness {
	return func() (bool, string) {
		switch {
		case accepting.Err() != nil:
			return false, "the entry is shutting down"
		case entry.configuration.Current().Revision == 0:
			return false, "no configuration is in force"
		default:
			return true, "ready"
		}
	}
}

// followAgents chooses the agents to be linked with whenever the hosts or the
// configuration change.
func (entry *entry) followAgents(ctx context.Context) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		members, changed := entry.watcher.Changed()
		entry.agents.Update(members, entry.configuration.Current())
		revision := make(chan struct{})
		waiting, cancel := context.WithCancel(ctx)
		go func() {
			defer close(revision)
			_, _ = entry.configuration.Wait(waiting, entry.configuration.Current().Revision)
		}()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-changed:
		case <-revision:
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
	}
}

// listeners holds one listener for each interface of an entry.
type listeners struct {
	links, admin, callers, operators net.Listener
}

func (entry *entry) listen() (listeners, error) {
	var open listeners
	for _, each := range []struct {
		address string
		target  *net.Listener
	}{
		{entry.settings.LinksAddress, &open.links},
		{entry.settings.AdminAddress, &open.admin},
		{entry.settings.CallersAddress, &open.callers},
		{entry.settings.OperatorsAddress, &open.operators},
	} {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return open, fmt.Errorf("listen: %w", err)
		}
		*each.target = listener
	}
	if entry.settings.TLS != nil {
		open.callers = tls.NewListener(open.callers, entry.settings.TLS.ListenerConfig())
		open.admin = tls.NewListener(open.admin, entry.settings.TLS.ListenerConfig())
	}
	return open, nil
}
