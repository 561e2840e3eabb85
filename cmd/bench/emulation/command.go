package emulation

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// Command compares admission and placement policies in simulated time.
type Command struct {
	Seeds     int     `arg:"--seeds" default:"5" help:"number of seeds"`
	FirstSeed uint64  `arg:"--first-seed" default:"1" help:"the first seed"`
	Engines   int     `arg:"--engines" default:"16" help:"number of engines"`
	Rate      float64 `arg:"--rate" default:"152" help:"usual number of requests per second"`
	Patterns  string  `arg:"--patterns" help:"load patterns, separated by commas (default: all)"`
	Policies  string  `arg:"--policies" help:"policies, separated by commas (default: all)"`
	Plot      string  `arg:"--plot" help:"also draw a chart of the worths into this file; its extension selects .svg, .png or .pdf"`
}

// row is the merged result of a policy's runs under a load pattern, one for each seed.
type row struct {
	pattern, policy string
	result          result
}

// Run simulates all selected policies and patterns, prints the table and draws the
// chart if a file is given.
func (command *Command) Run(ctx context.Context) error {
	rows, err := command.compare(ctx)
	if err != nil {
		return err
	}
	printRows(os.Stdout, rows)
	printKinds(os.Stdout, rows)
	if command.Plot == "" {
		return nil
	}
	return plotWorths(rows, command.Plot)
}

// compare simulates each selected pattern and policy with all seeds.
func (command *Command) compare(ctx context.Context) ([]row, error) {
	var rows []row
	for _, pattern := range loadPatterns() {
		if !isNamed(command.Patterns, pattern.name) {
			continue
		}
		for _, variant := range policyVariants() {
			if !isNamed(command.Policies, variant.name) {
				continue
			}
			sum := row{pattern: pattern.name, policy: variant.name}
			for seed := range uint64(command.Seeds) {
				if ctx.Err() != nil {
					return nil, ctx.Err()
				}
				sum.result = sum.result.merge(emulate(variant, pattern, command.FirstSeed+seed, command.Engines, command.Rate))
			}
			rows = append(rows, sum)
		}
	}
	return rows, nil
}

// isNamed reports whether the comma-separated list is empty or contains the name.
func isNamed(list, name string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), name)
}

// printKinds writes the results of each kind of requests as a Markdown table.
func printKinds(out io.Writer, rows []row) {
	_, _ = fmt.Fprintln(out, "\n| pattern | policy | kind | worth | on time | late | refused | failed |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|")
	for _, row := range rows {
		for _, name := range slices.Sorted(maps.Keys(row.result.kinds)) {
			sum := row.result.kinds[name]
			_, _ = fmt.Fprintf(out, "| %s | %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f |\n", row.pattern, row.policy, name,
				sum.earnedWorth/max(1, sum.offeredWorth), sum.share(outcomeOnTime), sum.share(outcomeLate), sum.share(outcomeRefused), sum.share(outcomeFailed))
		}
	}
}

// printRows writes the rows as a Markdown table.
func printRows(out io.Writer, rows []row) {
	_, _ = fmt.Fprintln(out, "| pattern | policy | worth | on time | late | refused | failed | refused again | first event ms, median | 95% |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|")
	for _, row := range rows {
		result := row.result
		_, _ = fmt.Fprintf(out, "| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %d |\n",
			row.pattern, row.policy, result.worthShare(), result.share(outcomeOnTime), result.share(outcomeLate), result.share(outcomeRefused),
			result.share(outcomeFailed), float64(result.refusedRepeatedly)/max(1, float64(result.countRequests())),
			result.firstEventQuantile(0.5).Milliseconds(), result.firstEventQuantile(0.95).Milliseconds())
	}
}
