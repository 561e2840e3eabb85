package configurations

// This file makes changes to the configuration in the platform's table.
//
// Several entries may change the configuration at the same time, and the
// table's answer to a write may be lost. Each change is one transaction that is
// conditional on the row of the last revision, so changes are totally ordered,
// and it writes a row named by the caller's request id, so that the outcome of
// any earlier attempt can be read back. A lock held by one entry was rejected:
// its holder may be paused and act after the lock has expired.

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

	// commitAttempts bounds the transactions for one change. Each race that is
	// lost means that another change was accepted, so more than a few are rare.
	commitAttempts = 8
	// loadAttempts bounds how often a load starts again because a change arrived
	// while it read.
	loadAttempts = 5
	// keptChanges is how many changes the log keeps, 26 days at 750 a day. A request
	// id is recognised as long as its change is kept.
	keptChanges = 20_000
	// longGap is the number of log rows above which loading the whole
	// configuration costs fewer reads.
	longGap = 32

	commitPause    = 20 * time.Millisecond
	maxCommitPause = time.Second
)

type (
	// Request is one change that an operator or a process asks for. ID is chosen
	// by the caller and makes the request idempotent. A nil Object deletes.
	// ExpectedRevision is the revision of the object's last change as the caller
	// knows it; zero means that the object must not exist. Intent is set where the
	// object is computed from the configuration, such as when a rollout is paused:
	// a repeated request is then recognised by it and not by the object.
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

	// ReusedIDError tells that the request id belongs to another change.
	ReusedIDError struct {
		ID       string
		Revision int64
	}

	// store reads and writes the configuration rows. upTo returns the
	// configuration at exactly the revision, or errRaced if a newer one is known.
	store struct {
		table platform.Table
		kept  int64
		upTo  func(ctx context.Context, revision int64) (Snapshot, error)
	}
)

var (
	errRaced = errors.New("another change was accepted at the same time")

	// ErrBusy is returned when other changes won every race. Nothing was written.
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

func objectRow(kind, name string) string { return rowPrefix + kind + "/" + name }
func logRow(revision int64) string       { return rowPrefix + "log/" + strconv.FormatInt(revision, 10) }
func requestRow(id string) string        { return rowPrefix + "request/" + id }

// revision returns the last accepted revision and its row. Before the first
// change both are zero.
func (store store) revision(ctx context.Context) (int64, platform.Row, error) {
	var record revisionRecord
	row, err := store.read(ctx, revisionKey, &record)
	return record.Revision, row, err
}

// read decodes a row. A row that does not exist has revision zero.
func (store store) read(ctx context.Context, key string, decoded any) (platform.Row, error) {
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

// changes returns the accepted changes after one revision up to another.
func (store store) changes(ctx context.Context, after, last int64) ([]Change, error) {
	var list []Change
	for revision := after + 1; revision <= last; revision++ {
		var change Change
		row, err := store.read(ctx, logRow(revision), &change)
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

// load reads the whole configuration. The rows of the kinds are read one after
// the other, so the result counts only if no change was accepted meanwhile.
func (store store) load(ctx context.Context) (Snapshot, error) {
	for range loadAttempts {
		before, _, err := store.revision(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		entries, err := store.entries(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		after, _, err := store.revision(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		if before == after {
			return NewSnapshot(after, entries), nil
		}
	}
	return Snapshot{}, fmt.Errorf("load configuration: %w", errRaced)
}

func (store store) entries(ctx context.Context) ([]Entry, error) {
	var entries []Entry
	for _, kind := range kinds {
		rows, err := store.table.Scan(ctx, objectRow(kind, ""), 0)
		if err != nil {
			return nil, fmt.Errorf("read all of kind %s: %w", kind, err)
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

// commit makes the change and returns it with its revision. It fails with
// *ConflictError, *ReusedIDError, *findings.Error, ErrBusy or
// platform.ErrUnavailable when nothing was written, and with
// platform.ErrOutcomeUnknown when a lost answer could not be resolved.
func (store store) commit(ctx context.Context, request Request) (Change, error) {
	pauses, unknown := newPauses(), false
	for range commitAttempts {
		change, err := store.attempt(ctx, request)
		lost := errors.Is(err, platform.ErrOutcomeUnknown)
		unknown = unknown || lost
		switch {
		case lost || errors.Is(err, errRaced):
		case unknown && errors.Is(err, platform.ErrUnavailable):
		default:
			return change, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(pauses.NextBackOff()):
		}
		if ctx.Err() != nil {
			break
		}
	}
	if unknown {
		return Change{}, fmt.Errorf("commit %s %s: %w", request.Kind, request.Name, platform.ErrOutcomeUnknown)
	}
	return Change{}, ErrBusy
}

// newPauses returns the jittered pauses between attempts, so that entries that
// raced each other do not race again in step.
func newPauses() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = commitPause, maxCommitPause
	return pauses
}

// attempt runs one transaction. The revision row is read before the request
// row: if the request row is absent then, an earlier attempt whose answer was
// lost is not part of the revision that the change is checked against.
func (store store) attempt(ctx context.Context, request Request) (Change, error) {
	last, revisionRow, err := store.revision(ctx)
	if err != nil {
		return Change{}, err
	}
	accepted, found, err := store.earlier(ctx, request)
	if found || err != nil {
		return accepted, err
	}
	snapshot, err := store.upTo(ctx, last)
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

// earlier returns the change that the request id has already made.
func (store store) earlier(ctx context.Context, request Request) (Change, bool, error) {
	var record revisionRecord
	row, err := store.read(ctx, requestRow(request.ID), &record)
	if err != nil || row.Revision == 0 {
		return Change{}, false, err
	}
	changes, err := store.changes(ctx, record.Revision-1, record.Revision)
	if err != nil {
		return Change{}, false, err
	}
	change := changes[0]
	if !request.made(change) {
		return Change{}, false, &ReusedIDError{ID: request.ID, Revision: record.Revision}
	}
	return change, true, nil
}

// made reports whether the change is what the request asks for.
func (request Request) made(change Change) bool {
	if change.Kind != request.Kind || change.Name != request.Name || change.Intent != request.Intent {
		return false
	}
	return request.Intent != "" || bytes.Equal(mustEncode(change.Object), mustEncode(request.Object))
}

func (store store) transact(ctx context.Context, request Request, last int64, revisionRow platform.Row) (Change, error) {
	key := objectRow(request.Kind, request.Name)
	var entry Entry
	existing, err := store.read(ctx, key, &entry)
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
		{Key: logRow(change.Revision)},
		{Key: requestRow(request.ID)},
	}
	object := platform.Write{Key: key, Delete: true}
	if request.Object != nil {
		object = platform.Write{Key: key, Value: mustEncode(Entry{Object: request.Object, Revision: change.Revision})}
	}
	expired, err := store.expired(ctx, change.Revision)
	if err != nil {
		return Change{}, err
	}
	number := mustEncode(revisionRecord{Revision: change.Revision})
	_, err = store.table.Transact(ctx, conditions, append(expired,
		platform.Write{Key: revisionKey, Value: number},
		object,
		platform.Write{Key: logRow(change.Revision), Value: mustEncode(change)},
		platform.Write{Key: requestRow(request.ID), Value: number},
	))
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return Change{}, errRaced
	}
	return change, err
}

// expired returns the deletions that keep the log bounded: each change removes
// the rows of the one that is no longer kept.
func (store store) expired(ctx context.Context, revision int64) ([]platform.Write, error) {
	if revision <= store.kept {
		return nil, nil
	}
	var old Change
	row, err := store.read(ctx, logRow(revision-store.kept), &old)
	if err != nil || row.Revision == 0 {
		return nil, err
	}
	return []platform.Write{
		{Key: logRow(old.Revision), Delete: true},
		{Key: requestRow(old.RequestID), Delete: true},
	}, nil
}
