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

// plotWorths draws a bar chart of each policy's worth under each load pattern.
func plotWorths(rows []row, file string) error {
	chart := plot.New()
	chart.Title.Text = "earned share of the offered worth, by load pattern and policy"
	chart.Y.Label.Text = "worth"
	chart.Y.Min, chart.Y.Max = 0, 1.15
	chart.Legend.Top = true
	var patternNames, policyNames []string
	worths := map[string]plotter.Values{}
	for _, row := range rows {
		if len(patternNames) == 0 || patternNames[len(patternNames)-1] != row.pattern {
			patternNames = append(patternNames, row.pattern)
		}
		if _, known := worths[row.policy]; !known {
			policyNames = append(policyNames, row.policy)
		}
		worths[row.policy] = append(worths[row.policy], row.result.worthShare())
	}
	for index, policy := range policyNames {
		bars, err := plotter.NewBarChart(worths[policy], barWidth)
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy, err)
		}
		bars.Color = plotutil.Color(index)
		bars.Offset = barWidth * vg.Length(float64(index)-float64(len(policyNames)-1)/2)
		chart.Add(bars)
		chart.Legend.Add(policy, bars)
	}
	chart.NominalX(patternNames...)
	if err := chart.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("draw comparison: %w", err)
	}
	return nil
}
