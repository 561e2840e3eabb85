package hearing

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"firford/lib/placements"
	"firford/lib/quarantines"
)

const (
	leavingNotice noticeKind = iota
	crashNotice
	noticeKinds

	// hearTimeout is longer than any record is repeated.
	hearTimeout = 12 * time.Second
	// pauseTime and more, up to reportPhases, lie between two notices, so that they come at
	// any time between two reports.
	pauseTime = 200 * time.Millisecond
	// partsPerCrash is the number of prompt parts in a crash record of the measurement.
	partsPerCrash = 4
)

type (
	noticeKind int

	// hearing follows which entries have heard of a server. It is safe for concurrent use.
	hearing struct {
		mutex   sync.Mutex
		server  string
		missing map[int]bool
		lastAt  time.Time
		done    chan struct{}
	}
)

func (kind noticeKind) String() string {
	return [...]string{leavingNotice: "leaving", crashNotice: "crash"}[kind]
}

func newHearing() *hearing { return &hearing{} }

// expect begins to follow the server, and returns a channel that is closed when all of
// the entries but one have heard of it.
func (hearing *hearing) expect(server string, entries, without int) <-chan struct{} {
	hearing.mutex.Lock()
	defer hearing.mutex.Unlock()
	hearing.server, hearing.missing, hearing.done = server, map[int]bool{}, make(chan struct{})
	for i := range entries {
		if i != without {
			hearing.missing[i] = true
		}
	}
	return hearing.done
}

// record records the report that an entry has received.
func (hearing *hearing) record(entry int, report placements.Report) {
	hearing.mutex.Lock()
	defer hearing.mutex.Unlock()
	if !hearing.missing[entry] || !names(report, hearing.server) {
		return
	}
	delete(hearing.missing, entry)
	if len(hearing.missing) == 0 {
		hearing.lastAt = time.Now()
		close(hearing.done)
	}
}

func (hearing *hearing) heardAt() time.Time {
	hearing.mutex.Lock()
	defer hearing.mutex.Unlock()
	return hearing.lastAt
}

// names reports whether the report names the server as leaving or crashed.
func names(report placements.Report, server string) bool {
	if _, isLeaving := report.Leaving[server]; isLeaving {
		return true
	}
	for _, crash := range report.Crashes.Crashes() {
		if crash.Server == server {
			return true
		}
	}
	return false
}

// measureHearing lets one entry after the other send notices, and measures when all
// others have heard them. A notice of one kind makes an agent repeat those of the other,
// so each is heard before the next one is sent.
func measureHearing(ctx context.Context, size fleetSize, loss float64, repeats int, seed uint64) ([noticeKinds]heardTimes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	times := [noticeKinds]heardTimes{}
	fleet, err := startFleet(ctx, size, loss, seed)
	if err != nil {
		return times, err
	}
	for i := range repeats {
		for kind := range noticeKinds {
			if !wait(ctx, pauseTime+fleet.phase(reportPhases)) {
				return times, ctx.Err()
			}
			after, isHeard, err := fleet.measureNotice(ctx, kind, fmt.Sprintf("%s-%04d", kind, i))
			if err != nil {
				return times, err
			}
			times[kind] = times[kind].with(after, isHeard)
		}
	}
	return times, nil
}

// measureNotice lets a random entry notify a random agent, and waits until all other
// entries have heard it.
func (fleet *fleet) measureNotice(ctx context.Context, kind noticeKind, server string) (after time.Duration, isHeard bool, err error) {
	from := fleet.random.IntN(len(fleet.entries))
	agent := fleet.agents[fleet.random.IntN(len(fleet.agents))]
	done := fleet.hearing.expect(server, len(fleet.entries), from)
	sentAt := time.Now()
	switch kind {
	case leavingNotice:
		fleet.stateLeaving(fleet.entries[from], agent, server)
	case crashNotice:
		fleet.stateCrash(fleet.entries[from], agent, server)
	}
	select {
	case <-ctx.Done():
		return 0, false, ctx.Err()
	case <-done:
		return fleet.hearing.heardAt().Sub(sentAt), true, nil
	case <-time.After(hearTimeout):
		return 0, false, nil
	}
}

// measureCosts measures what the datagrams cost while servers state something. Each
// states it to one entry.
func measureCosts(ctx context.Context, size fleetSize, load load, seed uint64) (roleCosts, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := startFleet(ctx, size, 0, seed)
	if err != nil {
		return roleCosts{}, err
	}
	entriesBefore, agentsBefore, start := readCounts(fleet.conns.entries), readCounts(fleet.conns.agents), time.Now()
	for i := range load.leaving {
		fleet.stateLeaving(fleet.entries[i%size.entries], fleet.agents[i%size.agents], "leaving-"+strconv.Itoa(i))
	}
	for i := range load.crashes {
		fleet.stateCrash(fleet.entries[i%size.entries], fleet.agents[i%size.agents], "crashed-"+strconv.Itoa(i))
	}
	if !wait(ctx, costTime) {
		return roleCosts{}, ctx.Err()
	}
	elapsed := time.Since(start)
	return roleCosts{
		entry: costOf(countsSince(fleet.conns.entries, entriesBefore), elapsed),
		agent: costOf(countsSince(fleet.conns.agents, agentsBefore), elapsed),
	}, nil
}

func readCounts(conns []*countedConn) []counts {
	read := make([]counts, len(conns))
	for i, conn := range conns {
		read[i] = conn.read()
	}
	return read
}

func countsSince(conns []*countedConn, earlier []counts) []counts {
	read := readCounts(conns)
	for i := range read {
		read[i] = read[i].since(earlier[i])
	}
	return read
}

// crashParts returns prompt parts with ids of the length that the platform's callers use.
func crashParts() []quarantines.Trait {
	ids := make([]string, partsPerCrash)
	for i := range ids {
		ids[i] = fmt.Sprintf("%08x", 0x5c1e07a2+i)
	}
	return quarantines.Parts(ids...)
}
