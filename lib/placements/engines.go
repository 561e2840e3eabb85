package placements

// A model engine reads prompts between the tokens of the requests that it is
// writing. How soon a request gets its first event therefore depends on the
// prompt tokens that wait before it far more than on the number of requests:
// when engines are away, the others get requests faster than they can read them
// long before their slots are full.

import "time"

const (
	// passes is how many passes of an engine a first event takes beside the
	// reading: the one that is going on, and the first of the request itself.
	passes = 2
	// readingShare is the part of an engine's time that reads prompts while others
	// wait to be read; the rest writes tokens.
	readingShare = 0.8
	// lateTokens is how many prompt tokens may wait at an engine that gets a request
	// which is late already: half a prompt, so that it hardly holds up those that can
	// still be on time. The emulator compared it with 0, 300 and 1200.
	lateTokens = 600
	// closeCosts is below which two engines count as equally good, so that entries
	// with the same reports do not all choose the same one.
	closeCosts = 20 * time.Millisecond
	// distanceTime is what another data centre counts in the choice: its bytes are
	// priced, and its delay is a few milliseconds.
	distanceTime = 10 * time.Millisecond
)

// EngineProfile holds the published figures of a kind of engine that decide how soon it
// answers. Pass is how long it writes between two looks at new requests.
type EngineProfile struct {
	TokensPerS          float64
	AdmissionInterval   time.Duration
	SlotReleaseInterval time.Duration
}

// PredictFirstEvent predicts the time to the first event of a request with so many prompt
// tokens behind others with so many, when so many requests wait for a slot.
func (engine EngineProfile) PredictFirstEvent(pending, tokens, waiting int) time.Duration {
	reading := float64(pending+tokens) / (engine.TokensPerS * readingShare)
	return passes*engine.AdmissionInterval + time.Duration(reading*float64(time.Second)) + time.Duration(max(0, waiting))*engine.SlotReleaseInterval
}
