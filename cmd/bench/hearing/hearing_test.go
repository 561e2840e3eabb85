package hearing

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/placements"
	"firford/lib/quarantines"
)

// Guards against costs that leave out a direction, the headers or the number of processes.
func TestCostsAreMeansOfAProcess(t *testing.T) {
	convey.Convey("Given the counts of two processes over two seconds", t, func() {
		before := counts{sent: 100, sentBytes: 9000, received: 50, receivedBytes: 7000, largestBytes: 300}
		after := counts{sent: 110, sentBytes: 10_000, received: 54, receivedBytes: 7200, largestBytes: 300}
		other := counts{sent: 2, sentBytes: 400, received: 4, receivedBytes: 200, largestBytes: 200}
		measured := costOf([]counts{after.since(before), other}, 2*time.Second)
		convey.So(measured, convey.ShouldResemble, cost{
			sentPerS: 3, sentBytesPerS: (1400.0 + 12*headerBytes) / 4, receivedPerS: 2, receivedBytesPerS: (400.0 + 8*headerBytes) / 4, largestBytes: 300,
		})
		convey.So(measured.bytesPerS(), convey.ShouldEqual, (1800.0+20*headerBytes)/4)
		convey.Convey("Then entries grow with the agents and agents with the entries", func() {
			scaled := roleCosts{entry: measured, agent: measured}.scaledTo(fleetSize{entries: 10, agents: 20}, fleetSize{entries: 30, agents: 40})
			convey.So(scaled.entry.bytesPerS(), convey.ShouldEqual, 2*measured.bytesPerS())
			convey.So(scaled.entry.receivedPerS, convey.ShouldEqual, 4)
			convey.So(scaled.agent.bytesPerS(), convey.ShouldEqual, 3*measured.bytesPerS())
			convey.So(scaled.agent.sentPerS, convey.ShouldEqual, 9)
		})
	})
}

// Guards against a notice that was not heard and counts as a fast one.
func TestHeardTimes(t *testing.T) {
	convey.Convey("Missed notices are counted apart from the times", t, func() {
		times := heardTimes{}.with(9*time.Millisecond, true).with(0, false).with(time.Millisecond, true).with(3*time.Millisecond, true)
		convey.So(times.median(), convey.ShouldEqual, 3*time.Millisecond)
		convey.So(times.worst(), convey.ShouldEqual, 9*time.Millisecond)
		convey.So(times.missed, convey.ShouldEqual, 1)
		convey.So(times.with(5*time.Millisecond, true).median(), convey.ShouldEqual, 4*time.Millisecond)
		convey.So(heardTimes{missed: 2}.row(crashNotice, 0.1), convey.ShouldResemble, []string{"crash", "10%", "2", "2", "–", "–"})
	})
}

// Guards against a time that ends before the last entry has heard the notice, by a
// repeated report, another server or the entry that sent it.
func TestHearingEndsWithTheLastEntry(t *testing.T) {
	convey.Convey("Given three entries of which the first sends a notice", t, func() {
		hearing := newHearing()
		done := hearing.expect("i-9", 3, 0)
		isDone := func() bool {
			select {
			case <-done:
				return true
			default:
				return false
			}
		}
		now := time.Now()
		leaving := placements.Report{Server: "i-1", Leaving: map[string]placements.LeavingStatement{"i-9": {HeardAt: now}}}
		records, _ := quarantines.Records{}.With(quarantines.Crash{Server: "i-9", At: now, Traits: quarantines.Parts("a")}, now)
		hearing.record(0, leaving)
		hearing.record(1, leaving)
		hearing.record(1, leaving)
		hearing.record(2, placements.Report{Server: "i-9"})
		convey.So(isDone(), convey.ShouldBeFalse)
		hearing.record(2, placements.Report{Server: "i-1", Crashes: records})
		convey.So(isDone(), convey.ShouldBeTrue)
		convey.So(hearing.heardAt(), convey.ShouldHappenOnOrAfter, now)
	})
}

// Guards against a loss that is not applied, and against dropped datagrams that are not
// counted as sent.
func TestCountedConnDropsItsShare(t *testing.T) {
	convey.Convey("Given a connection that drops half of its datagrams", t, func() {
		listen := func() net.PacketConn {
			conn, err := net.ListenPacket("udp", "127.0.0.1:0")
			convey.So(err, convey.ShouldBeNil)
			t.Cleanup(func() { _ = conn.Close() })
			return conn
		}
		sender := newCountedConn(listen(), 0.5, newRandom(1, 1))
		receiver := newCountedConn(listen(), 0, newRandom(1, 2))
		for range 40 {
			written, err := sender.WriteTo([]byte("12345"), receiver.LocalAddr())
			convey.So(err, convey.ShouldBeNil)
			convey.So(written, convey.ShouldEqual, 5)
		}
		convey.So(receiver.SetReadDeadline(time.Now().Add(200*time.Millisecond)), convey.ShouldBeNil)
		for err := error(nil); err == nil; {
			_, _, err = receiver.ReadFrom(make([]byte, 16))
		}
		convey.So(sender.read(), convey.ShouldResemble, counts{sent: 40, sentBytes: 200, largestBytes: 5})
		received := receiver.read()
		convey.So(received.received, convey.ShouldBeBetween, 8, 32)
		convey.So(received.receivedBytes, convey.ShouldEqual, 5*received.received)
	})
}

// Guards against a fleet whose entries and agents do not reach each other, which would
// cost nothing.
func TestMeasureSmallFleet(t *testing.T) {
	convey.Convey("Given two entries and three agents", t, func() {
		size := fleetSize{entries: 2, agents: 3}
		times, err := measureHearing(context.Background(), size, 0, 1, 1)
		convey.So(err, convey.ShouldBeNil)
		for kind := range noticeKinds {
			convey.So(times[kind].missed, convey.ShouldEqual, 0)
			convey.So(times[kind].all, convey.ShouldHaveLength, 1)
		}
		costs, err := measureCosts(context.Background(), size, load{leaving: 1}, 1)
		convey.So(err, convey.ShouldBeNil)
		convey.So(costs.entry.sentPerS, convey.ShouldBeGreaterThan, 0)
		convey.So(costs.agent.sentPerS, convey.ShouldBeGreaterThan, 0)
		convey.So(costs.entry.largestBytes, convey.ShouldBeGreaterThan, 0)
		convey.So(costs.agent.receivedPerS, convey.ShouldBeGreaterThan, 0)
	})
}
