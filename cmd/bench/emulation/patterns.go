package emulation

import "time"

// The load of the users' sites: kinds of requests with their tokens, targets and
// worths (given/kit, SYSTEM), and what happens to the fleet.

const (
	// usualAnswer is the mean number of tokens of an answer.
	usualAnswer = 92
	// engineCount and entryCount are those of a first site with its spare engines.
	engineCount = 16
	entryCount  = 5
	// usualRate is the requests a second of such a site.
	usualRate = 152.0
	// duration is how long requests arrive.
	duration = 30 * time.Second
	// disturbance is when a pattern begins to differ from the usual load, and
	// disturbanceTime how long it lasts.
	disturbance     = 8 * time.Second
	disturbanceTime = 10 * time.Second
)

type (
	// kind is a kind of request.
	kind struct {
		name     string
		share    float64
		prompt   int
		answer   int
		target   time.Duration
		pause    time.Duration
		deadline time.Duration
		worth    float64
		late     float64
	}

	// pattern is a load and what happens while it lasts. Rate returns the requests a
	// second as a part of the usual rate.
	pattern struct {
		name string
		rate func(since time.Duration) float64
		// abuse is the part of callers that repeat at once, three times; giveUp the
		// part that leave after leaveAfter.
		abuse  float64
		giveUp float64
		// skew is the part of the requests that the first entry gets.
		skew float64
		// happen changes the fleet.
		happen func(world *world)
	}
)

// leaveAfter is when impatient callers leave.
const leaveAfter = 800 * time.Millisecond

func kinds() []kind {
	return []kind{
		{"intake", 0.41, 1330, 100, 500 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second, 2.4, 0.6},
		{"quote", 0.31, 827, 100, 400 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second, 2, 0.49},
		{"summary", 0.28, 647, 70, 400 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second, 1.5, 0.37},
	}
}

func patterns() []pattern {
	return []pattern{
		{name: "usual", rate: steady(0.8)},
		{name: "steps", rate: func(since time.Duration) float64 {
			return 0.55 + 0.15*float64(min(5, since/(3*time.Second)))
		}},
		{name: "burst", rate: during(0.8, 2)},
		{name: "shift", rate: steady(0.9), skew: 0.7},
		{name: "retry_abuse", rate: during(0.8, 1.4), abuse: 0.4},
		{name: "give_up", rate: during(0.8, 1.4), giveUp: 0.4},
		{name: "third_lost", rate: steady(0.9), happen: func(world *world) {
			for at := range len(world.engines) / 3 {
				world.lose(at, disturbance, disturbanceTime)
			}
		}},
		{name: "new_version", rate: steady(0.9), happen: func(world *world) {
			// Each engine is away for as long as it drains and loads, one after the other.
			for at := range world.engines {
				world.change(at, disturbance+time.Duration(at)*300*time.Millisecond, 500*time.Millisecond)
			}
		}},
		{name: "slow_engines", rate: steady(0.8), happen: func(world *world) {
			for at := range 2 {
				world.clock.after(disturbance, func() { world.engines[at].pace = 4 })
				world.clock.after(disturbance+disturbanceTime, func() { world.engines[at].pace = 1 })
			}
		}},
	}
}

func steady(part float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return part }
}

// during returns a load that is higher during the disturbance.
func during(usual, disturbed float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if since >= disturbance && since < disturbance+disturbanceTime {
			return disturbed
		}
		return usual
	}
}
