package health

import "slices"

// inlineSample is how many values a sample holds without an allocation, which
// covers the pools of today.
const inlineSample = 64

// sample collects values for a median.
type sample struct {
	inline [inlineSample]float64
	values []float64
}

func (s *sample) add(v float64) {
	if s.values == nil {
		s.values = s.inline[:0]
	}
	s.values = append(s.values, v)
}

func (s *sample) len() int { return len(s.values) }

// median returns the lower median, 0 if there are no values. The lower one
// makes the better of two endpoints the yardstick.
func (s *sample) median() float64 {
	if len(s.values) == 0 {
		return 0
	}
	slices.Sort(s.values)
	return s.values[(len(s.values)-1)/2]
}
