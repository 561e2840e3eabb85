// Package soak plans the faults of a long run and checks afterwards that the
// system kept its invariants. The checks use only the records of callers, backend
// servers and operators, and nothing that the system reports about itself.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kinds of faults and operator actions. Each failure that the system is expected
// to survive has at least one.
const (
	KillEntry        Kind = "kill_entry"
	KillAgent        Kind = "kill_agent"
	KillEngine       Kind = "kill_engine"
	FreezeEntry      Kind = "freeze_entry"
	FreezeAgent      Kind = "freeze_agent"
	FreezeEngine     Kind = "freeze_engine"
	TerminateEntry   Kind = "terminate_entry"
	TerminateAgent   Kind = "terminate_agent"
	LeaveAgent       Kind = "leave_agent"
	SilentLink       Kind = "silent_link"
	StallLink        Kind = "stall_link"
	CutLink          Kind = "cut_link"
	StallChunks      Kind = "stall_chunks"
	StoreOutage      Kind = "store_outage"
	StoreSlow        Kind = "store_slow"
	StoreLostAnswers Kind = "store_lost_answers"
	OriginOutage     Kind = "origin_outage"
	CorruptChunks    Kind = "corrupt_chunks"
	EngineSilent     Kind = "engine_silent"
	EngineFailLoad   Kind = "engine_fail_load"
	NewVersion       Kind = "new_version"
	RacingOperators  Kind = "racing_operators"
)

const (
	// averageInterval is the mean time from the start of one fault to that of the
	// next. Faults last up to twice as long, so that some of them overlap.
	averageInterval  = 4 * time.Second
	minFaultDuration = time.Second
	maxFaultDuration = 8 * time.Second
	// One event in four starts together with a second one.
	simultaneousShare = 0.25
	// No fault starts in the last part of the run, so that the system can recover
	// before the check.
	recoveryTime = 20 * time.Second
)

type (
	// Kind names a fault or an operator action.
	Kind string

	// Event is one entry of the schedule. Start and End are relative to the start of
	// the run. They are equal for an action without a duration.
	Event struct {
		Kind   Kind
		Target string
		Start  time.Duration
		End    time.Duration
	}

	// Fleet names the processes that a schedule may target.
	Fleet struct {
		Entries []string
		Agents  []string
	}
)

// Kinds returns every kind in a fixed order.
func Kinds() []Kind {
	return []Kind{
		KillEntry, KillAgent, KillEngine, FreezeEntry, FreezeAgent, FreezeEngine, TerminateEntry, TerminateAgent,
		LeaveAgent, SilentLink, StallLink, CutLink, StallChunks, StoreOutage, StoreSlow, StoreLostAnswers, OriginOutage,
		CorruptChunks, EngineSilent, EngineFailLoad, NewVersion, RacingOperators,
	}
}

// Schedule returns the events of a run, ordered by start. Equal seeds give equal
// schedules. A run that is long enough has every kind, because kinds are taken
// from one shuffled list of all kinds after the other.
func Schedule(seed uint64, fleet Fleet, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	var events []Event
	var remaining []Kind
	nextKind := func() Kind {
		if len(remaining) == 0 {
			remaining = Kinds()
			random.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		}
		kind := remaining[0]
		remaining = remaining[1:]
		return kind
	}
	start := averageInterval
	for start < length-recoveryTime {
		events = append(events, newEvent(random, nextKind(), fleet, start))
		if random.Float64() < simultaneousShare {
			events = append(events, newEvent(random, nextKind(), fleet, start))
		}
		start += averageInterval/2 + time.Duration(random.Int64N(int64(averageInterval)))
	}
	return events
}

func newEvent(random *rand.Rand, kind Kind, fleet Fleet, start time.Duration) Event {
	duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	event := Event{Kind: kind, Start: start, End: start + duration, Target: chooseTarget(random, kind, fleet)}
	switch kind {
	case NewVersion, RacingOperators, EngineSilent, SilentLink:
		event.End = event.Start
	}
	return event
}

func chooseTarget(random *rand.Rand, kind Kind, fleet Fleet) string {
	agent := fleet.Agents[random.IntN(len(fleet.Agents))]
	switch kind {
	case KillEntry, FreezeEntry, TerminateEntry:
		return fleet.Entries[random.IntN(len(fleet.Entries))]
	case KillEngine, FreezeEngine, EngineSilent, EngineFailLoad:
		return engineOf(agent)
	case StallChunks, CorruptChunks:
		return agent + "-chunks"
	case KillAgent, FreezeAgent, TerminateAgent, LeaveAgent, SilentLink, StallLink, CutLink:
		return agent
	default:
		return "platform"
	}
}

// engineOf returns the name of the backend server on an agent's host.
func engineOf(agent string) string {
	return strings.Replace(agent, "agent", "engine", 1)
}

// FormatSchedule formats the schedule for the script that runs it: one line for
// each start and each end, ordered by time, as "seconds start|end kind target".
func FormatSchedule(events []Event) string {
	type timedLine struct {
		at   time.Duration
		line string
	}
	var timedLines []timedLine
	for _, event := range events {
		timedLines = append(timedLines, timedLine{event.Start, fmt.Sprintf("start %s %s", event.Kind, event.Target)})
		if event.End > event.Start {
			timedLines = append(timedLines, timedLine{event.End, fmt.Sprintf("end %s %s", event.Kind, event.Target)})
		}
	}
	slices.SortStableFunc(timedLines, func(a, b timedLine) int { return int(a.at - b.at) })
	var text strings.Builder
	for _, timedLine := range timedLines {
		fmt.Fprintf(&text, "%.3f %s\n", timedLine.at.Seconds(), timedLine.line)
	}
	return text.String()
}
