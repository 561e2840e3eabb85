package loads

// This file is the part of an entry: it subscribes at the agents and receives their
// reports.

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/directives"
	"firford/lib/paces"
	"firford/lib/placements"
	"firford/lib/quarantines"
)

const (
	subscribeInterval = time.Second
	// exchangedAgents is how many agents an entry tells in each subscribeInterval what it has
	// heard from servers, and asks for what they have heard. They are others each time. With
	// all agents, the same statements would cross the links once for each agent.
	exchangedAgents = 4
	// silentTime is how long an agent may say nothing until the entry may have missed
	// records of crashes, which agents repeat for longer.
	silentTime = 2 * time.Second
	// notifiedAgents is how many agents an entry tells of a change of evacuations at once.
	// The others hear of it in the next exchanges, from any entry. At 350 entries and 940
	// engines each agent gets 24 such datagrams of about 100 bytes.
	notifiedAgents = 64
)

type (
	// AnnouncementSource provides what an entry knows of the operator's table, and hears
	// what agents know of it. Only FullAnnouncement includes the parameters of the engines
	// and origins.
	AnnouncementSource interface {
		Announcement(now time.Time) directives.Announcement
		FullAnnouncement(now time.Time) directives.Announcement
		ApplyAges(ages directives.VersionAges, now time.Time)
		EvacuationNews(now time.Time) *directives.EvacuationState
		ApplyEvacuations(told *directives.EvacuationState, now time.Time)
	}

	// StatementSource provides what servers stated to this entry about themselves: their
	// limits, and that they leave.
	StatementSource interface {
		OwnLimits() map[string]placements.LimitStatement
		OwnLeaving() map[string]placements.LeavingStatement
	}

	// DemandSource returns how many requests a second for the service of an agent arrive or
	// wait at this entry, or false if that is not told to the agent.
	DemandSource func(agent netip.AddrPort) (perS float64, isTold bool)

	// Listener receives the reports at an entry.
	Listener struct {
		conn       net.PacketConn
		agents     func() []netip.AddrPort
		source     AnnouncementSource
		statements StatementSource
		crashes    CrashLedger
		demands    DemandSource
		onReport   func(placements.Report)
		logger     *zap.Logger

		mutex sync.Mutex
		// heardAt is when each agent was last heard. hasHeard is closed once one was heard.
		heardAt  map[netip.AddrPort]time.Time
		hasHeard chan struct{}
		// exchangeTurn decides with which agents statements are exchanged now.
		exchangeTurn int
	}
)

// NewListener returns a listener that subscribes at the agents, sends them the
// announcements, statements and crashes of the sources and passes their reports to onReport.
func NewListener(
	conn net.PacketConn, agents func() []netip.AddrPort, source AnnouncementSource, statements StatementSource, crashes CrashLedger,
	onReport func(placements.Report), logger *zap.Logger,
) *Listener {
	return &Listener{conn: conn, agents: agents, source: source, statements: statements, crashes: crashes, demands: noDemands, onReport: onReport, logger: logger, heardAt: map[netip.AddrPort]time.Time{}, hasHeard: make(chan struct{})}
}

// noDemands is the source of an entry that tells no demand.
func noDemands(netip.AddrPort) (float64, bool) { return 0, false }

// SetDemands makes the subscriptions tell the demands. Call it before Run.
func (listener *Listener) SetDemands(demands DemandSource) { listener.demands = demands }

// Run receives reports and renews subscriptions until the context ends.
func (listener *Listener) Run(ctx context.Context) {
	go listener.subscribe(ctx)
	receive(ctx, listener.conn, listener.logger, listener.handle)
}

func (listener *Listener) handle(incoming message, from netip.AddrPort) {
	if incoming.Crashes != nil {
		listener.crashes.Hear(decodeCrashes(incoming.Crashes, time.Now()))
	}
	if incoming.Evacuations != nil {
		listener.source.ApplyEvacuations(incoming.Evacuations, time.Now())
	}
	listener.recordHeard(from)
	if incoming.NeedsServices {
		full := listener.source.FullAnnouncement(time.Now())
		send(listener.conn, from, message{Announcement: &full}, listener.logger)
	}
	if len(incoming.Ages) > 0 {
		listener.source.ApplyAges(incoming.Ages, time.Now())
	}
	if incoming.Report != nil {
		now := time.Now()
		listener.onReport(placements.Report{
			Server: incoming.Report.Server, Incarnation: incoming.Report.Incarnation, Running: incoming.Report.Running,
			Queued: incoming.Report.Queued, Pending: incoming.Report.Pending, Closed: incoming.Report.Closed, Versions: incoming.Report.Versions,
			Number:  max(incoming.Report.Number, 0),
			Entries: placements.EntryGroup{Count: max(incoming.Report.Entries, 0), Position: max(incoming.Report.Position, 0)},
			Limits:  decodeLimits(incoming.Report.Limits, time.Now()),
			Crashes: decodeCrashes(incoming.Report.Crashes, time.Now()),
			Leaving: decodeLeaving(incoming.Report.Leaving, time.Now()),
			Part:    decodePart(incoming.Report.Share),
			Pace:    paces.New(incoming.Report.Pace, timeOfAge(incoming.Report.PaceAgeMS, now)),
		})
	}
}

// NotifySent informs an agent that a request with this many prompt tokens was sent
// to its server.
func (listener *Listener) NotifySent(agent netip.AddrPort, number uint64, tokens int) {
	send(listener.conn, agent, message{Request: &request{Number: number, Tokens: tokens}}, listener.logger)
}

// NotifyAnswered informs an agent that its server began to answer a request, or
// never will, and of the pace in percent that the server stated, zero if it did not.
func (listener *Listener) NotifyAnswered(agent netip.AddrPort, number uint64, pace int) {
	send(listener.conn, agent, message{Request: &request{Number: number, Pace: pace}}, listener.logger)
}

// NotifyLimit informs an agent and a second one of a limit that a server stated.
func (listener *Listener) NotifyLimit(agent netip.AddrPort, server string, statement placements.LimitStatement) {
	limits := encodeLimits(map[string]placements.LimitStatement{server: statement}, time.Now())
	listener.notifyTwo(agent, message{Limits: limits})
}

// notifyTwo sends the message to the agent and to another one, since datagrams get lost.
func (listener *Listener) notifyTwo(agent netip.AddrPort, outgoing message) {
	send(listener.conn, agent, outgoing, listener.logger)
	agents := listener.agents()
	if len(agents) < 2 {
		return
	}
	second := agents[rand.IntN(len(agents))]
	if second == agent {
		second = agents[(slices.Index(agents, agent)+1)%len(agents)]
	}
	send(listener.conn, second, outgoing, listener.logger)
}

// NotifyCrash informs an agent and a second one of a crash that cut off a request of this
// entry.
func (listener *Listener) NotifyCrash(agent netip.AddrPort, crash quarantines.Crash) {
	now := time.Now()
	records, _ := quarantines.Records{}.With(crash, now)
	listener.notifyTwo(agent, message{Crashes: encodeCrashes(records, now)})
}

// NotifyLeaving informs an agent and a second one of a server that stated that it leaves.
func (listener *Listener) NotifyLeaving(agent netip.AddrPort, server string, statement placements.LeavingStatement) {
	servers := encodeLeaving(map[string]placements.LeavingStatement{server: statement}, time.Now())
	listener.notifyTwo(agent, message{Leaving: servers})
}

// Announce sends the announcement to all agents at once. Each renewal of a subscription
// repeats it.
func (listener *Listener) Announce() {
	agents := listener.agents()
	listener.setAgents(agents)
	for i, agent := range agents {
		listener.sendSubscription(agent, listener.isExchangeDue(i, len(agents)))
	}
}

// NotifyEvacuations tells some agents, chosen at random, of a change of the evacuations.
func (listener *Listener) NotifyEvacuations() {
	announcement := directives.Announcement{Evacuations: listener.source.EvacuationNews(time.Now())}
	agents := listener.agents()
	for _, i := range rand.Perm(len(agents))[:min(notifiedAgents, len(agents))] {
		send(listener.conn, agents[i], message{Announcement: &announcement}, listener.logger)
	}
}

// isExchangeDue reports whether statements are exchanged now with the agent that has this
// place among count agents.
func (listener *Listener) isExchangeDue(place, count int) bool {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	stride := (count + exchangedAgents - 1) / exchangedAgents
	return (place+listener.exchangeTurn)%stride == 0
}

func (listener *Listener) nextExchangeTurn() {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.exchangeTurn++
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

// sendSubscription renews the subscription at the agent. An exchange also tells it what
// this entry has heard from servers, and asks for what the agent has heard.
func (listener *Listener) sendSubscription(agent netip.AddrPort, isExchange bool) {
	now := time.Now()
	announcement := listener.source.Announcement(now)
	subscription := message{Subscribe: true, Announcement: &announcement, NeedsCrashes: listener.isSilent(agent, now), NeedsStatements: isExchange}
	if subscription.NeedsCrashes || isExchange {
		announcement.Evacuations = listener.source.EvacuationNews(now)
	}
	if perS, isTold := listener.demands(agent); isTold {
		subscription.Demand = encodeDemand(perS)
	}
	if isExchange {
		subscription.Limits = encodeLimits(listener.statements.OwnLimits(), now)
		subscription.Leaving = encodeLeaving(listener.statements.OwnLeaving(), now)
		subscription.Crashes = encodeCrashes(listener.crashes.Own(now), now)
	}
	send(listener.conn, agent, subscription, listener.logger)
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
	turnEndsAt := time.Now().Add(subscribeInterval)
	for tick := time.NewTicker(subscribeInterval / 10); ; {
		if current := listener.agents(); !slices.Equal(current, agents) {
			agents = current
			listener.setAgents(agents)
			maps.DeleteFunc(renewedAt, func(agent netip.AddrPort, _ time.Time) bool { return !slices.Contains(agents, agent) })
		}
		now := time.Now()
		if now.After(turnEndsAt) {
			turnEndsAt = now.Add(subscribeInterval)
			listener.nextExchangeTurn()
		}
		for i, agent := range agents {
			if now.Sub(renewedAt[agent]) < subscribeInterval {
				continue
			}
			renewedAt[agent] = now
			listener.sendSubscription(agent, listener.isExchangeDue(i, len(agents)))
		}
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}
