package soak

import (
	"fmt"
	"slices"
	"time"

	"firford/cmd/bench/callers"
)

// The promises that a long run judges, in the order of its last line.
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
	// leavingLimit is the time after which a leaving backend server gets no work.
	leavingLimit = 3 * time.Second
	// A caller's own clock and scheduling may add this to the end of a request.
	deadlineGrace = time.Second

	kindServed = "served"
)

type (
	// Invariant names what must always hold.
	Invariant string

	// Execution is one line of a backend server's journal.
	Execution struct {
		Server     string    `json:"-"`
		ID         string    `json:"id"`
		Kind       string    `json:"kind"`
		Version    string    `json:"version"`
		ResumeFrom int       `json:"resume_from"`
		At         time.Time `json:"at"`
	}

	// InjectedFault is a fault as the script carried it out.
	InjectedFault struct {
		Kind   Kind
		Target string
		Start  time.Time
		End    time.Time
	}

	// Records is everything that was recorded outside of the system.
	Records struct {
		Requests   []callers.RequestRecord
		Executions []Execution
		Faults     []InjectedFault
		Published  []string
		// ConfigurationViolations holds the violations that the operators found.
		ConfigurationViolations []string
	}

	// Violation is one broken promise with what shows it.
	Violation struct {
		Invariant Invariant `json:"promise"`
		Detail    string    `json:"evidence"`
	}
)

// Invariants returns all promises in a fixed order.
func Invariants() []Invariant {
	return []Invariant{WholeVersion, OwnAnswer, TrueRefusal, AtMostOnce, NoWorkWhenLeaving, CleanShutdown, ConfigurationInForce, AnsweredInTime}
}

// CheckInvariants returns every violation that the evidence shows.
func CheckInvariants(evidence Records) []Violation {
	var violations []Violation
	for _, judge := range []func(Records) []Violation{
		judgeVersions, judgeAnswers, judgeRefusals, judgeRepeats, judgeLeaving, judgeShutdowns, judgeConfiguration, judgeDeadlines,
	} {
		violations = append(violations, judge(evidence)...)
	}
	return violations
}

func violation(promise Invariant, format string, values ...any) Violation {
	return Violation{Invariant: promise, Detail: fmt.Sprintf(format, values...)}
}

// judgeVersions reports versions that nobody has published: a version that is
// partly loaded or mixed has no published name, and its tokens match none.
func judgeVersions(evidence Records) []Violation {
	var violations []Violation
	for _, executed := range evidence.Executions {
		if executed.Kind == kindServed && !slices.Contains(evidence.Published, executed.Version) {
			violations = append(violations, violation(WholeVersion, "%s served version %q", executed.Server, executed.Version))
		}
	}
	return violations
}

func judgeAnswers(evidence Records) []Violation {
	var violations []Violation
	for _, asked := range evidence.Requests {
		if asked.Outcome == callers.OutcomeAnswered && asked.Mismatch != "" {
			violations = append(violations, violation(OwnAnswer, "request %s: %s", asked.Key, asked.Mismatch))
		}
	}
	return violations
}

// judgeRefusals reports requests that a backend server ran although their
// caller was told that they had not run.
func judgeRefusals(evidence Records) []Violation {
	ran := map[string]string{}
	for _, executed := range evidence.Executions {
		if executed.Kind != kindServed {
			ran[executed.ID] = executed.Server
		}
	}
	var violations []Violation
	for _, asked := range evidence.Requests {
		if server, found := ran[asked.RequestID]; found && asked.Outcome == callers.OutcomeNotRun && asked.RequestID != "" {
			violations = append(violations, violation(TrueRefusal, "request %s (%s) ran on %s and was refused with %s", asked.Key, asked.RequestID, server, asked.Code))
		}
	}
	return violations
}

// judgeRepeats reports non-idempotent requests that ran more than once. A
// resumed stream goes on and is not another run.
func judgeRepeats(evidence Records) []Violation {
	once := map[string]string{}
	for _, asked := range evidence.Requests {
		if !asked.Idempotent && asked.RequestID != "" {
			once[asked.RequestID] = asked.Key
		}
	}
	runs := map[string][]string{}
	for _, executed := range evidence.Executions {
		if key, checked := once[executed.ID]; checked && executed.Kind != kindServed && executed.ResumeFrom == 0 {
			runs[key] = append(runs[key], executed.Server)
		}
	}
	var violations []Violation
	for key, servers := range runs {
		if len(servers) > 1 {
			violations = append(violations, violation(AtMostOnce, "request %s ran on %v", key, servers))
		}
	}
	return violations
}

// judgeLeaving reports work that began on a backend server after its host had
// been leaving for the limit.
func judgeLeaving(evidence Records) []Violation {
	var violations []Violation
	for _, fault := range evidence.Faults {
		if fault.Kind != LeaveAgent {
			continue
		}
		server := serverOf(fault.Target)
		for _, executed := range evidence.Executions {
			late := executed.At.After(fault.Start.Add(leavingLimit)) && executed.At.Before(fault.End)
			if late && executed.Server == server && executed.Kind != kindServed && executed.ResumeFrom == 0 {
				violations = append(violations, violation(NoWorkWhenLeaving, "%s began %s %s after it was leaving", server, executed.ID,
					executed.At.Sub(fault.Start).Round(time.Millisecond)))
			}
		}
	}
	return violations
}

// judgeShutdowns reports requests that were in progress at an entry when it was
// asked to stop, and that ended without an outcome.
func judgeShutdowns(evidence Records) []Violation {
	var violations []Violation
	for _, fault := range evidence.Faults {
		if fault.Kind != TerminateEntry {
			continue
		}
		for _, asked := range evidence.Requests {
			running := asked.Started.Before(fault.Start) && asked.Ended.After(fault.Start)
			if asked.Entry == fault.Target && running && asked.Outcome == callers.OutcomeLost && !broken(evidence, asked, TerminateEntry) {
				violations = append(violations, violation(CleanShutdown, "request %s was cut off when %s was stopped", asked.Key, fault.Target))
			}
		}
	}
	return violations
}

func judgeConfiguration(evidence Records) []Violation {
	var violations []Violation
	for _, found := range evidence.ConfigurationViolations {
		violations = append(violations, violation(ConfigurationInForce, "%s", found))
	}
	return violations
}

// judgeDeadlines reports requests that ended after their deadline, and those
// that ended without an outcome although nothing had happened to their entry.
func judgeDeadlines(evidence Records) []Violation {
	var violations []Violation
	for _, asked := range evidence.Requests {
		if broken(evidence, asked, "") {
			continue
		}
		if late := asked.Ended.Sub(asked.Deadline); late > deadlineGrace {
			violations = append(violations, violation(AnsweredInTime, "request %s ended %s after its deadline", asked.Key, late.Round(time.Millisecond)))
		}
		if asked.Outcome == callers.OutcomeLost {
			violations = append(violations, violation(AnsweredInTime, "request %s ended without an outcome", asked.Key))
		}
	}
	return violations
}

// broken reports that a fault hit the entry of a request while it was running.
// The kind in except is not counted.
func broken(evidence Records, asked callers.RequestRecord, except Kind) bool {
	for _, fault := range evidence.Faults {
		hit := fault.Kind == KillEntry || fault.Kind == FreezeEntry || fault.Kind == TerminateEntry && asked.Started.After(fault.Start)
		if hit && fault.Kind != except && fault.Target == asked.Entry && asked.Ended.After(fault.Start) && asked.Started.Before(fault.End.Add(deadlineGrace)) {
			return true
		}
	}
	return false
}
