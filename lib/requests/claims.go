package requests

// A claim is the row in the platform's table that ties a caller's key to the
// one attempt that may run. It exists before anything leaves the entry. The
// table takes several hundred writes a second for the whole fleet, so claims
// that arrive within a few milliseconds share a transaction. A lease on the key
// was dropped: it expires while its holder is paused, and the request runs twice.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"firford/lib/platform"
)

const (
	claimPrefix = "claims/"
	// Claims that arrive within this time share a transaction.
	batchWindow = 3 * time.Millisecond
	maxBatch    = 64
	// Operations that wait for a transaction; more are refused at once.
	maxWaitingClaims = 1024
	maxTransactions  = 8
	// A batch is written again so often after lost answers and conflicts. Each
	// conflict drops at least one operation, so conflicts alone end earlier.
	maxWriteAttempts = 4
	transactTimeout  = time.Second
	// After a failure of the store, operations are refused at once for this time.
	storePause = 200 * time.Millisecond
	// Claims to release and outcomes to record that wait in the background.
	maxBackground      = 4096
	backgroundWorkers  = 4
	backgroundAttempts = 20
	backgroundPause    = 500 * time.Millisecond
)

// States of a claim.
const (
	claimRunning  = "running"
	claimAnswered = "answered"
)

// ErrClaimNotWritten means that the claim is not known to be written, so the
// request must not leave the entry.
var ErrClaimNotWritten = errors.New("the claim could not be written")

type (
	// ClaimStore writes and reads claim rows. It is safe for concurrent use.
	ClaimStore struct {
		table      platform.Table
		operations chan *claimWrite
		background chan claimTask

		mutex      sync.Mutex
		pausedTill time.Time
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

	// claim is a row of this entry with the revision of its last write.
	claim struct {
		key      string
		revision int64
		record   claimRecord
	}

	// claimWrite is one conditional write of a row that waits for a transaction.
	claimWrite struct {
		condition platform.Condition
		write     platform.Write
		done      chan claimResult
	}

	// claimResult tells whether the write took effect; otherwise row is the
	// conflicting one.
	claimResult struct {
		won      bool
		revision int64
		row      platform.Row
		err      error
	}

	// claimTask is work that no caller waits for: the release of a claim that was
	// never used, or the record of an outcome.
	claimTask struct {
		held    claim
		outcome *claimRecord
	}
)

// NewClaimStore returns a store of the claims in the table. Nothing is written
// unless Serve is running.
func NewClaimStore(table platform.Table) *ClaimStore {
	return &ClaimStore{
		table:      table,
		operations: make(chan *claimWrite, maxWaitingClaims),
		background: make(chan claimTask, maxBackground),
	}
}

// Serve writes claims until the context ends.
func (claims *ClaimStore) Serve(ctx context.Context) {
	var workers sync.WaitGroup
	for range backgroundWorkers {
		workers.Go(func() { claims.work(ctx) })
	}
	transactions := make(chan struct{}, maxTransactions)
	for {
		batch, open := claims.collect(ctx)
		if !open {
			break
		}
		transactions <- struct{}{}
		workers.Go(func() {
			defer func() { <-transactions }()
			claims.commit(ctx, batch)
		})
	}
	workers.Wait()
}

// collect returns the operations of one transaction. A row occurs once in a
// transaction; a second operation on it waits for the next one.
func (claims *ClaimStore) collect(ctx context.Context) (batch []*claimWrite, open bool) {
	var first *claimWrite
	select {
	case <-ctx.Done():
		return nil, false
	case first = <-claims.operations:
	}
	batch = append(batch, first)
	keys := map[string]bool{first.write.Key: true}
	window := time.NewTimer(batchWindow)
	defer window.Stop()
	for len(batch) < maxBatch {
		select {
		case <-window.C:
			return batch, true
		case next := <-claims.operations:
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

func (claims *ClaimStore) requeue(operation *claimWrite) {
	select {
	case claims.operations <- operation:
	default:
		operation.done <- claimResult{err: ErrClaimNotWritten}
	}
}

// submit queues one operation and waits for its result.
func (claims *ClaimStore) submit(ctx context.Context, condition platform.Condition, write platform.Write) claimResult {
	if claims.paused() {
		return claimResult{err: fmt.Errorf("%w: the store failed a moment ago", ErrClaimNotWritten)}
	}
	operation := &claimWrite{condition: condition, write: write, done: make(chan claimResult, 1)}
	select {
	case claims.operations <- operation:
	default:
		return claimResult{err: fmt.Errorf("%w: too many claims are waiting", ErrClaimNotWritten)}
	}
	select {
	case result := <-operation.done:
		return result
	case <-ctx.Done():
		return claimResult{err: fmt.Errorf("%w: %w", ErrClaimNotWritten, ctx.Err())}
	}
}

func (claims *ClaimStore) paused() bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return time.Now().Before(claims.pausedTill)
}

func (claims *ClaimStore) pause() {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	claims.pausedTill = time.Now().Add(storePause)
}

// commit writes a batch. After a lost answer the same writes are sent again:
// they are conditional, so the rows that come back with the conflict show
// whether the first transaction took effect.
func (claims *ClaimStore) commit(ctx context.Context, batch []*claimWrite) {
	ctx, cancel := context.WithTimeout(ctx, transactTimeout)
	defer cancel()
	var failure error
	for attempt := 0; len(batch) > 0 && attempt < maxWriteAttempts; {
		revision, err := claims.transact(ctx, batch)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			finish(batch, claimResult{won: true, revision: revision})
			return
		case errors.As(err, &conflict):
			left := claims.drop(ctx, batch, conflict)
			if len(left) == len(batch) {
				attempt++
			}
			batch, failure = left, err
		case errors.Is(err, platform.ErrOutcomeUnknown):
			attempt++
			failure = err
		default:
			claims.pause()
			finish(batch, claimResult{err: fmt.Errorf("%w: %w", ErrClaimNotWritten, err)})
			return
		}
	}
	if len(batch) > 0 {
		claims.pause()
		finish(batch, claimResult{err: fmt.Errorf("%w: %w", ErrClaimNotWritten, failure)})
	}
}

func (claims *ClaimStore) transact(ctx context.Context, batch []*claimWrite) (int64, error) {
	conditions := make([]platform.Condition, 0, len(batch))
	writes := make([]platform.Write, 0, len(batch))
	for _, operation := range batch {
		conditions = append(conditions, operation.condition)
		writes = append(writes, operation.write)
	}
	return claims.table.Transact(ctx, conditions, writes)
}

func finish(batch []*claimWrite, result claimResult) {
	for _, operation := range batch {
		operation.done <- result
	}
}

// drop finishes the conflicting operations and returns the others. A row that
// holds exactly what the operation writes was written by it: every record
// carries its own random attempt id.
func (claims *ClaimStore) drop(ctx context.Context, batch []*claimWrite, conflict *platform.ConflictError) []*claimWrite {
	var left []*claimWrite
	for _, operation := range batch {
		row, conflicting := conflict.Row(operation.write.Key)
		if !conflicting {
			left = append(left, operation)
			continue
		}
		operation.done <- claims.judge(ctx, operation, row)
	}
	return left
}

func (claims *ClaimStore) judge(ctx context.Context, operation *claimWrite, row platform.Row) claimResult {
	if row.Revision != 0 && len(row.Value) == 0 {
		read, err := claims.table.Read(ctx, row.Key)
		if err != nil {
			return claimResult{err: fmt.Errorf("%w: %w", ErrClaimNotWritten, err)}
		}
		row = read
	}
	switch {
	case operation.write.Delete && row.Revision == 0:
		return claimResult{won: true}
	case !operation.write.Delete && row.Revision != 0 && bytes.Equal(row.Value, operation.write.Value):
		return claimResult{won: true, revision: row.Revision}
	default:
		return claimResult{row: row}
	}
}

// put writes the record under the condition that the row has the revision; zero
// means that there must be none.
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

// remove deletes the row of a claim that this entry holds.
func (claims *ClaimStore) remove(ctx context.Context, held claim) claimResult {
	return claims.submit(ctx,
		platform.Condition{Key: held.key, Revision: held.revision},
		platform.Write{Key: held.key, Delete: true})
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

// later queues background work. When the queue is full the work is dropped: a
// claim that stays is resolved through its agent.
func (claims *ClaimStore) later(task claimTask) {
	select {
	case claims.background <- task:
	default:
	}
}

// work runs background tasks one by one until the context ends.
func (claims *ClaimStore) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-claims.background:
			claims.settle(ctx, task)
		}
	}
}

// settle records an outcome or releases a claim, and repeats it while the store
// is out.
func (claims *ClaimStore) settle(ctx context.Context, task claimTask) {
	for range backgroundAttempts {
		var result claimResult
		if task.outcome != nil {
			_, result = claims.put(ctx, task.held.key, task.held.revision, *task.outcome)
		} else {
			result = claims.release(ctx, task.held)
		}
		if result.err == nil {
			return
		}
		pause(ctx, backgroundPause)
	}
}

// release deletes a claim whose write may or may not have taken effect. Only a
// row with its own attempt is touched.
func (claims *ClaimStore) release(ctx context.Context, unused claim) claimResult {
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
