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
	// Shares: it serves a service that this entry serves too.
	Shares bool
	// Suspected entries get heartbeats, so that they are heard again, but news
	// is not passed through them.
	Suspected bool
}

// linkKind is how this entry talks to a peer.
type linkKind uint8

const (
	// linkInbound: it tells this entry, which tells it nothing, but asks it for what it holds.
	linkInbound linkKind = iota
	// linkMesh: same region, heartbeats and sightings.
	linkMesh
	// linkRegion: another region, summaries.
	linkRegion
)

// maxMesh is up to how many other entries of its region an entry talks to all of them. In a
// larger fleet it talks to its fingers, so that links, heartbeats and the time until silence
// shows grow with the logarithm of the fleet: 14 peers are told every 1.2 s within the bound, 24
// only every 2 s.
const maxMesh = 14

// linksPerRegion is how many entries of a region talk to another region, and
// to how many entries there. With two and two, each end may lose one.
const linksPerRegion = 2

// remoteDistance is the ring distance of a peer in another region: beyond all others.
const remoteDistance = 1 << 30

// failuresToSkip: a peer in another region that failed so often gives its
// place to the next one.
const failuresToSkip = 3

// ringPlace orders the entries of a region; all entries compute the same. Entries of a failure
// domain lie together, since bytes between domains are dear: half of the steps of the tree go to
// the next entry on the ring, a quarter to the one after it. In any order, two thirds of what 126
// entries in three domains told each other left its domain.
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

// ringFrom returns members, which includes self, in ring order beginning with
// self. The fingers of self are those at 1, 2, 4, … If each entry passes news
// on to its fingers, it reaches all n after at most ceil(log2 n) steps; several
// ways lead to each entry, so one that is lost costs steps, not the news.
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

// linkKey is the same for both directions between two regions.
func linkKey(a, b string) uint64 {
	return assign.Key("link", min(a, b)+"\x00"+max(a, b))
}

// topologyInterval is the shortest time between two changes of a larger fleet's links: far below the
// seconds after which silence counts.
const topologyInterval = 100 * time.Millisecond

// refreshTopology brings the topology up to date, once for any number of changes of peers.
//
// In a fleet that starts or is replaced as a whole the neighbours change with each that comes,
// and a link with each of them would cost more than it carries: a larger fleet settles once in
// topologyInterval.
func (s *Scheduler) refreshTopology() {
	if s.topologyStale && (!s.relays || s.allow.at >= s.topologyAt+topologyInterval) {
		s.topologyAt = s.allow.at
		s.topologyStale = false
		s.setTopology()
	}
}

// setTopology decides with whom links are held and how each is used.
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

// localLinks returns the entries of this region to hold links with. Beside the fingers of the
// ring these are those whose finger this entry is, and the fingers of the ring with the
// suspected entries in it: two parts of a fleet that had lost each other meet by them.
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

// senderTimeout is for how long a link is held with an entry that told this one something although
// it need not, and maxSenders with how many of them: what it told of is asked of it. In a fleet
// that starts, views differ so much that there would be one with nearly everybody.
const (
	senderTimeout = 5 * time.Second
	maxSenders    = 8
)

// addSenders adds the entries that tell this one something although they need not: their view
// of the fleet differs.
func (s *Scheduler) addSenders(kinds map[uint64]linkKind) {
	for id := range s.senders {
		if _, linked := kinds[id]; linked {
			delete(s.senders, id)
		} else {
			kinds[id] = linkInbound
		}
	}
}

// setLinks adds and removes peers so that they are those of kinds.
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

// setRingPlaces notes where on the ring the peers are, and which of them are fingers.
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

// Relays reports whether some entries of the region are told of by others only, since this one
// does not talk to all of them.
func (s *Scheduler) Relays() bool { return s.relays }

// Version grows with each change of the links that are held.
func (s *Scheduler) Version() uint64 { return s.version }

// Links appends the entries with which links are held to out.
func (s *Scheduler) Links(out []uint64) []uint64 { return append(out, s.order...) }

// Watches reports whether an entry is one to which this entry sends heartbeats, so that its
// silence shows here.
func (s *Scheduler) Watches(incarnation uint64) bool {
	p := s.peers[incarnation]
	return p != nil && p.kind == linkMesh
}

// HeartbeatInterval is how often each entry that is watched is told something.
func (s *Scheduler) HeartbeatInterval() time.Duration { return s.heartbeatInterval }

// reachable returns the first entries that have not failed too often.
func (s *Scheduler) reachable(ranked []uint64) []uint64 {
	var chosen []uint64
	for _, id := range ranked {
		if len(chosen) < linksPerRegion && s.failed[id] < failuresToSkip {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// regionLinks picks the entries of another region to talk to, if it is on this
// entry to do so. One that keeps failing gives its place to the next one,
// and the first ones are tried on, so that links return to them.
func (s *Scheduler) regionLinks(region string, live, remote []uint64) []uint64 {
	key := linkKey(s.cfg.Region, region)
	if !slices.Contains(topRanked(live, key, linksPerRegion), s.cfg.Self) {
		return nil
	}
	ranked := topRanked(remote, key, len(remote))
	chosen := s.reachable(ranked)
	if len(chosen) < linksPerRegion {
		// All were tried in vain: the regions have lost each other, or only
		// those that were tried last are gone. Begin again.
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
