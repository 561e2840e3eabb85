package requests

// A claim is the row in the platform's table that ties a caller's key to the
// one attempt that may run. It is written before anything leaves the entry. The
// table takes several hundred writes a second for the whole fleet, so claims
// that arrive within a few milliseconds share a transaction. A claim is not a
// lease: a lease on the key would expire while its holder is paused, and the
// request would run twice.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"firford/lib/platform"
	"firford/lib/waits"
)

const (
	claimPrefix = "claims/"
	// Claims that arrive within this time share a transaction.
	batchWindow    = 3 * time.Millisecond
	maxBatchWrites = 64
	// Limit on the writes that wait for a transaction; further ones fail
	// immediately.
	maxQueuedWrites = 1024
	maxTransactions = 8
	// Limit on the attempts to write a batch after lost answers, and after
	// conflicts that remove no write from it. A conflict that removes one is
	// progress: the other writes of the batch must not fail for it. Those are
	// bounded by the size of the batch and by transactTimeout.
	maxWriteAttempts = 4
	transactTimeout  = time.Second
	// After a failure of the store, writes fail immediately for this time.
	storeBackoff = 200 * time.Millisecond
	// Limit on the background tasks that wait. Each releases a claim or records
	// an outcome.
	maxBackgroundTasks    = 4096
	backgroundWorkers     = 4
	maxBackgroundAttempts = 20
	backgroundRetryDelay  = 500 * time.Millisecond
)

// States of a claim.
const (
	claimRunning  = "running"
	claimAnswered = "answered"
)

// ErrClaimNotWritten means that the claim is not known to be written, so the
// request must not leave the entry.
var ErrClaimNotWritten = errors.New("the claim could not be written")

// errNoClaimStore means that the entry keeps no claims.
var errNoClaimStore = errors.New("there is no store for claims")

type (
	// ClaimStore writes and reads claim rows. It is safe for concurrent use.
	ClaimStore struct {
		table           platform.Table
		queuedWrites    chan *claimWrite
		backgroundTasks chan claimTask

		mutex       sync.Mutex
		pausedUntil time.Time
	}

	// claimRecord is the value of a claim's row.
	claimRecord struct {
		AttemptID     string   `json:"attempt_id"`
		Agent         string   `json:"agent"`
		Incarnation   string   `json:"incarnation"`
		Entry         string   `json:"entry"`
		State         string   `json:"state"`
		Deployment    string   `json:"deployment"`
		RequestDigest string   `json:"request_digest"`
		Stream        bool     `json:"stream,omitempty"`
		Version       string   `json:"version,omitempty"`
		Parts         int      `json:"parts,omitempty"`
		Digest        string   `json:"digest,omitempty"`
		Body          []byte   `json:"body,omitempty"`
		Texts         []string `json:"texts,omitempty"`
		Kept          bool     `json:"kept,omitempty"`
	}

	// claim is the content of a claim's row and the revision of its last write.
	claim struct {
		key      string
		revision int64
		record   claimRecord
	}

	// claimWrite is a conditional write of one row that waits for a
	// transaction.
	claimWrite struct {
		condition platform.Condition
		write     platform.Write
		done      chan claimResult
	}

	// claimResult is the result of a write. If the write was neither applied
	// nor failed, row is the conflicting row.
	claimResult struct {
		applied  bool
		revision int64
		row      platform.Row
		err      error
	}

	// claimTask is background work that no caller waits for. It records the
	// outcome or, if there is none, releases a claim that was never used.
	claimTask struct {
		claim   claim
		outcome *claimRecord
	}
)

// NewClaimStore returns a store of the claims in the table. Nothing is written
// unless Run is running.
func NewClaimStore(table platform.Table) *ClaimStore {
	return &ClaimStore{
		table:           table,
		queuedWrites:    make(chan *claimWrite, maxQueuedWrites),
		backgroundTasks: make(chan claimTask, maxBackgroundTasks),
	}
}

// Run writes claims until the context ends.
func (claims *ClaimStore) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range backgroundWorkers {
		workers.Go(func() { claims.runTasks(ctx) })
	}
	transactions := make(chan struct{}, maxTransactions)
	for {
		batch, open := claims.nextBatch(ctx)
		if !open {
			break
		}
		transactions <- struct{}{}
		workers.Go(func() {
			defer func() { <-transactions }()
			claims.commitBatch(ctx, batch)
		})
	}
	workers.Wait()
}

// nextBatch returns the writes of one transaction. A row occurs once in a
// transaction; a second write to it waits for the next one.
func (claims *ClaimStore) nextBatch(ctx context.Context) (batch []*claimWrite, open bool) {
	var first *claimWrite
	select {
	case <-ctx.Done():
		return nil, false
	case first = <-claims.queuedWrites:
	}
	batch = append(batch, first)
	keys := map[string]bool{first.write.Key: true}
	window := time.NewTimer(batchWindow)
	defer window.Stop()
	for len(batch) < maxBatchWrites {
		select {
		case <-window.C:
			return batch, true
		case next := <-claims.queuedWrites:
			if keys[next.write.Key] {
				claims.requeue(next)
				return batch, true
			}
			keys[next.write.Key] = true
			batch = append(batch, next)
		}
	}
	return batch, true
}

func (claims *ClaimStore) requeue(pending *claimWrite) {
	select {
	case claims.queuedWrites <- pending:
	default:
		pending.done <- claimResult{err: ErrClaimNotWritten}
	}
}

// submit queues one write and waits for its result.
func (claims *ClaimStore) submit(ctx context.Context, condition platform.Condition, write platform.Write) claimResult {
	if claims.paused() {
		return claimResult{err: fmt.Errorf("%w: the store failed a moment ago", ErrClaimNotWritten)}
	}
	pending := &claimWrite{condition: condition, write: write, done: make(chan claimResult, 1)}
	select {
	case claims.queuedWrites <- pending:
	default:
		return claimResult{err: fmt.Errorf("%w: too many claims are waiting", ErrClaimNotWritten)}
	}
	select {
	case result := <-pending.done:
		return result
	case <-ctx.Done():
		return claimResult{err: fmt.Errorf("%w: %w", ErrClaimNotWritten, ctx.Err())}
	}
}

func (claims *ClaimStore) paused() bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return time.Now().Before(claims.pausedUntil)
}

func (claims *ClaimStore) pauseAfterFailure() {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	claims.pausedUntil = time.Now().Add(storeBackoff)
}

// commitBatch writes a batch. After a lost answer it sends the same writes
// again: they are conditional, so the rows returned with the conflict show
// whether the first transaction took effect.
func (claims *ClaimStore) commitBatch(ctx context.Context, batch []*claimWrite) {
	ctx, cancel := context.WithTimeout(ctx, transactTimeout)
	defer cancel()
	var lastErr error
	for attempt := 0; len(batch) > 0 && attempt < maxWriteAttempts; {
		revision, err := claims.transact(ctx, batch)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			completeBatch(batch, claimResult{applied: true, revision: revision})
			return
		case errors.As(err, &conflict):
			remaining := claims.completeConflicting(ctx, batch, conflict)
			if len(remaining) == len(batch) {
				attempt++
			}
			batch, lastErr = remaining, err
		case errors.Is(err, platform.ErrOutcomeUnknown):
			attempt++
			lastErr = err
		default:
			claims.pauseAfterFailure()
			completeBatch(batch, claimResult{err: fmt.Errorf("%w: %w", ErrClaimNotWritten, err)})
			return
		}
	}
	if len(batch) > 0 {
		claims.pauseAfterFailure()
		completeBatch(batch, claimResult{err: fmt.Errorf("%w: %w", ErrClaimNotWritten, lastErr)})
	}
}

func (claims *ClaimStore) transact(ctx context.Context, batch []*claimWrite) (int64, error) {
	conditions := make([]platform.Condition, 0, len(batch))
	writes := make([]platform.Write, 0, len(batch))
	for _, pending := range batch {
		conditions = append(conditions, pending.condition)
		writes = append(writes, pending.write)
	}
	return claims.table.Transact(ctx, conditions, writes)
}

func completeBatch(batch []*claimWrite, result claimResult) {
	for _, pending := range batch {
		pending.done <- result
	}
}

// completeConflicting completes the conflicting writes and returns the others.
// A row that holds exactly the value of a write was written by that write,
// because every record has its own random attempt id.
func (claims *ClaimStore) completeConflicting(ctx context.Context, batch []*claimWrite, conflict *platform.ConflictError) []*claimWrite {
	var remaining []*claimWrite
	for _, pending := range batch {
		row, conflicting := conflict.Row(pending.write.Key)
		if !conflicting {
			remaining = append(remaining, pending)
			continue
		}
		pending.done <- claims.conflictResult(ctx, pending, row)
	}
	return remaining
}

func (claims *ClaimStore) conflictResult(ctx context.Context, pending *claimWrite, row platform.Row) claimResult {
	if row.Revision != 0 && len(row.Value) == 0 {
		read, err := claims.table.Read(ctx, row.Key)
		if err != nil {
			return claimResult{err: fmt.Errorf("%w: %w", ErrClaimNotWritten, err)}
		}
		row = read
	}
	switch {
	case pending.write.Delete && row.Revision == 0:
		return claimResult{applied: true}
	case !pending.write.Delete && row.Revision != 0 && bytes.Equal(row.Value, pending.write.Value):
		return claimResult{applied: true, revision: row.Revision}
	default:
		return claimResult{row: row}
	}
}

// put writes the record if the row has the given revision; zero means that the
// row must not exist.
func (claims *ClaimStore) put(ctx context.Context, key string, revision int64, record claimRecord) (claim, claimResult) {
	encoded, err := json.Marshal(record)
	if err != nil {
		return claim{}, claimResult{err: fmt.Errorf("%w: %w", ErrClaimNotWritten, err)}
	}
	result := claims.submit(ctx,
		platform.Condition{Key: key, Revision: revision},
		platform.Write{Key: key, Value: encoded})
	return claim{key: key, revision: result.revision, record: record}, result
}

// remove deletes the row of a claim if its revision has not changed.
func (claims *ClaimStore) remove(ctx context.Context, expected claim) claimResult {
	return claims.submit(ctx,
		platform.Condition{Key: expected.key, Revision: expected.revision},
		platform.Write{Key: expected.key, Delete: true})
}

// read returns the claim of a key, or platform.ErrNotFound.
func (claims *ClaimStore) read(ctx context.Context, key string) (claim, error) {
	row, err := claims.table.Read(ctx, key)
	if err != nil {
		return claim{}, err
	}
	return decodeClaim(row)
}

func decodeClaim(row platform.Row) (claim, error) {
	found := claim{key: row.Key, revision: row.Revision}
	if err := json.Unmarshal(row.Value, &found.record); err != nil {
		return claim{}, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return found, nil
}

func claimKey(organisation, key string) string {
	return claimPrefix + organisation + "/" + key
}

// enqueueTask queues background work. If the queue is full, the work is
// dropped: a claim that remains is resolved through its agent.
func (claims *ClaimStore) enqueueTask(task claimTask) {
	select {
	case claims.backgroundTasks <- task:
	default:
	}
}

// runTasks runs background tasks one by one until the context ends.
func (claims *ClaimStore) runTasks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-claims.backgroundTasks:
			claims.runTask(ctx, task)
		}
	}
}

// runTask records an outcome or releases a claim, and retries while the store
// fails.
func (claims *ClaimStore) runTask(ctx context.Context, task claimTask) {
	for range maxBackgroundAttempts {
		var result claimResult
		if task.outcome != nil {
			_, result = claims.put(ctx, task.claim.key, task.claim.revision, *task.outcome)
		} else {
			result = claims.releaseUnused(ctx, task.claim)
		}
		if result.err == nil {
			return
		}
		waits.Sleep(ctx, backgroundRetryDelay)
	}
}

// releaseUnused deletes a claim whose write may or may not have taken effect. A
// row that names another attempt is left alone.
func (claims *ClaimStore) releaseUnused(ctx context.Context, unused claim) claimResult {
	found, err := claims.read(ctx, unused.key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return claimResult{}
	case err != nil:
		return claimResult{err: err}
	case found.record.AttemptID != unused.record.AttemptID:
		return claimResult{}
	}
	return claims.remove(ctx, found)
}
