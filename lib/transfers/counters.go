package transfers

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

type (
	// counters keeps totals both for Counts and for the process's metrics.
	counters struct {
		origin, peer, served, wrong, duplicates, refused, broken *counter
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
	named := func(name string) *counter { return &counter{metric: scope.Counter("transfer_" + name)} }
	return counters{
		origin:     named("origin_bytes"),
		peer:       named("peer_bytes"),
		served:     named("served_bytes"),
		wrong:      named("wrong_chunks"),
		duplicates: named("duplicate_chunks"),
		refused:    named("refused_requests"),
		broken:     named("broken_requests"),
	}
}

func (counter *counter) add(count int64) {
	counter.total.Add(count)
	counter.metric.Inc(count)
}

func (all counters) read() Counts {
	return Counts{
		OriginBytes:       all.origin.total.Load(),
		PeerBytes:         all.peer.total.Load(),
		ServedBytes:       all.served.total.Load(),
		WrongChunks:       all.wrong.total.Load(),
		DuplicateRequests: all.duplicates.total.Load(),
		RefusedRequests:   all.refused.total.Load(),
		BrokenRequests:    all.broken.total.Load(),
	}
}
