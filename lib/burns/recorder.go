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
	// SaveInterval is the time between two saves of a summary, and so the longest
	// time for which counts are lost if an entry crashes.
	SaveInterval = 5 * time.Minute

	exportInterval = time.Minute
	// tickInterval is also the delay before a failed load or save is retried.
	tickInterval = 15 * time.Second
	saveTimeout  = 10 * time.Second
	loadTimeout  = 10 * time.Second
)

// callerErrorCodes holds the codes of refusals that the caller caused. They don't
// count against the error budget.
var callerErrorCodes = map[string]bool{
	requests.CodeMalformed:           true,
	requests.CodeTooLarge:            true,
	requests.CodeUnauthenticated:     true,
	requests.CodeUnknownOrganisation: true,
	requests.CodeUnknownDeployment:   true,
	requests.CodeLimitReached:        true,
	requests.CodeCancelled:           true,
}

type (
	// Recorder counts the events of one entry. It is safe for concurrent use, and
	// recording an event takes well below a microsecond.
	Recorder struct {
		source configurations.Source
		scope  tally.Scope
		logger *zap.Logger

		mutex  sync.Mutex
		counts Counts
	}
)

// NewRecorder returns a recorder without counts. The source provides the
// deployments' objectives.
func NewRecorder(source configurations.Source, scope tally.Scope, logger *zap.Logger) *Recorder {
	return &Recorder{source: source, scope: scope, logger: logger, counts: Counts{}}
}

// RecordAnswered counts a complete answer, as late if it missed its deadline.
func (recorder *Recorder) RecordAnswered(deployment, organisation string, inTime bool) {
	recorder.addCount(Series{deployment, organisation, ObjectiveAnswered}, goodOrLate(inTime))
}

// RecordNotRun counts a request that was refused with the code. Refusals that the
// caller caused are not counted.
func (recorder *Recorder) RecordNotRun(deployment, organisation, code string) {
	if !callerErrorCodes[code] {
		recorder.addCount(Series{deployment, organisation, ObjectiveAnswered}, Count{NotRun: 1})
	}
}

// RecordUnknown counts a request for which it is unknown whether it ran.
func (recorder *Recorder) RecordUnknown(deployment, organisation string) {
	recorder.addCount(Series{deployment, organisation, ObjectiveAnswered}, Count{Unknown: 1})
}

// RecordFirstToken counts the time from a request's arrival to its first token as
// good or late, if the deployment has an objective for it.
func (recorder *Recorder) RecordFirstToken(deployment, organisation string, elapsed time.Duration) {
	if bound := recorder.objectives(deployment).FirstTokenMS; bound > 0 {
		recorder.addCount(Series{deployment, organisation, ObjectiveFirstToken}, goodOrLate(withinBound(elapsed, bound)))
	}
}

// RecordTokenGap counts the time between two tokens of an answer as good or late,
// if the deployment has an objective for it.
func (recorder *Recorder) RecordTokenGap(deployment, organisation string, elapsed time.Duration) {
	if bound := recorder.objectives(deployment).TokenGapMS; bound > 0 {
		recorder.addCount(Series{deployment, organisation, ObjectiveTokenGap}, goodOrLate(withinBound(elapsed, bound)))
	}
}

// RecordReplicas counts the time until a new version was serving on the requested
// replicas as good or late, if the deployment has an objective for it. For each
// rollout, only one entry calls it.
func (recorder *Recorder) RecordReplicas(deployment string, elapsed time.Duration) {
	if bound := recorder.objectives(deployment).ReplicasMS; bound > 0 {
		recorder.addCount(Series{Deployment: deployment, Objective: ObjectiveReplicas}, goodOrLate(withinBound(elapsed, bound)))
	}
}

func withinBound(elapsed time.Duration, boundMS int64) bool {
	return elapsed <= time.Duration(boundMS)*time.Millisecond
}

func goodOrLate(inTime bool) Count {
	if inTime {
		return Count{Good: 1}
	}
	return Count{Late: 1}
}

func (recorder *Recorder) objectives(deployment string) configurations.Objectives {
	found, _, _ := configurations.Lookup[configurations.Deployment](recorder.source.Current(), deployment)
	return found.Objectives
}

func (recorder *Recorder) addCount(series Series, count Count) {
	minute := EpochMinute(time.Now())
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	buckets, known := recorder.counts[series]
	if !known {
		buckets = recorder.bucketsFor(series)
	}
	buckets[minute] = buckets[minute].Add(count)
}

// bucketsFor returns the buckets for a series that is not counted yet. Beyond
// MaxSeries it returns those of OtherOrganisations. The number of deployments needs
// no limit, because they come from the configuration and are few. The mutex must be
// held.
func (recorder *Recorder) bucketsFor(series Series) Buckets {
	if len(recorder.counts) >= MaxSeries {
		series.Organisation = OtherOrganisations
	}
	buckets, known := recorder.counts[series]
	if !known {
		buckets = Buckets{}
		recorder.counts[series] = buckets
	}
	return buckets
}

// Counts returns a copy of the current counts, after compacting them.
func (recorder *Recorder) Counts() Counts {
	now := EpochMinute(time.Now())
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	copied := Counts{}
	for series, buckets := range recorder.counts {
		buckets.compact(now)
		if len(buckets) == 0 {
			delete(recorder.counts, series)
			continue
		}
		copied[series] = maps.Clone(buckets)
	}
	return copied
}

// restore adds the counts that an earlier process of this entry saved.
func (recorder *Recorder) restore(counts Counts) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	for series, buckets := range counts {
		target, known := recorder.counts[series]
		if !known {
			target = recorder.bucketsFor(series)
		}
		for minute, count := range buckets {
			target[minute] = target[minute].Add(count)
		}
	}
}

// Run restores the last summary of this entry. Until the context is cancelled it
// exports burn rates each minute and saves a summary every five minutes; it saves
// another one at the end.
func (recorder *Recorder) Run(ctx context.Context, archive *Archive) {
	restored := recorder.restoreSummary(ctx, archive)
	saveAt := time.Now().Add(SaveInterval/2 + rand.N(SaveInterval/2))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	exportAt := time.Now().Add(exportInterval)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		now := time.Now()
		if !restored {
			restored = recorder.restoreSummary(ctx, archive)
		}
		if !now.Before(exportAt) {
			recorder.exportGauges()
			exportAt = now.Add(exportInterval)
		}
		if restored && !now.Before(saveAt) && recorder.saveSummary(ctx, archive) {
			saveAt = now.Add(SaveInterval)
		}
	}
	if restored {
		recorder.saveSummary(context.WithoutCancel(ctx), archive)
	}
}

// restoreSummary loads the last summary and reports whether that succeeded. Until
// it does, no summary is saved, because that would overwrite the last one.
func (recorder *Recorder) restoreSummary(ctx context.Context, archive *Archive) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	counts, err := archive.Load(ctx)
	if err != nil {
		recorder.logger.Warn("failed to load burn counts", zap.Error(err))
		return false
	}
	recorder.restore(counts)
	return true
}

// saveSummary reports whether the summary was saved.
func (recorder *Recorder) saveSummary(ctx context.Context, archive *Archive) bool {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := archive.Save(ctx, recorder.Counts()); err != nil {
		recorder.logger.Warn("failed to save burn counts", zap.Error(err))
		return false
	}
	return true
}

// exportGauges exports the burn rates of this entry's share of the traffic. They
// are not split by organisation, to keep the number of label values small.
func (recorder *Recorder) exportGauges() {
	report := NewReport(recorder.Counts(), recorder.source.Current(), time.Now())
	for _, row := range report.Rows {
		if row.Organisation != "" {
			continue
		}
		scope := recorder.scope.Tagged(map[string]string{"deployment": row.Deployment, "objective": string(row.Objective)})
		scope.Gauge("burn_rate_short").Update(row.ShortRate)
		scope.Gauge("burn_rate_long").Update(row.LongRate)
		scope.Gauge("budget_left").Update(row.BudgetLeft)
	}
}
