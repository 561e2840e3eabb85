package burns

import (
	"cmp"
	"slices"
	"time"

	"firford/lib/configurations"
)

// Values of Row.State.
const (
	// StateWithinBudget: errors come slower than the budget allows.
	StateWithinBudget State = "kept"
	// StateBurning: in the short window errors come faster than the budget allows.
	StateBurning State = "burning"
	// StateExhausted: the budget of the long window is used up.
	StateExhausted State = "exhausted"
)

const (
	// latencyTarget is the share of events within a latency bound that the fleet
	// promises: 95 of 100.
	latencyTarget = 0.95
	// A row names this many of the causes that use up its budget.
	maxCauses = 3
)

type (
	// State is one of the State constants.
	State string

	// Report is the burn report. Missing names the entries whose counts could not
	// be read, or are as old as their last summary.
	Report struct {
		At      time.Time `json:"at"`
		Rows    []Row     `json:"rows"`
		Missing []string  `json:"missing"`
		Budgets []Budget  `json:"budgets"`
	}

	// Row is one objective of a deployment, for all its organisations together if
	// Organisation is empty. A burn rate of 1 uses up the budget exactly by the end
	// of the long window. BudgetLeft is a share of the budget and may be negative.
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

	// Cause is the share of a row's bad events that one organisation and reason
	// (late, not_run or unknown) bring about.
	Cause struct {
		Organisation string  `json:"organisation"`
		Reason       string  `json:"reason"`
		Share        float64 `json:"share"`
	}

	// Budget is how the error budget of a whole deployment went. RemainingByHour is the share
	// that was left after each hour of the long window, the oldest first.
	Budget struct {
		Deployment      string    `json:"deployment"`
		Objective       Objective `json:"objective"`
		RemainingByHour []float64 `json:"left"`
	}
)

// NewReport returns the burn rates of all series that have an objective in the
// snapshot: first each deployment as a whole, then its organisations.
func NewReport(counts Counts, snapshot configurations.Snapshot, now time.Time) Report {
	summary := Report{At: now.UTC().Truncate(time.Second), Rows: []Row{}, Missing: []string{}, Budgets: []Budget{}}
	whole := Counts{}
	for series, cells := range counts {
		total := Series{Deployment: series.Deployment, Objective: series.Objective}
		whole = Merge(whole, Counts{total: cells})
	}
	for _, total := range whole.sortedSeries() {
		deployment, _, found := configurations.Lookup[configurations.Deployment](snapshot, total.Deployment)
		target := targetOf(deployment.Objectives, total.Objective)
		if !found || target <= 0 || target >= 1 {
			continue
		}
		summary.Budgets = append(summary.Budgets, Budget{
			Deployment: total.Deployment, Objective: total.Objective, RemainingByHour: budgetLeft(whole[total], target, EpochMinute(now)),
		})
		parts := partsOf(counts, total)
		summary.Rows = append(summary.Rows, newRow(total, whole[total], parts, target, EpochMinute(now)))
		for _, series := range parts.sortedSeries() {
			if series.Organisation != "" {
				own := Counts{series: parts[series]}
				summary.Rows = append(summary.Rows, newRow(series, parts[series], own, target, EpochMinute(now)))
			}
		}
	}
	return summary
}

// WithMissing returns the summary with the names of entries that are missing.
func (summary Report) WithMissing(names []string) Report {
	summary.Missing = append([]string{}, names...)
	return summary
}

func partsOf(counts Counts, total Series) Counts {
	parts := Counts{}
	for series, cells := range counts {
		if series.Deployment == total.Deployment && series.Objective == total.Objective {
			parts[series] = cells
		}
	}
	return parts
}

// targetOf returns the share of good events that an objective asks for, or zero
// if the deployment does not have the objective.
func targetOf(objectives configurations.Objectives, objective Objective) float64 {
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

func newRow(series Series, cells Buckets, parts Counts, target float64, now int64) Row {
	short, long := cells.within(now, ShortWindowMinutes), cells.within(now, LongWindowMinutes)
	row := Row{
		Deployment: series.Deployment, Organisation: series.Organisation, Objective: series.Objective, Target: target,
		ShortTotal: short.Total(), ShortBad: short.Bad(), LongTotal: long.Total(), LongBad: long.Bad(),
		ShortRate: burnRate(short, target), LongRate: burnRate(long, target),
		State: StateWithinBudget, Causes: causes(parts, now),
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

// burnRate returns how many times as fast as allowed the bad events come.
func burnRate(count Count, target float64) float64 {
	if count.Total() == 0 {
		return 0
	}
	return float64(count.Bad()) / float64(count.Total()) / (1 - target)
}

// causes returns what brings about the bad events of the long window, the
// largest first.
func causes(parts Counts, now int64) []Cause {
	list := []Cause{}
	var all int64
	for _, series := range parts.sortedSeries() {
		count := parts[series].within(now, LongWindowMinutes)
		all += count.Bad()
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
		list[index].Share /= float64(all)
	}
	return list
}
