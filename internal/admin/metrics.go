package admin

import (
	"cmp"
	"math"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the exported quantiles of histograms and timers.
var quantiles = map[string]float64{"50%": 0.5, "99%": 0.99, "99.9%": 0.999}

// MetricViews returns the metrics of a registry, sorted by name.
func MetricViews(registry metrics.Registry) []MetricView {
	views := []MetricView{}
	registry.Each(func(name string, metric any) {
		values := valuesOf(metric)
		for key, value := range values {
			if math.IsNaN(value) || math.IsInf(value, 0) {
				delete(values, key) // JSON has no such numbers
			}
		}
		views = append(views, MetricView{Name: name, Values: values})
	})
	slices.SortFunc(views, func(a, b MetricView) int { return cmp.Compare(a.Name, b.Name) })
	return views
}

func valuesOf(metric any) map[string]float64 {
	switch m := metric.(type) {
	case metrics.Counter:
		return map[string]float64{"count": float64(m.Count())}
	case metrics.Gauge:
		return map[string]float64{"value": float64(m.Value())}
	case metrics.GaugeFloat64:
		return map[string]float64{"value": m.Value()}
	case metrics.Meter:
		s := m.Snapshot()
		return map[string]float64{"count": float64(s.Count()), "rate1m": s.Rate1(), "rate5m": s.Rate5(), "mean": s.RateMean()}
	case metrics.Timer:
		s := m.Snapshot()
		values := distribution(s.Count(), s.Min(), s.Max(), s.Mean(), s.Percentile)
		values["rate1m"] = s.Rate1()
		return values
	case metrics.Histogram:
		s := m.Snapshot()
		return distribution(s.Count(), s.Min(), s.Max(), s.Mean(), s.Percentile)
	}
	return map[string]float64{}
}

func distribution(count, lowest, highest int64, mean float64, percentile func(float64) float64) map[string]float64 {
	values := map[string]float64{"count": float64(count), "min": float64(lowest), "max": float64(highest), "mean": mean}
	for name, quantile := range quantiles {
		values[name] = percentile(quantile)
	}
	return values
}
