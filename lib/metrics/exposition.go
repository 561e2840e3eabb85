package metrics

// A collector may keep only the first few kilobytes of a scrape. Single values say what
// a process believes at the moment, such as the revision of a table, and take one line
// each, while a histogram takes some twenty. So single values come first, and texts
// that only repeat the name of their metric are left out.

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// newGatherer returns a gatherer of the registry's metrics with the single values in
// front. Within each group the order of the registry stays.
func newGatherer(registry *prometheus.Registry) prometheus.Gatherer {
	return prometheus.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := registry.Gather()
		for _, family := range families {
			if family.GetHelp() == family.GetName()+" "+helpSuffix(family.GetType()) {
				family.Help = nil
			}
		}
		slices.SortStableFunc(families, func(left, right *dto.MetricFamily) int {
			return exposureRank(left.GetType()) - exposureRank(right.GetType())
		})
		return families, err
	})
}

// exposureRank returns the position of a kind of metric: gauges and counters first.
func exposureRank(kind dto.MetricType) int {
	switch kind {
	case dto.MetricType_GAUGE:
		return 0
	case dto.MetricType_COUNTER:
		return 1
	default:
		return 2
	}
}

// helpSuffix returns what the reporter appends to the name of a metric in its help text.
func helpSuffix(kind dto.MetricType) string {
	switch kind {
	case dto.MetricType_GAUGE:
		return "gauge"
	case dto.MetricType_COUNTER:
		return "counter"
	case dto.MetricType_HISTOGRAM:
		return "histogram"
	default:
		return "summary"
	}
}
