package burns

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Plot draws the remaining error budget over the long window, with one line for each
// deployment and objective. The format is svg, png or pdf.
func (report Report) Plot(out io.Writer, format string) error {
	drawing := plot.New()
	drawing.Title.Text = "error budget left, window of 3 days"
	drawing.X.Label.Text = "hours before " + report.At.Format("2006-01-02 15:04 MST")
	drawing.Y.Label.Text = "share of the budget left"
	drawing.Legend.Left = true
	drawing.Add(plotter.NewGrid())
	for index, budget := range report.Budgets {
		line, err := plotter.NewLine(budget.points())
		if err != nil {
			return fmt.Errorf("plot %s %s: %w", budget.Deployment, budget.Objective, err)
		}
		line.Color = plotutil.Color(index)
		line.Dashes = plotutil.Dashes(index / 7)
		drawing.Add(line)
		drawing.Legend.Add(budget.Deployment+" "+string(budget.Objective), line)
	}
	canvas, err := drawing.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return fmt.Errorf("draw burn report: %w", err)
	}
	if _, err := canvas.WriteTo(out); err != nil {
		return fmt.Errorf("write burn report: %w", err)
	}
	return nil
}

// points returns the values by hour. The last one, the time of the report, is at
// zero.
func (budget Budget) points() plotter.XYs {
	points := make(plotter.XYs, len(budget.RemainingByHour))
	for i, left := range budget.RemainingByHour {
		points[i] = plotter.XY{X: float64(i - len(budget.RemainingByHour) + 1), Y: left}
	}
	return points
}

// budgetLeft returns the remaining share of the error budget after each hour of the
// long window. The budget is computed from all events of the window, so that the
// last value equals BudgetLeft of the row.
func budgetLeft(buckets Buckets, target float64, now int64) []float64 {
	allowed := (1 - target) * float64(buckets.sumWindow(now, LongWindowMinutes).Total())
	var shares []float64
	for minutesAgo := int64(LongWindowMinutes); minutesAgo >= 0; minutesAgo -= minutesPerHour {
		end := now - minutesAgo
		bad := int64(0)
		for minute, count := range buckets {
			if minute > now-LongWindowMinutes && minute <= end {
				bad += count.Bad()
			}
		}
		left := 1.0
		if allowed > 0 {
			left = 1 - float64(bad)/allowed
		}
		shares = append(shares, left)
	}
	return shares
}
