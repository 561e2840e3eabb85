package rollouts

// This file takes and checks the fencing token of a host.
//
// Each agent that takes over a host increments the token in the row of the
// host. All writes of an agent to the table are conditional on that row, so an
// agent that was paused and replaced can't take a slot or overwrite a record.
// The agent's own belief that it is the newest is never enough: a lease that it
// judged by its own clock was dropped, because a paused holder acts before it
// looks at the clock again.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/invariants"
	"firford/lib/platform"
)

const incarnationBytes = 8

// errUnverified is returned while the table can't tell whether the token is
// still the newest, after a pause of the process.
var errUnverified = errors.New("the fencing token can't be checked after a pause")

type (
	fenceRecord struct {
		Token       int64  `json:"token"`
		Incarnation string `json:"incarnation"`
	}

	// fence is this agent's claim to its host. It is safe for concurrent use.
	fence struct {
		dependencies Dependencies
		incarnation  string
		guard        *guard

		mutex    sync.Mutex
		token    int64
		revision int64
		step     int64
		refused  bool
	}
)

func newFence(dependencies Dependencies, guard *guard) *fence {
	nonce := make([]byte, incarnationBytes)
	_, _ = rand.Read(nonce) // crypto/rand never fails on supported systems.
	return &fence{dependencies: dependencies, incarnation: hex.EncodeToString(nonce), guard: guard, step: 1}
}

// held returns the token, or zero before it was taken and after the engine has
// refused it.
func (fence *fence) held() int64 {
	fence.mutex.Lock()
	defer fence.mutex.Unlock()
	if fence.refused {
		return 0
	}
	return fence.token
}

func (fence *fence) condition() platform.Condition {
	fence.mutex.Lock()
	defer fence.mutex.Unlock()
	return platform.Condition{Key: fenceKey(fence.dependencies.Self.Name), Revision: fence.revision}
}

// read returns the host's row; it has revision zero if it does not exist.
func (fence *fence) read(ctx context.Context) (platform.Row, fenceRecord, error) {
	var record fenceRecord
	ctx, cancel := context.WithTimeout(ctx, fence.dependencies.Settings.StoreTimeout)
	defer cancel()
	key := fenceKey(fence.dependencies.Self.Name)
	row, err := fence.dependencies.Table.Read(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{Key: key}, record, nil
	}
	if err != nil {
		return row, record, fmt.Errorf("read %s: %w", key, err)
	}
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return row, record, fmt.Errorf("decode %s: %w", key, err)
	}
	return row, record, nil
}

// take acquires a token above every earlier one. After a transaction whose
// answer was lost it is called again and takes one more; tokens may have gaps.
func (fence *fence) take(ctx context.Context) error {
	began := time.Now()
	row, record, err := fence.read(ctx)
	if err != nil {
		return err
	}
	fence.mutex.Lock()
	taken, step := fence.token != 0, fence.step
	fence.mutex.Unlock()
	if taken && record.Incarnation != fence.incarnation {
		return ErrFenced
	}
	next := fenceRecord{Token: record.Token + step, Incarnation: fence.incarnation}
	ctx, cancel := context.WithTimeout(ctx, fence.dependencies.Settings.StoreTimeout)
	defer cancel()
	revision, err := fence.dependencies.Table.Transact(ctx,
		[]platform.Condition{{Key: row.Key, Revision: row.Revision}},
		[]platform.Write{{Key: row.Key, Value: mustEncode(next)}})
	if err != nil {
		return fmt.Errorf("take fencing token: %w", err)
	}
	fence.adopt(next.Token, revision, began)
	return nil
}

func (fence *fence) adopt(token, revision int64, began time.Time) {
	fence.mutex.Lock()
	defer fence.mutex.Unlock()
	fence.dependencies.Invariants.Check(token > fence.token, invariants.FenceForward,
		zap.Int64("token", token), zap.Int64("previous", fence.token))
	fence.token, fence.revision, fence.refused = token, revision, false
	fence.guard.verified(began, time.Now())
}

// refuse notes that the engine has refused the token although no later agent is
// known, for example because the table was restored from an older state. The
// next token is further away each time, so that a lost counter is passed soon.
func (fence *fence) refuse() {
	fence.mutex.Lock()
	defer fence.mutex.Unlock()
	fence.refused = true
	fence.step = min(fence.step*2, 1<<40)
}

// verify returns ErrFenced if a later agent has taken the token. While the table
// is unavailable it trusts the token unless the process was paused.
func (fence *fence) verify(ctx context.Context) error {
	began := time.Now()
	_, record, err := fence.read(ctx)
	switch {
	case err != nil && fence.guard.mustVerify(time.Now()):
		return fmt.Errorf("%w: %w", errUnverified, err)
	case err != nil:
		return nil
	case record.Incarnation != fence.incarnation:
		return ErrFenced
	}
	fence.guard.verified(began, time.Now())
	return nil
}

// lost reports whether a conflict says that a later agent has taken the token.
func (fence *fence) lost(conflict *platform.ConflictError) bool {
	row, conflicting := conflict.Row(fenceKey(fence.dependencies.Self.Name))
	var record fenceRecord
	return conflicting && (json.Unmarshal(row.Value, &record) != nil || record.Incarnation != fence.incarnation)
}

// mustEncode encodes a record of this package, which holds only strings and
// numbers.
func mustEncode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err))
	}
	return encoded
}
