package quarantines

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const (
	simulatedStep = 10 * time.Millisecond
	// sharedEvery is the number of steps between two exchanges of records.
	sharedEvery = 10
	// recoverySteps is how long a server is away after a crash.
	recoverySteps = 400
	// lateAfter is how long after the fifth crash requests with a bad part may still reach
	// servers, and allowedLate how many may do so after that.
	lateAfter   = 2 * time.Second
	allowedLate = 3
)

type (
	// turnedPart describes requests with a part that answers begin with until it crashes
	// each server that begins to answer. Rates are in requests a second.
	// uncausedRate is how many servers a second crash whatever they run.
	turnedPart struct {
		seed                uint64
		soundRate, partRate float64
		uncausedRate        float64
		// usedBefore is set if requests with the part come before it turns bad.
		usedBefore bool
		turnsAt    time.Duration
		length     time.Duration
	}

	// outbreak is what happened: the servers that ended, the requests with the bad part that
	// reached servers too late, and how many sound requests came after that and were refused.
	outbreak struct{ ended, late, sound, refusedSound int }

	simulatedRequest struct {
		entry, server, generation, sends int
		beginsAt, crashesAt, completeAt  int
		hasPart                          bool
		traits                           []Trait
	}

	// simulation is a fleet of entries and servers in virtual time.
	simulation struct {
		turnedPart
		random     *rand.Rand
		ledgers    []*Ledger
		generation []int
		downUntil  []int
		running    []*simulatedRequest
		ended      int
		fifthAt    time.Time
		result     outbreak
	}
)

func newSimulation(scenario turnedPart) *simulation {
	const entries, servers = 5, 20
	return &simulation{
		turnedPart: scenario, random: rand.New(rand.NewPCG(scenario.seed, 0)), ledgers: newLedgers(entries),
		generation: make([]int, servers), downUntil: make([]int, servers),
	}
}

func (simulation *simulation) now(step int) time.Time {
	return start.Add(time.Duration(step) * simulatedStep)
}

func (simulation *simulation) isDue(ratePerSecond float64) bool {
	return simulation.random.Float64() < ratePerSecond*simulatedStep.Seconds()
}

func (simulation *simulation) hasTurned(step int) bool {
	return time.Duration(step)*simulatedStep >= simulation.turnsAt
}

// run plays the scenario.
func (simulation *simulation) run() outbreak {
	number := Fingerprint(0)
	for step := range int(simulation.length / simulatedStep) {
		number++
		document := Part(fmt.Sprintf("document-%d", simulation.random.IntN(10)))
		if simulation.isDue(simulation.soundRate) {
			simulation.arrive(step, false, []Trait{Part("common"), document, number})
		}
		number++
		if simulation.isDue(simulation.partRate) && (simulation.usedBefore || simulation.hasTurned(step)) {
			simulation.arrive(step, true, []Trait{Part("common"), document, Part("turned"), number})
		}
		if simulation.isDue(simulation.uncausedRate) {
			simulation.crash(step, simulation.random.IntN(len(simulation.generation)))
		}
		simulation.advance(step)
		if step%sharedEvery == 0 {
			shareRecords(simulation.ledgers, simulation.now(step))
		}
	}
	simulation.result.ended = simulation.ended
	return simulation.result
}

// arrive sends a new request, unless its entry refuses it.
func (simulation *simulation) arrive(step int, hasPart bool, traits []Trait) {
	entry := simulation.random.IntN(len(simulation.ledgers))
	ledger := simulation.ledgers[entry]
	ledger.CountRequest(traits)
	isCounted := !hasPart && !simulation.fifthAt.IsZero() && simulation.now(step).After(simulation.fifthAt.Add(2*lateAfter))
	if isCounted {
		simulation.result.sound++
	}
	if ledger.Check(traits, simulation.now(step)).IsRefused() {
		if isCounted {
			simulation.result.refusedSound++
		}
		return
	}
	simulation.send(step, &simulatedRequest{entry: entry, hasPart: hasPart, traits: traits})
}

// send sends the request to a random server that is up.
func (simulation *simulation) send(step int, request *simulatedRequest) {
	var up []int
	for server, until := range simulation.downUntil {
		if step >= until {
			up = append(up, server)
		}
	}
	if len(up) == 0 {
		return
	}
	request.server = up[simulation.random.IntN(len(up))]
	request.generation = simulation.generation[request.server]
	request.sends++
	request.beginsAt = step + 10 + simulation.random.IntN(20)
	request.completeAt = request.beginsAt + 30 + simulation.random.IntN(60)
	request.crashesAt = 0
	if request.hasPart && simulation.hasTurned(step) {
		request.crashesAt = request.beginsAt + 4 + simulation.random.IntN(9)
	}
	if request.hasPart && !simulation.fifthAt.IsZero() && simulation.now(step).After(simulation.fifthAt.Add(lateAfter)) {
		simulation.result.late++
	}
	simulation.running = append(simulation.running, request)
}

// advance crashes servers and ends requests. Requests that were cut off are sent once
// more if the ledger of their entry allows it.
func (simulation *simulation) advance(step int) {
	for _, request := range simulation.running {
		if request.crashesAt == step && request.generation == simulation.generation[request.server] {
			simulation.crash(step, request.server)
		}
	}
	var rest, again []*simulatedRequest
	for _, request := range simulation.running {
		ledger, id := simulation.ledgers[request.entry], fmt.Sprintf("i-%d-%d", request.server, request.generation)
		switch {
		case request.generation != simulation.generation[request.server]:
			ledger.RecordOwn(Crash{Server: id, At: simulation.now(step), Traits: request.traits}, simulation.now(step))
			again = append(again, request)
		case step >= request.completeAt:
			ledger.RecordAnswer(id, request.traits, simulation.now(request.beginsAt), simulation.now(step))
		default:
			rest = append(rest, request)
		}
	}
	simulation.running = rest
	for _, request := range again {
		ledger := simulation.ledgers[request.entry]
		if request.sends < 2 && ledger.MayRepeat(request.traits) && !ledger.Check(request.traits, simulation.now(step)).IsRefused() {
			simulation.send(step, request)
		}
	}
}

func (simulation *simulation) crash(step, server int) {
	simulation.generation[server]++
	simulation.downUntil[server] = step + recoverySteps
	if simulation.ended++; simulation.ended == 5 {
		simulation.fifthAt = simulation.now(step)
	}
}

// Guards against a part in good use that turns bad and crashes servers for ever, because
// each request that was sent twice explains its two crashes by itself and takes them from
// the part that all of them share.
func TestPartThatTurnsBadIsBlamedForRepeatedRequests(t *testing.T) {
	scenarios := map[string]turnedPart{
		"a rare part":          {soundRate: 30, partRate: 1.5, usedBefore: true},
		"a part in 1 of 5":     {soundRate: 30, partRate: 8, usedBefore: true},
		"a part in half":       {soundRate: 30, partRate: 30, usedBefore: true},
		"a part new at 1 of 5": {soundRate: 30, partRate: 8},
	}
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		convey.Convey("Given "+name+" of all requests that turns bad, servers stop getting it, and sound requests are served", t, func() {
			for seed := range uint64(5) {
				scenario := scenarios[name]
				scenario.seed, scenario.turnsAt, scenario.length = seed, 5*time.Second, 40*time.Second
				result := newSimulation(scenario).run()
				t.Logf("%s, seed %d: %d servers ended, %d late, %d of %d sound refused", name, seed, result.ended, result.late, result.refusedSound, result.sound)
				convey.So(result.late, convey.ShouldBeLessThanOrEqualTo, allowedLate)
				convey.So(result.refusedSound*100, convey.ShouldBeLessThanOrEqualTo, result.sound*3)
			}
		})
	}
}

// Guards against sound requests that are refused because servers crash for other reasons.
func TestUncausedCrashesQuarantineNothing(t *testing.T) {
	convey.Convey("Given servers that crash whatever they run, no request is refused", t, func() {
		for seed := range uint64(5) {
			result := newSimulation(turnedPart{seed: seed, soundRate: 30, partRate: 3, usedBefore: true, uncausedRate: 1.5, turnsAt: time.Hour, length: 40 * time.Second}).run()
			t.Logf("seed %d: %d servers ended, %d of %d sound refused", seed, result.ended, result.refusedSound, result.sound)
			convey.So(result.ended, convey.ShouldBeGreaterThan, 30)
			convey.So(result.refusedSound, convey.ShouldEqual, 0)
		}
	})
}
