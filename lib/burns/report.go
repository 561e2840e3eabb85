package burns

import (
	"cmp"
	"slices"
	"time"

	"firford/lib/configurations"
)

// Values of Row.State.
const (
	// StateWithinBudget means that errors occur no faster than the budget allows.
	StateWithinBudget State = "kept"
	// StateBurning means that errors in the short window occur faster than the
	// budget allows.
	StateBurning State = "burning"
	// StateExhausted means that the budget of the long window is used up.
	StateExhausted State = "exhausted"
)

const (
	// latencyTarget is the share of events that the fleet promises to keep within a
	// latency bound: 95 of 100.
	latencyTarget = 0.95
	// maxCauses is the number of causes that a row lists.
	maxCauses = 3
)

type (
	// State is the state of an error budget, one of the State constants.
	State string

	// Report is the burn report of one or more deployments. Missing lists the
	// entries whose counts are missing or are as old as their last summary.
	Report struct {
		At      time.Time `json:"at"`
		Rows    []Row     `json:"rows"`
		Missing []string  `json:"missing"`
		Budgets []Budget  `json:"budgets"`
	}

	// Row reports on one objective of a deployment, for all organisations together
	// if Organisation is empty. A burn rate of 1 uses up the error budget exactly by
	// the end of the long window. BudgetLeft is the remaining share of the budget
	// and may be negative.
	Row struct {
		Deployment   string    `json:"deployment"`
		Organisation string    `json:"organisation"`
		Objective    Objective `json:"objective"`
		Target       float64   `json:"target"`
		ShortTotal   int64     `json:"short_total"`
		ShortBad     int64     `json:"short_bad"`
		LongTotal    int64     `json:"long_total"`
		LongBad      int64     `json:"long_bad"`
		ShortRate    float64   `json:"short_rate"`
		LongRate     float64   `json:"long_rate"`
		BudgetLeft   float64   `json:"budget_left"`
		State        State     `json:"state"`
		Causes       []Cause   `json:"causes"`
	}

	// Cause is the share of a row's bad events that belong to one organisation and
	// reason (late, not_run or unknown).
	Cause struct {
		Organisation string  `json:"organisation"`
		Reason       string  `json:"reason"`
		Share        float64 `json:"share"`
	}

	// Budget is the history of a deployment's error budget for one objective.
	// RemainingByHour is the share that remained after each hour of the long window,
	// oldest first.
	Budget struct {
		Deployment      string    `json:"deployment"`
		Objective       Objective `json:"objective"`
		RemainingByHour []float64 `json:"left"`
	}
)

// NewReport computes the burn rates of all series that have an objective in the
// snapshot. For each deployment and objective, the row of the whole deployment comes
// before those of its organisations.
func NewReport(counts Counts, snapshot configurations.Snapshot, now time.Time) Report {
	report := Report{At: now.UTC().Truncate(time.Second), Rows: []Row{}, Missing: []string{}, Budgets: []Budget{}}
	totals := Counts{}
	for series, buckets := range counts {
		total := Series{Deployment: series.Deployment, Objective: series.Objective}
		totals = Merge(totals, Counts{total: buckets})
	}
	for _, total := range totals.sortedSeries() {
		deployment, _, found := configurations.Lookup[configurations.Deployment](snapshot, total.Deployment)
		target := objectiveTarget(deployment.Objectives, total.Objective)
		if !found || target <= 0 || target >= 1 {
			continue
		}
		report.Budgets = append(report.Budgets, Budget{
			Deployment: total.Deployment, Objective: total.Objective, RemainingByHour: budgetLeft(totals[total], target, EpochMinute(now)),
		})
		contributors := selectSeries(counts, total)
		report.Rows = append(report.Rows, newRow(total, totals[total], contributors, target, EpochMinute(now)))
		for _, series := range contributors.sortedSeries() {
			if series.Organisation != "" {
				single := Counts{series: contributors[series]}
				report.Rows = append(report.Rows, newRow(series, contributors[series], single, target, EpochMinute(now)))
			}
		}
	}
	return report
}

// WithMissing returns a copy of the report that lists the entries as missing.
func (report Report) WithMissing(names []string) Report {
	report.Missing = append([]string{}, names...)
	return report
}

// selectSeries returns the series of one deployment and objective.
func selectSeries(counts Counts, total Series) Counts {
	contributors := Counts{}
	for series, buckets := range counts {
		if series.Deployment == total.Deployment && series.Objective == total.Objective {
			contributors[series] = buckets
		}
	}
	return contributors
}

// objectiveTarget returns the share of good events that the objective requires, or
// zero if the deployment does not have the objective.
func objectiveTarget(objectives configurations.Objectives, objective Objective) float64 {
	bound := int64(0)
	switch objective {
	case ObjectiveAnswered:
		return objectives.AnsweredShare
	case ObjectiveFirstToken:
		bound = objectives.FirstTokenMS
	case ObjectiveTokenGap:
		bound = objectives.TokenGapMS
	case ObjectiveReplicas:
		bound = objectives.ReplicasMS
	default:
	}
	if bound > 0 {
		return latencyTarget
	}
	return 0
}

// newRow computes a row from the buckets. Its causes are those of the contributors.
func newRow(series Series, buckets Buckets, contributors Counts, target float64, now int64) Row {
	short, long := buckets.sumWindow(now, ShortWindowMinutes), buckets.sumWindow(now, LongWindowMinutes)
	row := Row{
		Deployment: series.Deployment, Organisation: series.Organisation, Objective: series.Objective, Target: target,
		ShortTotal: short.Total(), ShortBad: short.Bad(), LongTotal: long.Total(), LongBad: long.Bad(),
		ShortRate: burnRate(short, target), LongRate: burnRate(long, target),
		State: StateWithinBudget, Causes: topCauses(contributors, now),
	}
	row.BudgetLeft = 1 - row.LongRate
	switch {
	case row.BudgetLeft <= 0:
		row.State = StateExhausted
	case row.ShortRate > 1:
		row.State = StateBurning
	}
	return row
}

// burnRate returns the ratio of the actual to the allowed share of bad events, or
// zero without events.
func burnRate(count Count, target float64) float64 {
	if count.Total() == 0 {
		return 0
	}
	return float64(count.Bad()) / float64(count.Total()) / (1 - target)
}

// topCauses returns the most frequent causes of the bad events in the long window,
// largest share first.
func topCauses(contributors Counts, now int64) []Cause {
	list := []Cause{}
	var totalBad int64
	for _, series := range contributors.sortedSeries() {
		count := contributors[series].sumWindow(now, LongWindowMinutes)
		totalBad += count.Bad()
		reasons := []struct {
			name  string
			count int64
		}{{"late", count.Late}, {"not_run", count.NotRun}, {"unknown", count.Unknown}}
		for _, reason := range reasons {
			if reason.count > 0 {
				list = append(list, Cause{Organisation: series.Organisation, Reason: reason.name, Share: float64(reason.count)})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b Cause) int { return cmp.Compare(b.Share, a.Share) })
	list = list[:min(maxCauses, len(list))]
	for index := range list {
		list[index].Share /= float64(totalBad)
	}
	return list
}
