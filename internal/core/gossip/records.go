package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
)

// Fresh records are pushed along the tree: at most maxFresh of them, for freshTime. In a fleet that
// starts or is replaced as a whole, hundreds of records arrive at once, more than the few entries
// that receive all the hellos can send within their budget; entries that lack them pull them.
const (
	maxFresh   = 8
	freshTime  = time.Second
	maxRecords = 4096
	// recordGap is the shortest time between two messages with records to a peer. Other entries
	// must learn quickly that an entry has stopped reading the configuration service, so that they
	// can take over, and each step of the tree may wait for this gap.
	recordGap = 50 * time.Millisecond
	// recordsPerMessage bounds the records in one message.
	recordsPerMessage = maxFresh
)

// storedRecord is a record that this entry has.
type storedRecord struct {
	record message.Record
	hash   uint64
	// For a fresh record, known holds the peers that have it, and reach is as in storedEvidence.
	known     peerSet
	reach     int
	learnedAt time.Duration
}

// records holds the records that entries publish about themselves, including this entry's own.
type records struct {
	byName map[string]*storedRecord
	fresh  []*storedRecord // oldest first
	// ended holds the latest records of entries that are gone, so that a peer that still has such a
	// record cannot bring it back.
	ended map[string]message.Record
	// digest is the XOR of the hashes of all stored records.
	digest uint64
	// changedAt is when digest last changed.
	changedAt time.Duration
}

func newRecords() records {
	return records{byName: make(map[string]*storedRecord), ended: make(map[string]message.Record)}
}

// recordHash returns the hash of a record, which is the same at every entry.
func recordHash(r *message.Record) uint64 {
	state := uint64(r.Version) << 1
	if r.Silent {
		state |= 1
	}
	return assign.Score(assign.Score(xxhash.Sum64String(r.Name), r.Incarnation), state)
}

// Announce stores and spreads a new version of this entry's own record.
func (s *Scheduler) Announce(now time.Duration, r message.Record) {
	s.refreshTopology()
	s.storeRecord(now, &r, everywhere, nil)
}

// ReportSilent reports to the fleet that an entry watched by this one is silent, as of a version of
// its record.
func (s *Scheduler) ReportSilent(now time.Duration, name string, incarnation uint64, version uint32) {
	s.refreshTopology()
	stored := s.records.byName[name]
	if stored == nil || stored.record.Incarnation != incarnation || stored.record.Version > version {
		return
	}
	r := stored.record
	r.Silent = true
	s.storeRecord(now, &r, everywhere, nil)
}

// NoteHello stores the record of an entry that sent a hello on a link. That entry sends the record
// to its own neighbours, so it is not pushed from here, and peers that missed it pull it.
//
// If the entry was cut off for so long that its record was dropped, other entries refuse that
// version of the record. The earlier record is then stored as silent; once the entry sees that it
// was reported silent, it announces a later version.
func (s *Scheduler) NoteHello(now time.Duration, r message.Record) {
	s.refreshTopology()
	if last, ended := s.records.ended[r.Name]; ended && last.Incarnation == r.Incarnation && !r.Newer(&last) {
		delete(s.records.ended, r.Name)
		r = last
		r.Silent = true
	}
	s.storeRecord(now, &r, 0, nil)
}

// PullDone stores the records that a peer returned to a pull. answered is false if the peer did not
// answer.
func (s *Scheduler) PullDone(now time.Duration, from uint64, list []message.Record, answered bool) {
	s.refreshTopology()
	before := s.records.digest
	for i := range list {
		s.storeRecord(now, &list[i], 0, nil)
	}
	s.pulls.underWay, s.pulls.notBefore = false, now+pullGap
	if p := s.peers[from]; p != nil && answered && before == s.records.digest {
		p.emptyPull = [2]uint64{p.recordDigest, before}
	}
}

// storeRecord stores a record unless a newer one is stored. from is the peer that sent it, or nil.
func (s *Scheduler) storeRecord(now time.Duration, r *message.Record, reach int, from *peer) {
	rs := &s.records
	stored := rs.byName[r.Name]
	if stored == nil || r.Newer(&stored.record) {
		if s.hasEnded(r) || stored == nil && len(rs.byName) >= maxRecords {
			return
		}
		stored = rs.replace(now, r, reach)
	}
	if from != nil && !stored.record.Newer(r) {
		stored.known.add(from.slot)
	}
}

// hasEnded reports whether the incarnation that a record describes is known to have ended.
func (s *Scheduler) hasEnded(r *message.Record) bool {
	if last, ended := s.records.ended[r.Name]; ended && !r.Newer(&last) {
		return true
	}
	return s.log.index[evidenceKey{vm: r.Name, incarnation: r.Incarnation, gone: true}] != nil
}

// replace stores a record in place of the previous one of the same entry.
func (rs *records) replace(now time.Duration, r *message.Record, reach int) *storedRecord {
	rs.drop(r.Name)
	stored := &storedRecord{record: *r, hash: recordHash(r), reach: reach, learnedAt: now}
	rs.byName[r.Name] = stored
	rs.digest ^= stored.hash
	rs.changedAt = now
	if reach > 0 {
		rs.fresh = append(rs.fresh, stored)
		if len(rs.fresh) > maxFresh {
			rs.fresh = slices.Delete(rs.fresh, 0, 1)
		}
	}
	return stored
}

// drop removes the record of a VM.
func (rs *records) drop(name string) {
	stored := rs.byName[name]
	if stored == nil {
		return
	}
	delete(rs.byName, name)
	rs.digest ^= stored.hash
	if at := slices.Index(rs.fresh, stored); at >= 0 {
		rs.fresh = slices.Delete(rs.fresh, at, at+1)
	}
}

// Forget drops the record of an entry that is gone.
func (s *Scheduler) Forget(now time.Duration, name string, incarnation uint64) {
	rs := &s.records
	stored := rs.byName[name]
	if stored == nil || stored.record.Incarnation != incarnation {
		return
	}
	rs.drop(name)
	rs.changedAt = now
	if s.relays && !stored.record.Silent {
		return // no entry reported it as silent, so peers may send its record again
	}
	if len(rs.ended) >= maxRecords {
		clear(rs.ended)
	}
	rs.ended[name] = stored.record
}

// forgetSlot clears a slot that no longer belongs to a peer.
func (rs *records) forgetSlot(slot int) {
	for _, stored := range rs.fresh {
		stored.known.remove(slot)
	}
}

// expireFresh stops pushing records that were learned at least freshTime ago.
func (rs *records) expireFresh(now time.Duration) {
	keep := 0
	for keep < len(rs.fresh) && now-rs.fresh[keep].learnedAt >= freshTime {
		keep++
	}
	rs.fresh = slices.Delete(rs.fresh, 0, keep)
}

// lackedBy reports whether a finger should get a fresh record first from this entry and has not
// received it. An entry knows its own record, but not that it was reported silent.
func (stored *storedRecord) lackedBy(p *peer) bool {
	return !stored.known.has(p.slot) && (stored.record.Silent || p.incarnation != stored.record.Incarnation) && (p.kind == linkRegion || p.distance < stored.reach)
}

// due reports whether any fresh record is to be sent to a finger.
func (rs *records) due(p *peer) bool {
	return slices.ContainsFunc(rs.fresh, func(stored *storedRecord) bool { return stored.lackedBy(p) })
}

// dueTo returns the records to send to a finger, as many as fit into budget bytes, and records them
// as in flight.
func (rs *records) dueTo(p *peer, budget int) []message.Record {
	p.recordsInFlight = p.recordsInFlight[:0]
	if !p.finger {
		return nil
	}
	var out []message.Record
	for _, stored := range rs.fresh {
		if !stored.lackedBy(p) {
			continue
		}
		budget -= recordSize(&stored.record)
		if budget < 0 || len(out) == recordsPerMessage {
			break
		}
		out = append(out, stored.record)
		p.recordsInFlight = append(p.recordsInFlight, stored)
	}
	return out
}

// RecordsAgree reports whether the latest record digest of every peer that sent one equals this
// entry's.
func (s *Scheduler) RecordsAgree() bool {
	for _, p := range s.peers {
		if p.recordDigest != 0 && p.recordDigest != s.records.digest {
			return false
		}
	}
	return true
}

// Latest returns the stored record of the entry on a VM, or nil.
func (s *Scheduler) Latest(name string) *message.Record {
	if stored := s.records.byName[name]; stored != nil {
		return &stored.record
	}
	return nil
}

// RecordSet returns the count and the digest of the stored records, including this entry's own.
func (s *Scheduler) RecordSet() message.RecordSet {
	return message.RecordSet{Count: uint16(len(s.records.byName)), Digest: s.records.digest}
}

// Marks appends a mark of each stored record to out: the low 32 bits of the record's hash. A pull
// sends these marks to a peer, which returns its records with other marks.
func (s *Scheduler) Marks(out []uint32) []uint32 {
	for _, stored := range s.records.byName {
		out = append(out, uint32(stored.hash))
	}
	return out
}

// UnmarkedRecords returns the stored records whose marks are not in marks.
func (s *Scheduler) UnmarkedRecords(marks []uint32) []message.Record {
	has := make(map[uint32]bool, len(marks))
	for _, m := range marks {
		has[m] = true
	}
	var out []message.Record
	for _, stored := range s.records.byName {
		if !has[uint32(stored.hash)] {
			out = append(out, stored.record)
		}
	}
	return out
}

// Timing of pulls. Pushed records take less than relayWait to spread through a healthy fleet; a
// digest that differs for longer shows that a record was missed. A pull with 1,000 marks takes 5
// KB; two per second fit into what an entry may send. A peer that returned nothing new is asked
// again only when the records at either end have changed: until then it is the peer that lacks
// records.
const (
	pullAfter = relayWait
	pullGap   = 500 * time.Millisecond
)

// pulls decides when to pull the records that this entry lacks from a peer.
type pulls struct {
	target    uint64 // the peer to ask, 0 for none
	underWay  bool   // a pull is under way
	notBefore time.Duration
}

// compare processes the record digest of a peer.
func (pl *pulls) compare(now time.Duration, p *peer, digest uint64, rs *records) {
	p.recordDigest = digest
	if digest == rs.digest {
		p.recordDigestSince = 0
		return
	}
	if p.recordDigestSince == 0 {
		p.recordDigestSince = now
	}
	if now-p.recordDigestSince < pullAfter || pl.underWay || p.emptyPull == [2]uint64{digest, rs.digest} {
		return
	}
	if pl.target == 0 || p.sameDomain {
		pl.target = p.incarnation
	}
}

// NoteHelloAnswer processes the record set of an entry that answered a hello. If it has at least as
// many records and they differ, this entry pulls from it at once.
func (s *Scheduler) NoteHelloAnswer(id uint64, r message.RecordSet) {
	if r.Digest != s.records.digest && int(r.Count) >= len(s.records.byName) && !s.pulls.underWay {
		s.pulls.target, s.pulls.notBefore = id, 0
	}
}

// PullFrom returns the peer from which to pull now the records that this entry lacks. The caller
// ends each pull with PullDone.
func (s *Scheduler) PullFrom(now time.Duration) (uint64, bool) {
	pl := &s.pulls
	if pl.target == 0 || pl.underWay || now < pl.notBefore {
		return 0, false
	}
	id := pl.target
	pl.target, pl.underWay = 0, true
	return id, true
}
