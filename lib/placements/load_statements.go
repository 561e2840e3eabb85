package placements

// Some servers state in their answers how many requests they run and how long work takes
// on their host at this moment. The latter switches on for the whole service that entries
// use these statements and tell agents their demand. Services whose servers don't state it
// are served without any of this.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"firford/lib/paces"
	"firford/lib/shares"
)

const (
	// paceMemory is how long a service counts as one whose servers state their pace, after
	// the last such statement.
	paceMemory = 10 * time.Minute
	// figureLifetime is how long the load in an answer replaces the estimate of what other
	// entries send to the server. An older one says nothing about the present load.
	figureLifetime = 500 * time.Millisecond
)

type (
	// LoadStatement is what a server stated about its load in an answer. Pace is in percent
	// of the usual time. Slots is zero if the server did not state its load, and Pace is
	// zero if it did not state that.
	LoadStatement struct {
		Running int
		Waiting int
		Slots   int
		Pace    int
	}

	// PaceChange is a service of which a server stated its pace, for the first time in
	// paceMemory.
	PaceChange struct{ Service string }

	// PaceStatus describes a service whose servers state their pace. Pace is the mean pace
	// of its servers in percent, Slow the number of servers that are slower than usual, and
	// Share the mean part of their free slots that this entry gets, in thousandths.
	PaceStatus struct {
		Pace  float64
		Slow  int
		Share float64
	}

	// loadState is what a server stated, and whether its pace improves predictions. It is
	// immutable.
	loadState struct {
		pace   paces.Pace
		trust  paces.Trust
		figure loadFigure
	}

	// loadFigure is the load that a server stated, with the requests of this entry that
	// started and ended since.
	loadFigure struct {
		load           int
		statedAt       time.Time
		started, ended int
	}
)

func (PaceChange) isStatementChange() {}

// IsLoadStated reports whether the server stated how many requests it runs.
func (statement LoadStatement) IsLoadStated() bool { return statement.Slots > 0 }

func (figure loadFigure) isFresh(now time.Time) bool {
	return !figure.statedAt.IsZero() && now.Sub(figure.statedAt) < figureLifetime
}

func (stated *loadState) withStart() *loadState {
	if stated == nil {
		return nil
	}
	next := *stated
	next.figure.started++
	return &next
}

func (stated *loadState) withEnd() *loadState {
	if stated == nil {
		return nil
	}
	next := *stated
	next.figure.ended++
	return &next
}

// loadState returns what the server stated, which is the zero value if it stated nothing.
func (state ServerState) loadState() loadState {
	if state.stated == nil {
		return loadState{}
	}
	return *state.stated
}

// WithLoadStatement returns the state after the server stated its load in an answer.
func (state ServerState) WithLoadStatement(statement LoadStatement, now time.Time) ServerState {
	stated := state.loadState()
	stated.pace = stated.pace.With(paces.New(statement.Pace, now))
	if statement.IsLoadStated() {
		stated.figure = loadFigure{load: statement.Running + statement.Waiting, statedAt: now}
	}
	state.stated = &stated
	return state
}

// isRepeated reports whether the report repeats the last one to tell a new pace. Its load
// is known, and requests that started since must stay counted.
func (state ServerState) isRepeated(report Report) bool {
	last := state.lastReport
	return report.Pace.IsStated() && report.Number > 0 && report.Number == last.Number && report.Incarnation == last.Incarnation
}

// withReportedPace returns the state with the pace in the report. What was stated before a
// restart counts no more.
func (state ServerState) withReportedPace(report Report) ServerState {
	if report.Incarnation != state.lastReport.Incarnation {
		state.stated = nil
	}
	if report.Pace.IsStated() {
		stated := state.loadState()
		stated.pace = stated.pace.With(report.Pace)
		state.stated = &stated
	}
	return state
}

// dealingTurn returns the turn of the last report in the dealing of the server's free
// slots. Servers differ in it, so that an entry does not get slots of all at the same time.
func (state ServerState) dealingTurn() int {
	return state.lastReport.Number + int(xxhash.Sum64String(state.Server.ID)%shares.Whole)
}

// statedLoad estimates how many requests the server runs and queues as load does, and
// uses what it stated if there is no report of an agent.
func (state ServerState) statedLoad(now time.Time) int {
	load := state.load(now)
	if state.stated == nil || state.hasFreshReport(now) || !state.stated.figure.isFresh(now) {
		return load
	}
	figure := state.stated.figure
	return max(load, figure.load+figure.started-figure.ended)
}

// slowed returns the duration of work at the server, given its usual one.
func (fleet *Fleet) slowed(state ServerState, usual time.Duration, now time.Time) time.Duration {
	if state.stated == nil || !state.stated.pace.IsCurrent(now) || !fleet.trustsPace(state) {
		return usual
	}
	return time.Duration(float64(usual) * state.stated.pace.Factor(now))
}

// trustsPace reports whether the pace of the server counts in predictions.
func (fleet *Fleet) trustsPace(state ServerState) bool {
	return state.loadState().trust.IsGiven() && fleet.paceTrusts[state.Server.Service].IsGiven()
}

// paceFactor returns the factor of the server's pace, whether it is trusted or not, and the
// predicted time without it.
func (fleet *Fleet) paceFactor(state ServerState, predicted time.Duration, now time.Time) (float64, time.Duration) {
	factor := state.loadState().pace.Factor(now)
	if factor > 1 && fleet.trustsPace(state) {
		return factor, time.Duration(float64(predicted) / factor)
	}
	return factor, predicted
}

// recordPaceTrust compares the time to the first event with what was predicted with and
// without the pace. A server that is not trusted by itself says nothing about the others.
func (fleet *Fleet) recordPaceTrust(reservation *Reservation, after time.Duration) {
	state, known := fleet.servers[reservation.Server.ID]
	service := reservation.Server.Service
	if _, statesPace := fleet.paceUntil[service]; !known || !statesPace {
		return
	}
	comparison := paces.Compare(reservation.UsualTime, reservation.PaceFactor, after)
	stated := state.loadState()
	if stated.trust.IsGiven() {
		fleet.paceTrusts[service] = fleet.paceTrusts[service].With(comparison)
	}
	stated.trust = stated.trust.With(comparison, fleet.paceTrusts[service])
	state.stated = &stated
	fleet.servers[reservation.Server.ID] = state
}

// slowedCost returns the cost of one more request at the server, given the usual one in
// requests that wait before it.
func (state ServerState) slowedCost(usual float64, now time.Time) float64 {
	if state.stated == nil || !state.stated.pace.IsCurrent(now) {
		return usual
	}
	return (usual+1)*state.stated.pace.Factor(now) - 1
}

// RecordLoad records the load and the pace that a server stated in an answer. It reports
// whether its service was not known before as one whose servers state their pace.
func (fleet *Fleet) RecordLoad(server Server, statement LoadStatement, now time.Time) bool {
	isNew := statement.Pace > 0 && fleet.recordPaceService(server.Service, now)
	if !fleet.StatesPace(server.Service, now) {
		return false
	}
	if state, known := fleet.servers[server.ID]; known {
		fleet.servers[server.ID] = state.WithLoadStatement(statement, now)
	}
	return isNew
}

// StatesPace reports whether servers of the service state their pace.
func (fleet *Fleet) StatesPace(service string, now time.Time) bool {
	return now.Before(fleet.paceUntil[service])
}

// recordPaceService records that a server of the service stated its pace just now, and
// reports whether that was not known.
func (fleet *Fleet) recordPaceService(service string, now time.Time) (isNew bool) {
	isNew = !fleet.StatesPace(service, now)
	fleet.paceUntil[service] = now.Add(paceMemory)
	return isNew
}

// mergePace records that an agent told the pace of the service's server, and returns that
// as a change if it was not known.
func (fleet *Fleet) mergePace(service string, pace paces.Pace, now time.Time) []StatementChange {
	if !pace.IsStated() || !fleet.recordPaceService(service, now) {
		return nil
	}
	return []StatementChange{PaceChange{Service: service}}
}

// PaceStatus returns the status of a service whose servers state their pace, or false for
// another one.
func (fleet *Fleet) PaceStatus(service string, now time.Time) (PaceStatus, bool) {
	ids := fleet.byService[service]
	if !fleet.StatesPace(service, now) || len(ids) == 0 {
		return PaceStatus{}, false
	}
	status, dealt := PaceStatus{}, 0
	for _, id := range ids {
		state := fleet.servers[id]
		factor := state.loadState().pace.Factor(now)
		status.Pace += factor * paces.Usual / float64(len(ids))
		if factor > 1 {
			status.Slow++
		}
		if part := state.lastReport.Part; part.IsDealt() && state.hasFreshReport(now) {
			status.Share += float64(part.Width())
			dealt++
		}
	}
	status.Share /= float64(max(1, dealt))
	return status, true
}

// RecordLoad records what the server stated in the answer to the request about its load,
// and reports whether its service was not known before as one whose servers state their
// pace.
func (dispatcher *Dispatcher) RecordLoad(reservation *Reservation, statement LoadStatement, now time.Time) bool {
	reservation.Pace = statement.Pace
	return dispatcher.fleet.RecordLoad(reservation.Server, statement, now)
}

// Demand returns how many requests a second for the service arrive or wait at this entry.
// It returns false unless servers of the service state their pace.
func (dispatcher *Dispatcher) Demand(service string, now time.Time) (float64, bool) {
	if !dispatcher.fleet.StatesPace(service, now) {
		return 0, false
	}
	return dispatcher.meters[service].PerSecond(len(dispatcher.queues[service].Waiters()), now), true
}
