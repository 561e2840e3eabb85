package shares

// This file measures the demand of one entry for one service.

import "time"

const (
	meterWindow  = time.Second
	meterBuckets = 10
	bucketTime   = meterWindow / meterBuckets
)

type (
	// Meter counts the requests of the last second that arrived or that waited before. It is
	// immutable. The zero value has counted nothing.
	Meter struct {
		buckets [meterBuckets]bucket
	}

	// bucket counts the arrivals in one time span, and how many requests waited when it
	// began.
	bucket struct {
		number  int64
		arrived int
		waiting int
	}
)

// WithArrival returns the meter after a request arrived while this many others waited.
func (meter Meter) WithArrival(waiting int, now time.Time) Meter {
	number := bucketNumber(now)
	current := &meter.buckets[number%meterBuckets]
	if current.number != number {
		*current = bucket{number: number, waiting: waiting}
	}
	current.arrived++
	return meter
}

// PerSecond returns the requests that arrived in the last second, and those that waited
// when it began. Requests that wait now count if nothing arrived meanwhile.
func (meter Meter) PerSecond(waiting int, now time.Time) float64 {
	newest := bucketNumber(now)
	oldest := bucket{number: newest, waiting: waiting}
	sum := 0
	for _, each := range meter.buckets {
		if each.number <= newest-meterBuckets || each.number > newest {
			continue
		}
		sum += each.arrived
		if each.arrived > 0 && each.number <= oldest.number {
			oldest = each
		}
	}
	return float64(sum + oldest.waiting)
}

func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(bucketTime) }
