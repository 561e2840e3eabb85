package placements

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

const (
	// modelServers and modelEntries are few, so that histories often come back to the same
	// server.
	modelServers, modelEntries = 3, 2
	modelSteps                 = 150
)

type (
	// modelServer is a server as it is. Rows holds its present entry in the store and all
	// earlier ones, which a replica that lags or an older copy may have. If hidesStart is
	// set, only the agent tells when the server was started, and a restart gives it a new
	// id.
	modelServer struct {
		Server
		hidesStart bool
		isLeaving  bool
		rows       []Server
	}

	// heardStatement is what an entry was told by a start of a server.
	heardStatement struct {
		startedUnixMilli int64
		isLeaving        bool
		notBefore        time.Time
	}

	// modelEntry is an entry's fleet with all that it was told. Newest holds the newest
	// start of each server that the entry has heard of, and sent the requests without an
	// answer.
	modelEntry struct {
		fleet  *Fleet
		heard  map[string][]heardStatement
		newest map[string]int64
		sent   []modelRequest
	}

	// modelRequest is a request for which the server was chosen. StartedUnixMilli is the
	// newest start of the server that the entry had heard of then.
	modelRequest struct {
		server           Server
		startedUnixMilli int64
	}

	// availabilityModel is some entries and the servers to which they send.
	availabilityModel struct {
		now     time.Time
		servers []*modelServer
		entries []*modelEntry
	}
)

func newAvailabilityModel() *availabilityModel {
	model := &availabilityModel{now: at(0)}
	for i := range modelServers {
		server := &modelServer{Server: startedEngine(fmt.Sprint(i), 1), hidesStart: i == 0}
		server.write(false)
		model.servers = append(model.servers, server)
	}
	for range modelEntries {
		entry := &modelEntry{fleet: NewFleet("nairobi"), heard: map[string][]heardStatement{}, newest: map[string]int64{}}
		model.entries = append(model.entries, entry)
		model.list(entry, (*modelServer).row)
	}
	return model
}

// write writes the server's entry in the store.
func (server *modelServer) write(isDraining bool) {
	row := server.Server
	row.Draining = isDraining
	if server.hidesStart {
		row.StartedUnixMilli = 0
	}
	server.rows = append(server.rows, row)
}

// row returns the present entry of the server.
func (server *modelServer) row() (Server, bool) { return server.rows[len(server.rows)-1], true }

func (server *modelServer) restart() {
	server.isLeaving = false
	server.StartedUnixMilli++
	if server.hidesStart {
		server.ID += "'"
		server.rows = nil
	}
	server.write(false)
}

// list passes a list with one row of each server to the entry, unless row returns false.
func (model *availabilityModel) list(entry *modelEntry, row func(*modelServer) (Server, bool)) {
	var servers []Server
	for _, server := range model.servers {
		if listed, isListed := row(server); isListed {
			servers = append(servers, listed)
			entry.learn(listed.ID, listed.StartedUnixMilli)
		}
	}
	entry.fleet.UpdateServers(servers, time.Time{}, model.now)
}

// report passes a report of the server's agent to the entry, with the servers of which
// the other entry has heard that they leave.
func (model *availabilityModel) report(entry, other *modelEntry, server *modelServer) {
	leaving := other.fleet.OwnLeaving(model.now)
	if _, isKnown := entry.fleet.servers[server.ID]; isKnown {
		entry.learn(server.ID, server.StartedUnixMilli)
	}
	entry.fleet.ApplyReport(Report{Server: server.ID, Incarnation: server.StartedUnixMilli, Versions: server.Versions, Leaving: leaving}, model.now)
	for id, statement := range leaving {
		if statement.StartedUnixMilli >= entry.newest[id] {
			entry.learn(id, statement.StartedUnixMilli)
			entry.heard[id] = append(entry.heard[id], heardStatement{startedUnixMilli: statement.StartedUnixMilli, isLeaving: true})
		}
	}
}

func (entry *modelEntry) learn(id string, startedUnixMilli int64) {
	entry.newest[id] = max(entry.newest[id], startedUnixMilli)
}

// forbids returns what the entry was told that forbids a request at the server, if any.
func (model *availabilityModel) forbids(entry *modelEntry, id string) (heardStatement, bool) {
	for _, statement := range entry.heard[id] {
		isOfNewest := statement.startedUnixMilli == 0 || entry.newest[id] <= statement.startedUnixMilli
		if isOfNewest && (statement.isLeaving || model.now.Before(statement.notBefore)) {
			return statement, true
		}
	}
	return heardStatement{}, false
}

func (model *availabilityModel) drawEntry(t *rapid.T, label string) *modelEntry {
	return model.entries[rapid.IntRange(0, modelEntries-1).Draw(t, label)]
}

func (model *availabilityModel) drawServer(t *rapid.T) *modelServer {
	return model.servers[rapid.IntRange(0, modelServers-1).Draw(t, "server")]
}

// choose sends a request, to a server that has not told the entry otherwise.
func (model *availabilityModel) choose(t *rapid.T) {
	entry := model.drawEntry(t, "entry")
	choice, found := entry.fleet.Choose(requirements, 1, model.now, zeroRandom)
	if !found {
		return
	}
	if statement, isForbidden := model.forbids(entry, choice.Server.ID); isForbidden {
		t.Fatalf("request at server %s, which stated %+v", choice.Server.ID, statement)
	}
	entry.fleet.RecordStart(choice.Server.ID, 0, model.now)
	entry.sent = append(entry.sent, modelRequest{server: choice.Server, startedUnixMilli: entry.newest[choice.Server.ID]})
}

// send checks requests once more whose connection is open now.
func (model *availabilityModel) send(t *rapid.T) {
	entry := model.drawEntry(t, "entry")
	for _, request := range entry.sent {
		statement, isForbidden := model.forbids(entry, request.server.ID)
		if isForbidden && maySend(entry.fleet, request.server.ID, model.now) {
			t.Fatalf("request may be sent to server %s, which stated %+v", request.server.ID, statement)
		}
	}
}

// answer ends the oldest request. If the server was started again meanwhile, its earlier
// start has written the answer.
func (model *availabilityModel) answer(t *rapid.T) {
	entry := model.drawEntry(t, "entry")
	if len(entry.sent) == 0 {
		return
	}
	server, startedUnixMilli := entry.sent[0].server, entry.sent[0].startedUnixMilli
	entry.sent = entry.sent[1:]
	statement := heardStatement{startedUnixMilli: startedUnixMilli, isLeaving: rapid.IntRange(0, 2).Draw(t, "leaving") == 0}
	for _, present := range model.servers {
		if present.ID == server.ID && present.hidesStart {
			statement.startedUnixMilli = 0
		}
		if present.ID == server.ID && (present.hidesStart || present.StartedUnixMilli == startedUnixMilli) {
			present.isLeaving = present.isLeaving || statement.isLeaving
			statement.isLeaving = present.isLeaving
		}
	}
	if statement.isLeaving {
		entry.fleet.RecordLeaving(server, model.now)
	}
	outcome := rapid.SampledFrom([]Outcome{Answered, Rejected}).Draw(t, "outcome")
	if delay := rapid.IntRange(0, 10_000).Draw(t, "delay in ms"); outcome == Rejected && delay > 0 {
		statement.notBefore = model.now.Add(time.Duration(delay) * time.Millisecond)
		entry.fleet.RecordDeferral(server.ID, statement.notBefore, model.now)
	}
	entry.heard[server.ID] = append(entry.heard[server.ID], statement)
	entry.fleet.RecordEnd(server.ID, outcome, model.now)
}

// TestAvailabilityMachine guards, over random histories of statements, lists that lag or
// come from older copies, reports, restarts and time, against requests at a server that
// has told the entry that it leaves or wants none, and against a server that stays out
// although it has been started again or its time is over. The entries learn of a restart
// under the same id before that start answers them: otherwise they can't tell which start
// has answered.
func TestAvailabilityMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newAvailabilityModel()
		steps := []func(){
			func() { model.choose(t) },
			func() { model.choose(t) },
			func() { model.send(t) },
			func() { model.answer(t) },
			func() { model.answer(t) },
			func() { model.drawServer(t).write(true) },
			func() { model.drawServer(t).restart() },
			func() { model.list(model.drawEntry(t, "entry"), (*modelServer).row) },
			func() {
				model.list(model.drawEntry(t, "entry"), func(server *modelServer) (Server, bool) {
					isListed := rapid.IntRange(0, 3).Draw(t, "is listed") > 0
					return server.rows[rapid.IntRange(0, len(server.rows)-1).Draw(t, "row")], isListed
				})
			},
			func() { model.drawEntry(t, "entry").fleet.SetRestoredAt(model.now) },
			func() { model.report(model.drawEntry(t, "entry"), model.drawEntry(t, "other"), model.drawServer(t)) },
			func() {
				model.now = model.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
				for _, entry := range model.entries {
					entry.fleet.Expire(model.now)
				}
			},
		}
		for range modelSteps {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
		model.checkNoneStaysOut(t, rapid.Bool().Draw(t, "list lags"))
	})
}

// checkNoneStaysOut starts all servers again that leave, and lets the time of all
// statements pass. Then every server must be usable, also if only the agents tell the
// newest start.
func (model *availabilityModel) checkNoneStaysOut(t *rapid.T, isListLagging bool) {
	model.now = model.now.Add(time.Minute)
	for _, server := range model.servers {
		server.write(false)
		if server.isLeaving {
			server.restart()
		}
	}
	for _, entry := range model.entries {
		model.list(entry, func(server *modelServer) (Server, bool) {
			if isListLagging {
				return server.rows[0], true
			}
			return server.row()
		})
		for _, server := range model.servers {
			if isListLagging {
				model.report(entry, entry, server)
			}
		}
		counts := entry.fleet.CountCandidates(requirements, 1, model.now)
		if counts.Usable+counts.Full != len(model.servers) {
			t.Fatalf("servers stay out: %+v", counts)
		}
	}
}
