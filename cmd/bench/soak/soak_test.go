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

func wholeEvidence() Records {
	return Records{
		Published: []string{"v1"},
		Requests: []callers.RequestRecord{
			{Key: "a", RequestID: "1", Entry: "entry-01", Outcome: callers.OutcomeAnswered, Started: at(0), Ended: at(1), Deadline: at(5)},
			{Key: "b", RequestID: "2", Entry: "entry-01", Idempotent: true, Outcome: callers.OutcomeNotRun, Started: at(0), Ended: at(1), Deadline: at(5)},
		},
		Executions: []Execution{
			{Server: "engine-01", Kind: kindServed, Version: "v1", At: at(0)},
			{Server: "engine-01", Kind: "generate", ID: "1", Version: "v1", At: at(0)},
		},
		Faults: []InjectedFault{
			{Kind: LeaveAgent, Target: "agent-01", Start: at(10), End: at(20)},
			{Kind: TerminateEntry, Target: "entry-01", Start: at(30), End: at(35)},
		},
	}
}

// Guards against a verdict that lets a broken promise pass: each case breaks
// one promise in evidence that otherwise shows none broken.
func TestJudge(t *testing.T) {
	convey.Convey("Evidence of a run without failures has no violation", t, func() {
		convey.So(CheckInvariants(wholeEvidence()), convey.ShouldBeEmpty)
	})
	for promise, spoil := range map[Invariant]func(*Records){
		WholeVersion: func(evidence *Records) { evidence.Executions[0].Version = "v0" },
		OwnAnswer:    func(evidence *Records) { evidence.Requests[0].Mismatch = "token 3" },
		TrueRefusal:  func(evidence *Records) { evidence.Executions[1].ID = "2" },
		AtMostOnce:   func(evidence *Records) { evidence.Executions = append(evidence.Executions, evidence.Executions[1]) },
		NoWorkWhenLeaving: func(evidence *Records) {
			evidence.Executions = append(evidence.Executions, Execution{Server: "engine-01", Kind: "generate", ID: "3", At: at(13.5)})
		},
		CleanShutdown: func(evidence *Records) {
			evidence.Requests = append(evidence.Requests, callers.RequestRecord{Key: "c", Entry: "entry-01", Outcome: callers.OutcomeLost, Started: at(29), Ended: at(31), Deadline: at(29)})
		},
		ConfigurationInForce: func(evidence *Records) { evidence.ConfigurationViolations = []string{"behind"} },
		AnsweredInTime:       func(evidence *Records) { evidence.Requests[0].Ended = at(7) },
	} {
		convey.Convey(fmt.Sprintf("A run that breaks %s is reported", promise), t, func() {
			evidence := wholeEvidence()
			spoil(&evidence)
			convey.So(CheckInvariants(evidence), convey.ShouldNotBeEmpty)
			convey.So(CheckInvariants(evidence)[0].Invariant, convey.ShouldEqual, promise)
		})
	}
}

// Guards against schedules that differ between two runs with the same seed, and
// against runs that skip a kind of fault.
func TestSchedule(t *testing.T) {
	fleet := Fleet{Entries: []string{"entry-01", "entry-02"}, Agents: []string{"agent-01", "agent-02", "agent-03"}}
	convey.Convey("A schedule is a function of its seed", t, func() {
		goldie.New(t).Assert(t, "schedule", []byte(FormatSchedule(Schedule(7, fleet, time.Minute))))
	})
	convey.Convey("Ten minutes meet every kind", t, func() {
		met := map[Kind]bool{}
		for _, event := range Schedule(7, fleet, 10*time.Minute) {
			met[event.Kind] = true
		}
		convey.So(len(met), convey.ShouldEqual, len(Kinds()))
	})
}
