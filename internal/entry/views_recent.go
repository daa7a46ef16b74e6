package entry

import (
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/core"
)

const (
	// recentPeriod is how often the counters are kept, and recentSamples how many
	// of them: together they span the last minute.
	recentPeriod  = 5 * time.Second
	recentSamples = 13
)

// recent keeps the counters of the last minute, so that a concern about what
// happens now does not stay for what happened long ago. It is safe for
// concurrent use.
type recent struct {
	mu      sync.Mutex
	next    time.Duration
	samples []core.Counters // oldest first
}

// sample keeps the counters if it is time; read is asked for them only then.
func (r *recent) sample(now time.Duration, read func() core.Counters) {
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

// recentCounts is what happened in the last minute.
type recentCounts struct {
	arrived, unknown, retriesDenied, pauses uint64
	refused                                 [reasonCount]uint64
}

// sinceOldestSample returns what was counted since the oldest sample.
func (r *recent) sinceOldestSample(current *core.Counters) recentCounts {
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
