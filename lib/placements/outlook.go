package placements

// Why a server gets no request. A refusal logs the counts, so that its cause can
// be read from the log alone: servers that are away, that serve an old version,
// that are full, or that would answer too late.

import (
	"slices"
	"time"
)

type (
	// CandidateCounts counts the servers of a service by what keeps a request from them.
	// Usable ones could have taken it.
	CandidateCounts struct {
		Usable   int
		Closed   int
		Tried    int
		Outdated int
		Full     int
		Slow     int
	}

	// obstacle is what keeps a request from a server.
	obstacle int
)

const (
	noObstacle obstacle = iota
	// isAway means that the server is closed, draining or failing.
	isAway
	// wasTried means that the server has had the request.
	wasTried
	// isOutdated means that the server does not serve a version that may begin one.
	isOutdated
	// isFull means that the server has no place free.
	isFull
	// isSlow means that the server would answer too late.
	isSlow
)

// CountCandidates returns why the servers of the service do not get the request.
func (fleet *Fleet) CountCandidates(need Requirements, allowance int, now time.Time) CandidateCounts {
	var outlook CandidateCounts
	for _, id := range fleet.byService[need.Service] {
		obstacle, _ := fleet.obstacle(fleet.standings[id], need, allowance, now)
		switch obstacle {
		case noObstacle:
			outlook.Usable++
		case isAway:
			outlook.Closed++
		case wasTried:
			outlook.Tried++
		case isOutdated:
			outlook.Outdated++
		case isFull:
			outlook.Full++
		case isSlow:
			outlook.Slow++
		}
	}
	return outlook
}

// Servers returns how many servers were counted.
func (outlook CandidateCounts) Servers() int {
	return outlook.Usable + outlook.Closed + outlook.Tried + outlook.Outdated + outlook.Full + outlook.Slow
}

// obstacle returns what keeps the request from the server, and the predicted time
// to its first event, zero for plain services.
func (fleet *Fleet) obstacle(standing ServerState, need Requirements, allowance int, now time.Time) (obstacle, time.Duration) {
	switch {
	case standing.isClosed(now):
		return isAway, 0
	case slices.Contains(need.Tried, standing.Server.ID):
		return wasTried, 0
	case !standing.holds(need, now):
		return isOutdated, 0
	case standing.room(allowance, now) <= 0:
		return isFull, 0
	}
	engine, isEngine := fleet.engines[need.Service]
	if !isEngine || need.Model == "" {
		return noObstacle, 0
	}
	first, inTime := fleet.first(engine, standing, need, now)
	if !inTime {
		return isSlow, first
	}
	return noObstacle, first
}

// holds reports whether the server serves a version that may begin the request.
func (standing ServerState) holds(need Requirements, now time.Time) bool {
	if need.Model == "" {
		return true
	}
	version, held := standing.versions(now)[need.Model]
	return held && version >= need.MinVersion
}
