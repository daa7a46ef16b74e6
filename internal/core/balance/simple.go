package balance

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// random picks any eligible endpoint.
type random struct{ basePolicy }

// Pick implements Picker.
func (r *random) Pick(now time.Duration, p *table.Pool, req Request, _ time.Duration) Choice {
	s, c, done := r.begin(now, p, req)
	if done {
		return c
	}
	i, ok := r.pickRandom(now, p, req.Tried, s, -1)
	return Choice{Index: i, OK: ok}
}

// roundRobin takes the endpoints in order, beginning at a random one.
type roundRobin struct {
	basePolicy
	next int
}

// Pick implements Picker.
func (r *roundRobin) Pick(now time.Duration, p *table.Pool, req Request, _ time.Duration) Choice {
	s, c, done := r.begin(now, p, req)
	if done {
		return c
	}
	for range p.Endpoints {
		i := r.next % len(p.Endpoints)
		r.next++
		if eligible(now, p, i, req.Tried, s) {
			return Choice{Index: i, OK: true}
		}
	}
	return Choice{Wait: noEndpointWait}
}

// leastOutstanding picks the endpoint with the fewest own attempts per slot, and a random one
// among equals.
type leastOutstanding struct{ basePolicy }

// Pick implements Picker.
func (l *leastOutstanding) Pick(now time.Duration, p *table.Pool, req Request, _ time.Duration) Choice {
	s, c, done := l.begin(now, p, req)
	if done {
		return c
	}
	best, bestLoad, ties := -1, 0.0, 0
	for i := range p.Endpoints {
		if !eligible(now, p, i, req.Tried, s) {
			continue
		}
		load := ownLoad(&p.Endpoints[i])
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

// ownLoad returns the entry's own attempts per slot.
func ownLoad(e *table.Endpoint) float64 {
	return float64(e.Outstanding) / float64(max(1, e.Slots))
}

// twoChoices compares two random endpoints and takes the less loaded one, by own attempts alone or
// with the reported foreign load added.
type twoChoices struct {
	basePolicy
	reports bool
}

// Pick implements Picker.
func (t *twoChoices) Pick(now time.Duration, p *table.Pool, req Request, _ time.Duration) Choice {
	s, c, done := t.begin(now, p, req)
	if done {
		return c
	}
	a, _ := t.pickRandom(now, p, req.Tried, s, -1)
	b, ok := t.pickRandom(now, p, req.Tried, s, a)
	if ok && t.load(now, &p.Endpoints[b]) < t.load(now, &p.Endpoints[a]) {
		a = b
	}
	return Choice{Index: a, OK: true}
}

func (t *twoChoices) load(now time.Duration, e *table.Endpoint) float64 {
	load := ownLoad(e)
	if t.reports {
		load += t.foreign(now, e) / float64(max(1, e.Slots))
	}
	return load
}

// foreign returns the reported foreign load, which is weighted less as it ages: after one service
// time about half of the reported attempts have ended.
func (b *basePolicy) foreign(now time.Duration, e *table.Endpoint) float64 {
	if !e.Reported.Seen {
		return 0
	}
	service := b.serviceTime(e)
	age := float64(now - e.Reported.At)
	return float64(e.Reported.Foreign) * service / (service + max(0, age))
}
