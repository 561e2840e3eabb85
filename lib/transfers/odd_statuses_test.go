package transfers

import (
	"errors"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/cuts"
	"firford/lib/hosts"
	"firford/lib/transfers/selections"
	"firford/lib/weights"
)

var errNoChunk = errors.New("no chunk")

// Guards against a neighbour in trouble whose answer has no valid status, such as 000, and
// counts as a chunk.
func TestAnswersOfNeighboursWithOddStatusesAreNoChunks(t *testing.T) {
	node := New(Dependencies{Self: hosts.Host{Name: "self"}, Logger: zap.NewNop(), Scope: tally.NoopScope})
	fetching := &transfer{node: node, ctx: t.Context(), manifest: weights.Manifest{ChunkSize: testChunkBytes, Chunks: []weights.Digest{{}}}}
	cuts.CheckOddStatuses(t, "chunk", func(address string) func() error {
		client := fetching.newClient(hosts.Host{ChunkAddress: address})
		return func() error {
			if _, _, failed := fetching.requestChunk(selections.Request{}, client); failed {
				return errNoChunk
			}
			return nil
		}
	})
}
