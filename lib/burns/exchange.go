package burns

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"firford/lib/links"
)

const (
	methodCounts = "burn.counts"
	// A page of this many cells of about 50 bytes stays below the limit of a
	// message, also with one whole series above it.
	maxCellsPerPage = 10_000
	maxPages        = MaxSeries
	peersAtOnce     = 16
	peerTimeout     = 5 * time.Second
)

type (
	// countsParams asks for the series after one, in the order of compareSeries.
	countsParams struct {
		After *Series `json:"after,omitempty"`
	}

	countsResult struct {
		Series []seriesCells `json:"series"`
		More   bool          `json:"more"`
	}
)

// Register answers the message burn.counts on an entry's links.
func Register(router *links.Router, recorder *Recorder) {
	links.OnCall(router, methodCounts, func(_ context.Context, _ *links.Link, params countsParams) (countsResult, error) {
		return page(recorder.Counts(), params.After), nil
	})
}

func page(counts Counts, after *Series) countsResult {
	result := countsResult{Series: []seriesCells{}}
	cells := 0
	for _, series := range counts.sortedSeries() {
		if after != nil && compareSeries(series, *after) <= 0 {
			continue
		}
		if cells >= maxCellsPerPage {
			result.More = true
			break
		}
		result.Series = append(result.Series, encodeSeries(series, counts[series]))
		cells += len(counts[series])
	}
	return result
}

// FetchCounts returns the counts of the entry at the other end of the link.
func FetchCounts(ctx context.Context, entry *links.Link) (Counts, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	merged := Counts{}
	var params countsParams
	for range maxPages {
		var result countsResult
		if err := entry.Call(ctx, methodCounts, params, &result); err != nil {
			return nil, fmt.Errorf("fetch burn counts: %w", err)
		}
		merged = Merge(merged, decodeSeries(result.Series))
		if !result.More || len(result.Series) == 0 {
			return merged, nil
		}
		params.After = &result.Series[len(result.Series)-1].Series
	}
	return nil, fmt.Errorf("fetch burn counts: more than %d pages", maxPages)
}

// GatherCounts returns the counts of this entry, of the peers and, from their last
// summaries, of entries that are gone or do not answer. A peer without a link is
// nil. missing names the peers that did not answer, and the archive if it could
// not be read.
func GatherCounts(ctx context.Context, recorder *Recorder, archive *Archive, peers map[string]*links.Link) (counts Counts, missing []string) {
	var mutex sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, peersAtOnce)
	counts = recorder.Counts()
	present := []string{archive.entry}
	for name, peer := range peers {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			fetched, err := fetchFrom(ctx, peer)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				missing = append(missing, name)
				return
			}
			present = append(present, name)
			counts = Merge(counts, fetched)
		})
	}
	calls.Wait()
	slices.Sort(missing)
	departed, err := archive.LoadDeparted(ctx, present, time.Now())
	if err != nil {
		return counts, append(missing, "summaries of departed entries")
	}
	return Merge(counts, departed), missing
}

func fetchFrom(ctx context.Context, peer *links.Link) (Counts, error) {
	if peer == nil {
		return nil, fmt.Errorf("no link")
	}
	return FetchCounts(ctx, peer)
}
