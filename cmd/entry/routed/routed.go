// Package routed joins the libraries into an entry that serves the routes of the
// operator's configuration on the users' platform. It holds no decisions.
package routed

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"firford/lib/directives"
	"firford/lib/gateways"
	"firford/lib/loads"
	"firford/lib/logs"
	"firford/lib/metrics"
	"firford/lib/placements"
	"firford/lib/platform"
	"firford/lib/probes"
	"firford/lib/processes"
	"firford/lib/routes"
	adapter "firford/platform"
)

const (
	// operatorWait and serverWait are how long polls of the store wait. A poll that
	// brings nothing costs a call. One that a partition holds up has to end before
	// the process counts as in touch again, and a configuration has to be in force
	// 2 s after that.
	operatorWait = 2 * time.Second
	serverWait   = 2 * time.Second
	// operatorSettle and serverSettle join changes that come together. Each change
	// of the configuration sends the whole of it to every entry, and a storm of
	// them would fill the links between regions.
	operatorSettle = 150 * time.Millisecond
	serverSettle   = 500 * time.Millisecond
	// versionMargin is how long before its due time a version is insisted on: a
	// request may take that long over a link that pieces of weights fill, and wait
	// at the engine.
	versionMargin = time.Second
	// unknownVersionTime is how long a version that was named at an unknown time
	// before the process began may still take.
	unknownVersionTime = 3 * time.Second
	expireInterval     = 200 * time.Millisecond
	// acceptTime is how long a leaving entry still takes connections: until the
	// balancer has asked twice whether it is ready.
	acceptTime = 2300 * time.Millisecond
	// stopMargin is left of the stop time for the last answers.
	stopMargin = 400 * time.Millisecond
)

// entry holds the parts of one process.
type entry struct {
	settings processes.RoutedEntry
	logger   *zap.Logger
	metrics  *metrics.Metrics
	buffer   *logs.Buffer
	store    *adapter.Store
	desk     *gateways.AdmissionQueue
	gateway  *gateways.Gateway
	wishes   *directives.Follower
	agents   atomic.Pointer[[]netip.AddrPort]
	loads    *loads.Listener
	listed   atomic.Bool
	leaving  atomic.Bool
}

// Run runs an entry until the context ends and its requests have finished.
func Run(ctx context.Context, settings processes.RoutedEntry) error {
	buffer := logs.NewBuffer(os.Stdout)
	defer func() { _ = buffer.Sync() }()
	logger, err := logs.NewTo(settings.LogLevel, settings.Name, buffer)
	if err != nil {
		return err
	}
	entry := &entry{
		settings: settings,
		logger:   logger,
		metrics:  metrics.New("firford_entry"),
		buffer:   buffer,
	}
	entry.store = adapter.NewStore(settings.PlatformAddress, entry.metrics.Scope)
	entry.desk = gateways.NewAdmissionQueue(placements.NewFleet(settings.DataCentre), entry.notify)
	entry.wishes = directives.New(directives.Dependencies{
		Feed: entry.store, Table: adapter.OperatorTable, Wait: operatorWait, Settle: operatorSettle,
		VersionTime: settings.VersionTimeout - versionMargin, EarlierVersionTime: unknownVersionTime,
		Decode: adapter.Wishes, RoutesChanged: entry.takeRoutes, VersionAnnounced: entry.announce, Logger: logger, Scope: entry.metrics.Scope,
	})
	entry.agents.Store(&[]netip.AddrPort{})
	entry.gateway = gateways.New(gateways.Dependencies{
		Dialect:    adapter.Dialect{},
		Queue:      entry.desk,
		Table:      entry.wishes.Routes,
		MinVersion: func(model string, now time.Time) int { return entry.wishes.Targets().MinVersion(model, now) },
		VersionDeadline: func(model string, version int) (time.Time, bool) {
			return entry.wishes.Targets().ReplaceBy(model, version)
		},
		Logger: logger,
		Scope:  entry.metrics.Scope,
	})
	defer func() { _ = entry.metrics.Close() }()
	return entry.run(ctx)
}

func (entry *entry) run(ctx context.Context) error {
	alive, end := context.WithCancel(context.Background())
	defer end()
	callers, err := net.Listen("tcp", entry.settings.CallersAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	datagrams, err := net.ListenPacket("udp", entry.settings.PeerAddress())
	if err != nil {
		return fmt.Errorf("listen for reports: %w", err)
	}
	entry.loads = loads.NewListener(
		datagrams, func() []netip.AddrPort { return *entry.agents.Load() }, entry.wishes, entry.takeReport, entry.logger)
	group, alive := errgroup.WithContext(alive)
	group.Go(func() error { return entry.gateway.Serve(callers) })
	group.Go(func() error { return entry.probe(alive, entry.settings.AdminAddress) })
	group.Go(func() error { return entry.probe(alive, entry.settings.MetricsAddress()) })
	go entry.wishes.Run(alive)
	go entry.followServers(alive)
	go entry.expire(alive)
	go entry.gateway.ReportMetrics(alive)
	go entry.buffer.Report(alive, entry.metrics.Scope)
	go entry.loads.Run(alive)
	entry.logger.Info("started", zap.String("data_centre", entry.settings.DataCentre), zap.String("callers", entry.settings.CallersAddress))
	select {
	case <-ctx.Done():
	case <-alive.Done():
		return group.Wait()
	}
	return entry.stop(end, group)
}

// stop lets the balancer notice, then waits for the running requests.
func (entry *entry) stop(end func(), group *errgroup.Group) error {
	limit := time.Now().Add(entry.settings.ShutdownTimeout - stopMargin)
	entry.logger.Info("stopping", zap.Int64("running", entry.gateway.InFlight()))
	entry.leaving.Store(true)
	entry.gateway.BeginDrain()
	time.Sleep(acceptTime)
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	err := entry.gateway.Shutdown(ctx)
	entry.logger.Info("stopped", zap.Int64("running", entry.gateway.InFlight()), zap.Error(err))
	end()
	_ = group.Wait() // The listeners end with the context.
	return nil
}

func (entry *entry) probe(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for probes: %w", err)
	}
	return probes.New(entry.ready, entry.metrics.Handler).Serve(ctx, listener)
}

func (entry *entry) ready() (bool, string) {
	switch {
	case entry.leaving.Load():
		return false, "leaving"
	case entry.wishes.Routes().Version() == 0:
		return false, "no configuration yet"
	case !entry.listed.Load():
		return false, "no list of servers yet"
	default:
		return true, "ready"
	}
}

func (entry *entry) followServers(ctx context.Context) {
	platform.Watch{
		Feed: entry.store, Table: adapter.ServerTable, Wait: serverWait, Settle: platform.Fixed(serverSettle),
		Logger: entry.logger, Scope: entry.metrics.Scope, Update: entry.takeServers,
	}.Run(ctx)
}

// takeRoutes takes the figures of the engines from a new configuration.
func (entry *entry) takeRoutes(table routes.Table) {
	entry.desk.UpdateFleet(func(fleet *placements.Fleet, _ time.Time) { fleet.SetEngineProfiles(engines(table)) })
}

// engines returns the figures of each service's engines that decide how soon they
// answer.
func engines(table routes.Table) map[string]placements.EngineProfile {
	list := map[string]placements.EngineProfile{}
	for _, service := range table.Engines() {
		figures := service.Engine
		step := figures.Step + time.Duration(figures.Slots)*figures.StepPerRequest
		list[service.Name] = placements.EngineProfile{
			TokensPerS:          max(1, figures.PrefillPerS),
			AdmissionInterval:   time.Duration(max(1, figures.Stride)) * step,
			SlotReleaseInterval: time.Duration(figures.UsualAnswer/float64(max(1, figures.Slots))) * step,
		}
	}
	return list
}

// takeServers takes the list of backend servers.
func (entry *entry) takeServers(view platform.View) {
	servers, problems := adapter.Servers(view.Rows)
	view.LogUnread(entry.logger, problems)
	var changes []placements.Change
	entry.desk.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
		changes = fleet.UpdateServers(servers, view.Resumed, now)
	})
	entry.logChanges(changes)
	known := map[string]bool{}
	var agents []netip.AddrPort
	for _, server := range servers {
		known[server.ID] = true
		if service, found := entry.wishes.Routes().Service(server.Service); found && service.Engine == nil {
			continue
		}
		agents = append(agents, server.AgentAddress(entry.settings.PeerPort))
	}
	entry.agents.Store(&agents)
	entry.gateway.PruneConnections(known)
	entry.listed.Store(true)
	entry.logger.Debug("servers listed", zap.Int("servers", len(servers)), zap.Int64("revision", view.Revision))
}

// logChanges writes down which servers are believed in from now on.
func (entry *entry) logChanges(changes []placements.Change) {
	for _, change := range changes {
		event := "server joined"
		switch change.Kind {
		case placements.Draining:
			event = "server draining"
		case placements.Removed:
			event = "server gone"
		}
		entry.logger.Info(event, zap.String("server", change.Server.ID), zap.String("address", change.Server.Address), zap.String("service", change.Server.Service))
	}
}

// notify tells the agent beside an engine of a request.
func (entry *entry) notify(notice gateways.RequestNotice) {
	agent := notice.Server.AgentAddress(entry.settings.PeerPort)
	if notice.Answered {
		entry.loads.NotifyAnswered(agent, notice.RequestNumber)
		return
	}
	entry.loads.NotifySent(agent, notice.RequestNumber, notice.PromptTokens)
}

// announce tells the agents of a version at once.
func (entry *entry) announce() { entry.loads.Announce() }

func (entry *entry) takeReport(report placements.Report) {
	entry.desk.UpdateFleet(func(fleet *placements.Fleet, now time.Time) { fleet.ApplyReport(report, now) })
}

func (entry *entry) expire(ctx context.Context) {
	for tick := time.NewTicker(expireInterval); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
			var changes []placements.Change
			entry.desk.UpdateFleet(func(fleet *placements.Fleet, now time.Time) { changes = fleet.Expire(now) })
			entry.logChanges(changes)
		}
	}
}
