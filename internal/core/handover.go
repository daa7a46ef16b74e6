package core

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/core/duty"
	"github.com/tealhall/tealhall/internal/core/idem"
	"github.com/tealhall/tealhall/internal/message"
)

// successorCount is how many entries answer for the keys of one that stopped.
// With two, one of them may stop or fail meanwhile.
const successorCount = 2

// SealKeys ends the making of new keys here. Requests with new keys are
// refused as not run; those that run go on.
func (c *Core) SealKeys(now time.Duration) { c.keys.Seal(now) }

// Handover returns this entry's sealed table and what it adopted from others,
// in parts of at most size records.
func (c *Core) Handover(size int) []message.Handover {
	parts := handoverParts(c.cfg.Self.Incarnation, c.keys.Oldest(), c.keys.Export(), size)
	for _, a := range c.keys.ExportAdopted() {
		rest := handoverParts(a.Home, a.Oldest, a.Records, size)
		for i := range rest {
			rest[i].Total = a.Total
		}
		parts = append(parts, rest...)
	}
	return parts
}

// handoverParts splits a table. An empty one is a part too: it proves that no
// key of its home ran.
func handoverParts(home uint64, oldest uint32, records []idem.Record, size int) []message.Handover {
	total := len(records)
	var parts []message.Handover
	for {
		n := min(size, len(records))
		parts = append(parts, message.Handover{Home: home, Total: total, OldestEpoch: oldest, Records: records[:n]})
		records = records[n:]
		if len(records) == 0 {
			return parts
		}
	}
}

// Adopt takes over a part of the keys of an entry that stopped.
func (c *Core) Adopt(now time.Duration, part *message.Handover, out *Actions) {
	c.keys.AdoptPart(now, part.Home, part.OldestEpoch, part.Total, part.Records)
	out.note(Note{
		Actor:   c.sourceName(part.Home),
		Subject: "idempotency keys",
		Action:  "adopted",
		To:      strconv.Itoa(len(part.Records)) + " of " + strconv.Itoa(part.Total) + " keys",
		Why:     "the entry that ran them stops",
	})
}

// SuccessorAddresses returns the peer addresses of the entries that take over
// this entry's keys.
func (c *Core) SuccessorAddresses() []string {
	var out []string
	for _, incarnation := range c.successorsOf(c.cfg.Self.Incarnation, successorCount) {
		if address, ok := c.peerAddressOf(incarnation); ok && address != "" {
			out = append(out, address)
		}
	}
	return out
}

// successorsOf returns the entries that answer for the keys of a home, by
// rendezvous hashing over the entries known, so that all entries agree without
// a word and few homes move when entries change.
func (c *Core) successorsOf(home uint64, n int) []uint64 {
	type scored struct{ incarnation, score uint64 }
	key := duty.Key("successor", strconv.FormatUint(home, 16))
	var best []scored
	for i := range c.fleet.entries {
		e := &c.fleet.entries[i]
		self := e.VM.Incarnation == c.cfg.Self.Incarnation
		if e.VM.Incarnation != home && (e.Usable() || self) {
			best = append(best, scored{e.VM.Incarnation, duty.Score(key, dutyID(e.VM.Name))})
		}
	}
	slices.SortFunc(best, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var out []uint64
	for _, s := range best[:min(n, len(best))] {
		out = append(out, s.incarnation)
	}
	return out
}
