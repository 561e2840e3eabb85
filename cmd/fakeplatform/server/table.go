package server

// The system depends on two guarantees of the real platform's table: a total order
// of transactions, and conditions that are checked atomically with the writes.

import (
	"slices"
	"strings"
	"sync"

	"firford/lib/platform"
)

// table is the transactional table. One mutex serialises all transactions: the
// real service guarantees a total order, and the rates of tests are too low for
// the lock to matter.
type table struct {
	mutex    sync.Mutex
	revision int64
	rows     map[string]platform.Row
	// commit persists a transaction before it takes effect.
	commit func(revision int64, writes []platform.Write) error
}

func newTable() *table {
	return &table{
		rows:   map[string]platform.Row{},
		commit: func(int64, []platform.Write) error { return nil },
	}
}

// transact applies all writes and returns the new revision if all conditions hold.
// Otherwise it writes nothing and returns the rows that violate their condition.
func (table *table) transact(conditions []platform.Condition, writes []platform.Write) (int64, []platform.Row, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var conflicts []platform.Row
	for _, condition := range conditions {
		row, known := table.rows[condition.Key]
		if !known {
			row.Key = condition.Key
		}
		if row.Revision != condition.Revision {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return 0, conflicts, nil
	}
	if err := table.commit(table.revision+1, writes); err != nil {
		return 0, nil, err
	}
	table.apply(table.revision+1, writes)
	return table.revision, nil, nil
}

// apply applies the writes of a transaction. The caller holds the mutex or has not
// shared the table yet.
func (table *table) apply(revision int64, writes []platform.Write) {
	table.revision = revision
	for _, write := range writes {
		if write.Delete {
			delete(table.rows, write.Key)
			continue
		}
		table.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: table.revision}
	}
}

func (table *table) read(key string) (platform.Row, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	row, known := table.rows[key]
	return row, known
}

// scan returns the rows with the prefix that were written after the revision,
// ordered by revision, then key. Deleted rows are not included.
func (table *table) scan(prefix string, after int64) []platform.Row {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	rows := []platform.Row{}
	for key, row := range table.rows {
		if row.Revision > after && strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int {
		if a.Revision != b.Revision {
			return int(a.Revision - b.Revision)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return rows
}
