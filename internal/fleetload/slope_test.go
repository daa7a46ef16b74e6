package fleetload

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name   string
		xs, ys []float64
		want   Line
	}{
		{"exact", []float64{1, 2, 4}, []float64{5, 7, 11}, Line{At0: 3, Slope: 2, R2: 1}},
		{"noise", []float64{0, 1, 2, 3}, []float64{0, 2, 2, 4}, Line{At0: 0.2, Slope: 1.2, R2: 0.9}},
		{"flat", []float64{1, 2}, []float64{3, 3}, Line{At0: 3, R2: 1}},
		{"one size", []float64{7, 7}, []float64{2, 4}, Line{At0: 3}},
		{"nothing", nil, nil, Line{}},
	} {
		got := Fit(c.xs, c.ys)
		for _, pair := range [][2]float64{{got.At0, c.want.At0}, {got.Slope, c.want.Slope}, {got.R2, c.want.R2}} {
			if math.Abs(pair[0]-pair[1]) > 1e-9 {
				t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
				break
			}
		}
	}
}

func TestMedian(t *testing.T) {
	for _, c := range []struct {
		values []float64
		want   float64
	}{{nil, 0}, {[]float64{4}, 4}, {[]float64{9, 1, 2}, 2}, {[]float64{4, 1, 3, 2}, 2.5}} {
		if got := Median(c.values); got != c.want {
			t.Errorf("%v: %g, want %g", c.values, got, c.want)
		}
	}
}

// The entry's cost of a call is the difference of the slopes. The time of the callers, the
// endpoints and the idle fleet must not be counted in it.
func TestPerCallExcludesDirectAndIdleCost(t *testing.T) {
	c := CallCosts{}
	for _, rate := range []float64{100, 200, 300} {
		c.ViaEntries = append(c.ViaEntries, CallRound{Rate: rate, Cores: 0.5 + rate*250e-6, P50: 300, P99: 900})
		c.Direct = append(c.Direct, CallRound{Rate: rate, Cores: 0.1 + rate*100e-6, P50: 100, P99: 400})
	}
	c.summarize()
	if math.Abs(c.PerCall-150) > 1e-6 || c.AddedP50 != 200 || c.AddedP99 != 500 {
		t.Errorf("costs are %+v, want 150 us per call, 200 us added to p50 and 500 us added to p99", c)
	}
}
