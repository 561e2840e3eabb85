// Package assembly joins the libraries into an agent. It holds no decisions of
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

	"firford/lib/admissions"
	"firford/lib/configurations"
	"firford/lib/departures"
	"firford/lib/engines"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
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
	// drainLimit ends a shutdown whose requests don't end. It is above the longest
	// budget that an entry accepts.
	drainLimit = 11 * time.Minute
	// idlePoll is how often a load looks whether the last request has ended.
	idlePoll = 20 * time.Millisecond
)

// agent holds the parts of one process.
type agent struct {
	settings      processes.Agent
	self          hosts.Host
	logger        *zap.Logger
	metrics       *metrics.Metrics
	checker       *invariants.Checker
	router        *links.Router
	options       links.Options
	watcher       *hosts.Watcher
	configuration *configurations.Node
	departures    *departures.Node
	queue         *admissions.Queue
	transfers     *transfers.Node
	loader        *rollouts.Loader
	states        *stateFeed
	chunks        net.Listener
}

// Run runs an agent until the context ends and its requests have finished.
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
	chunks, err := net.Listen("tcp", settings.Chunks)
	if err != nil {
		return nil, fmt.Errorf("listen for chunks: %w", err)
	}
	incarnation := processes.NewIncarnation()
	agent := &agent{
		settings: settings,
		self:     settings.Host(incarnation),
		logger:   logger,
		metrics:  metrics.New("firford_agent"),
		router:   links.NewRouter(),
		chunks:   chunks,
	}
	agent.checker = invariants.New(logger, agent.metrics.Scope, settings.StopOnViolation)
	agent.options = settings.Options(hosts.RoleAgent, incarnation, agent.router, logger)
	agent.join(platform.New(settings.PlatformAddress, string(settings.PlatformToken)))
	return agent, nil
}

// join creates the parts in the order in which they depend on each other.
func (agent *agent) join(client *platform.Client) {
	agent.watcher = hosts.NewWatcher(client, agent.logger)
	agent.configuration = configurations.NewNode(configurations.Dependencies{
		Self: agent.self.Name, Table: client, Hosts: agent.watcher.Current, Links: agent.options,
		Checker: agent.checker, Logger: agent.logger, Scope: agent.metrics.Scope,
	})
	agent.options.Beat = agent.configuration.HeartbeatPayload
	agent.options.OnBeat = agent.configuration.OnHeartbeat
	agent.departures = departures.New(departures.Dependencies{
		Self: agent.self.Name, Watcher: agent.watcher, Broadcast: agent.configuration.Broadcast, Logger: agent.logger,
	})
	engine := engines.New(engines.Options{Address: agent.settings.BackendServer})
	agent.states = newStateFeed(agent)
	agent.queue = admissions.New(admissions.Dependencies{
		Deployment: agent.settings.Deployment, Backend: engine, Source: agent.configuration, OnAdmissionChange: agent.states.setRefusing,
		Logger: agent.logger, Scope: agent.metrics.Scope, Checker: agent.checker,
	})
	agent.transfers = transfers.New(transfers.Dependencies{
		Self: agent.self, Links: agent.options, ChunkListener: agent.chunks,
		Store: weights.NewStore(agent.settings.Transfer.ChunkMemoryBytes), Origin: client.Weights(),
		Limits: transfers.Limits{
			UploadBytesPerS:   agent.settings.Transfer.UploadBytesPerSecond,
			DownloadBytesPerS: agent.settings.Transfer.DownloadBytesPerSecond,
			LinkShare:         agent.settings.Transfer.LinkShare,
			OriginBytesPerS:   agent.settings.Transfer.OriginBytesPerSecond,
			NeighbourCount:    agent.settings.Transfer.Neighbours,
		},
		Scope: agent.metrics.Scope, Logger: agent.logger, Invariants: agent.checker,
		Seed: uint64(time.Now().UnixNano()),
	})
	agent.loader = rollouts.NewLoader(rollouts.Dependencies{
		Self: agent.self, Engine: orders{client: engine}, Table: client, Objects: client, Configuration: agent.configuration,
		ChangeConfiguration: agent.change, Chunks: chunkSource{agent: agent}, Hosts: agent.watcher.Current,
		OnServingChange: agent.setServing, Drain: agent.waitIdle, Invariants: agent.checker, Scope: agent.metrics.Scope, Logger: agent.logger,
		Settings: rollouts.DefaultSettings(),
	})
	agent.register()
}

func (agent *agent) register() {
	agent.configuration.Register(agent.router)
	agent.departures.Register(agent.router)
	agent.transfers.Register(agent.router)
	rollouts.Register(agent.router, agent.loader)
	requests.RegisterRunner(agent.router, agent.queue)
	agent.router.OnLink(agent.states.add)
}

func (agent *agent) setServing(version string, serving bool) {
	agent.queue.SetServing(version, serving)
	agent.states.setServing(version, serving)
}

// waitIdle returns when no request runs on the backend server. The loader calls
// it after it has stopped admission, because not every engine lets running
// requests finish before it loads another version.
func (agent *agent) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePoll)
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

// change commits a change that this agent makes to a rollout.
func (agent *agent) change(ctx context.Context, requestID string, object configurations.Object, revision int64) error {
	_, err := agent.configuration.Change(ctx, configurations.Request{
		ID: requestID, Operator: agent.self.Name, Kind: object.Kind(), Name: object.ObjectName(),
		Object: object, ExpectedRevision: revision,
	})
	return err
}

// run runs all parts until the context ends, drains the queue, then ends the parts.
func (agent *agent) run(ctx context.Context) error {
	alive, end := context.WithCancel(context.Background())
	defer end()
	group, alive := errgroup.WithContext(alive)
	linkListener, err := net.Listen("tcp", agent.settings.Links)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	adminListener, err := net.Listen("tcp", agent.settings.Admin)
	if err != nil {
		return fmt.Errorf("listen for probes: %w", err)
	}
	if agent.settings.TLS != nil {
		adminListener = tls.NewListener(adminListener, agent.settings.TLS.Listener())
	}
	group.Go(func() error { return links.Serve(alive, linkListener, agent.options) })
	group.Go(func() error { return probes.New(agent.ready, agent.metrics.Handler).Serve(alive, adminListener) })
	group.Go(func() error { return agent.transfers.Run(alive) })
	group.Go(func() error { return agent.loader.Run(alive) })
	group.Go(func() error { agent.watcher.Run(alive); return nil })
	group.Go(func() error { agent.configuration.Run(alive); return nil })
	group.Go(func() error { agent.departures.Run(alive); return nil })
	group.Go(func() error { agent.states.run(alive); return nil })
	group.Go(func() error { agent.watchLeaving(alive); return nil })
	group.Go(func() error { agent.followLive(alive); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			agent.drain(alive)
			end()
		case <-alive.Done():
		}
		return nil
	})
	agent.logger.Info("started", zap.String("incarnation", agent.self.Incarnation), zap.String("deployment", agent.settings.Deployment))
	err = group.Wait()
	agent.queue.Close()
	agent.logger.Info("stopped", zap.Error(err))
	return err
}

func (agent *agent) ready() (bool, string) {
	switch {
	case agent.configuration.Current().Revision == 0:
		return false, "no configuration is in force"
	case !agent.states.serving():
		return false, "the backend server does not serve the intended version"
	default:
		return true, "ready"
	}
}

// drain refuses new work and returns when the running requests have ended.
func (agent *agent) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	agent.states.setDraining()
	agent.logger.Info("draining")
	if err := agent.queue.Drain(ctx); err != nil {
		agent.logger.Error("drain not completed", zap.Error(err))
		return
	}
	agent.logger.Info("drained")
}

// watchLeaving drains once when the platform's list says that the host leaves.
// A hint of other processes does not suffice, because a drain can't be undone.
func (agent *agent) watchLeaving(ctx context.Context) {
	for {
		_, changed := agent.watcher.Changed()
		if host, _ := agent.watcher.Listed(agent.self.Name); host.Leaving {
			agent.drain(ctx)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
