// Package directives follows what the operator wants: the configuration in force
// and the versions that are to be in use. Entries and agents share it, so that
// both believe the same of the same rows.
package directives

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/placements"
	"firford/lib/platform"
	"firford/lib/routes"
)

type (
	// ModelVersion is a version of a model that the operator named.
	ModelVersion struct {
		Model    string
		Version  int
		Revision int64
	}

	// DesiredState is what the operator's table says. HasConfiguration is false where it holds no
	// configuration. Problems are rows that could not be read.
	DesiredState struct {
		Configuration    routes.Configuration
		HasConfiguration bool
		Versions         []ModelVersion
		Problems         []error
	}

	// Dependencies are what a follower needs. VersionTime is how long a version may
	// take from when this process hears of it, EarlierVersionTime how long where it was
	// named before the process began. RoutesChanged is called with each new table, VersionAnnounced
	// after a version was named.
	Dependencies struct {
		Feed               platform.Feed
		Table              string
		Wait               time.Duration
		Settle             time.Duration
		VersionTime        time.Duration
		EarlierVersionTime time.Duration
		Decode             func(rows map[string]platform.Row) DesiredState
		RoutesChanged      func(table routes.Table)
		VersionAnnounced   func()
		Logger             *zap.Logger
		Scope              tally.Scope
	}

	// Follower keeps the newest wishes. Its reads are safe for concurrent use.
	Follower struct {
		Dependencies
		table   atomic.Pointer[routes.Table]
		targets atomic.Pointer[placements.VersionTargets]
		// mutex guards changes; reads take the pointers.
		mutex sync.Mutex
		began bool
	}
)

// New returns a follower that knows nothing yet.
func New(given Dependencies) *Follower {
	follower := &Follower{Dependencies: given}
	follower.table.Store(&routes.Table{})
	follower.targets.Store(&placements.VersionTargets{})
	return follower
}

// Routes returns the routing table in force, empty before the first one.
func (follower *Follower) Routes() routes.Table { return *follower.table.Load() }

// Targets returns the named versions.
func (follower *Follower) Targets() placements.VersionTargets { return *follower.targets.Load() }

// Run follows the operator's table until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	platform.Watch{
		Feed: follower.Feed, Table: follower.Table, Wait: follower.Wait, Settle: platform.Fixed(follower.Settle),
		Logger: follower.Logger, Scope: follower.Scope, Update: func(view platform.View) { follower.take(view, time.Now()) },
	}.Run(ctx)
}

func (follower *Follower) take(view platform.View, now time.Time) {
	wishes := follower.Decode(view.Rows)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	view.LogUnread(follower.Logger, wishes.Problems)
	if wishes.HasConfiguration && wishes.Configuration.Version > follower.Routes().Version() {
		follower.force(wishes.Configuration, view.Revision)
	}
	follower.name(wishes.Versions, now)
	follower.began = true
}

// force puts a configuration in force. An older one never comes back.
func (follower *Follower) force(configuration routes.Configuration, revision int64) {
	table := routes.New(configuration)
	follower.table.Store(&table)
	follower.RoutesChanged(table)
	follower.Scope.Gauge("configuration_version").Update(float64(configuration.Version))
	follower.Scope.Gauge("configuration_taken_at_seconds").Update(float64(time.Now().Unix()))
	follower.Logger.Info("configuration in force", zap.Int64("version", configuration.Version), zap.Int64("revision", revision))
}

func (follower *Follower) name(versions []ModelVersion, now time.Time) {
	targets := follower.Targets()
	isNewer := false
	for _, version := range versions {
		if targets.Newest(version.Model) >= version.Version {
			continue
		}
		named := placements.VersionTarget{Version: version.Version, NamedAt: now, Due: now.Add(follower.VersionTime)}
		if !follower.began {
			named.NamedAt, named.Due = time.Time{}, now.Add(follower.EarlierVersionTime)
		}
		targets = targets.With(version.Model, named)
		isNewer = true
		follower.Scope.Tagged(map[string]string{"model": version.Model}).Gauge("version_named").Update(float64(version.Version))
		follower.Logger.Info("version named", zap.String("model", version.Model), zap.Int("version", version.Version),
			zap.Int64("revision", version.Revision), zap.Bool("before_start", !follower.began), zap.Duration("due_in", named.Due.Sub(now)))
	}
	follower.targets.Store(&targets)
	if isNewer {
		follower.VersionAnnounced()
	}
}
