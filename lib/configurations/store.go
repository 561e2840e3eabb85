package configurations

// This file commits changes of the configuration to the platform's table.
//
// Several entries may change the configuration at the same time, and the
// table's answer to a write may be lost. Each change is one transaction that is
// conditional on the row of the last revision, so changes are totally ordered.
// The transaction also writes a row whose key contains the caller's request id,
// from which the outcome of an earlier attempt can be read. A lock would not be
// safe, because its holder may be paused and write after the lock has expired.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"firford/lib/platform"
)

const (
	rowPrefix   = "configuration/"
	revisionKey = rowPrefix + "revision"

	// maxCommitAttempts bounds the transactions for one change. An attempt loses a
	// race only if another change is accepted, so more than a few attempts are rare.
	maxCommitAttempts = 8
	// maxLoadAttempts bounds the attempts to load the whole configuration. An attempt
	// is repeated if a change is accepted while it reads.
	maxLoadAttempts = 5
	// maxRetainedChanges is the number of changes that the log retains, which is 26
	// days at 750 changes a day. A repeated request id is recognised as long as its
	// change is retained.
	maxRetainedChanges = 20_000
	// maxIncrementalChanges is the number of log rows above which loading the whole
	// configuration takes fewer reads than reading the rows one by one.
	maxIncrementalChanges = 32

	initialCommitDelay = 20 * time.Millisecond
	maxCommitDelay     = time.Second
)

type (
	// Request is a change that an operator or a process requests. ID is chosen by
	// the caller and makes the request idempotent. If Object is nil, the object is
	// deleted. ExpectedRevision is the revision of the object's last change as known
	// to the caller; zero means that the object must not exist. Intent is set if
	// the object is computed from the configuration, such as when a rollout is
	// paused. A repeated request is then recognised by its intent instead of its
	// object, which may have been computed differently.
	Request struct {
		ID               string
		Operator         string
		Kind             string
		Name             string
		Object           Object
		Intent           string
		ExpectedRevision int64
	}

	// ConflictError reports that the object was changed since the caller read it.
	// CurrentRevision is the revision of its last change, or zero if the object
	// does not exist.
	ConflictError struct {
		Kind            string
		Name            string
		CurrentRevision int64
	}

	// ReusedIDError reports that the request id was already used for another change,
	// which was accepted as Revision.
	ReusedIDError struct {
		ID       string
		Revision int64
	}

	// store reads and writes the configuration rows. retained is the number of
	// changes that the log retains. snapshotAt returns the configuration at exactly
	// the revision, or errConcurrentChange if a newer one is in force.
	store struct {
		table      platform.Table
		retained   int64
		snapshotAt func(ctx context.Context, revision int64) (Snapshot, error)
	}
)

var (
	errConcurrentChange = errors.New("another change was accepted at the same time")

	// ErrBusy is returned if every attempt to commit was overtaken by another
	// change. Nothing was written.
	ErrBusy = errors.New("too many changes at the same time, nothing was written")
)

func (conflict *ConflictError) Error() string {
	if conflict.CurrentRevision == 0 {
		return fmt.Sprintf("%s %s does not exist", conflict.Kind, conflict.Name)
	}
	return fmt.Sprintf("%s %s was changed in revision %d", conflict.Kind, conflict.Name, conflict.CurrentRevision)
}

func (reused *ReusedIDError) Error() string {
	return fmt.Sprintf("request id %s was used for another change, revision %d", reused.ID, reused.Revision)
}

func objectRowKey(kind, name string) string { return rowPrefix + kind + "/" + name }
func logRowKey(revision int64) string       { return rowPrefix + "log/" + strconv.FormatInt(revision, 10) }
func requestRowKey(id string) string        { return rowPrefix + "request/" + id }

// lastRevision returns the last accepted revision and the revision row. Before the
// first change, both revisions are zero.
func (store store) lastRevision(ctx context.Context) (int64, platform.Row, error) {
	var record revisionRecord
	row, err := store.readRow(ctx, revisionKey, &record)
	return record.Revision, row, err
}

// readRow reads a row and decodes its value. If the row does not exist, it returns
// a row with revision zero.
func (store store) readRow(ctx context.Context, key string, decoded any) (platform.Row, error) {
	row, err := store.table.Read(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{Key: key}, nil
	}
	if err != nil {
		return row, fmt.Errorf("read %s: %w", key, err)
	}
	if err := json.Unmarshal(row.Value, decoded); err != nil {
		return row, fmt.Errorf("decode row %s: %w", key, err)
	}
	return row, nil
}

// readChanges returns the accepted changes after the revision after, up to and
// including last.
func (store store) readChanges(ctx context.Context, after, last int64) ([]Change, error) {
	var list []Change
	for revision := after + 1; revision <= last; revision++ {
		var change Change
		row, err := store.readRow(ctx, logRowKey(revision), &change)
		if err != nil {
			return nil, err
		}
		if row.Revision == 0 {
			return nil, fmt.Errorf("log row of revision %d is missing", revision)
		}
		list = append(list, change)
	}
	return list, nil
}

// loadSnapshot reads the whole configuration. The kinds are scanned one after the
// other, so a result is valid only if no change was accepted meanwhile.
func (store store) loadSnapshot(ctx context.Context) (Snapshot, error) {
	for range maxLoadAttempts {
		before, _, err := store.lastRevision(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		entries, err := store.loadEntries(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		after, _, err := store.lastRevision(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		if before == after {
			return NewSnapshot(after, entries), nil
		}
	}
	return Snapshot{}, fmt.Errorf("load configuration: %w", errConcurrentChange)
}

// loadEntries reads the entries of all kinds.
func (store store) loadEntries(ctx context.Context) ([]Entry, error) {
	var entries []Entry
	for _, kind := range kinds {
		rows, err := store.table.Scan(ctx, objectRowKey(kind, ""), 0)
		if err != nil {
			return nil, fmt.Errorf("scan objects of kind %s: %w", kind, err)
		}
		for _, row := range rows {
			var entry Entry
			if err := json.Unmarshal(row.Value, &entry); err != nil {
				return nil, fmt.Errorf("decode row %s: %w", row.Key, err)
			}
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// commit writes the change to the table and returns it with its revision. It
// fails with *ConflictError, *ReusedIDError, *findings.Error, ErrBusy or
// platform.ErrUnavailable if nothing was written, and with
// platform.ErrOutcomeUnknown if the answer to an attempt was lost and later
// attempts could not determine its outcome.
func (store store) commit(ctx context.Context, request Request) (Change, error) {
	delays, outcomeUnknown := newCommitBackoff(), false
	for range maxCommitAttempts {
		change, err := store.attemptCommit(ctx, request)
		answerLost := errors.Is(err, platform.ErrOutcomeUnknown)
		outcomeUnknown = outcomeUnknown || answerLost
		switch {
		case answerLost || errors.Is(err, errConcurrentChange):
		case outcomeUnknown && errors.Is(err, platform.ErrUnavailable):
		default:
			return change, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(delays.NextBackOff()):
		}
		if ctx.Err() != nil {
			break
		}
	}
	if outcomeUnknown {
		return Change{}, fmt.Errorf("commit %s %s: %w", request.Kind, request.Name, platform.ErrOutcomeUnknown)
	}
	return Change{}, ErrBusy
}

// newCommitBackoff returns the backoff between attempts. Its jitter keeps entries
// that have just collided from colliding again.
func newCommitBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialCommitDelay, maxCommitDelay
	return delays
}

// attemptCommit runs one transaction. It reads the revision row before the request
// row. If the request row is still absent after that, no earlier attempt whose
// answer was lost is part of the revision that the change is validated against.
func (store store) attemptCommit(ctx context.Context, request Request) (Change, error) {
	last, revisionRow, err := store.lastRevision(ctx)
	if err != nil {
		return Change{}, err
	}
	accepted, found, err := store.acceptedChange(ctx, request)
	if found || err != nil {
		return accepted, err
	}
	snapshot, err := store.snapshotAt(ctx, last)
	if err != nil {
		return Change{}, err
	}
	if current := snapshot.lastChange(request.Kind, request.Name); current != request.ExpectedRevision {
		return Change{}, &ConflictError{Kind: request.Kind, Name: request.Name, CurrentRevision: current}
	}
	if err := Validate(snapshot, request).Err(); err != nil {
		return Change{}, err
	}
	return store.transact(ctx, request, last, revisionRow)
}

// acceptedChange returns the change that was already accepted for the request id.
// It fails with *ReusedIDError if that change differs from the request.
func (store store) acceptedChange(ctx context.Context, request Request) (Change, bool, error) {
	var record revisionRecord
	row, err := store.readRow(ctx, requestRowKey(request.ID), &record)
	if err != nil || row.Revision == 0 {
		return Change{}, false, err
	}
	changes, err := store.readChanges(ctx, record.Revision-1, record.Revision)
	if err != nil {
		return Change{}, false, err
	}
	change := changes[0]
	if !request.matches(change) {
		return Change{}, false, &ReusedIDError{ID: request.ID, Revision: record.Revision}
	}
	return change, true, nil
}

// matches reports whether the change is the result of the request. The request may not
// have been validated: an object that cannot be encoded was never accepted.
func (request Request) matches(change Change) bool {
	if change.Kind != request.Kind || change.Name != request.Name || change.Intent != request.Intent {
		return false
	}
	if request.Intent != "" {
		return true
	}
	requested, err := json.Marshal(request.Object)
	return err == nil && bytes.Equal(mustEncode(change.Object), requested)
}

// transact writes the object, the log row, the request row and the new revision in
// one transaction. It fails with errConcurrentChange if another change was
// accepted meanwhile.
func (store store) transact(ctx context.Context, request Request, last int64, revisionRow platform.Row) (Change, error) {
	key := objectRowKey(request.Kind, request.Name)
	var entry Entry
	existing, err := store.readRow(ctx, key, &entry)
	if err != nil {
		return Change{}, err
	}
	change := Change{
		Revision: last + 1, RequestID: request.ID, Operator: request.Operator,
		Kind: request.Kind, Name: request.Name, Object: request.Object, Intent: request.Intent,
	}
	conditions := []platform.Condition{
		{Key: revisionKey, Revision: revisionRow.Revision},
		{Key: key, Revision: existing.Revision},
		{Key: logRowKey(change.Revision)},
		{Key: requestRowKey(request.ID)},
	}
	object := platform.Write{Key: key, Delete: true}
	if request.Object != nil {
		object = platform.Write{Key: key, Value: mustEncode(Entry{Object: request.Object, Revision: change.Revision})}
	}
	expired, err := store.expiredRowDeletions(ctx, change.Revision)
	if err != nil {
		return Change{}, err
	}
	encodedRevision := mustEncode(revisionRecord{Revision: change.Revision})
	_, err = store.table.Transact(ctx, conditions, append(expired,
		platform.Write{Key: revisionKey, Value: encodedRevision},
		object,
		platform.Write{Key: logRowKey(change.Revision), Value: mustEncode(change)},
		platform.Write{Key: requestRowKey(request.ID), Value: encodedRevision},
	))
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return Change{}, errConcurrentChange
	}
	return change, err
}

// expiredRowDeletions returns the deletions that bound the size of the log. Each
// change deletes the log row and the request row of the change that is no longer
// retained.
func (store store) expiredRowDeletions(ctx context.Context, revision int64) ([]platform.Write, error) {
	if revision <= store.retained {
		return nil, nil
	}
	var oldest Change
	row, err := store.readRow(ctx, logRowKey(revision-store.retained), &oldest)
	if err != nil || row.Revision == 0 {
		return nil, err
	}
	return []platform.Write{
		{Key: logRowKey(oldest.Revision), Delete: true},
		{Key: requestRowKey(oldest.RequestID), Delete: true},
	}, nil
}
