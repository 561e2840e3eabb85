package stagings

// This file orders an engine to change to a version that has been fetched. The
// changes are spread over the time until the version is due, so that most engines
// serve at any time, and the staged pieces are verified just before the order.

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"firford/lib/hosts"
	"firford/lib/waits"
)

const (
	// checkLifetime is how long a verification of the staged pieces remains valid. A
	// staged piece may become corrupt at any time, and an engine must not load one
	// that has been corrupt for more than three seconds.
	checkLifetime = time.Second
	// drainTimeout is how long running requests may continue before the engine
	// changes its version. The few long streams that are left by then would keep most
	// of its slots idle for seconds; they are aborted and resumed at other engines.
	drainTimeout = 400 * time.Millisecond
	// unansweredOrderWait is how long an order that was not answered may still be in
	// flight to the engine on the same machine.
	unansweredOrderWait = time.Second
	// orderTimeout bounds the wait for an engine to carry out an order. An engine
	// that is not ordered to abort its running requests finishes them first.
	orderTimeout = 8 * time.Second
	// firstStartDelay is the time from the announcement of a version until the first
	// engines change to it. Its pieces have usually arrived by then.
	firstStartDelay = 2500 * time.Millisecond
	// lastStartLead is how long before the due time the last engines change. From
	// about then on entries send no more requests to an older version, so a later
	// change would only leave an engine idle.
	lastStartLead = 1200 * time.Millisecond
)

var (
	errDisagreed     = errors.New("no two reads of the manifest from the origin agree")
	errCorruptPieces = errors.New("staged piece does not match its digest after it was staged again")
)

// StartAt returns when an engine may change to the target. Position is its rank
// among count engines, completedAt is when its last piece arrived, and empty is set
// if it serves nothing. The changes are spread evenly, so that as few engines as
// possible are unavailable at any time. An empty engine starts at once, and so does
// any engine if the target was announced before this process started.
func StartAt(target Target, completedAt time.Time, position, count int, empty bool) time.Time {
	if empty || target.AnnouncedAt.IsZero() || count <= 0 {
		return completedAt
	}
	first, last := target.AnnouncedAt.Add(firstStartDelay), target.Due.Add(-lastStartLead)
	if first.Before(completedAt) {
		first = completedAt
	}
	if last.Before(first) {
		return completedAt
	}
	return first.Add(last.Sub(first) * time.Duration(position) / time.Duration(count))
}

// startVersion verifies the staged pieces, drains the engine and orders it to start
// the target. It returns false if the caller should try again later.
func (node *Node) startVersion(ctx context.Context, content *content, target Target, status Status) bool {
	at := StartAt(target, content.completionTime(), hosts.Position(versionKey(target.Model, target.Version), node.Self.Name, node.agents()), len(node.agents()), len(status.Versions) == 0)
	if time.Now().Before(at) {
		return false
	}
	release := node.reserveStage(target.Version)
	defer release()
	checked := time.Now()
	if err := node.verifyStaged(ctx, content); err != nil {
		node.Logger.Warn("staged pieces are corrupt", zap.Int("version", target.Version), zap.Error(err))
		return false
	}
	node.setClosed(true)
	defer node.setClosed(false)
	running := node.drain(ctx)
	if time.Since(checked) > checkLifetime {
		node.Logger.Info("verification of the staged pieces expired", zap.Int("version", target.Version), zap.Duration("age", time.Since(checked)))
		return false
	}
	err := node.Engine.Start(ctx, Order{Model: target.Model, Version: target.Version, Sequence: status.Sequence, AbortRunning: running > 0})
	node.Logger.Info("order sent", zap.String("model", target.Model), zap.Int("version", target.Version),
		zap.Int("sequence", status.Sequence), zap.Int64("born", status.StartedUnixMilli), zap.Int("running", running), zap.Duration("after_naming", sinceAnnouncement(target)), zap.Error(err))
	node.countOrder(err)
	if err != nil {
		// The engine may still carry out an order whose answer was lost.
		waits.Sleep(ctx, unansweredOrderWait)
		return false
	}
	release()
	node.awaitServing(ctx, target, status.StartedUnixMilli)
	return true
}

// drain waits up to drainTimeout for the engine's requests to end and returns how
// many are left. Entries send it no new requests meanwhile.
func (node *Node) drain(ctx context.Context) int {
	for until := time.Now().Add(drainTimeout); ; waits.Sleep(ctx, statusInterval/2) {
		status, _ := node.latestStatus()
		running := status.Running + status.Queued
		if running == 0 || time.Now().After(until) || ctx.Err() != nil {
			return running
		}
	}
}

// sinceAnnouncement returns the time since the target was announced, or zero if
// that happened before this process started.
func sinceAnnouncement(target Target) time.Duration {
	if target.AnnouncedAt.IsZero() {
		return 0
	}
	return time.Since(target.AnnouncedAt)
}

// agents returns all known agents, this one first.
func (node *Node) agents() []hosts.Host {
	list := []hosts.Host{node.Self}
	for _, peer := range node.FleetView().Peers {
		if peer.Host.Name != node.Self.Name {
			list = append(list, peer.Host)
		}
	}
	return list
}

// awaitServing waits until the engine serves the target or has restarted, for
// orderTimeout at most. An engine has restarted if its start time changes.
func (node *Node) awaitServing(ctx context.Context, target Target, startedUnixMilli int64) {
	until := time.Now().Add(orderTimeout)
	for ctx.Err() == nil && time.Now().Before(until) {
		status, _ := node.latestStatus()
		if status.StartedUnixMilli != startedUnixMilli || !status.Busy && status.Versions[target.Model] == target.Version {
			break
		}
		waits.Sleep(ctx, statusInterval/2)
	}
	status, _ := node.latestStatus()
	node.Logger.Info("order ended", zap.Int("version", target.Version), zap.Any("versions", status.Versions),
		zap.Bool("busy", status.Busy), zap.Duration("after_naming", sinceAnnouncement(target)))
}

// verifyStaged reads back every staged piece and stages those that do not match
// their digest again. It returns an error if one still does not match.
func (node *Node) verifyStaged(ctx context.Context, content *content) error {
	var corrupt atomic.Bool
	forEachPiece(content.allPieces(), func(piece int) {
		if !node.verifyStagedPiece(ctx, content, piece) {
			corrupt.Store(true)
		}
	})
	if corrupt.Load() {
		return errCorruptPieces
	}
	return nil
}

// verifyStagedPiece reports whether a staged piece matches its digest, after it was
// staged again if necessary.
func (node *Node) verifyStagedPiece(ctx context.Context, content *content, piece int) bool {
	model := content.manifest.Model
	if body, err := node.Engine.ReadPiece(ctx, model, piece); err == nil && content.manifest.Verify(piece, body) {
		return true
	}
	node.writeToStage(ctx, content, piece)
	body, err := node.Engine.ReadPiece(ctx, model, piece)
	return err == nil && content.manifest.Verify(piece, body)
}
