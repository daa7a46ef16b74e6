package gossip

import "time"

// lateEvidence is the age from which on a piece of evidence counts as learned late: below it lies
// what a sound fleet of hundreds of entries takes.
const lateEvidence = time.Second

// Stats tell how news gets through.
type Stats struct {
	// Learned counts the evidence learned from peers, Copies what they told of it again, and
	// Late the pieces that were learned more than a second after they were first told.
	Learned, Duplicates, Late uint64
	// Stored is how much evidence this entry holds.
	Stored int
	// Pending is how much evidence this entry has yet to pass on to its fingers, and Room the
	// share of the bound on bytes that is saved up.
	Pending int
	Room    float64
}

// Stats returns what was counted so far.
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

// count notes evidence that a peer told, of this age in milliseconds.
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
