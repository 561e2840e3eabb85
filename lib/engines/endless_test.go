package engines

import (
	"testing"
	"time"

	"firford/lib/endless"
)

// endlessTimeout is within what an answer without end must be an error, at the speed of a
// loopback connection: long before the calls time out.
const endlessTimeout = 2 * time.Second

// Guards against bytes of a backend server that are no answer and do not end, in a head or in
// a body, and that an agent keeps, takes for an answer, or reads until the call times out.
func TestBytesWithoutEndAreErrors(t *testing.T) {
	calls := bodyCalls()
	calls["generation"] = generationCall()
	for name, each := range calls {
		t.Run(name, func(t *testing.T) {
			endless.Check(t, concurrentCalls, endlessTimeout, agentMemoryBytes, each.newCall(t))
		})
	}
}
