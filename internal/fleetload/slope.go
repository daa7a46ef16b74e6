package fleetload

import "slices"

// Line is a straight line through measured points.
type Line struct {
	// At0 is the value at zero, Slope the growth per unit.
	At0   float64 `json:"at_0"`
	Slope float64 `json:"slope"`
	// R2 is the share of the variance that the line explains, 0 to 1.
	R2 float64 `json:"r2"`
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.At0 + l.Slope*x }

// Fit returns the least-squares line through the points. With fewer than two different x the slope
// is 0 and the line lies at the mean of ys.
func Fit(xs, ys []float64) Line {
	meanX, meanY := mean(xs), mean(ys)
	var xx, xy, yy float64
	for i := range xs {
		dx, dy := xs[i]-meanX, ys[i]-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return Line{At0: meanY}
	}
	l := Line{Slope: xy / xx}
	l.At0 = meanY - l.Slope*meanX
	l.R2 = 1
	if yy > 0 {
		l.R2 = xy * xy / (xx * yy)
	}
	return l
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Median returns the median of values, 0 if there are none.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

func largest(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return slices.Max(values)
}
