// Package assembly connects the libraries to an entry process. It makes no
// decisions itself: it opens the listeners, passes each component its
// dependencies and stops the components in an order that interrupts no request.
package assembly

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/backends"
	"firford/lib/budgets"
	"firford/lib/burns"
	"firford/lib/components"
	"firford/lib/configurations"
	"firford/lib/departures"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
	"firford/lib/listeners"
	"firford/lib/logs"
	"firford/lib/metrics"
	"firford/lib/operators"
	"firford/lib/platform"
	"firford/lib/probes"
	"firford/lib/processes"
	"firford/lib/requests"
)

const (
	// agentUpdateInterval is how often the subsets of agents are chosen anew, so
	// that agents suspected of having failed are replaced.
	agentUpdateInterval = time.Second
	// stopTimeout is how long an entry without requests waits for its components to end.
	stopTimeout = 5 * time.Second
)

// entry holds the components of one entry process.
type entry struct {
	settings      processes.Entry
	self          hosts.Host
	logger        *zap.Logger
	metrics       *metrics.Metrics
	checker       *invariants.LoggingChecker
	router        *links.Router
	options       links.Options
	watcher       *hosts.Watcher
	configuration *configurations.Node
	departures    *departures.Node
	agents        *requests.Agents
	claims        *requests.ClaimStore
	apiServer     *requests.APIServer
	platform      *platform.Client
	burnRecorder  *burns.Recorder
	operators     *operators.Server
}

// Run runs an entry until the context ends and its requests in flight have
// finished.
func Run(ctx context.Context, settings processes.Entry) error {
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	entry, err := newEntry(runCtx, settings)
	if err != nil {
		return err
	}
	defer func() { _ = entry.metrics.Close() }()
	return entry.run(ctx)
}

func newEntry(runCtx context.Context, settings processes.Entry) (*entry, error) {
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
	entry.createComponents(runCtx, platform.New(settings.PlatformAddress, string(settings.PlatformToken)))
	return entry, nil
}

// createComponents creates the components in the order of their dependencies.
func (entry *entry) createComponents(runCtx context.Context, client *platform.Client) {
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
	entry.burnRecorder = burns.NewRecorder(entry.configuration, entry.metrics.Scope, entry.logger)
	burns.Register(entry.router, entry.burnRecorder)
	entry.agents = requests.NewAgents(runCtx, entry.self, backends.DefaultPolicy(), entry.options)
	entry.claims = requests.NewClaimStore(client)
	dispatcher := requests.NewDispatcher(entry.agents, requests.NewClient(entry.router), entry.claims, entry.checker, entry.logger)
	entry.apiServer = requests.NewAPIServer(requests.Dependencies{
		Callers: budgets.New(budgets.HostLimits(), entry.logger, entry.metrics.Scope.Tagged(map[string]string{"listener": "callers"})),
		TLS:     entry.settings.TLS.ListenerConfig(),
		Source:  entry.configuration, Dispatcher: dispatcher, CountLiveEntries: entry.countLiveEntries,
		Observer: burnObserver{recorder: entry.burnRecorder},
		Scope:    entry.metrics.Scope, Logger: entry.logger,
	})
	entry.operators = operators.NewServer(operators.Dependencies{
		Configuration: entry.configuration, Authenticator: entry.settings.OperatorTokens, EngineLister: engineLister{entry: entry},
		StatusQuerier: statusQuerier{entry: entry}, BurnReporter: burnReporter{entry: entry}, TLS: entry.settings.TLS.ListenerConfig(), Logger: entry.logger,
	})
}

// countLiveEntries returns how many entries share an organisation's limits.
func (entry *entry) countLiveEntries() int {
	live := hosts.Select(entry.watcher.Current(), func(host hosts.Host) bool {
		return host.Role == hosts.RoleEntry && !host.Leaving
	})
	return max(1, len(live))
}

// run runs all components until the context or one of them ends, lets the requests in
// flight finish, and then stops the components.
func (entry *entry) run(ctx context.Context) error {
	open, err := entry.listen()
	if err != nil {
		return err
	}
	group := components.New(ctx, entry.logger)
	acceptCtx := group.Stopping()
	group.Go("links", func(ctx context.Context) error { return links.Serve(ctx, open.links, entry.options) })
	group.Go("probes", func(ctx context.Context) error {
		return probes.New(probes.Dependencies{
			Ready: entry.readiness(acceptCtx), Metrics: entry.metrics.Handler, TLS: entry.settings.TLS.ListenerConfig(), Logger: entry.logger, Scope: entry.metrics.Scope,
		}).Serve(ctx, open.admin)
	})
	group.Loop("hosts", entry.watcher.Run)
	group.Loop("configuration", entry.configuration.Run)
	group.Loop("departures", entry.departures.Run)
	group.Loop("claims", entry.claims.Run)
	group.Loop("links to agents", entry.updateAgents)
	group.Loop("rollout times", entry.recordRolloutTimes)
	group.Loop("burn records", func(ctx context.Context) {
		entry.burnRecorder.Run(ctx, burns.NewArchive(entry.self.Name, entry.platform, entry.platform))
	})
	var servers sync.WaitGroup
	servers.Add(2)
	group.Go("operators", func(context.Context) error {
		defer servers.Done()
		return entry.operators.Serve(acceptCtx, open.operators)
	})
	group.Go("callers", func(context.Context) error {
		defer servers.Done()
		return entry.apiServer.Serve(acceptCtx, open.callers)
	})
	entry.logger.Info("started", zap.String("incarnation", entry.self.Incarnation))
	<-acceptCtx.Done()
	servers.Wait() // They answer the requests in flight first.
	err = group.Stop(time.Now().Add(stopTimeout))
	entry.logger.Info("stopped", zap.Error(err))
	return err
}

// readiness returns the check by which the load balancer decides whether to send
// callers to this entry.
func (entry *entry) readiness(acceptCtx context.Context) probes.Readiness {
	return func() (bool, string) {
		switch {
		case acceptCtx.Err() != nil:
			return false, "the entry is shutting down"
		case entry.configuration.Current().Revision == 0:
			return false, "no configuration is in force"
		default:
			return true, "ready"
		}
	}
}

// updateAgents chooses the agents to keep links to, once per agentUpdateInterval
// and whenever the hosts or the configuration change.
func (entry *entry) updateAgents(ctx context.Context) {
	ticker := time.NewTicker(agentUpdateInterval)
	defer ticker.Stop()
	for {
		allHosts, hostsChanged := entry.watcher.Changed()
		entry.agents.Update(allHosts, entry.configuration.Current())
		revisionChanged := make(chan struct{})
		waitCtx, cancelWait := context.WithCancel(ctx)
		go func() {
			defer close(revisionChanged)
			_, _ = entry.configuration.Wait(waitCtx, entry.configuration.Current().Revision)
		}()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-hostsChanged:
		case <-revisionChanged:
		}
		cancelWait()
		if ctx.Err() != nil {
			return
		}
	}
}

// endpoints holds one listener for each interface of an entry.
type endpoints struct {
	links, admin, callers, operators net.Listener
}

// listen opens the listeners, without TLS, which the servers apply themselves.
func (entry *entry) listen() (endpoints, error) {
	var open endpoints
	for _, endpoint := range []struct {
		name, address string
		facesCallers  bool
		target        *net.Listener
	}{
		{"links", entry.settings.LinksAddress, false, &open.links},
		{"probes", entry.settings.AdminAddress, true, &open.admin},
		{"callers", entry.settings.CallersAddress, true, &open.callers},
		{"operators", entry.settings.OperatorsAddress, false, &open.operators},
	} {
		listener, err := listeners.Listen(endpoint.address, endpoint.name, entry.logger, entry.metrics.Scope)
		if err != nil {
			return open, fmt.Errorf("listen for %s: %w", endpoint.name, err)
		}
		if endpoint.facesCallers {
			listener.BoundUnread(budgets.UnreadBytes)
		}
		*endpoint.target = listener
	}
	return open, nil
}
