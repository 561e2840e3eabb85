// Package selection compares the policies that choose a backend server, and
// measures the goodput under overload. It runs the code of entries and agents over
// links in one process; only the engines are simulated. A simulation of the whole
// fleet was dropped because it would measure a second version of the code.
package selection

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"firford/cmd/bench/report"
	"firford/lib/backends"
)

// Command measures the time to first token by policy, and the goodput by load.
type Command struct {
	Output  string          `arg:"--output" default:"out/bench" help:"directory of the reports"`
	Engines int             `arg:"--engines" default:"12" help:"number of engines; the first has half the speed of the others"`
	Load    float64         `arg:"--load" default:"0.75" help:"load of the callers as a share of the engines' capacity"`
	Lags    []time.Duration `arg:"--lags" help:"ages of the reported load (default: 10ms 100ms 1s 5s)"`
	Entries []int           `arg:"--entries" help:"numbers of entries (default: 1 4 16)"`
	Policy  []string        `arg:"--policy" help:"policies to compare (default: all)"`
	WarmUp  time.Duration   `arg:"--warm-up" default:"1s"`
	Length  time.Duration   `arg:"--length" default:"3s" help:"measured time of each cell"`
	Seed    uint64          `arg:"--seed" default:"1"`
}

type (
	// cellSummary is a row of a table: one policy, lag, number of entries and load.
	cellSummary struct {
		Policy     string  `json:"policy"`
		LagMS      int64   `json:"lag_ms"`
		Entries    int     `json:"entries"`
		Load       float64 `json:"load"`
		Sent       int     `json:"asked"`
		Answered   int     `json:"answered"`
		Refused    int     `json:"refused"`
		Unknown    int     `json:"unknown"`
		Wrong      int     `json:"wrong"`
		MedianMS   float64 `json:"first_token_median_ms"`
		P95MS      float64 `json:"first_token_p95_ms"`
		P99MS      float64 `json:"first_token_p99_ms"`
		Spread     float64 `json:"spread"`
		Goodput    float64 `json:"goodput_per_s"`
		Violations int     `json:"violations"`
	}

	// summary is the machine-readable part of a report.
	summary struct {
		Cells []cellSummary `json:"cells"`
	}
)

var header = []string{"policy", "lag", "entries", "load", "median ms", "p95 ms", "p99 ms", "answered", "refused", "unknown", "spread", "goodput/s"}

// Run measures, prints and saves both tables.
func (command *Command) Run(ctx context.Context) error {
	if len(command.Lags) == 0 {
		command.Lags = []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second}
	}
	if len(command.Entries) == 0 {
		command.Entries = []int{1, 4, 16}
	}
	if err := command.comparePolicies(ctx); err != nil {
		return err
	}
	return command.measureGoodput(ctx)
}

// speeds returns the speed factor of each engine. The first has half the speed.
func (command *Command) speeds() []float64 {
	speeds := []float64{0.5}
	for len(speeds) < command.Engines {
		speeds = append(speeds, 1)
	}
	return speeds
}

// capacity returns how many requests per second the engines can answer.
func (command *Command) capacity() float64 {
	total := 0.0
	for _, speed := range command.speeds() {
		total += speed * slotsPerEngine / (answerTokens * tokenInterval.Seconds())
	}
	return total
}

// comparePolicies measures each policy by lag and number of entries.
func (command *Command) comparePolicies(ctx context.Context) error {
	var cells []cellSummary
	for _, entries := range command.Entries {
		for _, lag := range command.Lags {
			for _, policy := range backends.Policies() {
				if len(command.Policy) > 0 && !slices.Contains(command.Policy, policy.String()) {
					continue
				}
				cell, err := command.runCell(ctx, policy, lag, entries, command.Load)
				if err != nil {
					return err
				}
				cells = append(cells, cell)
			}
		}
	}
	return command.writeReport("selection", cells, "Time to first token by policy, age of the reported load and number of entries.")
}

// measureGoodput measures the default policy at loads below and above the capacity.
// Only answers within the time budget of a request count towards the goodput.
func (command *Command) measureGoodput(ctx context.Context) error {
	var cells []cellSummary
	// Under overload, the queues need this long to fill before the measurement.
	command.WarmUp += requestBudget
	for _, load := range []float64{0.5, 1, 2, 4} {
		cell, err := command.runCell(ctx, backends.DefaultPolicy(), command.Lags[0], command.Entries[0], load)
		if err != nil {
			return err
		}
		cells = append(cells, cell)
	}
	return command.writeReport("goodput", cells, fmt.Sprintf("Capacity: %.0f answers per second. Budget of a request: %s.", command.capacity(), requestBudget))
}

// runCell measures one cell. The load is a share of the capacity.
func (command *Command) runCell(ctx context.Context, policy backends.Policy, lag time.Duration, entries int, load float64) (cellSummary, error) {
	measured, err := measureCell(ctx, cellPlan{
		policy: policy, lag: lag, entries: entries, speeds: command.speeds(), rate: load * command.capacity(),
		// Agents report a load only after the lag.
		warmUp: command.WarmUp + min(lag, 2*time.Second), length: command.Length,
	}, command.Seed)
	if err != nil {
		return cellSummary{}, err
	}
	return cellSummary{
		Policy: policy.String(), LagMS: lag.Milliseconds(), Entries: entries, Load: load,
		Sent: measured.sent, Answered: measured.answered, Refused: measured.refused, Unknown: measured.unknown, Wrong: measured.wrong,
		MedianMS: measured.quantileMS(50), P95MS: measured.quantileMS(95), P99MS: measured.quantileMS(99),
		Spread: measured.spread(command.speeds()), Goodput: float64(measured.answeredInTime) / measured.measuredSeconds, Violations: measured.violations,
	}, nil
}

func (command *Command) writeReport(name string, cells []cellSummary, note string) error {
	table := report.Report{
		Name: name, Header: header, Summary: summary{Cells: cells},
		Command: fmt.Sprintf("bench selection --engines %d --load %g --length %s --seed %d", command.Engines, command.Load, command.Length, command.Seed),
		Notes: []string{
			note,
			"spread: the highest number of runs of an engine relative to its speed, divided by the lowest. One engine has half the speed of the others.",
		},
	}
	for _, cell := range cells {
		if cell.Wrong+cell.Violations > 0 {
			table.Notes = append(table.Notes, fmt.Sprintf("WRONG: %d answers, %d violated invariants (%s)", cell.Wrong, cell.Violations, cell.Policy))
		}
		table.Rows = append(table.Rows, cell.row())
	}
	return table.Write(command.Output, os.Stdout)
}

func (cell cellSummary) row() []string {
	format := func(value float64, digits int) string { return strconv.FormatFloat(value, 'f', digits, 64) }
	return []string{
		cell.Policy, (time.Duration(cell.LagMS) * time.Millisecond).String(), strconv.Itoa(cell.Entries), format(cell.Load, 2),
		format(cell.MedianMS, 1), format(cell.P95MS, 1), format(cell.P99MS, 1),
		strconv.Itoa(cell.Answered), strconv.Itoa(cell.Refused), strconv.Itoa(cell.Unknown),
		format(cell.Spread, 2), format(cell.Goodput, 0),
	}
}
