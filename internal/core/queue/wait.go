package queue

import "time"

const (
	// intervalWeight is the weight of the latest interval in the smoothed one.
	intervalWeight = 0.2
	// intervalMemory is how long a measured interval is kept while no request waits. It guards
	// against refusing requests because of an overload that ended long ago: a refused request is
	// never served, so the interval would never be measured again.
	intervalMemory = time.Second
)

// dispatchInterval measures the time between dispatches of a class while requests of it wait. That
// time reflects everything that the entry cannot observe itself: the slots that other entries use,
// slow endpoints, ejected endpoints.
type dispatchInterval struct {
	nanos    float64
	measured bool
	// since is the latest dispatch, or the time at which requests began to wait after it.
	since time.Duration
}

// noteFirstWaiting records that a request waits in a class where none waited before.
func (d *dispatchInterval) noteFirstWaiting(now time.Duration) {
	if now-d.since > intervalMemory {
		d.measured = false
	}
	d.since = now
}

func (d *dispatchInterval) noteDispatch(now time.Duration) {
	sample := float64(now - d.since)
	if !d.measured {
		d.nanos = sample
	}
	d.nanos += intervalWeight * (sample - d.nanos)
	d.measured = true
	d.since = now
}

// at returns the interval to use in estimates: the measured one, or unmeasured before the first
// measurement. While no request is dispatched, it is at least the time since the last dispatch,
// since the measured interval is then outdated.
func (d *dispatchInterval) at(now time.Duration, unmeasured time.Duration) float64 {
	interval := float64(unmeasured)
	if d.measured {
		interval = d.nanos
	}
	return max(interval, float64(now-d.since))
}

// ExpectedWait estimates how long the item would wait for a slot. idle is how many idle slots it
// could use now. between is the expected time between two dispatches as long as none was measured:
// the service time divided by the slots that this entry can expect to use. For an item that is
// first of its class the estimate is zero: the dispatch of that item gives the first measurement.
func (q *Queue) ExpectedWait(now time.Duration, it Item, idle int, between time.Duration) time.Duration {
	c := q.find(it.Service, it.Priority)
	if c == nil || c.waiting == 0 {
		return 0
	}
	ahead := q.Ahead(it)
	if c.interval.measured {
		ahead = q.aheadInClass(c, it)
	}
	return time.Duration(float64(max(0, ahead-idle)) * c.interval.at(now, between))
}

// Ahead returns how many waiting items are expected to be served before the item: all of other
// classes with the same or a higher priority and, in its own class, those of its own caller and for
// each other caller one more than these, since callers take turns.
func (q *Queue) Ahead(it Item) int {
	ahead := 0
	for _, c := range q.classes {
		switch {
		case c.priority < it.Priority:
		case c.priority == it.Priority && c.service == it.Service:
			ahead += q.aheadInClass(c, it)
		default:
			ahead += c.waiting
		}
	}
	return ahead
}

func (q *Queue) aheadInClass(c *class, it Item) int {
	own, others := 0, len(c.flows)
	if f, ok := c.flows[it.Caller]; ok {
		own = q.flows[f].items.len()
		others--
	}
	return min(c.waiting, own+others*(own+1))
}
