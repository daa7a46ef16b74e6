package gossip

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
)

// peerSet is a set of peers by slot.
type peerSet [MaxPeers / 64]uint64

func (s *peerSet) has(slot int) bool { return s[slot/64]&(1<<(slot%64)) != 0 }
func (s *peerSet) add(slot int)      { s[slot/64] |= 1 << (slot % 64) }
func (s *peerSet) remove(slot int)   { s[slot/64] &^= 1 << (slot % 64) }

// evidenceKey identifies a piece of evidence. Replaced and stopped share a key: both say that the
// incarnation is gone.
type evidenceKey struct {
	vm          string
	incarnation uint64
	gone        bool
	// The remaining fields are set only for evidence about a request or a limit.
	content, caller uint64
	completed       bool
	clears          uint32
	// limit marks evidence about an endpoint's limit, of which only the latest version is stored.
	limit bool
}

func keyOf(e message.Evidence) evidenceKey {
	if e.Kind.OfRequest() {
		return evidenceKey{vm: e.VM, incarnation: e.Incarnation, content: e.Content, caller: e.Caller,
			completed: e.Kind == message.EvidenceCompleted, clears: e.Clears}
	}
	if e.Kind == message.EvidenceLimit {
		return evidenceKey{vm: e.VM, incarnation: e.Incarnation, limit: true}
	}
	return evidenceKey{vm: e.VM, incarnation: e.Incarnation, gone: e.Kind != message.EvidenceLeaving}
}

// hashOf returns the hash of a piece of evidence, which is the same at every entry.
func hashOf(e message.Evidence) uint64 {
	hash := keyOf(e).hash()
	if e.Kind == message.EvidenceLimit {
		hash = assign.Score(assign.Score(hash, math.Float64bits(e.Rate)), uint64(e.Version)<<32|uint64(e.Period))
	}
	return hash
}

func (k evidenceKey) hash() uint64 {
	seed := k.incarnation << 1
	if k.gone {
		seed |= 1
	}
	score := assign.Score(xxhash.Sum64String(k.vm), seed)
	if k.content == 0 {
		return score
	}
	if k.completed {
		score ^= uint64(k.clears) + 1
	}
	return assign.Score(assign.Score(score, k.content), k.caller)
}

// storedEvidence is evidence that this entry passes on.
type storedEvidence struct {
	evidence message.Evidence
	hash     uint64
	since    time.Duration
	// known holds the peers that have the evidence.
	known peerSet
	// reach is a ring distance: fingers at a shorter distance get the evidence at once.
	reach     int
	learnedAt time.Duration
}

// evidenceLog holds the evidence to pass on, in the order in which it was learned, oldest first.
type evidenceLog struct {
	stored []*storedEvidence
	index  map[evidenceKey]*storedEvidence
	// digest is the XOR of the hashes of all stored evidence.
	digest uint64
	// changedAt is when the latest stored evidence was learned.
	changedAt time.Duration
}

func newEvidenceLog() evidenceLog { return evidenceLog{index: make(map[evidenceKey]*storedEvidence)} }

// everywhere is the reach of changes that no other entry passes on.
const everywhere = math.MaxInt

// Spread stores evidence and passes it on.
func (s *Scheduler) Spread(now time.Duration, evidence []message.Evidence) {
	s.refreshTopology()
	for _, e := range evidence {
		s.storeEvidence(now, e, everywhere)
	}
}

// LearnedFromList stores evidence that came with a list of VMs from a peer. The list itself is
// passed on and contains the evidence, so peers are only asked whether they have it.
func (s *Scheduler) LearnedFromList(now time.Duration, evidence []message.Evidence) {
	s.refreshTopology()
	for _, e := range evidence {
		s.storeEvidence(now, e, 0)
	}
}

// storeEvidence adds evidence to the log unless the log has it or it is too old. It returns the
// stored evidence, or nil.
func (s *Scheduler) storeEvidence(now time.Duration, e message.Evidence, reach int) *storedEvidence {
	key := keyOf(e)
	if c := s.log.index[key]; c != nil {
		switch {
		case !key.limit || e.Limit == c.evidence.Limit:
			s.extendReach(c, reach)
			return c
		case !e.Newer(c.evidence.Limit):
			return nil
		}
		s.discard(slices.Index(s.log.stored, c))
	}
	since := now - time.Duration(e.AgeMillis)*time.Millisecond
	if e.VM == "" || e.Incarnation == 0 || now-since >= s.cfg.KeepEvidence {
		return nil
	}
	if len(s.log.stored) >= maxStoredEvidence {
		s.discard(0)
	}
	c := &storedEvidence{evidence: e, hash: hashOf(e), since: since, reach: reach, learnedAt: now}
	s.log.stored = append(s.log.stored, c)
	s.log.index[key] = c
	s.log.digest ^= c.hash
	s.log.changedAt = now
	if key.gone {
		s.Forget(now, e.VM, e.Incarnation)
	}
	for _, id := range s.order {
		p := s.peers[id]
		if p.pending == 0 {
			p.pendingSince = now
		}
		p.pending++
		if c.urgentFor(p) {
			p.urgent++
		}
	}
	return c
}

// urgentFor reports whether a peer that lacks the evidence gets it at once, before its digest shows
// whether it has the evidence from another entry.
func (c *storedEvidence) urgentFor(p *peer) bool {
	return p.kind == linkRegion || p.finger && p.distance < c.reach
}

// extendReach has this entry pass on evidence that it had from a list, because a peer relies on
// this entry to pass it on. Evidence that has a reach already is being passed on.
func (s *Scheduler) extendReach(c *storedEvidence, reach int) {
	if c.reach > 0 || reach == everywhere {
		return
	}
	s.adjustUrgent(c, -1)
	c.reach = reach
	s.adjustUrgent(c, 1)
}

// adjustUrgent adds by to the urgent count of each peer that lacks the evidence and should get it
// at once.
func (s *Scheduler) adjustUrgent(c *storedEvidence, by int) {
	for _, id := range s.order {
		if p := s.peers[id]; !c.known.has(p.slot) && c.urgentFor(p) {
			p.urgent += by
		}
	}
}

// recountUrgent recomputes the urgent count of each peer after ring positions changed.
func (s *Scheduler) recountUrgent() {
	for _, id := range s.order {
		p := s.peers[id]
		p.urgent = 0
		if !p.finger || p.pending == 0 {
			continue
		}
		for _, c := range s.log.stored {
			if !c.known.has(p.slot) && c.urgentFor(p) {
				p.urgent++
			}
		}
	}
}

// discard drops the evidence at an index of the log.
func (s *Scheduler) discard(at int) {
	c := s.log.stored[at]
	s.log.stored = append(s.log.stored[:at], s.log.stored[at+1:]...)
	delete(s.log.index, keyOf(c.evidence))
	s.log.digest ^= c.hash
	for _, id := range s.order {
		if p := s.peers[id]; !c.known.has(p.slot) {
			s.countDelivered(c, p)
		}
	}
}

// expire drops evidence older than KeepEvidence.
func (s *Scheduler) expire(now time.Duration) {
	for i := len(s.log.stored) - 1; i >= 0; i-- {
		if now-s.log.stored[i].since >= s.cfg.KeepEvidence {
			s.discard(i)
		}
	}
}

// Digest returns the digest of all stored evidence.
func (s *Scheduler) Digest() uint64 { return s.log.digest }

// markKnown records that a peer has a piece of evidence.
func (s *Scheduler) markKnown(c *storedEvidence, p *peer) {
	if !c.known.has(p.slot) {
		c.known.add(p.slot)
		s.countDelivered(c, p)
	}
}

// countDelivered reduces the counts of evidence that a peer lacks by one piece.
func (s *Scheduler) countDelivered(c *storedEvidence, p *peer) {
	p.pending--
	if c.urgentFor(p) {
		p.urgent--
	}
	if p.pending == 0 {
		p.lacksEvidence = false
	}
}

// markAllKnown records that a peer has the same evidence as this entry.
func (s *Scheduler) markAllKnown(p *peer) {
	p.evidenceDiffers, p.repairs, p.lacksEvidence = false, 0, false
	if p.pending == 0 {
		return
	}
	for _, c := range s.log.stored {
		s.markKnown(c, p)
	}
}

// pendingEvidence returns the evidence to send to a peer now, newest first, as many pieces as fit
// into budget bytes, and records it as in flight.
func (s *Scheduler) pendingEvidence(now time.Duration, p *peer, budget int) []message.Evidence {
	p.evidenceInFlight = p.evidenceInFlight[:0]
	if p.pending == 0 {
		return nil
	}
	var out []message.Evidence
	for i := len(s.log.stored) - 1; i >= 0 && len(out) < maxEvidence; i-- {
		c := s.log.stored[i]
		if c.known.has(p.slot) || !s.shouldSend(now, p, c) {
			continue
		}
		budget -= evidenceSize(&c.evidence)
		if budget < 0 {
			break
		}
		e := c.evidence
		e.AgeMillis = millis(now - c.since)
		out = append(out, e)
		p.evidenceInFlight = append(p.evidenceInFlight, c)
	}
	return out
}

// shouldSend reports whether a message to a peer includes a pending piece of evidence. It does if
// the peer relies on this entry to receive it first, or is known to lack some evidence. A finger in
// the same failure domain also gets evidence that it may have from other entries if sending it
// costs no more than a message that only compares digests. Any finger gets evidence that has been
// pending for maxEvidenceWait while so much arrives that digests cannot be compared.
func (s *Scheduler) shouldSend(now time.Duration, p *peer, c *storedEvidence) bool {
	switch {
	case p.lacksEvidence || c.urgentFor(p):
		return true
	case !p.finger:
		return false
	case now-s.log.changedAt >= relayWait:
		return p.sameDomain && p.pending*typicalEvidenceBytes <= heartbeatBytes
	}
	return now-c.learnedAt >= maxEvidenceWait
}

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(^uint32(0))))
}
