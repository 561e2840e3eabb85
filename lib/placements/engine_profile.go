package placements

// This file predicts when an engine sends the first event of a request. A model
// engine reads prompts between the tokens of the requests that it is writing. The
// time to the first event therefore depends far more on the prompt tokens queued
// before a request than on the number of requests: when some engines are
// unavailable, the others receive requests faster than they can read them, long
// before their slots are full.

import "time"

const (
	// intervalsToFirstEvent is the number of admission intervals that a first event
	// takes besides reading: the one in progress, and the first of the request itself.
	intervalsToFirstEvent = 2
	// prefillShare is the fraction of an engine's time that goes into reading prompts
	// while prompts are waiting; the rest goes into writing tokens.
	prefillShare = 0.8
	// maxPendingForLate is the number of prompt tokens that may wait at an engine that
	// is given a request which is late already: half a prompt, so that it hardly delays
	// requests that can still be on time. The emulator compared 600 with 0, 300 and 1200.
	maxPendingForLate = 600
	// tieBreakRange is the difference in cost below which two engines count as equally
	// good, so that entries with the same reports do not all choose the same one.
	tieBreakRange = 20 * time.Millisecond
	// remoteDelay is the cost of a server in another data centre, as a time: traffic
	// between data centres is priced, and the delay is a few milliseconds.
	remoteDelay = 10 * time.Millisecond
)

// EngineProfile holds the published parameters of a kind of engine that decide how
// soon it answers. AdmissionInterval is how long the engine writes tokens before it
// looks for new requests, and SlotReleaseInterval the mean time until the next slot
// becomes free while all are in use.
type EngineProfile struct {
	TokensPerS          float64
	AdmissionInterval   time.Duration
	SlotReleaseInterval time.Duration
}

// PredictFirstEvent predicts the time to the first event of a request, given its
// prompt tokens, the prompt tokens pending before it and the number of requests that
// wait for a slot.
func (profile EngineProfile) PredictFirstEvent(pending, tokens, waiting int) time.Duration {
	reading := float64(pending+tokens) / (profile.TokensPerS * prefillShare)
	return intervalsToFirstEvent*profile.AdmissionInterval + time.Duration(reading*float64(time.Second)) + time.Duration(max(0, waiting))*profile.SlotReleaseInterval
}
