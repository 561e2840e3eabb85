package rollouts

// This file loads one version into the engine: it sends the order and its pieces,
// commits the order and waits until the engine serves the version.
//
// The result of a call never proves that the engine serves the version. Only the
// engine's status, read after the commit, does. An order is never continued by
// another agent. The digest of each chunk is checked again before the chunk is
// sent, because the chunk store is shared with transfers that are still running.

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/invariants"
	"firford/lib/waits"
	"firford/lib/weights"
)

const (
	maxCallAttempts    = 4
	callRetryDelay     = 200 * time.Millisecond
	statusPollInterval = 100 * time.Millisecond
	// maxCommits limits how often a commit is sent to an engine that neither loads
	// nor serves the version. Repeated commits of one order have no effect.
	maxCommits = 5
	// chunkTimeout limits the wait for one chunk of a version whose chunks had all
	// been fetched.
	chunkTimeout = time.Minute
)

var (
	errLoadFailed   = errors.New("the engine failed to load")
	errLoadTimedOut = errors.New("the engine did not serve the version in time")
	errSlotLost     = errors.New("the slot's lease ended before the commit")
)

type (
	// loadAttempt executes one order. It runs in its own goroutine while the control
	// loop renews the slot, and cancels the context if the order becomes obsolete.
	// withSlot is true if the host holds a slot for this load.
	loadAttempt struct {
		loader   *Loader
		version  configurations.Version
		manifest weights.Manifest
		order    Order
		withSlot bool
		cancel   context.CancelFunc
		done     chan error
	}
)

// run executes the order, sends its result to done and wakes the control loop.
func (attempt *loadAttempt) run(ctx context.Context) {
	err := attempt.execute(ctx)
	attempt.loader.endCommit()
	attempt.done <- err
	notify(attempt.loader.wake)
}

func (attempt *loadAttempt) execute(ctx context.Context) error {
	if err := attempt.awaitFenceCheck(ctx); err != nil {
		return err
	}
	engine := attempt.loader.dependencies.Engine
	err := attempt.callWithRetries(ctx, func(ctx context.Context) error { return engine.SendOrder(ctx, attempt.order) })
	if err != nil {
		return fmt.Errorf("order %s: %w", attempt.order.OrderID, err)
	}
	if err := attempt.sendPieces(ctx); err != nil {
		return err
	}
	if err := attempt.awaitFenceCheck(ctx); err != nil {
		return err
	}
	attempt.loader.beginCommit()
	if drain := attempt.loader.dependencies.Drain; drain != nil {
		if err := drain(ctx); err != nil {
			return fmt.Errorf("drain before the load: %w", err)
		}
	}
	if attempt.withSlot && !attempt.loader.slotIsValid(time.Now()) {
		return errSlotLost
	}
	return attempt.commitAndConfirm(ctx)
}

// callWithRetries repeats a call to the engine until it succeeds, at most
// maxCallAttempts times. ErrStaleToken is returned at once.
func (attempt *loadAttempt) callWithRetries(ctx context.Context, call func(context.Context) error) error {
	var err error
	for range maxCallAttempts {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		callCtx, cancel := context.WithTimeout(ctx, attempt.loader.dependencies.Settings.EngineTimeout)
		err = call(callCtx)
		cancel()
		if err == nil || errors.Is(err, ErrStaleToken) {
			return err
		}
		waits.Sleep(ctx, callRetryDelay)
	}
	return err
}

// sendPieces sends all chunks of the version to the engine.
func (attempt *loadAttempt) sendPieces(ctx context.Context) error {
	dependencies := attempt.loader.dependencies
	sent := 0
	for index, digest := range attempt.manifest.Chunks {
		content, err := attempt.readChunk(ctx, digest)
		if err != nil {
			return err
		}
		if weights.Sum(content) != digest {
			dependencies.Checker.Check(false, invariants.ChunkVerified, zap.Int("chunk", index))
			return errChunkMissing
		}
		err = attempt.callWithRetries(ctx, func(ctx context.Context) error {
			return dependencies.Engine.SendPiece(ctx, attempt.order.OrderID, index, content)
		})
		if err != nil {
			return fmt.Errorf("piece %d of order %s: %w", index, attempt.order.OrderID, err)
		}
		sent++
	}
	dependencies.Checker.Check(sent == len(attempt.manifest.Chunks), invariants.WholeVersion,
		zap.Int("pieces", sent), zap.Int("chunks", len(attempt.manifest.Chunks)))
	return nil
}

// readChunk returns a chunk of the version. If the chunk was evicted after the
// version was fetched, it returns errChunkMissing. That ends the order, so that
// the chunk is fetched again without holding a slot.
func (attempt *loadAttempt) readChunk(ctx context.Context, digest weights.Digest) ([]byte, error) {
	chunkCtx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	content, err := attempt.loader.dependencies.Chunks.Chunk(chunkCtx, digest)
	switch {
	case ctx.Err() != nil:
		return nil, context.Cause(ctx)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errChunkMissing, err)
	}
	return content, nil
}

// awaitFenceCheck waits until the table has confirmed or denied that the fencing
// token is the newest.
func (attempt *loadAttempt) awaitFenceCheck(ctx context.Context) error {
	for {
		err := attempt.loader.fence.verify(ctx)
		if !errors.Is(err, errUnverified) {
			return err
		}
		waits.Sleep(ctx, time.Second)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// commitAndConfirm commits the order and then polls the engine's status until the
// engine serves the version, the load fails or LoadTimeout is over.
func (attempt *loadAttempt) commitAndConfirm(ctx context.Context) error {
	deadline := time.Now().Add(attempt.loader.dependencies.Settings.LoadTimeout)
	commits := 0
	for time.Now().Before(deadline) {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		status, err := attempt.loader.readEngineStatus(ctx)
		switch {
		case err != nil || status.Loading:
		case attempt.confirmedBy(status):
			return nil
		case status.FailedOrder == attempt.order.OrderID:
			return errLoadFailed
		case commits == maxCommits:
			return errLoadFailed
		default:
			commits++
			if err := attempt.sendCommit(ctx); errors.Is(err, ErrStaleToken) || errors.Is(err, ErrFenced) {
				return err
			}
		}
		waits.Sleep(ctx, statusPollInterval)
	}
	return errLoadTimedOut
}

// sendCommit sends one commit. It checks the fencing token first, because the
// process may have been paused since the last check.
func (attempt *loadAttempt) sendCommit(ctx context.Context) error {
	if err := attempt.awaitFenceCheck(ctx); err != nil {
		return err
	}
	dependencies := attempt.loader.dependencies
	ctx, cancel := context.WithTimeout(ctx, dependencies.Settings.EngineTimeout)
	defer cancel()
	return dependencies.Engine.CommitOrder(ctx, attempt.order.OrderID, attempt.order.FencingToken)
}

// confirmedBy reports whether the status shows that the engine serves the version
// that this order loaded.
func (attempt *loadAttempt) confirmedBy(status Status) bool {
	return status.OrderID == attempt.order.OrderID && status.Version == attempt.order.Version &&
		(status.ManifestDigest == "" || status.ManifestDigest == attempt.order.ManifestDigest)
}
