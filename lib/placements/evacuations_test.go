package placements

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/regions"
	"firford/lib/warmups"
)

// Guards against requests that are sent to an evacuated data centre, that wait although no
// other server is left, and against the end of an evacuation that is not visible.
func TestEvacuatedServersTakeNoRequests(t *testing.T) {
	convey.Convey("Given servers in two data centres, one of which is evacuated", t, func() {
		fleet := newRegionalFleet(newPlainServer("a", "north-1", 4), newPlainServer("b", "south-1", 4))
		dispatcher := NewDispatcher(fleet, zeroRandom)
		anywhere := waiterIn(regions.Set{}, at(time.Minute))
		reserved := dispatcher.Admit(waiterIn(regions.Only("north"), at(time.Minute)), at(0)).(Placed).Reservation
		convey.So(fleet.SetEvacuations([]string{"north-1"}, at(0)).Began, convey.ShouldResemble, []string{"north-1"})
		convey.Convey("Then requests go to the other one, and none that is reserved is sent", func() {
			placed, isPlaced := dispatcher.Admit(anywhere, at(0)).(Placed)
			convey.So(isPlaced, convey.ShouldBeTrue)
			convey.So(placed.Reservation.Server.ID, convey.ShouldEqual, "b")
			convey.So(dispatcher.PermissionToSend(reserved, regions.Set{}, at(0)), convey.ShouldResemble, MayNotSend{Cause: InEvacuatedDataCentre})
			convey.So(fleet.CountCandidates(anywhere.Requirements, 0, at(0)).Evacuated, convey.ShouldEqual, 1)
		})
		convey.Convey("Then requests that were tried at all others are refused at once", func() {
			tried := anywhere
			tried.Requirements.Tried = []string{"b"}
			_, isRefused := dispatcher.Admit(tried, at(0)).(Refused)
			convey.So(isRefused, convey.ShouldBeTrue)
		})
		convey.Convey("When all are evacuated, waiting and new requests are refused at once", func() {
			fleet.ApplyReport(Report{Server: "b", Running: 4}, at(0))
			queued, isQueued := dispatcher.Admit(anywhere, at(0)).(Queued)
			convey.So(isQueued, convey.ShouldBeTrue)
			convey.So(dispatcher.RefuseOutOfReach(at(0)), convey.ShouldBeEmpty)
			fleet.SetEvacuations([]string{"south-1", "north-1"}, at(time.Second))
			refusals := dispatcher.RefuseOutOfReach(at(time.Second))
			convey.So(len(refusals), convey.ShouldEqual, 1)
			convey.So(refusals[0].Number, convey.ShouldEqual, queued.Number)
			convey.So(refusals[0].Refused.Cause, convey.ShouldEqual, AllEvacuated)
			convey.So(dispatcher.Admit(anywhere, at(time.Second)).(Refused).Cause, convey.ShouldEqual, AllEvacuated)
		})
		convey.Convey("When it ends, the data centre is used again", func() {
			convey.So(fleet.SetEvacuations(nil, at(time.Second)).Ended, convey.ShouldResemble, []string{"north-1"})
			convey.So(dispatcher.PermissionToSend(reserved, regions.Set{}, at(time.Second)), convey.ShouldResemble, MaySend{})
		})
		convey.Convey("When it ends and the service has a warm-up, the servers there are cold", func() {
			fleet.SetWarmups(map[string]warmups.Rule{"desk": {PerS: 32, Lasts: 3 * time.Second}}, at(0))
			changes := fleet.SetEvacuations(nil, at(time.Second))
			convey.So(changes.Cold, convey.ShouldResemble, []ColdChange{{Server: "a", Service: "desk", Cause: ColdByReturn, Until: at(4 * time.Second)}})
		})
	})
}
