package core

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/idem"
	"github.com/tealhall/tealhall/internal/message"
)

// successorCount is how many entries answer for the keys of one that stopped.
// With two, one of them may stop or fail meanwhile.
const successorCount = 2

// joinedMeanwhile is how many entries may have joined since a hand-over and rank
// before those that took it. They are asked as well.
const joinedMeanwhile = 2

// partBytes is about how much one part of a hand-over holds. Kept answers may be
// large, and a message that is too large for a link loses the whole hand-over.
const partBytes = 64 << 10

// recordBytes is about what a record takes beside its answer.
const recordBytes = 128

// SealKeys ends the making of new keys here. Requests with new keys are
// refused as not run; those that run go on, and their number is returned.
func (c *Core) SealKeys(now time.Duration) (running int) {
	c.keys.Seal(now)
	return c.keys.Running()
}

// Handover returns this entry's sealed table and what it adopted from others,
// in parts of at most size records.
func (c *Core) Handover(size int) []message.Handover {
	parts := handoverParts(c.cfg.Self.Incarnation, c.keys.OldestEpoch(), c.keys.Export(), size)
	for _, a := range c.keys.ExportAdopted() {
		rest := handoverParts(a.Home, a.OldestEpoch, a.Records, size)
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
		n := partLength(records, size)
		parts = append(parts, message.Handover{Home: home, Total: total, OldestEpoch: oldest, Records: records[:n]})
		records = records[n:]
		if len(records) == 0 {
			return parts
		}
	}
}

// partLength returns how many of the records one part takes: up to size, or up
// to partBytes, but at least one.
func partLength(records []idem.Record, size int) int {
	total := 0
	for i := range records[:min(size, len(records))] {
		total += recordBytes + answerBytes(records[i].Answer)
		if total > partBytes && i > 0 {
			return i
		}
	}
	return min(size, len(records))
}

func answerBytes(a *idem.Answer) int {
	if a == nil {
		return 0
	}
	total := len(a.Body)
	for _, pair := range a.Header {
		total += len(pair[0]) + len(pair[1])
	}
	return total
}

// Adopt takes over a part of the keys of an entry that stopped. It reports
// false when this entry leaves itself: it may have handed over already.
func (c *Core) Adopt(now time.Duration, part *message.Handover, out *Actions) bool {
	if c.state >= message.EntryLeaving {
		return false
	}
	c.keys.AdoptPart(now, part.Home, part.OldestEpoch, part.Total, part.Records)
	out.note(Note{
		Actor:   c.sourceName(part.Home),
		Subject: "idempotency keys",
		Action:  "adopted",
		To:      strconv.Itoa(len(part.Records)) + " of " + strconv.Itoa(part.Total) + " keys",
		Why:     "the entry that ran them stops",
	})
	return true
}

// SuccessorAddresses returns the peer addresses of the entries that may take
// over the keys of a home, best first. The first successorCount that accept are
// enough; they are asked for first later on.
func (c *Core) SuccessorAddresses(home uint64) []string {
	var out []string
	for _, incarnation := range c.successorsOf(home, successorCount+joinedMeanwhile, member.Entry.Usable) {
		address, ok := c.peerAddressOf(incarnation)
		if ok && address != "" && incarnation != c.cfg.Self.Incarnation {
			out = append(out, address)
		}
	}
	return out
}

// mayAdopt reports whether an entry may hold keys that were handed over to it. One
// that leaves answers for them until it has handed them on.
func mayAdopt(e member.Entry) bool {
	return !e.Suspected && (e.State == message.EntryServing || e.State == message.EntryLeaving)
}

// successorsOf returns the entries that answer for the keys of a home, by
// rendezvous hashing over those that fit, so that all entries agree without a
// word and few homes move when entries change.
func (c *Core) successorsOf(home uint64, n int, fits func(member.Entry) bool) []uint64 {
	type scored struct{ incarnation, score uint64 }
	key := assign.Key("successor", strconv.FormatUint(home, 16))
	var best []scored
	for i := range c.fleet.entries {
		e := &c.fleet.entries[i]
		if e.VM.Incarnation != home && fits(*e) {
			best = append(best, scored{e.VM.Incarnation, assign.Score(key, assignID(e.VM.Name))})
		}
	}
	slices.SortFunc(best, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var out []uint64
	for _, s := range best[:min(n, len(best))] {
		out = append(out, s.incarnation)
	}
	return out
}
