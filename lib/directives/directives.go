// Package directives follows the operator's table in the store: it tracks the
// configuration in force and the announced model versions. Entries and agents
// share it, so that both derive the same state from the same rows.
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
	// ModelVersion is a version of a model that the operator announced, with the
	// revision of its row.
	ModelVersion struct {
		Model    string
		Version  int
		Revision int64
	}

	// DesiredState is the decoded content of the operator's table. HasConfiguration
	// is false if the table has no configuration. Evacuations are the data centres that rows
	// ask to evacuate. DecodeErrors has an error for each
	// row that could not be decoded.
	DesiredState struct {
		Configuration    routes.Configuration
		HasConfiguration bool
		Versions         []ModelVersion
		Evacuations      []string
		DecodeErrors     []error
	}

	// Dependencies are the dependencies of a follower. PollWait is how long a poll of
	// the table waits for changes, and PollPause returns the pause between two polls. See
	// platform.Watcher for BytesPerS, MaxTransferPause, RestorePause and Reachability.
	// VersionTimeout is the time within which a version must be in use, counted from
	// when a process first saw it, and EarlierVersionTimeout the longest time for a version
	// that was announced before this process started, counted from its first view.
	// RoutesChanged is called with each new routing table, and VersionAnnounced after newer
	// versions or earlier times for them were recorded. EvacuationsChanged is called with the
	// evacuated data centres whenever they change, the position of the store that they are
	// known from and how this process learned of it. It is nil in a process that reads only a
	// part of the table.
	Dependencies struct {
		Feed                  platform.Feed
		Table                 string
		PollWait              time.Duration
		PollPause             func() time.Duration
		BytesPerS             int
		MaxTransferPause      time.Duration
		RestorePause          time.Duration
		Reachability          *platform.Reachability
		VersionTimeout        time.Duration
		EarlierVersionTimeout time.Duration
		Decode                func(rows map[string]platform.Row) DesiredState
		RoutesChanged         func(table routes.Table)
		VersionAnnounced      func()
		EvacuationsChanged    func(dataCentres []string, position platform.Position, heardBy string)
		Logger                *zap.Logger
		Scope                 tally.Scope
	}

	// Follower keeps the newest configuration and versions that it has seen. It never
	// goes back to older ones. Its reads are safe for concurrent use.
	Follower struct {
		Dependencies
		table       atomic.Pointer[routes.Table]
		targets     atomic.Pointer[placements.VersionTargets]
		evacuations atomic.Pointer[evacuationRecord]
		// mutex serialises updates; readers only load the pointers. loaded is set after
		// the first view of the table.
		mutex  sync.Mutex
		loaded bool
	}
)

// New returns a follower without a configuration and without versions.
func New(dependencies Dependencies) *Follower {
	follower := &Follower{Dependencies: dependencies}
	follower.table.Store(&routes.Table{})
	follower.targets.Store(&placements.VersionTargets{})
	follower.evacuations.Store(&evacuationRecord{})
	return follower
}

// Routes returns the routing table in force, which is empty before the first
// configuration.
func (follower *Follower) Routes() routes.Table { return *follower.table.Load() }

// Targets returns the announced versions.
func (follower *Follower) Targets() placements.VersionTargets { return *follower.targets.Load() }

// Run follows the operator's table until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	platform.Watcher{
		Feed: follower.Feed, Table: follower.Table, PollWait: follower.PollWait, PollPause: follower.PollPause,
		BytesPerS: follower.BytesPerS, MaxTransferPause: follower.MaxTransferPause, RestorePause: follower.RestorePause, Reachability: follower.Reachability,
		Logger: follower.Logger, Scope: follower.Scope, OnUpdate: func(view platform.View) { follower.applyView(view, time.Now()) },
	}.Run(ctx)
}

// applyView applies the configuration and the versions of a view of the table.
func (follower *Follower) applyView(view platform.View, now time.Time) {
	desired := follower.Decode(view.Rows)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	view.LogDecodeErrors(follower.Logger, desired.DecodeErrors)
	// Before the first configuration, with which requests begin.
	follower.applyEvacuationRows(desired.Evacuations, view.Position, now)
	if desired.HasConfiguration && desired.Configuration.Version > follower.Routes().Version() {
		follower.applyConfiguration(desired.Configuration, view.Revision)
	}
	follower.recordVersions(desired.Versions, now, view.UnreadSince)
	follower.loaded = true
}

// applyConfiguration puts a configuration in force. Callers make sure that it is
// newer than the present one.
func (follower *Follower) applyConfiguration(configuration routes.Configuration, revision int64) {
	table := routes.New(configuration)
	follower.table.Store(&table)
	follower.RoutesChanged(table)
	follower.Scope.Gauge("configuration_version").Update(float64(configuration.Version))
	follower.Scope.Gauge("configuration_taken_at_seconds").Update(float64(time.Now().Unix()))
	follower.Logger.Info("configuration in force", zap.Int64("version", configuration.Version), zap.Int64("revision", revision))
}

// recordVersions adds the versions that are newer than the known ones to the
// targets. Versions that arrive before or with the first view were announced before
// the process started, at an unknown time. The others may have been announced from
// unreadSince on, which is zero if that is unknown, and their time counts from then.
func (follower *Follower) recordVersions(versions []ModelVersion, now, unreadSince time.Time) {
	targets := follower.Targets()
	isChanged := false
	for _, version := range versions {
		read := follower.targetRead(version.Version, now, unreadSince)
		known, isKnown := targets.Find(version.Model, version.Version)
		switch {
		case isKnown && !unreadSince.IsZero() && read.Due.Before(known.Due):
			follower.logEarlier(version.Model, version.Version, known.Due.Sub(read.Due), read.Due.Sub(now), zap.Duration("unread_for", now.Sub(unreadSince)))
		case targets.Newest(version.Model) < version.Version:
			follower.logNamed(version, read, now, unreadSince)
		default:
			continue
		}
		targets = targets.With(version.Model, read)
		isChanged = true
	}
	if isChanged {
		follower.setTargets(targets)
	}
}

// targetRead returns the target for a version that was read from the table or announced by
// an entry.
func (follower *Follower) targetRead(version int, now, unreadSince time.Time) placements.VersionTarget {
	if !follower.loaded {
		return placements.VersionTarget{Version: version, Due: now.Add(follower.EarlierVersionTimeout), BeforeStart: true}
	}
	from := now
	if !unreadSince.IsZero() {
		from = unreadSince
	}
	return placements.VersionTarget{Version: version, AnnouncedAt: now, Due: from.Add(follower.VersionTimeout)}
}

// setTargets replaces the announced versions and tells the process of it.
func (follower *Follower) setTargets(targets placements.VersionTargets) {
	follower.targets.Store(&targets)
	for _, model := range targets.Models() {
		follower.Scope.Tagged(map[string]string{"model": model}).Gauge("version_named").Update(float64(targets.Newest(model)))
	}
	follower.VersionAnnounced()
}

// logNamed logs a version that was read from the table or announced by an entry.
func (follower *Follower) logNamed(version ModelVersion, announced placements.VersionTarget, now, unreadSince time.Time) {
	fields := []zap.Field{
		zap.String("model", version.Model), zap.Int("version", version.Version), zap.Int64("revision", version.Revision),
		zap.Bool("before_start", announced.BeforeStart), zap.Duration("due_in", announced.Due.Sub(now)),
	}
	if !unreadSince.IsZero() {
		fields = append(fields, zap.Duration("unread_for", now.Sub(unreadSince)))
	}
	follower.Logger.Info("version named", fields...)
}
