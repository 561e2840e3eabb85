package directives

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/platform"
	"firford/lib/routes"
)

var evacuationStart = time.Unix(1_800_000_000, 0)

// evacuationReader is a follower of an entry and what it was told of changes.
type evacuationReader struct {
	*Follower
	changes []string
}

func newEvacuationReader() *evacuationReader {
	reader := &evacuationReader{}
	reader.Follower = New(Dependencies{
		RoutesChanged: func(routes.Table) {}, VersionAnnounced: func() {}, Logger: zap.NewNop(), Scope: tally.NoopScope,
		EvacuationsChanged: func(_ []string, _ platform.Position, heardBy string) {
			reader.changes = append(reader.changes, heardBy)
		},
	})
	return reader
}

// read applies a view of the table with rows for the data centres.
func (reader *evacuationReader) read(epoch, revision int64, now time.Time, dataCentres ...string) {
	reader.Decode = func(map[string]platform.Row) DesiredState { return DesiredState{Evacuations: dataCentres} }
	reader.applyView(platform.View{Position: platform.Position{Epoch: epoch, Revision: revision}}, now)
}

func (reader *evacuationReader) active(now time.Time) []string {
	return reader.Evacuations().DataCentres(now)
}

// newRelay returns the follower of an agent, which reads only a part of the table.
func newRelay() *Follower {
	return New(Dependencies{
		RoutesChanged: func(routes.Table) {}, VersionAnnounced: func() {}, Logger: zap.NewNop(), Scope: tally.NoopScope,
		Decode: func(map[string]platform.Row) DesiredState { return DesiredState{} },
	})
}

// tell passes what the entry knows to the agent, and what that knows better to the other.
func tell(from *evacuationReader, agent *Follower, to *evacuationReader, now time.Time) {
	agent.ApplyAnnouncement(Announcement{Evacuations: from.EvacuationNews(now)}, now)
	to.ApplyEvacuations(agent.UnknownEvacuations(Announcement{Evacuations: to.EvacuationNews(now)}, now), now)
}

// Guards against an entry that is cut off from the store and does not hear of an evacuation
// or of its end, and against one that goes back to an older state once it hears both.
func TestEntriesThatAreCutOffHearOfEvacuations(t *testing.T) {
	convey.Convey("Given an entry that reads an evacuation, an agent, and an entry without the store", t, func() {
		now, reading, cutOff, agent := evacuationStart, newEvacuationReader(), newEvacuationReader(), newRelay()
		cutOff.read(1, 90, now)
		reading.read(1, 100, now, "hall")
		tell(reading, agent, cutOff, now)
		convey.So(cutOff.active(now), convey.ShouldResemble, []string{"hall"})
		convey.So(cutOff.changes, convey.ShouldResemble, []string{HeardByAgent})
		convey.Convey("When the agent reads its part of the table, it keeps what it knows", func() {
			agent.applyView(platform.View{Position: platform.Position{Epoch: 1, Revision: 120}}, now)
			convey.So(agent.Evacuations().DataCentres(now), convey.ShouldResemble, []string{"hall"})
		})
		convey.Convey("When an older state is told or read, it changes nothing", func() {
			cutOff.ApplyEvacuations(&EvacuationState{Epoch: 1, Revision: 95}, now)
			cutOff.read(1, 99, now)
			convey.So(cutOff.active(now), convey.ShouldResemble, []string{"hall"})
		})
		convey.Convey("When the evacuation ends, the entry hears that too", func() {
			reading.read(1, 110, now)
			tell(reading, agent, cutOff, now)
			convey.So(cutOff.active(now), convey.ShouldBeEmpty)
			convey.So(agent.UnknownEvacuations(Announcement{Evacuations: cutOff.EvacuationNews(now)}, now), convey.ShouldBeNil)
			convey.Convey("Then nothing more is sent after some time", func() {
				convey.So(reading.EvacuationNews(now.Add(evacuationMemory-time.Second)), convey.ShouldNotBeNil)
				convey.So(reading.EvacuationNews(now.Add(evacuationMemory)), convey.ShouldBeNil)
			})
		})
	})
}

// Guards against an entry that was frozen during a whole evacuation and keeps to what it
// hears late, or reports changes that it never applied.
func TestAnEvacuationDuringAFreezeLeavesNothing(t *testing.T) {
	convey.Convey("Given an entry that reads the table after an evacuation began and ended", t, func() {
		now, frozen := evacuationStart, newEvacuationReader()
		frozen.read(1, 90, now)
		frozen.read(1, 110, now.Add(time.Minute))
		frozen.ApplyEvacuations(&EvacuationState{Epoch: 1, Revision: 100, DataCentres: []string{"hall"}}, now.Add(time.Minute))
		convey.So(frozen.active(now.Add(time.Minute)), convey.ShouldBeEmpty)
		convey.So(frozen.changes, convey.ShouldBeEmpty)
		convey.So(frozen.EvacuationNews(now), convey.ShouldBeNil)
	})
}

// Guards against an evacuation that ends because the store came back from an older copy,
// and against one that does not end when its row is not written again.
func TestEvacuationsOutliveAnOlderCopy(t *testing.T) {
	convey.Convey("Given an evacuation whose row the older copy does not hold", t, func() {
		now, reader, agent, started := evacuationStart, newEvacuationReader(), newRelay(), newEvacuationReader()
		reader.read(1, 100, now, "hall")
		reader.read(2, 80, now)
		const heldTime = 15 * time.Second
		convey.So(reader.active(now.Add(heldTime-time.Second)), convey.ShouldResemble, []string{"hall"})
		convey.Convey("Then an entry that starts meanwhile hears for how long it is held", func() {
			later := now.Add(5 * time.Second)
			tell(reader, agent, started, later)
			convey.So(started.active(now.Add(heldTime-time.Second)), convey.ShouldResemble, []string{"hall"})
			convey.So(started.active(now.Add(heldTime)), convey.ShouldBeEmpty)
		})
		convey.Convey("Then it ends after its time, and the process hears of it", func() {
			reader.RefreshEvacuations(now.Add(heldTime - time.Second))
			convey.So(reader.changes, convey.ShouldResemble, []string{HeardByStore})
			reader.RefreshEvacuations(now.Add(heldTime))
			convey.So(reader.changes, convey.ShouldResemble, []string{HeardByStore, HeardByTime})
			convey.So(reader.active(now.Add(heldTime)), convey.ShouldBeEmpty)
		})
	})
}

// Guards against a part of a state that others would take for the whole.
func TestLargeStatesAreNotPassedOnInParts(t *testing.T) {
	convey.Convey("Given rows for more data centres than a datagram holds", t, func() {
		reader := newEvacuationReader()
		var names []string
		for i := range maxEvacuationBytes {
			names = append(names, time.Duration(i).String())
		}
		reader.read(1, 1, evacuationStart, names...)
		convey.So(len(reader.active(evacuationStart)), convey.ShouldEqual, len(names))
		convey.So(reader.EvacuationNews(evacuationStart), convey.ShouldBeNil)
	})
}
