package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
)

// Peer is another entry.
type Peer struct {
	Incarnation uint64
	Region      string
	// Domain is its failure domain.
	Domain string
	// Shares reports whether the entry serves a service that this entry serves too.
	Shares bool
	// Suspected entries get heartbeats, so that their answers can end the suspicion, but changes
	// are not passed on through them.
	Suspected bool
}

// linkKind is how this entry uses the link to a peer.
type linkKind uint8

const (
	// linkInbound: the peer sends to this entry, which sends it no updates but may pull from it.
	linkInbound linkKind = iota
	// linkMesh: a peer in the same region; carries heartbeats and load reports.
	linkMesh
	// linkRegion: a peer in another region; carries summaries.
	linkRegion
)

// maxMesh is the largest number of other entries in its region for which an entry sends heartbeats
// to all of them. In a larger fleet it sends to its fingers, so that the number of links, the
// heartbeat traffic and the time to detect silence grow with the logarithm of the fleet: within the
// budget, 14 peers get a heartbeat every 1.2 s, but 24 peers only every 2 s.
const maxMesh = 14

// linksPerRegion is how many entries of a region keep links to another region, and to how many
// entries there. With two and two, each end may lose one entry.
const linksPerRegion = 2

// remoteDistance is the ring distance of a peer in another region: greater than all others.
const remoteDistance = 1 << 30

// failuresToSkip is the number of failures in a row after which a peer in another region is
// replaced by the next candidate.
const failuresToSkip = 3

// ringPlace orders the entries of a region; all entries compute the same order. Entries of one
// failure domain are adjacent, because traffic between domains is expensive: half of the steps of
// the tree go to the next entry on the ring and a quarter to the one after it. When the order
// ignored domains, two thirds of the bytes that 126 entries in three domains sent each other left
// their domain.
type ringPlace struct{ domain, entry uint64 }

func placeOf(p Peer) ringPlace {
	return ringPlace{assign.Score(assign.Key("ring", p.Domain), 0), assign.Score(assign.Key("ring", ""), p.Incarnation)}
}

func (a ringPlace) compare(b ringPlace) int {
	return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.entry, b.entry))
}

// ringMember is an entry with its place on the ring.
type ringMember struct {
	id    uint64
	place ringPlace
}

// ringFrom returns members, which includes self, in ring order beginning with self. The fingers of
// self are at positions 1, 2, 4, … If each entry passes changes on to its fingers, a change reaches
// all n entries after at most ceil(log2 n) steps. Several paths lead to each entry, so a lost
// message costs additional steps but does not lose the change.
func ringFrom(self uint64, members []ringMember) []uint64 {
	slices.SortFunc(members, func(a, b ringMember) int { return a.place.compare(b.place) })
	own := slices.IndexFunc(members, func(m ringMember) bool { return m.id == self })
	ring := make([]uint64, 0, len(members))
	for i := range members {
		ring = append(ring, members[(own+i)%len(members)].id)
	}
	return ring
}

// topRanked returns the incarnations of up to n peers with the highest scores for key.
func topRanked(incarnations []uint64, key uint64, n int) []uint64 {
	ranked := slices.Clone(incarnations)
	slices.SortFunc(ranked, func(a, b uint64) int {
		return cmp.Compare(assign.Score(key, b), assign.Score(key, a))
	})
	return ranked[:min(n, len(ranked))]
}

// linkKey returns the hash key of the links between two regions, the same for both directions.
func linkKey(a, b string) uint64 {
	return assign.Key("link", min(a, b)+"\x00"+max(a, b))
}

// topologyInterval is the shortest time between two changes of a larger fleet's links. It is far
// below the seconds of silence after which an entry is suspected.
const topologyInterval = 100 * time.Millisecond

// refreshTopology recomputes the links after peers changed, once for any number of changes.
//
// In a fleet that starts or is replaced as a whole, the neighbours change with each entry that
// joins, and a link to each temporary neighbour would cost more than it carries. A larger fleet
// therefore refreshes at most once per topologyInterval.
func (s *Scheduler) refreshTopology() {
	if s.topologyStale && (!s.relays || s.allow.at >= s.topologyAt+topologyInterval) {
		s.topologyAt = s.allow.at
		s.topologyStale = false
		s.setTopology()
	}
}

// setTopology decides to which entries this entry keeps links and how it uses each of them.
func (s *Scheduler) setTopology() {
	s.version++
	self := ringMember{s.cfg.Self, placeOf(Peer{Incarnation: s.cfg.Self, Domain: s.cfg.Domain})}
	local, live := []ringMember{self}, []ringMember{self}
	remote := make(map[string][]uint64)
	var regions []string
	for _, p := range s.known {
		switch {
		case p.Region == s.cfg.Region:
			m := ringMember{p.Incarnation, placeOf(p)}
			local = append(local, m)
			if !p.Suspected {
				live = append(live, m)
			}
		default:
			if remote[p.Region] == nil {
				regions = append(regions, p.Region)
			}
			remote[p.Region] = append(remote[p.Region], p.Incarnation)
		}
	}
	ring := ringFrom(s.cfg.Self, live)
	kinds := s.localLinks(local, ring)
	for _, region := range regions {
		for _, id := range s.regionLinks(region, ring, remote[region]) {
			kinds[id] = linkRegion
		}
	}
	s.addSenders(kinds)
	s.setLinks(kinds)
	s.setRingPlaces(ring)
	s.recountUrgent()
}

// localLinks returns the entries of this region to which this entry keeps links: all of them in a
// fleet of up to maxMesh other entries. In a larger fleet these are the fingers on the ring of
// unsuspected entries, the entries that have this one as a finger, the entries that share a
// service, and the fingers on the ring that includes suspected entries: through these, two parts of
// a fleet that had lost contact find each other again.
func (s *Scheduler) localLinks(local []ringMember, ring []uint64) map[uint64]linkKind {
	kinds := make(map[uint64]linkKind, len(local))
	s.relays = len(local)-1 > maxMesh
	if !s.relays {
		for _, m := range local {
			kinds[m.id] = linkMesh
		}
		delete(kinds, s.cfg.Self)
		return kinds
	}
	n := len(ring)
	for distance := 1; distance < n; distance *= 2 {
		if back := ring[n-distance]; kinds[back] != linkMesh {
			kinds[back] = linkInbound
		}
		kinds[ring[distance]] = linkMesh
	}
	all := ringFrom(s.cfg.Self, local)
	for distance := 1; distance < len(all); distance *= 2 {
		kinds[all[distance]] = linkMesh
	}
	for _, p := range s.known {
		if p.Shares && p.Region == s.cfg.Region {
			kinds[p.Incarnation] = linkMesh
		}
	}
	return kinds
}

// senderTimeout is how long this entry keeps a link to an entry that sends to it although the
// topology requires no link between them. The link lets this entry pull what the sender announced.
// maxSenders bounds the number of such links: while a fleet starts, views differ so much that there
// would be links to nearly all entries.
const (
	senderTimeout = 5 * time.Second
	maxSenders    = 8
)

// addSenders adds the entries that send to this one although the topology requires no link between
// them, because their view of the fleet differs.
func (s *Scheduler) addSenders(kinds map[uint64]linkKind) {
	for id := range s.senders {
		if _, linked := kinds[id]; linked {
			delete(s.senders, id)
		} else {
			kinds[id] = linkInbound
		}
	}
}

// setLinks adds and removes peers to match kinds.
func (s *Scheduler) setLinks(kinds map[uint64]linkKind) {
	for _, id := range slices.Clone(s.order) {
		if _, wanted := kinds[id]; !wanted {
			s.removePeer(id)
		}
	}
	s.heartbeatPeers = 0
	for _, known := range s.known {
		kind, wanted := kinds[known.Incarnation]
		if !wanted {
			continue
		}
		p := s.peers[known.Incarnation]
		if p == nil {
			p = s.addPeer(known)
		}
		if p == nil {
			continue
		}
		p.region, p.shares, p.suspected, p.kind = known.Region, known.Shares, known.Suspected, kind
		p.sameDomain = known.Domain == s.cfg.Domain
		if kind == linkMesh {
			s.heartbeatPeers++
		}
	}
	s.heartbeatInterval = s.cfg.HeartbeatPeriod(s.heartbeatPeers)
	s.scheduleNew(s.allow.at)
}

// setRingPlaces records the ring distances of the peers and which of them are fingers.
func (s *Scheduler) setRingPlaces(ring []uint64) {
	for _, id := range s.order {
		p := s.peers[id]
		p.finger, p.distance, p.reverseDistance = false, 0, 0
		if p.kind == linkRegion {
			p.finger, p.distance = true, remoteDistance
		}
	}
	for at, id := range ring[1:] {
		p := s.peers[id]
		if p == nil {
			continue
		}
		p.distance = at + 1
		p.reverseDistance = len(ring) - p.distance
		p.finger = p.kind == linkMesh && p.distance&(p.distance-1) == 0
	}
}

// Relays reports whether this entry learns about some entries of the region only through other
// entries, because it does not keep links to all of them.
func (s *Scheduler) Relays() bool { return s.relays }

// Version grows with each change of the links.
func (s *Scheduler) Version() uint64 { return s.version }

// Links appends the entries to which this entry keeps links to out.
func (s *Scheduler) Links(out []uint64) []uint64 { return append(out, s.order...) }

// Watches reports whether this entry sends heartbeats to an entry, so that it notices the entry's
// silence.
func (s *Scheduler) Watches(incarnation uint64) bool {
	p := s.peers[incarnation]
	return p != nil && p.kind == linkMesh
}

// HeartbeatInterval returns the time between heartbeats to each watched entry.
func (s *Scheduler) HeartbeatInterval() time.Duration { return s.heartbeatInterval }

// reachable returns the first entries of ranked that have failed fewer than failuresToSkip times in
// a row, up to linksPerRegion.
func (s *Scheduler) reachable(ranked []uint64) []uint64 {
	var chosen []uint64
	for _, id := range ranked {
		if len(chosen) < linksPerRegion && s.failed[id] < failuresToSkip {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// regionLinks picks the entries of another region to which this entry keeps links, if this entry is
// one that links to that region. An entry that keeps failing is replaced by the next one, and the
// first-ranked entries are still retried, so that links return to them.
func (s *Scheduler) regionLinks(region string, live, remote []uint64) []uint64 {
	key := linkKey(s.cfg.Region, region)
	if !slices.Contains(topRanked(live, key, linksPerRegion), s.cfg.Self) {
		return nil
	}
	ranked := topRanked(remote, key, len(remote))
	chosen := s.reachable(ranked)
	if len(chosen) < linksPerRegion {
		// All candidates have failed: the regions have lost contact, or only the candidates tried
		// last are gone. Start again from the first.
		for _, id := range ranked {
			delete(s.failed, id)
		}
		chosen = s.reachable(ranked)
	}
	for _, id := range ranked[:min(linksPerRegion, len(ranked))] {
		if !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	return chosen
}
