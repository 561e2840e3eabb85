// Package control measures what entries and agents cost while no request runs:
// bytes, processor time and memory by number of entries and agents. It fits the
// growth of these costs, from which docs/CAPACITY.md derives those of the full fleet.
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

	agentsPerEntryAtFullSize  = 20 // Agents to which an entry has links in the full fleet.
	entriesPerAgentAtFullSize = 8  // Entries that have links to one agent in the full fleet.
)

type (
	// MeasureCommand measures the costs of a running fleet and writes them as JSON.
	MeasureCommand struct {
		Directory string        `arg:"--directory,required" help:"the fleet's directory"`
		Length    time.Duration `arg:"--length" default:"20s" help:"measured time"`
		Result    string        `arg:"--result,required" help:"JSON file for the result"`
	}

	// SummaryCommand fits the costs of several fleet sizes and prints the report.
	SummaryCommand struct {
		Results []string `arg:"positional,required" help:"files that the measurements have written"`
		Out     string   `arg:"--out" default:"out"`
	}

	// cost is the mean cost of the processes of one role.
	cost struct {
		BytesPerS  float64 `json:"bytes_per_s"`
		CoreShare  float64 `json:"core_share"`
		ResidentMB float64 `json:"resident_mb"`
	}

	// result is the measurement of one fleet size, with costs by role.
	result struct {
		Entries int             `json:"entries"`
		Agents  int             `json:"agents"`
		Costs   map[string]cost `json:"costs"`
	}

	// fittedLine is a cost by number of linked peers.
	fittedLine struct {
		PerPeer    float64 `json:"per_peer"`
		Fixed      float64 `json:"fixed"`
		AtFullSize float64 `json:"at_full_size"`
	}

	// summary is the machine-readable part of the report, with lines by metric.
	summary struct {
		Entry map[string]fittedLine `json:"entry_by_agents"`
		Agent map[string]fittedLine `json:"agent_by_entries"`
	}
)

// Run reads the usage of all entries and agents at the start and the end of the
// measured time, and writes the mean costs of each role.
func (command *MeasureCommand) Run(ctx context.Context) error {
	measured := result{Costs: map[string]cost{}}
	before := map[int]usage.Usage{}
	roleByID := map[int]string{}
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
			roleByID[id] = role
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
	for id, role := range roleByID {
		after, err := usage.Read(id)
		if err != nil {
			return err
		}
		counts[role]++
		total := measured.Costs[role]
		total.BytesPerS += float64(after.Bytes-before[id].Bytes) / elapsed
		total.CoreShare += (after.CPUSeconds - before[id].CPUSeconds) / elapsed
		total.ResidentMB += after.ResidentMB()
		measured.Costs[role] = total
	}
	for role, total := range measured.Costs {
		count := float64(counts[role])
		measured.Costs[role] = cost{total.BytesPerS / count, total.CoreShare / count, total.ResidentMB / count}
	}
	measured.Entries, measured.Agents = counts[roleEntry], counts[roleAgent]
	encoded, err := json.Marshal(measured)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	return os.WriteFile(command.Result, append(encoded, '\n'), 0o644)
}

// Run prints and saves the report with the fitted lines.
func (command *SummaryCommand) Run(_ context.Context) error {
	var results []result
	for _, path := range command.Results {
		encoded, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read result: %w", err)
		}
		var decoded result
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		results = append(results, decoded)
	}
	return buildReport(results).Write(command.Out, os.Stdout)
}

// costMetrics are the fitted figures of a role's cost.
var costMetrics = []struct {
	name  string
	value func(cost) float64
}{
	{"bytes_per_s", func(cost cost) float64 { return cost.BytesPerS }},
	{"core_share", func(cost cost) float64 { return cost.CoreShare }},
	{"resident_mb", func(cost cost) float64 { return cost.ResidentMB }},
}

func buildReport(results []result) report.Report {
	table := report.Report{
		Name:    "control",
		Command: "make bench_control",
		Header:  []string{"entries", "agents", "entry B/s", "entry core", "entry MiB", "agent B/s", "agent core", "agent MiB"},
	}
	for _, result := range results {
		row := []string{strconv.Itoa(result.Entries), strconv.Itoa(result.Agents)}
		for _, role := range []string{roleEntry, roleAgent} {
			cost := result.Costs[role]
			row = append(row, fmt.Sprintf("%.0f", cost.BytesPerS), fmt.Sprintf("%.2f%%", 100*cost.CoreShare), fmt.Sprintf("%.1f", cost.ResidentMB))
		}
		table.Rows = append(table.Rows, row)
	}
	lines := summary{Entry: map[string]fittedLine{}, Agent: map[string]fittedLine{}}
	for _, metric := range costMetrics {
		lines.Entry[metric.name] = fitCost(results, roleEntry, metric.value, agentsPerEntryAtFullSize,
			func(result result) (peers, ofRole int) { return result.Agents, result.Entries })
		lines.Agent[metric.name] = fitCost(results, roleAgent, metric.value, entriesPerAgentAtFullSize,
			func(result result) (peers, ofRole int) { return result.Entries, result.Agents })
	}
	for _, metric := range costMetrics {
		table.Notes = append(table.Notes, fmt.Sprintf("%s: entry %s for each linked agent; agent %s for each linked entry",
			metric.name, lines.Entry[metric.name], lines.Agent[metric.name]))
	}
	table.Notes = append(table.Notes, fmt.Sprintf("Full size: an entry is linked with %d agents of a deployment, an agent with about %d entries.",
		agentsPerEntryAtFullSize, entriesPerAgentAtFullSize), "Bytes are all that a process reads and writes: links, platform, its backend server's status, log.")
	table.Summary = lines
	return table
}

func (line fittedLine) String() string {
	return fmt.Sprintf("%.4g + %.4g", line.Fixed, line.PerPeer)
}

// fitCost fits a role's cost by the number of its peers. Only the results with the
// most frequent number of processes of the role itself are used, so that this
// number does not affect the fit. countProcesses returns how many peers and how many
// processes of the role a result was measured with.
func fitCost(results []result, role string, value func(cost) float64, fullSize float64, countProcesses func(result) (peers, ofRole int)) fittedLine {
	frequency := map[int]int{}
	mostCommon := 0
	for _, result := range results {
		_, ofRole := countProcesses(result)
		frequency[ofRole]++
		if frequency[ofRole] > frequency[mostCommon] {
			mostCommon = ofRole
		}
	}
	var x, y []float64
	for _, result := range results {
		peers, ofRole := countProcesses(result)
		if ofRole != mostCommon {
			continue
		}
		linked := float64(peers)
		if role == roleEntry {
			linked = min(linked, agentsPerEntryAtFullSize)
		}
		x, y = append(x, linked), append(y, value(result.Costs[role]))
	}
	slope, fixed := usage.FitLine(x, y)
	return fittedLine{PerPeer: slope, Fixed: fixed, AtFullSize: fixed + slope*fullSize}
}
