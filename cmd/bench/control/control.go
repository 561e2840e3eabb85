// Package control measures what entries and agents cost while no request runs:
// bytes, processor time and memory by number of entries and agents, and the
// slopes from which docs/CAPACITY.md works out the full size.
package control

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"firford/cmd/bench/report"
	"firford/cmd/bench/usage"
)

const (
	roleEntry = "entry"
	roleAgent = "agent"

	fullAgentsOfEntry = 20 // Agents that an entry is linked with at full size.
	fullEntriesOfHost = 8  // Entries that are linked with one agent at full size.
)

type (
	// MeasureCommand measures a running fleet and writes the result.
	MeasureCommand struct {
		Directory string        `arg:"--directory,required" help:"the fleet's directory"`
		Length    time.Duration `arg:"--length" default:"20s" help:"measured time"`
		Result    string        `arg:"--result,required" help:"JSON file for the result"`
	}

	// SummaryCommand fits the slopes and prints the table.
	SummaryCommand struct {
		Results []string `arg:"positional,required" help:"files that the measurements have written"`
		Out     string   `arg:"--out" default:"out"`
	}

	// cost is the mean over the processes of one role.
	cost struct {
		BytesPerS  float64 `json:"bytes_per_s"`
		CoreShare  float64 `json:"core_share"`
		ResidentMB float64 `json:"resident_mb"`
	}

	result struct {
		Entries int             `json:"entries"`
		Agents  int             `json:"agents"`
		Costs   map[string]cost `json:"costs"`
	}

	line struct {
		PerPeer float64 `json:"per_peer"`
		Fixed   float64 `json:"fixed"`
		Full    float64 `json:"at_full_size"`
	}

	summary struct {
		Entry map[string]line `json:"entry_by_agents"`
		Agent map[string]line `json:"agent_by_entries"`
	}
)

// Run samples all entries and agents at the start and the end.
func (command *MeasureCommand) Run(ctx context.Context) error {
	measured := result{Costs: map[string]cost{}}
	before := map[int]usage.Usage{}
	roles := map[int]string{}
	for _, role := range []string{roleEntry, roleAgent} {
		files, err := filepath.Glob(filepath.Join(command.Directory, role+"-*.pid"))
		if err != nil {
			return err
		}
		for _, file := range files {
			id, err := usage.ReadPIDFile(file)
			if err != nil {
				return err
			}
			roles[id] = role
			if before[id], err = usage.Read(id); err != nil {
				return err
			}
		}
	}
	start := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(command.Length):
	}
	elapsed := time.Since(start).Seconds()
	counts := map[string]int{}
	for id, role := range roles {
		after, err := usage.Read(id)
		if err != nil {
			return err
		}
		counts[role]++
		sum := measured.Costs[role]
		sum.BytesPerS += float64(after.Bytes-before[id].Bytes) / elapsed
		sum.CoreShare += (after.CPUSeconds - before[id].CPUSeconds) / elapsed
		sum.ResidentMB += after.ResidentMB()
		measured.Costs[role] = sum
	}
	for role, sum := range measured.Costs {
		count := float64(counts[role])
		measured.Costs[role] = cost{sum.BytesPerS / count, sum.CoreShare / count, sum.ResidentMB / count}
	}
	measured.Entries, measured.Agents = counts[roleEntry], counts[roleAgent]
	encoded, err := json.Marshal(measured)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	return os.WriteFile(command.Result, append(encoded, '\n'), 0o644)
}

// Run prints and saves the table with the fitted lines.
func (command *SummaryCommand) Run(_ context.Context) error {
	var results []result
	for _, path := range command.Results {
		encoded, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read result: %w", err)
		}
		var each result
		if err := json.Unmarshal(encoded, &each); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		results = append(results, each)
	}
	return tableOf(results).Write(command.Out, os.Stdout)
}

// measures are the columns of each role.
var measures = []struct {
	name string
	of   func(cost) float64
}{
	{"bytes_per_s", func(cost cost) float64 { return cost.BytesPerS }},
	{"core_share", func(cost cost) float64 { return cost.CoreShare }},
	{"resident_mb", func(cost cost) float64 { return cost.ResidentMB }},
}

func tableOf(results []result) report.Report {
	table := report.Report{
		Name:    "control",
		Command: "make bench_control",
		Header:  []string{"entries", "agents", "entry B/s", "entry core", "entry MiB", "agent B/s", "agent core", "agent MiB"},
	}
	for _, each := range results {
		row := []string{strconv.Itoa(each.Entries), strconv.Itoa(each.Agents)}
		for _, role := range []string{roleEntry, roleAgent} {
			cost := each.Costs[role]
			row = append(row, fmt.Sprintf("%.0f", cost.BytesPerS), fmt.Sprintf("%.2f%%", 100*cost.CoreShare), fmt.Sprintf("%.1f", cost.ResidentMB))
		}
		table.Rows = append(table.Rows, row)
	}
	whole := summary{Entry: map[string]line{}, Agent: map[string]line{}}
	for _, measure := range measures {
		whole.Entry[measure.name] = fitted(results, roleEntry, measure.of, fullAgentsOfEntry,
			func(each result) (x, other int) { return each.Agents, each.Entries })
		whole.Agent[measure.name] = fitted(results, roleAgent, measure.of, fullEntriesOfHost,
			func(each result) (x, other int) { return each.Entries, each.Agents })
	}
	for _, measure := range measures {
		table.Notes = append(table.Notes, fmt.Sprintf("%s: entry %s for each linked agent; agent %s for each linked entry",
			measure.name, whole.Entry[measure.name], whole.Agent[measure.name]))
	}
	table.Notes = append(table.Notes, fmt.Sprintf("Full size: an entry is linked with %d agents of a deployment, an agent with about %d entries.",
		fullAgentsOfEntry, fullEntriesOfHost), "Bytes are all that a process reads and writes: links, platform, its backend server's status, log.")
	table.Summary = whole
	return table
}

func (line line) String() string {
	return fmt.Sprintf("%.4g + %.4g", line.Fixed, line.PerPeer)
}

// fitted fits a role's cost by the number of its peers, over the results in
// which the number of its own kind is the most frequent one.
func fitted(results []result, role string, of func(cost) float64, full float64, split func(result) (x, other int)) line {
	frequency := map[int]int{}
	common := 0
	for _, each := range results {
		_, other := split(each)
		frequency[other]++
		if frequency[other] > frequency[common] {
			common = other
		}
	}
	var x, y []float64
	for _, each := range results {
		peers, other := split(each)
		if other != common {
			continue
		}
		linked := float64(peers)
		if role == roleEntry {
			linked = min(linked, fullAgentsOfEntry)
		}
		x, y = append(x, linked), append(y, of(each.Costs[role]))
	}
	slope, fixed := usage.FitLine(x, y)
	return line{PerPeer: slope, Fixed: fixed, Full: fixed + slope*full}
}
