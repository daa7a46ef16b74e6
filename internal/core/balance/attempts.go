package balance

import (
	"math"
	"time"
)

// trackedAttempts is how many own attempts in flight are tracked at one
// endpoint; more than its slots and a short queue tell nothing new.
const trackedAttempts = 4

// attempts holds when this entry's attempts in flight at one endpoint began.
type attempts struct {
	started [trackedAttempts]time.Duration
	// queued marks those that were sent to wait at the endpoint.
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

// remove forgets the attempt that began closest to begun and reports whether it
// was known and had not been queued, so that its latency is service time.
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

// nextEnd estimates when the first of the attempts in service ends, given a
// service time.
func (a *attempts) nextEnd(now time.Duration, service float64) float64 {
	end := math.Inf(1)
	for k := range a.count {
		if a.queued[k] {
			continue
		}
		ran := float64(now - a.started[k])
		// One that runs far too long is taken to be a long one.
		end = min(end, max(minRemaining*service, service-ran, ran-overdueFactor*service))
	}
	return end
}

// overdueFactor is after how many service times an attempt is taken to need long
// still.
const overdueFactor = 2

// minRemaining is the share of a service time that an attempt is taken to need
// still, however long it has run.
const minRemaining = 0.15
