package timelines

// This file turns the counts of a LoadLog into tables and prints them.

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

type (
	// LoadReport holds the tables of a LoadLog. A row of Intervals is named after its
	// beginning and covers IntervalSeconds; times without an arrival have no row. Requests count
	// in the interval in which they arrived.
	LoadReport struct {
		Total           LoadRow          `json:"total"`
		IntervalSeconds int64            `json:"interval_s"`
		Intervals       []LoadRow        `json:"intervals"`
		Routes          []LoadRow        `json:"routes"`
		Organisations   []LoadRow        `json:"organisations"`
		DataCentres     []LoadRow        `json:"data_centres"`
		LinesRead       int              `json:"lines_read"`
		LinesDropped    int64            `json:"lines_dropped"`
		UnreadableCount int              `json:"lines_unreadable"`
		UnreadableLines []UnreadableLine `json:"unreadable,omitempty"`
	}

	// LoadRow counts the requests of one interval, route, organisation or data centre. Each
	// arrival is one of PlacedAtOnce, Waited, RefusedOnArrival, RefusedAfterWait, GaveUp
	// and Rejected. Unanswered counts placed requests that ended without a server's
	// answer, Retries further servers that requests got, and Repeated requests whose
	// caller had sent them before. Covered is the share of the requests that are
	// counted, nil where the log does not tell it.
	LoadRow struct {
		Name             string        `json:"name"`
		Arrivals         int64         `json:"arrivals"`
		PlacedAtOnce     int64         `json:"placed_at_once"`
		Waited           int64         `json:"waited"`
		WaitMedian       time.Duration `json:"wait_median_ns"`
		WaitP95          time.Duration `json:"wait_p95_ns"`
		RefusedOnArrival int64         `json:"refused_on_arrival"`
		RefusedAfterWait int64         `json:"refused_after_wait"`
		GaveUp           int64         `json:"gave_up"`
		Rejected         int64         `json:"rejected"`
		Unanswered       int64         `json:"unanswered"`
		Late             int64         `json:"late"`
		Retries          int64         `json:"retries"`
		Repeated         int64         `json:"repeated"`
		Covered          *float64      `json:"covered,omitempty"`
	}
)

const loadColumns = "ARRIVED\tAT ONCE\tWAITED\tMEDIAN MS\tP95 MS\tREFUSED AT ONCE\tREFUSED LATER\tGAVE UP\tREJECTED\tUNANSWERED\tLATE\tRETRIES\tREPEATED\tCOVERED\t"

// Report returns the tables of the requests that have been counted. Lines that an entry
// left out are counted by interval and entry only, so the rows of routes and
// organisations have no Covered.
func (log *LoadLog) Report() LoadReport {
	report := LoadReport{
		Total: newLoadRow("total", &log.total, true), IntervalSeconds: int64(1) << log.intervalBits,
		Intervals: []LoadRow{}, Routes: log.routes.rows(false), Organisations: log.organisations.rows(false),
		DataCentres: log.sumByDataCentre().rows(true),
		LinesRead:   log.LinesRead, LinesDropped: log.linesDropped, UnreadableCount: log.UnreadableCount(), UnreadableLines: log.UnreadableLines,
	}
	for _, number := range slices.Sorted(maps.Keys(log.intervals)) {
		report.Intervals = append(report.Intervals, newLoadRow(log.intervalName(number), log.intervals[number], true))
	}
	return report
}

// rows returns a row for each group, those with the most arrivals first.
func (groups loadGroups) rows(isCoverageKnown bool) []LoadRow {
	rows := make([]LoadRow, 0, len(groups))
	for name, counts := range groups {
		rows = append(rows, newLoadRow(name, counts, isCoverageKnown))
	}
	slices.SortFunc(rows, func(left, right LoadRow) int {
		return cmp.Or(cmp.Compare(right.Arrivals, left.Arrivals), strings.Compare(left.Name, right.Name))
	})
	return rows
}

func newLoadRow(name string, counts *loadCounts, isCoverageKnown bool) LoadRow {
	row := LoadRow{
		Name: name, Arrivals: counts.arrivals, PlacedAtOnce: counts.placedAtOnce,
		Waited: counts.waited, WaitMedian: counts.waitQuantile(50), WaitP95: counts.waitQuantile(95),
		RefusedOnArrival: counts.refusedOnArrival, RefusedAfterWait: counts.refusedAfterWait, GaveUp: counts.gaveUp, Rejected: counts.rejected,
		Unanswered: counts.unanswered, Late: counts.late, Retries: counts.retries, Repeated: counts.repeated,
	}
	if isCoverageKnown {
		covered := counts.coverage()
		row.Covered = &covered
	}
	return row
}

// Print writes the tables as human-readable text.
func (report LoadReport) Print(out io.Writer) {
	total := slices.Concat(report.Intervals, []LoadRow{report.Total})
	printLoadTable(out, fmt.Sprintf("TIME (%d s)", report.IntervalSeconds), total)
	printLoadTable(out, "ROUTE", report.Routes)
	printLoadTable(out, "ORGANISATION", report.Organisations)
	printLoadTable(out, "DATA CENTRE", report.DataCentres)
	_, _ = fmt.Fprintf(out, "%d requests have a line, %.1f%% of those that the logs tell of; routine ones are sampled\n", report.Total.Arrivals, *report.Total.Covered*100)
	if report.LinesDropped > 0 {
		_, _ = fmt.Fprintf(out, "%d lines were dropped by the processes and are missing here\n", report.LinesDropped)
	}
	if report.UnreadableCount > 0 {
		_, _ = fmt.Fprintf(out, "%d of %d lines could not be read\n", report.UnreadableCount, report.LinesRead)
	}
}

func printLoadTable(out io.Writer, name string, rows []LoadRow) {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(writer, "%s\t%s\n", name, loadColumns)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, row.cells())
	}
	_ = writer.Flush() // Reports only errors of out.
	_, _ = fmt.Fprintln(out)
}

// cells returns the row's cells, separated by tabs.
func (row LoadRow) cells() string {
	waits, covered := "-\t-", "-"
	if row.Waited > 0 {
		waits = fmt.Sprintf("%d\t%d", row.WaitMedian.Milliseconds(), row.WaitP95.Milliseconds())
	}
	if row.Covered != nil {
		covered = fmt.Sprintf("%.1f%%", *row.Covered*100)
	}
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t", cmp.Or(row.Name, "-"),
		row.Arrivals, row.PlacedAtOnce, row.Waited, waits, row.RefusedOnArrival, row.RefusedAfterWait,
		row.GaveUp, row.Rejected, row.Unanswered, row.Late, row.Retries, row.Repeated, covered)
}
