package core

import "time"

// workTime estimates how long a service's requests take at endpoints that are idle
// and as fast as usual. It is a running median: a mean would follow the requests whose
// VM turned slow under way, five times as long and up to a third of all, and every
// request would seem to be late already when it arrives.
type workTime struct {
	nanos   float64
	samples int
}

const (
	// workStep is the part by which a sample moves the estimate.
	workStep = 0.04
	// workSamples is how many samples it takes to tell something.
	workSamples = 3
)

// observe takes in the latency of one request.
func (w *workTime) observe(latency time.Duration) {
	w.samples++
	switch {
	case w.nanos == 0:
		w.nanos = float64(latency)
	case float64(latency) > w.nanos:
		w.nanos *= 1 + w.step()
	default:
		w.nanos /= 1 + w.step()
	}
}

// step is larger at first, so that a first sample from a slow VM is soon forgotten.
func (w *workTime) step() float64 {
	return max(workStep, 1/float64(w.samples+1))
}

// typical returns the estimate, 0 while too little is known.
func (w *workTime) typical() time.Duration {
	if w.samples < workSamples {
		return 0
	}
	return time.Duration(w.nanos)
}
