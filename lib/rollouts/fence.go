package rollouts

// This file acquires and checks the fencing token of a host, which keeps an agent
// that was replaced from controlling the host's engine.
//
// Each agent that takes over a host increments the token in the host's row. All
// writes of an agent to the table are conditional on that row, so an agent that
// was paused and replaced can't acquire a slot or overwrite a record. An agent
// never relies on its own judgement that it is the newest: a lease that the agent
// checks against its own clock was rejected, because an agent that resumes after
// a pause may act before it reads the clock again.

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

// errUnverified is returned after a pause of the process for as long as the table
// can't be read to check whether the token is still the newest.
var errUnverified = errors.New("the fencing token can't be checked after a pause")

type (
	fenceRecord struct {
		Token       int64  `json:"token"`
		Incarnation string `json:"incarnation"`
	}

	// fence holds the fencing token with which this agent controls its host. It is
	// safe for concurrent use. increment is added to the token in the table when a
	// new one is acquired; refused is true after the engine has refused the token.
	fence struct {
		dependencies Dependencies
		incarnation  string
		pauses       *pauseDetector

		mutex     sync.Mutex
		token     int64
		revision  int64
		increment int64
		refused   bool
	}
)

func newFence(dependencies Dependencies, pauses *pauseDetector) *fence {
	nonce := make([]byte, incarnationBytes)
	_, _ = rand.Read(nonce) // crypto/rand never fails on supported systems.
	return &fence{dependencies: dependencies, incarnation: hex.EncodeToString(nonce), pauses: pauses, increment: 1}
}

// usableToken returns the token. It returns zero if no token was acquired yet or
// if the engine has refused the last one.
func (fence *fence) usableToken() int64 {
	fence.mutex.Lock()
	defer fence.mutex.Unlock()
	if fence.refused {
		return 0
	}
	return fence.token
}

// writeCondition returns the condition that the host's row has not changed since
// this agent acquired its token.
func (fence *fence) writeCondition() platform.Condition {
	fence.mutex.Lock()
	defer fence.mutex.Unlock()
	return platform.Condition{Key: fenceKey(fence.dependencies.Self.Name), Revision: fence.revision}
}

// readRow reads and decodes the host's row. The row has revision zero if it does
// not exist.
func (fence *fence) readRow(ctx context.Context) (platform.Row, fenceRecord, error) {
	var record fenceRecord
	ctx, cancel := context.WithTimeout(ctx, fence.dependencies.Settings.TableTimeout)
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

// acquire acquires a token that is higher than every earlier one. If the answer to
// the transaction is lost, the caller calls it again and gets a still higher
// token, so tokens may have gaps.
func (fence *fence) acquire(ctx context.Context) error {
	startedAt := time.Now()
	row, record, err := fence.readRow(ctx)
	if err != nil {
		return err
	}
	fence.mutex.Lock()
	acquired, increment := fence.token != 0, fence.increment
	fence.mutex.Unlock()
	if acquired && record.Incarnation != fence.incarnation {
		return ErrFenced
	}
	next := fenceRecord{Token: record.Token + increment, Incarnation: fence.incarnation}
	ctx, cancel := context.WithTimeout(ctx, fence.dependencies.Settings.TableTimeout)
	defer cancel()
	revision, err := fence.dependencies.Table.Transact(ctx,
		[]platform.Condition{{Key: row.Key, Revision: row.Revision}},
		[]platform.Write{{Key: row.Key, Value: mustEncode(next)}})
	if err != nil {
		return fmt.Errorf("acquire fencing token: %w", err)
	}
	fence.setToken(next.Token, revision, startedAt)
	return nil
}

// setToken stores a token that was acquired by a transaction that began at
// startedAt.
func (fence *fence) setToken(token, revision int64, startedAt time.Time) {
	fence.mutex.Lock()
	defer fence.mutex.Unlock()
	fence.dependencies.Checker.Check(token > fence.token, invariants.FenceForward,
		zap.Int64("token", token), zap.Int64("previous", fence.token))
	fence.token, fence.revision, fence.refused = token, revision, false
	fence.pauses.markVerified(startedAt, time.Now())
}

// markRefused records that the engine has refused the token although no later
// agent is known, for example because the table was restored from an older state.
// The increment doubles each time, so that the token soon exceeds the highest one
// that the engine has seen.
func (fence *fence) markRefused() {
	fence.mutex.Lock()
	defer fence.mutex.Unlock()
	fence.refused = true
	fence.increment = min(fence.increment*2, 1<<40)
}

// verify returns ErrFenced if a later agent has acquired the token. If the table
// can't be read, the token counts as valid unless the process was paused; after a
// pause, errUnverified is returned.
func (fence *fence) verify(ctx context.Context) error {
	startedAt := time.Now()
	_, record, err := fence.readRow(ctx)
	switch {
	case err != nil && fence.pauses.mustVerify(time.Now()):
		return fmt.Errorf("%w: %w", errUnverified, err)
	case err != nil:
		return nil
	case record.Incarnation != fence.incarnation:
		return ErrFenced
	}
	fence.pauses.markVerified(startedAt, time.Now())
	return nil
}

// isSuperseded reports whether a conflict shows that a later agent has acquired
// the token. A row of the host that can't be decoded counts as that.
func (fence *fence) isSuperseded(conflict *platform.ConflictError) bool {
	row, conflicting := conflict.Row(fenceKey(fence.dependencies.Self.Name))
	var record fenceRecord
	return conflicting && (json.Unmarshal(row.Value, &record) != nil || record.Incarnation != fence.incarnation)
}

// mustEncode encodes a record of this package as JSON. Encoding can't fail, because
// the records hold only strings and numbers.
func mustEncode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err))
	}
	return encoded
}
