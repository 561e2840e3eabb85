package emulation

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	barWidth   = 3 * vg.Millimeter
)

// draw draws the worth of each policy under each pattern as bars.
func draw(rows []row, file string) error {
	drawing := plot.New()
	drawing.Title.Text = "worth of what was asked, by load pattern and policy"
	drawing.Y.Label.Text = "worth"
	drawing.Y.Min, drawing.Y.Max = 0, 1.15
	drawing.Legend.Top = true
	var names, policies []string
	worths := map[string]plotter.Values{}
	for _, row := range rows {
		if len(names) == 0 || names[len(names)-1] != row.pattern {
			names = append(names, row.pattern)
		}
		if _, known := worths[row.policy]; !known {
			policies = append(policies, row.policy)
		}
		worths[row.policy] = append(worths[row.policy], row.result.worth())
	}
	for at, policy := range policies {
		bars, err := plotter.NewBarChart(worths[policy], barWidth)
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy, err)
		}
		bars.Color = plotutil.Color(at)
		bars.Offset = barWidth * vg.Length(float64(at)-float64(len(policies)-1)/2)
		drawing.Add(bars)
		drawing.Legend.Add(policy, bars)
	}
	drawing.NominalX(names...)
	if err := drawing.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("draw comparison: %w", err)
	}
	return nil
}
