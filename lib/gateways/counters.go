package gateways

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// counters are the metrics of a gateway. Label values come from fixed sets.
type counters struct {
	scope   tally.Scope
	wait    tally.Histogram
	first   tally.Histogram
	running tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	// From 5 ms to about 10 s, which covers targets and deadlines of callers.
	const least, factor, count = 5 * time.Millisecond, 1.6, 17
	buckets := tally.MustMakeExponentialDurationBuckets(least, factor, count)
	return counters{
		scope:   scope,
		wait:    scope.Histogram("wait_for_place", buckets),
		first:   scope.Histogram("first_event", buckets),
		running: scope.Gauge("running"),
	}
}

// ended counts an answer to a caller, and why it is ours where it is.
func (counters counters) ended(status int, reason string) {
	counters.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "reason": reason}).Counter("requests").Inc(1)
}

// attempt counts how a request ended at a server.
func (counters counters) attempt(outcome result) {
	counters.scope.Tagged(map[string]string{"outcome": outcomeName(outcome)}).Counter("attempts").Inc(1)
}

func outcomeName(outcome result) string {
	switch outcome.(type) {
	case delivered:
		return "delivered"
	case notSent:
		return "not_sent"
	case notRun:
		return "not_run"
	case broken:
		return "broken"
	case failed:
		return "failed"
	case left:
		return "caller_left"
	default:
		return "unknown"
	}
}
