// Package routed joins the libraries into an agent beside a model engine on the
// users' platform. It holds no decisions.
package routed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"firford/lib/directives"
	"firford/lib/hosts"
	"firford/lib/loads"
	"firford/lib/logs"
	"firford/lib/metrics"
	"firford/lib/placements"
	"firford/lib/platform"
	"firford/lib/probes"
	"firford/lib/processes"
	"firford/lib/routes"
	"firford/lib/stagings"
	adapter "firford/platform"
)

const (
	// storeWait is how long polls of the store wait, and how often the named versions
	// are read where no entry tells them sooner.
	storeWait = 4 * time.Second
	// newSettle and serverSettle join changes of the list, which changes with each
	// engine that takes a version. After a start of its engine, for registerTime at
	// most, an agent has to learn soon under which id the platform lists it; later it
	// needs the list only to find the others, whom it asks before it plans.
	newSettle    = 300 * time.Millisecond
	serverSettle = 4 * time.Second
	registerTime = 12 * time.Second
	// figuresPatience and figuresSpread bound how long an agent waits for an entry to
	// tell it the figures of the engines: entries that start at the same time have
	// to read the configuration first.
	figuresPatience = 2500 * time.Millisecond
	figuresSpread   = time.Second
	// firstVersion is served where the operator has named none.
	firstVersion = 1
)

type (
	// agent holds the parts of one process.
	agent struct {
		settings processes.RoutedAgent
		logger   *zap.Logger
		metrics  *metrics.Metrics
		buffer   *logs.Buffer
		store    *adapter.Store
		self     hosts.Host
		node     *stagings.Node
		reporter *loads.Reporter
		wishes   *directives.Follower
		operator *directives.PrefixFeed
		servers  atomic.Pointer[[]placements.Server]
		// started is the last start of the engine, status its newest report.
		started atomic.Pointer[start]
		status  atomic.Pointer[stagings.Status]
	}

	// start is a start of the engine: when it was heard of, and under which id the
	// platform listed the engine until then.
	start struct {
		heard  time.Time
		former string
	}
)

// Run runs an agent until the context ends.
func Run(ctx context.Context, settings processes.RoutedAgent) error {
	buffer := logs.NewBuffer(os.Stdout)
	defer func() { _ = buffer.Sync() }()
	logger, err := logs.NewTo(settings.LogLevel, settings.Name, buffer)
	if err != nil {
		return err
	}
	logger = logger.With(zap.String("engine", settings.BackendServer))
	agent := &agent{
		settings: settings,
		logger:   logger,
		metrics:  metrics.New("firford_agent"),
		buffer:   buffer,
		self: hosts.Host{
			Name: settings.BackendServer, Role: hosts.RoleAgent, ChunkAddress: settings.PeerAddress(),
			DataCentre: settings.DataCentre, Region: settings.Region,
		},
	}
	agent.store = adapter.NewStore(settings.PlatformAddress, agent.metrics.Scope)
	agent.operator = directives.NewPrefixFeed(agent.store, agent.store, adapter.VersionPrefix)
	agent.wishes = directives.New(directives.Dependencies{
		Feed: agent.operator, Table: adapter.OperatorTable, Wait: storeWait,
		VersionTime: settings.VersionTime,
		Decode:      adapter.Wishes, RoutesChanged: func(routes.Table) {}, VersionAnnounced: func() {}, Logger: logger, Scope: agent.metrics.Scope,
	})
	agent.servers.Store(&[]placements.Server{})
	defer func() { _ = agent.metrics.Close() }()
	return agent.run(ctx)
}

func (agent *agent) run(ctx context.Context) error {
	pieces, err := net.Listen("tcp", agent.settings.PeerAddress())
	if err != nil {
		return fmt.Errorf("listen for agents: %w", err)
	}
	datagrams, err := net.ListenPacket("udp", agent.settings.PeerAddress())
	if err != nil {
		return fmt.Errorf("listen for entries: %w", err)
	}
	// The node sets the limit by the load of its engine and the size of a piece.
	upload := rate.NewLimiter(rate.Inf, 1)
	agent.reporter = loads.NewReporter(datagrams, agent.hear, agent.logger)
	agent.node = stagings.New(stagings.Dependencies{
		Self:          agent.self,
		Engine:        adapter.NewEngine(agent.settings.BackendServer),
		Origin:        adapter.NewOrigin(agent.originAddress),
		ManifestStore: agent.store,
		FleetView:     agent.world,
		Report:        agent.report,
		LinkMbps:      agent.settings.LinkMbps,
		UploadLimiter: upload,
		Logger:        agent.logger,
		Scope:         agent.metrics.Scope,
	})
	group, alive := errgroup.WithContext(ctx)
	group.Go(func() error { return stagings.NewServer(agent.node, upload).Serve(alive, pieces) })
	group.Go(func() error { return agent.probe(alive) })
	group.Go(func() error { agent.reporter.Run(alive); return nil })
	group.Go(func() error { agent.wishes.Run(alive); return nil })
	group.Go(func() error { agent.followServers(alive); return nil })
	group.Go(func() error { agent.buffer.Report(alive, agent.metrics.Scope); return nil })
	group.Go(func() error { agent.findFigures(alive); return nil })
	group.Go(func() error { agent.node.Run(alive); return nil })
	agent.logger.Info("started", zap.String("data_centre", agent.settings.DataCentre))
	<-alive.Done()
	if ctx.Err() != nil {
		// Peers keep their connections open; nothing here is worth waiting for.
		agent.logger.Info("stopped")
		return nil
	}
	return group.Wait()
}

func (agent *agent) probe(ctx context.Context) error {
	listener, err := net.Listen("tcp", agent.settings.MetricsAddress())
	if err != nil {
		return fmt.Errorf("listen for probes: %w", err)
	}
	ready := func() (bool, string) {
		if agent.node.IsUpToDate() {
			return true, "serving the intended version"
		}
		return false, "not serving the intended version"
	}
	return probes.New(ready, agent.metrics.Handler).Serve(ctx, listener)
}

func (agent *agent) followServers(ctx context.Context) {
	platform.Watch{
		Feed: agent.store, Table: adapter.ServerTable, Wait: storeWait, Settle: agent.settle,
		Logger: agent.logger, Scope: agent.metrics.Scope, Update: agent.takeServers,
	}.Run(ctx)
}

// settle returns the least pause between two looks at the list of servers.
func (agent *agent) settle() time.Duration {
	started := agent.started.Load()
	server, isListed := agent.listed()
	isFormer := started != nil && server.ID == started.former && time.Since(started.heard) < registerTime
	if !isListed || isFormer {
		return newSettle
	}
	return serverSettle
}

func (agent *agent) takeServers(view platform.View) {
	servers, problems := adapter.Servers(view.Rows)
	view.LogUnread(agent.logger, problems)
	agent.servers.Store(&servers)
}

// hear takes the news of an entry.
func (agent *agent) hear(news directives.Announcement) (lacksFigures bool) {
	return agent.wishes.ApplyAnnouncement(news, time.Now())
}

// findFigures reads the whole configuration when no entry has told the figures of
// the engines in time.
func (agent *agent) findFigures(ctx context.Context) {
	for agent.wishes.Routes().Version() == 0 {
		pause := figuresPatience + time.Duration(rand.Int64N(int64(figuresSpread)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if agent.wishes.Routes().Version() == 0 {
			agent.logger.Info("no entry told the figures of the engines")
			agent.operator.RequestFullRead()
		}
	}
}

func (agent *agent) originAddress() string {
	for _, service := range agent.wishes.Routes().Origins() {
		return service.Origin
	}
	return ""
}

// world returns what the node needs to know.
func (agent *agent) world() stagings.FleetView {
	table := agent.wishes.Routes()
	service, found := table.Service(agent.settings.Service)
	if !found || service.Engine == nil || len(service.Engine.Models) == 0 {
		return stagings.FleetView{}
	}
	model := service.Engine.Models[0]
	world := stagings.FleetView{Targets: agent.wanted(model, service.Engine.Chunks)}
	for _, origin := range table.Origins() {
		world.OriginMbps = origin.OriginMbps
	}
	for _, server := range *agent.servers.Load() {
		if server.Service != agent.settings.Service || server.Draining {
			continue
		}
		world.Peers = append(world.Peers, stagings.Peer{
			Host: agent.host(server),
		})
	}
	return world
}

// wanted returns the versions of the model, the newest last. Where none was
// named, it is the one that the servers hold.
func (agent *agent) wanted(model string, pieces int) []stagings.Target {
	var list []stagings.Target
	targets := agent.wishes.Targets()
	for _, named := range targets.All(model) {
		target := stagings.Target{Model: model, Version: named.Version, Pieces: pieces, AnnouncedAt: named.NamedAt, Due: named.Due}
		if due, replaced := targets.ReplaceBy(model, agent.serving(model)); replaced && due.Before(target.Due) {
			target.Due = due
		}
		list = append(list, target)
	}
	if len(list) > 0 {
		return list
	}
	version := firstVersion
	for _, server := range *agent.servers.Load() {
		version = max(version, server.Versions[model])
	}
	return []stagings.Target{{Model: model, Version: version, Pieces: pieces}}
}

// serving returns the version that this agent's engine serves, by its own report:
// the list may be some seconds old.
func (agent *agent) serving(model string) int {
	if status := agent.status.Load(); status != nil {
		return status.Versions[model]
	}
	return 0
}

// listed returns this agent's engine as the platform lists it. The row of an
// earlier start may stand beside that of the present one for a while.
func (agent *agent) listed() (placements.Server, bool) {
	started := agent.started.Load()
	var found placements.Server
	for _, server := range *agent.servers.Load() {
		if server.Address != agent.settings.BackendServer {
			continue
		}
		if started == nil || server.ID != started.former {
			return server, true
		}
		found = server
	}
	return found, found.ID != ""
}

// host names a server's agent by the server's address, which its agent knows
// before the list does.
func (agent *agent) host(server placements.Server) hosts.Host {
	return hosts.Host{
		Name: server.Address, Role: hosts.RoleAgent, DataCentre: server.DataCentre, Region: agent.settings.Regions[server.DataCentre],
		ChunkAddress: server.AgentAddress(agent.settings.PeerPort).String(),
	}
}

// report passes a look at the engine on to the entries.
func (agent *agent) report(status stagings.Status, closed bool) {
	last := agent.status.Swap(&status)
	server, isListed := agent.listed()
	if last != nil && isRestarted(*last, status) {
		agent.started.Store(&start{heard: time.Now(), former: server.ID})
	}
	if !isListed {
		return
	}
	agent.reporter.Report(placements.Report{
		Server: server.ID, Incarnation: status.StartedUnixMilli, Running: status.Running, Queued: status.Queued,
		Closed: closed, Versions: status.Versions,
	})
}

// isRestarted reports whether the engine has started again between two reports: by
// its own word, by its count of orders, or because it holds nothing any more.
func isRestarted(last, next stagings.Status) bool {
	return next.StartedUnixMilli != last.StartedUnixMilli || next.Sequence < last.Sequence || len(next.Versions) == 0 && len(last.Versions) > 0 && !next.Busy
}
