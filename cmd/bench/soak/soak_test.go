package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"

	"firford/cmd/bench/callers"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func correctRecords() Records {
	return Records{
		Published: []string{"v1"},
		Requests: []callers.RequestRecord{
			{Key: "a", RequestID: "1", Entry: "entry-01", Outcome: callers.OutcomeAnswered, Started: at(0), Ended: at(1), Deadline: at(5)},
			{Key: "b", RequestID: "2", Entry: "entry-01", Idempotent: true, Outcome: callers.OutcomeNotRun, Started: at(0), Ended: at(1), Deadline: at(5)},
		},
		Executions: []Execution{
			{Server: "engine-01", Kind: executionServed, Version: "v1", At: at(0)},
			{Server: "engine-01", Kind: "generate", ID: "1", Version: "v1", At: at(0)},
		},
		Faults: []InjectedFault{
			{Kind: LeaveAgent, Target: "agent-01", Start: at(10), End: at(20)},
			{Kind: TerminateEntry, Target: "entry-01", Start: at(30), End: at(35)},
		},
	}
}

// Guards against a check that misses a violation: each case violates one
// invariant in records that otherwise violate none.
func TestCheckInvariants(t *testing.T) {
	convey.Convey("Records of a run without failures show no violation", t, func() {
		convey.So(CheckInvariants(correctRecords()), convey.ShouldBeEmpty)
	})
	for invariant, corrupt := range map[Invariant]func(*Records){
		WholeVersion: func(records *Records) { records.Executions[0].Version = "v0" },
		OwnAnswer:    func(records *Records) { records.Requests[0].Mismatch = "token 3" },
		TrueRefusal:  func(records *Records) { records.Executions[1].ID = "2" },
		AtMostOnce:   func(records *Records) { records.Executions = append(records.Executions, records.Executions[1]) },
		NoWorkWhenLeaving: func(records *Records) {
			records.Executions = append(records.Executions, Execution{Server: "engine-01", Kind: "generate", ID: "3", At: at(13.5)})
		},
		CleanShutdown: func(records *Records) {
			records.Requests = append(records.Requests, callers.RequestRecord{Key: "c", Entry: "entry-01", Outcome: callers.OutcomeLost, Started: at(29), Ended: at(31), Deadline: at(29)})
		},
		ConfigurationInForce: func(records *Records) { records.ConfigurationViolations = []string{"behind"} },
		AnsweredInTime:       func(records *Records) { records.Requests[0].Ended = at(7) },
	} {
		convey.Convey(fmt.Sprintf("A violation of %s is reported", invariant), t, func() {
			records := correctRecords()
			corrupt(&records)
			convey.So(CheckInvariants(records), convey.ShouldNotBeEmpty)
			convey.So(CheckInvariants(records)[0].Invariant, convey.ShouldEqual, invariant)
		})
	}
}

// Guards against schedules that differ between two runs with the same seed, which
// could not be repeated, and against runs that skip a kind of fault.
func TestSchedule(t *testing.T) {
	fleet := Fleet{Entries: []string{"entry-01", "entry-02"}, Agents: []string{"agent-01", "agent-02", "agent-03"}}
	convey.Convey("A schedule depends only on its seed", t, func() {
		goldie.New(t).Assert(t, "schedule", []byte(FormatSchedule(Schedule(7, fleet, time.Minute))))
	})
	convey.Convey("A schedule of ten minutes has every kind", t, func() {
		seen := map[Kind]bool{}
		for _, event := range Schedule(7, fleet, 10*time.Minute) {
			seen[event.Kind] = true
		}
		convey.So(len(seen), convey.ShouldEqual, len(Kinds()))
	})
}
