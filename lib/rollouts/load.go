package rollouts

// This file drives one order from its first call to the version in service.
//
// Nothing that a call returns decides whether the engine serves the version:
// only the engine's own status does, read back after the commit. An order is
// never continued by another agent. Its pieces are verified here once more,
// because the chunk store is shared with transfers that are still running.

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/invariants"
	"firford/lib/weights"
)

const (
	maxCallTries = 4
	callPause    = 200 * time.Millisecond
	statusPause  = 100 * time.Millisecond
	// An engine that neither loads nor serves after a commit gets the commit again
	// this often. Commits with the same order id are harmless.
	maxCommits = 5
	// chunkTimeout bounds the wait for one chunk of a version that was whole.
	chunkTimeout = time.Minute
)

var (
	errLoadFailed = errors.New("the engine failed to load")
	errTimedOut   = errors.New("the engine did not serve the version in time")
	errSlotLost   = errors.New("the slot's lease ended before the commit")
)

type (
	// load is one order. It runs in its own goroutine while the control loop
	// renews the slot and cancels the context when the order becomes obsolete.
	load struct {
		loader   *Loader
		version  configurations.Version
		manifest weights.Manifest
		order    Order
		withSlot bool
		cancel   context.CancelFunc
		done     chan error
	}
)

func (load *load) run(ctx context.Context) {
	err := load.execute(ctx)
	load.loader.endCommit()
	load.done <- err
	nudge(load.loader.wake)
}

func (load *load) execute(ctx context.Context) error {
	if err := load.verifyFence(ctx); err != nil {
		return err
	}
	engine := load.loader.dependencies.Engine
	err := load.repeat(ctx, func(ctx context.Context) error { return engine.Order(ctx, load.order) })
	if err != nil {
		return fmt.Errorf("order %s: %w", load.order.OrderID, err)
	}
	if err := load.sendPieces(ctx); err != nil {
		return err
	}
	if err := load.verifyFence(ctx); err != nil {
		return err
	}
	load.loader.beginCommit()
	if drain := load.loader.dependencies.Drain; drain != nil {
		if err := drain(ctx); err != nil {
			return fmt.Errorf("drain before the load: %w", err)
		}
	}
	if load.withSlot && !load.loader.slotValid(time.Now()) {
		return errSlotLost
	}
	return load.commit(ctx)
}

// repeat calls the engine until it answers. A stale token ends it at once.
func (load *load) repeat(ctx context.Context, call func(context.Context) error) error {
	var err error
	for range maxCallTries {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		callCtx, cancel := context.WithTimeout(ctx, load.loader.dependencies.Settings.EngineTimeout)
		err = call(callCtx)
		cancel()
		if err == nil || errors.Is(err, ErrStaleToken) {
			return err
		}
		sleep(ctx, callPause)
	}
	return err
}

func (load *load) sendPieces(ctx context.Context) error {
	dependencies := load.loader.dependencies
	sent := 0
	for index, digest := range load.manifest.Chunks {
		content, err := load.chunk(ctx, digest)
		if err != nil {
			return err
		}
		if weights.Sum(content) != digest {
			dependencies.Invariants.Check(false, invariants.ChunkVerified, zap.Int("chunk", index))
			return errChunkMissing
		}
		err = load.repeat(ctx, func(ctx context.Context) error {
			return dependencies.Engine.Piece(ctx, load.order.OrderID, index, content)
		})
		if err != nil {
			return fmt.Errorf("piece %d of order %s: %w", index, load.order.OrderID, err)
		}
		sent++
	}
	dependencies.Invariants.Check(sent == len(load.manifest.Chunks), invariants.WholeVersion,
		zap.Int("pieces", sent), zap.Int("chunks", len(load.manifest.Chunks)))
	return nil
}

// chunk returns a chunk of the version. One that was evicted since the version
// was whole ends the order, so that it is fetched again without holding a slot.
func (load *load) chunk(ctx context.Context, digest weights.Digest) ([]byte, error) {
	bounded, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	content, err := load.loader.dependencies.Chunks.Chunk(bounded, digest)
	switch {
	case ctx.Err() != nil:
		return nil, context.Cause(ctx)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errChunkMissing, err)
	}
	return content, nil
}

// verifyFence waits until the token is known to be the newest or known not to be.
func (load *load) verifyFence(ctx context.Context) error {
	for {
		err := load.loader.fence.verify(ctx)
		if !errors.Is(err, errUnverified) {
			return err
		}
		sleep(ctx, time.Second)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// commit commits and then reads back until the engine serves the version.
func (load *load) commit(ctx context.Context) error {
	deadline := time.Now().Add(load.loader.dependencies.Settings.LoadTimeout)
	commits := 0
	for time.Now().Before(deadline) {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		status, err := load.loader.engineStatus(ctx)
		switch {
		case err != nil || status.Loading:
		case load.served(status):
			return nil
		case status.FailedOrder == load.order.OrderID:
			return errLoadFailed
		case commits == maxCommits:
			return errLoadFailed
		default:
			commits++
			if err := load.sendCommit(ctx); errors.Is(err, ErrStaleToken) || errors.Is(err, ErrFenced) {
				return err
			}
		}
		sleep(ctx, statusPause)
	}
	return errTimedOut
}

// sendCommit checks the token each time, because the process may have been
// paused since the last check.
func (load *load) sendCommit(ctx context.Context) error {
	if err := load.verifyFence(ctx); err != nil {
		return err
	}
	dependencies := load.loader.dependencies
	ctx, cancel := context.WithTimeout(ctx, dependencies.Settings.EngineTimeout)
	defer cancel()
	return dependencies.Engine.Commit(ctx, load.order.OrderID, load.order.FencingToken)
}

// served reports whether the status shows the result of this order.
func (load *load) served(status Status) bool {
	return status.OrderID == load.order.OrderID && status.Version == load.order.Version &&
		(status.ManifestDigest == "" || status.ManifestDigest == load.order.ManifestDigest)
}
