package gossip

import "time"

// lateEvidence is the age from which newly learned evidence counts as late. In a healthy fleet of
// hundreds of entries evidence arrives sooner.
const lateEvidence = time.Second

// Stats describes how evidence spreads.
type Stats struct {
	// Learned counts the evidence learned from peers, Duplicates the evidence that peers sent
	// again, and Late the evidence that was learned at least a second after it was first reported.
	Learned, Duplicates, Late uint64
	// Stored is the number of pieces of evidence that this entry has.
	Stored int
	// Pending is the number of pieces that this entry has yet to pass on to its fingers, summed
	// over the fingers, and Room the share of the byte budget that is saved up.
	Pending int
	Room    float64
}

// Stats returns the counts so far.
func (s *Scheduler) Stats() Stats {
	stats := s.stats
	stats.Stored = len(s.log.stored)
	stats.Room = max(0, s.allow.room(0)) / (burstSeconds * s.allow.bytesRate)
	for _, id := range s.order {
		if p := s.peers[id]; p.finger {
			stats.Pending += p.pending
		}
	}
	return stats
}

// count records evidence received from a peer with the given age in milliseconds.
func (s *Stats) count(known bool, ageMillis uint32) {
	switch {
	case known:
		s.Duplicates++
		return
	case time.Duration(ageMillis)*time.Millisecond >= lateEvidence:
		s.Late++
	}
	s.Learned++
}
