package placements

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"firford/lib/regions"
)

// newRegionalFleet returns a fleet whose data centre north-1 is in the region north, and
// so on. A server of it is in the data centre elsewhere, which is in no known region.
func newRegionalFleet(servers ...Server) *Fleet {
	fleet := fleetOf(servers...)
	fleet.SetRegions(map[string]string{"north-1": "north", "south-1": "south"})
	return fleet
}

func newPlainServer(id, dataCentre string, slots int) Server {
	return Server{ID: id, Address: id, Service: "desk", DataCentre: dataCentre, Slots: slots}
}

// waiterIn returns a request that may only be served in the regions.
func waiterIn(allowed regions.Set, startBy time.Time) Waiter {
	return Waiter{StartBy: startBy, Requirements: Requirements{Service: "desk", Regions: allowed}}
}

// TestNoPathAvoidsHomeRegions guards, over random histories of arrivals, waits, retries,
// reports, lists that move servers to other data centres, and changes of the home
// regions and of evacuations, against a request that is sent to a server in another region
// than the newest home regions allow, whose data centre is unknown or evacuated, or whose
// listed entry is elsewhere.
func TestNoPathAvoidsHomeRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 5
		dataCentres := []string{"north-1", "south-1", "elsewhere", ""}
		sets := []regions.Set{{}, regions.Only("north"), regions.Only("south"), regions.Only("north", "south"), regions.Only("west"), regions.Only()}
		regionOf := map[string]string{"north-1": "north", "south-1": "south"}
		now := at(0)
		list := make([]Server, servers)
		for i := range list {
			list[i] = newPlainServer(fmt.Sprint(i), dataCentres[i%len(dataCentres)], 4)
		}
		fleet := newRegionalFleet(list...)
		dispatcher := NewDispatcher(fleet, zeroRandom)
		homes := regions.Set{}
		var evacuated []string
		waiting := map[uint64]Waiter{}
		// opening holds the requests whose connection is being opened.
		type openingRequest struct {
			waiter      Waiter
			reservation *Reservation
		}
		var opening []openingRequest
		var running []*Reservation
		var retry func(t *rapid.T, waiter Waiter, id string)
		var admit func(t *rapid.T, waiter Waiter)
		connect := func(waiter Waiter, reservation *Reservation) {
			opening = append(opening, openingRequest{waiter: waiter, reservation: reservation})
		}
		send := func(t *rapid.T, waiter Waiter, reservation *Reservation) {
			if _, mayNot := dispatcher.PermissionToSend(reservation, homes, now).(MayNotSend); mayNot {
				dispatcher.Release(reservation, Abandoned, now)
				retry(t, waiter, reservation.Server.ID)
				return
			}
			for _, server := range []Server{reservation.Server, list[reservation.Server.ID[0]-'0']} {
				if region := regionOf[server.DataCentre]; !homes.Allows(region) || slices.Contains(evacuated, server.DataCentre) {
					t.Fatalf("sent to server %s in region %q, allowed are %v without %v", server.ID, region, homes, evacuated)
				}
			}
			running = append(running, reservation)
		}
		admit = func(t *rapid.T, waiter Waiter) {
			waiter.Requirements.Regions = homes
			switch decision := dispatcher.Admit(waiter, now).(type) {
			case Placed:
				connect(waiter, decision.Reservation)
			case Queued:
				waiting[decision.Number] = waiter
			case Refused:
				if homes.IsEmpty() && decision.Cause != NoAllowedServer {
					t.Fatalf("refused for %v instead of at once", decision.Cause)
				}
			}
		}
		retry = func(t *rapid.T, waiter Waiter, id string) {
			waiter.Requirements.Tried = append([]string{id}, waiter.Requirements.Tried...)
			admit(t, waiter)
		}
		dispatch := func() {
			for _, grant := range dispatcher.DispatchAll(now) {
				waiter := waiting[grant.Number]
				delete(waiting, grant.Number)
				connect(waiter, grant.Reservation)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request arrives": func(t *rapid.T) {
				waiter := waiterIn(regions.Set{}, now.Add(time.Minute))
				waiter.Late = rapid.Bool().Draw(t, "late")
				waiter.Requirements.Resumed = rapid.Bool().Draw(t, "resumed")
				admit(t, waiter)
			},
			"connection opens": func(t *rapid.T) {
				if len(opening) == 0 {
					return
				}
				opened := opening[0]
				opening = opening[1:]
				send(t, opened.waiter, opened.reservation)
			},
			"request ends": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				outcome := Outcome(rapid.IntRange(int(Answered), int(Abandoned)).Draw(t, "outcome"))
				ended := running[0]
				running = running[1:]
				dispatcher.Release(ended, outcome, now)
				if outcome != Answered {
					retry(t, waiterIn(homes, now.Add(time.Minute)), ended.Server.ID)
				}
				dispatch()
			},
			"server is silent": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				waiter := waiterIn(homes, now.Add(time.Minute))
				waiter.Failover = true
				retry(t, waiter, running[0].Server.ID)
			},
			"home regions change": func(t *rapid.T) { homes = rapid.SampledFrom(sets).Draw(t, "homes") },
			"evacuations change": func(t *rapid.T) {
				evacuated = nil
				for _, dataCentre := range dataCentres {
					if rapid.Bool().Draw(t, "is evacuated") {
						evacuated = append(evacuated, dataCentre)
					}
				}
				fleet.SetEvacuations(evacuated, now)
				dispatch()
				for _, refusal := range dispatcher.RefuseOutOfReach(now) {
					delete(waiting, refusal.Number)
				}
			},
			"list changes": func(t *rapid.T) {
				i := rapid.IntRange(0, servers-1).Draw(t, "server")
				list[i].DataCentre = rapid.SampledFrom(dataCentres).Draw(t, "data centre")
				fleet.UpdateServers(list, time.Time{}, now)
				dispatch()
			},
			"report": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, servers-1).Draw(t, "server"))
				fleet.ApplyReport(Report{Server: id, Running: rapid.IntRange(0, 4).Draw(t, "running")}, now)
				dispatch()
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "milliseconds")) * time.Millisecond)
				dispatch()
			},
		})
	})
}

// Guards against callers that wait for a refusal which is certain, and against a refusal
// at once while allowed servers exist that are merely full.
func TestRequestsWithoutAnAllowedServerAreRefusedAtOnce(t *testing.T) {
	convey.Convey("Given a server in one region, which is full", t, func() {
		full := newPlainServer("a", "north-1", 4)
		dispatcher := NewDispatcher(newRegionalFleet(full, newPlainServer("b", "elsewhere", 4)), zeroRandom)
		dispatcher.Fleet().ApplyReport(Report{Server: "a", Running: 4}, at(0))
		for _, allowed := range []regions.Set{regions.Only(), regions.Only("south"), regions.Only("")} {
			refused, isRefused := dispatcher.Admit(waiterIn(allowed, at(time.Minute)), at(0)).(Refused)
			convey.So(isRefused, convey.ShouldBeTrue)
			convey.So(refused.Cause, convey.ShouldEqual, NoAllowedServer)
			convey.So(refused.Candidates.Forbidden, convey.ShouldEqual, 2)
			convey.So(refused.RetryAfter, convey.ShouldBeGreaterThan, 0)
		}
		_, isQueued := dispatcher.Admit(waiterIn(regions.Only("north"), at(time.Minute)), at(0)).(Queued)
		convey.So(isQueued, convey.ShouldBeTrue)
	})
}

// Guards against a full region whose waiting requests hold up those that have room in
// another region, on arrival and in the queue.
func TestAFullRegionDoesNotHoldUpOthers(t *testing.T) {
	convey.Convey("Given many requests that wait for a full region", t, func() {
		dispatcher := NewDispatcher(newRegionalFleet(newPlainServer("a", "north-1", 4), newPlainServer("b", "south-1", 4)), zeroRandom)
		report := func(server string, running int) {
			dispatcher.Fleet().ApplyReport(Report{Server: server, Running: running}, at(0))
		}
		report("a", 4)
		report("b", 4)
		north, south, startBy := regions.Only("north"), regions.Only("south"), at(time.Hour)
		for range 3 * maxPlacementFailures {
			_, isQueued := dispatcher.Admit(waiterIn(north, startBy), at(0)).(Queued)
			convey.So(isQueued, convey.ShouldBeTrue)
		}
		last, isQueued := dispatcher.Admit(waiterIn(south, startBy), at(0)).(Queued)
		convey.So(isQueued, convey.ShouldBeTrue)
		report("b", 0)
		grants := dispatcher.Dispatch("desk", at(0))
		convey.So(len(grants), convey.ShouldEqual, 1)
		convey.So(grants[0].Number, convey.ShouldEqual, last.Number)
		for _, allowed := range []regions.Set{south, {}} {
			_, isPlaced := dispatcher.Admit(waiterIn(allowed, startBy), at(0)).(Placed)
			convey.So(isPlaced, convey.ShouldBeTrue)
		}
	})
}

// BenchmarkUnrestrictedRequest measures what home regions add to a request without any, at
// the designed number of servers: one check for each server, and one before sending.
func BenchmarkUnrestrictedRequest(b *testing.B) {
	const servers = 940
	var list []Server
	for i := range servers {
		list = append(list, newPlainServer(fmt.Sprint(i), "north-1", 16))
	}
	fleet := newRegionalFleet(list...)
	b.ReportAllocs()
	for b.Loop() {
		for i := range list {
			if !fleet.isAllowed(list[i], regions.Set{}) {
				b.Fatal("forbidden")
			}
		}
		if _, maySend := fleet.placePermission(list[0], regions.Set{}).(MaySend); !maySend {
			b.Fatal("forbidden")
		}
	}
}
