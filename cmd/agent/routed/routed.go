// Package routed joins the libraries into an agent beside a model engine on the
// users' platform. It holds no decisions.
package routed

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

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
	// storeWait is how long polls of the store wait.
	storeWait = 4 * time.Second
	// operatorSettle and serverSettle join changes that come together. An agent needs
	// the versions, which come seldom, and the list to find the others; each change
	// of the configuration sends the whole of it to every agent.
	operatorSettle = 250 * time.Millisecond
	serverSettle   = 300 * time.Millisecond
	// firstVersion is served where the operator has named none.
	firstVersion = 1
)

// agent holds the parts of one process.
type agent struct {
	settings processes.RoutedAgent
	logger   *zap.Logger
	metrics  *metrics.Metrics
	store    *adapter.Store
	self     hosts.Host
	node     *stagings.Node
	reporter *loads.Reporter
	table    atomic.Pointer[routes.Table]
	targets  atomic.Pointer[placements.Targets]
	servers  atomic.Pointer[[]placements.Server]
	names    map[string]time.Time
	named    atomic.Pointer[map[string]time.Time]
	began    bool
}

// Run runs an agent until the context ends.
func Run(ctx context.Context, settings processes.RoutedAgent) error {
	buffer := logs.NewBuffer(os.Stdout)
	defer func() { _ = buffer.Sync() }()
	logger, err := logs.NewTo(settings.LogLevel, settings.Name, buffer)
	if err != nil {
		return err
	}
	agent := &agent{
		settings: settings,
		logger:   logger,
		metrics:  metrics.New("firford_agent"),
		store:    adapter.NewStore(settings.PlatformAddress),
		self: hosts.Host{
			Name: settings.BackendServer, Role: hosts.RoleAgent, ChunkAddress: settings.PeerAddress(),
			DataCentre: settings.DataCentre, Region: settings.Region,
		},
		names: map[string]time.Time{},
	}
	agent.table.Store(&routes.Table{})
	agent.targets.Store(&placements.Targets{})
	agent.servers.Store(&[]placements.Server{})
	agent.named.Store(&map[string]time.Time{})
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
	agent.reporter = loads.NewReporter(datagrams, agent.logger)
	agent.node = stagings.New(stagings.Dependencies{
		Self:      agent.self,
		Engine:    adapter.NewEngine(agent.settings.BackendServer),
		Origin:    adapter.NewOrigin(agent.originAddress),
		Manifests: agent.store,
		World:     agent.world,
		Report:    agent.report,
		LinkMbps:  agent.settings.LinkMbps,
		Upload:    upload,
		Logger:    agent.logger,
	})
	group, alive := errgroup.WithContext(ctx)
	group.Go(func() error { return stagings.NewServer(agent.node, upload).Serve(alive, pieces) })
	group.Go(func() error { return agent.probe(alive) })
	group.Go(func() error { agent.reporter.Run(alive); return nil })
	group.Go(func() error {
		agent.follow(alive, adapter.OperatorTable, operatorSettle, agent.takeOperator)
		return nil
	})
	group.Go(func() error { agent.follow(alive, adapter.ServerTable, serverSettle, agent.takeServers); return nil })
	group.Go(func() error { agent.node.Run(alive); return nil })
	agent.logger.Info("started", zap.String("engine", agent.settings.BackendServer), zap.String("data_centre", agent.settings.DataCentre))
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
		if agent.node.IsSettled() {
			return true, "serving the intended version"
		}
		return false, "not serving the intended version"
	}
	return probes.New(ready, agent.metrics.Handler).Serve(ctx, listener)
}

func (agent *agent) follow(ctx context.Context, table string, settle time.Duration, update func(platform.View)) {
	platform.Watch{
		Feed: agent.store, Table: table, Wait: storeWait, Settle: settle, Logger: agent.logger, Update: update,
	}.Run(ctx)
}

func (agent *agent) takeOperator(view platform.View) {
	configuration, found, err := adapter.Configuration(view.Rows)
	switch {
	case err != nil:
		agent.logger.Error("configuration not read", zap.Int64("revision", view.Revision), zap.Error(err))
	case found && configuration.Version > agent.table.Load().Version():
		table := routes.New(configuration)
		agent.table.Store(&table)
	}
	named, problems := adapter.NamedVersions(view.Rows)
	for _, problem := range problems {
		agent.logger.Warn("row not read", zap.Error(problem))
	}
	agent.takeNamed(named, time.Now())
}

// takeNamed notes when each version was named. Versions that were named before
// the process began have no time.
func (agent *agent) takeNamed(named []adapter.NamedVersion, now time.Time) {
	targets := *agent.targets.Load()
	for _, version := range named {
		name := version.Model + "/" + strconv.Itoa(version.Version)
		if _, known := agent.names[name]; known {
			continue
		}
		at := now
		if !agent.began {
			at = time.Time{}
		}
		agent.names[name] = at
		targets = targets.With(version.Model, version.Version, now.Add(agent.settings.VersionTime))
		agent.logger.Info("version named", zap.String("model", version.Model), zap.Int("version", version.Version), zap.Bool("before_start", !agent.began))
	}
	agent.began = true
	copied := make(map[string]time.Time, len(agent.names))
	for name, at := range agent.names {
		copied[name] = at
	}
	agent.named.Store(&copied)
	agent.targets.Store(&targets)
}

func (agent *agent) takeServers(view platform.View) {
	servers, problems := adapter.Servers(view.Rows)
	for _, problem := range problems {
		agent.logger.Warn("row not read", zap.Error(problem))
	}
	agent.servers.Store(&servers)
}

func (agent *agent) originAddress() string {
	for _, service := range agent.table.Load().Origins() {
		return service.Origin
	}
	return ""
}

// world returns what the node needs to know.
func (agent *agent) world() stagings.World {
	table := agent.table.Load()
	service, found := table.Service(agent.settings.Service)
	if !found || service.Engine == nil || len(service.Engine.Models) == 0 {
		return stagings.World{}
	}
	model := service.Engine.Models[0]
	world := stagings.World{Targets: agent.wanted(model, service.Engine.Chunks)}
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
	for _, named := range agent.targets.Load().Named(model) {
		target := stagings.Target{Model: model, Version: named.Version, Pieces: pieces}
		if at := (*agent.named.Load())[model+"/"+strconv.Itoa(named.Version)]; !at.IsZero() {
			target.Named, target.Due = at, named.Due
		}
		if due, earlier := agent.targets.Load().Due(model, agent.serving(model)); earlier && due.Before(target.Due) {
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

// serving returns the version that the list says this agent's engine serves.
func (agent *agent) serving(model string) int {
	for _, server := range *agent.servers.Load() {
		if server.Address == agent.settings.BackendServer {
			return server.Versions[model]
		}
	}
	return 0
}

// host names a server's agent by the server's address, which its agent knows
// before the list does.
func (agent *agent) host(server placements.Server) hosts.Host {
	address, err := netip.ParseAddrPort(server.Address)
	if err != nil {
		agent.logger.Error("unchecked address", zap.String("address", server.Address), zap.Error(err))
	}
	return hosts.Host{
		Name: server.Address, Role: hosts.RoleAgent, DataCentre: server.DataCentre, Region: agent.settings.Regions[server.DataCentre],
		ChunkAddress: netip.AddrPortFrom(address.Addr(), uint16(agent.settings.PeerPort)).String(),
	}
}

// report passes a look at the engine on to the entries.
func (agent *agent) report(status stagings.Status, closed bool) {
	for _, server := range *agent.servers.Load() {
		if server.Address != agent.settings.BackendServer {
			continue
		}
		agent.reporter.Report(placements.Report{
			Server: server.ID, Born: status.Born, Running: status.Running, Queued: status.Queued,
			Closed: closed, Versions: status.Versions,
		})
	}
}
