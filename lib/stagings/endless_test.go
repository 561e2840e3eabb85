package stagings

import (
	"testing"

	"firford/lib/endless"
)

// Guards against bytes of a peer that are no answer and do not end, in a head or in a body,
// and that an agent keeps, takes for an answer, or reads until the call times out.
func TestBytesOfPeersWithoutEndAreErrors(t *testing.T) {
	const concurrent = 8
	for name, each := range peerCalls(t) {
		t.Run(name, func(t *testing.T) {
			endless.Check(t, concurrent, agentMemoryBytes, each.newCall)
		})
	}
}
