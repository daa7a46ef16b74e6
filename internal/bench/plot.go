package bench

import (
	"fmt"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotCeiling cuts ratios that would flatten the rest of the picture.
const plotCeiling = 4

// Plot draws the p99 ratios of the first scenario over the load into an SVG
// file, for the named variants or for all.
func (r *Report) Plot(path string, names []string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("p99 as a ratio to one queue with perfect knowledge (%s, %d endpoints)",
		r.Config.Scenarios[0].Name, r.Config.Endpoints)
	p.X.Label.Text = "load, % of slot capacity"
	p.Y.Label.Text = fmt.Sprintf("p99 ratio (cut at %d)", plotCeiling)
	p.Y.Min, p.Y.Max = 0.9, plotCeiling
	p.Legend.Top = true
	p.Legend.Left = true
	for v, variant := range r.Config.Variants {
		if len(names) > 0 && !slices.Contains(names, variant.Name) {
			continue
		}
		points := make(plotter.XYs, len(r.Config.Loads))
		for l, load := range r.Config.Loads {
			c := r.at(cellKey{0, l, v})
			points[l] = plotter.XY{X: 100 * load, Y: min(plotCeiling, c.Ratio99)}
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, marks.Color = plotutil.Color(v), plotutil.Color(v)
		marks.Shape = plotutil.Shape(v)
		line.Dashes = plotutil.Dashes(v / len(plotutil.DefaultColors))
		p.Add(line, marks)
		p.Legend.Add(variant.Name, line, marks)
	}
	goal, err := plotter.NewLine(plotter.XYs{{X: 100 * r.Config.Loads[0], Y: 1.1}, {X: 100 * r.Config.Loads[len(r.Config.Loads)-1], Y: 1.1}})
	if err != nil {
		return err
	}
	goal.Color = color.Gray{Y: 0x80}
	p.Add(goal)
	return p.Save(24*vg.Centimeter, 16*vg.Centimeter, path)
}
