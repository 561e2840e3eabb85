package timelines

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// contextTime is how long before and after a request the events of its entry and
// of its engines are shown.
const contextTime = 2 * time.Second

type (
	// Step is one event of a timeline. Offset counts from the arrival of the request.
	Step struct {
		Offset   time.Duration `json:"offset_ns"`
		Time     time.Time     `json:"time"`
		Process  string        `json:"process"`
		Event    string        `json:"event"`
		Details  string        `json:"details,omitempty"`
		Location string        `json:"place"`
	}

	// Explanation is the timeline of one request and the causes of its end, in the
	// order in which they arose.
	Explanation struct {
		RequestID       string           `json:"request_id"`
		Steps           []Step           `json:"steps"`
		Causes          []string         `json:"causes"`
		LinesRead       int              `json:"lines_read"`
		UnreadableCount int              `json:"lines_unreadable"`
		UnreadableLines []UnreadableLine `json:"unreadable,omitempty"`
	}
)

// Explain joins what was read. It returns false where no line is of the request.
func (log *RequestLog) Explain() (Explanation, bool) {
	explanation := Explanation{
		RequestID: log.RequestID, LinesRead: log.LinesRead, UnreadableCount: log.UnreadableCount(), UnreadableLines: log.UnreadableLines,
	}
	if len(log.RequestLines) == 0 {
		return explanation, false
	}
	slices.SortStableFunc(log.RequestLines, byTime)
	slices.SortStableFunc(log.ProcessLines, byTime)
	arrived := log.arrived()
	lines := slices.Concat(log.RequestLines, log.around(arrived))
	slices.SortStableFunc(lines, byTime)
	for _, line := range lines {
		explanation.Steps = append(explanation.Steps, Step{
			Offset: line.Time.Sub(arrived), Time: line.Time, Process: line.Process, Event: line.Event,
			Details: line.details(), Location: line.Location,
		})
	}
	explanation.Causes = causeOf(log.RequestLines, log.ProcessLines)
	return explanation, true
}

func byTime(left, right Line) int { return left.Time.Compare(right.Time) }

// arrived returns when the request arrived, by the times in its first line.
func (log *RequestLog) arrived() time.Time {
	first := log.RequestLines[0]
	return first.Time.Add(-seconds(first, "after"))
}

// around returns the events of the request's entry and of the engines that it was
// sent to, shortly before and during the request.
func (log *RequestLog) around(arrived time.Time) []Line {
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
		if line.Time.Before(arrived.Add(-contextTime)) || line.Time.After(ended.Add(contextTime)) {
			continue
		}
		if entries[line.Process] || addresses[line.Fields["engine"]] {
			list = append(list, line)
		}
	}
	return list
}

// Print writes the explanation for people.
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
