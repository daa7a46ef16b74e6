package member

import (
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// Endpoint is the view of an endpoint.
type Endpoint struct {
	// VM.State is Leaving as soon as any evidence says so.
	VM published.VM
	// Missing reports that the platform's list no longer names the endpoint.
	Missing bool
}

// Entry is the view of an entry.
type Entry struct {
	// VM.State is Leaving as soon as any evidence says so.
	VM published.VM
	// State is the state that the entry last reported: starting while only the list names it,
	// serving from its first hello until it reports another one.
	State message.EntryState
	// Suspected reports that the entry has been silent for too long.
	Suspected bool
	// Missing reports that the platform's list no longer names the entry, or never did.
	Missing bool
	// SeenAt is when the entry was last heard from, or when it became known.
	SeenAt time.Duration
}

// Usable reports whether callers may be sent to the entry and work may be assigned to it.
func (e Entry) Usable() bool {
	return !e.Suspected && e.State == message.EntryServing && e.VM.State == published.Live
}

// Endpoints appends all endpoints to out, by name.
func (t *Table) Endpoints(out []Endpoint) []Endpoint {
	for _, r := range t.order {
		if !isEntry(r.vm) {
			out = append(out, Endpoint{VM: r.vm, Missing: r.missing})
		}
	}
	return out
}

// Entries appends all entries by name to out, including this one if it is known.
func (t *Table) Entries(out []Entry) []Entry {
	for _, r := range t.entries {
		out = append(out, Entry{
			VM:        r.vm,
			State:     r.state,
			Suspected: r.suspected,
			Missing:   r.missing || !r.listed,
			SeenAt:    r.seenAt,
		})
	}
	return out
}

// TakeEvidence appends the evidence learned since the last call to out, for spreading, oldest
// first.
func (t *Table) TakeEvidence(out []message.Evidence) []message.Evidence {
	out = append(out, t.newEvidence...)
	t.newEvidence = t.newEvidence[:0]
	return out
}

// TakeSilences appends the entries whose silence was noticed here since the last call to out. It
// appends none if all entries watch each other: each of them then notices the silence itself.
func (t *Table) TakeSilences(out []Silence) []Silence {
	if t.relays {
		out = append(out, t.silent...)
	}
	t.silent = t.silent[:0]
	return out
}

// Evidence appends up to limit pieces of all stored evidence to out, newest first, with their age.
func (t *Table) Evidence(now time.Duration, limit int, out []message.Evidence) []message.Evidence {
	order := t.departures.order
	for i := len(order) - 1; i >= 0 && limit > 0; i-- {
		d := t.departures.known[order[i]]
		out = append(out, d.evidence(now, order[i]))
		limit--
	}
	return out
}

func (d *departure) evidence(now time.Duration, key vmKey) message.Evidence {
	kind := message.EvidenceLeaving
	if d.gone {
		kind = message.EvidenceStopped
	}
	age := min((now - d.since).Milliseconds(), int64(^uint32(0)))
	return message.Evidence{VM: key.name, Incarnation: key.incarnation, Kind: kind, AgeMillis: uint32(max(age, 0))}
}
