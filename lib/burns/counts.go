// Package burns reports how fast each deployment and organisation uses up the error
// budget of its service-level objectives, and what causes the errors.
//
// Events are counted by minute as good or bad. Latency histograms were rejected:
// an objective only asks whether an event was within its bound, and counts of good
// events can be merged between entries without loss.
package burns

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Objectives whose events are counted.
const (
	ObjectiveAnswered   Objective = "answered"
	ObjectiveFirstToken Objective = "first_token"
	ObjectiveTokenGap   Objective = "token_gap"
	ObjectiveReplicas   Objective = "replicas"
)

const (
	// ShortWindowMinutes is the length of the shorter window of burn rates.
	ShortWindowMinutes = 60
	// LongWindowMinutes is the length of the longer window of burn rates, and the
	// period of the error budget.
	LongWindowMinutes = 3 * 24 * 60

	// Buckets older than hourlyAfterMinutes are merged by hour. It exceeds the short
	// window by an hour, so that entries whose clocks differ still have the whole
	// short window by minute.
	hourlyAfterMinutes = 2 * 60
	minutesPerHour     = 60

	// MaxSeries limits the memory: with about 200 buckets of 40 bytes for each
	// series, an entry needs less than 9 MB. Further organisations are counted
	// together.
	MaxSeries = 1024
	// OtherOrganisations is the name under which the organisations beyond MaxSeries
	// are counted.
	OtherOrganisations = "(others)"
)

type (
	// Objective is a service-level objective, one of the Objective constants.
	Objective string

	// Series identifies what is counted. ObjectiveReplicas has no organisation.
	Series struct {
		Deployment   string    `json:"deployment"`
		Organisation string    `json:"organisation,omitempty"`
		Objective    Objective `json:"objective"`
	}

	// Count is the number of good events in a time span, and of bad events by cause:
	// Late, NotRun and Unknown.
	Count struct {
		Good    int64
		Late    int64
		NotRun  int64
		Unknown int64
	}

	// Buckets holds the counts of a series by minute since the epoch. Older buckets
	// cover an hour and are stored under its first minute.
	Buckets map[int64]Count

	// Counts holds the buckets of all series.
	Counts map[Series]Buckets
)

// EpochMinute returns the time in whole minutes since the Unix epoch.
func EpochMinute(now time.Time) int64 {
	return now.Unix() / 60
}

// Add returns the sum of the two counts.
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

// compact merges old buckets by hour and deletes those that are older than the long
// window.
func (buckets Buckets) compact(now int64) {
	for minute, count := range buckets {
		switch {
		case minute <= now-LongWindowMinutes-minutesPerHour:
			delete(buckets, minute)
		case minute <= now-hourlyAfterMinutes && minute%minutesPerHour != 0:
			delete(buckets, minute)
			buckets[minute-minute%minutesPerHour] = buckets[minute-minute%minutesPerHour].Add(count)
		}
	}
}

// sumWindow returns the sum over the last window minutes up to now.
func (buckets Buckets) sumWindow(now, window int64) Count {
	var sum Count
	for minute, count := range buckets {
		if minute > now-window && minute <= now {
			sum = sum.Add(count)
		}
	}
	return sum
}

// ForDeployment returns the counts of one deployment.
func (counts Counts) ForDeployment(deployment string) Counts {
	selected := Counts{}
	for series, buckets := range counts {
		if series.Deployment == deployment {
			selected[series] = buckets
		}
	}
	return selected
}

// Merge returns the sum of the counts of several entries.
func Merge(all ...Counts) Counts {
	merged := Counts{}
	for _, counts := range all {
		for series, buckets := range counts {
			if merged[series] == nil {
				merged[series] = Buckets{}
			}
			for minute, count := range buckets {
				merged[series][minute] = merged[series][minute].Add(count)
			}
		}
	}
	return merged
}

// sortedSeries returns the series in the order of compareSeries.
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
