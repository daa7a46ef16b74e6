package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tealhall/tealhall/internal/core/duty"
	"github.com/tealhall/tealhall/internal/message"
)

// peerSet is a set of peers by slot.
type peerSet [MaxPeers / 64]uint64

func (s *peerSet) has(slot int) bool { return s[slot/64]&(1<<(slot%64)) != 0 }
func (s *peerSet) add(slot int)      { s[slot/64] |= 1 << (slot % 64) }
func (s *peerSet) remove(slot int)   { s[slot/64] &^= 1 << (slot % 64) }

// claimKey names a piece of evidence. Replaced and stopped are one: both say
// that the incarnation is gone.
type claimKey struct {
	vm          string
	incarnation uint64
	gone        bool
}

func keyOf(e message.Evidence) claimKey {
	return claimKey{e.VM, e.Incarnation, e.Kind != message.EvidenceLeaving}
}

// hash is the same at every entry.
func (k claimKey) hash() uint64 {
	seed := k.incarnation << 1
	if k.gone {
		seed |= 1
	}
	return duty.Score(xxhash.Sum64String(k.vm), seed)
}

// claim is evidence that is passed on.
type claim struct {
	evidence message.Evidence
	since    time.Duration
	// known holds the peers that have the evidence.
	known peerSet
}

// evidenceLog holds the evidence to pass on, oldest learned first.
type evidenceLog struct {
	claims []*claim
	index  map[claimKey]*claim
	// digest is the XOR of the hashes of all claims held.
	digest uint64
}

func newEvidenceLog() evidenceLog { return evidenceLog{index: make(map[claimKey]*claim)} }

// Spread takes in evidence to pass on.
func (s *Scheduler) Spread(now time.Duration, evidence []message.Evidence) {
	for _, e := range evidence {
		s.hold(now, e)
	}
}

// hold adds evidence to the log unless it is there or too old, and returns it.
func (s *Scheduler) hold(now time.Duration, e message.Evidence) *claim {
	key := keyOf(e)
	if c := s.log.index[key]; c != nil {
		return c
	}
	since := now - time.Duration(e.AgeMillis)*time.Millisecond
	if e.VM == "" || e.Incarnation == 0 || now-since >= s.cfg.KeepEvidence {
		return nil
	}
	if len(s.log.claims) >= maxClaims {
		s.discard(0)
	}
	c := &claim{evidence: e, since: since}
	s.log.claims = append(s.log.claims, c)
	s.log.index[key] = c
	s.log.digest ^= key.hash()
	for _, id := range s.order {
		s.peers[id].owed++
	}
	return c
}

// discard drops the claim at an index of the log.
func (s *Scheduler) discard(at int) {
	c := s.log.claims[at]
	key := keyOf(c.evidence)
	s.log.claims = append(s.log.claims[:at], s.log.claims[at+1:]...)
	delete(s.log.index, key)
	s.log.digest ^= key.hash()
	for _, id := range s.order {
		if p := s.peers[id]; !c.known.has(p.slot) {
			p.owed--
		}
	}
}

// expire drops evidence that has been passed on for long enough.
func (s *Scheduler) expire(now time.Duration) {
	for i := len(s.log.claims) - 1; i >= 0; i-- {
		if now-s.log.claims[i].since >= s.cfg.KeepEvidence {
			s.discard(i)
		}
	}
}

// markKnown notes that a peer has a claim.
func (s *Scheduler) markKnown(c *claim, p *peer) {
	if !c.known.has(p.slot) {
		c.known.add(p.slot)
		p.owed--
	}
}

// owedEvidence appends the evidence that a peer is not known to have, newest
// first, as many as fit into budget bytes, and remembers it as under way.
func (s *Scheduler) owedEvidence(now time.Duration, p *peer, budget int) []message.Evidence {
	p.underWay = p.underWay[:0]
	if p.owed == 0 {
		return nil
	}
	var out []message.Evidence
	for i := len(s.log.claims) - 1; i >= 0 && len(out) < maxEvidence; i-- {
		c := s.log.claims[i]
		if c.known.has(p.slot) {
			continue
		}
		budget -= evidenceBytes + len(c.evidence.VM)
		if budget < 0 {
			break
		}
		e := c.evidence
		e.AgeMillis = millis(now - c.since)
		out = append(out, e)
		p.underWay = append(p.underWay, c)
	}
	return out
}

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(^uint32(0))))
}
