package demands

// This file estimates how long a request waits while more urgent ones keep arriving.

import (
	"math"
	"time"

	"firford/lib/routes"
)

const (
	// rateMemory is the time over which starts by rank are counted. Bursts last some
	// seconds.
	rateMemory = time.Second
	// maxExpectedWait stands for every longer wait. Bursts last some seconds, so that later
	// waits can't be told from present rates.
	maxExpectedWait = 5 * time.Second
)

// rankDemand is the starts of one rank. They decay by rateMemory.
type rankDemand struct {
	rank   routes.Rank
	starts count
}

// StartsBefore returns the recent starts a second of requests that are more urgent than the
// rank. Their arrivals would say too much: those that are refused take no capacity.
func (demand Demand) StartsBefore(rank routes.Rank, now time.Time) float64 {
	sum := 0.0
	for _, each := range demand.ranks {
		if each.rank.Compare(rank) < 0 {
			sum += each.starts.at(now, rateMemory)
		}
	}
	return sum / rateMemory.Seconds()
}

// ExpectedWait returns how long a request of the rank waits with this many others ahead of
// it, at a rate of starts a second of all ranks: more urgent ones go on taking the part of
// the capacity that they took just now.
func (demand Demand) ExpectedWait(rank routes.Rank, ahead int, startsPerS float64, now time.Time) time.Duration {
	left := startsPerS - demand.StartsBefore(rank, now)
	seconds := float64(ahead+1) / left
	if left <= 0 || seconds > maxExpectedWait.Seconds() {
		return maxExpectedWait
	}
	return time.Duration(math.Round(seconds * float64(time.Second)))
}
