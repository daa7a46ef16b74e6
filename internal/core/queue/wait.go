package queue

import "time"

const (
	// paceWeight is the weight of the latest interval in the measured pace.
	paceWeight = 0.2
	// paceMemory is how long a pace is kept while nothing waits. It guards
	// against refusing requests today for the slowness of an overload that has
	// long passed: what is refused is never served, so it would never be
	// measured again.
	paceMemory = time.Second
)

// pace measures the time between dispatches of a class while requests of it
// wait. That covers all that the entry can't see by itself: how much other
// entries take, how slow the endpoints are, how many are ejected.
type pace struct {
	interval float64
	measured bool
	// since is the last dispatch, or when requests began to wait after it.
	since time.Duration
}

// noteFirstWaiting notes that the first request waits after none did.
func (p *pace) noteFirstWaiting(now time.Duration) {
	if now-p.since > paceMemory {
		p.measured = false
	}
	p.since = now
}

func (p *pace) noteDispatch(now time.Duration) {
	sample := float64(now - p.since)
	if !p.measured {
		p.interval = sample
	}
	p.interval += paceWeight * (sample - p.interval)
	p.measured = true
	p.since = now
}

// at returns the interval to reckon with. While nothing leaves, it is at least
// the time since the last dispatch, since the measured one is out of date.
func (p *pace) at(now time.Duration, unmeasured time.Duration) float64 {
	interval := float64(unmeasured)
	if p.measured {
		interval = p.interval
	}
	return max(interval, float64(now-p.since))
}

// ExpectedWait estimates how long the item would wait for a slot. idle is how
// many slots it could use at once, and between is the expected time between
// two dispatches as long as none was measured: the service time divided by the
// slots that this entry can count on. An item that is first of its class has
// no estimate above zero: it finds out and is measured.
func (q *Queue) ExpectedWait(now time.Duration, it Item, idle int, between time.Duration) time.Duration {
	c := q.find(it.Service, it.Priority)
	if c == nil || c.waiting == 0 {
		return 0
	}
	ahead := q.Ahead(it)
	if c.pace.measured {
		ahead = q.aheadInClass(c, it)
	}
	return time.Duration(float64(max(0, ahead-idle)) * c.pace.at(now, between))
}

// Ahead returns how many waiting items are expected to go before the item:
// those of higher or the same priority, and of its own class as many as the
// turns of the other callers allow while those of its own caller go first.
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
