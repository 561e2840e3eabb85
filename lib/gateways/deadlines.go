package gateways

// This file computes the time limits of a request: by when it has to be placed, and
// after how long a silence its caller gives up.

import (
	"time"

	"firford/lib/placements"
	"firford/lib/routes"
)

const (
	// The platform states when callers give up on a stream: when they have received
	// nothing for abandonTime, for abandonTargets targets of the route or for
	// abandonGaps event gaps of the route, whichever is longest.
	abandonTime    = 2 * time.Second
	abandonTargets = 4
	abandonGaps    = 8
	// defaultTarget is used for routes that configure no target.
	defaultTarget = 500 * time.Millisecond
)

func (request *request) target() time.Duration {
	if request.match.Route.FirstEventTarget > 0 {
		return request.match.Route.FirstEventTarget
	}
	return defaultTarget
}

// placementDeadline returns by when the request has to be placed. Late is set if
// the request can no longer meet its target.
func (request *request) placementDeadline() (startBy time.Time, late bool) {
	return request.gateway.Queue.placementDeadline(placements.Urgency{
		FirstArrivedAt: request.firstArrivedAt, FirstEventTarget: request.target(), EventGap: request.maxEventGap(), Deadline: request.deadline,
		Tokens: request.info.PromptTokens, Resumed: request.streaming, Attempted: request.sentCount > 0, Refused: request.refusal != nil,
	}, request.service)
}

// maxEventGap returns the longest gap between events that still counts as on time.
func (request *request) maxEventGap() time.Duration {
	if request.match.Route.EventGap > 0 {
		return request.match.Route.EventGap
	}
	return request.target()
}

// callerGaveUp reports whether the caller must have given up on the stream because
// it has received nothing for so long. A caller behind a network partition can't
// report that it gave up, and its request must not run again after the partition.
func (request *request) callerGaveUp(now time.Time) bool {
	if request.match.Route.RetryMode != routes.Stream {
		return false
	}
	return now.After(request.abandonedAt())
}

// abandonedAt returns when the caller gives up on the stream if it receives nothing.
func (request *request) abandonedAt() time.Time {
	return request.lastDeliveredAt.Add(max(abandonTime, abandonTargets*request.target(), abandonGaps*request.match.Route.EventGap))
}

// silentFor returns how long the caller has received nothing.
func (request *request) silentFor(now time.Time) time.Duration {
	return now.Sub(request.lastDeliveredAt)
}
