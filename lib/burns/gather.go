package burns

// This file collects the counts of all entries for one report. Entries send their
// counts over links in pages, to stay below the size limit of a message.

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
	// A page ends after the series that reaches maxBucketsPerPage. At about 50 bytes
	// for each bucket, a page stays below the size limit of a message even if its
	// last series exceeds maxBucketsPerPage by a whole series.
	maxBucketsPerPage    = 10_000
	maxPages             = MaxSeries
	maxConcurrentFetches = 16
	peerTimeout          = 5 * time.Second
)

type (
	// countsParams requests the series that follow After in the order of
	// compareSeries, or all if After is nil.
	countsParams struct {
		After *Series `json:"after,omitempty"`
	}

	// countsResult is a page of series. More means that further pages follow.
	countsResult struct {
		Series []encodedSeries `json:"series"`
		More   bool            `json:"more"`
	}
)

// Register adds the handler of burn.counts to the router of an entry's links.
func Register(router *links.Router, recorder *Recorder) {
	links.OnCall(router, methodCounts, func(_ context.Context, _ *links.Link, params countsParams) (countsResult, error) {
		return countsPage(recorder.Counts(), params.After), nil
	})
}

// countsPage returns the page that starts after the series, or the first page if it
// is nil.
func countsPage(counts Counts, after *Series) countsResult {
	result := countsResult{Series: []encodedSeries{}}
	pageBuckets := 0
	for _, series := range counts.sortedSeries() {
		if after != nil && compareSeries(series, *after) <= 0 {
			continue
		}
		if pageBuckets >= maxBucketsPerPage {
			result.More = true
			break
		}
		result.Series = append(result.Series, encodeSeries(series, counts[series]))
		pageBuckets += len(counts[series])
	}
	return result
}

// FetchCounts fetches the counts of the entry at the other end of the link.
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
		merged = Merge(merged, decodeCounts(result.Series))
		if !result.More || len(result.Series) == 0 {
			return merged, nil
		}
		params.After = &result.Series[len(result.Series)-1].Series
	}
	return nil, fmt.Errorf("fetch burn counts: more than %d pages", maxPages)
}

// GatherCounts returns the merged counts of this entry, of its peers and of entries
// that have left or do not answer, of which it uses the last summaries. A nil link
// means that the peer could not be reached. missing lists the peers that did not
// answer, and the archive if it could not be read.
func GatherCounts(ctx context.Context, recorder *Recorder, archive *Archive, peers map[string]*links.Link) (counts Counts, missing []string) {
	var mutex sync.Mutex
	var fetches sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentFetches)
	counts = recorder.Counts()
	present := []string{archive.entry}
	for name, peer := range peers {
		semaphore <- struct{}{}
		fetches.Go(func() {
			defer func() { <-semaphore }()
			fetched, err := fetchPeer(ctx, peer)
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
	fetches.Wait()
	slices.Sort(missing)
	departed, err := archive.LoadDeparted(ctx, present, time.Now())
	if err != nil {
		return counts, append(missing, "summaries of departed entries")
	}
	return Merge(counts, departed), missing
}

func fetchPeer(ctx context.Context, peer *links.Link) (Counts, error) {
	if peer == nil {
		return nil, fmt.Errorf("no link")
	}
	return FetchCounts(ctx, peer)
}
