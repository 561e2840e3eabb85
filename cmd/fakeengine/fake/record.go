package fake

// Tests compare the answers of callers with what was executed. The record lists the
// executions, versions and orders of an engine and is served at /record.

import (
	"time"
)

const (
	kindGenerate     = "generate"
	kindCall         = "call"
	maxRecordEntries = 1024 // Bounds the versions and the orders in a record.
	maxLoadChanges   = 1024
)

type (
	// record lists what the engine has executed. Beyond the limit the oldest ids
	// are dropped and counted. The caller holds the mutex of the engine.
	record struct {
		limit    int
		journal  journal
		byID     map[string]*execution
		ids      []string
		dropped  int
		versions []servedVersion
		orders   []committedOrder
	}

	// execution counts how often a request id was executed, and by which versions.
	execution struct {
		ID       string    `json:"id"`
		Kind     string    `json:"kind"`
		Count    int       `json:"count"`
		First    time.Time `json:"first"`
		Last     time.Time `json:"last"`
		Versions []string  `json:"versions"`
	}

	servedVersion struct {
		Version        string    `json:"version"`
		ManifestDigest string    `json:"manifest_digest"`
		OrderID        string    `json:"order_id"`
		Since          time.Time `json:"since"`
	}

	committedOrder struct {
		OrderID      string    `json:"order_id"`
		FencingToken int64     `json:"fencing_token"`
		Version      string    `json:"version"`
		Pieces       int       `json:"pieces"`
		Bytes        int64     `json:"bytes"`
		PiecesDigest string    `json:"pieces_digest"`
		At           time.Time `json:"at"`
	}

	// recordResponse is the body of the response to /record.
	recordResponse struct {
		Requests []execution      `json:"requests"`
		Versions []servedVersion  `json:"versions"`
		Orders   []committedOrder `json:"orders"`
		Dropped  int              `json:"dropped"`
	}

	// loadChange is the load from a moment until the next change.
	loadChange struct {
		at      time.Time
		running int
		waiting int
	}

	// loadHistory keeps recent load values, so that the status can report those of
	// an earlier moment, as the status of a real engine does.
	loadHistory struct {
		changes []loadChange
	}
)

func newRecord(limit int, journal journal) *record {
	return &record{limit: limit, journal: journal, byID: map[string]*execution{}}
}

// addExecution records an execution. resumeFrom is the number of tokens that the
// caller already has if the answer is resumed, and zero otherwise.
func (record *record) addExecution(id, kind, version string, resumeFrom int, now time.Time) {
	record.journal.write(journalLine{ID: id, Kind: kind, Version: version, ResumeFrom: resumeFrom, At: now})
	executed := record.byID[id]
	if executed == nil {
		executed = &execution{ID: id, Kind: kind, First: now}
		record.byID[id] = executed
		record.ids = append(record.ids, id)
		record.dropOldest()
	}
	executed.Count++
	executed.Last = now
	if last := len(executed.Versions) - 1; last < 0 || executed.Versions[last] != version && last < 8 {
		executed.Versions = append(executed.Versions, version)
	}
}

// dropOldest drops the oldest id if there are more than the limit.
func (record *record) dropOldest() {
	if len(record.ids) <= record.limit {
		return
	}
	delete(record.byID, record.ids[0])
	record.ids = record.ids[1:]
	record.dropped++
}

// addVersion records that the engine starts to serve a version.
func (record *record) addVersion(served loadedVersion, now time.Time) {
	record.journal.write(journalLine{ID: served.orderID, Kind: kindServed, Version: served.version, At: now})
	if len(record.versions) == maxRecordEntries {
		record.versions = record.versions[1:]
	}
	record.versions = append(record.versions, servedVersion{
		Version:        served.version,
		ManifestDigest: served.manifestDigest,
		OrderID:        served.orderID,
		Since:          now,
	})
}

// addOrder records a committed order.
func (record *record) addOrder(committed *order, now time.Time) {
	if len(record.orders) == maxRecordEntries {
		record.orders = record.orders[1:]
	}
	record.orders = append(record.orders, committedOrder{
		OrderID:      committed.orderID,
		FencingToken: committed.token,
		Version:      committed.version,
		Pieces:       len(committed.pieces),
		Bytes:        committed.bytes,
		PiecesDigest: committed.piecesDigest().String(),
		At:           now,
	})
}

// response returns the whole record. If the id is not empty, it has only the
// executions of that id.
func (record *record) response(id string) recordResponse {
	response := recordResponse{
		Requests: []execution{},
		Versions: append([]servedVersion{}, record.versions...),
		Orders:   append([]committedOrder{}, record.orders...),
		Dropped:  record.dropped,
	}
	if id != "" {
		if executed := record.byID[id]; executed != nil {
			response.Requests = append(response.Requests, *executed)
		}
		return response
	}
	for _, known := range record.ids {
		response.Requests = append(response.Requests, *record.byID[known])
	}
	return response
}

// add records the load if it has changed. When the history is full, its older
// half is dropped.
func (history *loadHistory) add(now time.Time, running, waiting int) {
	if last := len(history.changes) - 1; last >= 0 && history.changes[last].running == running && history.changes[last].waiting == waiting {
		return
	}
	if len(history.changes) == maxLoadChanges {
		history.changes = append(history.changes[:0], history.changes[maxLoadChanges/2:]...)
	}
	history.changes = append(history.changes, loadChange{at: now, running: running, waiting: waiting})
}

// loadAt returns the load at a moment in the past, or zeros if the history does
// not go back that far.
func (history *loadHistory) loadAt(moment time.Time) (running, waiting int) {
	for i := len(history.changes) - 1; i >= 0; i-- {
		if change := history.changes[i]; !change.at.After(moment) {
			return change.running, change.waiting
		}
	}
	return 0, 0
}
