package health

import "slices"

// inlineValues is how many values are held without an allocation, which covers
// the pools of today.
const inlineValues = 64

// sample holds values for a median.
type sample []float64

// median sorts the values and returns the lower median, 0 if there are none.
// The lower one makes the better of two endpoints the yardstick.
func (s sample) median() float64 {
	if len(s) == 0 {
		return 0
	}
	slices.Sort(s)
	return s[(len(s)-1)/2]
}
