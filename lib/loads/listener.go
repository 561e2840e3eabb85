package loads

// This file is the part of an entry: it subscribes at the agents and receives their
// reports.

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/directives"
	"firford/lib/placements"
	"firford/lib/quarantines"
)

const (
	subscribeInterval = time.Second
	// silentTime is how long an agent may say nothing until the entry may have missed
	// records of crashes, which agents repeat for longer.
	silentTime = 2 * time.Second
)

type (
	// AnnouncementSource provides what an entry knows of the operator's table. Only
	// FullAnnouncement includes the parameters of the engines and origins.
	AnnouncementSource interface {
		Announcement() directives.Announcement
		FullAnnouncement() directives.Announcement
	}

	// StatementSource provides what servers stated to this entry about themselves: their
	// limits, and that they leave.
	StatementSource interface {
		OwnLimits() map[string]placements.LimitStatement
		OwnLeaving() map[string]placements.LeavingStatement
	}

	// Listener receives the reports at an entry.
	Listener struct {
		conn       net.PacketConn
		agents     func() []netip.AddrPort
		source     AnnouncementSource
		statements StatementSource
		crashes    CrashLedger
		onReport   func(placements.Report)
		logger     *zap.Logger

		mutex sync.Mutex
		// heardAt is when each agent was last heard. hasHeard is closed once one was heard.
		heardAt  map[netip.AddrPort]time.Time
		hasHeard chan struct{}
	}
)

// NewListener returns a listener that subscribes at the agents, sends them the
// announcements, statements and crashes of the sources and passes their reports to onReport.
func NewListener(
	conn net.PacketConn, agents func() []netip.AddrPort, source AnnouncementSource, statements StatementSource, crashes CrashLedger,
	onReport func(placements.Report), logger *zap.Logger,
) *Listener {
	return &Listener{conn: conn, agents: agents, source: source, statements: statements, crashes: crashes, onReport: onReport, logger: logger, heardAt: map[netip.AddrPort]time.Time{}, hasHeard: make(chan struct{})}
}

// Run receives reports and renews subscriptions until the context ends.
func (listener *Listener) Run(ctx context.Context) {
	go listener.subscribe(ctx)
	receive(ctx, listener.conn, listener.logger, listener.handle)
}

func (listener *Listener) handle(incoming message, from netip.AddrPort) {
	if incoming.Crashes != nil {
		listener.crashes.Hear(decodeCrashes(incoming.Crashes, time.Now()))
	}
	listener.recordHeard(from)
	if incoming.NeedsServices {
		full := listener.source.FullAnnouncement()
		send(listener.conn, from, message{Announcement: &full}, listener.logger)
	}
	if incoming.Report != nil {
		listener.onReport(placements.Report{
			Server: incoming.Report.Server, Incarnation: incoming.Report.Incarnation, Running: incoming.Report.Running,
			Queued: incoming.Report.Queued, Pending: incoming.Report.Pending, Closed: incoming.Report.Closed, Versions: incoming.Report.Versions,
			Number:  max(incoming.Report.Number, 0),
			Entries: placements.EntryGroup{Count: max(incoming.Report.Entries, 0), Position: max(incoming.Report.Position, 0)},
			Limits:  decodeLimits(incoming.Report.Limits, time.Now()),
			Crashes: decodeCrashes(incoming.Report.Crashes, time.Now()),
			Leaving: decodeLeaving(incoming.Report.Leaving, time.Now()),
		})
	}
}

// NotifySent informs an agent that a request with this many prompt tokens was sent
// to its server.
func (listener *Listener) NotifySent(agent netip.AddrPort, number uint64, tokens int) {
	send(listener.conn, agent, message{Request: &request{Number: number, Tokens: tokens}}, listener.logger)
}

// NotifyAnswered informs an agent that its server began to answer a request, or
// never will.
func (listener *Listener) NotifyAnswered(agent netip.AddrPort, number uint64) {
	send(listener.conn, agent, message{Request: &request{Number: number}}, listener.logger)
}

// NotifyLimit informs an agent of a limit that a server stated.
func (listener *Listener) NotifyLimit(agent netip.AddrPort, server string, statement placements.LimitStatement) {
	limits := encodeLimits(map[string]placements.LimitStatement{server: statement}, time.Now())
	send(listener.conn, agent, message{Limits: limits}, listener.logger)
}

// NotifyCrash informs an agent of a crash that cut off a request of this entry.
func (listener *Listener) NotifyCrash(agent netip.AddrPort, crash quarantines.Crash) {
	now := time.Now()
	records, _ := quarantines.Records{}.With(crash, now)
	send(listener.conn, agent, message{Crashes: encodeCrashes(records, now)}, listener.logger)
}

// NotifyLeaving informs an agent of a server that stated that it leaves.
func (listener *Listener) NotifyLeaving(agent netip.AddrPort, server string, statement placements.LeavingStatement) {
	servers := encodeLeaving(map[string]placements.LeavingStatement{server: statement}, time.Now())
	send(listener.conn, agent, message{Leaving: servers}, listener.logger)
}

// Announce sends the announcement to all agents at once. Each renewal of a subscription
// repeats it.
func (listener *Listener) Announce() {
	agents := listener.agents()
	listener.setAgents(agents)
	for _, agent := range agents {
		listener.sendSubscription(agent)
	}
}

// AwaitAgent waits until an agent has answered the first subscription. It waits no longer
// than the timeout, since there may be no agent.
func (listener *Listener) AwaitAgent(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-listener.hasHeard:
	case <-ctx.Done():
	}
}

func (listener *Listener) sendSubscription(agent netip.AddrPort) {
	announcement := listener.source.Announcement()
	now := time.Now()
	send(listener.conn, agent, message{
		Subscribe: true, Announcement: &announcement,
		Limits: encodeLimits(listener.statements.OwnLimits(), now), Leaving: encodeLeaving(listener.statements.OwnLeaving(), now),
		Crashes: encodeCrashes(listener.crashes.Own(now), now), NeedsCrashes: listener.isSilent(agent, now),
	}, listener.logger)
}

// isSilent reports whether the entry may have missed what the agent repeats. It has if it
// has just started, was cut off or stood still.
func (listener *Listener) isSilent(agent netip.AddrPort, now time.Time) bool {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	return now.Sub(listener.heardAt[agent]) >= silentTime
}

// recordHeard records that something came from the address, if it is that of an agent.
func (listener *Listener) recordHeard(from netip.AddrPort) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if _, isSubscribed := listener.heardAt[from]; !isSubscribed {
		return
	}
	listener.heardAt[from] = time.Now()
	select {
	case <-listener.hasHeard:
	default:
		close(listener.hasHeard)
	}
}

// setAgents begins and ends the records of agents.
func (listener *Listener) setAgents(agents []netip.AddrPort) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	previous := listener.heardAt
	listener.heardAt = make(map[netip.AddrPort]time.Time, len(agents))
	for _, agent := range agents {
		listener.heardAt[agent] = previous[agent]
	}
}

func (listener *Listener) subscribe(ctx context.Context) {
	var agents []netip.AddrPort
	renewedAt := map[netip.AddrPort]time.Time{}
	for tick := time.NewTicker(subscribeInterval / 10); ; {
		if current := listener.agents(); !slices.Equal(current, agents) {
			agents = current
			listener.setAgents(agents)
			maps.DeleteFunc(renewedAt, func(agent netip.AddrPort, _ time.Time) bool { return !slices.Contains(agents, agent) })
		}
		now := time.Now()
		for _, agent := range agents {
			if now.Sub(renewedAt[agent]) < subscribeInterval {
				continue
			}
			renewedAt[agent] = now
			listener.sendSubscription(agent)
		}
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}
