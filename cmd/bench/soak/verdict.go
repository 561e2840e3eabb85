package soak

import (
	"fmt"
	"slices"
	"time"

	"firford/cmd/bench/callers"
)

// The invariants that a long run checks.
const (
	WholeVersion         Invariant = "whole_version"
	OwnAnswer            Invariant = "own_whole_answer"
	TrueRefusal          Invariant = "true_refusal"
	AtMostOnce           Invariant = "at_most_once"
	NoWorkWhenLeaving    Invariant = "no_work_when_leaving"
	CleanShutdown        Invariant = "clean_shutdown"
	ConfigurationInForce Invariant = "configuration_in_force"
	AnsweredInTime       Invariant = "answered_in_time"
)

const (
	// leavingLimit is the time after which a leaving backend server must get no work.
	leavingLimit = 3 * time.Second
	// The caller's own clock and scheduling may delay the end of a request by this.
	deadlineGrace = time.Second

	executionServed = "served"
)

type (
	// Invariant names a property that must hold throughout a run.
	Invariant string

	// Execution is one line of a backend server's record: a request that it ran, or
	// for the kind executionServed a version that it began to serve.
	Execution struct {
		Server     string    `json:"-"`
		ID         string    `json:"id"`
		Kind       string    `json:"kind"`
		Version    string    `json:"version"`
		ResumeFrom int       `json:"resume_from"`
		At         time.Time `json:"at"`
	}

	// InjectedFault is a fault that the script injected.
	InjectedFault struct {
		Kind   Kind
		Target string
		Start  time.Time
		End    time.Time
	}

	// Records holds all records of a run that were made outside the system.
	Records struct {
		Requests   []callers.RequestRecord
		Executions []Execution
		Faults     []InjectedFault
		Published  []string
		// ConfigurationViolations are the violations that the operators observed.
		ConfigurationViolations []string
	}

	// Violation is one violation of an invariant, with the records that show it.
	Violation struct {
		Invariant Invariant `json:"promise"`
		Detail    string    `json:"evidence"`
	}
)

// Invariants returns all invariants in a fixed order.
func Invariants() []Invariant {
	return []Invariant{WholeVersion, OwnAnswer, TrueRefusal, AtMostOnce, NoWorkWhenLeaving, CleanShutdown, ConfigurationInForce, AnsweredInTime}
}

// CheckInvariants returns every violation that the records show.
func CheckInvariants(records Records) []Violation {
	var violations []Violation
	for _, check := range []func(Records) []Violation{
		checkVersions, checkAnswers, checkRefusals, checkRepeatedRuns, checkLeaving, checkShutdowns, checkConfiguration, checkDeadlines,
	} {
		violations = append(violations, check(records)...)
	}
	return violations
}

func newViolation(invariant Invariant, format string, values ...any) Violation {
	return Violation{Invariant: invariant, Detail: fmt.Sprintf(format, values...)}
}

// checkVersions reports served versions that were never published. A version that
// is partly loaded or mixed has no published name, and its tokens match no
// published version.
func checkVersions(records Records) []Violation {
	var violations []Violation
	for _, execution := range records.Executions {
		if execution.Kind == executionServed && !slices.Contains(records.Published, execution.Version) {
			violations = append(violations, newViolation(WholeVersion, "%s served version %q", execution.Server, execution.Version))
		}
	}
	return violations
}

func checkAnswers(records Records) []Violation {
	var violations []Violation
	for _, request := range records.Requests {
		if request.Outcome == callers.OutcomeAnswered && request.Mismatch != "" {
			violations = append(violations, newViolation(OwnAnswer, "request %s: %s", request.Key, request.Mismatch))
		}
	}
	return violations
}

// checkRefusals reports requests that a backend server ran although their
// caller received the outcome not_run.
func checkRefusals(records Records) []Violation {
	ran := map[string]string{}
	for _, execution := range records.Executions {
		if execution.Kind != executionServed {
			ran[execution.ID] = execution.Server
		}
	}
	var violations []Violation
	for _, request := range records.Requests {
		if server, found := ran[request.RequestID]; found && request.Outcome == callers.OutcomeNotRun && request.RequestID != "" {
			violations = append(violations, newViolation(TrueRefusal, "request %s (%s) ran on %s and was refused with %s", request.Key, request.RequestID, server, request.Code))
		}
	}
	return violations
}

// checkRepeatedRuns reports non-idempotent requests that ran more than once. A
// resumed stream continues the same run.
func checkRepeatedRuns(records Records) []Violation {
	nonIdempotent := map[string]string{}
	for _, request := range records.Requests {
		if !request.Idempotent && request.RequestID != "" {
			nonIdempotent[request.RequestID] = request.Key
		}
	}
	runs := map[string][]string{}
	for _, execution := range records.Executions {
		if key, checked := nonIdempotent[execution.ID]; checked && execution.Kind != executionServed && execution.ResumeFrom == 0 {
			runs[key] = append(runs[key], execution.Server)
		}
	}
	var violations []Violation
	for key, servers := range runs {
		if len(servers) > 1 {
			violations = append(violations, newViolation(AtMostOnce, "request %s ran on %v", key, servers))
		}
	}
	return violations
}

// checkLeaving reports work that began on a backend server when its host had been
// leaving for longer than leavingLimit.
func checkLeaving(records Records) []Violation {
	var violations []Violation
	for _, fault := range records.Faults {
		if fault.Kind != LeaveAgent {
			continue
		}
		server := engineOf(fault.Target)
		for _, execution := range records.Executions {
			late := execution.At.After(fault.Start.Add(leavingLimit)) && execution.At.Before(fault.End)
			if late && execution.Server == server && execution.Kind != executionServed && execution.ResumeFrom == 0 {
				violations = append(violations, newViolation(NoWorkWhenLeaving, "%s began request %s %s after its host began to leave", server, execution.ID,
					execution.At.Sub(fault.Start).Round(time.Millisecond)))
			}
		}
	}
	return violations
}

// checkShutdowns reports requests that were in flight at an entry when it was
// terminated, and that ended without an outcome.
func checkShutdowns(records Records) []Violation {
	var violations []Violation
	for _, fault := range records.Faults {
		if fault.Kind != TerminateEntry {
			continue
		}
		for _, request := range records.Requests {
			running := request.Started.Before(fault.Start) && request.Ended.After(fault.Start)
			if request.Entry == fault.Target && running && request.Outcome == callers.OutcomeLost && !affectedByEntryFault(records, request, TerminateEntry) {
				violations = append(violations, newViolation(CleanShutdown, "request %s ended without an outcome when %s was terminated", request.Key, fault.Target))
			}
		}
	}
	return violations
}

func checkConfiguration(records Records) []Violation {
	var violations []Violation
	for _, found := range records.ConfigurationViolations {
		violations = append(violations, newViolation(ConfigurationInForce, "%s", found))
	}
	return violations
}

// checkDeadlines reports requests that ended after their deadline, and requests
// that ended without an outcome. It skips requests that a fault of their entry
// affected.
func checkDeadlines(records Records) []Violation {
	var violations []Violation
	for _, request := range records.Requests {
		if affectedByEntryFault(records, request, "") {
			continue
		}
		if late := request.Ended.Sub(request.Deadline); late > deadlineGrace {
			violations = append(violations, newViolation(AnsweredInTime, "request %s ended %s after its deadline", request.Key, late.Round(time.Millisecond)))
		}
		if request.Outcome == callers.OutcomeLost {
			violations = append(violations, newViolation(AnsweredInTime, "request %s ended without an outcome", request.Key))
		}
	}
	return violations
}

// affectedByEntryFault reports whether a fault of the request's entry overlapped
// the request. It ignores faults of the kind except.
func affectedByEntryFault(records Records, request callers.RequestRecord, except Kind) bool {
	for _, fault := range records.Faults {
		disruptive := fault.Kind == KillEntry || fault.Kind == FreezeEntry || fault.Kind == TerminateEntry && request.Started.After(fault.Start)
		if disruptive && fault.Kind != except && fault.Target == request.Entry && request.Ended.After(fault.Start) && request.Started.Before(fault.End.Add(deadlineGrace)) {
			return true
		}
	}
	return false
}
