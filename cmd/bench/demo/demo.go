// Package demo summarises a demonstration: how fast a version reached the
// engines, how much the origin sent, and the outcomes and latencies of requests
// before and during the rollout. Its only sources are the records of callers and
// backend servers.
package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"firford/cmd/bench/callers"
	"firford/cmd/bench/report"
)

const maxLineBytes = 1 << 20

type (
	// Command prints the table of a demonstration.
	Command struct {
		Directory   string  `arg:"--directory,required" help:"the fleet's directory with its records"`
		Out         string  `arg:"--out" default:"out" help:"where to save the table"`
		Version     string  `arg:"--new-version,required" help:"the version that was pushed"`
		Replicas    int     `arg:"--replicas,required" help:"engines that were to serve it"`
		Started     float64 `arg:"--started,required" help:"start of the rollout, seconds since 1970"`
		OriginBytes int64   `arg:"--origin-bytes,required" help:"bytes that the origin sent during the rollout"`
		Size        int64   `arg:"--size,required" help:"size of the version in bytes"`
	}

	// Summary is the last line of the printed table. Times are in seconds since the
	// start of the rollout; latencies are those of the first part of an answer.
	Summary struct {
		Replicas        int     `json:"replicas"`
		Serving         int     `json:"serving"`
		FirstS          float64 `json:"first_s"`
		HalfS           float64 `json:"half_s"`
		AllS            float64 `json:"all_s"`
		OriginCopies    float64 `json:"origin_copies"`
		Answered        int     `json:"answered"`
		Refused         int     `json:"refused"`
		Unknown         int     `json:"unknown"`
		Lost            int     `json:"lost"`
		Wrong           int     `json:"wrong"`
		BeforeP50MS     float64 `json:"before_p50_ms"`
		BeforeP95MS     float64 `json:"before_p95_ms"`
		DuringP50MS     float64 `json:"during_p50_ms"`
		DuringP95MS     float64 `json:"during_p95_ms"`
		LatencyRatio    float64 `json:"live_p95_ratio"`
		AllChecksPassed bool    `json:"all_statements_true"`
	}

	// executionLine is one line of a backend server's record.
	executionLine struct {
		ID      string    `json:"id"`
		Kind    string    `json:"kind"`
		Version string    `json:"version"`
		At      time.Time `json:"at"`
	}
)

// Run prints and saves the table. It fails if an engine does not serve the new
// version, or if an answer was wrong or a request lost.
func (command *Command) Run(_ context.Context) error {
	start := time.UnixMilli(int64(command.Started * 1000))
	served, err := command.servingTimes(start)
	if err != nil {
		return err
	}
	var records []callers.RequestRecord
	if err := ReadJSONLines(filepath.Join(command.Directory, "callers.jsonl"), &records); err != nil {
		return err
	}
	summary := command.summarise(start, served, records)
	if err := command.report(summary).Write(command.Out, os.Stdout); err != nil {
		return err
	}
	if !summary.AllChecksPassed {
		return fmt.Errorf("%d of %d engines serve %s, %d wrong answers, %d lost requests",
			summary.Serving, summary.Replicas, command.Version, summary.Wrong, summary.Lost)
	}
	return nil
}

// ReadJSONLines decodes each line of a file as JSON and appends it to the list.
func ReadJSONLines[T any](path string, list *[]T) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read record: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		var line T
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return fmt.Errorf("%s:%d: %w", path, number, err)
		}
		*list = append(*list, line)
	}
	return lines.Err()
}

// servingTimes returns, in ascending order, how long after the start each engine
// began to serve the version. It leaves out engines that serve another version
// at the end.
func (command *Command) servingTimes(start time.Time) ([]time.Duration, error) {
	recordFiles, err := filepath.Glob(filepath.Join(command.Directory, "engine-*.record"))
	if err != nil {
		return nil, err
	}
	var times []time.Duration
	for _, recordFile := range recordFiles {
		var lines []executionLine
		if err := ReadJSONLines(recordFile, &lines); err != nil {
			return nil, err
		}
		last, first := "", time.Time{}
		for _, line := range lines {
			if line.Kind != "served" {
				continue
			}
			last = line.Version
			if line.Version == command.Version && first.IsZero() {
				first = line.At
			}
		}
		if last == command.Version {
			times = append(times, first.Sub(start))
		}
	}
	slices.Sort(times)
	return times, nil
}

func (command *Command) summarise(start time.Time, served []time.Duration, records []callers.RequestRecord) Summary {
	summary := Summary{
		Replicas: command.Replicas, Serving: len(served),
		OriginCopies: float64(command.OriginBytes) / float64(command.Size),
	}
	if len(served) > 0 {
		summary.FirstS = served[0].Seconds()
		summary.HalfS = served[(len(served)-1)/2].Seconds()
		summary.AllS = served[len(served)-1].Seconds()
	}
	end := start.Add(time.Duration(summary.AllS * float64(time.Second)))
	var before, during []time.Duration
	for _, record := range records {
		summary.count(record)
		if record.Outcome != callers.OutcomeAnswered || record.FirstPart.IsZero() {
			continue
		}
		latency := record.FirstPart.Sub(record.Started)
		switch {
		case record.Ended.Before(start):
			before = append(before, latency)
		case record.Started.After(start) && record.Started.Before(end):
			during = append(during, latency)
		}
	}
	summary.BeforeP50MS, summary.BeforeP95MS = quantile(before, 0.5), quantile(before, 0.95)
	summary.DuringP50MS, summary.DuringP95MS = quantile(during, 0.5), quantile(during, 0.95)
	if summary.BeforeP95MS > 0 {
		summary.LatencyRatio = summary.DuringP95MS / summary.BeforeP95MS
	}
	summary.AllChecksPassed = summary.Serving == summary.Replicas && summary.Wrong == 0 && summary.Lost == 0
	return summary
}

func (summary *Summary) count(record callers.RequestRecord) {
	switch record.Outcome {
	case callers.OutcomeAnswered:
		summary.Answered++
		if record.Mismatch != "" {
			summary.Wrong++
		}
	case callers.OutcomeNotRun:
		summary.Refused++
	case callers.OutcomeUnknown:
		summary.Unknown++
	default:
		summary.Lost++
	}
}

// quantile returns a quantile in milliseconds, or zero if there are no values. It
// sorts the values in place.
func quantile(values []time.Duration, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[int(share*float64(len(values)-1))].Microseconds()) / 1000
}

func (command *Command) report(summary Summary) report.Report {
	row := func(name, format string, values ...any) []string {
		return []string{name, fmt.Sprintf(format, values...)}
	}
	return report.Report{
		Name:    "demo",
		Command: "make demo",
		Header:  []string{"what", "measured"},
		Rows: [][]string{
			row("engines that serve "+command.Version, "%d of %d", summary.Serving, summary.Replicas),
			row("time until the first serves", "%.1f s", summary.FirstS),
			row("time until half serve", "%.1f s", summary.HalfS),
			row("time until all serve", "%.1f s", summary.AllS),
			row("copies drawn from the origin", "%.3f", summary.OriginCopies),
			row("requests answered", "%d", summary.Answered),
			row("requests refused (not run)", "%d", summary.Refused),
			row("requests with unknown outcome", "%d", summary.Unknown),
			row("requests lost", "%d", summary.Lost),
			row("wrong answers", "%d", summary.Wrong),
			row("first part, median before / during", "%.1f / %.1f ms", summary.BeforeP50MS, summary.DuringP50MS),
			row("first part, 95th percentile before / during", "%.1f / %.1f ms", summary.BeforeP95MS, summary.DuringP95MS),
		},
		Notes:   []string{outcomeNote(summary)},
		Summary: summary,
	}
}

// outcomeNote returns the note that says which kinds of outcomes occurred. The
// outcome of a non-idempotent request is unknown if its backend server or link is
// killed.
func outcomeNote(summary Summary) string {
	switch {
	case summary.Wrong > 0 || summary.Lost > 0:
		return "NOT every request has its own whole answer or a stated outcome"
	case summary.Unknown > 0:
		return "every request has its own whole answer, a true refusal or a stated unknown outcome"
	default:
		return "every request has its own whole answer or a true refusal"
	}
}
