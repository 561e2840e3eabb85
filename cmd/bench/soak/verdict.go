package soak

import (
	"fmt"
	"slices"
	"time"

	"firford/cmd/bench/callers"
)

// The promises that a long run judges, in the order of its last line.
const (
	WholeVersion   Promise = "whole_version"
	OwnAnswer      Promise = "own_whole_answer"
	TrueRefusal    Promise = "true_refusal"
	AtMostOnce     Promise = "at_most_once"
	NoWorkLeaving  Promise = "no_work_when_leaving"
	CleanShutdown  Promise = "clean_shutdown"
	ConfigInForce  Promise = "configuration_in_force"
	AnsweredInTime Promise = "answered_in_time"
)

const (
	// leavingLimit is the time after which a leaving backend server gets no work.
	leavingLimit = 3 * time.Second
	// A caller's own clock and scheduling may add this to the end of a request.
	deadlineGrace = time.Second

	kindServed = "served"
)

type (
	// Promise names what must always hold.
	Promise string

	// Executed is one line of a backend server's journal.
	Executed struct {
		Server     string    `json:"-"`
		ID         string    `json:"id"`
		Kind       string    `json:"kind"`
		Version    string    `json:"version"`
		ResumeFrom int       `json:"resume_from"`
		At         time.Time `json:"at"`
	}

	// Injected is a fault as the script carried it out.
	Injected struct {
		Kind   Kind
		Target string
		Start  time.Time
		End    time.Time
	}

	// Evidence is everything that was recorded outside of the system.
	Evidence struct {
		Asked     []callers.Asked
		Executed  []Executed
		Injected  []Injected
		Published []string
		// Configuration holds the violations that the operators found.
		Configuration []string
	}

	// Violation is one broken promise with what shows it.
	Violation struct {
		Promise  Promise `json:"promise"`
		Evidence string  `json:"evidence"`
	}
)

// Promises returns all promises in a fixed order.
func Promises() []Promise {
	return []Promise{WholeVersion, OwnAnswer, TrueRefusal, AtMostOnce, NoWorkLeaving, CleanShutdown, ConfigInForce, AnsweredInTime}
}

// Judge returns every violation that the evidence shows.
func Judge(evidence Evidence) []Violation {
	var violations []Violation
	for _, judge := range []func(Evidence) []Violation{
		judgeVersions, judgeAnswers, judgeRefusals, judgeRepeats, judgeLeaving, judgeShutdowns, judgeConfiguration, judgeDeadlines,
	} {
		violations = append(violations, judge(evidence)...)
	}
	return violations
}

func violation(promise Promise, format string, values ...any) Violation {
	return Violation{Promise: promise, Evidence: fmt.Sprintf(format, values...)}
}

// judgeVersions reports versions that nobody has published: a version that is
// partly loaded or mixed has no published name, and its tokens match none.
func judgeVersions(evidence Evidence) []Violation {
	var violations []Violation
	for _, executed := range evidence.Executed {
		if executed.Kind == kindServed && !slices.Contains(evidence.Published, executed.Version) {
			violations = append(violations, violation(WholeVersion, "%s served version %q", executed.Server, executed.Version))
		}
	}
	return violations
}

func judgeAnswers(evidence Evidence) []Violation {
	var violations []Violation
	for _, asked := range evidence.Asked {
		if asked.Outcome == callers.OutcomeAnswered && asked.Wrong != "" {
			violations = append(violations, violation(OwnAnswer, "request %s: %s", asked.Key, asked.Wrong))
		}
	}
	return violations
}

// judgeRefusals reports requests that a backend server ran although their
// caller was told that they had not run.
func judgeRefusals(evidence Evidence) []Violation {
	ran := map[string]string{}
	for _, executed := range evidence.Executed {
		if executed.Kind != kindServed {
			ran[executed.ID] = executed.Server
		}
	}
	var violations []Violation
	for _, asked := range evidence.Asked {
		if server, found := ran[asked.RequestID]; found && asked.Outcome == callers.OutcomeNotRun && asked.RequestID != "" {
			violations = append(violations, violation(TrueRefusal, "request %s (%s) ran on %s and was refused with %s", asked.Key, asked.RequestID, server, asked.Code))
		}
	}
	return violations
}

// judgeRepeats reports non-idempotent requests that ran more than once. A
// resumed stream goes on and is not another run.
func judgeRepeats(evidence Evidence) []Violation {
	once := map[string]string{}
	for _, asked := range evidence.Asked {
		if !asked.Idempotent && asked.RequestID != "" {
			once[asked.RequestID] = asked.Key
		}
	}
	runs := map[string][]string{}
	for _, executed := range evidence.Executed {
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
func judgeLeaving(evidence Evidence) []Violation {
	var violations []Violation
	for _, fault := range evidence.Injected {
		if fault.Kind != LeaveAgent {
			continue
		}
		server := serverOf(fault.Target)
		for _, executed := range evidence.Executed {
			late := executed.At.After(fault.Start.Add(leavingLimit)) && executed.At.Before(fault.End)
			if late && executed.Server == server && executed.Kind != kindServed && executed.ResumeFrom == 0 {
				violations = append(violations, violation(NoWorkLeaving, "%s began %s %s after it was leaving", server, executed.ID,
					executed.At.Sub(fault.Start).Round(time.Millisecond)))
			}
		}
	}
	return violations
}

// judgeShutdowns reports requests that were in progress at an entry when it was
// asked to stop, and that ended without an outcome.
func judgeShutdowns(evidence Evidence) []Violation {
	var violations []Violation
	for _, fault := range evidence.Injected {
		if fault.Kind != TerminateEntry {
			continue
		}
		for _, asked := range evidence.Asked {
			running := asked.Started.Before(fault.Start) && asked.Ended.After(fault.Start)
			if asked.Entry == fault.Target && running && asked.Outcome == callers.OutcomeLost && !broken(evidence, asked, TerminateEntry) {
				violations = append(violations, violation(CleanShutdown, "request %s was cut off when %s was stopped", asked.Key, fault.Target))
			}
		}
	}
	return violations
}

func judgeConfiguration(evidence Evidence) []Violation {
	var violations []Violation
	for _, found := range evidence.Configuration {
		violations = append(violations, violation(ConfigInForce, "%s", found))
	}
	return violations
}

// judgeDeadlines reports requests that ended after their deadline, and those
// that ended without an outcome although nothing had happened to their entry.
func judgeDeadlines(evidence Evidence) []Violation {
	var violations []Violation
	for _, asked := range evidence.Asked {
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
func broken(evidence Evidence, asked callers.Asked, except Kind) bool {
	for _, fault := range evidence.Injected {
		hit := fault.Kind == KillEntry || fault.Kind == FreezeEntry || fault.Kind == TerminateEntry && asked.Started.After(fault.Start)
		if hit && fault.Kind != except && fault.Target == asked.Entry && asked.Ended.After(fault.Start) && asked.Started.Before(fault.End.Add(deadlineGrace)) {
			return true
		}
	}
	return false
}
