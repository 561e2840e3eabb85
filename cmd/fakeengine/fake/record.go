package fake

import (
	"time"
)

const (
	kindGenerate   = "generate"
	kindCall       = "call"
	maxServed      = 1024
	maxLoadChanges = 1024
)

type (
	// record tells from outside what the engine has executed. The oldest ids are
	// dropped beyond the limit, and their number is reported.
	record struct {
		limit    int
		journal  journal
		byID     map[string]*execution
		ids      []string
		dropped  int
		versions []servedVersion
		orders   []committedOrder
	}

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

	recordAnswer struct {
		Requests []execution      `json:"requests"`
		Versions []servedVersion  `json:"versions"`
		Orders   []committedOrder `json:"orders"`
		Dropped  int              `json:"dropped"`
	}

	loadChange struct {
		at      time.Time
		running int
		waiting int
	}

	// loadHistory keeps the load values of the recent past, so that the status
	// can report those of an earlier moment.
	loadHistory struct {
		changes []loadChange
	}
)

func newRecord(limit int, journal journal) *record {
	return &record{limit: limit, journal: journal, byID: map[string]*execution{}}
}

// ran records an execution; resumeFrom counts the tokens that an earlier one
// has already made.
func (record *record) ran(id, kind, version string, resumeFrom int, now time.Time) {
	record.journal.write(journalLine{ID: id, Kind: kind, Version: version, ResumeFrom: resumeFrom, At: now})
	entry := record.byID[id]
	if entry == nil {
		entry = &execution{ID: id, Kind: kind, First: now}
		record.byID[id] = entry
		record.ids = append(record.ids, id)
		record.trim()
	}
	entry.Count++
	entry.Last = now
	if last := len(entry.Versions) - 1; last < 0 || entry.Versions[last] != version && last < 8 {
		entry.Versions = append(entry.Versions, version)
	}
}

func (record *record) trim() {
	if len(record.ids) <= record.limit {
		return
	}
	delete(record.byID, record.ids[0])
	record.ids = record.ids[1:]
	record.dropped++
}

func (record *record) served(served content, now time.Time) {
	record.journal.write(journalLine{ID: served.orderID, Kind: kindServed, Version: served.version, At: now})
	if len(record.versions) == maxServed {
		record.versions = record.versions[1:]
	}
	record.versions = append(record.versions, servedVersion{
		Version:        served.version,
		ManifestDigest: served.manifestDigest,
		OrderID:        served.orderID,
		Since:          now,
	})
}

func (record *record) ordered(committed *order, now time.Time) {
	if len(record.orders) == maxServed {
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

// answer returns the whole record, or only one id where it is not empty.
func (record *record) answer(id string) recordAnswer {
	answer := recordAnswer{
		Requests: []execution{},
		Versions: append([]servedVersion{}, record.versions...),
		Orders:   append([]committedOrder{}, record.orders...),
		Dropped:  record.dropped,
	}
	if id != "" {
		if entry := record.byID[id]; entry != nil {
			answer.Requests = append(answer.Requests, *entry)
		}
		return answer
	}
	for _, known := range record.ids {
		answer.Requests = append(answer.Requests, *record.byID[known])
	}
	return answer
}

func (history *loadHistory) note(now time.Time, running, waiting int) {
	if last := len(history.changes) - 1; last >= 0 && history.changes[last].running == running && history.changes[last].waiting == waiting {
		return
	}
	if len(history.changes) == maxLoadChanges {
		history.changes = append(history.changes[:0], history.changes[maxLoadChanges/2:]...)
	}
	history.changes = append(history.changes, loadChange{at: now, running: running, waiting: waiting})
}

// at returns the load at a moment in the past.
func (history *loadHistory) at(moment time.Time) (running, waiting int) {
	for i := len(history.changes) - 1; i >= 0; i-- {
		if change := history.changes[i]; !change.at.After(moment) {
			return change.running, change.waiting
		}
	}
	return 0, 0
}
