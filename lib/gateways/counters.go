package gateways

import (
	"context"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// measureInterval is as long as the interval of the metrics.
const measureInterval = time.Second

// counters are the metrics of a gateway. Label values come from fixed sets.
type counters struct {
	scope   tally.Scope
	wait    tally.Histogram
	first   tally.Histogram
	early   tally.Histogram
	late    tally.Histogram
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
		early:   scope.Histogram("first_event_before_prediction", buckets),
		late:    scope.Histogram("first_event_after_prediction", buckets),
		running: scope.Gauge("running"),
	}
}

// ended counts the end of a request, and why it is ours where it is. The status
// is zero where the connection ended without an answer.
func (counters counters) ended(status int, reason reason) {
	counters.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "reason": string(reason)}).Counter("requests").Inc(1)
}

// sampledOut counts lines on requests that went well and were not written.
func (counters counters) sampledOut() { counters.scope.Counter("log_lines_sampled_out").Inc(1) }

// predicted records how far the first event was from its prediction.
func (counters counters) predicted(after, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	counters.early.RecordDuration(max(0, predicted-after))
	counters.late.RecordDuration(max(0, after-predicted))
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

// ReportMetrics keeps gauges of each service until the context ends: its servers by what
// keeps a plain request from them, the requests that wait, and the retries left.
// Services are those of the configuration.
func (gateway *Gateway) ReportMetrics(ctx context.Context) {
	for tick := time.NewTicker(measureInterval); ; {
		for _, service := range gateway.Table().ServiceNames() {
			gateway.measure(service)
		}
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}

func (gateway *Gateway) measure(service string) {
	scope := gateway.Scope.Tagged(map[string]string{"service": service})
	now := gateway.Queue.occupancy(service)
	scope.Gauge("waiting").Update(float64(now.Waiting))
	scope.Gauge("retries_left").Update(now.RetriesLeft)
	for state, count := range map[string]int{"usable": now.Candidates.Usable, "closed": now.Candidates.Closed, "full": now.Candidates.Full} {
		scope.Tagged(map[string]string{"state": state}).Gauge("servers").Update(float64(count))
	}
}
