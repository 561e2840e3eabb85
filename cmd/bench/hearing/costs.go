package hearing

// This file computes the results from counts and times.

import (
	"slices"
	"time"
)

// headerBytes are the IPv4 and UDP headers of a datagram.
const headerBytes = 28

type (
	// counts are the datagrams of a process and their payloads. Dropped datagrams are sent
	// and not received.
	counts struct {
		sent, sentBytes, received, receivedBytes int64
		largestBytes                             int64
	}

	// cost is the mean cost of a process. Bytes include the headers.
	cost struct {
		sentPerS, sentBytesPerS, receivedPerS, receivedBytesPerS float64
		largestBytes                                             int64
	}

	roleCosts struct{ entry, agent cost }

	fleetSize struct{ entries, agents int }

	// heardTimes are the times until the last entry has heard a notice. missed counts the
	// notices that some entry has not heard at all.
	heardTimes struct {
		all    []time.Duration
		missed int
	}
)

// since returns the counts after the earlier ones were read. The largest datagram is that
// of the whole time.
func (counts counts) since(earlier counts) counts {
	counts.sent -= earlier.sent
	counts.sentBytes -= earlier.sentBytes
	counts.received -= earlier.received
	counts.receivedBytes -= earlier.receivedBytes
	return counts
}

func (counts counts) plus(other counts) counts {
	counts.sent += other.sent
	counts.sentBytes += other.sentBytes
	counts.received += other.received
	counts.receivedBytes += other.receivedBytes
	counts.largestBytes = max(counts.largestBytes, other.largestBytes)
	return counts
}

// costOf returns the mean cost of the processes whose counts these are.
func costOf(processes []counts, elapsed time.Duration) cost {
	sum := counts{}
	for _, each := range processes {
		sum = sum.plus(each)
	}
	perProcess := func(number int64) float64 { return float64(number) / float64(len(processes)) / elapsed.Seconds() }
	return cost{
		sentPerS: perProcess(sum.sent), sentBytesPerS: perProcess(sum.sentBytes + headerBytes*sum.sent),
		receivedPerS: perProcess(sum.received), receivedBytesPerS: perProcess(sum.receivedBytes + headerBytes*sum.received),
		largestBytes: sum.largestBytes,
	}
}

func (cost cost) bytesPerS() float64 { return cost.sentBytesPerS + cost.receivedBytesPerS }

// scaledTo returns the costs in a fleet of another size, in which the same number of
// servers states something: each process exchanges as much with each of its peers.
func (costs roleCosts) scaledTo(from, to fleetSize) roleCosts {
	return roleCosts{
		entry: costs.entry.times(float64(to.agents) / float64(from.agents)),
		agent: costs.agent.times(float64(to.entries) / float64(from.entries)),
	}
}

func (cost cost) times(factor float64) cost {
	cost.sentPerS *= factor
	cost.sentBytesPerS *= factor
	cost.receivedPerS *= factor
	cost.receivedBytesPerS *= factor
	return cost
}

// with returns the times with one more notice.
func (times heardTimes) with(after time.Duration, isHeard bool) heardTimes {
	if !isHeard {
		times.missed++
		return times
	}
	times.all = append(slices.Clone(times.all), after)
	return times
}

// median returns the mean of the two middle times if their number is even.
func (times heardTimes) median() time.Duration {
	sorted := slices.Sorted(slices.Values(times.all))
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}

func (times heardTimes) worst() time.Duration { return slices.Max(times.all) }
