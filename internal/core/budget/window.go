package budget

import "time"

// windowSteps is the number of steps of a window. An event is counted for up to one step longer
// than the window's span, never shorter.
const windowSteps = 20

// window counts the events of the latest span.
type window struct {
	span   time.Duration
	counts [windowSteps + 1]float64
	total  float64
	step   int64
}

// advance drops the events that are older than the span.
func (w *window) advance(now time.Duration) {
	step := int64(now / (w.span / windowSteps))
	if step <= w.step {
		return
	}
	if step-w.step > windowSteps {
		w.counts, w.total = [windowSteps + 1]float64{}, 0
	} else {
		for s := w.step + 1; s <= step; s++ {
			bin := &w.counts[s%(windowSteps+1)]
			w.total -= *bin
			*bin = 0
		}
	}
	w.step = step
}

func (w *window) add(now time.Duration, n float64) {
	w.advance(now)
	w.counts[w.step%(windowSteps+1)] += n
	w.total += n
}

// steps counts events in steps of time.
type steps struct {
	length time.Duration
	counts []uint32
	// last is the number of the current step, counted from the start of the process.
	last int64
}

// newSteps returns counts of the current step and of those before it, n in all.
func newSteps(length time.Duration, n int) steps {
	return steps{length: max(1, length), counts: make([]uint32, n)}
}

// advance begins the step of the time now, unless it has begun.
func (s *steps) advance(now time.Duration) {
	step := int64(now / s.length)
	if step-s.last >= int64(len(s.counts)) {
		clear(s.counts)
		s.last = step
	}
	for s.last < step {
		s.last++
		s.counts[s.last%int64(len(s.counts))] = 0
	}
}

func (s *steps) add(now time.Duration) {
	s.advance(now)
	s.counts[s.last%int64(len(s.counts))]++
}

// at returns the count of the step of an age, 0 for the current one. Steps that are no longer kept
// count nothing.
func (s *steps) at(age int) int {
	step := s.last - int64(age)
	if step < 0 || age >= len(s.counts) {
		return 0
	}
	return int(s.counts[step%int64(len(s.counts))])
}

// sum returns the events of the steps with ages from first to end, without end.
func (s *steps) sum(first, end int) (n int) {
	for age := first; age < end; age++ {
		n += s.at(age)
	}
	return n
}

// begin returns when the step of an age began.
func (s *steps) begin(age int) time.Duration { return time.Duration(s.last-int64(age)) * s.length }
