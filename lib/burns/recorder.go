package burns

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/requests"
)

const (
	// SaveInterval is the time between two summaries in the object store, and so
	// the longest time whose counts are lost with an entry.
	SaveInterval = 5 * time.Minute

	exportInterval = time.Minute
	saveRetryPause = 15 * time.Second
	saveTimeout    = 10 * time.Second
	loadTimeout    = 10 * time.Second
)

// callerFaults are refusals that the caller has brought about. They don't count
// against the service.
var callerFaults = map[string]bool{
	requests.CodeMalformed:           true,
	requests.CodeTooLarge:            true,
	requests.CodeUnauthenticated:     true,
	requests.CodeUnknownOrganisation: true,
	requests.CodeUnknownDeployment:   true,
	requests.CodeLimitReached:        true,
	requests.CodeCancelled:           true,
}

type (
	// Recorder counts the events of one entry. Its methods are safe for concurrent
	// use and take well below a microsecond.
	Recorder struct {
		source configurations.Source
		scope  tally.Scope
		logger *zap.Logger

		mutex  sync.Mutex
		counts Counts
	}
)

// NewRecorder returns a recorder without counts. The source tells the objectives.
func NewRecorder(source configurations.Source, scope tally.Scope, logger *zap.Logger) *Recorder {
	return &Recorder{source: source, scope: scope, logger: logger, counts: Counts{}}
}

// RecordAnswered counts a whole answer, and whether it came by its deadline.
func (recorder *Recorder) RecordAnswered(deployment, organisation string, inTime bool) {
	recorder.add(Series{deployment, organisation, ObjectiveAnswered}, lateUnless(inTime))
}

// RecordNotRun counts a refusal with its code. Refusals that the caller has brought
// about are not counted.
func (recorder *Recorder) RecordNotRun(deployment, organisation, code string) {
	if !callerFaults[code] {
		recorder.add(Series{deployment, organisation, ObjectiveAnswered}, Count{NotRun: 1})
	}
}

// RecordUnknown counts a request of which nobody can tell whether it ran.
func (recorder *Recorder) RecordUnknown(deployment, organisation string) {
	recorder.add(Series{deployment, organisation, ObjectiveAnswered}, Count{Unknown: 1})
}

// RecordFirstToken counts the time from a request's arrival to its first token.
func (recorder *Recorder) RecordFirstToken(deployment, organisation string, took time.Duration) {
	if bound := recorder.objectives(deployment).FirstTokenMS; bound > 0 {
		recorder.add(Series{deployment, organisation, ObjectiveFirstToken}, lateUnless(within(took, bound)))
	}
}

// RecordTokenGap counts the time between two tokens of an answer.
func (recorder *Recorder) RecordTokenGap(deployment, organisation string, took time.Duration) {
	if bound := recorder.objectives(deployment).TokenGapMS; bound > 0 {
		recorder.add(Series{deployment, organisation, ObjectiveTokenGap}, lateUnless(within(took, bound)))
	}
}

// RecordReplicas counts the time until a new version was serving on the replicas that
// were asked for. One entry counts it for each rollout.
func (recorder *Recorder) RecordReplicas(deployment string, took time.Duration) {
	if bound := recorder.objectives(deployment).ReplicasMS; bound > 0 {
		recorder.add(Series{Deployment: deployment, Objective: ObjectiveReplicas}, lateUnless(within(took, bound)))
	}
}

func within(took time.Duration, boundMS int64) bool {
	return took <= time.Duration(boundMS)*time.Millisecond
}

func lateUnless(good bool) Count {
	if good {
		return Count{Good: 1}
	}
	return Count{Late: 1}
}

func (recorder *Recorder) objectives(deployment string) configurations.Objectives {
	found, _, _ := configurations.Lookup[configurations.Deployment](recorder.source.Current(), deployment)
	return found.Objectives
}

func (recorder *Recorder) add(series Series, count Count) {
	minute := EpochMinute(time.Now())
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	cells, known := recorder.counts[series]
	if !known {
		cells = recorder.cellsOf(series)
	}
	cells[minute] = cells[minute].Add(count)
}

// cellsOf returns the cells of a series that has none yet. At the bound it
// counts for all further organisations together; deployments come from the
// configuration and are few.
func (recorder *Recorder) cellsOf(series Series) Buckets {
	if len(recorder.counts) >= MaxSeries {
		series.Organisation = OtherOrganisations
	}
	cells, known := recorder.counts[series]
	if !known {
		cells = Buckets{}
		recorder.counts[series] = cells
	}
	return cells
}

// Counts returns a copy of what has been counted.
func (recorder *Recorder) Counts() Counts {
	now := EpochMinute(time.Now())
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	copied := Counts{}
	for series, cells := range recorder.counts {
		cells.compact(now)
		if len(cells) == 0 {
			delete(recorder.counts, series)
			continue
		}
		copied[series] = maps.Clone(cells)
	}
	return copied
}

// restore adds the counts of an earlier process.
func (recorder *Recorder) restore(counts Counts) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	for series, cells := range counts {
		target, known := recorder.counts[series]
		if !known {
			target = recorder.cellsOf(series)
		}
		for minute, count := range cells {
			target[minute] = target[minute].Add(count)
		}
	}
}

// Run reads the last summary of this entry, then exports burn rates each minute
// and saves a summary every five minutes and at the end.
func (recorder *Recorder) Run(ctx context.Context, archive *Archive) {
	restored := recorder.restoreFrom(ctx, archive)
	saveAt := time.Now().Add(SaveInterval/2 + rand.N(SaveInterval/2))
	ticker := time.NewTicker(saveRetryPause)
	defer ticker.Stop()
	exportAt := time.Now().Add(exportInterval)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		now := time.Now()
		if !restored {
			restored = recorder.restoreFrom(ctx, archive)
		}
		if !now.Before(exportAt) {
			recorder.export()
			exportAt = now.Add(exportInterval)
		}
		if restored && !now.Before(saveAt) && recorder.save(ctx, archive) {
			saveAt = now.Add(SaveInterval)
		}
	}
	if restored {
		recorder.save(context.WithoutCancel(ctx), archive)
	}
}

// restoreFrom reports whether the earlier summary is known. Until it is, nothing
// is saved, because that would replace it.
func (recorder *Recorder) restoreFrom(ctx context.Context, archive *Archive) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	counts, err := archive.Load(ctx)
	if err != nil {
		recorder.logger.Warn("burn counts not read back", zap.Error(err))
		return false
	}
	recorder.restore(counts)
	return true
}

func (recorder *Recorder) save(ctx context.Context, archive *Archive) bool {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := archive.Save(ctx, recorder.Counts()); err != nil {
		recorder.logger.Warn("burn counts not saved", zap.Error(err))
		return false
	}
	return true
}

// export sets the gauges of this entry's share of the traffic, without
// organisations, so that the number of label values stays small.
func (recorder *Recorder) export() {
	summary := NewReport(recorder.Counts(), recorder.source.Current(), time.Now())
	for _, row := range summary.Rows {
		if row.Organisation != "" {
			continue
		}
		scope := recorder.scope.Tagged(map[string]string{"deployment": row.Deployment, "objective": string(row.Objective)})
		scope.Gauge("burn_rate_short").Update(row.ShortRate)
		scope.Gauge("burn_rate_long").Update(row.LongRate)
		scope.Gauge("budget_left").Update(row.BudgetLeft)
	}
}
