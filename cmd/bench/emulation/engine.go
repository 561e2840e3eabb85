package emulation

// An engine works in passes. In each pass it reads a part of the waiting prompts,
// then generates a few tokens for each request whose prompt has been read. The
// figures are those that the users' platform publishes for its engines.

import (
	"time"
)

type (
	// engineProfile holds the published figures of an engine.
	engineProfile struct {
		slots int
		queue int
		// stride is the number of steps of a pass, and so of tokens of an event.
		stride int
		// prefillChunk is the largest number of prompt tokens that are read for each step.
		prefillChunk int
		// step is the time for one token of all running requests; each of them adds
		// stepPerRequest.
		step              time.Duration
		stepPerRequest    time.Duration
		promptTokensPerMS float64
		// timePerMillionPairs is the time that attention takes for a million pairs of a
		// prompt token and an earlier one.
		timePerMillionPairs time.Duration
	}

	// execution is a request at an engine.
	execution struct {
		unreadTokens    int
		promptTokens    int
		remainingTokens int
		// clearPending removes the execution's tokens from its engine's pending tokens.
		// Only the first call has an effect.
		clearPending func()
		// onEvent is called for each event. onEnd is called once, with false if the
		// engine did not complete the execution.
		onEvent    func(isFirst bool)
		onEnd      func(isComplete bool)
		hasStarted bool
		hasEnded   bool
	}

	// engine simulates a backend server that generates tokens.
	engine struct {
		clock   *clock
		profile engineProfile
		// slowdown is the factor by which the engine is slower than published.
		slowdown      float64
		running       []*execution
		waiting       []*execution
		isInPass      bool
		isUnavailable bool
		tokensWritten int
	}
)

// standardProfile is that of the engines at the users' first sites (given/kit, SYSTEM).
var standardProfile = engineProfile{
	slots: 16, queue: 32, stride: 5, prefillChunk: 2048, step: 9270 * time.Microsecond, stepPerRequest: 23 * time.Microsecond,
	promptTokensPerMS: 20.7, timePerMillionPairs: 1180 * time.Microsecond,
}

// accept queues an execution. It returns false if the engine is unavailable or its
// slots and queue are full.
func (engine *engine) accept(execution *execution) bool {
	if engine.isUnavailable || len(engine.running)+len(engine.waiting) >= engine.profile.slots+engine.profile.queue {
		return false
	}
	engine.waiting = append(engine.waiting, execution)
	engine.startPass()
	return true
}

// fail ends all executions incomplete and makes the engine unavailable for the
// outage, as a crash or a lost connection does.
func (engine *engine) fail(outage time.Duration) {
	engine.isUnavailable = true
	for _, execution := range append(engine.running, engine.waiting...) {
		if !execution.hasEnded {
			execution.onEnd(false)
		}
	}
	engine.running, engine.waiting = nil, nil
	engine.clock.scheduleAfter(outage, func() { engine.isUnavailable = false })
}

// startPass starts a pass unless one is in progress or there is nothing to do.
func (engine *engine) startPass() {
	if engine.isInPass || engine.isUnavailable {
		return
	}
	engine.fillSlots()
	if len(engine.running) == 0 {
		return
	}
	engine.isInPass = true
	engine.clock.scheduleAfter(engine.runPass(), func() {
		engine.isInPass = false
		engine.startPass()
	})
}

// fillSlots removes ended executions, such as those whose callers have left, and
// moves waiting ones into the free slots.
func (engine *engine) fillSlots() {
	engine.running = removeEnded(engine.running)
	engine.waiting = removeEnded(engine.waiting)
	for len(engine.waiting) > 0 && len(engine.running) < engine.profile.slots {
		engine.running = append(engine.running, engine.waiting[0])
		engine.waiting = engine.waiting[1:]
	}
}

// removeEnded returns the executions that have not ended, in their order.
func removeEnded(executions []*execution) []*execution {
	var active []*execution
	for _, execution := range executions {
		if !execution.hasEnded {
			active = append(active, execution)
		}
	}
	return active
}

// runPass computes one pass and returns how long it takes. An execution whose prompt
// is read completely gets its first tokens in the same pass. Events are delivered at
// the end of the pass.
func (engine *engine) runPass() time.Duration {
	profile := engine.profile
	readTime := engine.readPrompts(profile.stride * profile.prefillChunk)
	var writers []*execution
	for _, execution := range engine.running {
		if execution.unreadTokens == 0 {
			writers = append(writers, execution)
		}
	}
	steps := 1
	if len(writers) > 0 {
		steps = profile.stride
	}
	passTime := readTime + time.Duration(steps)*(profile.step+time.Duration(len(writers))*profile.stepPerRequest)
	passTime = time.Duration(float64(passTime) * max(1, engine.slowdown))
	engine.clock.scheduleAfter(passTime, func() {
		for _, execution := range writers {
			engine.writeEvent(execution)
		}
	})
	return passTime
}

// readPrompts reads up to maxTokens of the prompts in the order of their arrival and
// returns how long it takes.
func (engine *engine) readPrompts(maxTokens int) time.Duration {
	var readTime time.Duration
	for _, execution := range engine.running {
		tokens := min(execution.unreadTokens, maxTokens)
		if tokens == 0 {
			continue
		}
		execution.unreadTokens -= tokens
		maxTokens -= tokens
		readTime += time.Duration(float64(tokens) / engine.profile.promptTokensPerMS * float64(time.Millisecond))
		pairs := float64(tokens) * (float64(execution.promptTokens-execution.unreadTokens) - float64(tokens)/2)
		readTime += time.Duration(pairs / 1e6 * float64(engine.profile.timePerMillionPairs))
	}
	return readTime
}

// writeEvent writes the tokens of one event, and ends the execution after the last one.
func (engine *engine) writeEvent(execution *execution) {
	if execution.hasEnded || engine.isUnavailable {
		return
	}
	execution.remainingTokens -= engine.profile.stride
	engine.tokensWritten += engine.profile.stride
	execution.onEvent(!execution.hasStarted)
	execution.hasStarted = true
	if execution.remainingTokens > 0 {
		return
	}
	execution.hasEnded = true
	execution.onEnd(true)
}

// countRequests returns how many requests the engine runs and how many wait in its queue.
func (engine *engine) countRequests() (running, waiting int) {
	return len(removeEnded(engine.running)), len(removeEnded(engine.waiting))
}
