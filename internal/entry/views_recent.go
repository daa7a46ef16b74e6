package entry

import (
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/core"
)

const (
	// recentPeriod is the time between two samples of the counters, and recentSamples the number
	// of samples kept: together they span the last minute.
	recentPeriod  = 5 * time.Second
	recentSamples = 13
)

// counterSamples keeps samples of the counters of the last minute, so that concerns are based on
// recent events only. It is safe for concurrent use.
type counterSamples struct {
	mu      sync.Mutex
	next    time.Duration
	samples []core.Counters // oldest first
}

// sample takes a sample of the counters if one is due, and calls read only then.
func (r *counterSamples) sample(now time.Duration, read func() core.Counters) {
	r.mu.Lock()
	due := now >= r.next
	if due {
		r.next = now + recentPeriod
	}
	r.mu.Unlock()
	if !due {
		return
	}
	counters := read()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, counters)
	if len(r.samples) > recentSamples {
		r.samples = append(r.samples[:0], r.samples[1:]...)
	}
}

// recentCounts are the events of the last minute.
type recentCounts struct {
	arrived, unknown, retriesDenied, pauses uint64
	refused                                 [reasonCount]uint64
}

// sinceOldestSample returns by how much the counters have grown since the oldest sample.
func (r *counterSamples) sinceOldestSample(current *core.Counters) recentCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var oldest core.Counters
	if len(r.samples) > 0 {
		oldest = r.samples[0]
	}
	counts := recentCounts{
		arrived:       current.Arrived - oldest.Arrived,
		unknown:       current.Unknown - oldest.Unknown,
		retriesDenied: current.RetriesDenied - oldest.RetriesDenied,
		pauses:        current.Pauses - oldest.Pauses,
	}
	for i := range counts.refused {
		counts.refused[i] = current.Refused[i] - oldest.Refused[i]
	}
	return counts
}
