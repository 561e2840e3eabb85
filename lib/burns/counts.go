// Package burns tells how fast each deployment and organisation uses up the
// failures that its service-level objectives allow, and what uses them.
//
// Events are counted by minute as good or bad. Keeping latencies as histograms
// was dropped: an objective only asks whether an event was within its bound, and
// a count of good events merges between entries without loss.
package burns

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Objectives that are counted.
const (
	ObjectiveAnswered   Objective = "answered"
	ObjectiveFirstToken Objective = "first_token"
	ObjectiveTokenGap   Objective = "token_gap"
	ObjectiveReplicas   Objective = "replicas"
)

const (
	// ShortWindow is the shorter span that burn rates are given for, in minutes.
	ShortWindow = 60
	// LongWindow is the longer one, in minutes. The error budget is that of it.
	LongWindow = 3 * 24 * 60

	// Minutes older than this are added up by the hour. It exceeds the short window
	// by an hour, so that entries whose clocks differ still agree on it.
	minutesKept = 2 * 60
	hour        = 60

	// MaxSeries bounds memory: with about 200 cells of 40 bytes for each, an entry
	// needs less than 9 MB. Further organisations are counted together.
	MaxSeries = 1024
	// OtherOrganisations counts the organisations beyond the bound.
	OtherOrganisations = "(others)"
)

type (
	// Objective is one of the Objective constants.
	Objective string

	// Series names what is counted. Objectives about replicas have no organisation.
	Series struct {
		Deployment   string    `json:"deployment"`
		Organisation string    `json:"organisation,omitempty"`
		Objective    Objective `json:"objective"`
	}

	// Count holds the events of one span. Late, NotRun and Unknown are the causes
	// of bad events.
	Count struct {
		Good    int64
		Late    int64
		NotRun  int64
		Unknown int64
	}

	// Cells are the counts of a series by minute since the epoch; older ones are
	// added up under the first minute of their hour.
	Cells map[int64]Count

	// Counts are the cells of all series.
	Counts map[Series]Cells
)

// Minute returns the minute since the epoch.
func Minute(now time.Time) int64 {
	return now.Unix() / 60
}

// Plus returns the sum of both.
func (count Count) Plus(other Count) Count {
	return Count{
		Good:    count.Good + other.Good,
		Late:    count.Late + other.Late,
		NotRun:  count.NotRun + other.NotRun,
		Unknown: count.Unknown + other.Unknown,
	}
}

// Bad returns the number of events that missed the objective.
func (count Count) Bad() int64 { return count.Late + count.NotRun + count.Unknown }

// Total returns the number of all events.
func (count Count) Total() int64 { return count.Good + count.Bad() }

// compact adds up old minutes by the hour and drops what has left the long
// window.
func (cells Cells) compact(now int64) {
	for minute, count := range cells {
		switch {
		case minute <= now-LongWindow-hour:
			delete(cells, minute)
		case minute <= now-minutesKept && minute%hour != 0:
			delete(cells, minute)
			cells[minute-minute%hour] = cells[minute-minute%hour].Plus(count)
		}
	}
}

// within returns the sum over the window of minutes that ends now.
func (cells Cells) within(now, window int64) Count {
	var sum Count
	for minute, count := range cells {
		if minute > now-window && minute <= now {
			sum = sum.Plus(count)
		}
	}
	return sum
}

// Of returns the counts of one deployment.
func (counts Counts) Of(deployment string) Counts {
	selected := Counts{}
	for series, cells := range counts {
		if series.Deployment == deployment {
			selected[series] = cells
		}
	}
	return selected
}

// Merge adds the counts of several entries.
func Merge(all ...Counts) Counts {
	merged := Counts{}
	for _, counts := range all {
		for series, cells := range counts {
			if merged[series] == nil {
				merged[series] = Cells{}
			}
			for minute, count := range cells {
				merged[series][minute] = merged[series][minute].Plus(count)
			}
		}
	}
	return merged
}

// sortedSeries returns the series in a fixed order.
func (counts Counts) sortedSeries() []Series {
	return slices.SortedFunc(maps.Keys(counts), compareSeries)
}

func compareSeries(a, b Series) int {
	return cmp.Or(
		cmp.Compare(a.Deployment, b.Deployment),
		cmp.Compare(a.Objective, b.Objective),
		cmp.Compare(a.Organisation, b.Organisation),
	)
}
