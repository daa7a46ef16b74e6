package choicebench

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// ceiling cuts ratios that would flatten the rest of the picture.
	ceiling = 3
	// goalRatio is the goal for the p99 of many entries against one.
	goalRatio = 1.10
)

// Plot draws the p99 ratios of the first scenario over the load into an SVG file.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("p99 through real entries as a ratio to one entry that sees every slot (%s, %d endpoints of %d slots)",
		r.cfg.Scenarios[0].Name, r.cfg.Endpoints, r.cfg.Slots)
	p.X.Label.Text = "load, % of slot capacity"
	p.Y.Label.Text = fmt.Sprintf("p99 ratio (cut at %d)", ceiling)
	p.Y.Min, p.Y.Max = 0.9, ceiling
	p.Legend.Top, p.Legend.Left = true, true
	for v := range r.cfg.Variants {
		if err := r.plotVariant(p, v); err != nil {
			return err
		}
	}
	goal, err := plotter.NewLine(plotter.XYs{{X: 100 * r.cfg.Loads[0], Y: goalRatio}, {X: 100 * r.cfg.Loads[len(r.cfg.Loads)-1], Y: goalRatio}})
	if err != nil {
		return err
	}
	goal.Color = color.Gray{Y: 0x80}
	p.Add(goal)
	return p.Save(26*vg.Centimeter, 17*vg.Centimeter, path)
}

func (r *Report) plotVariant(p *plot.Plot, v int) error {
	points := make(plotter.XYs, len(r.cfg.Loads))
	for l, load := range r.cfg.Loads {
		points[l] = plotter.XY{X: 100 * load, Y: min(ceiling, r.at(0, l, v).Ratio99)}
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, marks.Color = plotutil.Color(v), plotutil.Color(v)
	marks.Shape = plotutil.Shape(v)
	line.Dashes = plotutil.Dashes(v / len(plotutil.DefaultColors))
	p.Add(line, marks)
	p.Legend.Add(r.cfg.Variants[v].Name, line, marks)
	return nil
}
