package standin

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// Count has the counts of a Ledger for one idempotency key or one request id.
type Count struct {
	// Arrivals counts the attempts that reached an endpoint's handler.
	Arrivals int
	// Runs counts the attempts that got a slot and thus took effect.
	Runs int
	// Finished counts the runs that completed.
	Finished int
}

// Ledger counts the attempts of each request at the endpoints. Endpoints that share a Ledger also
// detect a request that ran at two of them. It is safe for concurrent use and grows with the number
// of requests.
type Ledger struct {
	mu       sync.Mutex
	keys     map[string]Count
	requests map[string]Count
	// journal, if not nil, gets a line for each event.
	journal io.Writer
}

// The events of a journal.
const (
	EventArrived  = "arrived"
	EventRan      = "ran"
	EventFinished = "finished"
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{keys: make(map[string]Count), requests: make(map[string]Count)}
}

// NewJournaledLedger returns an empty ledger that also writes each event of a request to w, as a line
// of the event and the request's id, before the event takes effect. The lines outlive the process.
func NewJournaledLedger(w io.Writer) *Ledger {
	l := NewLedger()
	l.journal = w
	return l
}

// Key returns the counts for an idempotency key.
func (l *Ledger) Key(key string) Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[key]
}

// Request returns the counts for a request id, the value of contract.HeaderRequest.
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

// identity identifies a request in a Ledger; either field may be empty.
type identity struct{ key, request string }

func (l *Ledger) arrived(id identity)  { l.add(id, EventArrived, Count{Arrivals: 1}) }
func (l *Ledger) ran(id identity)      { l.add(id, EventRan, Count{Runs: 1}) }
func (l *Ledger) finished(id identity) { l.add(id, EventFinished, Count{Finished: 1}) }

func (l *Ledger) add(id identity, event string, delta Count) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.journal != nil && id.request != "" {
		fmt.Fprintln(l.journal, event, id.request)
	}
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
