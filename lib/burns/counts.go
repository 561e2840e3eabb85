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
	// ShortWindowMinutes is the shorter span that burn rates are given for, in minutes.
	ShortWindowMinutes = 60
	// LongWindowMinutes is the longer one, in minutes. The error budget is that of it.
	LongWindowMinutes = 3 * 24 * 60

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

	// Buckets are the counts of a series by minute since the epoch; older ones are
	// added up under the first minute of their hour.
	Buckets map[int64]Count

	// Counts are the cells of all series.
	Counts map[Series]Buckets
)

// EpochMinute returns the minute since the epoch.
func EpochMinute(now time.Time) int64 {
	return now.Unix() / 60
}

// Add returns the sum of both.
func (count Count) Add(other Count) Count {
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
func (cells Buckets) compact(now int64) {
	for minute, count := range cells {
		switch {
		case minute <= now-LongWindowMinutes-hour:
			delete(cells, minute)
		case minute <= now-minutesKept && minute%hour != 0:
			delete(cells, minute)
			cells[minute-minute%hour] = cells[minute-minute%hour].Add(count)
		}
	}
}

// within returns the sum over the window of minutes that ends now.
func (cells Buckets) within(now, window int64) Count {
	var sum Count
	for minute, count := range cells {
		if minute > now-window && minute <= now {
			sum = sum.Add(count)
		}
	}
	return sum
}

// ForDeployment returns the counts of one deployment.
func (counts Counts) ForDeployment(deployment string) Counts {
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
				merged[series] = Buckets{}
			}
			for minute, count := range cells {
				merged[series][minute] = merged[series][minute].Add(count)
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
