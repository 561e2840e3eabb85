package stagings

// Metrics of a node. Labels are the model's name and small fixed sets.

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// measureInterval is as long as the interval of the metrics.
const measureInterval = time.Second

// Ways on which a piece came, as metrics name them.
const (
	wayOrigin = "origin"
	wayPeer   = "peer"
	wayHanded = "handed"
	wayStage  = "stage"
)

// measure keeps the gauges of versions and pieces until the context ends.
func (node *Node) measure(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, measureInterval) {
		if targets := node.FleetView().Targets; len(targets) > 0 {
			node.measureTarget(targets[len(targets)-1])
		}
	}
}

func (node *Node) measureTarget(newest Target) {
	status, _ := node.current()
	scope := node.Scope.Tagged(map[string]string{"model": newest.Model})
	scope.Gauge("version_wanted").Update(float64(newest.Version))
	scope.Gauge("version_served").Update(float64(status.Versions[newest.Model]))
	held := 0
	if content := node.content(newest.Version); content != nil {
		held = len(content.pieces) - len(content.missing())
	}
	scope.Gauge("pieces_held").Update(float64(held))
	scope.Gauge("pieces_wanted").Update(float64(newest.Pieces))
}

// countPiece counts a piece and its bytes by the way on which it came.
func (node *Node) countPiece(way string, bytes int) {
	scope := node.Scope.Tagged(map[string]string{"way": way})
	scope.Counter("pieces").Inc(1)
	scope.Counter("piece_bytes").Inc(int64(bytes))
}

// countOrder counts an order to the engine.
func (node *Node) countOrder(err error) {
	counter := orders(node.Scope, "sent")
	if err != nil {
		counter = orders(node.Scope, "failed")
	}
	counter.Inc(1)
}

func orders(scope tally.Scope, result string) tally.Counter {
	return scope.Tagged(map[string]string{"result": result}).Counter("orders")
}
