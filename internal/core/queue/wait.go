package queue

import "time"

// paceWeight is the weight of the latest interval in the measured pace.
const paceWeight = 0.1

// pace measures the time between dispatches while requests wait. It covers
// all that the entry can't see by itself: how much other entries take, how
// slow the endpoints are, how many are ejected.
type pace struct {
	interval float64
	// since is the last dispatch, or when requests began to wait after it.
	since time.Duration
	busy  bool
}

func (p *pace) restart(now time.Duration) {
	p.since = now
	p.busy = true
}

func (p *pace) taken(now time.Duration, stillWaiting bool) {
	if p.busy {
		sample := float64(now - p.since)
		if p.interval == 0 {
			p.interval = sample
		}
		p.interval += paceWeight * (sample - p.interval)
	}
	p.since = now
	p.busy = stillWaiting
}

// ExpectedWait estimates how long the item would wait for a slot. idle is how
// many slots it could use at once, and between is the expected time between
// two dispatches as long as none was measured: the service time divided by the
// slots that this entry can count on.
func (q *Queue) ExpectedWait(now time.Duration, it Item, idle int, between time.Duration) time.Duration {
	ahead := q.Ahead(it) + 1 - idle
	if ahead <= 0 {
		return 0
	}
	interval := float64(between)
	if q.pace.interval > 0 {
		interval = q.pace.interval
	}
	if q.Len() > 0 {
		// Nothing has left for a while: the measured pace is out of date.
		interval = max(interval, float64(now-q.pace.since))
	}
	return time.Duration(float64(ahead) * interval)
}

// Ahead returns how many waiting items are expected to go before the item:
// those of higher priority, and of its own service as many as the turns of the
// other callers allow while the items of its own caller go first.
func (q *Queue) Ahead(it Item) int {
	ahead := 0
	for _, c := range q.classes {
		if c.priority > it.Priority {
			ahead += c.waiting
			continue
		}
		if c.priority < it.Priority {
			continue
		}
		ahead += q.aheadInClass(c, it)
	}
	return ahead
}

func (q *Queue) aheadInClass(c *class, it Item) int {
	if c.service != it.Service {
		return c.waiting
	}
	own, others := 0, len(c.flows)
	if f, ok := c.flows[it.Caller]; ok {
		own = q.flows[f].items.len()
		others--
	}
	return min(c.waiting, own+others*(own+1))
}
