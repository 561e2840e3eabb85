package engines

import (
	"testing"

	"firford/lib/endless"
)

// Guards against bytes of a backend server that are no answer and do not end, in a head or in
// a body, and that an agent keeps, takes for an answer, or reads until the call times out.
func TestBytesWithoutEndAreErrors(t *testing.T) {
	calls := bodyCalls()
	calls["generation"] = generationCall()
	for name, each := range calls {
		t.Run(name, func(t *testing.T) {
			endless.Check(t, concurrentCalls, agentMemoryBytes, each.newCall(t))
		})
	}
}
