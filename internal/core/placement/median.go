package placement

import "time"

// Median is a running median of durations. A mean would follow the requests whose VM became slow
// while they ran, which take five times as long and are up to a third of all; every request would
// then seem late already when it arrives.
type Median struct {
	nanos   float64
	samples int
}

const (
	// medianStep is the fraction by which a sample moves the estimate.
	medianStep = 0.04
	// medianSamples is the number of samples from which on the estimate is used.
	medianSamples = 3
)

// Observe adds a sample. A sample within one step of the estimate moves it only in proportion to
// the difference, so that equal samples give exactly their value.
func (m *Median) Observe(sample time.Duration) {
	m.samples++
	step := m.step()
	switch v := float64(sample); {
	case m.nanos == 0:
		m.nanos = v
	case v > m.nanos*(1+step):
		m.nanos *= 1 + step
	case v < m.nanos/(1+step):
		m.nanos /= 1 + step
	default:
		m.nanos += step * (v - m.nanos)
	}
}

// step returns the present step, which is larger at first, so that a first sample that is far off
// is soon corrected.
func (m *Median) step() float64 {
	return max(medianStep, 1/float64(m.samples+1))
}

// Typical returns the estimate, 0 while there are too few samples.
func (m *Median) Typical() time.Duration {
	if m.samples < medianSamples {
		return 0
	}
	return time.Duration(m.nanos)
}
