package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
)

// Records of entries are pushed along the tree while they are fresh: at most maxFresh of
// them, for freshTime. In a fleet that starts or is replaced as a whole hundreds come at once,
// more than the few entries that everybody greets could tell within their bound; those are
// pulled by whoever lacks them.
const (
	maxFresh   = 8
	freshTime  = time.Second
	maxRecords = 4096
	// recordGap is the shortest time between two messages with records to a peer. That an
	// entry reads the platform no more has to be known before others take over, and each
	// step of the tree may have to wait for it.
	recordGap = 50 * time.Millisecond
	// recordsPerMessage bounds what one message carries.
	recordsPerMessage = maxFresh
)

// storedRecord is a record that this entry holds.
type storedRecord struct {
	record message.Record
	hash   uint64
	// For a fresh one: known holds the peers that have it, reach is as in claim.
	known     peerSet
	reach     int
	learnedAt time.Duration
}

// records are what the entries of the fleet tell of themselves, this one's own included.
type records struct {
	byName map[string]*storedRecord
	fresh  []*storedRecord // oldest first
	// ended are the latest records of entries that are gone, so that no peer that still holds
	// one brings it back.
	ended map[string]message.Record
	// digest is the XOR of the hashes of all records held.
	digest uint64
	// changedAt is when it changed last.
	changedAt time.Duration
}

func newRecords() records {
	return records{byName: make(map[string]*storedRecord), ended: make(map[string]message.Record)}
}

// recordHash is the same at every entry.
func recordHash(r *message.Record) uint64 {
	state := uint64(r.Version) << 1
	if r.Silent {
		state |= 1
	}
	return assign.Score(assign.Score(xxhash.Sum64String(r.Name), r.Incarnation), state)
}

// Announce takes in a new version of this entry's own record.
func (s *Scheduler) Announce(now time.Duration, r message.Record) {
	s.refreshTopology()
	s.storeRecord(now, &r, everywhere, nil)
}

// ReportSilent tells the fleet that an entry which this one watches is silent, as of a version of its
// record.
func (s *Scheduler) ReportSilent(now time.Duration, name string, incarnation uint64, version uint32) {
	s.refreshTopology()
	h := s.records.byName[name]
	if h == nil || h.record.Incarnation != incarnation || h.record.Version > version {
		return
	}
	r := h.record
	r.Silent = true
	s.storeRecord(now, &r, everywhere, nil)
}

// NoteHello takes in the record of an entry that introduced itself on a link. It tells its own
// neighbours, so nobody is told here, and whoever missed it pulls it.
//
// One that was forgotten, for it was cut off for long, lives. Others would refuse what it told
// before; as soon as it sees that it was taken for silent, it tells a later version.
func (s *Scheduler) NoteHello(now time.Duration, r message.Record) {
	s.refreshTopology()
	if last, ended := s.records.ended[r.Name]; ended && last.Incarnation == r.Incarnation && !r.Newer(&last) {
		delete(s.records.ended, r.Name)
		r = last
		r.Silent = true
	}
	s.storeRecord(now, &r, 0, nil)
}

// Pulled takes in what a peer gave that was asked for the records that this entry lacks, if it
// answered.
func (s *Scheduler) Pulled(now time.Duration, from uint64, list []message.Record, answered bool) {
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

// storeRecord takes in a record, from a peer if one told it, unless a newer one is held.
func (s *Scheduler) storeRecord(now time.Duration, r *message.Record, reach int, from *peer) {
	x := &s.records
	known := x.byName[r.Name]
	if known == nil || r.Newer(&known.record) {
		if s.hasEnded(r) || known == nil && len(x.byName) >= maxRecords {
			return
		}
		known = x.replace(now, r, reach)
	}
	if from != nil && !known.record.Newer(r) {
		known.known.add(from.slot)
	}
}

// hasEnded reports whether it is known that what a record tells of has ended.
func (s *Scheduler) hasEnded(r *message.Record) bool {
	if last, ended := s.records.ended[r.Name]; ended && !r.Newer(&last) {
		return true
	}
	return s.log.index[evidenceKey{vm: r.Name, incarnation: r.Incarnation, gone: true}] != nil
}

// replace puts a record in the place of the one before.
func (x *records) replace(now time.Duration, r *message.Record, reach int) *storedRecord {
	x.drop(r.Name)
	h := &storedRecord{record: *r, hash: recordHash(r), reach: reach, learnedAt: now}
	x.byName[r.Name] = h
	x.digest ^= h.hash
	x.changedAt = now
	if reach > 0 {
		x.fresh = append(x.fresh, h)
		if len(x.fresh) > maxFresh {
			x.fresh = slices.Delete(x.fresh, 0, 1)
		}
	}
	return h
}

// drop removes the record of a VM.
func (x *records) drop(name string) {
	h := x.byName[name]
	if h == nil {
		return
	}
	delete(x.byName, name)
	x.digest ^= h.hash
	if at := slices.Index(x.fresh, h); at >= 0 {
		x.fresh = slices.Delete(x.fresh, at, at+1)
	}
}

// Forget drops the record of an entry that is gone.
func (s *Scheduler) Forget(now time.Duration, name string, incarnation uint64) {
	x := &s.records
	h := x.byName[name]
	if h == nil || h.record.Incarnation != incarnation {
		return
	}
	x.drop(name)
	x.changedAt = now
	if s.relays && !h.record.Silent {
		return // nobody else takes it for silent: it may be told again
	}
	if len(x.ended) >= maxRecords {
		clear(x.ended)
	}
	x.ended[name] = h.record
}

// forgetSlot notes that a slot stands for no peer any more.
func (x *records) forgetSlot(slot int) {
	for _, h := range x.fresh {
		h.known.remove(slot)
	}
}

// expireFresh ends the pushing of records that were learned a while ago.
func (x *records) expireFresh(now time.Duration) {
	keep := 0
	for keep < len(x.fresh) && now-x.fresh[keep].learnedAt >= freshTime {
		keep++
	}
	x.fresh = slices.Delete(x.fresh, 0, keep)
}

// lackedBy reports whether a finger hears of a fresh record first from this entry, and has not. An
// entry knows what it tells of itself, but not that it is taken for silent.
func (h *storedRecord) lackedBy(p *peer) bool {
	return !h.known.has(p.slot) && (h.record.Silent || p.incarnation != h.record.Incarnation) && (p.kind == linkRegion || p.distance < h.reach)
}

// due reports whether a finger is to be told records.
func (x *records) due(p *peer) bool {
	return slices.ContainsFunc(x.fresh, func(h *storedRecord) bool { return h.lackedBy(p) })
}

// dueTo returns the records that a finger is to be told, as many as fit into budget bytes, and
// remembers them as under way.
func (x *records) dueTo(p *peer, budget int) []message.Record {
	p.recordsInFlight = p.recordsInFlight[:0]
	if !p.finger {
		return nil
	}
	var out []message.Record
	for _, h := range x.fresh {
		if !h.lackedBy(p) {
			continue
		}
		budget -= recordSize(&h.record)
		if budget < 0 || len(out) == recordsPerMessage {
			break
		}
		out = append(out, h.record)
		p.recordsInFlight = append(p.recordsInFlight, h)
	}
	return out
}

// RecordsAgree reports whether all peers that said which records they hold said last to hold the same
// as this entry.
func (s *Scheduler) RecordsAgree() bool {
	for _, p := range s.peers {
		if p.recordDigest != 0 && p.recordDigest != s.records.digest {
			return false
		}
	}
	return true
}

// Latest returns the record of a VM's entry that is held, or nil.
func (s *Scheduler) Latest(name string) *message.Record {
	if h := s.records.byName[name]; h != nil {
		return &h.record
	}
	return nil
}

// RecordSet says which records are held, this entry's own included.
func (s *Scheduler) RecordSet() message.RecordSet {
	return message.RecordSet{Count: uint16(len(s.records.byName)), Digest: s.records.digest}
}

// Marks appends a mark of each record held to out: what a peer is told that is asked for the
// others.
func (s *Scheduler) Marks(out []uint32) []uint32 {
	for _, h := range s.records.byName {
		out = append(out, uint32(h.hash))
	}
	return out
}

// Unmarked returns the records held that are not among those marked.
func (s *Scheduler) Unmarked(marks []uint32) []message.Record {
	has := make(map[uint32]bool, len(marks))
	for _, m := range marks {
		has[m] = true
	}
	var out []message.Record
	for _, h := range s.records.byName {
		if !has[uint32(h.hash)] {
			out = append(out, h.record)
		}
	}
	return out
}

// Times of pulls. Records that are pushed take less than relayWait to get through a sound
// fleet; a digest that differs for longer shows that something was missed. A pull of 1,000 marks
// takes 5 KB; twice a second is within what a node may spend. A peer that had nothing to give is
// asked again when either end holds others: until then it is the peer that lacks records.
const (
	pullAfter = relayWait
	pullGap   = 500 * time.Millisecond
)

// pulls decides when to ask a peer for the records that this entry lacks.
type pulls struct {
	target    uint64 // the peer to ask, 0 for none
	underWay  bool   // a pull is under way
	notBefore time.Duration
}

// compare takes in the digest of the records that a peer holds.
func (l *pulls) compare(now time.Duration, p *peer, digest uint64, x *records) {
	p.recordDigest = digest
	if digest == x.digest {
		p.recordDigestSince = 0
		return
	}
	if p.recordDigestSince == 0 {
		p.recordDigestSince = now
	}
	if now-p.recordDigestSince < pullAfter || l.underWay || p.emptyPull == [2]uint64{digest, x.digest} {
		return
	}
	if l.target == 0 || p.sameDomain {
		l.target = p.incarnation
	}
}

// NoteHelloAnswer takes in which records an entry holds that answered a greeting: one that holds more is
// asked for them at once.
func (s *Scheduler) NoteHelloAnswer(id uint64, r message.RecordSet) {
	if r.Digest != s.records.digest && int(r.Count) >= len(s.records.byName) && !s.pulls.underWay {
		s.pulls.target, s.pulls.notBefore = id, 0
	}
}

// PullFrom returns the peer to ask now for the records that this entry lacks. The caller ends
// each pull with Pulled.
func (s *Scheduler) PullFrom(now time.Duration) (uint64, bool) {
	l := &s.pulls
	if l.target == 0 || l.underWay || now < l.notBefore {
		return 0, false
	}
	id := l.target
	l.target, l.underWay = 0, true
	return id, true
}
