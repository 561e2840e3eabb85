package burns

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Text returns the report as a human-readable table.
func (report Report) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "service-level burn at %s\n\n", report.At.Format(time.RFC3339))
	table := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "deployment\torganisation\tobjective\ttarget\tbad 1 h\tburn 1 h\tbad 3 d\tburn 3 d\tbudget left\tstate\tburnt by")
	for _, row := range report.Rows {
		organisation := row.Organisation
		if organisation == "" {
			organisation = "all"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g %%\t%d of %d\t%.2f\t%d of %d\t%.2f\t%.1f %%\t%s\t%s\n",
			row.Deployment, organisation, row.Objective, row.Target*100, row.ShortBad, row.ShortTotal, row.ShortRate,
			row.LongBad, row.LongTotal, row.LongRate, row.BudgetLeft*100, row.State, formatCauses(row.Causes))
	}
	_ = table.Flush() // A write to a strings.Builder never fails.
	if len(report.Rows) == 0 {
		text.WriteString("no events were counted for the configured objectives\n")
	}
	if len(report.Missing) > 0 {
		fmt.Fprintf(&text, "\nno answer from these entries, their last saved counts are used: %s\n", strings.Join(report.Missing, ", "))
	}
	return text.String()
}

// formatCauses returns the causes as a comma-separated list, or "-" if there are
// none.
func formatCauses(causes []Cause) string {
	parts := make([]string, 0, len(causes))
	for _, cause := range causes {
		part := fmt.Sprintf("%s %.0f %%", cause.Reason, cause.Share*100)
		if cause.Organisation != "" {
			part = cause.Organisation + " " + part
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// JSON returns the report as indented JSON with a final newline.
func (report Report) JSON() ([]byte, error) {
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode burn report: %w", err)
	}
	return append(encoded, '\n'), nil
}
