package stagings

import (
	"testing"
	"time"

	"firford/lib/endless"
)

// endlessTimeout is within what an answer without end must be an error. Calls to peers time
// out after 1.3 s at the latest.
const endlessTimeout = time.Second

// Guards against bytes of a peer that are no answer and do not end, in a head or in a body,
// and that an agent keeps, takes for an answer, or reads until the call times out.
func TestBytesOfPeersWithoutEndAreErrors(t *testing.T) {
	const concurrent = 8
	for name, each := range peerCalls(t) {
		t.Run(name, func(t *testing.T) {
			endless.Check(t, concurrent, endlessTimeout, agentMemoryBytes, each.newCall)
		})
	}
}
