// Package placements decides which backend server a request goes to, how long
// it may wait for a reservation, and when it is refused instead.
//
// Entries share no queue: each knows its own requests at once and all others only
// through the reports of the agents, which are some ten milliseconds old. A server
// is given as many requests as it has slots plus a small overcommit, so that it never
// idles and hardly ever rejects a request. Queueing at the entry instead of at the
// server leaves every free slot available to the most urgent request.
package placements

import (
	"slices"
	"time"

	"firford/lib/demands"
	"firford/lib/paces"
	"firford/lib/regions"
	"firford/lib/routes"
)

const (
	// remoteCost is the cost of a server in another data centre, in requests: traffic
	// between data centres is priced, and a delay of a few milliseconds matters less
	// than one more request at the server.
	remoteCost = 0.6
	// slowResponseCost is the cost of a response time of twice the fleet's mean, in
	// requests.
	slowResponseCost = 2.0
	// slowResponseFactor is the multiple of the mean response time above which a server
	// counts as slow.
	slowResponseFactor = 2
	// versionChangeCost is the cost of a server that is about to change its version, for
	// a stream that was interrupted by such a change.
	versionChangeCost = 200 * time.Millisecond
	// comparedServers is the number of random servers from which a request gets the best.
	comparedServers = 2
	// predictionErrorWeight is the weight of the newest response in the smoothed error of
	// predictions, and maxPredictionError its limit.
	predictionErrorWeight = 0.05
	maxPredictionError    = 300 * time.Millisecond
	// defaultWaitShare is the fraction of the target that a request may wait while no
	// response time is known.
	defaultWaitShare = 0.5
	// responseTimeMargin is the factor above the mean that covers most responses.
	responseTimeMargin = 1.4
	// minWait lets a request wait for a slot that is about to become free.
	minWait = 20 * time.Millisecond
)

type (
	// Requirements describe what a request needs of a server. Tried lists the servers
	// that the request was already sent to. Tokens is the length of its prompt.
	// FirstEventBy is the deadline of its first event; Late is set if that can no longer
	// be met. Resumed is set for a stream of which the caller already has events. Kind is
	// zero for a request that was accepted before. BelowFloor is set if requests of the kind
	// or of the organisation are started too rarely, and IdleOnly if those of the kind are
	// started more often than more urgent ones. Regions are those in which the request may be
	// served. Route and Target are the name and the target of the request's route.
	Requirements struct {
		Service      string
		Route        string
		Target       time.Duration
		Model        string
		Tokens       int
		FirstEventBy time.Time
		Late         bool
		Resumed      bool
		BelowFloor   bool
		IdleOnly     bool
		Kind         demands.Kind
		Rank         routes.Rank
		Organisation string
		Regions      regions.Set
		Tried        []string
	}

	// Choice is a server chosen for a request. Predicted is the expected time to its
	// first event, zero if unknown. Unlisted is set for a server that is missing from
	// the platform's list, and Limited for one that stated a limit. UsualTime is the expected
	// time without the pace that the server stated, and PaceFactor that pace.
	Choice struct {
		Server    Server
		Predicted time.Duration
		Unlisted  bool
		Limited   bool

		UsualTime  time.Duration
		PaceFactor float64
	}

	// candidate is a server that can take a request, with the predicted time to its first
	// event, zero if unknown.
	candidate struct {
		state     ServerState
		predicted time.Duration
	}

	// ChangeKind is the kind of a change to a server.
	ChangeKind int

	// Change is a change to a server. KeptUntil is set for missing servers, Cold for cold
	// ones.
	Change struct {
		Server    Server
		Kind      ChangeKind
		KeptUntil time.Time
		Cold      ColdChange
	}

	// Fleet is what an entry knows of all backend servers. It is not safe for
	// concurrent use.
	Fleet struct {
		dataCentre string
		// regions maps data centres to their regions.
		regions     map[string]string
		evacuations evacuations
		profiles    map[string]EngineProfile
		targets     VersionTargets
		// predictionErrors holds, by service, the smoothed time by which first events came
		// later than predicted.
		predictionErrors map[string]time.Duration
		// typical holds, by service, the typical requests of the kinds that use it, none
		// unless their ranks differ.
		typical   map[string][]demands.Typical
		servers   map[string]ServerState
		byService map[string][]string
		// unfinished holds the counts of requests that still run at removed servers. Such a
		// server may be listed again before they end.
		unfinished map[string]ServerState
		// departures holds the servers that left recently. restoredAt is when the store last
		// came back from an older copy, zero if it never did.
		departures map[string]departure
		restoredAt time.Time
		// entries are the entries that the last agent knew that reported.
		entries EntryGroup
		limits  serverLimits
		// availability holds the facts about each server, listed or not, that allow or forbid
		// requests.
		availability map[string]Availability
		// paceUntil holds, by service, until when it counts as one whose servers state their
		// pace.
		paceUntil map[string]time.Time
		cold      coldness
		// paceTrusts holds, by service, whether the paces of its servers improve predictions.
		paceTrusts map[string]paces.ServiceTrust
	}
)

// The kinds of changes.
const (
	// Joined servers are new on the list.
	Joined ChangeKind = iota
	// Draining servers take no new requests.
	Draining
	// Missing servers are no longer listed, but perhaps only because the store was
	// unavailable. They stay in use until Change.KeptUntil.
	Missing
	// Returned servers were missing and are listed again.
	Returned
	// Removed servers are no longer listed.
	Removed
	// Expired servers were missing and are not listed again in time.
	Expired
	// Restarted servers were started again under their id, which ended what they had
	// stated.
	Restarted
	// BecameCold servers take only some requests a second for a time.
	BecameCold
)

// NewFleet returns the fleet of an entry in the data centre.
func NewFleet(dataCentre string) *Fleet {
	return &Fleet{
		dataCentre:       dataCentre,
		servers:          map[string]ServerState{},
		unfinished:       map[string]ServerState{},
		departures:       map[string]departure{},
		limits:           serverLimits{},
		availability:     map[string]Availability{},
		cold:             newColdness(),
		byService:        map[string][]string{},
		paceUntil:        map[string]time.Time{},
		paceTrusts:       map[string]paces.ServiceTrust{},
		predictionErrors: map[string]time.Duration{},
		typical:          map[string][]demands.Typical{},
	}
}

// UpdateServers applies the platform's list of servers and returns what changed. A
// server that is missing from the list stays in use until keepMissingUntil, if that is
// not over yet: in an outage of the store, servers lose their entries and write them
// again afterwards. One whose address another server has now is removed at once.
func (fleet *Fleet) UpdateServers(servers []Server, keepMissingUntil, now time.Time) []Change {
	var changes []Change
	listed, addresses := map[string]bool{}, map[string]bool{}
	for _, server := range fleet.withDepartures(CurrentServers(servers), now) {
		listed[server.ID] = true
		addresses[server.Address] = true
		known, isKnown := fleet.servers[server.ID]
		if !isKnown {
			known = fleet.unfinished[server.ID]
			delete(fleet.unfinished, server.ID)
		}
		switch {
		case !isKnown:
			changes = append(changes, Change{Server: server, Kind: Joined})
		case server.Draining && !known.Server.Draining:
			changes = append(changes, Change{Server: server, Kind: Draining})
		case known.isMissing():
			changes = append(changes, Change{Server: server, Kind: Returned})
		}
		if server.Draining {
			fleet.recordDeparture(server, now)
		} else {
			delete(fleet.departures, server.ID)
		}
		fleet.servers[server.ID] = known.WithServer(server)
		if fleet.setAvailability(server.ID, fleet.availability[server.ID].WithStart(server.StartedUnixMilli), now) {
			changes = append(changes, Change{Server: server, Kind: Restarted})
		}
		fleet.recordRow(server, !isKnown, now)
	}
	for id, state := range fleet.servers {
		if listed[id] {
			continue
		}
		if now.Before(keepMissingUntil) && !state.Server.Draining && !addresses[state.Server.Address] {
			if !state.isMissing() {
				changes = append(changes, Change{Server: state.Server, Kind: Missing, KeptUntil: keepMissingUntil})
			}
			fleet.servers[id] = state.WithoutEntry(keepMissingUntil)
			continue
		}
		changes = append(changes, Change{Server: state.Server, Kind: Removed})
		fleet.remove(state, now)
	}
	fleet.rebuildServiceIndex()
	fleet.cold.isListed = true
	for _, became := range fleet.takeColdChanges() {
		changes = append(changes, Change{Server: fleet.servers[became.Server].Server, Kind: BecameCold, Cold: became})
	}
	return changes
}

// CurrentServers returns the servers without those whose address a newer one has. The
// entry of a server that was lost stays listed until its lease ends, while the server
// that was started in its place is listed already.
func CurrentServers(servers []Server) []Server {
	newest := map[string]Server{}
	for _, server := range servers {
		if known, isKnown := newest[server.Address]; !isKnown || server.Revision > known.Revision {
			newest[server.Address] = server
		}
	}
	current := make([]Server, 0, len(newest))
	for _, server := range servers {
		if newest[server.Address].ID == server.ID {
			current = append(current, server)
		}
	}
	return current
}

// SetEngineProfiles replaces the engine profiles, which are keyed by service.
func (fleet *Fleet) SetEngineProfiles(profiles map[string]EngineProfile) { fleet.profiles = profiles }

// SetVersionTargets replaces the announced versions.
func (fleet *Fleet) SetVersionTargets(targets VersionTargets) { fleet.targets = targets }

// Expire removes the missing servers that are no longer in use and returns them.
func (fleet *Fleet) Expire(now time.Time) []Change {
	fleet.recordPresence(now)
	fleet.forgetAvailability(now)
	fleet.forgetWarmups(now)
	var changes []Change
	for _, state := range fleet.servers {
		if !state.isMissing() || now.Before(state.keptUntil) {
			continue
		}
		changes = append(changes, Change{Server: state.Server, Kind: Expired})
		fleet.remove(state, now)
	}
	if len(changes) > 0 {
		fleet.rebuildServiceIndex()
	}
	return changes
}

// remove removes a server, and remembers that it left and the requests that still run
// there.
func (fleet *Fleet) remove(state ServerState, now time.Time) {
	fleet.recordDeparture(state.Server, now)
	delete(fleet.servers, state.Server.ID)
	fleet.setAvailability(state.Server.ID, fleet.availability[state.Server.ID].WithForgetAt(now.Add(availabilityMemory)), now)
	if state.inFlight > 0 {
		fleet.unfinished[state.Server.ID] = state.unfinished()
	}
}

func (fleet *Fleet) rebuildServiceIndex() {
	fleet.byService = map[string][]string{}
	for id, state := range fleet.servers {
		fleet.byService[state.Server.Service] = append(fleet.byService[state.Server.Service], id)
	}
	for _, ids := range fleet.byService {
		// Sorted, since the same history has to give the same decisions.
		slices.Sort(ids)
	}
}

// ApplyReport applies the report of an agent, and returns what it changes about the
// statements of servers.
func (fleet *Fleet) ApplyReport(report Report, now time.Time) []StatementChange {
	fleet.recordPresence(now)
	var changes []StatementChange
	if state, known := fleet.servers[report.Server]; known {
		fleet.servers[report.Server] = state.WithReport(report, now)
		changes = append(changes, fleet.mergePace(state.Server.Service, report.Pace, now)...)
		if fleet.setAvailability(report.Server, fleet.availability[report.Server].WithStart(report.Incarnation), now) {
			changes = append(changes, RestartChange{Server: report.Server, StartedUnixMilli: report.Incarnation})
		}
	}
	if report.Entries.Count > 0 {
		fleet.entries = report.Entries
		fleet.recordEntries(report.Entries, now)
	}
	changes = append(changes, fleet.mergeLimits(report.Limits, now)...)
	changes = append(changes, fleet.mergeLeaving(report.Leaving, now)...)
	for _, became := range fleet.takeColdChanges() {
		changes = append(changes, became)
	}
	return changes
}

// RecordStart records that a request with this many prompt tokens is sent to the
// server.
func (fleet *Fleet) RecordStart(id string, tokens int, now time.Time) {
	if state, known := fleet.servers[id]; known {
		fleet.servers[id] = state.WithStart(tokens)
	}
	fleet.limits.recordStart(id, now, fleet.entryGroup(id, now))
}

// RecordAnswer records that the server began to answer a request, or never will.
func (fleet *Fleet) RecordAnswer(id string, tokens int) {
	if state, known := fleet.servers[id]; known {
		fleet.servers[id] = state.WithAnswer(tokens)
	} else if state, isUnfinished := fleet.unfinished[id]; isUnfinished {
		fleet.unfinished[id] = state.WithAnswer(tokens).unfinished()
	}
}

// RecordResponseTime records the time to the first event of a request.
func (fleet *Fleet) RecordResponseTime(id string, after time.Duration) {
	if state, known := fleet.servers[id]; known {
		fleet.servers[id] = state.WithResponseTime(after)
	}
}

// RecordPrediction records the predicted and the actual time to the first event of a
// request for the service. Predictions do not see what other entries have sent since
// the last reports, which in an overload is a good part of the wait.
func (fleet *Fleet) RecordPrediction(service string, predicted, actual time.Duration) {
	smoothed := fleet.predictionErrors[service]
	smoothed += time.Duration(predictionErrorWeight * float64(actual-predicted-smoothed))
	fleet.predictionErrors[service] = min(max(smoothed, 0), maxPredictionError)
}

// RecordEnd records that a request ended at the server.
func (fleet *Fleet) RecordEnd(id string, outcome Outcome, now time.Time) {
	if outcome == Rejected {
		fleet.setAvailability(id, fleet.availability[id].WithRejection(now), now)
	}
	if state, known := fleet.servers[id]; known {
		fleet.servers[id] = state.WithEnd(outcome, now)
		return
	}
	state := fleet.unfinished[id].WithEnd(outcome, now).unfinished()
	if state.inFlight <= 0 {
		delete(fleet.unfinished, id)
		return
	}
	fleet.unfinished[id] = state
}

// Choose returns a server that has capacity, with the predicted time to its first event
// if known: the one with the lowest expected wait among a few random ones. It returns
// false if there is none. Entries that compared all servers would choose the same ones
// until the next reports, which show what the others have sent. The random function
// returns values between 0 (included) and 1 (excluded).
func (fleet *Fleet) Choose(requirements Requirements, overcommit int, now time.Time, random func() float64) (Choice, bool) {
	return fleet.chooseAmong(fleet.byService[requirements.Service], requirements, overcommit, now, random)
}

// chooseAmong returns a server as Choose does, among the servers of the service with the
// ids, which are in order.
func (fleet *Fleet) chooseAmong(ids []string, requirements Requirements, overcommit int, now time.Time, random func() float64) (Choice, bool) {
	candidates := fleet.candidates(ids, requirements, overcommit, now)
	meanResponse := fleet.meanResponseTime(requirements.Service)
	newest := 0
	if requirements.Resumed {
		newest = fleet.newestVersion(requirements, now)
	}
	var best Choice
	bestCost, found := 0.0, false
	for i := range min(comparedServers, len(candidates)) {
		other := i + int(random()*float64(len(candidates)-i))
		candidates[i], candidates[other] = candidates[other], candidates[i]
		state, predicted := candidates[i].state, candidates[i].predicted
		var cost float64
		if predicted > 0 {
			expected := predicted
			if requirements.Resumed && changesSoon(state, requirements.Model, newest, now) {
				expected += versionChangeCost
			}
			cost = (expected + fleet.networkDelay(state) + excessResponseTime(state, meanResponse)).Seconds() + random()*tieBreakRange.Seconds()
		} else {
			cost = fleet.loadCost(state, meanResponse, now) + random()
		}
		if !found || cost < bestCost {
			server := state.Server.WithVersions(state.versions(now)).WithStart(fleet.availability[state.Server.ID].startedUnixMilli)
			best, bestCost, found = Choice{Server: server, Predicted: predicted}, cost, true
			best.Unlisted = state.isMissing()
			best.Limited = fleet.limits.isLimited(state.Server.ID, now)
			best.PaceFactor, best.UsualTime = fleet.paceFactor(state, predicted, now)
		}
	}
	return best, found
}

// serversWithRoom returns the ids of the servers of the service, in order, that have
// capacity for any request. In an overload these are few, and no waiting request needs to
// be compared with the others.
func (fleet *Fleet) serversWithRoom(service string, overcommit int, now time.Time) []string {
	var ids []string
	for _, id := range fleet.byService[service] {
		if state := fleet.servers[id]; !state.isUnavailable(now) && state.freeCapacity(overcommit, now) > 0 && fleet.isWithinWarmup(id, now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// candidates returns those of the servers with the ids that can take the request. One that is
// missing from the platform's list has perhaps left, so it is a candidate only if no listed
// one is.
func (fleet *Fleet) candidates(ids []string, requirements Requirements, overcommit int, now time.Time) []candidate {
	list := make([]candidate, 0, len(ids))
	var missing []candidate
	for _, id := range ids {
		state := fleet.servers[id]
		exclusion, predicted := fleet.exclusion(state, requirements, overcommit, now)
		switch {
		case exclusion == cold:
			fleet.cold.exclusions++
		case exclusion != eligible:
		case state.isMissing():
			missing = append(missing, candidate{state: state, predicted: predicted})
		default:
			list = append(list, candidate{state: state, predicted: predicted})
		}
	}
	if len(list) == 0 {
		return missing
	}
	return list
}

// predictFirstEvent predicts when an engine answers the request, and whether that is
// in time. A request that is late already is only in time at an engine with hardly
// any pending prompts.
func (fleet *Fleet) predictFirstEvent(profile EngineProfile, state ServerState, requirements Requirements, now time.Time) (time.Duration, bool) {
	pending := state.pendingTokens(now)
	predicted := profile.PredictFirstEvent(pending, requirements.Tokens, state.load(now)+1-state.Server.Slots)
	predicted = fleet.slowed(state, predicted, now)
	if requirements.Late {
		return predicted, pending <= maxPendingForLate
	}
	expected := now.Add(predicted + fleet.predictionErrors[requirements.Service])
	return predicted, requirements.FirstEventBy.IsZero() || pending == 0 || !expected.After(requirements.FirstEventBy)
}

// newestVersion returns the newest version of the model that any server of the
// service serves.
func (fleet *Fleet) newestVersion(requirements Requirements, now time.Time) int {
	version := 0
	for _, id := range fleet.byService[requirements.Service] {
		version = max(version, fleet.servers[id].versions(now)[requirements.Model])
	}
	return version
}

// changesSoon reports whether the server is about to change its version, which would
// interrupt a stream a second time.
func changesSoon(state ServerState, model string, newest int, now time.Time) bool {
	return state.versions(now)[model] < newest
}

func (fleet *Fleet) networkDelay(state ServerState) time.Duration {
	if state.Server.DataCentre != fleet.dataCentre {
		return remoteDelay
	}
	return 0
}

// excessResponseTime returns how far the server's recent response time exceeds the
// slow threshold. The published parameters do not show that a server is slow.
func excessResponseTime(state ServerState, meanResponse time.Duration) time.Duration {
	return max(0, state.responseTime-slowResponseFactor*meanResponse)
}

// loadCost returns the cost of a server, in requests that wait before a new one.
func (fleet *Fleet) loadCost(state ServerState, meanResponse time.Duration, now time.Time) float64 {
	cost := float64(state.statedLoad(now))
	if state.Server.DataCentre != fleet.dataCentre {
		cost += remoteCost
	}
	if meanResponse > 0 && state.responseTime > meanResponse {
		cost += slowResponseCost * (float64(state.responseTime)/float64(meanResponse) - 1)
	}
	return state.slowedCost(cost, now)
}

// MaxWait returns how long a request with this target may wait for a reservation at
// the service and still be answered in time, judging by the servers' recent response
// times.
func (fleet *Fleet) MaxWait(service string, target time.Duration) time.Duration {
	meanResponse := fleet.meanResponseTime(service)
	if meanResponse == 0 {
		return time.Duration(defaultWaitShare * float64(target))
	}
	return max(minWait, target-time.Duration(responseTimeMargin*float64(meanResponse)))
}

// maxRankedWait is MaxWait where kinds of different rank use the service. The mean response
// time is then one of requests that may be answered late and of those that may not; what
// counts is how soon an engine that has room answers this request.
func (fleet *Fleet) maxRankedWait(service string, target time.Duration, tokens int) time.Duration {
	predicted := fleet.profiles[service].PredictFirstEvent(0, tokens, 0) + fleet.predictionErrors[service]
	return max(minWait, target-predicted)
}

// meanResponseTime returns the mean of the smoothed response times of a service's
// servers.
func (fleet *Fleet) meanResponseTime(service string) time.Duration {
	var sum time.Duration
	count := 0
	for _, id := range fleet.byService[service] {
		if duration := fleet.servers[id].responseTime; duration > 0 {
			sum += duration
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}
