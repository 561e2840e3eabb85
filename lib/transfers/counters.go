package transfers

// Each total is kept twice: as a number that Counts returns and as a metric of
// the process.

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

type (
	// counters are the totals of a node. They are safe for concurrent use.
	counters struct {
		originBytes, peerBytes, servedBytes, wrongChunks, duplicateRequests, refusedRequests, brokenRequests *counter
	}

	counter struct {
		total  atomic.Int64
		metric tally.Counter
	}
)

func newCounters(scope tally.Scope) counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	newCounter := func(name string) *counter { return &counter{metric: scope.Counter("transfer_" + name)} }
	return counters{
		originBytes:       newCounter("origin_bytes"),
		peerBytes:         newCounter("peer_bytes"),
		servedBytes:       newCounter("served_bytes"),
		wrongChunks:       newCounter("wrong_chunks"),
		duplicateRequests: newCounter("duplicate_chunks"),
		refusedRequests:   newCounter("refused_requests"),
		brokenRequests:    newCounter("broken_requests"),
	}
}

func (counter *counter) add(count int64) {
	counter.total.Add(count)
	counter.metric.Inc(count)
}

func (counters counters) snapshot() Counts {
	return Counts{
		OriginBytes:       counters.originBytes.total.Load(),
		PeerBytes:         counters.peerBytes.total.Load(),
		ServedBytes:       counters.servedBytes.total.Load(),
		WrongChunks:       counters.wrongChunks.total.Load(),
		DuplicateRequests: counters.duplicateRequests.total.Load(),
		RefusedRequests:   counters.refusedRequests.total.Load(),
		BrokenRequests:    counters.brokenRequests.total.Load(),
	}
}
