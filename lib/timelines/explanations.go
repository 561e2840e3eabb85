package timelines

// This file builds the explanation of a request from the lines that were read, and
// prints it.

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// contextWindow is how long before and after a request the events of its entry and
// engines are included in its timeline.
const contextWindow = 2 * time.Second

type (
	// Step is one event of a timeline. Offset is the time since the request arrived.
	// Location is the event's place in the logs, as FILE:LINE.
	Step struct {
		Offset   time.Duration `json:"offset_ns"`
		Time     time.Time     `json:"time"`
		Process  string        `json:"process"`
		Event    string        `json:"event"`
		Details  string        `json:"details,omitempty"`
		Location string        `json:"place"`
	}

	// Explanation is the timeline of one request and the causes of its outcome, in
	// the order in which they occurred. UnreadableCount includes the lines beyond
	// those listed in UnreadableLines.
	Explanation struct {
		RequestID       string           `json:"request_id"`
		Steps           []Step           `json:"steps"`
		Causes          []string         `json:"causes"`
		LinesRead       int              `json:"lines_read"`
		UnreadableCount int              `json:"lines_unreadable"`
		UnreadableLines []UnreadableLine `json:"unreadable,omitempty"`
	}
)

// Explain returns the explanation of the request from the logs that were added. It
// returns false if no line belongs to the request.
func (log *RequestLog) Explain() (Explanation, bool) {
	explanation := Explanation{
		RequestID: log.RequestID, LinesRead: log.LinesRead, UnreadableCount: log.UnreadableCount(), UnreadableLines: log.UnreadableLines,
	}
	if len(log.RequestLines) == 0 {
		return explanation, false
	}
	slices.SortStableFunc(log.RequestLines, byTime)
	slices.SortStableFunc(log.ProcessLines, byTime)
	arrived := log.arrivalTime()
	lines := slices.Concat(log.RequestLines, log.contextLines(arrived))
	slices.SortStableFunc(lines, byTime)
	for _, line := range lines {
		explanation.Steps = append(explanation.Steps, Step{
			Offset: line.Time.Sub(arrived), Time: line.Time, Process: line.Process, Event: line.Event,
			Details: line.details(), Location: line.Location,
		})
	}
	explanation.Causes = requestCauses(log.RequestLines, log.ProcessLines)
	return explanation, true
}

func byTime(left, right Line) int { return left.Time.Compare(right.Time) }

// arrivalTime returns when the request arrived: the time of its first line, less the
// line's field after.
func (log *RequestLog) arrivalTime() time.Time {
	first := log.RequestLines[0]
	return first.Time.Add(-seconds(first, "after"))
}

// contextLines returns the events of the request's entry and of the engines that it
// was sent to, from contextWindow before the request to contextWindow after it.
func (log *RequestLog) contextLines(arrived time.Time) []Line {
	ended := log.RequestLines[len(log.RequestLines)-1].Time
	entries, addresses := map[string]bool{}, map[string]bool{}
	for _, line := range log.RequestLines {
		entries[line.Process] = true
		if address := line.Fields["address"]; address != "" {
			addresses[address] = true
		}
	}
	var list []Line
	for _, line := range log.ProcessLines {
		if line.Time.Before(arrived.Add(-contextWindow)) || line.Time.After(ended.Add(contextWindow)) {
			continue
		}
		if entries[line.Process] || addresses[line.Fields["engine"]] {
			list = append(list, line)
		}
	}
	return list
}

// Print writes the explanation as human-readable text.
func (explanation Explanation) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "request %s\n", explanation.RequestID)
	for _, step := range explanation.Steps {
		_, _ = fmt.Fprintf(out, "%10.3f s  %-24s %-28s %s\n", step.Offset.Seconds(), step.Process, step.Event, step.Details)
	}
	for _, cause := range explanation.Causes {
		_, _ = fmt.Fprintf(out, "cause: %s\n", cause)
	}
	if explanation.UnreadableCount > 0 {
		_, _ = fmt.Fprintf(out, "%d of %d lines could not be read\n", explanation.UnreadableCount, explanation.LinesRead)
	}
}
