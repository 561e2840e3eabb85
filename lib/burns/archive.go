package burns

// This file saves the counts of each entry in the object store, so that they survive
// a restart of the entry and its departure from the fleet.

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
	// maxSummaryBytes limits the decompressed size of a summary.
	maxSummaryBytes = 64 << 20
	// maxDepartedEntries limits how many summaries of departed entries one report
	// reads.
	maxDepartedEntries = 1000
)

type (
	// Archive stores a summary of each entry's counts in the object store. The
	// object store can't list its objects, so each entry also writes a row with its
	// name to the table, once.
	Archive struct {
		entry      string
		table      platform.Table
		objects    platform.ObjectStore
		registered bool
	}

	// bucket is one bucket of a series as it is encoded in summaries and messages.
	bucket struct {
		Minute  int64 `json:"m"`
		Good    int64 `json:"g,omitempty"`
		Late    int64 `json:"l,omitempty"`
		NotRun  int64 `json:"n,omitempty"`
		Unknown int64 `json:"u,omitempty"`
	}

	// encodedSeries is a series with its buckets, sorted by minute.
	encodedSeries struct {
		Series
		Buckets []bucket `json:"cells"`
	}

	// entryRow is the table row of an entry that has a summary.
	entryRow struct {
		Entry string `json:"entry"`
	}
)

// NewArchive returns an archive that saves the counts of the named entry. It is
// not safe for concurrent use.
func NewArchive(entry string, table platform.Table, objects platform.ObjectStore) *Archive {
	return &Archive{entry: entry, table: table, objects: objects}
}

func encodeSeries(series Series, buckets Buckets) encodedSeries {
	encoded := encodedSeries{Series: series, Buckets: make([]bucket, 0, len(buckets))}
	for minute, count := range buckets {
		encoded.Buckets = append(encoded.Buckets, bucket{minute, count.Good, count.Late, count.NotRun, count.Unknown})
	}
	slices.SortFunc(encoded.Buckets, func(a, b bucket) int { return int(a.Minute - b.Minute) })
	return encoded
}

func decodeCounts(list []encodedSeries) Counts {
	counts := Counts{}
	for _, series := range list {
		buckets := Buckets{}
		for _, decoded := range series.Buckets {
			buckets[decoded.Minute] = Count{Good: decoded.Good, Late: decoded.Late, NotRun: decoded.NotRun, Unknown: decoded.Unknown}
		}
		counts[series.Series] = buckets
	}
	return counts
}

// Save replaces the summary of this entry. It also fails if the store's answer was
// lost, because saving again is harmless.
func (archive *Archive) Save(ctx context.Context, counts Counts) error {
	list := []encodedSeries{}
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
	return archive.registerEntry(ctx)
}

// registerEntry writes the entry's table row, unless it exists.
func (archive *Archive) registerEntry(ctx context.Context) error {
	if archive.registered {
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
	archive.registered = true
	return nil
}

// Load returns the counts of this entry's last summary. They are empty if there is
// none.
func (archive *Archive) Load(ctx context.Context) (Counts, error) {
	return archive.loadEntry(ctx, archive.entry)
}

func (archive *Archive) loadEntry(ctx context.Context, entry string) (Counts, error) {
	body, err := archive.objects.Get(ctx, archivePrefix+entry)
	if errors.Is(err, platform.ErrNotFound) {
		return Counts{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read burn counts of %s: %w", entry, err)
	}
	decompressed, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("decompress burn counts of %s: %w", entry, err)
	}
	var list []encodedSeries
	if err := json.NewDecoder(io.LimitReader(decompressed, maxSummaryBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("decode burn counts of %s: %w", entry, err)
	}
	return decodeCounts(list), nil
}

// LoadDeparted returns the merged counts of all entries that are not present. It
// deletes the rows of entries whose counts are all older than the long window.
func (archive *Archive) LoadDeparted(ctx context.Context, present []string, now time.Time) (Counts, error) {
	rows, err := archive.table.Scan(ctx, archivePrefix, 0)
	if err != nil {
		return nil, fmt.Errorf("list entries: %w", err)
	}
	merged := Counts{}
	for _, row := range rows[:min(maxDepartedEntries, len(rows))] {
		entry := strings.TrimPrefix(row.Key, archivePrefix)
		if slices.Contains(present, entry) {
			continue
		}
		counts, err := archive.loadEntry(ctx, entry)
		if err != nil {
			return nil, err
		}
		if isExpired(counts, EpochMinute(now)) {
			// A failed delete is harmless, because the next report tries again.
			_, _ = archive.table.Transact(ctx, []platform.Condition{{Key: row.Key, Revision: row.Revision}},
				[]platform.Write{{Key: row.Key, Delete: true}})
			continue
		}
		merged = Merge(merged, counts)
	}
	return merged, nil
}

// isExpired reports whether no series has events in the long window.
func isExpired(counts Counts, now int64) bool {
	for _, buckets := range counts {
		if buckets.sumWindow(now, LongWindowMinutes) != (Count{}) {
			return false
		}
	}
	return true
}
