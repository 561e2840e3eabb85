package burst

import (
	"context"
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"firford/cmd/bench/report"
)

type (
	// TableCommand prints and saves the results of several runs.
	TableCommand struct {
		Out     string   `default:"out" help:"where the table is saved"`
		Name    string   `default:"burst" help:"name of the saved files"`
		Command string   `help:"command line that produced the results"`
		Results []string `arg:"positional,required" help:"directories of the runs; the last line of the output shows the first"`
	}

	// CompareCommand compares two saved tables.
	CompareCommand struct {
		Before string `arg:"positional,required" help:"JSON file of the earlier table"`
		After  string `arg:"positional,required" help:"JSON file of the later table"`
	}

	// summary is the saved last line: the figures of the first run, and all rows
	// for a later comparison.
	summary struct {
		result
		Rows []result `json:"rows"`
	}

	// savedTable is the part of a saved table that CompareCommand reads.
	savedTable struct {
		Summary summary `json:"summary"`
	}

	// metric is one figure of a result that CompareCommand compares.
	metric struct {
		name  string
		value func(result) float64
	}
)

var metrics = []metric{
	{"time_ratio", func(row result) float64 { return row.TimeRatio }},
	{"origin_copies", func(row result) float64 { return row.OriginCopies }},
	{"first_s", func(row result) float64 { return row.FirstS }},
	{"half_s", func(row result) float64 { return row.HalfS }},
	{"all_s", func(row result) float64 { return row.AllS }},
	{"control_bytes_per_host_s", func(row result) float64 { return row.ControlRate }},
	{"live_p95_ratio", func(row result) float64 { return row.LiveRatio }},
	{"complete", func(row result) float64 { return float64(row.Complete) }},
}

// Run prints and saves the table.
func (command *TableCommand) Run(context.Context) error {
	var rows []result
	for _, directory := range command.Results {
		var row result
		if err := readJSON(filepath.Join(directory, "result.json"), &row); err != nil {
			return err
		}
		rows = append(rows, row)
	}
	if err := os.MkdirAll(command.Out, 0o755); err != nil {
		return fmt.Errorf("save table: %w", err)
	}
	if err := plotCompletion(rows, filepath.Join(command.Out, command.Name+".png")); err != nil {
		return err
	}
	first := rows[0]
	table := report.Report{
		Name:    command.Name,
		Command: command.Command,
		Header: []string{
			"strategy", "policy", "hosts", "faults", "seed", "W s", "limit s", "first s", "half s", "all s", "ratio",
			"copies", "control B/s", "live p95 ms", "ratio", "complete", "wrong", "duplicates", "refused", "broken",
		},
		Notes: []string{
			"Link model: full duplex, in W the origin's link carries 4 copies and a host's link 2, so that no host is complete before W/2.",
			"Control bytes: sent and received on the links of one host, from the burst's start until the host is complete.",
			"All s and its ratio to the limit are those of the last surviving host.",
		},
		Summary: summary{result: first},
	}
	for _, row := range rows {
		table.Rows = append(table.Rows, row.cells())
	}
	saved := table
	saved.Summary = summary{result: first, Rows: rows}
	return saveAndPrint(table, saved, command.Out)
}

// saveAndPrint saves the table with all rows, and prints it with a last line that
// holds the first run without its list of times.
func saveAndPrint(printed, saved report.Report, directory string) error {
	devNull, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("save table: %w", err)
	}
	defer func() { _ = devNull.Close() }()
	if err := saved.Write(directory, devNull); err != nil {
		return err
	}
	row, isSummary := printed.Summary.(summary)
	if !isSummary {
		return fmt.Errorf("unexpected summary type %T", printed.Summary)
	}
	row.TimesS = nil
	encoded, err := json.Marshal(row.result)
	if err != nil {
		return fmt.Errorf("encode summary: %w", err)
	}
	_, err = fmt.Printf("%s\n%s\n", printed.Text(), encoded)
	return err
}

func (row result) cells() []string {
	return []string{
		row.Strategy, row.Policy, fmt.Sprint(row.Hosts), row.Faults, fmt.Sprint(row.Seed), fmt.Sprintf("%.1f", row.WindowS),
		fmt.Sprintf("%.2f", row.LimitS), fmt.Sprintf("%.2f", row.FirstS), fmt.Sprintf("%.2f", row.HalfS),
		fmt.Sprintf("%.2f", row.AllS), fmt.Sprintf("%.3f", row.TimeRatio), fmt.Sprintf("%.3f", row.OriginCopies),
		fmt.Sprintf("%.0f", row.ControlRate), fmt.Sprintf("%.1f -> %.1f", row.LiveBeforeMS, row.LiveDuringMS),
		fmt.Sprintf("%.2f", row.LiveRatio), fmt.Sprintf("%d/%d", row.Complete, row.Surviving),
		fmt.Sprint(row.WrongChunks), fmt.Sprint(row.Duplicates), fmt.Sprint(row.Refused), fmt.Sprint(row.Broken),
	}
}

// plotCompletion plots the share of complete replicas over time. Time is in
// multiples of the ideal transfer time.
func plotCompletion(rows []result, path string) error {
	chart := plot.New()
	chart.Title.Text = "Replicas that hold the verified version"
	chart.X.Label.Text = "time / limit"
	chart.Y.Label.Text = "share of the surviving hosts"
	chart.Legend.Top = true
	for index, row := range rows {
		var points plotter.XYs
		for count, elapsed := range row.TimesS {
			points = append(points, plotter.XY{X: elapsed / row.LimitS, Y: float64(count+1) / float64(row.Surviving)})
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		line.Color = plotutil.Color(index)
		line.StepStyle = plotter.PostStep
		chart.Add(line)
		chart.Legend.Add(fmt.Sprintf("%s, %d hosts, faults %s", row.Strategy, row.Hosts, row.Faults), line)
	}
	chart.BackgroundColor = color.White
	if err := chart.Save(8*vg.Inch, 5*vg.Inch, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}

// Run prints the figures of rows with the same strategy, policy, hosts and faults
// side by side.
func (command *CompareCommand) Run(context.Context) error {
	var before, after savedTable
	if err := readJSON(command.Before, &before); err != nil {
		return err
	}
	if err := readJSON(command.After, &after); err != nil {
		return err
	}
	comparison := report.Report{
		Name:    "burst_compare",
		Command: "bench burst compare " + command.Before + " " + command.After,
		Header:  []string{"strategy", "hosts", "faults", "figure", "before", "after", "change"},
		Summary: map[string]int{"compared": 0},
	}
	matched := 0
	for _, afterRow := range after.Summary.Rows {
		for _, beforeRow := range before.Summary.Rows {
			if afterRow.Strategy != beforeRow.Strategy || afterRow.Hosts != beforeRow.Hosts || afterRow.Faults != beforeRow.Faults || afterRow.Policy != beforeRow.Policy {
				continue
			}
			matched++
			comparison.Rows = append(comparison.Rows, compareRows(beforeRow, afterRow)...)
		}
	}
	comparison.Summary = map[string]int{"compared": matched}
	return comparison.Write(filepath.Dir(command.After), os.Stdout)
}

func compareRows(beforeRow, afterRow result) [][]string {
	var rows [][]string
	for _, each := range metrics {
		before, after := each.value(beforeRow), each.value(afterRow)
		change := "-"
		if before != 0 {
			change = fmt.Sprintf("%+.1f%%", 100*(after-before)/before)
		}
		rows = append(rows, []string{
			afterRow.Strategy, fmt.Sprint(afterRow.Hosts), afterRow.Faults, each.name,
			fmt.Sprintf("%.3f", before), fmt.Sprintf("%.3f", after), change,
		})
	}
	return rows
}

func readJSON(path string, decoded any) error {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read result: %w", err)
	}
	if err := json.Unmarshal(encoded, decoded); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}
