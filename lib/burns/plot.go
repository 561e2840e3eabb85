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

// Plot draws the error budget that is left over the long window, one line for
// each deployment and objective. Format is svg, png or pdf.
func (summary Report) Plot(out io.Writer, format string) error {
	drawing := plot.New()
	drawing.Title.Text = "error budget left, window of 3 days"
	drawing.X.Label.Text = "hours before " + summary.At.Format("2006-01-02 15:04 MST")
	drawing.Y.Label.Text = "share of the budget left"
	drawing.Legend.Left = true
	drawing.Add(plotter.NewGrid())
	for index, budget := range summary.Budgets {
		line, err := plotter.NewLine(budget.points())
		if err != nil {
			return fmt.Errorf("plot %s %s: %w", budget.Deployment, budget.Objective, err)
		}
		line.Color = plotutil.Color(index)
		line.Dashes = plotutil.Dashes(index / 7)
		drawing.Add(line)
		drawing.Legend.Add(budget.Deployment+" "+string(budget.Objective), line)
	}
	image, err := drawing.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return fmt.Errorf("draw burn report: %w", err)
	}
	if _, err := image.WriteTo(out); err != nil {
		return fmt.Errorf("write burn report: %w", err)
	}
	return nil
}

// points puts the last value at the time of the report.
func (budget Budget) points() plotter.XYs {
	points := make(plotter.XYs, len(budget.RemainingByHour))
	for i, left := range budget.RemainingByHour {
		points[i] = plotter.XY{X: float64(i - len(budget.RemainingByHour) + 1), Y: left}
	}
	return points
}

// budgetLeft returns the share of the budget left after each hour. The budget
// is that of all events of the window, so the last value is the row's figure.
func budgetLeft(cells Buckets, target float64, now int64) []float64 {
	allowed := (1 - target) * float64(cells.within(now, LongWindowMinutes).Total())
	var shares []float64
	for ago := int64(LongWindowMinutes); ago >= 0; ago -= hour {
		until := now - ago
		bad := int64(0)
		for minute, count := range cells {
			if minute > now-LongWindowMinutes && minute <= until {
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
