package balance

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// centralQueue sends a request only to a slot that is idle by the entry's own count; until there
// is one, the request waits in the entry. With one entry for the whole load it is a single queue
// with perfect knowledge, the reference for the other policies.
type centralQueue struct{ basePolicy }

// Pick implements Picker.
func (q *centralQueue) Pick(now time.Duration, p *table.Pool, req Request, _ time.Duration) Choice {
	s, c, done := q.begin(now, p, req)
	if done {
		return c
	}
	best, ties := -1, 0
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.Outstanding >= max(1, e.Slots) || !eligible(now, p, i, req.Tried, s) {
			continue
		}
		switch {
		case best < 0 || e.Outstanding < p.Endpoints[best].Outstanding:
			best, ties = i, 1
		case e.Outstanding == p.Endpoints[best].Outstanding:
			ties++
			if q.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return Choice{Wait: noEndpointWait}
	}
	return Choice{Index: best, OK: true}
}

// leastLoad takes the endpoint with the least known load: own attempts and the last reported
// foreign load, which is weighted less as it ages.
type leastLoad struct{ basePolicy }

// Pick implements Picker.
func (l *leastLoad) Pick(now time.Duration, p *table.Pool, req Request, _ time.Duration) Choice {
	s, c, done := l.begin(now, p, req)
	if done {
		return c
	}
	best, bestLoad, ties := -1, 0.0, 0
	for i := range p.Endpoints {
		if !eligible(now, p, i, req.Tried, s) {
			continue
		}
		e := &p.Endpoints[i]
		load := (float64(e.Outstanding) + l.foreign(now, e)) / float64(max(1, e.Slots))
		switch {
		case best < 0 || load < bestLoad:
			best, bestLoad, ties = i, load, 1
		case load == bestLoad:
			ties++
			if l.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return Choice{Index: best, OK: best >= 0}
}
