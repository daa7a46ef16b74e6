package placement

import "time"

// Median is a running median of durations. A mean would follow the requests whose VM
// turned slow under way, five times as long and up to a third of all, and every
// request would seem to be late already when it arrives.
type Median struct {
	nanos   float64
	samples int
}

const (
	// medianStep is the part by which a sample moves the estimate.
	medianStep = 0.04
	// medianSamples is how many samples it takes to tell something.
	medianSamples = 3
)

// Observe takes in one sample. One that lies within a step moves nothing, so that
// samples that are all alike give just their value.
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

// step is larger at first, so that a first sample far off is soon forgotten.
func (m *Median) step() float64 {
	return max(medianStep, 1/float64(m.samples+1))
}

// Typical returns the estimate, 0 while too little is known.
func (m *Median) Typical() time.Duration {
	if m.samples < medianSamples {
		return 0
	}
	return time.Duration(m.nanos)
}
