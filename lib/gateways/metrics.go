package gateways

// This file holds the metrics of a gateway. Their names and label values are part of
// the interface to operators.

import (
	"context"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// gaugeInterval equals the interval at which metrics are reported.
	gaugeInterval = time.Second
	// maxRankLabel is the highest label of a rank.
	maxRankLabel = 9

	// The events that are counted by rank: requests of callers, reservations, refusals, and
	// answers that began after the target.
	rankedArrived = "arrived"
	rankedStarted = "started"
	rankedRefused = "refused"
	rankedLate    = "late"
)

// gatewayMetrics holds the metrics of a gateway. Label values come from fixed sets,
// which bounds the number of time series.
type gatewayMetrics struct {
	scope            tally.Scope
	placementWait    tally.Histogram
	firstEvent       tally.Histogram
	beforePrediction tally.Histogram
	afterPrediction  tally.Histogram
	inFlight         tally.Gauge
}

func newGatewayMetrics(scope tally.Scope) gatewayMetrics {
	// The buckets range from 5 ms to about 10 s, which covers the targets and
	// deadlines of callers.
	const smallest, factor, count = 5 * time.Millisecond, 1.6, 17
	buckets := tally.MustMakeExponentialDurationBuckets(smallest, factor, count)
	return gatewayMetrics{
		scope:            scope,
		placementWait:    scope.Histogram("wait_for_place", buckets),
		firstEvent:       scope.Histogram("first_event", buckets),
		beforePrediction: scope.Histogram("first_event_before_prediction", buckets),
		afterPrediction:  scope.Histogram("first_event_after_prediction", buckets),
		inFlight:         scope.Gauge("running"),
	}
}

// countEnd counts the end of a request. The reason is empty if a server's answer
// was relayed. The status is zero if the connection ended without an answer.
func (metrics gatewayMetrics) countEnd(status int, reason reason) {
	metrics.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "reason": string(reason)}).Counter("requests").Inc(1)
}

// countRanked counts an event of requests by the rank of their route. Ranks beyond the
// highest label share one, which bounds the number of time series.
func (metrics gatewayMetrics) countRanked(event string, rank int) {
	label := strconv.Itoa(min(max(0, rank), maxRankLabel))
	metrics.scope.Tagged(map[string]string{"rank": label}).Counter("ranked_" + event).Inc(1)
}

// countSampledOut counts log lines of routine requests that were not written.
func (metrics gatewayMetrics) countSampledOut() {
	metrics.scope.Counter("log_lines_sampled_out").Inc(1)
}

// recordPrediction records how much earlier or later than predicted the first
// event arrived. It records nothing if there was no prediction.
func (metrics gatewayMetrics) recordPrediction(actual, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	metrics.beforePrediction.RecordDuration(max(0, predicted-actual))
	metrics.afterPrediction.RecordDuration(max(0, actual-predicted))
}

// countAttempt counts the result of one attempt at a server.
func (metrics gatewayMetrics) countAttempt(outcome attemptResult) {
	metrics.scope.Tagged(map[string]string{"outcome": outcomeLabel(outcome)}).Counter("attempts").Inc(1)
}

// countUnlistedAttempt counts a request that was placed on a server which is missing
// from the platform's list.
func (metrics gatewayMetrics) countUnlistedAttempt() {
	metrics.scope.Counter("unlisted_attempts").Inc(1)
}

// countLimitedAttempt counts a request that was placed on a server which stated a limit.
func (metrics gatewayMetrics) countLimitedAttempt() {
	metrics.scope.Counter("limited_attempts").Inc(1)
}

// countKeptFromCold counts requests for the service that were kept away from cold servers.
// Deployments without warm-ups have no such counter.
func (metrics gatewayMetrics) countKeptFromCold(service string, number int64) {
	if number > 0 {
		metrics.scope.Tagged(map[string]string{"service": service}).Counter("kept_from_cold").Inc(number)
	}
}

// countCutStream counts a stream that the gateway ended before its last event, although
// its caller was still there.
func (metrics gatewayMetrics) countCutStream() {
	metrics.scope.Counter("streams_cut").Inc(1)
}

// countStatement counts a statement of a server of the kind.
func (metrics gatewayMetrics) countStatement(kind string) {
	metrics.scope.Tagged(map[string]string{"kind": kind}).Counter("server_statements").Inc(1)
}

func outcomeLabel(outcome attemptResult) string {
	switch outcome.(type) {
	case delivered:
		return "delivered"
	case notSent:
		return "not_sent"
	case outOfResources:
		return "out_of_resources"
	case withdrawn:
		return "withdrawn"
	case notRun:
		return "not_run"
	case outcomeUnknown:
		return "broken"
	case serverError:
		return "failed"
	case superseded:
		return "taken_over"
	case quarantined:
		return "quarantined"
	case callerGone:
		return "caller_left"
	default:
		return "unknown"
	}
}

// ReportMetrics updates the gauges of each configured service every second until
// the context ends: the number of servers by whether they can take a request, the
// number of waiting requests, and the retries that are left.
func (gateway *Gateway) ReportMetrics(ctx context.Context) {
	for tick := time.NewTicker(gaugeInterval); ; {
		parts, requests := gateway.Quarantines.Quarantined()
		gateway.Scope.Gauge("quarantined_parts").Update(float64(parts))
		gateway.Scope.Gauge("quarantined_requests").Update(float64(requests))
		for _, service := range gateway.Table().ServiceNames() {
			gateway.reportService(service)
		}
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}

func (gateway *Gateway) reportService(service string) {
	scope := gateway.Scope.Tagged(map[string]string{"service": service})
	status := gateway.Queue.serviceStatus(service)
	scope.Gauge("waiting").Update(float64(status.Waiting))
	gateway.metrics.countKeptFromCold(service, gateway.Queue.takeKeptFromCold(service))
	scope.Gauge("retries_left").Update(status.RetriesLeft)
	if status.StatesPace {
		scope.Gauge("pace_percent").Update(status.Pace.Pace)
		scope.Gauge("slow_servers").Update(float64(status.Pace.Slow))
		scope.Gauge("slot_share_thousandths").Update(status.Pace.Share)
	}
	candidates := status.Candidates
	for state, count := range map[string]int{
		"usable": candidates.Usable, "evacuated": candidates.Evacuated, "leaving": candidates.Leaving, "deferred": candidates.Deferred, "closed": candidates.Closed,
		"full": candidates.Full, "limited": candidates.Limited, "cold": candidates.Cold,
	} {
		scope.Tagged(map[string]string{"state": state}).Gauge("servers").Update(float64(count))
	}
}
