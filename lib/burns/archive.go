package burns

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"firford/lib/platform"
)

const (
	archivePrefix = "burns/"
	// maxSummaryBytes bounds what a summary may decompress to.
	maxSummaryBytes = 64 << 20
	// maxDeparted bounds the summaries that one report reads.
	maxDeparted = 1000
)

type (
	// Archive keeps the summaries of entries in the object store. The store can't
	// list objects, so each entry also writes a row with its name, once.
	Archive struct {
		entry    string
		table    platform.Table
		objects  platform.ObjectStore
		recorded bool
	}

	cell struct {
		Minute  int64 `json:"m"`
		Good    int64 `json:"g,omitempty"`
		Late    int64 `json:"l,omitempty"`
		NotRun  int64 `json:"n,omitempty"`
		Unknown int64 `json:"u,omitempty"`
	}

	seriesCells struct {
		Series
		Cells []cell `json:"cells"`
	}

	entryRow struct {
		Entry string `json:"entry"`
	}
)

// NewArchive returns the archive of the entry with the name. It is not safe for
// concurrent use.
func NewArchive(entry string, table platform.Table, objects platform.ObjectStore) *Archive {
	return &Archive{entry: entry, table: table, objects: objects}
}

func encodeSeries(series Series, cells Cells) seriesCells {
	encoded := seriesCells{Series: series, Cells: make([]cell, 0, len(cells))}
	for minute, count := range cells {
		encoded.Cells = append(encoded.Cells, cell{minute, count.Good, count.Late, count.NotRun, count.Unknown})
	}
	slices.SortFunc(encoded.Cells, func(a, b cell) int { return int(a.Minute - b.Minute) })
	return encoded
}

func decodeSeries(list []seriesCells) Counts {
	counts := Counts{}
	for _, series := range list {
		cells := Cells{}
		for _, each := range series.Cells {
			cells[each.Minute] = Count{Good: each.Good, Late: each.Late, NotRun: each.NotRun, Unknown: each.Unknown}
		}
		counts[series.Series] = cells
	}
	return counts
}

// Save replaces the summary of this entry. An answer that was lost is an error
// too: saving once more does no harm.
func (archive *Archive) Save(ctx context.Context, counts Counts) error {
	list := []seriesCells{}
	for _, series := range counts.sortedSeries() {
		list = append(list, encodeSeries(series, counts[series]))
	}
	var body bytes.Buffer
	compressed := gzip.NewWriter(&body)
	if err := json.NewEncoder(compressed).Encode(list); err != nil {
		return fmt.Errorf("encode burn counts: %w", err)
	}
	if err := compressed.Close(); err != nil {
		return fmt.Errorf("compress burn counts: %w", err)
	}
	if err := archive.objects.Put(ctx, archivePrefix+archive.entry, body.Bytes()); err != nil {
		return fmt.Errorf("save burn counts: %w", err)
	}
	return archive.register(ctx)
}

func (archive *Archive) register(ctx context.Context) error {
	if archive.recorded {
		return nil
	}
	key := archivePrefix + archive.entry
	value, err := json.Marshal(entryRow{Entry: archive.entry})
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	_, err = archive.table.Transact(ctx, []platform.Condition{{Key: key}}, []platform.Write{{Key: key, Value: value}})
	var conflict *platform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return fmt.Errorf("record entry: %w", err)
	}
	archive.recorded = true
	return nil
}

// Load returns the last summary of this entry, empty if there is none.
func (archive *Archive) Load(ctx context.Context) (Counts, error) {
	return archive.loadOf(ctx, archive.entry)
}

func (archive *Archive) loadOf(ctx context.Context, entry string) (Counts, error) {
	body, err := archive.objects.Get(ctx, archivePrefix+entry)
	if errors.Is(err, platform.ErrNotFound) {
		return Counts{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read burn counts of %s: %w", entry, err)
	}
	plain, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("decompress burn counts of %s: %w", entry, err)
	}
	var list []seriesCells
	if err := json.NewDecoder(io.LimitReader(plain, maxSummaryBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("decode burn counts of %s: %w", entry, err)
	}
	return decodeSeries(list), nil
}

// Departed returns the summaries of all entries but those named, and forgets
// entries whose counts have left the long window.
func (archive *Archive) Departed(ctx context.Context, present []string, now time.Time) (Counts, error) {
	rows, err := archive.table.Scan(ctx, archivePrefix, 0)
	if err != nil {
		return nil, fmt.Errorf("list entries: %w", err)
	}
	merged := Counts{}
	for _, row := range rows[:min(maxDeparted, len(rows))] {
		entry := strings.TrimPrefix(row.Key, archivePrefix)
		if slices.Contains(present, entry) {
			continue
		}
		counts, err := archive.loadOf(ctx, entry)
		if err != nil {
			return nil, err
		}
		if outdated(counts, Minute(now)) {
			// A failure is harmless: the next report tries again.
			_, _ = archive.table.Transact(ctx, []platform.Condition{{Key: row.Key, Revision: row.Revision}},
				[]platform.Write{{Key: row.Key, Delete: true}})
			continue
		}
		merged = Merge(merged, counts)
	}
	return merged, nil
}

func outdated(counts Counts, now int64) bool {
	for _, cells := range counts {
		if cells.within(now, LongWindow) != (Count{}) {
			return false
		}
	}
	return true
}
