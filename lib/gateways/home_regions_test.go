package gateways

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"firford/lib/placements"
	"firford/lib/quarantines"
	"firford/lib/regions"
	"firford/lib/routes"
)

// newRegionalFixture returns a gateway in front of servers in two regions: those in north
// come first. The returned function limits all routes to the regions.
func newRegionalFixture(t *testing.T, north, south []*scriptedServer) (*gatewayFixture, func(regions.Set)) {
	fixture := newGatewayFixture(t, 1)
	list := listOf(1, append(append([]*scriptedServer{}, north...), south...)...)
	for i := range list {
		list[i].DataCentre = "south-1"
		if i < len(north) {
			list[i].DataCentre = "north-1"
		}
	}
	fixture.queue.UpdateFleet(func(fleet *placements.Fleet, now time.Time) {
		fleet.SetRegions(map[string]string{"north-1": "north", "south-1": "south"})
		fleet.UpdateServers(list, time.Time{}, now)
	})
	var table atomic.Pointer[routes.Table]
	limit := func(allowed regions.Set) {
		limited := configuration()
		for i := range limited.Routes {
			limited.Routes[i].Regions = allowed
		}
		next := routes.New(limited)
		table.Store(&next)
	}
	limit(regions.Set{})
	fixture.gateway.Table = func() routes.Table { return *table.Load() }
	return fixture, limit
}

// TestNoAttemptLeavesTheHomeRegions guards, for servers that fail in random ways, against
// a retry, a takeover from a silent server, a resumed stream or a probe of a quarantined
// part that is sent to a server in another region.
func TestNoAttemptLeavesTheHomeRegions(t *testing.T) {
	stalling := func(end int) script { return streamUntil(end, false) }
	faults := append([]behaviour{
		{"is silent", hang, true}, {"breaks the stream off", stalling(3), true}, {"begins no event", stalling(1), true},
	}, behaviours...)
	rapid.Check(t, func(random *rapid.T) {
		var north, south []*scriptedServer
		for range 2 {
			north = append(north, newScriptedServer(t, rapid.SampledFrom(faults).Draw(random, "behaviour").script))
			south = append(south, newScriptedServer(t, answer(http.StatusOK, signedHeader, "slip")))
		}
		fixture, limit := newRegionalFixture(t, north, south)
		limit(regions.Only("north"))
		if rapid.Bool().Draw(random, "has a quarantined part") {
			for i := range 3 {
				crash := quarantines.Crash{Server: string(rune('x' + i)), At: time.Now().Add(-time.Minute), Traits: quarantines.Parts("bad")}
				fixture.gateway.Quarantines.RecordOwn(crash, time.Now())
			}
		}
		path := rapid.SampledFrom([]string{"/once/", "/again/", "/events/", "/events-thrice/"}).Draw(random, "route")
		_, _, _, _ = fixture.post(t, path, "quote", "Parts", "bad", "Left", "300")
		for _, server := range south {
			if len(server.requests()) > 0 {
				random.Fatalf("request for %s was sent to another region", path)
			}
		}
	})
}

// Guards against a request that waits or has a reservation under an older configuration
// and is sent to a server which the newest one forbids.
func TestTheNewestHomeRegionsCountBeforeSending(t *testing.T) {
	convey.Convey("Given a request that waits for the only slot in a region", t, func() {
		north := newScriptedServer(t, answer(http.StatusOK, signedHeader, "slip"))
		south := newScriptedServer(t, answer(http.StatusOK, signedHeader, "slip"))
		fixture, limit := newRegionalFixture(t, []*scriptedServer{north}, []*scriptedServer{south})
		limit(regions.Only("north"))
		occupied := occupyRegion(t, fixture, "north")
		convey.Convey("When the home regions change meanwhile, it goes to the other region", func() {
			time.AfterFunc(50*time.Millisecond, func() {
				limit(regions.Only("south"))
				fixture.queue.release(occupied, placements.Answered)
			})
			status, _, _, _ := fixture.post(t, "/again/", "quote")
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.So(len(north.requests()), convey.ShouldEqual, 0)
			convey.So(len(south.requests()), convey.ShouldEqual, 1)
		})
		convey.Convey("When no region is left to it, it is refused at once and has not run", func() {
			time.AfterFunc(50*time.Millisecond, func() {
				limit(regions.Only())
				fixture.queue.release(occupied, placements.Answered)
			})
			status, header, body, _ := fixture.post(t, "/again/", "quote")
			convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
			convey.So(header.Get("Retry-After"), convey.ShouldNotBeBlank)
			convey.So(body, convey.ShouldContainSubstring, string(reasonNoAllowedServer))
			convey.So(len(north.requests())+len(south.requests()), convey.ShouldEqual, 0)
		})
	})
}

// occupyRegion reserves the only slot in the region, after so many starts that the queue
// expects the next request to start soon.
func occupyRegion(t *testing.T, fixture *gatewayFixture, region string) *placements.Reservation {
	t.Helper()
	const starts = 60
	for range starts {
		fixture.queue.release(acquireIn(t, fixture, region), placements.Answered)
	}
	return acquireIn(t, fixture, region)
}

func acquireIn(t *testing.T, fixture *gatewayFixture, region string) *placements.Reservation {
	t.Helper()
	waiter := placements.Waiter{StartBy: time.Now(), Requirements: placements.Requirements{Service: "desk", Regions: regions.Only(region)}}
	reservation, err := fixture.queue.acquire(t.Context(), waiter)
	if err != nil {
		t.Fatal(err)
	}
	return reservation
}

// Guards against a request that waits out its time although the last allowed server has
// left the list, and is then refused for want of room.
func TestWaitsEndWithTheReasonOfTheRegions(t *testing.T) {
	convey.Convey("Given a request that waits while the servers of its region leave the list", t, func() {
		south := newScriptedServer(t, hang)
		fixture, _ := newRegionalFixture(t, nil, []*scriptedServer{south})
		waiter := placements.Waiter{StartBy: time.Now().Add(50 * time.Millisecond), Requirements: placements.Requirements{Service: "desk", Regions: regions.Only("north")}}
		_, err := fixture.queue.acquire(t.Context(), waiter)
		var refused *refusal
		convey.So(errors.As(err, &refused), convey.ShouldBeTrue)
		convey.So(refused.reason, convey.ShouldEqual, reasonNoAllowedServer)
	})
}

// BenchmarkHomeRegions measures what a request without home regions pays for looking at
// the newest configuration, once when it is placed and once before it is sent.
func BenchmarkHomeRegions(b *testing.B) {
	table := routes.New(configuration())
	gateway := &Gateway{Dependencies: Dependencies{Table: func() routes.Table { return table }}}
	received := &http.Request{Host: "desk.example", RequestURI: "/again/?page=1"}
	request := &request{gateway: gateway, received: received, info: RequestInfo{APIKey: "key"}}
	b.ReportAllocs()
	for b.Loop() {
		if !request.homeRegions().IsUnrestricted() || !request.homeRegions().IsUnrestricted() {
			b.Fatal("restricted")
		}
	}
}
