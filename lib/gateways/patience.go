package gateways

// How long a request may wait, and how long its caller does.

import (
	"time"

	"firford/lib/placements"
	"firford/lib/routes"
)

const (
	// Callers give a stream up when nothing has come for the longest of a time, of
	// so many targets and of so many pauses, as the platform says of them.
	abandonTime    = 2 * time.Second
	abandonTargets = 4
	abandonPauses  = 8
	// defaultTarget stands in for routes that name none.
	defaultTarget = 500 * time.Millisecond
)

func (request *request) target() time.Duration {
	if request.match.Route.Target > 0 {
		return request.match.Route.Target
	}
	return defaultTarget
}

// startBy returns by when the request has to be placed. Late is set where it
// can't meet its target any more.
func (request *request) startBy() (startBy time.Time, late bool) {
	return request.gateway.Queue.startBy(placements.Urgency{
		Arrived: request.asked, FirstEventTarget: request.target(), EventGap: request.pause(), Deadline: request.deadline,
		Streaming: request.streaming, Attempted: request.sent > 0,
	}, request.service)
}

// pause returns the longest pause between events that is still on time.
func (request *request) pause() time.Duration {
	if request.match.Route.EventGap > 0 {
		return request.match.Route.EventGap
	}
	return request.target()
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// isAbandoned reports whether the caller has given the stream up by now, since
// nothing has come for so long. A caller behind a partition can't tell that it has
// left, and its request must not run once more when the partition ends.
func (request *request) isAbandoned(now time.Time) bool {
	if request.match.Route.RetryMode != routes.Stream {
		return false
	}
	quiet := max(abandonTime, abandonTargets*request.target(), abandonPauses*request.match.Route.EventGap)
	return now.After(request.heard.Add(quiet))
}
