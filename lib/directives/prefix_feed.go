package directives

// An agent needs the announced versions and the parameters of its engine, but not
// the routes. The feed of the operator's table sends the whole configuration to
// each follower at each change, and in a fleet that starts at once every agent
// would download it, which saturates the links between regions. An agent therefore
// reads only the rows of the versions, and gets the parameters from the entries,
// whose datagrams it receives anyway. It reads the whole table only if no entry
// sends them.

import (
	"context"
	"sync/atomic"
	"time"

	"firford/lib/platform"
	"firford/lib/routes"
)

type (
	// Announcement is what an entry sends to agents about the operator's table: the
	// version of its configuration, a digest of the parameters of engines and
	// origins, the newest version of each model, and for how long it has known the newest
	// few. Evacuations is set for an agent that passes it on. Services holds the parameters themselves if the agent has requested them.
	Announcement struct {
		Configuration int64            `json:"configuration"`
		Engines       uint64           `json:"engines"`
		Versions      map[string]int   `json:"versions,omitempty"`
		Ages          VersionAges      `json:"ages,omitempty"`
		Evacuations   *EvacuationState `json:"evacuations,omitempty"`
		Services      []routes.Service `json:"services,omitempty"`
	}

	// RowReader reads a range of the rows of a table.
	RowReader interface {
		// ScanPrefix returns the rows whose keys start with the prefix, and the newest
		// position of the store.
		ScanPrefix(ctx context.Context, table, prefix string) ([]platform.Row, platform.Position, error)
	}

	// PrefixFeed is a feed that reads only the rows of a table with a key prefix, and
	// the whole table once after RequestFullRead. It is safe for concurrent use.
	PrefixFeed struct {
		full            platform.Feed
		rows            RowReader
		prefix          string
		fullReadPending atomic.Bool
		fullReadSignal  chan struct{}
	}
)

var _ platform.Feed = (*PrefixFeed)(nil)

// NewPrefixFeed returns a feed that reads rows with the prefix from rows and whole
// tables from full.
func NewPrefixFeed(full platform.Feed, rows RowReader, prefix string) *PrefixFeed {
	return &PrefixFeed{full: full, rows: rows, prefix: prefix, fullReadSignal: make(chan struct{}, 1)}
}

// RequestFullRead ends a poll that is waiting and has the next snapshot read the
// whole table.
func (feed *PrefixFeed) RequestFullRead() {
	feed.fullReadPending.Store(true)
	select {
	case feed.fullReadSignal <- struct{}{}:
	default:
	}
}

// Snapshot implements platform.Feed.
func (feed *PrefixFeed) Snapshot(ctx context.Context, table string) ([]platform.Row, platform.Position, error) {
	if !feed.fullReadPending.Load() {
		return feed.rows.ScanPrefix(ctx, table, feed.prefix)
	}
	rows, position, err := feed.full.Snapshot(ctx, table)
	if err == nil {
		feed.fullReadPending.Store(false)
	}
	return rows, position, err
}

// Changes implements platform.Feed. It waits for the full time and then reads the
// rows with the prefix, so each poll costs one call to the store. It returns
// platform.ErrHistoryLost if a full read was requested meanwhile.
func (feed *PrefixFeed) Changes(ctx context.Context, table string, after platform.Position, wait time.Duration) ([]platform.Change, platform.Position, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, platform.Position{}, ctx.Err()
	case <-feed.fullReadSignal:
		return nil, after, platform.ErrHistoryLost
	case <-timer.C:
	}
	rows, position, err := feed.rows.ScanPrefix(ctx, table, feed.prefix)
	if err != nil {
		return nil, position, err
	}
	var changes []platform.Change
	for _, row := range rows {
		if row.Revision > after.Revision {
			changes = append(changes, platform.Change{Row: row})
		}
	}
	return changes, position, nil
}

// Announcement returns the state of this process without the engine parameters.
func (follower *Follower) Announcement(now time.Time) Announcement {
	table, targets := follower.Routes(), follower.Targets()
	announcement := Announcement{
		Configuration: table.Version(), Engines: table.EngineDigest(), Versions: map[string]int{}, Ages: versionAges(targets, now),
	}
	for _, service := range table.Engines() {
		for _, model := range service.Engine.Models {
			if version := targets.Newest(model); version > 0 {
				announcement.Versions[model] = version
			}
		}
	}
	return announcement
}

// FullAnnouncement returns the state of this process with the parameters of engines
// and origins.
func (follower *Follower) FullAnnouncement(now time.Time) Announcement {
	announcement := follower.Announcement(now)
	announcement.Services = follower.Routes().EnginesAndOrigins()
	return announcement
}

// ApplyAnnouncement applies the announcement of an entry if it is newer. It returns
// true if this process needs the parameters that the entry has. A process that gets
// its parameters from entries has a routing table without routes.
func (follower *Follower) ApplyAnnouncement(announcement Announcement, now time.Time) (needsServices bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.applyAges(announcement.Ages, now)
	if announcement.Evacuations != nil {
		follower.mergeEvacuations(announcement.Evacuations.decode(now), HeardByAgent, now)
	}
	var versions []ModelVersion
	for model, version := range announcement.Versions {
		versions = append(versions, ModelVersion{Model: model, Version: version})
	}
	follower.recordVersions(versions, now, time.Time{})
	table := follower.Routes()
	if announcement.Configuration <= table.Version() || announcement.Engines == table.EngineDigest() {
		return false
	}
	if len(announcement.Services) == 0 {
		return true
	}
	follower.applyConfiguration(routes.Configuration{Version: announcement.Configuration, Services: announcement.Services}, 0)
	return false
}
