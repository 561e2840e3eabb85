// Package routed assembles the libraries into an entry process that serves the
// routes of the operator's configuration on the users' platform. It only connects
// them and makes no routing or placement decisions itself.
package routed

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"firford/lib/budgets"
	"firford/lib/components"
	"firford/lib/directives"
	"firford/lib/gateways"
	"firford/lib/listeners"
	"firford/lib/loads"
	"firford/lib/logs"
	"firford/lib/metrics"
	"firford/lib/placements"
	"firford/lib/platform"
	"firford/lib/probes"
	"firford/lib/processes"
	"firford/lib/quarantines"
	"firford/lib/routes"
	adapter "firford/platform"
)

const (
	// operatorPollWait and serverPollWait are how long a poll of the store waits for
	// changes. A short wait costs more calls, since a poll without changes costs one
	// too. A long wait delays the discovery of a partition: a poll that it has blocked
	// ends a second after its wait.
	operatorPollWait = 2 * time.Second
	serverPollWait   = 2 * time.Second
	// operatorPollPause and serverPollPause are the pauses between two polls. They
	// combine changes that arrive in quick succession into one update. Each change of
	// the configuration sends the complete configuration to every entry, and many
	// changes at once would fill the links between regions.
	operatorPollPause = 150 * time.Millisecond
	serverPollPause   = 500 * time.Millisecond
	// operatorBytesPerS bounds what an entry draws of the operator's table when that
	// changes all the time: a few entries share a link between regions of 2.5 MB/s, which
	// also carries answers and pieces of weights.
	operatorBytesPerS = 300_000
	// transferPauseShare is the part of the time for a configuration that an entry may
	// pause after a large one. The next one has to cross the same links in the rest.
	transferPauseShare = 4
	// storeProbeInterval bounds, with its jitter of a half, how late an entry notices that
	// the store answers again. Servers that are missing from the list are kept that much
	// shorter.
	storeProbeInterval = 450 * time.Millisecond
	// storeRestorePause spreads the reads of all tables by all entries after the store came
	// back from an older copy.
	storeRestorePause = 1500 * time.Millisecond
	// firstReportTimeout is how long an entry that starts waits for what agents know before
	// it uses servers. An agent that lives answers within two delays of the network.
	firstReportTimeout = 60 * time.Millisecond
	// versionMargin is how long before its due time a version is required. A request
	// may need that long to cross a link that is filled with pieces of weights and to
	// wait at the engine.
	versionMargin = time.Second
	// earlierVersionTimeout is the time allowed for a version that was announced before
	// the process started, at an unknown time.
	earlierVersionTimeout = 3 * time.Second
	// maxMissingServerGrace is how long after the store was last unavailable a server
	// stays in use that is missing from the list. Servers that are still running are
	// listed again about 2 s after the store's return, which is noticed somewhat later.
	maxMissingServerGrace = 2800 * time.Millisecond
	// reconnectMargin is the part of the reconnect time that is left for the requests
	// that were placed last.
	reconnectMargin = 200 * time.Millisecond
	// expireInterval is the interval between checks for missing servers that are no
	// longer in use.
	expireInterval = 200 * time.Millisecond
	// drainAcceptTime is how long a draining entry still accepts connections. It
	// covers two readiness probes of the balancer.
	drainAcceptTime = 2300 * time.Millisecond
	// shutdownMargin is the part of the shutdown timeout that is reserved for the last
	// answers and for the end of the process.
	shutdownMargin = gateways.LastAnswerTime + 100*time.Millisecond
)

// tableStore is the part of the platform's store that an entry uses.
type tableStore interface {
	platform.Feed
	platform.Prober
}

// entry holds the components of one entry process.
type entry struct {
	settings     processes.RoutedEntry
	logger       *zap.Logger
	metrics      *metrics.Metrics
	logBuffer    *logs.Buffer
	store        tableStore
	reachability *platform.Reachability
	queue        *gateways.AdmissionQueue
	quarantines  *quarantines.Ledger
	gateway      *gateways.Gateway
	follower     *directives.Follower
	agents       atomic.Pointer[[]netip.AddrPort]
	// agentServices holds the service of each agent's engine, nil until servers are listed.
	agentServices atomic.Pointer[map[netip.AddrPort]string]
	loadListener  *loads.Listener
	serversListed atomic.Bool
	// serversConfirmedAt is when the list of servers was last known to be current.
	serversConfirmedAt atomic.Pointer[time.Time]
	draining           atomic.Bool
}

// Run runs an entry until the context ends. It then drains the entry and waits for
// the requests in flight, at most until the configured shutdown timeout is almost over.
func Run(ctx context.Context, settings processes.RoutedEntry) error {
	logBuffer := logs.NewBuffer(os.Stdout)
	defer func() { _ = logBuffer.Sync() }()
	logger, err := logs.NewTo(settings.LogLevel, settings.Name, logBuffer)
	if err != nil {
		return err
	}
	entry := &entry{
		settings:  settings,
		logger:    logger,
		metrics:   metrics.New("firford_entry"),
		logBuffer: logBuffer,
	}
	entry.store = adapter.NewStore(settings.PlatformAddress, entry.metrics.Scope)
	entry.quarantines = quarantines.New()
	entry.reachability = platform.NewReachability(entry.store, storeProbeInterval)
	entry.queue = gateways.NewAdmissionQueue(newFleet(settings), entry.notifyAgent)
	entry.follower = entry.newFollower()
	entry.agents.Store(&[]netip.AddrPort{})
	entry.confirmServerList()
	entry.gateway = gateways.New(gateways.Dependencies{
		Dialect: adapter.Dialect{},
		Queue:   entry.queue,
		Table:   entry.follower.Routes,

		Quarantines: entry.quarantines,
		ShareCrash:  entry.shareCrash,
		VersionDeadline: func(model string, version int) (time.Time, bool) {
			return entry.follower.Targets().ReplacementDue(model, version)
		},
		ServersConfirmedAt: func() time.Time { return *entry.serversConfirmedAt.Load() },
		Callers:            budgets.New(budgets.HostLimits(), logger, entry.metrics.Scope.Tagged(map[string]string{"listener": "callers"})),
		Logger:             logger,
		Scope:              entry.metrics.Scope,
	})
	defer func() { _ = entry.metrics.Close() }()
	return entry.run(ctx)
}

func newFleet(settings processes.RoutedEntry) *placements.Fleet {
	fleet := placements.NewFleet(settings.DataCentre)
	fleet.SetRegions(settings.Regions)
	fleet.SetWarmupTolerance(settings.WarmupTolerance)
	return fleet
}

func (entry *entry) run(ctx context.Context) error {
	callers, err := listeners.Listen(entry.settings.CallersAddress, "callers", entry.logger, entry.metrics.Scope)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	admin, err := listeners.Listen(entry.settings.AdminAddress, "probes", entry.logger, entry.metrics.Scope)
	if err != nil {
		return fmt.Errorf("listen for probes: %w", err)
	}
	scrapes, err := listeners.Listen(entry.settings.MetricsAddress(), "metrics", entry.logger, entry.metrics.Scope)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	for _, listener := range []*listeners.Listener{callers, admin, scrapes} {
		listener.BoundUnread(budgets.UnreadBytes)
	}
	reports, err := net.ListenPacket("udp", entry.settings.PeerAddress())
	if err != nil {
		return fmt.Errorf("listen for reports: %w", err)
	}
	entry.loadListener = loads.NewListener(
		reports, func() []netip.AddrPort { return *entry.agents.Load() }, entry.follower, entry.queue, crashLedger{entry: entry}, entry.applyReport, entry.logger)
	entry.loadListener.SetDemands(entry.demandAt)
	probeServer := probes.New(probes.Dependencies{Ready: entry.readiness, Metrics: entry.metrics.Handler, Logger: entry.logger, Scope: entry.metrics.Scope})
	group := components.New(ctx, entry.logger)
	group.Go("callers", func(context.Context) error { return entry.gateway.Serve(callers) })
	group.Go("probes", func(ctx context.Context) error { return probeServer.Serve(ctx, admin) })
	group.Go("metrics", func(ctx context.Context) error { return probeServer.Serve(ctx, scrapes) })
	group.Loop("operator's table", entry.follower.Run)
	group.Loop("servers", entry.followServers)
	group.Loop("missing servers", entry.expireServers)
	group.Loop("gateway metrics", entry.gateway.ReportMetrics)
	group.Loop("dropped log lines", func(ctx context.Context) { entry.logBuffer.ReportDropped(ctx, entry.metrics.Scope) })
	group.Loop("reports", entry.loadListener.Run)
	entry.logger.Info("started", zap.String("data_centre", entry.settings.DataCentre), zap.String("callers", entry.settings.CallersAddress))
	<-group.Stopping().Done()
	return entry.stop(group)
}

// stop reports the entry as not ready, gives the balancer time to notice, waits for the
// requests in flight, and then ends the components. It returns why the entry stops, if it
// was not told to.
func (entry *entry) stop(group *components.Group) error {
	deadline := time.Now().Add(entry.settings.ShutdownTimeout - shutdownMargin)
	entry.logger.Info("stopping", zap.Int64("running", entry.gateway.InFlight()))
	entry.draining.Store(true)
	entry.gateway.BeginDrain(deadline)
	time.Sleep(drainAcceptTime)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	shutdownErr := entry.gateway.Shutdown(ctx)
	entry.logger.Info("stopped", zap.Int64("running", entry.gateway.InFlight()), zap.Error(shutdownErr))
	// The feeds may wait for an answer of the store for longer than the process has.
	return group.End()
}

func (entry *entry) readiness() (bool, string) {
	switch {
	case entry.draining.Load():
		return false, "leaving"
	case entry.follower.Routes().Version() == 0:
		return false, "no configuration yet"
	case !entry.serversListed.Load():
		return false, "no list of servers yet"
	case !entry.gateway.IsAccepting(time.Now()):
		return false, "out of descriptors or memory"
	default:
		return true, "ready"
	}
}

func (entry *entry) followServers(ctx context.Context) {
	platform.Watcher{
		Feed: entry.store, Table: adapter.ServerTable, PollWait: serverPollWait, PollPause: platform.FixedPause(serverPollPause),
		RestorePause: storeRestorePause, Reachability: entry.reachability,
		Logger: entry.logger, Scope: entry.metrics.Scope, OnUpdate: entry.applyServerList, OnAnswer: entry.confirmServerList,
	}.Run(ctx)
}

func (entry *entry) confirmServerList() {
	now := time.Now()
	entry.serversConfirmedAt.Store(&now)
}

// applyRoutes updates the fleet with the engine profiles and the warm-ups of a new
// configuration.
func (entry *entry) applyRoutes(table routes.Table) {
	var changes []placements.ColdChange
	entry.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
		fleet.SetEngineProfiles(engineProfiles(table))
		changes = fleet.SetWarmups(table.Warmups(), now)
	})
	for _, change := range changes {
		entry.logCold(change)
	}
}

// logCold logs that a server counts as cold.
func (entry *entry) logCold(change placements.ColdChange) {
	entry.logger.Info("server cold", zap.String("server", change.Server), zap.String("service", change.Service),
		zap.Stringer("cause", change.Cause), zap.Time("until", change.Until), zap.Duration("for", time.Until(change.Until)))
}

// engineProfiles returns, by service, the profile from which the time until an
// engine answers is predicted.
func engineProfiles(table routes.Table) map[string]placements.EngineProfile {
	profiles := map[string]placements.EngineProfile{}
	for _, service := range table.Engines() {
		engine := service.Engine
		step := engine.Step + time.Duration(engine.Slots)*engine.StepPerRequest
		profiles[service.Name] = placements.EngineProfile{
			TokensPerS:          max(1, engine.PrefillPerS),
			AdmissionInterval:   time.Duration(max(1, engine.Stride)) * step,
			SlotReleaseInterval: time.Duration(engine.UsualAnswer/float64(max(1, engine.Slots))) * step,
		}
	}
	return profiles
}

// applyServerList updates the fleet, the agents' addresses and the connection pool
// from the platform's list of backend servers.
func (entry *entry) applyServerList(view platform.View) {
	servers, decodeErrors := adapter.DecodeServers(view.Rows)
	view.LogDecodeErrors(entry.logger, decodeErrors)
	known := map[string]bool{}
	var agents []netip.AddrPort
	services := map[netip.AddrPort]string{}
	for _, server := range servers {
		known[server.ID] = true
		if service, found := entry.follower.Routes().Service(server.Service); found && service.Engine == nil {
			continue
		}
		agent := server.AgentAddress(entry.settings.PeerPort)
		agents = append(agents, agent)
		services[agent] = server.Service
	}
	entry.agents.Store(&agents)
	entry.agentServices.Store(&services)
	if !entry.serversListed.Load() {
		entry.hearQuarantines()
	}
	var changes []placements.Change
	entry.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
		fleet.SetRestoredAt(view.RestoredAt)
		changes = fleet.UpdateServers(servers, entry.keepMissingUntil(view), now)
	})
	entry.logServerChanges(changes)
	entry.gateway.PruneConnections(known)
	entry.serversListed.Store(true)
	entry.logger.Debug("servers listed", zap.Int("servers", len(servers)), zap.Int64("revision", view.Revision))
}

// hearQuarantines asks the agents which requests crash servers, before the first request
// is sent to one.
func (entry *entry) hearQuarantines() {
	entry.loadListener.Announce()
	entry.loadListener.AwaitAgent(context.Background(), firstReportTimeout)
}

// keepMissingUntil returns until when servers that are missing from the view stay in
// use. The process cannot tell an outage of the store, in which servers lose their
// entries, from a partition of its own, behind which they have left. The time counts
// from when the store was last unavailable, and not from when an answer of the store
// arrived: whatever was missing then must be out of use when the reconnect time is over.
func (entry *entry) keepMissingUntil(view platform.View) time.Time {
	return view.UnavailableAt.Add(min(maxMissingServerGrace, entry.settings.ReconnectTime-reconnectMargin))
}

// logServerChanges logs what changed at the servers.
func (entry *entry) logServerChanges(changes []placements.Change) {
	for _, change := range changes {
		fields := []zap.Field{
			zap.String("server", change.Server.ID), zap.String("address", change.Server.Address), zap.String("service", change.Server.Service),
		}
		switch change.Kind {
		case placements.Joined:
			entry.logger.Info("server joined", fields...)
		case placements.Draining:
			entry.logger.Info("server draining", fields...)
		case placements.Missing:
			entry.logger.Info("server missing", append(fields, zap.Duration("kept_for", time.Until(change.KeptUntil)))...)
		case placements.Returned:
			entry.logger.Info("server listed again", fields...)
		case placements.Removed:
			entry.logger.Info("server gone", append(fields, zap.String("reason", "not listed"))...)
		case placements.Restarted:
			entry.logger.Info("server restarted", append(fields, zap.Int64("born", change.Server.StartedUnixMilli), zap.String("heard_by", "the list"))...)
		case placements.BecameCold:
			entry.logCold(change.Cold)
		case placements.Expired:
			entry.logger.Info("server gone", append(fields, zap.String("reason", "not listed again in time"))...)
		default:
			entry.logger.Error("unknown change of a server", append(fields, zap.Int("kind", int(change.Kind)))...)
		}
	}
}

// notifyAgent informs the agent beside an engine.
func (entry *entry) notifyAgent(notice gateways.Notice) {
	port := entry.settings.PeerPort
	switch notice := notice.(type) {
	case gateways.RequestSent:
		entry.loadListener.NotifySent(notice.Server.AgentAddress(port), notice.RequestNumber, notice.PromptTokens)
	case gateways.RequestAnswered:
		entry.loadListener.NotifyAnswered(notice.Server.AgentAddress(port), notice.RequestNumber, notice.Pace)
	case gateways.LimitStated:
		if agent := notice.Server.AgentAddress(port); slices.Contains(*entry.agents.Load(), agent) {
			entry.loadListener.NotifyLimit(agent, notice.Server.ID, notice.Statement)
		}
	case gateways.LeavingStated:
		if agent, found := entry.agentFor(notice.Server); found {
			entry.loadListener.NotifyLeaving(agent, notice.Server.ID, notice.Statement)
		}
	default:
		entry.logger.Error("unknown notice", zap.String("type", fmt.Sprintf("%T", notice)))
	}
}

// demandAt returns the demand that the agent is told: that for its engine's service if
// servers of the service state their pace.
func (entry *entry) demandAt(agent netip.AddrPort) (float64, bool) {
	services := entry.agentServices.Load()
	if services == nil {
		return 0, false
	}
	return entry.queue.Demand((*services)[agent])
}

// shareCrash informs the agent of a crashed server, which passes it on to all entries.
func (entry *entry) shareCrash(server placements.Server, crash quarantines.Crash) {
	if agent, found := entry.agentFor(server); found {
		entry.loadListener.NotifyCrash(agent, crash)
	}
}

// crashLedger passes what agents know about crashes on to the quarantines.
type crashLedger struct{ entry *entry }

// Own implements loads.CrashLedger.
func (crashes crashLedger) Own(now time.Time) quarantines.Records {
	return crashes.entry.quarantines.Own(now)
}

// Hear implements loads.CrashLedger.
func (crashes crashLedger) Hear(records quarantines.Records) {
	crashes.entry.gateway.LogQuarantines(crashes.entry.quarantines.Merge(records, time.Now()))
}

// agentFor returns the agent that passes on what the server stated: the one beside it,
// or any other for a server that has none.
func (entry *entry) agentFor(server placements.Server) (netip.AddrPort, bool) {
	agents := *entry.agents.Load()
	if agent := server.AgentAddress(entry.settings.PeerPort); slices.Contains(agents, agent) {
		return agent, true
	}
	if len(agents) == 0 {
		return netip.AddrPort{}, false
	}
	return agents[0], true
}

// newFollower returns the follower of the operator's table. It requires a version
// versionMargin before it is due.
func (entry *entry) newFollower() *directives.Follower {
	return directives.New(directives.Dependencies{
		Feed: entry.store, Table: adapter.OperatorTable, PollWait: operatorPollWait, PollPause: platform.FixedPause(operatorPollPause), BytesPerS: operatorBytesPerS,
		MaxTransferPause: entry.settings.ConfigurationTime / transferPauseShare,
		RestorePause:     storeRestorePause, Reachability: entry.reachability,
		VersionTimeout: entry.settings.VersionTimeout - versionMargin, EarlierVersionTimeout: earlierVersionTimeout,
		Decode: adapter.DecodeDesiredState, RoutesChanged: entry.applyRoutes, VersionAnnounced: entry.announceVersions, EvacuationsChanged: entry.applyEvacuations,
		Logger: entry.logger, Scope: entry.metrics.Scope,
	})
}

// announceVersions makes new versions count for placements and waiting requests, and informs
// all agents about them immediately. Their subscriptions repeat it in case the message is lost.
func (entry *entry) announceVersions() {
	targets := entry.follower.Targets()
	entry.queue.UpdateFleet(func(fleet *placements.Fleet, _ time.Time) { fleet.SetVersionTargets(targets) })
	entry.gateway.RecheckVersions()
	entry.loadListener.Announce()
}

func (entry *entry) applyReport(report placements.Report) {
	var changes []placements.StatementChange
	entry.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) { changes = fleet.ApplyReport(report, now) })
	entry.quarantines.SetEntries(report.Entries.Position, report.Entries.Count)
	crashLedger{entry: entry}.Hear(report.Crashes)
	for _, change := range changes {
		entry.logStatementChange(change)
	}
}

// logStatementChange logs what agents told about the statements of a server.
func (entry *entry) logStatementChange(change placements.StatementChange) {
	const heardBy = "another entry"
	switch change := change.(type) {
	case placements.LimitChange:
		entry.logger.Info("server limit", zap.String("server", change.Server), zap.Float64("limit_per_s", change.PerS), zap.String("heard_by", heardBy))
	case placements.LeavingChange:
		entry.logger.Info("server leaving", zap.String("server", change.Server), zap.Duration("age", time.Since(change.Statement.HeardAt)), zap.String("heard_by", heardBy))
	case placements.PaceChange:
		entry.logger.Info("servers state their pace", zap.String("service", change.Service), zap.String("heard_by", heardBy))
	case placements.RestartChange:
		entry.logger.Info("server restarted", zap.String("server", change.Server), zap.Int64("born", change.StartedUnixMilli), zap.String("heard_by", "its agent"))
	case placements.ColdChange:
		entry.logCold(change)
	default:
		entry.logger.Error("unknown change of a statement", zap.String("type", fmt.Sprintf("%T", change)))
	}
}

func (entry *entry) expireServers(ctx context.Context) {
	for tick := time.NewTicker(expireInterval); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
			var changes []placements.Change
			entry.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) { changes = fleet.Expire(now) })
			entry.logServerChanges(changes)
			entry.follower.RefreshEvacuations(time.Now())
		}
	}
}
