package standin

import (
	"maps"
	"slices"
	"sync"
)

// Count is what a Ledger knows of one idempotency key or one request id.
type Count struct {
	// Arrivals counts the attempts that reached an endpoint's program.
	Arrivals int
	// Runs counts the attempts that got a slot and so had their effect.
	Runs int
	// Finished counts the runs that came to their end.
	Finished int
}

// Ledger counts what endpoints did for each request. Several endpoints may
// share one, which then sees duplicates across all of them. It is safe for
// concurrent use and grows with the number of requests.
type Ledger struct {
	mu       sync.Mutex
	keys     map[string]Count
	requests map[string]Count
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{keys: make(map[string]Count), requests: make(map[string]Count)}
}

// Key returns the counts for an idempotency key.
func (l *Ledger) Key(key string) Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[key]
}

// Request returns the counts for a value of contract.HeaderRequest.
func (l *Ledger) Request(id string) Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id]
}

// Keys returns a copy of the counts of all idempotency keys.
func (l *Ledger) Keys() map[string]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.keys)
}

// RanTwice returns the idempotency keys that ran more than once, sorted.
func (l *Ledger) RanTwice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var twice []string
	for key, count := range l.keys {
		if count.Runs > 1 {
			twice = append(twice, key)
		}
	}
	slices.Sort(twice)
	return twice
}

// identity names a request in a Ledger; either part may be empty.
type identity struct{ key, request string }

func (l *Ledger) arrived(id identity)  { l.add(id, Count{Arrivals: 1}) }
func (l *Ledger) ran(id identity)      { l.add(id, Count{Runs: 1}) }
func (l *Ledger) finished(id identity) { l.add(id, Count{Finished: 1}) }

func (l *Ledger) add(id identity, delta Count) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id.key != "" {
		l.keys[id.key] = l.keys[id.key].plus(delta)
	}
	if id.request != "" {
		l.requests[id.request] = l.requests[id.request].plus(delta)
	}
}

func (c Count) plus(delta Count) Count {
	return Count{
		Arrivals: c.Arrivals + delta.Arrivals,
		Runs:     c.Runs + delta.Runs,
		Finished: c.Finished + delta.Finished,
	}
}
