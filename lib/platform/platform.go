// Package platform holds the clients of the platform's services: the
// transactional table, the object store, the weight store and the membership
// list. Any of them may be slow or unavailable, or may lose the response to a write
// that has taken effect, so the error of a write reports whether it may have done so.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"firford/lib/hosts"
)

type (
	// Row is one row of the table. Revision is that of the transaction that last wrote
	// the row; it grows with every transaction.
	Row struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision int64  `json:"revision"`
	}

	// Condition holds if the row has the revision or, if Revision is zero, does not
	// exist.
	Condition struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	}

	// Write sets or deletes a row.
	Write struct {
		Key    string `json:"key"`
		Value  []byte `json:"value,omitempty"`
		Delete bool   `json:"delete,omitempty"`
	}

	// Table is the platform's transactional table service.
	Table interface {
		// Transact applies all writes atomically if all conditions hold, and returns
		// the revision of the rows that it wrote. It fails with *ConflictError if a
		// condition does not hold, ErrUnavailable if nothing was written and
		// ErrOutcomeUnknown if the writes may have taken effect.
		Transact(ctx context.Context, conditions []Condition, writes []Write) (int64, error)
		// Read returns a row, or ErrNotFound.
		Read(ctx context.Context, key string) (Row, error)
		// Scan returns the rows with the prefix that were written after the revision,
		// ordered by revision.
		Scan(ctx context.Context, prefix string, after int64) ([]Row, error)
	}

	// ObjectStore is the platform's object store.
	ObjectStore interface {
		Put(ctx context.Context, name string, body []byte) error
		// Get returns an object, or ErrNotFound.
		Get(ctx context.Context, name string) ([]byte, error)
	}

	// WeightStore is the origin of weights, behind a rate-limited link.
	WeightStore interface {
		Put(ctx context.Context, name string, body io.Reader, size int64) error
		ReadRange(ctx context.Context, name string, offset, length int64) ([]byte, error)
	}

	// Membership is the platform's list of hosts. It may be out of date.
	Membership interface {
		List(ctx context.Context) ([]hosts.Host, error)
	}

	// ConflictError reports the current rows that did not meet their condition. A row
	// that does not exist has revision zero.
	ConflictError struct {
		Rows []Row
	}
)

// Errors of the platform's services.
var (
	ErrNotFound       = errors.New("not found")
	ErrUnavailable    = errors.New("the platform's store is unavailable, nothing was written")
	ErrOutcomeUnknown = errors.New("the platform's answer was lost, the write may have taken effect")
)

func (conflict *ConflictError) Error() string {
	var keys []string
	for _, row := range conflict.Rows {
		keys = append(keys, fmt.Sprintf("%s at revision %d", row.Key, row.Revision))
	}
	return "rows were changed by others: " + strings.Join(keys, ", ")
}

// Row returns the conflicting row with the key.
func (conflict *ConflictError) Row(key string) (Row, bool) {
	for _, row := range conflict.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}
