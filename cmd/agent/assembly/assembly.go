// Package assembly connects the libraries to an agent process. It makes no
// decisions itself: it opens the listeners, passes each component its
// dependencies and stops the components in an order that interrupts no request.
package assembly

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"firford/lib/admissions"
	"firford/lib/budgets"
	"firford/lib/components"
	"firford/lib/configurations"
	"firford/lib/departures"
	"firford/lib/engines"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
	"firford/lib/listeners"
	"firford/lib/logs"
	"firford/lib/metrics"
	"firford/lib/platform"
	"firford/lib/probes"
	"firford/lib/processes"
	"firford/lib/requests"
	"firford/lib/rollouts"
	"firford/lib/transfers"
	"firford/lib/weights"
)

const (
	// drainTimeout limits a drain whose requests do not end. It exceeds the longest
	// time budget that an entry accepts for a request.
	drainTimeout = 11 * time.Minute
	// idlePollInterval is how often a load of a version checks whether the last
	// running request has ended.
	idlePollInterval = 20 * time.Millisecond
	// stopTimeout is how long a drained agent waits for its components to end.
	stopTimeout = 5 * time.Second
)

// agent holds the components of one agent process.
type agent struct {
	settings      processes.Agent
	self          hosts.Host
	logger        *zap.Logger
	metrics       *metrics.Metrics
	checker       *invariants.LoggingChecker
	router        *links.Router
	options       links.Options
	watcher       *hosts.Watcher
	configuration *configurations.Node
	departures    *departures.Node
	queue         *admissions.Queue
	transfers     *transfers.Node
	loader        *rollouts.Loader
	stateNotifier *stateNotifier
	chunkListener net.Listener
}

// Run runs an agent until the context ends. It then drains the agent, so that
// the requests in flight finish, and stops.
func Run(ctx context.Context, settings processes.Agent) error {
	agent, err := newAgent(settings)
	if err != nil {
		return err
	}
	defer func() { _ = agent.metrics.Close() }()
	return agent.run(ctx)
}

func newAgent(settings processes.Agent) (*agent, error) {
	logger, err := logs.New(settings.LogLevel, settings.Name)
	if err != nil {
		return nil, err
	}
	incarnation := processes.NewIncarnation()
	agent := &agent{
		settings: settings,
		self:     settings.Host(incarnation),
		logger:   logger,
		metrics:  metrics.New("firford_agent"),
		router:   links.NewRouter(),
	}
	if agent.chunkListener, err = listeners.Listen(settings.ChunksAddress, "chunks", logger, agent.metrics.Scope); err != nil {
		return nil, fmt.Errorf("listen for chunks: %w", err)
	}
	agent.checker = invariants.New(logger, agent.metrics.Scope, settings.StopOnViolation)
	agent.options = settings.LinkOptions(hosts.RoleAgent, incarnation, agent.router, logger)
	agent.createComponents(platform.New(settings.PlatformAddress, string(settings.PlatformToken)))
	return agent, nil
}

// createComponents creates the components in the order of their dependencies.
func (agent *agent) createComponents(client *platform.Client) {
	agent.watcher = hosts.NewWatcher(client, agent.logger)
	agent.configuration = configurations.NewNode(configurations.Dependencies{
		Self: agent.self.Name, Table: client, Hosts: agent.watcher.Current, Links: agent.options,
		Checker: agent.checker, Logger: agent.logger, Scope: agent.metrics.Scope,
	})
	agent.options.HeartbeatPayload = agent.configuration.HeartbeatPayload
	agent.options.OnHeartbeat = agent.configuration.OnHeartbeat
	agent.departures = departures.New(departures.Dependencies{
		Self: agent.self.Name, Watcher: agent.watcher, Broadcast: agent.configuration.Broadcast, Logger: agent.logger,
	})
	engine := engines.New(engines.Options{Address: agent.settings.BackendServerAddress})
	agent.stateNotifier = newStateNotifier(agent)
	agent.queue = admissions.New(admissions.Dependencies{
		Deployment: agent.settings.Deployment, Backend: engine, Source: agent.configuration, OnAdmissionChange: agent.stateNotifier.setRefusalCode,
		Logger: agent.logger, Scope: agent.metrics.Scope, Checker: agent.checker,
	})
	agent.transfers = transfers.New(transfers.Dependencies{
		Self: agent.self, Links: agent.options, ChunkListener: agent.chunkListener,
		Store: weights.NewStore(agent.settings.Transfer.ChunkMemoryBytes), Origin: client.Weights(),
		Limits: transfers.Limits{
			UploadBytesPerS:   agent.settings.Transfer.UploadBytesPerSecond,
			DownloadBytesPerS: agent.settings.Transfer.DownloadBytesPerSecond,
			LinkShare:         agent.settings.Transfer.LinkShare,
			OriginBytesPerS:   agent.settings.Transfer.OriginBytesPerSecond,
			NeighbourCount:    agent.settings.Transfer.Neighbours,
		},
		Scope: agent.metrics.Scope, Logger: agent.logger, Checker: agent.checker,
		Seed: uint64(time.Now().UnixNano()),
	})
	agent.loader = rollouts.NewLoader(rollouts.Dependencies{
		Self: agent.self, Engine: loaderEngine{client: engine}, Table: client, Objects: client, Configuration: agent.configuration,
		ChangeConfiguration: agent.changeConfiguration, Chunks: chunkSource{agent: agent}, Hosts: agent.watcher.Current,
		OnServingChange: agent.setServing, Drain: agent.waitIdle, Checker: agent.checker, Scope: agent.metrics.Scope, Logger: agent.logger,
		Settings: rollouts.DefaultSettings(),
	})
	agent.registerHandlers()
}

// registerHandlers registers the methods that peers may call over a link, and
// the notifier for new links.
func (agent *agent) registerHandlers() {
	agent.configuration.Register(agent.router)
	agent.departures.Register(agent.router)
	agent.transfers.Register(agent.router)
	rollouts.Register(agent.router, agent.loader)
	requests.RegisterRunner(agent.router, agent.queue)
	agent.router.OnLink(agent.stateNotifier.addLink)
}

// setServing starts or stops admission of requests and notifies the entries.
func (agent *agent) setServing(version string, serving bool) {
	agent.queue.SetServing(version, serving)
	agent.stateNotifier.setServing(version, serving)
}

// waitIdle returns when no request runs on the backend server. The loader calls
// it after it has stopped admission, because some engines load another version
// without letting the running requests finish.
func (agent *agent) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for agent.queue.Load().Running > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// changeConfiguration commits a change that this agent makes to a rollout.
func (agent *agent) changeConfiguration(ctx context.Context, requestID string, object configurations.Object, revision int64) error {
	_, err := agent.configuration.Change(ctx, configurations.Request{
		ID: requestID, Operator: agent.self.Name, Kind: object.Kind(), Name: object.ObjectName(),
		Object: object, ExpectedRevision: revision,
	})
	return err
}

// run runs all components until the context or one of them ends. It then drains the
// queue before it stops them.
func (agent *agent) run(ctx context.Context) error {
	linkListener, err := listeners.Listen(agent.settings.LinksAddress, "links", agent.logger, agent.metrics.Scope)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	adminListener, err := listeners.Listen(agent.settings.AdminAddress, "probes", agent.logger, agent.metrics.Scope)
	if err != nil {
		return fmt.Errorf("listen for probes: %w", err)
	}
	adminListener.BoundUnread(budgets.UnreadBytes)
	group := components.New(ctx, agent.logger)
	group.Go("links", func(ctx context.Context) error { return links.Serve(ctx, linkListener, agent.options) })
	group.Go("probes", func(ctx context.Context) error {
		return probes.New(probes.Dependencies{Ready: agent.readiness, Metrics: agent.metrics.Handler, TLS: agent.settings.TLS.ListenerConfig(), Logger: agent.logger, Scope: agent.metrics.Scope}).Serve(ctx, adminListener)
	})
	group.Go("transfers", agent.transfers.Run)
	group.Go("loader", agent.loader.Run)
	group.Loop("hosts", agent.watcher.Run)
	group.Loop("configuration", agent.configuration.Run)
	group.Loop("departures", agent.departures.Run)
	group.Loop("state", agent.stateNotifier.run)
	group.Loop("leaving", agent.drainWhenLeaving)
	group.Loop("request traffic", agent.followRequestTraffic)
	agent.logger.Info("started", zap.String("incarnation", agent.self.Incarnation), zap.String("deployment", agent.settings.Deployment))
	<-group.Stopping().Done()
	agent.drain(context.Background())
	err = group.Stop(time.Now().Add(stopTimeout))
	agent.queue.Close()
	agent.logger.Info("stopped", zap.Error(err))
	return err
}

// readiness reports whether the agent has a configuration and serves the
// intended version, and the reason if it does not.
func (agent *agent) readiness() (bool, string) {
	switch {
	case agent.configuration.Current().Revision == 0:
		return false, "no configuration is in force"
	case !agent.stateNotifier.isServing():
		return false, "the backend server does not serve the intended version"
	default:
		return true, "ready"
	}
}

// drain refuses new requests and returns when the running ones have ended or
// drainTimeout has passed.
func (agent *agent) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	agent.stateNotifier.setDraining()
	agent.logger.Info("draining")
	if err := agent.queue.Drain(ctx); err != nil {
		agent.logger.Error("drain did not complete", zap.Error(err))
		return
	}
	agent.logger.Info("drained")
}

// drainWhenLeaving drains the agent once, when the platform lists its host as
// leaving. A hint from another process is not enough, because a drain can't be
// undone. The agent stays until it is told to stop.
func (agent *agent) drainWhenLeaving(ctx context.Context) {
	for {
		_, changed := agent.watcher.Changed()
		if self, _ := agent.watcher.ListedHost(agent.self.Name); self.Leaving {
			agent.drain(ctx)
			<-ctx.Done()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
