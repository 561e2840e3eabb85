package loads

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"firford/lib/directives"
	"firford/lib/placements"
)

// reportBusy sends reports of an engine whose load changes all the time.
func reportBusy(ctx context.Context, reporter *Reporter, server string) {
	for number := 0; ctx.Err() == nil; number++ {
		reporter.Report(placements.Report{Server: server, Running: number})
		time.Sleep(5 * time.Millisecond)
	}
}

// startAgents starts agents of busy engines and returns their addresses.
func startAgents(ctx context.Context, t *testing.T, count int) []netip.AddrPort {
	var agents []netip.AddrPort
	for i := range count {
		conn, address := listen(t)
		reporter := NewReporter(conn, func(directives.Announcement) AnnouncementReply { return AnnouncementReply{} }, zap.NewNop())
		go reporter.Run(ctx)
		go reportBusy(ctx, reporter, fmt.Sprintf("engine-%d", i))
		agents = append(agents, address)
	}
	return agents
}

// Guards against statements that cross the links with each report of each agent: while 40
// servers left, reports were fifteen times as long, and the links of the entries were full.
func TestStatementsTravelAFewTimes(t *testing.T) {
	convey.Convey("Given an agent of a busy engine, and an entry that hears that a server leaves", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		agents := startAgents(ctx, t, 1)
		_, reports := entryOf(ctx, t, agents[0], noLimits{})
		hears, _ := entryOf(ctx, t, agents[0], noLimits{})
		<-reports
		hears.NotifyLeaving(agents[0], "i-9", placements.LeavingStatement{HeardAt: time.Now()})
		all, named := 0, 0
		for timeout := time.After(1500 * time.Millisecond); ctx.Err() == nil; {
			select {
			case report := <-reports:
				all++
				if _, isNamed := report.Leaving["i-9"]; isNamed {
					named++
				}
				continue
			case <-timeout:
			}
			break
		}
		convey.So(all, convey.ShouldBeGreaterThan, 100)
		convey.So(named, convey.ShouldBeBetweenOrEqual, 1, newsSends+2)
	})
}

// Guards against a statement of which every notice is lost: the other entries must hear it
// from what agents are told and asked in turn.
func TestStatementsReachEntriesThatMissedTheNotice(t *testing.T) {
	convey.Convey("Given many agents, and an entry whose notices are lost", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		agents := startAgents(ctx, t, 24)
		list := func() []netip.AddrPort { return agents }
		start := func(statements StatementSource, onReport func(placements.Report)) {
			conn, _ := listen(t)
			go NewListener(conn, list, announcementSource{}, statements, noCrashes{}, onReport, zap.NewNop()).Run(ctx)
		}
		heard := make(chan time.Time, 1)
		start(noLimits{}, func(report placements.Report) {
			if _, found := report.Leaving["i-9"]; found {
				select {
				case heard <- time.Now():
				default:
				}
			}
		})
		time.Sleep(subscribeInterval)
		statedAt := time.Now()
		start(leavingServers{"i-9": {HeardAt: statedAt}}, func(placements.Report) {})
		select {
		case at := <-heard:
			convey.So(at.Sub(statedAt), convey.ShouldBeLessThan, 1500*time.Millisecond)
		case <-time.After(10 * time.Second):
			convey.So("not heard", convey.ShouldBeEmpty)
		}
	})
}
