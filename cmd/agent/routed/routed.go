// Package routed assembles the libraries into the agent that runs beside a model
// engine on the users' platform. The decisions are left to the libraries.
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
	"golang.org/x/time/rate"

	"firford/lib/components"
	"firford/lib/directives"
	"firford/lib/hosts"
	"firford/lib/listeners"
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
	// storePollWait is how long polls of the store wait for changes. It is also the
	// interval between reads of the announced versions while no entry sends them.
	storePollWait = 4 * time.Second
	// announcedPollPause is the pause between two such reads while entries send the
	// versions, which they do each second, and announcedTime how long one announcement
	// shows that they do. Each call to the store is charged.
	announcedPollPause = 8 * time.Second
	announcedTime      = 3 * time.Second
	// storeProbeInterval bounds the interval between probes of a store that does not answer,
	// and storeRestorePause spreads the reads after it came back from an older copy. Both
	// are longer than those of entries, since there are several agents for each entry and
	// entries tell them about new versions.
	storeProbeInterval = 4 * time.Second
	storeRestorePause  = 8 * time.Second
	// unlistedPollPause and listedPollPause are the pauses between two polls of the
	// server list, which changes with each engine that loads a version. For up to
	// registrationTimeout after its engine has started, an agent must find out soon
	// under which id the platform lists the engine. Later it needs the list only to
	// find its peers, and reads it when a version is announced.
	unlistedPollPause   = 300 * time.Millisecond
	listedPollPause     = 8 * time.Second
	registrationTimeout = 12 * time.Second
	// An agent waits for parametersTimeout, plus a random part of parametersJitter,
	// for an entry to send it the parameters of the engines: entries that start at
	// the same time have to read the configuration first.
	parametersTimeout = 2500 * time.Millisecond
	parametersJitter  = time.Second
	// defaultVersion is served if the operator has announced no version.
	defaultVersion = 1
)

type (
	// agent holds the components of one agent process.
	agent struct {
		settings     processes.RoutedAgent
		logger       *zap.Logger
		metrics      *metrics.Metrics
		logBuffer    *logs.Buffer
		store        *adapter.Store
		reachability *platform.Reachability
		self         hosts.Host
		node         *stagings.Node
		reporter     *loads.Reporter
		follower     *directives.Follower
		operatorFeed *directives.PrefixFeed
		servers      atomic.Pointer[[]placements.Server]
		// restoredAt is when the store last came back from an older copy, zero if never. It
		// belongs to the goroutine that follows the servers, which signals each return.
		restoredAt    time.Time
		storeRestored chan struct{}
		// serversWanted ends the pause between two polls of the server list.
		serversWanted chan struct{}
		// lastRestart is the last restart of the engine, and status its newest status.
		// Both are nil at first.
		lastRestart atomic.Pointer[restart]
		status      atomic.Pointer[stagings.Status]
		// announcedAt is when an entry last sent the versions, nil if none has.
		announcedAt atomic.Pointer[time.Time]
	}

	// restart is a restart of the engine: when the agent noticed it, and the id under
	// which the platform listed the engine until then.
	restart struct {
		seenAt   time.Time
		formerID string
	}
)

// Run runs an agent until the context ends.
func Run(ctx context.Context, settings processes.RoutedAgent) error {
	logBuffer := logs.NewBuffer(os.Stdout)
	defer func() { _ = logBuffer.Sync() }()
	logger, err := logs.NewTo(settings.LogLevel, settings.Name, logBuffer)
	if err != nil {
		return err
	}
	logger = logger.With(zap.String("engine", settings.BackendServerAddress))
	agent := &agent{
		settings:      settings,
		logger:        logger,
		metrics:       metrics.New("firford_agent"),
		logBuffer:     logBuffer,
		serversWanted: make(chan struct{}, 1),
		storeRestored: make(chan struct{}, 1),
		self: hosts.Host{
			Name: settings.BackendServerAddress, Role: hosts.RoleAgent, ChunkAddress: settings.PeerAddress(),
			DataCentre: settings.DataCentre, Region: settings.Region,
		},
	}
	agent.store = adapter.NewStore(settings.PlatformAddress, agent.metrics.Scope)
	agent.reachability = platform.NewReachability(agent.store, storeProbeInterval)
	agent.operatorFeed = directives.NewPrefixFeed(agent.store, agent.store, adapter.VersionKeyPrefix)
	agent.follower = directives.New(directives.Dependencies{
		Feed: agent.operatorFeed, Table: adapter.OperatorTable, PollWait: storePollWait, PollPause: agent.versionPollPause, RestorePause: storeRestorePause, Reachability: agent.reachability,
		VersionTimeout: settings.VersionTimeout,
		Decode:         adapter.DecodeDesiredState, RoutesChanged: func(routes.Table) {}, VersionAnnounced: agent.refreshServers, Logger: logger, Scope: agent.metrics.Scope,
	})
	agent.servers.Store(&[]placements.Server{})
	defer func() { _ = agent.metrics.Close() }()
	return agent.run(ctx)
}

func (agent *agent) run(ctx context.Context) error {
	listener, err := listeners.Listen(agent.settings.PeerAddress(), "agents", agent.logger, agent.metrics.Scope)
	if err != nil {
		return fmt.Errorf("listen for agents: %w", err)
	}
	scrapes, err := listeners.Listen(agent.settings.MetricsAddress(), "metrics", agent.logger, agent.metrics.Scope)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	datagrams, err := net.ListenPacket("udp", agent.settings.PeerAddress())
	if err != nil {
		return fmt.Errorf("listen for entries: %w", err)
	}
	// The node adjusts the limit to the load of its engine and the size of a piece.
	upload := rate.NewLimiter(rate.Inf, 1)
	agent.reporter = loads.NewReporter(datagrams, agent.applyAnnouncement, agent.logger)
	agent.node = stagings.New(stagings.Dependencies{
		Self:          agent.self,
		Engine:        adapter.NewEngine(agent.settings.BackendServerAddress),
		Origin:        adapter.NewOrigin(agent.originAddress),
		ManifestStore: agent.store,
		FleetView:     agent.fleetView,
		Report:        agent.reportStatus,
		LinkMbps:      agent.settings.LinkMbps,
		UploadLimiter: upload,
		Logger:        agent.logger,
		Scope:         agent.metrics.Scope,
	})
	group := components.New(ctx, agent.logger)
	group.Go("agents", func(ctx context.Context) error { return stagings.NewServer(agent.node, upload).Serve(ctx, listener) })
	group.Go("metrics", func(ctx context.Context) error {
		return probes.New(probes.Dependencies{Ready: agent.readiness, Metrics: agent.metrics.Handler, Logger: agent.logger, Scope: agent.metrics.Scope}).Serve(ctx, scrapes)
	})
	group.Loop("entries", agent.reporter.Run)
	group.Loop("operator's table", agent.follower.Run)
	group.Loop("servers", agent.followServers)
	group.Loop("manifests", agent.restoreManifests)
	group.Loop("dropped log lines", func(ctx context.Context) { agent.logBuffer.ReportDropped(ctx, agent.metrics.Scope) })
	group.Loop("weights", agent.node.Run)
	go agent.ensureParameters(group.Stopping())
	agent.logger.Info("started", zap.String("data_centre", agent.settings.DataCentre))
	<-group.Stopping().Done()
	// Peers keep their connections open, so waiting for the servers to end would
	// only delay the shutdown.
	err = group.End()
	agent.logger.Info("stopped", zap.Error(err))
	return err
}

// readiness reports whether the engine serves the version that it should.
func (agent *agent) readiness() (bool, string) {
	if agent.node.IsUpToDate() {
		return true, "serving the intended version"
	}
	return false, "not serving the intended version"
}

func (agent *agent) followServers(ctx context.Context) {
	platform.Watcher{
		Feed: agent.store, Table: adapter.ServerTable, PollWait: storePollWait, PollPause: agent.serverPollPause, RestorePause: storeRestorePause, Reachability: agent.reachability, Wake: agent.serversWanted,
		Logger: agent.logger, Scope: agent.metrics.Scope, OnUpdate: agent.applyServerList,
	}.Run(ctx)
}

// refreshServers makes the agent read the server list now. The plan of a version that
// was just announced must not count on agents whose engines are leaving, and an engine that
// has restarted gets another entry.
func (agent *agent) refreshServers() { signal(agent.serversWanted) }

// serverPollPause returns the pause between two polls of the server list.
func (agent *agent) serverPollPause() time.Duration {
	lastRestart := agent.lastRestart.Load()
	server, isListed := agent.listedServer()
	isFormerRow := lastRestart != nil && server.ID == lastRestart.formerID && time.Since(lastRestart.seenAt) < registrationTimeout
	if !isListed || isFormerRow {
		return unlistedPollPause
	}
	return listedPollPause
}

func (agent *agent) applyServerList(view platform.View) {
	servers, decodeErrors := adapter.DecodeServers(view.Rows)
	view.LogDecodeErrors(agent.logger, decodeErrors)
	current := placements.CurrentServers(servers)
	agent.servers.Store(&current)
	if !view.RestoredAt.Equal(agent.restoredAt) {
		agent.restoredAt = view.RestoredAt
		signal(agent.storeRestored)
	}
}

// restoreManifests has the manifests of this agent saved again whenever the store came
// back from an older copy.
func (agent *agent) restoreManifests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-agent.storeRestored:
			agent.node.RestoreManifests(ctx)
		}
	}
}

// signal sends on the channel unless a signal is pending.
func signal(pending chan<- struct{}) {
	select {
	case pending <- struct{}{}:
	default:
	}
}

// applyAnnouncement applies the announcement of an entry and returns what the entry is
// asked for and told.
func (agent *agent) applyAnnouncement(announcement directives.Announcement) loads.AnnouncementReply {
	now := time.Now()
	agent.announcedAt.Store(&now)
	needsServices := agent.follower.ApplyAnnouncement(announcement, now)
	return loads.AnnouncementReply{NeedsServices: needsServices, Ages: agent.follower.UnknownAges(announcement, now), Evacuations: agent.follower.UnknownEvacuations(announcement, now)}
}

// versionPollPause returns the pause between two reads of the announced versions.
func (agent *agent) versionPollPause() time.Duration {
	if announcedAt := agent.announcedAt.Load(); announcedAt != nil && time.Since(*announcedAt) < announcedTime {
		return announcedPollPause
	}
	return 0
}

// ensureParameters reads the whole configuration if no entry sends the engine
// parameters in time.
func (agent *agent) ensureParameters(ctx context.Context) {
	for agent.follower.Routes().Version() == 0 {
		pause := parametersTimeout + time.Duration(rand.Int64N(int64(parametersJitter)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if agent.follower.Routes().Version() == 0 {
			agent.logger.Info("no entry sent the engine parameters, reading the whole configuration")
			agent.operatorFeed.RequestFullRead()
		}
	}
}

// originAddress returns the address of the origin, or an empty string if it is not
// known yet.
func (agent *agent) originAddress() string {
	for _, service := range agent.follower.Routes().Origins() {
		return service.Origin
	}
	return ""
}

// fleetView returns what the node needs to know about the fleet. It is empty until
// the parameters of the agent's service are known.
func (agent *agent) fleetView() stagings.FleetView {
	table := agent.follower.Routes()
	service, found := table.Service(agent.settings.Service)
	if !found || service.Engine == nil || len(service.Engine.Models) == 0 {
		return stagings.FleetView{}
	}
	if server, isListed := agent.listedServer(); isListed && server.Draining {
		return stagings.FleetView{}
	}
	model := service.Engine.Models[0]
	view := stagings.FleetView{Targets: agent.wantedTargets(model, service.Engine.Pieces)}
	for _, origin := range table.Origins() {
		view.OriginMbps = origin.OriginMbps
	}
	for _, server := range *agent.servers.Load() {
		if server.Service != agent.settings.Service || server.Draining {
			continue
		}
		view.Peers = append(view.Peers, stagings.Peer{
			Host: agent.peerHost(server),
		})
	}
	return view
}

// wantedTargets returns the announced versions of the model, the newest last. If
// none was announced, it returns the newest version that the servers have.
func (agent *agent) wantedTargets(model string, pieces int) []stagings.Target {
	var list []stagings.Target
	targets := agent.follower.Targets()
	for _, announced := range targets.All(model) {
		target := stagings.Target{Model: model, Version: announced.Version, Pieces: pieces, Due: announced.Due}
		if !announced.BeforeStart {
			target.AnnouncedAt = announced.AnnouncedAt
		}
		if due, replaced := targets.ReplacementDue(model, agent.servedVersion(model)); replaced && due.Before(target.Due) {
			target.Due = due
		}
		list = append(list, target)
	}
	if len(list) > 0 {
		return list
	}
	version := defaultVersion
	for _, server := range *agent.servers.Load() {
		version = max(version, server.Versions[model])
	}
	return []stagings.Target{{Model: model, Version: version, Pieces: pieces}}
}

// servedVersion returns the version that this agent's engine serves by its own
// status, because the server list may be some seconds old.
func (agent *agent) servedVersion(model string) int {
	if status := agent.status.Load(); status != nil {
		return status.Versions[model]
	}
	return 0
}

// listedServer returns this agent's engine as the platform lists it. After a restart
// the row of the earlier start may stay listed beside the new one for a while.
func (agent *agent) listedServer() (placements.Server, bool) {
	lastRestart := agent.lastRestart.Load()
	var found placements.Server
	for _, server := range *agent.servers.Load() {
		if server.Address != agent.settings.BackendServerAddress {
			continue
		}
		if lastRestart == nil || server.ID != lastRestart.formerID {
			return server, true
		}
		found = server
	}
	return found, found.ID != ""
}

// peerHost returns the host of a server's agent. Its name is the server's address,
// which the agent itself knows before the platform lists the server.
func (agent *agent) peerHost(server placements.Server) hosts.Host {
	return hosts.Host{
		Name: server.Address, Role: hosts.RoleAgent, DataCentre: server.DataCentre, Region: agent.settings.Regions[server.DataCentre],
		ChunkAddress: server.AgentAddress(agent.settings.PeerPort).String(),
	}
}

// reportStatus sends the status of the engine to the entries, unless the platform
// does not list the engine yet.
func (agent *agent) reportStatus(status stagings.Status, closed bool) {
	last := agent.status.Swap(&status)
	server, isListed := agent.listedServer()
	if last != nil && hasRestarted(*last, status) {
		agent.lastRestart.Store(&restart{seenAt: time.Now(), formerID: server.ID})
		agent.refreshServers()
	}
	if !isListed {
		return
	}
	agent.reporter.Report(placements.Report{
		Server: server.ID, Incarnation: status.StartedUnixMilli, Running: status.Running, Queued: status.Queued,
		Closed: closed, Versions: status.Versions,
	})
}

// hasRestarted reports whether the engine restarted between two statuses: its start
// time changed, its count of orders went down, or it lost all its versions while no
// order was running.
func hasRestarted(last, next stagings.Status) bool {
	return next.StartedUnixMilli != last.StartedUnixMilli || next.Sequence < last.Sequence || len(next.Versions) == 0 && len(last.Versions) > 0 && !next.Busy
}
