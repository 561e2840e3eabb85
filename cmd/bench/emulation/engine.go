package emulation

// An engine works in passes: it writes a few tokens for each request that it is
// writing, and reads prompts between them. The figures are those that the users'
// platform publishes of its engines.

import (
	"time"
)

type (
	// figures are the published figures of an engine.
	figures struct {
		slots       int
		queue       int
		stride      int
		chunk       int
		step        time.Duration
		stepPerRun  time.Duration
		tokensPerMS float64
		// pairsPerM is the time for a million pairs of a token and any earlier one.
		pairsPerM time.Duration
	}

	// run is a request at an engine.
	run struct {
		unread int
		prompt int
		left   int
		// event is called with each event, the first one included; end is called once,
		// with false where the engine did not finish the run.
		event func(first bool)
		end   func(whole bool)
		began bool
		gone  bool
	}

	engine struct {
		clock   *clock
		figures figures
		// pace is the factor by which the engine is slower than published.
		pace    float64
		running []*run
		waiting []*run
		passing bool
		away    bool
		tokens  int
	}
)

// standardFigures are those of the users' first sites (given/kit, SYSTEM).
var standardFigures = figures{
	slots: 16, queue: 32, stride: 5, chunk: 2048, step: 9270 * time.Microsecond, stepPerRun: 23 * time.Microsecond,
	tokensPerMS: 20.7, pairsPerM: 1180 * time.Microsecond,
}

// take accepts a run, or refuses it when the engine is away or its queue is full.
func (engine *engine) take(run *run) bool {
	if engine.away || len(engine.running)+len(engine.waiting) >= engine.figures.slots+engine.figures.queue {
		return false
	}
	engine.waiting = append(engine.waiting, run)
	engine.pass()
	return true
}

// leave ends all runs without finishing them, as a crash or a cut does, until the
// engine is back.
func (engine *engine) leave(span time.Duration) {
	engine.away = true
	for _, run := range append(engine.running, engine.waiting...) {
		if !run.gone {
			run.end(false)
		}
	}
	engine.running, engine.waiting = nil, nil
	engine.clock.after(span, func() { engine.away = false })
}

// pass begins a pass unless one is going on or nothing is to be done.
func (engine *engine) pass() {
	if engine.passing || engine.away {
		return
	}
	engine.admit()
	if len(engine.running) == 0 {
		return
	}
	engine.passing = true
	engine.clock.after(engine.work(), func() {
		engine.passing = false
		engine.pass()
	})
}

// admit moves runs into free slots and drops those whose callers have left.
func (engine *engine) admit() {
	engine.running = alive(engine.running)
	engine.waiting = alive(engine.waiting)
	for len(engine.waiting) > 0 && len(engine.running) < engine.figures.slots {
		engine.running = append(engine.running, engine.waiting[0])
		engine.waiting = engine.waiting[1:]
	}
}

func alive(runs []*run) []*run {
	var kept []*run
	for _, run := range runs {
		if !run.gone {
			kept = append(kept, run)
		}
	}
	return kept
}

// work does one pass and returns how long it takes. A prompt that is read to its
// end is followed by the first tokens in the same pass. What the pass brings about
// is told at its end.
func (engine *engine) work() time.Duration {
	figures := engine.figures
	reading := engine.read(figures.stride * figures.chunk)
	var writers []*run
	for _, run := range engine.running {
		if run.unread == 0 {
			writers = append(writers, run)
		}
	}
	steps := 1
	if len(writers) > 0 {
		steps = figures.stride
	}
	span := reading + time.Duration(steps)*(figures.step+time.Duration(len(writers))*figures.stepPerRun)
	span = time.Duration(float64(span) * max(1, engine.pace))
	engine.clock.after(span, func() {
		for _, run := range writers {
			engine.write(run)
		}
	})
	return span
}

// read reads prompts in the order of their arrival and returns how long it takes.
func (engine *engine) read(most int) time.Duration {
	var span time.Duration
	for _, run := range engine.running {
		tokens := min(run.unread, most)
		if tokens == 0 {
			continue
		}
		run.unread -= tokens
		most -= tokens
		span += time.Duration(float64(tokens) / engine.figures.tokensPerMS * float64(time.Millisecond))
		pairs := float64(tokens) * (float64(run.prompt-run.unread) - float64(tokens)/2)
		span += time.Duration(pairs / 1e6 * float64(engine.figures.pairsPerM))
	}
	return span
}

// write writes the tokens of one event.
func (engine *engine) write(run *run) {
	if run.gone || engine.away {
		return
	}
	run.left -= engine.figures.stride
	engine.tokens += engine.figures.stride
	run.event(!run.began)
	run.began = true
	if run.left > 0 {
		return
	}
	run.gone = true
	run.end(true)
}

// occupied returns how many requests the engine runs and holds.
func (engine *engine) occupied() (running, waiting int) {
	return len(alive(engine.running)), len(alive(engine.waiting))
}
