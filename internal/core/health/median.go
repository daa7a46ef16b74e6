package health

import "slices"

// inlineValues is the number of values that fit without an allocation, enough for current pools.
const inlineValues = 64

// values is a set of values of which the median is taken.
type values []float64

// median sorts the values and returns the lower median, or 0 if there are none. With the lower
// median, the better one of two endpoints is the reference.
func (s values) median() float64 {
	if len(s) == 0 {
		return 0
	}
	slices.Sort(s)
	return s[(len(s)-1)/2]
}
