package placements

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/regions"
)

// placesLoad is an entry under load in simulated time, with servers in two regions. A
// request takes serviceTime.
type placesLoad struct {
	dispatcher *Dispatcher
	now        time.Time
	waiting    map[uint64]string
	ends       []endingRequest
	random     *rand.Rand
	// placed and refused count requests by the home regions that they state, and startedIn
	// counts starts by data centre.
	placed, refused, startedIn map[string]int
}

type endingRequest struct {
	reservation *Reservation
	at          time.Time
}

const (
	loadServers     = 6
	loadSlots       = 8
	loadServiceTime = 100 * time.Millisecond
	// loadCapacity is how many requests a second the servers of one region serve.
	loadCapacity = loadServers / 2 * loadSlots * int(time.Second/loadServiceTime)
)

func newPlacesLoad() *placesLoad {
	var list []Server
	for i := range loadServers {
		list = append(list, newPlainServer(fmt.Sprint(i), []string{"north-1", "south-1"}[i%2], loadSlots))
	}
	random := rand.New(rand.NewPCG(1, 2))
	load := &placesLoad{now: at(0), waiting: map[uint64]string{}, random: random}
	load.dispatcher = NewDispatcher(newRegionalFleet(list...), random.Float64)
	load.reset()
	return load
}

// reset begins to count anew.
func (load *placesLoad) reset() {
	load.placed, load.refused, load.startedIn = map[string]int{}, map[string]int{}, map[string]int{}
}

func (load *placesLoad) started(kind string, reservation *Reservation) {
	load.placed[kind]++
	load.startedIn[reservation.Server.DataCentre]++
	load.ends = append(load.ends, endingRequest{reservation: reservation, at: load.now.Add(loadServiceTime)})
}

func (load *placesLoad) dispatch() {
	for _, grant := range load.dispatcher.DispatchAll(load.now) {
		load.started(load.waiting[grant.Number], grant.Reservation)
		delete(load.waiting, grant.Number)
	}
}

// run runs the load for a time. The rates are requests a second by home regions.
func (load *placesLoad) run(duration time.Duration, rates map[string]int) {
	const step, patience = 5 * time.Millisecond, 300 * time.Millisecond
	sets := map[string]regions.Set{"": {}, "north": regions.Only("north"), "south": regions.Only("south")}
	for until := load.now.Add(duration); load.now.Before(until); load.now = load.now.Add(step) {
		for len(load.ends) > 0 && !load.ends[0].at.After(load.now) {
			load.dispatcher.Release(load.ends[0].reservation, Answered, load.now)
			load.ends = load.ends[1:]
		}
		for i := range loadServers {
			id := fmt.Sprint(i)
			load.dispatcher.Fleet().ApplyReport(Report{Server: id, Running: load.dispatcher.Fleet().servers[id].inFlight}, load.now)
		}
		load.dispatch()
		load.refuseOverdue()
		for _, kind := range []string{"", "north", "south"} {
			for range int(float64(rates[kind])*step.Seconds() + load.random.Float64()) {
				load.admit(kind, waiterIn(sets[kind], load.now.Add(patience)))
			}
		}
	}
}

func (load *placesLoad) admit(kind string, waiter Waiter) {
	switch decision := load.dispatcher.Admit(waiter, load.now).(type) {
	case Placed:
		load.started(kind, decision.Reservation)
	case Queued:
		load.waiting[decision.Number] = kind
	case Refused:
		load.refused[kind]++
	}
}

func (load *placesLoad) refuseOverdue() {
	for _, waiter := range load.dispatcher.queues["desk"].Waiters() {
		if waiter.StartBy.Before(load.now) {
			load.dispatcher.Refuse(waiter, waiter.Number, load.now)
			load.refused[load.waiting[waiter.Number]]++
			delete(load.waiting, waiter.Number)
		}
	}
}

// Guards against a burst of requests that are limited to one region and get others refused
// while the other region has room, or that leaves their own region idle.
func TestABurstInOneRegionLeavesTheOtherServed(t *testing.T) {
	convey.Convey("Given a burst of twice what one region serves, beside other requests", t, func() {
		load := newPlacesLoad()
		const seconds, others = 5, loadCapacity / 4
		load.run(seconds*time.Second, map[string]int{"north": 2 * loadCapacity, "south": others, "": others})
		t.Logf("capacity of a region %d/s, placed %v, refused %v, started in %v", loadCapacity, load.placed, load.refused, load.startedIn)
		convey.So(load.refused["south"]+load.refused[""], convey.ShouldEqual, 0)
		convey.So(load.startedIn["north-1"], convey.ShouldBeGreaterThan, seconds*loadCapacity*9/10)
	})
}

// Guards against an evacuation under load after which a request starts in the data centre,
// which leaves the other one idle, or after whose end the load does not return.
func TestLoadMovesAwayAndReturns(t *testing.T) {
	convey.Convey("Given load for one and a half data centres, of which one is evacuated for a while", t, func() {
		load := newPlacesLoad()
		rates := map[string]int{"": 3 * loadCapacity / 2}
		load.run(2*time.Second, rates)
		load.dispatcher.Fleet().SetEvacuations([]string{"north-1"}, load.now)
		load.reset()
		load.run(3*time.Second, rates)
		t.Logf("during the evacuation: placed %v, refused %v, started in %v", load.placed, load.refused, load.startedIn)
		convey.So(load.startedIn["north-1"], convey.ShouldEqual, 0)
		convey.So(load.startedIn["south-1"], convey.ShouldBeGreaterThan, 3*loadCapacity*9/10)
		load.dispatcher.Fleet().SetEvacuations(nil, load.now)
		load.run(time.Second, rates)
		load.reset()
		load.run(2*time.Second, rates)
		t.Logf("after it: placed %v, refused %v, started in %v", load.placed, load.refused, load.startedIn)
		convey.So(load.refused[""], convey.ShouldEqual, 0)
		convey.So(load.startedIn["north-1"], convey.ShouldBeGreaterThan, load.startedIn["south-1"]*3/5)
	})
}
