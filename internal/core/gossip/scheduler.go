package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
)

// State is what this entry tells of itself.
type State struct {
	State    message.EntryState
	Epoch    uint32
	Profiles message.Mark
	VMs      message.Mark
	Reader   bool
	Rate     uint32
	// Version is that of this entry's record.
	Version uint32
}

// revisionPair is what a peer is known to have been told.
type revisionPair struct {
	profiles, vms uint64
}

// reverseDistance reports whether a peer that has t lacks revisions of s.
func (t revisionPair) behind(s State) bool {
	return t.profiles < s.Profiles.Revision || t.vms < s.VMs.Revision
}

// sentLoadReport is the last sighting of an endpoint that a peer was told.
type sentLoadReport struct {
	incarnation   uint64
	inFlight, own uint16
	at            time.Duration
}

// peer is what is known of one link.
type peer struct {
	incarnation     uint64
	slot            int
	region          string
	sameDomain      bool // in this entry's failure domain
	shares          bool
	suspected       bool
	kind            linkKind
	finger          bool
	distance        int // on the ring from this entry to the peer; 0 if not on it
	reverseDistance int // on the ring from the peer to this entry

	scheduled    bool // heartbeatAt is set
	heartbeatAt  time.Duration
	loadReportAt time.Duration
	urgentAt     time.Duration
	recordsAt    time.Duration

	ackedRevisions revisionPair
	// pending counts the claims that it is not known to have, urgent those of them that it is
	// to be told at once. pendingSince is when pending was 0 last.
	pending, urgent int
	pendingSince    time.Duration
	// lacks says that it is known not to have all that it is owed; doubted that its latest
	// ack said so.
	lacks, mayLack bool
	// lagging says that it has not been told of the revisions in force, behindSince since when.
	lagging     bool
	behindSince time.Duration
	loadReports map[string]sentLoadReport
	// named are the endpoints that the link has named, with their incarnations.
	named map[string]uint64

	inFlight         bool
	sentAt           time.Duration
	sequence         uint64
	sentRevisions    revisionPair      // becomes ackedRevisions when the message in flight is acked
	evidenceInFlight []*storedEvidence // becomes known when the message in flight is acked
	recordsInFlight  []*storedRecord   // the same of records
	// recordDigest is the digest of the records that it last said to hold, recordDigestSince since when that
	// has differed from this entry's; 0 if it does not.
	recordDigest      uint64
	recordDigestSince time.Duration
	// emptyPull are the digests of its records and of this entry's at the last pull that
	// brought nothing.
	emptyPull [2]uint64

	failures int
	retryAt  time.Duration

	// differs: its evidence has differed since then although nothing is owed;
	// repairs counts how often it was told everything again for that.
	differs      bool
	differsSince time.Duration
	repairs      int
}

// Scheduler decides when to tell which peer what.
type Scheduler struct {
	cfg   Config
	state State
	// revisionReach: the fingers at a shorter distance are told of the revisions in force at once.
	revisionReach int
	// revisionsChangedAt is when the revisions in force changed last.
	revisionsChangedAt time.Duration
	// known are the other entries, peers those of them with which links are held.
	known             []Peer
	peers             map[uint64]*peer
	order             []uint64 // incarnations of peers in order
	slots             [MaxPeers]bool
	heartbeatPeers    int           // peers that get heartbeats
	heartbeatInterval time.Duration // HeartbeatPeriod of so many
	allow             allowance
	log               evidenceLog
	records           records
	pulls             pulls
	sequence          uint64
	expireAt          time.Duration
	stats             Stats
	// failed counts the failures in a row of entries of other regions.
	failed map[uint64]int
	// senders are the entries that told this one something, and when they did last.
	senders map[uint64]time.Duration
	relays  bool
	version uint64
	// topologyStale says that peers changed since the topology was worked out at topologyAt.
	topologyStale bool
	topologyAt    time.Duration
}

// New returns a scheduler without peers.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	return &Scheduler{
		cfg:               cfg,
		peers:             make(map[uint64]*peer),
		allow:             newAllowance(cfg.BytesPerSecond, cfg.MessagesPerSecond),
		log:               newEvidenceLog(),
		heartbeatInterval: cfg.HeartbeatPeriod(0),

		records: newRecords(),
		failed:  make(map[uint64]int),
		senders: make(map[uint64]time.Duration),
	}
}

// SetState sets what this entry tells of itself from now on.
func (s *Scheduler) SetState(state State) {
	if state.VMs.Revision > s.state.VMs.Revision || state.Profiles.Revision > s.state.Profiles.Revision {
		s.refreshTopology()
		s.revisionReach, s.revisionsChangedAt = s.reachOf(state), s.allow.at
	}
	s.state = state
}

// reachOf is how far this entry passes on revisions that have come into force here: as far as
// those rely on it that told of them, or everywhere if nobody did.
func (s *Scheduler) reachOf(state State) int {
	reach := 0
	for _, id := range s.order {
		p := s.peers[id]
		if p.ackedRevisions.vms >= state.VMs.Revision && p.ackedRevisions.profiles >= state.Profiles.Revision {
			reach = max(reach, p.relayReach())
		}
	}
	if reach == 0 {
		return everywhere
	}
	return reach
}

// relayReach is how far a peer relies on this entry to pass on what it tells it: to the next
// of its own fingers, or around to itself. It is 0 if this entry is none of them.
func (p *peer) relayReach() int {
	if p.kind != linkMesh || p.reverseDistance == 0 || p.reverseDistance&(p.reverseDistance-1) != 0 {
		return 0
	}
	return min(p.reverseDistance, p.distance)
}

// SetPeers sets the other entries that are known, this one excluded. Call it
// when they or what is believed of them change.
func (s *Scheduler) SetPeers(now time.Duration, peers []Peer) {
	s.allow.refill(now)
	s.known = s.known[:0]
	for _, p := range peers {
		if p.Incarnation != s.cfg.Self {
			s.known = append(s.known, p)
		}
	}
	s.topologyStale = true
}

// scheduleNew spreads the first heartbeats to new peers over a period by hash
// of the link. Guards against entries that start together and all tell the
// same peer first.
func (s *Scheduler) scheduleNew(now time.Duration) {
	for _, id := range s.order {
		p := s.peers[id]
		if p.scheduled {
			continue
		}
		p.scheduled = true
		share := float64(assign.Score(s.cfg.Self, id)>>11) / (1 << 53)
		p.heartbeatAt = now + time.Duration(share*float64(s.period(p)))
	}
}

// addPeer adds a peer, or returns nil where links are held with MaxPeers.
func (s *Scheduler) addPeer(p Peer) *peer {
	slot := slices.Index(s.slots[:], false)
	if slot < 0 {
		return nil
	}
	s.slots[slot] = true
	added := &peer{
		incarnation: p.Incarnation, slot: slot, region: p.Region,
		shares: p.Shares, suspected: p.Suspected,
		pending: len(s.log.stored), pendingSince: s.allow.at,
		loadReports: make(map[string]sentLoadReport), named: make(map[string]uint64),
	}
	s.peers[p.Incarnation] = added
	at, _ := slices.BinarySearch(s.order, p.Incarnation)
	s.order = slices.Insert(s.order, at, p.Incarnation)
	return added
}

func (s *Scheduler) removePeer(id uint64) {
	p := s.peers[id]
	s.slots[p.slot] = false
	for _, c := range s.log.stored {
		c.known.remove(p.slot)
	}
	s.records.forgetSlot(p.slot)
	delete(s.peers, id)
	at, _ := slices.BinarySearch(s.order, id)
	s.order = slices.Delete(s.order, at, at+1)
}

// period is the time between heartbeats to a peer.
func (s *Scheduler) period(p *peer) time.Duration {
	if p.kind == linkRegion {
		return s.cfg.SummaryEvery
	}
	return s.heartbeatInterval
}

// nextHeartbeat spreads heartbeats: up to an eighth of a period early, by hash
// of the link and the message, so that links drift apart.
func (s *Scheduler) nextHeartbeat(now time.Duration, p *peer) time.Duration {
	period := s.period(p)
	share := float64(assign.Score(s.cfg.Self^s.sequence, p.incarnation)>>11) / (1 << 53)
	return now + period - time.Duration(share*float64(period)/8)
}

// urgency is why a message is due; a higher one goes first.
type urgency uint8

const (
	notDue urgency = iota
	dueLoadReports
	// dueRedundant: it should have heard from others what this entry has not told it.
	dueRedundant
	// dueRecords: records, which it hears from nobody else first. Where hundreds of entries
	// start, one by one they would take the whole bound in headers; whoever misses one pulls it.
	dueRecords
	dueHeartbeat
	// dueRevisions: revisions, which it hears from nobody else first.
	dueRevisions
	// dueEvidence: the same with evidence.
	dueEvidence
	// dueOverdue: a heartbeat that is late by half a period goes before
	// everything, so that a flood of news never looks like a dead entry.
	dueOverdue
)

// floor is the share of the bound that a message leaves for others.
func (u urgency) floor() float64 {
	switch u {
	case dueLoadReports:
		return loadReportFloor
	case dueRedundant, dueRecords:
		return redundantFloor
	case dueHeartbeat:
		return heartbeatFloor
	}
	return 0
}

// due says why a message to a peer is due, if it is.
func (s *Scheduler) due(now time.Duration, p *peer) urgency {
	if p.inFlight || now < p.retryAt || p.kind == linkInbound {
		return notDue
	}
	switch {
	case now-p.heartbeatAt >= s.period(p)/2:
		return dueOverdue
	case now >= p.urgentAt && (p.lacks || p.urgent > 0):
		return dueEvidence
	case now >= p.urgentAt && p.finger && s.revisionsDue(p):
		return dueRevisions
	case now >= p.heartbeatAt:
		return dueHeartbeat
	case now >= p.recordsAt && p.finger && s.records.due(p):
		return dueRecords
	case p.finger && s.redundantDue(now, p):
		return dueRedundant
	case p.shares && p.kind == linkMesh && now >= p.loadReportAt:
		return dueLoadReports
	}
	return notDue
}

// revisionsDue reports whether a finger hears first from this entry what came into force.
func (s *Scheduler) revisionsDue(p *peer) bool {
	if !p.ackedRevisions.behind(s.state) {
		return false
	}
	return p.kind == linkRegion || p.distance < s.revisionReach
}

// updateLagging reports whether the peer lacks news of s, and notes since when.
func (p *peer) updateLagging(now time.Duration, s State) bool {
	was := p.lagging
	p.lagging = p.ackedRevisions.behind(s)
	if p.lagging && !was {
		p.behindSince = now
	}
	return p.lagging
}

// redundantDue reports whether a finger is to be told what it should have heard from others. What
// it says to that tells whether it has, but only while nothing new comes in: so it waits for
// that, up to a limit. Fingers in other failure domains say so to the next heartbeat, or are told
// at the limits: a question to each of them for each piece of news would be most of the bytes
// between domains. Profiles are worth it, since they change rarely and have to be in force soon.
func (s *Scheduler) redundantDue(now time.Duration, p *peer) bool {
	if p.updateLagging(now, s.state) {
		asks := p.sameDomain || p.ackedRevisions.profiles < s.state.Profiles.Revision
		if asks && now-max(s.revisionsChangedAt, p.sentAt) >= relayWait || now-max(p.behindSince, p.sentAt) >= maxRevisionWait {
			return true
		}
	}
	if p.pending == 0 {
		return false
	}
	quiet := s.log.changedAt + relayWait
	return p.sameDomain && now >= quiet && p.sentAt < quiet || now-max(p.pendingSince, p.sentAt) >= maxEvidenceWait
}

// bytesNeeded is what the message that a peer is due to takes of the bound, its news included. A
// message without them would leave the peer due, and the bound spent on headers.
func (s *Scheduler) bytesNeeded(p *peer, u urgency) int {
	size := heartbeatBytes
	if u == dueEvidence {
		pieces := p.urgent
		if p.lacks {
			pieces = p.pending
		}
		size += min(pieces, minPieces) * typicalEvidenceBytes
	}
	return size
}

// duePeer is a peer with why it is due.
type duePeer struct {
	peer    *peer
	urgency urgency
}

// Due appends the peers to whom a message is due to out, the most urgent
// first; the caller then calls Compose for each. Of peers that wait alike, the
// farthest on the ring comes first: most entries depend on it, and it is another
// one for each entry. Messages without an ack for too long count as lost.
func (s *Scheduler) Due(now time.Duration, out []uint64) []uint64 {
	s.refreshTopology()
	s.allow.refill(now)
	s.records.expireFresh(now)
	if now >= s.expireAt {
		s.expire(now)
		s.forgetSenders(now)
		s.expireAt = now + time.Second
	}
	var scratch [MaxPeers]duePeer
	found := scratch[:0]
	for _, id := range s.order {
		p := s.peers[id]
		if p.inFlight && now-p.sentAt >= inFlightLimit {
			s.Done(now, id, p.sequence, message.Receipt{})
		}
		u := s.due(now, p)
		if u == notDue || u <= dueHeartbeat && !s.allow.covers(heartbeatBytes, u.floor()) {
			continue
		}
		found = append(found, duePeer{p, u})
	}
	slices.SortFunc(found, func(a, b duePeer) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.peer.dueSince(a.urgency), b.peer.dueSince(b.urgency)),
			cmp.Compare(b.peer.distance, a.peer.distance), cmp.Compare(a.peer.incarnation, b.peer.incarnation))
	})
	spent := 0
	for _, d := range found {
		need := s.bytesNeeded(d.peer, d.urgency)
		if !s.allow.covers(spent+need, d.urgency.floor()) {
			// What is worth less and would fit waits too, or the bound never covers this.
			break
		}
		spent += need
		out = append(out, d.peer.incarnation)
	}
	return out
}

// dueSince is since when a peer has waited for a message of this urgency.
func (p *peer) dueSince(u urgency) time.Duration {
	switch u {
	case dueLoadReports:
		return p.loadReportAt
	case dueRecords:
		return p.recordsAt
	case dueRevisions, dueEvidence:
		return p.urgentAt
	case dueRedundant:
		return p.sentAt
	}
	return p.heartbeatAt
}
