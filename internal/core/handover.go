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

// successorCount is how many entries answer for the keys of a stopped entry. With two, the keys
// survive if one of them stops or fails meanwhile.
const successorCount = 2

// extraSuccessors is how many entries are asked beyond successorCount, because entries that joined
// since a hand-over may rank before the entries that accepted it.
const extraSuccessors = 2

// handoverPartBytes is the approximate size of one part of a hand-over. Stored answers may be
// large, and if one message were too large for a link, the whole hand-over would be lost.
const handoverPartBytes = 64 << 10

// recordOverhead is the approximate size of a record without its answer.
const recordOverhead = 128

// SealKeys stops this entry from accepting new keys. Requests with new keys are refused as not run;
// requests that are running continue, and their number is returned.
func (c *Core) SealKeys(now time.Duration) (running int) {
	c.keys.Seal(now)
	return c.keys.Running()
}

// Handover returns this entry's sealed key table and the tables that it adopted, in parts of at
// most size records.
func (c *Core) Handover(size int) []message.Handover {
	parts := handoverParts(c.cfg.Self.Incarnation, c.keys.OldestEpoch(), c.keys.Export(), size)
	for _, a := range c.keys.ExportAdopted() {
		adopted := handoverParts(a.Home, a.OldestEpoch, a.Records, size)
		for i := range adopted {
			adopted[i].Total = a.Total
		}
		parts = append(parts, adopted...)
	}
	return parts
}

// handoverParts splits a key table. An empty table still makes one part, which proves that its
// home ran no request with a key.
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

// partLength returns how many of the records fit into one part: up to size, or up to
// handoverPartBytes, but at least one.
func partLength(records []idem.Record, size int) int {
	total := 0
	for i := range records[:min(size, len(records))] {
		total += recordOverhead + answerBytes(records[i].Answer)
		if total > handoverPartBytes && i > 0 {
			return i
		}
	}
	return min(size, len(records))
}

// answerBytes returns the size of a stored answer.
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

// Adopt takes over a part of the key table of a stopping entry. It returns false if this entry is
// leaving, since it may have handed over its keys already.
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

// SuccessorAddresses returns the peer addresses of the entries that may take over the keys of a
// home, in order of rank. The first successorCount entries that accept them are enough; later they
// are the first to be asked about these keys.
func (c *Core) SuccessorAddresses(home uint64) []string {
	var out []string
	for _, incarnation := range c.successorsOf(home, successorCount+extraSuccessors, member.Entry.Usable) {
		address, ok := c.peerAddressOf(incarnation)
		if ok && address != "" && incarnation != c.cfg.Self.Incarnation {
			out = append(out, address)
		}
	}
	return out
}

// mayHaveAdopted reports whether an entry may have keys that were handed over to it. A leaving
// entry answers for such keys until it has handed them on.
func mayHaveAdopted(e member.Entry) bool {
	return !e.Suspected && (e.State == message.EntryServing || e.State == message.EntryLeaving)
}

// successorsOf returns the entries that answer for the keys of a home, chosen by rendezvous hashing
// over the eligible entries. All entries compute the same result without communication, and few
// homes move when entries change.
func (c *Core) successorsOf(home uint64, n int, eligible func(member.Entry) bool) []uint64 {
	type scored struct{ incarnation, score uint64 }
	key := assign.Key("successor", strconv.FormatUint(home, 16))
	var ranked []scored
	for i := range c.fleet.entries {
		e := &c.fleet.entries[i]
		if e.VM.Incarnation != home && eligible(*e) {
			ranked = append(ranked, scored{e.VM.Incarnation, assign.Score(key, assignID(e.VM.Name))})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var out []uint64
	for _, s := range ranked[:min(n, len(ranked))] {
		out = append(out, s.incarnation)
	}
	return out
}
