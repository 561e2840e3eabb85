package placements

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// startedEngine is an engine that was started at the time.
func startedEngine(id string, startedUnixMilli int64) Server {
	return newEngine(id, "nairobi", 1).WithStart(startedUnixMilli)
}

func maySend(fleet *Fleet, id string, now time.Time) bool {
	_, may := fleet.PermissionToSend(id, now).(MaySend)
	return may
}

func isNewLeaving(fleet *Fleet, server Server, now time.Time) bool {
	_, isNew := fleet.RecordLeaving(server, now)
	return isNew
}

// Guards against requests at a server that has stated that it leaves, because the list
// says something else: that it is ready, nothing, or what an older copy of the store has.
func TestLeavingServersStayOut(t *testing.T) {
	convey.Convey("Given a server that stated that it leaves", t, func() {
		server := startedEngine("a", 5)
		fleet := fleetOf(server)
		choice, _ := fleet.Choose(requirements, 1, at(0), zeroRandom)
		convey.So(isNewLeaving(fleet, choice.Server, at(0)), convey.ShouldBeTrue)
		convey.So(isNewLeaving(fleet, choice.Server, at(1)), convey.ShouldBeFalse)
		counts := func(now time.Duration) CandidateCounts { return fleet.CountCandidates(requirements, 1, at(now)) }
		convey.So(counts(0), convey.ShouldResemble, CandidateCounts{Leaving: 1})
		convey.Convey("Then it stays out while the list says that it is ready", func() {
			fleet.UpdateServers([]Server{server}, time.Time{}, at(time.Hour))
			fleet.Expire(at(time.Hour))
			convey.So(counts(time.Hour), convey.ShouldResemble, CandidateCounts{Leaving: 1})
		})
		convey.Convey("Then it stays out if its entry was removed and an older copy has it", func() {
			fleet.UpdateServers(nil, time.Time{}, at(time.Second))
			fleet.Expire(at(2 * time.Second))
			fleet.SetRestoredAt(at(3 * time.Second))
			fleet.UpdateServers([]Server{startedEngine("a", 4)}, time.Time{}, at(time.Minute))
			convey.So(counts(time.Minute), convey.ShouldResemble, CandidateCounts{Leaving: 1})
		})
		convey.Convey("Then a report of its agent without another start changes nothing", func() {
			fleet.ApplyReport(Report{Server: "a", Incarnation: 5}, at(time.Second))
			fleet.ApplyReport(Report{Server: "a"}, at(time.Second))
			convey.So(counts(time.Second), convey.ShouldResemble, CandidateCounts{Leaving: 1})
		})
		convey.Convey("Then it is used again once the list has a newer start", func() {
			changes := fleet.UpdateServers([]Server{startedEngine("a", 6)}, time.Time{}, at(time.Second))
			convey.So(changes, convey.ShouldResemble, []Change{{Server: startedEngine("a", 6), Kind: Restarted}})
			convey.So(counts(time.Second), convey.ShouldResemble, CandidateCounts{Usable: 1})
			convey.Convey("Then neither a list that lags nor what others have heard of the earlier start ends that", func() {
				fleet.UpdateServers([]Server{server}, time.Time{}, at(time.Second))
				heard := map[string]LeavingStatement{"a": {HeardAt: at(time.Second), StartedUnixMilli: 5}}
				convey.So(fleet.ApplyReport(Report{Server: "b", Leaving: heard}, at(time.Second)), convey.ShouldBeEmpty)
				heard["a"] = LeavingStatement{HeardAt: at(time.Second)}
				convey.So(fleet.ApplyReport(Report{Server: "b", Leaving: heard}, at(time.Second)), convey.ShouldBeEmpty)
				convey.So(isNewLeaving(fleet, choice.Server, at(time.Second)), convey.ShouldBeFalse)
				convey.So(counts(time.Second), convey.ShouldResemble, CandidateCounts{Usable: 1})
			})
		})
		convey.Convey("Then it is used again once its agent reports a newer start", func() {
			changes := fleet.ApplyReport(Report{Server: "a", Incarnation: 6, Versions: server.Versions}, at(time.Second))
			convey.So(changes, convey.ShouldResemble, []StatementChange{RestartChange{Server: "a", StartedUnixMilli: 6}})
			convey.So(counts(time.Second), convey.ShouldResemble, CandidateCounts{Usable: 1})
			convey.Convey("Then it leaves again by its own statement, which a list that catches up does not end", func() {
				choice, _ := fleet.Choose(requirements, 1, at(time.Second), zeroRandom)
				convey.So(isNewLeaving(fleet, choice.Server, at(time.Second)), convey.ShouldBeTrue)
				fleet.UpdateServers([]Server{startedEngine("a", 6)}, time.Time{}, at(time.Second))
				convey.So(counts(time.Second), convey.ShouldResemble, CandidateCounts{Leaving: 1})
			})
		})
	})
	convey.Convey("Given a server of unknown start that leaves, then its start becomes known, which ends nothing", t, func() {
		fleet := fleetOf(startedEngine("a", 0))
		fleet.RecordLeaving(startedEngine("a", 0), at(0))
		fleet.ApplyReport(Report{Server: "a", Incarnation: 5}, at(0))
		convey.So(fleet.CountCandidates(requirements, 1, at(0)), convey.ShouldResemble, CandidateCounts{Leaving: 1})
	})
	convey.Convey("Given a server that another entry has heard of, before this entry's list has it", t, func() {
		fleet := fleetOf()
		heard := LeavingStatement{HeardAt: at(0), StartedUnixMilli: 5}
		changes := fleet.ApplyReport(Report{Server: "b", Leaving: map[string]LeavingStatement{"a": heard}}, at(0))
		convey.So(changes, convey.ShouldResemble, []StatementChange{LeavingChange{Server: "a", Statement: heard}})
		fleet.UpdateServers([]Server{startedEngine("a", 5)}, time.Time{}, at(time.Second))
		convey.So(fleet.CountCandidates(requirements, 1, at(time.Second)), convey.ShouldResemble, CandidateCounts{Leaving: 1})
		convey.So(fleet.OwnLeaving(at(time.Second)), convey.ShouldBeEmpty)
	})
	convey.Convey("Given servers that left long ago, then nothing is remembered of them", t, func() {
		fleet := fleetOf(startedEngine("a", 5))
		fleet.RecordLeaving(startedEngine("a", 5), at(0))
		convey.So(fleet.OwnLeaving(at(0)), convey.ShouldHaveLength, 1)
		convey.So(fleet.OwnLeaving(at(leavingSharedTime)), convey.ShouldBeEmpty)
		fleet.UpdateServers(nil, time.Time{}, at(time.Second))
		fleet.Expire(at(time.Second + availabilityMemory))
		convey.So(fleet.availability, convey.ShouldBeEmpty)
	})
}

// Guards against requests at a server that asked for none until some time, and against
// one that stays out after that time.
func TestDeferredServersStayOut(t *testing.T) {
	convey.Convey("Given a server that asked for no requests for three seconds", t, func() {
		server := startedEngine("a", 5)
		fleet := fleetOf(server)
		convey.So(fleet.RecordDeferral("a", at(3*time.Second), at(0)), convey.ShouldBeTrue)
		counts := func(now time.Duration) CandidateCounts { return fleet.CountCandidates(requirements, 1, at(now)) }
		convey.So(counts(3*time.Second-1), convey.ShouldResemble, CandidateCounts{Deferred: 1})
		convey.So(counts(3*time.Second), convey.ShouldResemble, CandidateCounts{Usable: 1})
		convey.Convey("Then a later statement with an earlier end does not shorten that", func() {
			convey.So(fleet.RecordDeferral("a", at(2*time.Second), at(time.Second)), convey.ShouldBeFalse)
			convey.So(counts(3*time.Second-1), convey.ShouldResemble, CandidateCounts{Deferred: 1})
		})
		convey.Convey("Then a later end counts, and only a notably later one as a change", func() {
			convey.So(fleet.RecordDeferral("a", at(3*time.Second+minDeferralChange-1), at(time.Second)), convey.ShouldBeFalse)
			convey.So(counts(3*time.Second), convey.ShouldResemble, CandidateCounts{Deferred: 1})
			convey.So(fleet.RecordDeferral("a", at(4*time.Second), at(time.Second)), convey.ShouldBeTrue)
		})
		convey.Convey("Then it holds if the server is missing from one list and listed again", func() {
			fleet.UpdateServers(nil, time.Time{}, at(time.Second))
			fleet.UpdateServers([]Server{server}, time.Time{}, at(2*time.Second))
			convey.So(counts(2*time.Second), convey.ShouldResemble, CandidateCounts{Deferred: 1})
		})
		convey.Convey("Then a newer start ends it", func() {
			fleet.UpdateServers([]Server{startedEngine("a", 6)}, time.Time{}, at(time.Second))
			convey.So(counts(time.Second), convey.ShouldResemble, CandidateCounts{Usable: 1})
		})
		convey.Convey("Then a request that was tried there counts it as tried", func() {
			wanted := requirements
			wanted.Tried = []string{"a"}
			convey.So(fleet.CountCandidates(wanted, 1, at(0)), convey.ShouldResemble, CandidateCounts{Tried: 1})
		})
	})
}

// Guards against a request for which a server was chosen before that server stated that
// it wants none, and against one that is withdrawn for another request's rejection.
func TestReservationsAreCheckedAgain(t *testing.T) {
	convey.Convey("Given a request for which a server was chosen", t, func() {
		fleet := fleetOf(startedEngine("a", 5))
		convey.So(maySend(fleet, "a", at(0)), convey.ShouldBeTrue)
		fleet.RecordStart("a", 0, at(0))
		fleet.RecordEnd("a", Rejected, at(0))
		convey.So(fleet.CountCandidates(requirements, 1, at(0)), convey.ShouldResemble, CandidateCounts{Closed: 1})
		convey.So(maySend(fleet, "a", at(0)), convey.ShouldBeTrue)
		fleet.RecordDeferral("a", at(time.Second), at(0))
		convey.So(maySend(fleet, "a", at(0)), convey.ShouldBeFalse)
		convey.So(maySend(fleet, "a", at(time.Second)), convey.ShouldBeTrue)
		fleet.RecordLeaving(startedEngine("a", 5), at(time.Second))
		convey.So(maySend(fleet, "a", at(time.Second)), convey.ShouldBeFalse)
	})
}

// Guards against requests that wait although no server takes them in time, and against
// callers that come back before a server takes requests again, or all at once.
func TestRequestsAreRefusedWhileAllServersAreDeferred(t *testing.T) {
	convey.Convey("Given two servers that asked for no requests, and one that leaves", t, func() {
		random := 0.0
		fleet := fleetOf(startedEngine("a", 5), startedEngine("b", 5), startedEngine("c", 5))
		dispatcher := NewDispatcher(fleet, func() float64 { return random })
		fleet.RecordDeferral("a", at(10*time.Second), at(0))
		fleet.RecordDeferral("b", at(8*time.Second), at(0))
		admit := func(now, startBy time.Duration) Decision {
			return dispatcher.Admit(Waiter{StartBy: at(startBy), Requirements: requirements}, at(now))
		}
		convey.Convey("Then a request still goes to the third one", func() {
			convey.So(admit(0, time.Second), convey.ShouldHaveSameTypeAs, Placed{})
		})
		fleet.RecordLeaving(startedEngine("c", 5), at(0))
		convey.Convey("Then a request is refused at once until the earliest of the two takes requests", func() {
			refused, isRefused := admit(time.Second, 3*time.Second).(Refused)
			convey.So(isRefused, convey.ShouldBeTrue)
			convey.So(refused.RetryAfter, convey.ShouldEqual, 7*time.Second)
			convey.So(refused.Candidates, convey.ShouldResemble, CandidateCounts{Leaving: 1, Deferred: 2})
		})
		convey.Convey("Then refused callers come back over some time", func() {
			random = 0.5
			convey.So(admit(time.Second, 3*time.Second).(Refused).RetryAfter, convey.ShouldEqual, 7*time.Second+maxRetrySpread/2)
			convey.So(dispatcher.RetryAfter("pool", time.Second, at(time.Second)), convey.ShouldEqual, 7*time.Second+maxRetrySpread/2)
			convey.So(dispatcher.RetryAfter("pool", time.Second, at(8*time.Second)), convey.ShouldEqual, time.Second)
		})
		convey.Convey("Then a request that may wait that long waits, and is placed then", func() {
			convey.So(admit(7500*time.Millisecond, 9*time.Second), convey.ShouldHaveSameTypeAs, Queued{})
			convey.So(dispatcher.Dispatch("pool", at(8*time.Second-1)), convey.ShouldBeEmpty)
			grants := dispatcher.Dispatch("pool", at(8*time.Second))
			convey.So(grants, convey.ShouldHaveLength, 1)
			convey.So(grants[0].Reservation.Server.ID, convey.ShouldEqual, "b")
		})
		convey.Convey("Then only requests that may wait that long go on waiting when the earliest asks for more time", func() {
			admit(7500*time.Millisecond, 9*time.Second)
			convey.So(admit(7500*time.Millisecond, time.Hour), convey.ShouldResemble, Queued{Number: 2})
			convey.So(dispatcher.RefuseDeferred("pool", at(7600*time.Millisecond)), convey.ShouldBeEmpty)
			fleet.RecordDeferral("b", at(12*time.Second), at(7600*time.Millisecond))
			refusals := dispatcher.RefuseDeferred("pool", at(7600*time.Millisecond))
			convey.So(refusals, convey.ShouldHaveLength, 1)
			convey.So(refusals[0].Number, convey.ShouldEqual, 1)
			convey.So(refusals[0].Refused.RetryAfter, convey.ShouldEqual, 2400*time.Millisecond)
			convey.So(dispatcher.ServiceStatus("pool", at(7600*time.Millisecond)).Waiting, convey.ShouldEqual, 1)
		})
	})
}
