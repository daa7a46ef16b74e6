// Package audit keeps the trail of changes of one entry: who changed what, from which value to
// which, at which revision and why. The trail is a bounded ring in memory. A sink passes every
// record on, for example to the log, because the trail is lost when the process ends.
package audit

import (
	"context"
	"sync"
	"time"
)

// Record is one change. Programs should rely only on Seq, Action and Subject; the other texts are
// for people.
type Record struct {
	// Seq numbers the records of one process, starting with 1.
	Seq uint64 `json:"seq"`
	// Wall is the wall-clock time at which the record was added.
	Wall time.Time `json:"wall"`
	// Actor is who caused the change: "platform", "peer NAME", "self", "operator".
	Actor string `json:"actor"`
	// Subject is the thing that changed, for example "profiles" or "endpoint live-3".
	Subject string `json:"subject"`
	// Action is a short verb: "accepted", "refused", "ejected", "readmitted".
	Action string `json:"action"`
	// From and To are the values before and after; either may be empty.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Revision is the revision of the published value that the change belongs to; 0 if there is
	// none.
	Revision uint64 `json:"revision,omitempty"`
	// Why gives the evidence and, if there is one, the remedy.
	Why string `json:"why,omitempty"`
}

// Trail is a bounded ring of records. It is safe for concurrent use.
type Trail struct {
	clock func() time.Time
	sink  func(Record)

	// sinkMu is held during the sink's call, so that the sink gets the records in order. Readers
	// need only mu, so they never wait for a slow sink.
	sinkMu sync.Mutex

	mu sync.Mutex
	// size is the maximum number of records in the ring. The ring grows up to it, so an empty trail
	// takes no memory.
	size    int
	ring    []Record
	last    uint64        // Seq of the newest record, 0 when there is none
	changed chan struct{} // closed and replaced by each Add
}

// New returns an empty trail that keeps the newest size records (at least one). The clock gives
// each record's wall time. The sink may be nil; it is called once per record, in order, on the
// goroutine that calls Add.
func New(size int, clock func() time.Time, sink func(Record)) *Trail {
	return &Trail{
		clock:   clock,
		sink:    sink,
		size:    max(size, 1),
		changed: make(chan struct{}),
	}
}

// Add sets the record's Seq and time, stores it and passes it to the sink. It returns the complete
// record.
func (t *Trail) Add(r Record) Record {
	t.sinkMu.Lock()
	defer t.sinkMu.Unlock()
	r = t.store(r)
	if t.sink != nil {
		t.sink(r)
	}
	return r
}

func (t *Trail) store(r Record) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	r.Seq = t.last
	r.Wall = t.clock()
	if len(t.ring) < t.size {
		t.ring = append(t.ring, r)
	} else {
		t.ring[t.ringIndex(r.Seq)] = r
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return r
}

func (t *Trail) ringIndex(seq uint64) int {
	return int((seq - 1) % uint64(t.size))
}

// Since returns the stored records after seq, oldest first. The result dropped is true if some of
// them have been overwritten. A seq that this process has not reached yet comes from an earlier
// process at the same address: the whole ring is returned, with dropped set.
func (t *Trail) Since(seq uint64) (records []Record, dropped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if seq > t.last {
		seq, dropped = 0, true
	}
	first := seq + 1
	if kept := uint64(t.size); t.last > kept && first <= t.last-kept {
		first, dropped = t.last-kept+1, true
	}
	records = make([]Record, 0, t.last+1-first)
	for s := first; s <= t.last; s++ {
		records = append(records, t.ring[t.ringIndex(s)])
	}
	return records, dropped
}

// Last returns the Seq of the newest record, or 0 if there is none.
func (t *Trail) Last() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// Wait returns nil as soon as Since(seq) has something to return, or the context's error if the
// context ends first.
func (t *Trail) Wait(ctx context.Context, seq uint64) error {
	for {
		t.mu.Lock()
		ready, changed := t.last != seq, t.changed
		t.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
