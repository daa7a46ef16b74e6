package balance

import (
	"math"
	"time"
)

// trackedAttempts is how many of this entry's attempts in flight are tracked at one endpoint. More
// attempts than the endpoint's slots and a short queue would not improve the estimate.
const trackedAttempts = 4

// attempts records when this entry's attempts in flight at one endpoint were started.
type attempts struct {
	started [trackedAttempts]time.Duration
	// queued marks the attempts that were sent to wait in the endpoint's queue.
	queued [trackedAttempts]bool
	count  int
}

func (a *attempts) add(now time.Duration, queued bool) {
	if a.count == trackedAttempts {
		return
	}
	a.started[a.count], a.queued[a.count] = now, queued
	a.count++
}

// remove deletes the attempt whose start is closest to started. It reports whether such an attempt
// was tracked and had not been queued, so that its latency is a service time.
func (a *attempts) remove(started time.Duration) (served bool) {
	if a.count == 0 {
		return false
	}
	best := 0
	for k := 1; k < a.count; k++ {
		if (a.started[k] - started).Abs() < (a.started[best] - started).Abs() {
			best = k
		}
	}
	served = !a.queued[best]
	a.count--
	a.started[best], a.queued[best] = a.started[a.count], a.queued[a.count]
	return served
}

// nextEnd estimates when the first of the attempts in service ends, given a service time; the
// result is the time from now in nanoseconds.
func (a *attempts) nextEnd(now time.Duration, service float64) float64 {
	end := math.Inf(1)
	for k := range a.count {
		if a.queued[k] {
			continue
		}
		ran := float64(now - a.started[k])
		// An attempt that is far overdue probably needs much longer still.
		end = min(end, max(minRemaining*service, service-ran, ran-overdueFactor*service))
	}
	return end
}

// overdueFactor is the number of service times after which an attempt is expected to need much
// longer still.
const overdueFactor = 2

// minRemaining is the least share of a service time that an attempt is expected to need still,
// however long it has run.
const minRemaining = 0.15
