// Package report prints and saves the result of a measurement as a table, followed
// by one line of JSON for programs.
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
	// Report is the result of one measurement. Command is the command line that
	// produced it, and Notes are printed below the table. Summary is encoded as the
	// last line, with JSON names in snake case.
	Report struct {
		Name    string
		Command string
		Header  []string
		Rows    [][]string
		Notes   []string
		Summary any
	}

	// savedReport has the fields of Report with their JSON names.
	savedReport struct {
		Name    string     `json:"name"`
		Command string     `json:"command"`
		Header  []string   `json:"header"`
		Rows    [][]string `json:"rows"`
		Notes   []string   `json:"notes"`
		Summary any        `json:"summary"`
	}
)

// Text returns the name, the command line, the table and the notes.
func (report Report) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n%s\n\n", report.Name, report.Command)
	table := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(report.Header, "\t"))
	for _, row := range report.Rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush() // Writes to a strings.Builder never fail.
	for _, note := range report.Notes {
		fmt.Fprintf(&text, "%s\n", note)
	}
	return text.String()
}

// Write saves the report as text and as JSON in the directory, and prints the text
// and the summary as one line of JSON to out.
func (report Report) Write(directory string, out io.Writer) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("save report: %w", err)
	}
	encoded, err := json.MarshalIndent(savedReport(report), "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	base := filepath.Join(directory, report.Name)
	if err := os.WriteFile(base+".json", append(encoded, '\n'), 0o644); err != nil {
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
