// Package hearing measures how fast all entries hear what one of them has heard of a
// server, that it leaves or has crashed, and what the datagrams between entries and
// agents cost. All of them run in one process, with the listeners and reporters of
// lib/loads over loopback.
package hearing

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"firford/cmd/bench/report"
)

const (
	// settleTime is longer than the interval between two subscriptions, so that every
	// agent knows every entry.
	settleTime = 1500 * time.Millisecond
	// costTime is how long agents and entries repeat a crash record to each other, the
	// shortest of the measured records.
	costTime = 4 * time.Second
	// Numbers of leaving servers and crashes whose cost is measured: none, one, and as many
	// as a datagram carries.
	mostLeaving = 40
	mostCrashes = 10

	entriesAtFullSize = 350
	agentsAtFullSize  = 940
	// budgetBytesPerS is what docs/CAPACITY.md allows a node for control.
	budgetBytesPerS = 17_000
)

type (
	// Command measures hearing and costs.
	Command struct {
		Entries int     `arg:"--entries" default:"14"`
		Agents  int     `arg:"--agents" default:"45"`
		Repeats int     `arg:"--repeats" default:"20" help:"notices of each kind at each loss"`
		Loss    float64 `arg:"--loss" default:"0.1" help:"share of the datagrams that are dropped in the measurement with loss"`
		Seed    uint64  `arg:"--seed" default:"1"`
		Out     string  `arg:"--out" default:"out"`
	}

	// load is a number of servers that state something when a measurement of costs begins.
	load struct {
		name             string
		leaving, crashes int
	}

	// timeSummary and costSummary are the machine-readable parts of the reports.
	timeSummary struct {
		Notice   string  `json:"notice"`
		Loss     float64 `json:"loss"`
		Missed   int     `json:"not_heard"`
		MedianMS float64 `json:"median_ms"`
		WorstMS  float64 `json:"worst_ms"`
	}
	costSummary struct {
		Load           string  `json:"load"`
		EntryBytesPerS float64 `json:"entry_bytes_per_s"`
		AgentBytesPerS float64 `json:"agent_bytes_per_s"`
	}
)

// Run measures, prints and saves both tables.
func (command *Command) Run(ctx context.Context) error {
	size := fleetSize{entries: command.Entries, agents: command.Agents}
	times := report.Report{
		Name: "hearing", Command: "make bench_hearing",
		Header: []string{"notice", "dropped", "repeats", "not heard", "median ms", "worst ms"},
	}
	var summaries []timeSummary
	for _, loss := range []float64{0, command.Loss} {
		measured, err := measureHearing(ctx, size, loss, command.Repeats, command.Seed)
		if err != nil {
			return err
		}
		for _, kind := range []noticeKind{leavingNotice, crashNotice} {
			times.Rows = append(times.Rows, measured[kind].row(kind, loss))
			summaries = append(summaries, measured[kind].summary(kind, loss))
		}
	}
	times.Notes = []string{fmt.Sprintf("%d entries, %d agents; from the notice until the last other entry has heard it.", size.entries, size.agents)}
	times.Summary = summaries
	if err := times.Write(command.Out, os.Stdout); err != nil {
		return err
	}
	return command.reportCosts(ctx, size)
}

func (command *Command) reportCosts(ctx context.Context, size fleetSize) error {
	fullSize := fleetSize{entries: entriesAtFullSize, agents: agentsAtFullSize}
	costs := report.Report{
		Name: "hearing_costs", Command: "make bench_hearing",
		Header: []string{"load", "size", "role", "sent/s", "sent B/s", "received/s", "received B/s", "largest B", "of the budget"},
	}
	var summaries []costSummary
	for _, load := range []load{{name: "idle"}, {name: "1 leaving", leaving: 1}, {name: "40 leaving", leaving: mostLeaving}, {name: "10 crashes", crashes: mostCrashes}} {
		measured, err := measureCosts(ctx, size, load, command.Seed)
		if err != nil {
			return err
		}
		summaries = append(summaries, costSummary{Load: load.name, EntryBytesPerS: measured.entry.bytesPerS(), AgentBytesPerS: measured.agent.bytesPerS()})
		for _, each := range []struct {
			size  fleetSize
			name  string
			costs roleCosts
		}{{size, "measured", measured}, {fullSize, "calc", measured.scaledTo(size, fullSize)}} {
			sizeName := fmt.Sprintf("%d x %d (%s)", each.size.entries, each.size.agents, each.name)
			costs.Rows = append(costs.Rows, each.costs.entry.row(load.name, sizeName, "entry"), each.costs.agent.row(load.name, sizeName, "agent"))
		}
	}
	costs.Notes = []string{
		fmt.Sprintf("Mean of one process over %s from the statements on. Bytes include %d of headers for each datagram.", costTime, headerBytes),
		"calc: the measured figures times the number of peers. What servers state to one entry each is spread over fewer entries here,",
		"so the subscriptions with statements would be smaller. The budget counts both directions.",
	}
	costs.Summary = summaries
	return costs.Write(command.Out, os.Stdout)
}

func (times heardTimes) row(kind noticeKind, loss float64) []string {
	row := []string{kind.String(), fmt.Sprintf("%.0f%%", 100*loss), strconv.Itoa(len(times.all) + times.missed), strconv.Itoa(times.missed)}
	if len(times.all) == 0 {
		return append(row, "–", "–")
	}
	return append(row, milliseconds(times.median()), milliseconds(times.worst()))
}

func (times heardTimes) summary(kind noticeKind, loss float64) timeSummary {
	summary := timeSummary{Notice: kind.String(), Loss: loss, Missed: times.missed}
	if len(times.all) > 0 {
		summary.MedianMS, summary.WorstMS = 1000*times.median().Seconds(), 1000*times.worst().Seconds()
	}
	return summary
}

func (cost cost) row(load, size, role string) []string {
	budget := fmt.Sprintf("%.2f times", cost.bytesPerS()/budgetBytesPerS)
	if cost.bytesPerS() > budgetBytesPerS {
		budget += ", over"
	}
	return []string{
		load, size, role, fmt.Sprintf("%.1f", cost.sentPerS), fmt.Sprintf("%.0f", cost.sentBytesPerS),
		fmt.Sprintf("%.1f", cost.receivedPerS), fmt.Sprintf("%.0f", cost.receivedBytesPerS), strconv.FormatInt(cost.largestBytes, 10), budget,
	}
}

func milliseconds(duration time.Duration) string {
	return fmt.Sprintf("%.1f", float64(duration.Microseconds())/1000)
}
