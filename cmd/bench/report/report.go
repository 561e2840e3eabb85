// Package report prints and saves the result of a measurement: a table for
// people, and one line of JSON, last, for programs.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
)

type (
	// Report is one measurement. Summary is encoded as the last line; its JSON
	// names are in snake case. Notes stand below the table.
	Report struct {
		Name    string
		Command string
		Header  []string
		Rows    [][]string
		Notes   []string
		Summary any
	}

	saved struct {
		Name    string     `json:"name"`
		Command string     `json:"command"`
		Header  []string   `json:"header"`
		Rows    [][]string `json:"rows"`
		Notes   []string   `json:"notes"`
		Summary any        `json:"summary"`
	}
)

// Text returns the table with its notes.
func (report Report) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n%s\n\n", report.Name, report.Command)
	table := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(report.Header, "\t"))
	for _, row := range report.Rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush() // A strings.Builder takes every write.
	for _, note := range report.Notes {
		fmt.Fprintf(&text, "%s\n", note)
	}
	return text.String()
}

// Write saves the report as text and JSON under the directory, prints the text
// and ends with the summary as one line of JSON.
func (report Report) Write(directory string, out io.Writer) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("save report: %w", err)
	}
	whole, err := json.MarshalIndent(saved(report), "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	base := filepath.Join(directory, report.Name)
	if err := os.WriteFile(base+".json", append(whole, '\n'), 0o644); err != nil {
		return fmt.Errorf("save report: %w", err)
	}
	if err := os.WriteFile(base+".txt", []byte(report.Text()), 0o644); err != nil {
		return fmt.Errorf("save report: %w", err)
	}
	summary, err := json.Marshal(report.Summary)
	if err != nil {
		return fmt.Errorf("encode summary: %w", err)
	}
	_, err = fmt.Fprintf(out, "%s\n%s\n", report.Text(), summary)
	return err
}
