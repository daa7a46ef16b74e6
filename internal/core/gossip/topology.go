package gossip

import (
	"cmp"
	"slices"

	"github.com/tealhall/tealhall/internal/core/duty"
)

// Peer is another entry.
type Peer struct {
	Incarnation uint64
	Region      string
	// Shares: it serves a service that this entry serves too.
	Shares bool
	// Suspected entries get heartbeats, so that they are heard again, but news
	// is not passed through them.
	Suspected bool
}

// linkKind is how this entry talks to a peer.
type linkKind uint8

const (
	linkNone linkKind = iota
	// linkMesh: same region, heartbeats and sightings.
	linkMesh
	// linkRegion: another region, summaries.
	linkRegion
)

// linksPerRegion is how many entries of a region talk to another region, and
// to how many entries there. With two and two, each end may lose one.
const linksPerRegion = 2

// farAway is the ring distance of a peer in another region: beyond all others.
const farAway = 1 << 30

// failuresToSkip: a peer in another region that failed so often gives its
// place to the next one.
const failuresToSkip = 3

// ringPlace orders the entries of a region; all entries compute the same.
func ringPlace(incarnation uint64) uint64 {
	return duty.Score(duty.Key("ring", ""), incarnation)
}

// ringFrom returns members, which includes self, in ring order beginning with
// self. The fingers of self are those at 1, 2, 4, … If each entry passes news
// on to its fingers, it reaches all n after at most ceil(log2 n) steps; several
// ways lead to each entry, so one that is lost costs steps, not the news.
func ringFrom(self uint64, members []uint64) []uint64 {
	places := make(map[uint64]uint64, len(members))
	for _, id := range members {
		places[id] = ringPlace(id)
	}
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b uint64) int { return cmp.Compare(places[a], places[b]) })
	own := slices.Index(ring, self)
	return append(ring[own:], ring[:own]...)
}

// topRanked returns the incarnations of up to n peers with the highest scores for key.
func topRanked(incarnations []uint64, key uint64, n int) []uint64 {
	ranked := slices.Clone(incarnations)
	slices.SortFunc(ranked, func(a, b uint64) int {
		return cmp.Compare(duty.Score(key, b), duty.Score(key, a))
	})
	return ranked[:min(n, len(ranked))]
}

// linkKey is the same for both directions between two regions.
func linkKey(a, b string) uint64 {
	return duty.Key("link", min(a, b)+"\x00"+max(a, b))
}

// place brings the topology up to date, once for any number of changes of peers.
func (s *Scheduler) place() {
	if s.moved {
		s.moved = false
		s.setTopology()
	}
}

// setTopology decides the kind of each link and which peers are fingers.
func (s *Scheduler) setTopology() {
	local := []uint64{s.cfg.Self}
	remote := make(map[string][]uint64)
	var regions []string
	for _, id := range s.order {
		p := s.peers[id]
		p.kind, p.finger, p.distance, p.behind = linkNone, false, 0, 0
		switch {
		case p.region == s.cfg.Region:
			p.kind = linkMesh
			if !p.suspected {
				local = append(local, id)
			}
		default:
			if remote[p.region] == nil {
				regions = append(regions, p.region)
			}
			remote[p.region] = append(remote[p.region], id)
		}
	}
	ring := ringFrom(s.cfg.Self, local)
	for at, id := range ring[1:] {
		p := s.peers[id]
		p.distance = at + 1
		p.behind = len(ring) - p.distance
		p.finger = p.distance&(p.distance-1) == 0
	}
	for _, region := range regions {
		s.linkRegion(region, local, remote[region])
	}
	s.recountAll()
}

// answering returns the first peers that have not failed too often.
func (s *Scheduler) answering(ranked []uint64) []uint64 {
	var chosen []uint64
	for _, id := range ranked {
		if len(chosen) < linksPerRegion && s.peers[id].failures < failuresToSkip {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// linkRegion picks the peers of another region to talk to, if it is on this
// entry to do so. A peer that keeps failing gives its place to the next one,
// and the first ones are tried on, so that links return to them.
func (s *Scheduler) linkRegion(region string, local, remote []uint64) {
	key := linkKey(s.cfg.Region, region)
	if !slices.Contains(topRanked(local, key, linksPerRegion), s.cfg.Self) {
		return
	}
	ranked := topRanked(remote, key, len(remote))
	chosen := s.answering(ranked)
	if len(chosen) < linksPerRegion {
		// All were tried in vain: the regions have lost each other, or only
		// those that were tried last are gone. Begin again.
		for _, id := range ranked {
			s.peers[id].failures = 0
		}
		chosen = s.answering(ranked)
	}
	for _, id := range ranked[:min(linksPerRegion, len(ranked))] {
		if !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	for _, id := range chosen {
		s.peers[id].kind = linkRegion
		s.peers[id].finger = true
		s.peers[id].distance = farAway
	}
}
