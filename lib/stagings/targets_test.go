package stagings

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// countedOrigin counts the reads of pieces and answers none.
type countedOrigin struct{ reads atomic.Int64 }

func (origin *countedOrigin) Manifest(context.Context, string, int) (Manifest, error) {
	return Manifest{}, errors.New("no manifest")
}

func (origin *countedOrigin) Piece(context.Context, string, int, int) ([]byte, error) {
	origin.reads.Add(1)
	return nil, errors.New("no piece")
}

// Guards against readers that go on reading a superseded version. When the store had been
// unavailable, the origin sent a copy that nobody used, and the newest version came a
// second later.
func TestSupersededVersionIsNotRead(t *testing.T) {
	convey.Convey("Given an agent that is to read a version when the next one is announced", t, func() {
		origin := &countedOrigin{}
		node := soloNode(origin)
		content := node.content(2)
		isRead := node.readOwnPieces(t.Context(), content, node.FleetView().Targets[0], content.missing())
		convey.So(isRead, convey.ShouldBeFalse)
		convey.So(origin.reads.Load(), convey.ShouldEqual, 0)
	})
}
