package stagings

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"firford/lib/hosts"
)

const (
	// checkLifetime is how long a check of the staged pieces counts. A piece may
	// turn bad at any time, and an engine must not take one that has been bad for
	// more than three seconds.
	checkLifetime = time.Second
	// drainTime is how long an engine's requests may run on before it changes its
	// version. The few long streams that are left then would keep most of its slots
	// idle for seconds; they go on at other engines.
	drainTime = 400 * time.Millisecond
	// unansweredTime is how long an order without an answer may still be on its way
	// to the engine on the same machine.
	unansweredTime = time.Second
	// orderTimeout bounds the wait for an engine to carry an order out; it first
	// finishes what it runs.
	orderTimeout = 8 * time.Second
	// firstWave is when the first engines change to a version after it was named:
	// by then its pieces have usually arrived.
	firstWave = 2500 * time.Millisecond
	// lastWave is how long before the due time the last engines change. Entries
	// send nothing more to an older version from about then on, so a later change
	// would only keep an engine idle.
	lastWave = 1200 * time.Millisecond
)

var (
	errDisagreed = errors.New("no two manifests of the origin agree")
	errSpoilt    = errors.New("staged piece does not match after it was staged again")
)

// StartAt returns when the engine with this place among count may change to the
// target, whose pieces have been there since whole. The changes are spread
// evenly, so that as few engines as possible are away at any time. An engine that
// serves nothing starts at once.
func StartAt(target Target, whole time.Time, place, count int, empty bool) time.Time {
	if empty || target.AnnouncedAt.IsZero() || count <= 0 {
		return whole
	}
	first, last := target.AnnouncedAt.Add(firstWave), target.Due.Add(-lastWave)
	if first.Before(whole) {
		first = whole
	}
	if last.Before(first) {
		return whole
	}
	return first.Add(last.Sub(first) * time.Duration(place) / time.Duration(count))
}

// start checks what lies beside the engine and orders it to start.
func (node *Node) start(ctx context.Context, content *content, target Target, status Status) bool {
	at := StartAt(target, content.wholeAt(), hosts.Position(key(target.Model, target.Version), node.Self.Name, node.all()), len(node.all()), len(status.Versions) == 0)
	if time.Now().Before(at) {
		return false
	}
	release := node.reserve(target.Version)
	defer release()
	checked := time.Now()
	if err := node.check(ctx, content); err != nil {
		node.Logger.Warn("staged pieces not whole", zap.Int("version", target.Version), zap.Error(err))
		return false
	}
	node.setClosed(true)
	defer node.setClosed(false)
	running := node.drain(ctx)
	if time.Since(checked) > checkLifetime {
		node.Logger.Info("check of the staged pieces too old", zap.Int("version", target.Version), zap.Duration("age", time.Since(checked)))
		return false
	}
	err := node.Engine.Start(ctx, Order{Model: target.Model, Version: target.Version, Sequence: status.Sequence, AbortRunning: running > 0})
	node.Logger.Info("order sent", zap.String("model", target.Model), zap.Int("version", target.Version),
		zap.Int("sequence", status.Sequence), zap.Int64("born", status.StartedUnixMilli), zap.Int("running", running), zap.Duration("after_naming", sinceNamed(target)), zap.Error(err))
	node.countOrder(err)
	if err != nil {
		// The engine may still take an order whose answer did not come.
		sleep(ctx, unansweredTime)
		return false
	}
	release()
	node.await(ctx, target, status.StartedUnixMilli)
	return true
}

// drain gives the requests that run at the engine a moment to end and returns how
// many are left. Entries send it nothing meanwhile.
func (node *Node) drain(ctx context.Context) int {
	for until := time.Now().Add(drainTime); ; sleep(ctx, observePause/2) {
		status, _ := node.current()
		running := status.Running + status.Queued
		if running == 0 || time.Now().After(until) || ctx.Err() != nil {
			return running
		}
	}
}

func sinceNamed(target Target) time.Duration {
	if target.AnnouncedAt.IsZero() {
		return 0
	}
	return time.Since(target.AnnouncedAt)
}

func (node *Node) all() []hosts.Host {
	list := []hosts.Host{node.Self}
	for _, peer := range node.FleetView().Peers {
		if peer.Host.Name != node.Self.Name {
			list = append(list, peer.Host)
		}
	}
	return list
}

// await waits until the engine serves the target or has started again.
func (node *Node) await(ctx context.Context, target Target, born int64) {
	until := time.Now().Add(orderTimeout)
	for ctx.Err() == nil && time.Now().Before(until) {
		status, _ := node.current()
		if status.StartedUnixMilli != born || !status.Busy && status.Versions[target.Model] == target.Version {
			break
		}
		sleep(ctx, observePause/2)
	}
	status, _ := node.current()
	node.Logger.Info("order ended", zap.Int("version", target.Version), zap.Any("versions", status.Versions),
		zap.Bool("busy", status.Busy), zap.Duration("after_naming", sinceNamed(target)))
}

// check reads back every piece and stages those again that do not match.
func (node *Node) check(ctx context.Context, content *content) error {
	var spoilt atomic.Bool
	eachStaged(content.indices(), func(piece int) {
		if !node.checkPiece(ctx, content, piece) {
			spoilt.Store(true)
		}
	})
	if spoilt.Load() {
		return errSpoilt
	}
	return nil
}

func (node *Node) checkPiece(ctx context.Context, content *content, piece int) bool {
	model := content.manifest.Model
	if body, err := node.Engine.ReadPiece(ctx, model, piece); err == nil && content.manifest.Verify(piece, body) {
		return true
	}
	node.put(ctx, content, piece)
	body, err := node.Engine.ReadPiece(ctx, model, piece)
	return err == nil && content.manifest.Verify(piece, body)
}
