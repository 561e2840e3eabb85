// Package selection compares the policies that choose a backend server, and the
// goodput under more load than the fleet can carry. It runs the entries' and
// the agents' own code over links in one process; only the engines are
// simulated. A simulation of the whole was dropped because it would measure a
// second version of the code.
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

// Command measures the table of policies and the goodput.
type Command struct {
	Output  string          `arg:"--output" default:"out/bench" help:"directory of the reports"`
	Engines int             `arg:"--engines" default:"12" help:"number of engines; the first has half the speed of the others"`
	Load    float64         `arg:"--load" default:"0.75" help:"share of the engines' capacity that the callers ask for"`
	Lags    []time.Duration `arg:"--lags" help:"ages of the stated load (default: 10ms 100ms 1s 5s)"`
	Entries []int           `arg:"--entries" help:"numbers of entries (default: 1 4 16)"`
	Policy  []string        `arg:"--policy" help:"policies to compare (default: all)"`
	WarmUp  time.Duration   `arg:"--warm-up" default:"1s"`
	Length  time.Duration   `arg:"--length" default:"3s" help:"measured time of each cell"`
	Seed    uint64          `arg:"--seed" default:"1"`
}

type (
	cellSummary struct {
		Policy     string  `json:"policy"`
		LagMS      int64   `json:"lag_ms"`
		Entries    int     `json:"entries"`
		Load       float64 `json:"load"`
		Asked      int     `json:"asked"`
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

	summary struct {
		Cells []cellSummary `json:"cells"`
	}
)

var header = []string{"policy", "lag", "entries", "load", "median ms", "p95 ms", "p99 ms", "answered", "refused", "unknown", "spread", "goodput/s"}

// Run prints and saves both tables.
func (command *Command) Run(ctx context.Context) error {
	if len(command.Lags) == 0 {
		command.Lags = []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second}
	}
	if len(command.Entries) == 0 {
		command.Entries = []int{1, 4, 16}
	}
	if err := command.policies(ctx); err != nil {
		return err
	}
	return command.goodput(ctx)
}

func (command *Command) speeds() []float64 {
	speeds := []float64{0.5}
	for len(speeds) < command.Engines {
		speeds = append(speeds, 1)
	}
	return speeds
}

// capacity is the number of requests per second that the engines can answer.
func (command *Command) capacity() float64 {
	total := 0.0
	for _, speed := range command.speeds() {
		total += speed * slots / (answer * step.Seconds())
	}
	return total
}

func (command *Command) policies(ctx context.Context) error {
	var cells []cellSummary
	for _, entries := range command.Entries {
		for _, lag := range command.Lags {
			for _, policy := range backends.Policies() {
				if len(command.Policy) > 0 && !slices.Contains(command.Policy, policy.String()) {
					continue
				}
				cell, err := command.cell(ctx, policy, lag, entries, command.Load)
				if err != nil {
					return err
				}
				cells = append(cells, cell)
			}
		}
	}
	return command.write("selection", cells, "Time to first token by policy, age of the stated load and number of entries.")
}

// goodput asks for more than the capacity. Only answers within the budget count.
func (command *Command) goodput(ctx context.Context) error {
	var cells []cellSummary
	// The queues have to fill before the measurement.
	command.WarmUp += budget
	for _, load := range []float64{0.5, 1, 2, 4} {
		cell, err := command.cell(ctx, backends.DefaultPolicy(), command.Lags[0], command.Entries[0], load)
		if err != nil {
			return err
		}
		cells = append(cells, cell)
	}
	return command.write("goodput", cells, fmt.Sprintf("Capacity: %.0f answers per second. Budget of a request: %s.", command.capacity(), budget))
}

func (command *Command) cell(ctx context.Context, policy backends.Policy, lag time.Duration, entries int, load float64) (cellSummary, error) {
	seen, err := measure(ctx, plan{
		policy: policy, lag: lag, entries: entries, speeds: command.speeds(), rate: load * command.capacity(),
		// A stated load exists only after its lag.
		warmUp: command.WarmUp + min(lag, 2*time.Second), length: command.Length,
	}, command.Seed)
	if err != nil {
		return cellSummary{}, err
	}
	return cellSummary{
		Policy: policy.String(), LagMS: lag.Milliseconds(), Entries: entries, Load: load,
		Asked: seen.asked, Answered: seen.answered, Refused: seen.refused, Unknown: seen.unknown, Wrong: seen.wrong,
		MedianMS: seen.quantile(50), P95MS: seen.quantile(95), P99MS: seen.quantile(99),
		Spread: seen.spread(command.speeds()), Goodput: float64(seen.inTime) / seen.measured, Violations: seen.violations,
	}, nil
}

func (command *Command) write(name string, cells []cellSummary, note string) error {
	table := report.Report{
		Name: name, Header: header, Summary: summary{Cells: cells},
		Command: fmt.Sprintf("bench selection --engines %d --load %g --length %s --seed %d", command.Engines, command.Load, command.Length, command.Seed),
		Notes: []string{
			note,
			"spread: most runs of an engine for its speed, divided by the least. One engine has half the speed of the others.",
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
	number := func(value float64, digits int) string { return strconv.FormatFloat(value, 'f', digits, 64) }
	return []string{
		cell.Policy, (time.Duration(cell.LagMS) * time.Millisecond).String(), strconv.Itoa(cell.Entries), number(cell.Load, 2),
		number(cell.MedianMS, 1), number(cell.P95MS, 1), number(cell.P99MS, 1),
		strconv.Itoa(cell.Answered), strconv.Itoa(cell.Refused), strconv.Itoa(cell.Unknown),
		number(cell.Spread, 2), number(cell.Goodput, 0),
	}
}
