package stagings

// The metrics of a node are tagged only with the model's name and with small
// fixed sets of values, which keeps the number of time series low.

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"firford/lib/waits"
)

// metricsInterval is the time between two updates of the gauges. It equals the
// reporting interval of the metrics.
const metricsInterval = time.Second

// Values of the metrics tag "way", which is the source of a piece.
const (
	sourceOrigin = "origin"
	sourcePeer   = "peer"
	sourcePush   = "handed"
	sourceStage  = "stage"
)

// updateMetrics updates the gauges of versions and pieces until the context ends.
func (node *Node) updateMetrics(ctx context.Context) {
	for ; ctx.Err() == nil; waits.Sleep(ctx, metricsInterval) {
		if targets := node.FleetView().Targets; len(targets) > 0 {
			node.updateVersionMetrics(targets[len(targets)-1])
		}
	}
}

func (node *Node) updateVersionMetrics(newest Target) {
	status, _ := node.latestStatus()
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

// countPiece counts a received piece and its bytes by source.
func (node *Node) countPiece(source string, bytes int) {
	scope := node.Scope.Tagged(map[string]string{"way": source})
	scope.Counter("pieces").Inc(1)
	scope.Counter("piece_bytes").Inc(int64(bytes))
}

// countOrder counts an order to the engine as sent, or as failed if err is set.
func (node *Node) countOrder(err error) {
	counter := orderCounter(node.Scope, "sent")
	if err != nil {
		counter = orderCounter(node.Scope, "failed")
	}
	counter.Inc(1)
}

func orderCounter(scope tally.Scope, result string) tally.Counter {
	return scope.Tagged(map[string]string{"result": result}).Counter("orders")
}
