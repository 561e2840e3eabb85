package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"firford/cmd/bench/report"
	"firford/cmd/bench/usage"
)

const (
	goal          = 6 * time.Second
	fullProcesses = 1290
)

type (
	// DriveCommand measures one running set of processes and saves the result.
	DriveCommand struct {
		Directory string `arg:"--directory,required" help:"directory of the run, with hosts.json and the process ids"`
		Platform  string `arg:"--platform,required" help:"address of the fake platform"`
		Key       string `arg:"--key" default:"bench" help:"fleet key"`
		Changes   int    `arg:"--changes" default:"200" help:"accepted changes to make"`
		Quiet     bool   `arg:"--quiet" help:"inject no faults"`
		Seed      uint64 `arg:"--seed" default:"7" help:"seed of the choice of processes"`
		Out       string `arg:"--out,required" help:"JSON file for the result"`
	}

	// SummaryCommand prints and saves the results of several sizes together.
	SummaryCommand struct {
		Results     []string `arg:"positional,required" help:"JSON files that drive has written"`
		Directory   string   `arg:"--directory" default:"docs/measurements" help:"where to save the report"`
		CommandLine string   `arg:"--command" default:"make bench_config" help:"command line to show in the report"`
	}

	// result is the measurement of one size. Times are in milliseconds, from
	// accepted to in force; the shares are of one core.
	result struct {
		Processes    int     `json:"processes"`
		Changes      int     `json:"changes"`
		Refused      int     `json:"refused"`
		Samples      int     `json:"samples"`
		Paused       int     `json:"paused"`
		Missing      int     `json:"missing"`
		Backwards    int     `json:"backwards"`
		MedianMS     float64 `json:"median_ms"`
		P99MS        float64 `json:"p99_ms"`
		LargestMS    float64 `json:"largest_ms"`
		IdleBytes    float64 `json:"idle_bytes_per_s"`
		BusyBytes    float64 `json:"busy_bytes_per_s"`
		IdleCPU      float64 `json:"idle_core_share"`
		BusyCPU      float64 `json:"busy_core_share"`
		LargestMB    float64 `json:"largest_mb"`
		StoreReads   float64 `json:"store_reads_per_s"`
		StoreWrites  float64 `json:"store_writes_per_s"`
		RunSeconds   float64 `json:"run_s"`
		FaultsActive bool    `json:"faults"`
	}

	counters struct {
		Reads  int64 `json:"reads"`
		Writes int64 `json:"writes"`
	}

	summary struct {
		Results   []result           `json:"results"`
		Slopes    map[string]float64 `json:"slopes_per_process"`
		Predicted map[string]float64 `json:"predicted_at_1290"`
		GoalMet   bool               `json:"goal_met"`
	}

	// column is a figure whose growth with the number of processes is fitted.
	column struct {
		name string
		of   func(result) float64
	}
)

// Run measures and writes the result.
func (command *DriveCommand) Run(ctx context.Context) error {
	members, err := connect(ctx, command.Directory, command.Key)
	if err != nil {
		return err
	}
	driver := &driver{platform: command.Platform, members: members, random: rand.New(rand.NewPCG(command.Seed, command.Seed))}
	measured := result{Processes: len(members), FaultsActive: !command.Quiet}
	time.Sleep(settleTime)
	idle, err := driver.cost(func() error { time.Sleep(idleTime); return nil })
	if err != nil {
		return err
	}
	var made []accepted
	busy, err := driver.cost(func() error {
		made, err = driver.run(ctx, command.Changes, command.Quiet)
		return err
	})
	if err != nil {
		return err
	}
	measured.IdleBytes, measured.IdleCPU = idle.bytes, idle.cpu
	measured.BusyBytes, measured.BusyCPU, measured.LargestMB = busy.bytes, busy.cpu, busy.largestMB
	measured.StoreReads, measured.StoreWrites, measured.RunSeconds = busy.reads, busy.writes, busy.seconds
	measured.Changes, measured.Refused = len(made), driver.refused
	if err := driver.judge(ctx, made, &measured); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(measured, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(command.Out, append(encoded, '\n'), 0o644)
}

type cost struct {
	seconds   float64
	bytes     float64
	cpu       float64
	largestMB float64
	reads     float64
	writes    float64
}

// cost runs the function and returns the mean cost of a process for a second.
func (driver *driver) cost(run func() error) (cost, error) {
	before, err := driver.usages()
	if err != nil {
		return cost{}, err
	}
	storeBefore, err := driver.counters()
	if err != nil {
		return cost{}, err
	}
	start := time.Now()
	if err := run(); err != nil {
		return cost{}, err
	}
	used := cost{seconds: time.Since(start).Seconds()}
	after, err := driver.usages()
	if err != nil {
		return cost{}, err
	}
	storeAfter, err := driver.counters()
	if err != nil {
		return cost{}, err
	}
	share := used.seconds * float64(len(before))
	for i := range after {
		used.bytes += float64(after[i].Bytes-before[i].Bytes) / share
		used.cpu += (after[i].CPUSeconds - before[i].CPUSeconds) / share
		used.largestMB = max(used.largestMB, after[i].ResidentMB())
	}
	used.reads = float64(storeAfter.Reads-storeBefore.Reads) / used.seconds
	used.writes = float64(storeAfter.Writes-storeBefore.Writes) / used.seconds
	return used, nil
}

func (driver *driver) counters() (counters, error) {
	var counted counters
	response, err := http.Get("http://" + driver.platform + "/counters")
	if err != nil {
		return counted, fmt.Errorf("read the platform's counters: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	return counted, json.NewDecoder(response.Body).Decode(&counted)
}

// judge computes the time from accepted to in force for each change and
// process. A process that was paused in between does not count.
func (driver *driver) judge(ctx context.Context, made []accepted, measured *result) error {
	var spans []time.Duration
	for _, each := range driver.members {
		var answer appliedResult
		if err := each.call(ctx, methodApplied, appliedParams{}, &answer); err != nil {
			return fmt.Errorf("ask %s: %w", each.host.Name, err)
		}
		for i := 1; i < len(answer.Applied); i++ {
			if answer.Applied[i].Revision <= answer.Applied[i-1].Revision {
				measured.Backwards++
			}
		}
		for _, change := range made {
			at := slices.IndexFunc(answer.Applied, func(entry applied) bool { return entry.Revision >= change.revision })
			switch {
			case at < 0:
				measured.Missing++
			case each.wasPaused(change.at, answer.Applied[at].At):
				measured.Paused++
			default:
				spans = append(spans, max(0, answer.Applied[at].At.Sub(change.at)))
			}
		}
	}
	if len(spans) == 0 {
		return fmt.Errorf("no change was accepted, %d were refused", measured.Refused)
	}
	slices.Sort(spans)
	measured.Samples = len(spans)
	measured.MedianMS = milliseconds(spans[len(spans)/2])
	measured.P99MS = milliseconds(spans[len(spans)*99/100])
	measured.LargestMS = milliseconds(spans[len(spans)-1])
	return nil
}

func milliseconds(span time.Duration) float64 {
	return float64(span.Microseconds()) / 1000
}

// Run reads the results, fits the slopes and saves the report.
func (command *SummaryCommand) Run(context.Context) error {
	var results []result
	for _, path := range command.Results {
		encoded, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read result: %w", err)
		}
		var each result
		if err := json.Unmarshal(encoded, &each); err != nil {
			return fmt.Errorf("decode %s: %w", filepath.Base(path), err)
		}
		results = append(results, each)
	}
	return summarise(results, command.CommandLine).Write(command.Directory, os.Stdout)
}

func summarise(results []result, shown string) report.Report {
	whole := summary{Results: results, Slopes: map[string]float64{}, Predicted: map[string]float64{}, GoalMet: true}
	table := report.Report{Name: "configuration", Command: shown, Header: strings.Split(
		"processes,changes,refused,median ms,p99 ms,largest ms,not in force,backwards,idle B/s,busy B/s,idle core %,busy core %,largest MB,store reads/s,store writes/s", ",")}
	for _, each := range results {
		whole.GoalMet = whole.GoalMet && each.LargestMS <= milliseconds(goal) && each.Missing == 0 && each.Backwards == 0
		table.Rows = append(table.Rows, strings.Split(fmt.Sprintf("%d,%d,%d,%.1f,%.1f,%.1f,%d,%d,%.0f,%.0f,%.2f,%.2f,%.1f,%.0f,%.1f",
			each.Processes, each.Changes, each.Refused, each.MedianMS, each.P99MS, each.LargestMS, each.Missing, each.Backwards,
			each.IdleBytes, each.BusyBytes, each.IdleCPU*100, each.BusyCPU*100, each.LargestMB, each.StoreReads, each.StoreWrites), ","))
	}
	for _, fitted := range []column{
		{"p99_ms", func(each result) float64 { return each.P99MS }},
		{"largest_ms", func(each result) float64 { return each.LargestMS }},
		{"idle_bytes_per_s", func(each result) float64 { return each.IdleBytes }},
		{"busy_bytes_per_s", func(each result) float64 { return each.BusyBytes }},
		{"idle_core_share", func(each result) float64 { return each.IdleCPU }},
		{"busy_core_share", func(each result) float64 { return each.BusyCPU }},
		{"largest_mb", func(each result) float64 { return each.LargestMB }},
	} {
		slope, at := fit(results, fitted.of)
		whole.Slopes[fitted.name], whole.Predicted[fitted.name] = slope, at
		table.Notes = append(table.Notes, fmt.Sprintf("%s: %+.3g for each process, %.4g predicted at %d processes", fitted.name, slope, at, fullProcesses))
	}
	table.Notes = append(table.Notes,
		"Times are from accepted to in force at a process, without processes that were paused in between.",
		"Bytes are all that a process read and wrote: links, platform and log. Core shares are means over all processes.")
	table.Summary = whole
	return table
}

// fit returns the slope and the value at full size.
func fit(results []result, of func(result) float64) (slope, atFull float64) {
	var sizes, values []float64
	for _, each := range results {
		sizes = append(sizes, float64(each.Processes))
		values = append(values, of(each))
	}
	slope, atZero := usage.FitLine(sizes, values)
	return slope, atZero + slope*fullProcesses
}
