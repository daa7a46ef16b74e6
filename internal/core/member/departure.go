package member

import (
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// vmKey identifies an incarnation of a VM.
type vmKey struct {
	name        string
	incarnation uint64
}

// departure is final evidence about an incarnation. It outlives the row, since a list that lags may
// show the incarnation as live long after.
type departure struct {
	leaving bool
	gone    bool
	// since is when the first evidence was reported anywhere, as far as known.
	since time.Duration
	// mentionedAt is when a list or evidence last named the incarnation.
	mentionedAt time.Duration
}

// departures holds the remembered departures.
type departures struct {
	known map[vmKey]*departure
	order []vmKey // by when the first evidence was learned here, oldest first
}

func newDepartures() departures { return departures{known: make(map[vmKey]*departure)} }

// note records evidence and reports whether it says something new.
func (v *departures) note(now, since time.Duration, e message.Evidence) bool {
	key := vmKey{e.VM, e.Incarnation}
	known := v.known[key]
	if known == nil {
		known = &departure{since: since}
		v.known[key] = known
		v.order = append(v.order, key)
	}
	known.mentionedAt = now
	wasLeaving, wasGone := known.leaving, known.gone
	known.leaving = true
	known.gone = known.gone || e.Kind != message.EvidenceLeaving
	return !wasLeaving || known.gone != wasGone
}

func (v *departures) isLeaving(name string, incarnation uint64) bool {
	known := v.known[vmKey{name, incarnation}]
	return known != nil && known.leaving
}

func (v *departures) isGone(name string, incarnation uint64) bool {
	known := v.known[vmKey{name, incarnation}]
	return known != nil && known.gone
}

// mention records that a list still names an incarnation.
func (v *departures) mention(now time.Duration, name string, incarnation uint64) {
	if known := v.known[vmKey{name, incarnation}]; known != nil {
		known.mentionedAt = now
	}
}

// forget drops departures that were not mentioned for rememberFor, and the oldest ones above limit.
func (v *departures) forget(now, rememberFor time.Duration, limit int) {
	kept := v.order[:0]
	excess := len(v.order) - limit
	for i, key := range v.order {
		if i < excess || now-v.known[key].mentionedAt > rememberFor {
			delete(v.known, key)
			continue
		}
		kept = append(kept, key)
	}
	clear(v.order[len(kept):])
	v.order = kept
}
