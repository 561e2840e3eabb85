package shares

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	settlingEntries = 350
	settlingEngines = 940
	settlingPerS    = 38.0
	settlingTime    = 2 * time.Second
	settlingStep    = 50 * time.Millisecond
)

// settlingFleet is a fleet in simulated time: entries with arrivals at random, and engines
// whose agents deal by what the entries told them.
type settlingFleet struct {
	random  *rand.Rand
	now     time.Time
	rates   []float64
	meters  []Meter
	demands [][]Demand
}

func newSettlingFleet() *settlingFleet {
	fleet := &settlingFleet{random: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1_800_000_000, 0), meters: make([]Meter, settlingEntries)}
	for range settlingEntries {
		fleet.rates = append(fleet.rates, settlingPerS)
	}
	for range settlingEngines {
		fleet.demands = append(fleet.demands, make([]Demand, settlingEntries))
	}
	return fleet
}

// step lets a step of time pass. Each entry renews its subscriptions at its own moment of
// each second, with a twentieth of its subscriptions lost.
func (fleet *settlingFleet) step(number int) {
	const steps, lost = int(time.Second / settlingStep), 0.05
	for i, rate := range fleet.rates {
		for gap := fleet.random.ExpFloat64() / rate; gap < settlingStep.Seconds(); gap += fleet.random.ExpFloat64() / rate {
			fleet.meters[i] = fleet.meters[i].WithArrival(0, fleet.now.Add(time.Duration(gap*float64(time.Second))))
		}
		if i%steps != number%steps {
			continue
		}
		perS := fleet.meters[i].PerSecond(0, fleet.now.Add(settlingStep))
		for _, demands := range fleet.demands {
			if fleet.random.Float64() >= lost {
				demands[i] = demands[i].With(perS)
			}
		}
	}
	fleet.now = fleet.now.Add(settlingStep)
}

// slots returns how many of the free slots of all engines the entries from first to last
// may use.
func (fleet *settlingFleet) slots(first, last, turn int) int {
	const free = 3
	sum := 0
	for i, demands := range fleet.demands {
		for _, part := range Deal(demands, turn+i)[first:last] {
			sum += part.Slots(free, turn+i)
		}
	}
	return sum
}

// Guards against shares that follow a shift of the callers late, or swing around the new
// demand: a third of the callers of one half of the entries moves to the other half.
func TestSharesSettleWithoutOscillation(t *testing.T) {
	const tolerance, seconds, half = 0.05, 8, settlingEntries / 2
	fleet := newSettlingFleet()
	steps := int(time.Second / settlingStep)
	for number := range 4 * steps {
		fleet.step(number)
	}
	for i := range fleet.rates {
		if i < half {
			fleet.rates[i] *= 2.0 / 3
		} else {
			fleet.rates[i] *= 4.0 / 3
		}
	}
	const lower, upper = settlingPerS*2/3 + basePerS, settlingPerS*4/3 + basePerS
	wanted := upper / (lower + upper)
	for number := range seconds * steps {
		fleet.step(number)
		if number%10 != 9 {
			continue
		}
		share := float64(fleet.slots(half, settlingEntries, number)) / float64(fleet.slots(0, settlingEntries, number))
		elapsed := time.Duration(number+1) * settlingStep
		t.Logf("%v after the shift: share %.3f of %.3f", elapsed, share, wanted)
		if share > wanted*(1+tolerance) {
			t.Fatalf("share %.3f exceeds %.3f after %v", share, wanted, elapsed)
		}
		if elapsed >= settlingTime && math.Abs(share-wanted) > wanted*tolerance {
			t.Fatalf("share %.3f instead of %.3f after %v", share, wanted, elapsed)
		}
	}
}
