// Package placements decides which backend server a request goes to, how long
// it may wait for a place, and when it is refused instead.
//
// Entries share no queue: each sees its own requests at once and all others
// through the reports of the agents, which are some ten milliseconds old. A
// server takes as many requests as it has slots and a small allowance, so that
// it never idles and hardly ever turns a request away. Waiting at the entry
// instead of at the server leaves every place open to the most urgent request.
package placements

import (
	"slices"
	"time"
)

const (
	// distanceCost is what another data centre counts in the choice, in requests:
	// its bytes are priced and its delay is a few milliseconds, which matters less
	// than one request more at the server.
	distanceCost = 0.6
	// slownessCost is what a reply time of twice the fleet's usual one counts in
	// the choice, in requests.
	slownessCost = 2.0
	// slowReplies is how many times the usual reply time a server may take before
	// it counts as slow.
	slowReplies = 2
	// changeTime is what a server that is about to change its version counts in the
	// choice for a stream that was broken off by such a change.
	changeTime = 200 * time.Millisecond
	// unknownWait is the part of the target that a request may wait while no reply
	// time is known.
	unknownWait = 0.5
	// replySpread covers most replies that take longer than the mean.
	replySpread = 1.4
	// leastWait lets a request wait for a place that becomes free at once.
	leastWait = 20 * time.Millisecond
	// lapseGrace is how long a server stays in use that the platform's list lost
	// while the store was away: servers that live are listed again by then.
	lapseGrace = 1800 * time.Millisecond
)

type (
	// Requirements is what a request asks of a server. MinVersion is zero where any
	// version will do. Tried names the servers that have had the request. Tokens is
	// the length of its prompt. FirstEventBy is when its first event is due; Late is set
	// where that can't be kept any more. Resumed is set for a stream that has begun.
	Requirements struct {
		Service      string
		Model        string
		MinVersion   int
		Tokens       int
		FirstEventBy time.Time
		Late         bool
		Resumed      bool
		Tried        []string
	}

	// Choice is a server for a request. Predicted is the time to its first
	// event, zero where that is not known.
	Choice struct {
		Server    Server
		Predicted time.Duration
	}

	// ChangeKind tells what became of a server.
	ChangeKind int

	// Change is a server that joined the fleet, drains or is gone.
	Change struct {
		Server Server
		Kind   ChangeKind
	}

	// Fleet is what an entry knows of all backend servers. It is not safe for
	// concurrent use.
	Fleet struct {
		dataCentre string
		engines    map[string]EngineProfile
		standings  map[string]ServerState
		byService  map[string][]string
		lapsing    map[string]time.Time
	}
)

// What became of a server.
const (
	// Joined servers are new on the list.
	Joined ChangeKind = iota
	// Draining means that the server takes no new requests.
	Draining
	// Removed servers are no longer listed.
	Removed
)

// NewFleet returns the fleet of an entry in the data centre.
func NewFleet(dataCentre string) *Fleet {
	return &Fleet{
		dataCentre: dataCentre,
		standings:  map[string]ServerState{},
		byService:  map[string][]string{},
		lapsing:    map[string]time.Time{},
	}
}

// UpdateServers takes the platform's list of servers and returns what changed. Resumed is
// when the store last came back from an outage. Servers that are missing are
// dropped, at once or when the grace after an outage has passed.
func (fleet *Fleet) UpdateServers(servers []Server, resumed, now time.Time) []Change {
	var changes []Change
	listed := map[string]bool{}
	for _, server := range servers {
		listed[server.ID] = true
		known, isKnown := fleet.standings[server.ID]
		switch {
		case !isKnown:
			changes = append(changes, Change{Server: server, Kind: Joined})
		case server.Draining && !known.Server.Draining:
			changes = append(changes, Change{Server: server, Kind: Draining})
		}
		delete(fleet.lapsing, server.ID)
		fleet.standings[server.ID] = fleet.standings[server.ID].WithServer(server)
	}
	for id, standing := range fleet.standings {
		if listed[id] {
			continue
		}
		keepUntil := resumed.Add(lapseGrace)
		if now.Before(keepUntil) && !standing.Server.Draining {
			fleet.lapsing[id] = keepUntil
			continue
		}
		changes = append(changes, Change{Server: standing.Server, Kind: Removed})
		delete(fleet.standings, id)
	}
	fleet.index()
	return changes
}

// SetEngineProfiles takes the figures of the engines by service.
func (fleet *Fleet) SetEngineProfiles(engines map[string]EngineProfile) { fleet.engines = engines }

// Expire drops the servers whose grace has passed and returns them.
func (fleet *Fleet) Expire(now time.Time) []Change {
	var changes []Change
	for id, keepUntil := range fleet.lapsing {
		if now.Before(keepUntil) {
			continue
		}
		changes = append(changes, Change{Server: fleet.standings[id].Server, Kind: Removed})
		delete(fleet.lapsing, id)
		delete(fleet.standings, id)
		fleet.index()
	}
	return changes
}

func (fleet *Fleet) index() {
	fleet.byService = map[string][]string{}
	for id, standing := range fleet.standings {
		fleet.byService[standing.Server.Service] = append(fleet.byService[standing.Server.Service], id)
	}
	for _, ids := range fleet.byService {
		// The same history has to give the same decisions.
		slices.Sort(ids)
	}
}

// ApplyReport takes the report of an agent.
func (fleet *Fleet) ApplyReport(report Report, now time.Time) {
	if standing, known := fleet.standings[report.Server]; known {
		fleet.standings[report.Server] = standing.WithReport(report, now)
	}
}

// RecordStart records that a request with so many prompt tokens is sent to the server.
func (fleet *Fleet) RecordStart(id string, tokens int) {
	if standing, known := fleet.standings[id]; known {
		fleet.standings[id] = standing.WithStart(tokens)
	}
}

// RecordAnswer records that the server began to answer a request, or never will.
func (fleet *Fleet) RecordAnswer(id string, tokens int) {
	if standing, known := fleet.standings[id]; known {
		fleet.standings[id] = standing.WithAnswer(tokens)
	}
}

// RecordReplyTime records the time to the first event of a request.
func (fleet *Fleet) RecordReplyTime(id string, after time.Duration) {
	if standing, known := fleet.standings[id]; known {
		fleet.standings[id] = standing.WithReply(after)
	}
}

// RecordEnd records that a request ended at the server.
func (fleet *Fleet) RecordEnd(id string, outcome Outcome, now time.Time) {
	if standing, known := fleet.standings[id]; known {
		fleet.standings[id] = standing.WithEnd(outcome, now)
	}
}

// Choose returns the server with the least expected wait that has room, with the
// predicted time to its first event where that is known, or false. Chance is
// between 0 (included) and 1 (excluded) and decides between equals, so that
// entries that see the same reports do not all choose the same.
func (fleet *Fleet) Choose(need Requirements, allowance int, now time.Time, chance func() float64) (Choice, bool) {
	usual := fleet.usualReply(need.Service)
	newest := 0
	if need.Resumed {
		newest = fleet.newest(need, now)
	}
	var best Choice
	bestCost, found := 0.0, false
	for _, id := range fleet.byService[need.Service] {
		standing := fleet.standings[id]
		obstacle, first := fleet.obstacle(standing, need, allowance, now)
		if obstacle != noObstacle {
			continue
		}
		var cost float64
		if first > 0 {
			expected := first
			if need.Resumed && isOlder(standing, need.Model, newest, now) {
				expected += changeTime
			}
			cost = (expected + fleet.distance(standing) + excess(standing, usual)).Seconds() + chance()*closeCosts.Seconds()
		} else {
			cost = fleet.cost(standing, usual, now) + chance()
		}
		if !found || cost < bestCost {
			best, bestCost, found = Choice{Server: standing.Server.WithVersions(standing.versions(now)), Predicted: first}, cost, true
		}
	}
	return best, found
}

// first predicts when an engine answers the request, and whether that is in time.
// A request that is late already gets only an engine that hardly anything waits
// at.
func (fleet *Fleet) first(engine EngineProfile, standing ServerState, need Requirements, now time.Time) (time.Duration, bool) {
	pending := standing.pending(now)
	first := engine.PredictFirstEvent(pending, need.Tokens, standing.load(now)+1-standing.Server.Slots)
	if need.Late {
		return first, pending <= lateTokens
	}
	return first, need.FirstEventBy.IsZero() || pending == 0 || !now.Add(first).After(need.FirstEventBy)
}

// newest returns the newest version of the model that a server of the service
// serves.
func (fleet *Fleet) newest(need Requirements, now time.Time) int {
	version := 0
	for _, id := range fleet.byService[need.Service] {
		version = max(version, fleet.standings[id].versions(now)[need.Model])
	}
	return version
}

// isOlder reports whether the server is about to change its version, which would
// break a stream off a second time.
func isOlder(standing ServerState, model string, newest int, now time.Time) bool {
	return standing.versions(now)[model] < newest
}

func (fleet *Fleet) distance(standing ServerState) time.Duration {
	if standing.Server.DataCentre != fleet.dataCentre {
		return distanceTime
	}
	return 0
}

// excess is how much longer than usual a server takes of late, which the
// published figures do not tell of a slow one.
func excess(standing ServerState, usual time.Duration) time.Duration {
	return max(0, standing.replyTime-slowReplies*usual)
}

// cost weighs a server in requests that wait before a new one.
func (fleet *Fleet) cost(standing ServerState, usual time.Duration, now time.Time) float64 {
	cost := float64(standing.load(now))
	if standing.Server.DataCentre != fleet.dataCentre {
		cost += distanceCost
	}
	if usual > 0 && standing.replyTime > usual {
		cost += slownessCost * (float64(standing.replyTime)/float64(usual) - 1)
	}
	return cost
}

// MaxWait returns how long a request with this target may wait for a place at
// the service and still be answered in time, by how long servers took of late.
func (fleet *Fleet) MaxWait(service string, target time.Duration) time.Duration {
	usual := fleet.usualReply(service)
	if usual == 0 {
		return time.Duration(unknownWait * float64(target))
	}
	return max(leastWait, target-time.Duration(replySpread*float64(usual)))
}

// usualReply returns the mean smoothed reply time of a service.
func (fleet *Fleet) usualReply(service string) time.Duration {
	var sum time.Duration
	count := 0
	for _, id := range fleet.byService[service] {
		if reply := fleet.standings[id].replyTime; reply > 0 {
			sum += reply
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}
