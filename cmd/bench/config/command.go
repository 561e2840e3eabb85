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
	// propagationGoal is the longest time that an accepted change may take until it
	// is in force at every process.
	propagationGoal = 6 * time.Second
	// fullFleetProcesses is the number of processes for which results are predicted.
	fullFleetProcesses = 1290
)

type (
	// DriveCommand measures the processes of one running fleet and saves the result.
	DriveCommand struct {
		Directory string `arg:"--directory,required" help:"directory of the run, with hosts.json and the process ids"`
		Platform  string `arg:"--platform,required" help:"address of the fake platform"`
		Key       string `arg:"--key" default:"bench" help:"fleet key"`
		Changes   int    `arg:"--changes" default:"200" help:"accepted changes to make"`
		Quiet     bool   `arg:"--quiet" help:"inject no faults"`
		Seed      uint64 `arg:"--seed" default:"7" help:"seed of the choice of processes"`
		Out       string `arg:"--out,required" help:"JSON file for the result"`
	}

	// SummaryCommand prints and saves one report on the results of several fleet sizes.
	SummaryCommand struct {
		Results     []string `arg:"positional,required" help:"JSON files that config-drive has written"`
		Directory   string   `arg:"--directory" default:"docs/measurements" help:"where to save the report"`
		CommandLine string   `arg:"--command" default:"make bench_config" help:"command line to show in the report"`
	}

	// result is the measurement of one fleet size. Times run from the acceptance of
	// a change until it is in force at a process; CPU shares are of one core. Samples,
	// Paused and Missing count pairs of a change and a process: those with a time, those
	// left out because the process was paused, and those that never came into force.
	// Backwards counts revisions that came into force after a newer or the same one.
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

	// storeCounters are the numbers of reads and writes that the platform has served.
	storeCounters struct {
		Reads  int64 `json:"reads"`
		Writes int64 `json:"writes"`
	}

	// summary is the machine-readable part of the report.
	summary struct {
		Results   []result           `json:"results"`
		Slopes    map[string]float64 `json:"slopes_per_process"`
		Predicted map[string]float64 `json:"predicted_at_1290"`
		GoalMet   bool               `json:"goal_met"`
	}

	// fittedFigure is a figure of a result whose growth with the number of processes
	// is fitted with a line.
	fittedFigure struct {
		name  string
		value func(result) float64
	}
)

// Run measures the cost of the idle fleet, then its cost and the propagation times
// while configurations change, and writes the result as JSON.
func (command *DriveCommand) Run(ctx context.Context) error {
	processes, err := connect(ctx, command.Directory, command.Key)
	if err != nil {
		return err
	}
	driver := &driver{platform: command.Platform, processes: processes, random: rand.New(rand.NewPCG(command.Seed, command.Seed))}
	measured := result{Processes: len(processes), FaultsActive: !command.Quiet}
	time.Sleep(settleTime)
	idle, err := driver.measureCost(func() error { time.Sleep(idleTime); return nil })
	if err != nil {
		return err
	}
	var accepted []acceptedChange
	busy, err := driver.measureCost(func() error {
		accepted, err = driver.runChanges(ctx, command.Changes, command.Quiet)
		return err
	})
	if err != nil {
		return err
	}
	measured.IdleBytes, measured.IdleCPU = idle.bytes, idle.cpu
	measured.BusyBytes, measured.BusyCPU, measured.LargestMB = busy.bytes, busy.cpu, busy.largestMB
	measured.StoreReads, measured.StoreWrites, measured.RunSeconds = busy.reads, busy.writes, busy.seconds
	measured.Changes, measured.Refused = len(accepted), driver.refused
	if err := driver.computePropagation(ctx, accepted, &measured); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(measured, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(command.Out, append(encoded, '\n'), 0o644)
}

// processCost is the mean usage of one process per second. largestMB is the
// largest resident memory of any process. reads and writes are the store's per
// second, for the whole fleet.
type processCost struct {
	seconds   float64
	bytes     float64
	cpu       float64
	largestMB float64
	reads     float64
	writes    float64
}

// measureCost runs the workload and returns what it cost.
func (driver *driver) measureCost(workload func() error) (processCost, error) {
	before, err := driver.readUsages()
	if err != nil {
		return processCost{}, err
	}
	storeBefore, err := driver.readStoreCounters()
	if err != nil {
		return processCost{}, err
	}
	start := time.Now()
	if err := workload(); err != nil {
		return processCost{}, err
	}
	used := processCost{seconds: time.Since(start).Seconds()}
	after, err := driver.readUsages()
	if err != nil {
		return processCost{}, err
	}
	storeAfter, err := driver.readStoreCounters()
	if err != nil {
		return processCost{}, err
	}
	processSeconds := used.seconds * float64(len(before))
	for i := range after {
		used.bytes += float64(after[i].Bytes-before[i].Bytes) / processSeconds
		used.cpu += (after[i].CPUSeconds - before[i].CPUSeconds) / processSeconds
		used.largestMB = max(used.largestMB, after[i].ResidentMB())
	}
	used.reads = float64(storeAfter.Reads-storeBefore.Reads) / used.seconds
	used.writes = float64(storeAfter.Writes-storeBefore.Writes) / used.seconds
	return used, nil
}

func (driver *driver) readStoreCounters() (storeCounters, error) {
	var counters storeCounters
	response, err := http.Get("http://" + driver.platform + "/counters")
	if err != nil {
		return counters, fmt.Errorf("read the platform's counters: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	return counters, json.NewDecoder(response.Body).Decode(&counters)
}

// computePropagation computes the time from acceptance to in force for each change
// and process. Changes during which the process was paused are only counted as such.
func (driver *driver) computePropagation(ctx context.Context, accepted []acceptedChange, measured *result) error {
	var delays []time.Duration
	for _, process := range driver.processes {
		var answer appliedResult
		if err := process.call(ctx, methodApplied, appliedParams{}, &answer); err != nil {
			return fmt.Errorf("read applied revisions of %s: %w", process.host.Name, err)
		}
		for i := 1; i < len(answer.Applied); i++ {
			if answer.Applied[i].Revision <= answer.Applied[i-1].Revision {
				measured.Backwards++
			}
		}
		for _, change := range accepted {
			index := slices.IndexFunc(answer.Applied, func(applied appliedRevision) bool { return applied.Revision >= change.revision })
			switch {
			case index < 0:
				measured.Missing++
			case process.wasPaused(change.at, answer.Applied[index].At):
				measured.Paused++
			default:
				delays = append(delays, max(0, answer.Applied[index].At.Sub(change.at)))
			}
		}
	}
	if len(delays) == 0 {
		return fmt.Errorf("no change was accepted, %d were refused", measured.Refused)
	}
	slices.Sort(delays)
	measured.Samples = len(delays)
	measured.MedianMS = milliseconds(delays[len(delays)/2])
	measured.P99MS = milliseconds(delays[len(delays)*99/100])
	measured.LargestMS = milliseconds(delays[len(delays)-1])
	return nil
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}

// Run reads the results, fits a line through each figure and saves the report.
func (command *SummaryCommand) Run(context.Context) error {
	var results []result
	for _, path := range command.Results {
		encoded, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read result: %w", err)
		}
		var decoded result
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			return fmt.Errorf("decode %s: %w", filepath.Base(path), err)
		}
		results = append(results, decoded)
	}
	return summarise(results, command.CommandLine).Write(command.Directory, os.Stdout)
}

func summarise(results []result, commandLine string) report.Report {
	combined := summary{Results: results, Slopes: map[string]float64{}, Predicted: map[string]float64{}, GoalMet: true}
	table := report.Report{Name: "configuration", Command: commandLine, Header: strings.Split(
		"processes,changes,refused,median ms,p99 ms,largest ms,not in force,backwards,idle B/s,busy B/s,idle core %,busy core %,largest MB,store reads/s,store writes/s", ",")}
	for _, result := range results {
		combined.GoalMet = combined.GoalMet && result.LargestMS <= milliseconds(propagationGoal) && result.Missing == 0 && result.Backwards == 0
		table.Rows = append(table.Rows, strings.Split(fmt.Sprintf("%d,%d,%d,%.1f,%.1f,%.1f,%d,%d,%.0f,%.0f,%.2f,%.2f,%.1f,%.0f,%.1f",
			result.Processes, result.Changes, result.Refused, result.MedianMS, result.P99MS, result.LargestMS, result.Missing, result.Backwards,
			result.IdleBytes, result.BusyBytes, result.IdleCPU*100, result.BusyCPU*100, result.LargestMB, result.StoreReads, result.StoreWrites), ","))
	}
	for _, figure := range []fittedFigure{
		{"p99_ms", func(result result) float64 { return result.P99MS }},
		{"largest_ms", func(result result) float64 { return result.LargestMS }},
		{"idle_bytes_per_s", func(result result) float64 { return result.IdleBytes }},
		{"busy_bytes_per_s", func(result result) float64 { return result.BusyBytes }},
		{"idle_core_share", func(result result) float64 { return result.IdleCPU }},
		{"busy_core_share", func(result result) float64 { return result.BusyCPU }},
		{"largest_mb", func(result result) float64 { return result.LargestMB }},
	} {
		slope, atFullSize := fitAtFullSize(results, figure.value)
		combined.Slopes[figure.name], combined.Predicted[figure.name] = slope, atFullSize
		table.Notes = append(table.Notes, fmt.Sprintf("%s: %+.3g for each process, %.4g predicted at %d processes", figure.name, slope, atFullSize, fullFleetProcesses))
	}
	table.Notes = append(table.Notes,
		"Times are from accepted to in force at a process, without processes that were paused in between.",
		"Bytes are all that a process read and wrote: links, platform and log. Core shares are means over all processes.")
	table.Summary = combined
	return table
}

// fitAtFullSize fits a line through a figure by number of processes. It returns the
// slope and the value predicted for fullFleetProcesses.
func fitAtFullSize(results []result, value func(result) float64) (slope, atFullSize float64) {
	var sizes, values []float64
	for _, result := range results {
		sizes = append(sizes, float64(result.Processes))
		values = append(values, value(result))
	}
	slope, atZero := usage.FitLine(sizes, values)
	return slope, atZero + slope*fullFleetProcesses
}
