package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"firford/cmd/bench/callers"
	"firford/cmd/bench/demo"
	"firford/cmd/bench/operations"
	"firford/cmd/bench/report"
)

const maxPrintedViolations = 20

type (
	// PlanCommand prints the schedule of a run.
	PlanCommand struct {
		Seed    uint64        `arg:"--seed" default:"7"`
		Length  time.Duration `arg:"--length" default:"10m"`
		Entries int           `arg:"--entries" default:"2"`
		Agents  int           `arg:"--agents" default:"16"`
	}

	// JudgeCommand checks the records of a run and prints the result.
	JudgeCommand struct {
		Directory string        `arg:"--directory,required" help:"the fleet's directory with its records"`
		Out       string        `arg:"--out" default:"out"`
		Entries   []string      `arg:"--entries,required,separate" help:"callers' addresses of the entries, in order"`
		Published []string      `arg:"--published,required,separate" help:"versions that were published"`
		Seed      uint64        `arg:"--seed"`
		Length    time.Duration `arg:"--length"`
	}

	summary struct {
		Seed       uint64            `json:"seed"`
		Seconds    float64           `json:"seconds"`
		Requests   int               `json:"requests"`
		Outcomes   map[string]int    `json:"outcomes"`
		Executions int               `json:"executed"`
		Accepted   int               `json:"accepted_changes"`
		Faults     map[Kind]int      `json:"faults"`
		Violations map[Invariant]int `json:"violations"`
	}
)

// Run prints the schedule, one line for each start and end of a fault.
func (command *PlanCommand) Run(_ context.Context) error {
	fleet := Fleet{}
	for number := range command.Entries {
		fleet.Entries = append(fleet.Entries, fmt.Sprintf("entry-%02d", number+1))
	}
	for number := range command.Agents {
		fleet.Agents = append(fleet.Agents, fmt.Sprintf("agent-%02d", number+1))
	}
	_, err := fmt.Print(FormatSchedule(Schedule(command.Seed, fleet, command.Length)))
	return err
}

// Run prints and saves the result, and fails if an invariant was violated.
func (command *JudgeCommand) Run(_ context.Context) error {
	records, operatorResult, err := command.readRecords()
	if err != nil {
		return err
	}
	violations := CheckInvariants(records)
	result := command.summarise(records, operatorResult, violations)
	if err := command.report(result, violations).Write(command.Out, os.Stdout); err != nil {
		return err
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d violations, records in %s", len(violations), command.Directory)
	}
	return nil
}

func (command *JudgeCommand) readRecords() (Records, operations.Result, error) {
	records := Records{Published: command.Published}
	var operatorResult operations.Result
	if err := demo.ReadJSONLines(filepath.Join(command.Directory, "callers.jsonl"), &records.Requests); err != nil {
		return records, operatorResult, err
	}
	for i, request := range records.Requests {
		for number, address := range command.Entries {
			if request.Entry == address {
				records.Requests[i].Entry = fmt.Sprintf("entry-%02d", number+1)
			}
		}
	}
	if err := command.readExecutions(&records); err != nil {
		return records, operatorResult, err
	}
	encoded, err := os.ReadFile(filepath.Join(command.Directory, "operations.json"))
	if err != nil {
		return records, operatorResult, fmt.Errorf("read operators' record: %w", err)
	}
	if err := json.Unmarshal(encoded, &operatorResult); err != nil {
		return records, operatorResult, fmt.Errorf("decode operators' record: %w", err)
	}
	records.ConfigurationViolations = operatorResult.Violations
	records.Faults, err = readFaults(filepath.Join(command.Directory, "faults.log"))
	return records, operatorResult, err
}

func (command *JudgeCommand) readExecutions(records *Records) error {
	recordFiles, err := filepath.Glob(filepath.Join(command.Directory, "engine-*.record"))
	if err != nil {
		return err
	}
	for _, recordFile := range recordFiles {
		var lines []Execution
		if err := demo.ReadJSONLines(recordFile, &lines); err != nil {
			return err
		}
		for i := range lines {
			lines[i].Server = strings.TrimSuffix(filepath.Base(recordFile), ".record")
		}
		records.Executions = append(records.Executions, lines...)
	}
	return nil
}

// readFaults reads the faults that the script injected. Each line holds a time in
// seconds since 1970, "start" or "end", the kind and the target.
func readFaults(path string) ([]InjectedFault, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read faults: %w", err)
	}
	defer func() { _ = file.Close() }()
	var faults []InjectedFault
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		fields := strings.Fields(lines.Text())
		if len(fields) != 4 {
			return nil, fmt.Errorf("%s:%d: %d fields instead of 4", path, number, len(fields))
		}
		seconds, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, number, err)
		}
		at := time.UnixMilli(int64(seconds * 1000))
		faults = applyFaultLine(faults, fields[1], InjectedFault{Kind: Kind(fields[2]), Target: fields[3], Start: at, End: at})
	}
	return faults, lines.Err()
}

// applyFaultLine applies one line of the record to the faults. A start line adds the
// fault. An end line sets the end of the last fault of the same kind and target.
func applyFaultLine(faults []InjectedFault, phase string, fault InjectedFault) []InjectedFault {
	if phase == "start" {
		return append(faults, fault)
	}
	for i := len(faults) - 1; i >= 0; i-- {
		if faults[i].Kind == fault.Kind && faults[i].Target == fault.Target {
			faults[i].End = fault.End
			break
		}
	}
	return faults
}

func (command *JudgeCommand) summarise(records Records, operatorResult operations.Result, violations []Violation) summary {
	result := summary{
		Seed: command.Seed, Seconds: command.Length.Seconds(), Requests: len(records.Requests), Accepted: operatorResult.Accepted,
		Outcomes: map[string]int{}, Faults: map[Kind]int{}, Violations: map[Invariant]int{},
	}
	for _, request := range records.Requests {
		result.Outcomes[request.Outcome]++
	}
	for _, execution := range records.Executions {
		if execution.Kind != executionServed {
			result.Executions++
		}
	}
	for _, fault := range records.Faults {
		result.Faults[fault.Kind]++
	}
	for _, invariant := range Invariants() {
		result.Violations[invariant] = 0
	}
	for _, violation := range violations {
		result.Violations[violation.Invariant]++
	}
	return result
}

func (command *JudgeCommand) report(result summary, violations []Violation) report.Report {
	printed := report.Report{
		Name:    "soak",
		Command: fmt.Sprintf("make soak SECONDS=%d SEED=%d", int(command.Length.Seconds()), command.Seed),
		Header:  []string{"what", "count"},
		Summary: result,
	}
	add := func(name string, count int) {
		printed.Rows = append(printed.Rows, []string{name, strconv.Itoa(count)})
	}
	add("requests", result.Requests)
	for _, outcome := range []string{callers.OutcomeAnswered, callers.OutcomeNotRun, callers.OutcomeUnknown, callers.OutcomeLost} {
		add("requests "+outcome, result.Outcomes[outcome])
	}
	add("executions on backend servers", result.Executions)
	add("accepted configuration changes", result.Accepted)
	for _, kind := range Kinds() {
		add("fault "+string(kind), result.Faults[kind])
	}
	for _, invariant := range Invariants() {
		add("violations of "+string(invariant), result.Violations[invariant])
	}
	for _, violation := range violations[:min(len(violations), maxPrintedViolations)] {
		printed.Notes = append(printed.Notes, fmt.Sprintf("%s: %s", violation.Invariant, violation.Detail))
	}
	return printed
}
