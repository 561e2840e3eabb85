package directives

// An agent needs the named versions and the figures of its engine, not the
// routes. The feed of the operator's table sends the whole configuration to each
// follower at each change, and a fleet that starts at once would draw it for each
// agent, which fills the links between regions. An agent therefore reads the rows
// of the versions by themselves and has the figures from the entries, whose
// datagrams it gets anyway. It reads the whole table where no entry tells them.

import (
	"context"
	"sync/atomic"
	"time"

	"firford/lib/platform"
	"firford/lib/routes"
)

type (
	// Announcement is what an entry tells agents of the operator's table: the version of its
	// configuration, a digest of the figures of engines and origins, and the newest
	// version of each model. Services holds the figures themselves where the agent
	// has asked for them.
	Announcement struct {
		Configuration int64            `json:"configuration"`
		Engines       uint64           `json:"engines"`
		Versions      map[string]int   `json:"versions,omitempty"`
		Services      []routes.Service `json:"services,omitempty"`
	}

	// RowReader is the part of the store that reads some rows of a table.
	RowReader interface {
		// ScanPrefix returns the rows whose keys begin with the prefix, and the newest
		// revision of the store.
		ScanPrefix(ctx context.Context, table, prefix string) ([]platform.Row, int64, error)
	}

	// PrefixFeed is a feed that reads only the rows with a prefix, and the
	// whole of it when asked to. It is safe for concurrent use.
	PrefixFeed struct {
		whole  platform.Feed
		rows   RowReader
		prefix string
		wanted atomic.Bool
		wake   chan struct{}
	}
)

var _ platform.Feed = (*PrefixFeed)(nil)

// NewPrefixFeed returns a feed that reads whole tables from the feed given.
func NewPrefixFeed(whole platform.Feed, rows RowReader, prefix string) *PrefixFeed {
	return &PrefixFeed{whole: whole, rows: rows, prefix: prefix, wake: make(chan struct{}, 1)}
}

// RequestFullRead has the whole table read at once.
func (sparse *PrefixFeed) RequestFullRead() {
	sparse.wanted.Store(true)
	select {
	case sparse.wake <- struct{}{}:
	default:
	}
}

// Snapshot implements platform.Feed.
func (sparse *PrefixFeed) Snapshot(ctx context.Context, table string) ([]platform.Row, int64, error) {
	if !sparse.wanted.Load() {
		return sparse.rows.ScanPrefix(ctx, table, sparse.prefix)
	}
	rows, revision, err := sparse.whole.Snapshot(ctx, table)
	if err == nil {
		sparse.wanted.Store(false)
	}
	return rows, revision, err
}

// Changes implements platform.Feed. It waits first and then reads the rows with
// the prefix, so it costs one call for each wait.
func (sparse *PrefixFeed) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.Change, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-sparse.wake:
		return nil, 0, platform.ErrHistoryLost
	case <-timer.C:
	}
	rows, revision, err := sparse.rows.ScanPrefix(ctx, table, sparse.prefix)
	if err != nil {
		return nil, 0, err
	}
	var changes []platform.Change
	for _, row := range rows {
		if row.Revision > after {
			changes = append(changes, platform.Change{Row: row})
		}
	}
	return changes, revision, nil
}

// Announcement returns what this process believes, without the figures.
func (follower *Follower) Announcement() Announcement {
	table, targets := follower.Routes(), follower.Targets()
	news := Announcement{Configuration: table.Version(), Engines: table.EngineDigest(), Versions: map[string]int{}}
	for _, service := range table.Engines() {
		for _, model := range service.Engine.Models {
			if version := targets.Newest(model); version > 0 {
				news.Versions[model] = version
			}
		}
	}
	return news
}

// FullAnnouncement returns what this process believes, with the figures.
func (follower *Follower) FullAnnouncement() Announcement {
	news := follower.Announcement()
	news.Services = follower.Routes().EnginesAndOrigins()
	return news
}

// ApplyAnnouncement takes the news of an entry. It returns true where this process lacks the
// figures that the entry has. A process that is told figures has a table without
// routes.
func (follower *Follower) ApplyAnnouncement(news Announcement, now time.Time) (lacksFigures bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	var versions []ModelVersion
	for model, version := range news.Versions {
		versions = append(versions, ModelVersion{Model: model, Version: version})
	}
	follower.name(versions, now)
	table := follower.Routes()
	if news.Configuration <= table.Version() || news.Engines == table.EngineDigest() {
		return false
	}
	if len(news.Services) == 0 {
		return true
	}
	follower.force(routes.Configuration{Version: news.Configuration, Services: news.Services}, 0)
	return false
}
