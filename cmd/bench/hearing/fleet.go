package hearing

// This file runs the entries and agents.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/directives"
	"firford/lib/loads"
	"firford/lib/placements"
	"firford/lib/quarantines"
)

const (
	// statusInterval is how often an agent of the product reads the status of its engine
	// and offers it to its reporter.
	statusInterval = 40 * time.Millisecond
	// reportPhases and subscriptionPhases spread the first report and subscription, as the
	// processes of a fleet do not start together.
	reportPhases       = 450 * time.Millisecond
	subscriptionPhases = time.Second
)

type (
	// fleet is a number of entries and agents, each with a connection of its own.
	fleet struct {
		entries []*entry
		agents  []netip.AddrPort
		conns   struct{ entries, agents []*countedConn }
		hearing *hearing
		random  *rand.Rand
	}

	// entry is a listener and what servers have stated to it. It is safe for concurrent use.
	entry struct {
		listener *loads.Listener
		mutex    sync.Mutex
		leaving  map[string]placements.LeavingStatement
		crashes  quarantines.Records
	}

	// announcements is the operator's table of a fleet with two models.
	announcements struct{}
)

// Announcement returns what an entry announces with each subscription.
func (announcements) Announcement(time.Time) directives.Announcement {
	return directives.Announcement{Configuration: 120, Engines: 1 << 63, Versions: map[string]int{"model-1": 12, "model-2": 7}}
}

// FullAnnouncement returns the same, as no agent of the measurement requests more.
func (source announcements) FullAnnouncement(now time.Time) directives.Announcement {
	return source.Announcement(now)
}

// ApplyAges ignores what agents know, as nothing is announced meanwhile.
func (announcements) ApplyAges(directives.VersionAges, time.Time) {}

// EvacuationNews returns nothing, as no data centre is evacuated.
func (announcements) EvacuationNews(time.Time) *directives.EvacuationState { return nil }

// ApplyEvacuations ignores what agents know, as no data centre is evacuated.
func (announcements) ApplyEvacuations(*directives.EvacuationState, time.Time) {}

// OwnLimits returns no limits, as none is measured.
func (*entry) OwnLimits() map[string]placements.LimitStatement { return nil }

// OwnLeaving returns the statements that are still passed on.
func (entry *entry) OwnLeaving() map[string]placements.LeavingStatement {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	current := map[string]placements.LeavingStatement{}
	for server, statement := range entry.leaving {
		if statement.IsCurrent(time.Now()) {
			current[server] = statement
		}
	}
	return current
}

// Own returns the crashes that are still passed on.
func (entry *entry) Own(now time.Time) quarantines.Records {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.crashes.Recent(now)
}

// Hear ignores what agents answer to an entry that has heard nothing of them before.
func (*entry) Hear(quarantines.Records) {}

// startFleet starts the entries and agents and waits until each agent knows each entry.
func startFleet(ctx context.Context, size fleetSize, loss float64, seed uint64) (*fleet, error) {
	started := &fleet{hearing: newHearing(), random: newRandom(seed, 0)}
	for i := range size.agents {
		conn, address, err := started.listen(loss, seed)
		if err != nil {
			return nil, err
		}
		reporter := loads.NewReporter(conn, func(directives.Announcement) loads.AnnouncementReply { return loads.AnnouncementReply{} }, zap.NewNop())
		started.agents = append(started.agents, address)
		started.conns.agents = append(started.conns.agents, conn)
		go reporter.Run(ctx)
		go reportStatus(ctx, reporter, i, started.phase(reportPhases))
	}
	for i := range size.entries {
		conn, _, err := started.listen(loss, seed)
		if err != nil {
			return nil, err
		}
		added := &entry{leaving: map[string]placements.LeavingStatement{}}
		agents := func() []netip.AddrPort { return started.agents }
		added.listener = loads.NewListener(conn, agents, announcements{}, added, added, func(report placements.Report) { started.hearing.record(i, report) }, zap.NewNop())
		started.entries = append(started.entries, added)
		started.conns.entries = append(started.conns.entries, conn)
		phase := started.phase(subscriptionPhases)
		go func() {
			if wait(ctx, phase) {
				added.listener.Run(ctx)
			}
		}()
	}
	if !wait(ctx, subscriptionPhases+settleTime) {
		return nil, ctx.Err()
	}
	return started, nil
}

func (fleet *fleet) listen(loss float64, seed uint64) (*countedConn, netip.AddrPort, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	stream := 1 + len(fleet.conns.agents) + len(fleet.conns.entries)
	return newCountedConn(conn, loss, newRandom(seed, uint64(stream))), conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// phase returns a random time below the interval.
func (fleet *fleet) phase(interval time.Duration) time.Duration {
	return time.Duration(fleet.random.Int64N(int64(interval)))
}

// reportStatus offers the status of an idle engine to the reporter, as an agent does.
func reportStatus(ctx context.Context, reporter *loads.Reporter, number int, phase time.Duration) {
	status := placements.Report{
		Server: fmt.Sprintf("server-%04d", number), Incarnation: time.Now().UnixMilli(), Versions: map[string]int{"model-1": 12, "model-2": 7},
	}
	for isRunning := wait(ctx, phase); isRunning; isRunning = wait(ctx, statusInterval) {
		reporter.Report(status)
	}
}

// stateLeaving lets the server state to the entry that it leaves, and the entry notify
// the agent.
func (fleet *fleet) stateLeaving(entry *entry, agent netip.AddrPort, server string) {
	statement := placements.LeavingStatement{HeardAt: time.Now(), StartedUnixMilli: time.Now().UnixMilli()}
	entry.mutex.Lock()
	entry.leaving[server] = statement
	entry.mutex.Unlock()
	entry.listener.NotifyLeaving(agent, server, statement)
}

// stateCrash lets the entry record a crash of the server, and notify the agent.
func (fleet *fleet) stateCrash(entry *entry, agent netip.AddrPort, server string) {
	now := time.Now()
	crash := quarantines.Crash{Server: server, At: now, Traits: crashParts()}
	entry.mutex.Lock()
	entry.crashes, _ = entry.crashes.With(crash, now)
	entry.mutex.Unlock()
	entry.listener.NotifyCrash(agent, crash)
}

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// wait reports whether the context has not ended before the duration.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
