package member

import (
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// Endpoint is what is believed of an endpoint.
type Endpoint struct {
	// VM.State is Leaving as soon as any evidence says so.
	VM published.VM
	// Missing: the platform's list has lost it.
	Missing bool
}

// Entry is what is believed of an entry.
type Entry struct {
	// VM.State is Leaving as soon as any evidence says so.
	VM published.VM
	// State is what the entry last said of itself: starting while only the list
	// names it, serving from its introduction until it says more.
	State message.EntryState
	// Suspected: silent for too long.
	Suspected bool
	// Missing: the platform's list has lost it, or never had it.
	Missing bool
	// SeenAt is when it was last heard, or when it became known.
	SeenAt time.Duration
}

// Usable reports whether callers may be sent to the entry and duties be
// counted on it.
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

// Entries appends all entries to out, this one included if it is known, by name.
func (t *Table) Entries(out []Entry) []Entry {
	for _, r := range t.order {
		if isEntry(r.vm) {
			out = append(out, Entry{
				VM:        r.vm,
				State:     r.state,
				Suspected: r.suspected,
				Missing:   r.missing || !r.listed,
				SeenAt:    r.seenAt,
			})
		}
	}
	return out
}

// TakeEvidence appends what was learned since the last call to out, for
// spreading, oldest first.
func (t *Table) TakeEvidence(out []message.Evidence) []message.Evidence {
	out = append(out, t.newEvidence...)
	t.newEvidence = t.newEvidence[:0]
	return out
}

// TakeSilent appends the entries whose silence showed here since the last call to out. It is
// news only where others do not watch them themselves.
func (t *Table) TakeSilent(out []Silence) []Silence {
	if t.relays {
		out = append(out, t.silent...)
	}
	t.silent = t.silent[:0]
	return out
}

// Evidence appends at most most pieces of all evidence held to out, newest
// first, with their age.
func (t *Table) Evidence(now time.Duration, limit int, out []message.Evidence) []message.Evidence {
	order := t.departures.order
	for i := len(order) - 1; i >= 0 && limit > 0; i-- {
		v := t.departures.known[order[i]]
		out = append(out, v.evidence(now, order[i]))
		limit--
	}
	return out
}

func (v *departure) evidence(now time.Duration, key vmKey) message.Evidence {
	kind := message.EvidenceLeaving
	if v.gone {
		kind = message.EvidenceStopped
	}
	age := min((now - v.since).Milliseconds(), int64(^uint32(0)))
	return message.Evidence{VM: key.name, Incarnation: key.incarnation, Kind: kind, AgeMillis: uint32(max(age, 0))}
}
