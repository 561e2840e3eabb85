package loads

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"firford/lib/directives"
	"firford/lib/placements"
)

// leavingServers are servers that stated to an entry that they leave.
type leavingServers map[string]placements.LeavingStatement

func (leavingServers) OwnLimits() map[string]placements.LimitStatement { return nil }

func (servers leavingServers) OwnLeaving() map[string]placements.LeavingStatement { return servers }

// entryOf returns the listener of an entry that knows the agent, and the reports that it
// receives.
func entryOf(ctx context.Context, t *testing.T, agent netip.AddrPort, statements StatementSource) (*Listener, chan placements.Report) {
	conn, _ := listen(t)
	reports := make(chan placements.Report, 64)
	agents := func() []netip.AddrPort { return []netip.AddrPort{agent} }
	listener := NewListener(conn, agents, announcementSource{}, statements, noCrashes{}, func(report placements.Report) { reports <- report }, zap.NewNop())
	go listener.Run(ctx)
	return listener, reports
}

// leavingIn waits for a report that names the server as leaving.
func leavingIn(reports chan placements.Report, server string) (placements.LeavingStatement, bool) {
	for timeout := time.After(3 * time.Second); ; {
		select {
		case report := <-reports:
			if statement, found := report.Leaving[server]; found {
				return statement, true
			}
		case <-timeout:
			return placements.LeavingStatement{}, false
		}
	}
}

// Guards against a server that leaves and goes on to get requests from the entries to
// which it has not stated that.
func TestLeavingReachesTheOtherEntries(t *testing.T) {
	convey.Convey("Given an agent with two entries", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		agentConn, agent := listen(t)
		reporter := NewReporter(agentConn, func(directives.Announcement) AnnouncementReply { return AnnouncementReply{} }, zap.NewNop())
		go reporter.Run(ctx)
		reporter.Report(placements.Report{Server: "i-1"})
		_, otherReports := entryOf(ctx, t, agent, noLimits{})
		<-otherReports
		convey.Convey("Then one hears at once what a server has stated to the other", func() {
			hears, reports := entryOf(ctx, t, agent, noLimits{})
			<-reports
			heardAt := time.Now().Add(-50 * time.Millisecond)
			hears.NotifyLeaving(agent, "i-9", placements.LeavingStatement{HeardAt: heardAt, StartedUnixMilli: 7})
			statement, found := leavingIn(otherReports, "i-9")
			convey.So(found, convey.ShouldBeTrue)
			convey.So(time.Since(heardAt), convey.ShouldBeLessThan, time.Second)
			convey.So(statement.StartedUnixMilli, convey.ShouldEqual, 7)
			convey.So(statement.HeardAt, convey.ShouldHappenWithin, 200*time.Millisecond, heardAt)
		})
		convey.Convey("Then subscriptions repeat it, in case the notice was lost", func() {
			entryOf(ctx, t, agent, leavingServers{"i-9": {HeardAt: time.Now()}})
			go func() {
				for ctx.Err() == nil {
					reporter.Report(placements.Report{Server: "i-1", Running: time.Now().Nanosecond()})
					time.Sleep(10 * time.Millisecond)
				}
			}()
			_, found := leavingIn(otherReports, "i-9")
			convey.So(found, convey.ShouldBeTrue)
		})
		convey.Convey("Then an old statement is not passed on", func() {
			old := leavingServers{"i-9": {HeardAt: time.Now().Add(-time.Hour)}}
			convey.So(decodeLeaving(encodeLeaving(old, time.Now()), time.Now()), convey.ShouldBeEmpty)
			convey.So(reporter.recordLeaving(old), convey.ShouldHaveLength, 1)
			convey.So(currentStatements(reporter.leaving, time.Now()), convey.ShouldBeEmpty)
			convey.So(reporter.leaving, convey.ShouldBeEmpty)
		})
	})
}

// Guards against a datagram with so many servers that it can't be received.
func TestManyLeavingServersFitIntoADatagram(t *testing.T) {
	convey.Convey("Given far more servers with limits and leaving ones than a datagram holds", t, func() {
		leaving, limits := leavingServers{}, map[string]placements.LimitStatement{}
		for i := range 500 {
			id := "i-0123456789" + time.Duration(i).String()
			leaving[id] = placements.LeavingStatement{HeardAt: time.Now(), StartedUnixMilli: time.Now().UnixMilli()}
			limits[id] = placements.LimitStatement{HeardAt: time.Now(), PerS: 1.0 / 3}
		}
		conn, address := listen(t)
		defer func() { _ = conn.Close() }()
		sender, _ := listen(t)
		send(sender, address, message{Limits: encodeLimits(limits, time.Now()), Leaving: encodeLeaving(leaving, time.Now())}, zap.NewNop())
		buffer := make([]byte, maxDatagramBytes)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		count, _, err := conn.ReadFrom(buffer)
		convey.So(err, convey.ShouldBeNil)
		convey.So(count, convey.ShouldBeLessThan, maxDatagramBytes*3/4)
		received, err := decode(buffer[:count])
		convey.So(err, convey.ShouldBeNil)
		convey.So(decodeLeaving(received.Leaving, time.Now()), convey.ShouldHaveLength, maxLeaving)
	})
}
