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
func (d *departures) note(now, since time.Duration, e message.Evidence) bool {
	key := vmKey{e.VM, e.Incarnation}
	known := d.known[key]
	if known == nil {
		known = &departure{since: since}
		d.known[key] = known
		d.order = append(d.order, key)
	}
	known.mentionedAt = now
	wasLeaving, wasGone := known.leaving, known.gone
	known.leaving = true
	known.gone = known.gone || e.Kind != message.EvidenceLeaving
	return !wasLeaving || known.gone != wasGone
}

func (d *departures) isLeaving(name string, incarnation uint64) bool {
	known := d.known[vmKey{name, incarnation}]
	return known != nil && known.leaving
}

func (d *departures) isGone(name string, incarnation uint64) bool {
	known := d.known[vmKey{name, incarnation}]
	return known != nil && known.gone
}

// mention records that a list still names an incarnation.
func (d *departures) mention(now time.Duration, name string, incarnation uint64) {
	if known := d.known[vmKey{name, incarnation}]; known != nil {
		known.mentionedAt = now
	}
}

// forget drops departures that were not mentioned for rememberFor and are not listed, and the oldest
// ones above limit.
func (d *departures) forget(now, rememberFor time.Duration, limit int, listed func(vmKey) bool) {
	kept := d.order[:0]
	excess := len(d.order) - limit
	for i, key := range d.order {
		if i < excess || now-d.known[key].mentionedAt > rememberFor && !listed(key) {
			delete(d.known, key)
			continue
		}
		kept = append(kept, key)
	}
	clear(d.order[len(kept):])
	d.order = kept
}
