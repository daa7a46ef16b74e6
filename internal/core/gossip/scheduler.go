package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
)

// State is this entry's status as it sends it to peers.
type State struct {
	State      message.EntryState
	Epoch      uint32
	Profiles   message.Mark
	VMs        message.Mark
	Reader     bool
	NoEndpoint bool
	Rate       uint32
	// Version is the version of this entry's record.
	Version uint32
}

// revisionPair holds a revision of the profiles and a revision of the list of VMs.
type revisionPair struct {
	profiles, vms uint64
}

// behind reports whether t lacks revisions of s.
func (t revisionPair) behind(s State) bool {
	return t.profiles < s.Profiles.Revision || t.vms < s.VMs.Revision
}

// sentLoadReport is the last load report of an endpoint that was sent to a peer.
type sentLoadReport struct {
	incarnation   uint64
	inFlight, own uint16
	at            time.Duration
}

// peer is the state of one link.
type peer struct {
	incarnation     uint64
	slot            int
	region          string
	sameDomain      bool // in this entry's failure domain
	shares          bool
	suspected       bool
	kind            linkKind
	finger          bool
	distance        int // on the ring from this entry to the peer; 0 if not on the ring
	reverseDistance int // on the ring from the peer to this entry

	scheduled    bool // heartbeatAt is set
	heartbeatAt  time.Duration
	loadReportAt time.Duration
	urgentAt     time.Duration
	recordsAt    time.Duration

	ackedRevisions revisionPair // the revisions that the peer is known to have
	// pending counts the evidence that the peer is not known to have, urgent the part of it that is
	// to be sent at once. pendingSince is when pending last became nonzero.
	pending, urgent int
	pendingSince    time.Duration
	// lacksEvidence reports that the peer is known to lack pending evidence; mayLackEvidence that
	// its latest ack, received while evidence was pending and no more had arrived for relayWait,
	// showed a different digest.
	lacksEvidence, mayLackEvidence bool
	// lagging reports that the peer has not had the revisions in force since behindSince, as far as
	// known.
	lagging     bool
	behindSince time.Duration
	loadReports map[string]sentLoadReport
	// named holds the endpoints that the link has named, with their incarnations.
	named map[string]uint64

	inFlight         bool
	sentAt           time.Duration
	sequence         uint64
	sentRevisions    revisionPair      // becomes ackedRevisions when the message in flight is acked
	evidenceInFlight []*storedEvidence // marked as known when the message in flight is acked
	recordsInFlight  []*storedRecord   // the same for records
	// recordDigest is the latest record digest that the peer sent. recordDigestSince is since when
	// it has differed from this entry's, or 0 if it does not.
	recordDigest      uint64
	recordDigestSince time.Duration
	// emptyPull holds the record digests of the peer and of this entry at the last pull that
	// returned nothing new.
	emptyPull [2]uint64

	failures int
	retryAt  time.Duration

	// evidenceDiffers reports that the peer's evidence has differed since evidenceDiffersSince
	// although nothing is pending. repairs counts how often all evidence was sent again for that
	// reason.
	evidenceDiffers      bool
	evidenceDiffersSince time.Duration
	repairs              int
}

// Scheduler decides when to send a message to which peer.
type Scheduler struct {
	cfg   Config
	state State
	// revisionReach is a ring distance: fingers at a shorter distance get the revisions in force at
	// once.
	revisionReach int
	// revisionsChangedAt is when the revisions in force last changed.
	revisionsChangedAt time.Duration
	// known holds the other entries, peers those to which this entry keeps links.
	known             []Peer
	peers             map[uint64]*peer
	order             []uint64 // incarnations of peers in order
	slots             [MaxPeers]bool
	heartbeatPeers    int           // peers that get heartbeats
	heartbeatInterval time.Duration // HeartbeatPeriod for heartbeatPeers
	allow             allowance
	log               evidenceLog
	records           records
	pulls             pulls
	sequence          uint64
	expireAt          time.Duration
	stats             Stats
	// failed counts failures in a row of entries in other regions.
	failed map[uint64]int
	// senders holds the entries that sent to this one although the topology requires no link
	// between them, and when they last did.
	senders map[uint64]time.Duration
	relays  bool
	version uint64
	// topologyStale reports that peers changed since the topology was computed at topologyAt.
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

// SetState sets the status that this entry sends from now on.
func (s *Scheduler) SetState(state State) {
	if state.VMs.Revision > s.state.VMs.Revision || state.Profiles.Revision > s.state.Profiles.Revision {
		s.refreshTopology()
		s.revisionReach, s.revisionsChangedAt = s.reachOf(state), s.allow.at
	}
	s.state = state
}

// reachOf returns how far this entry passes on revisions that it has put in force: as far as the
// peers that already have them rely on it, or everywhere if no peer has them.
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

// relayReach returns the ring distance up to which a peer relies on this entry to pass on its
// messages: up to the peer's own next finger, or around the ring to the peer. It is 0 if this entry
// is not a finger of the peer.
func (p *peer) relayReach() int {
	if p.kind != linkMesh || p.reverseDistance == 0 || p.reverseDistance&(p.reverseDistance-1) != 0 {
		return 0
	}
	return min(p.reverseDistance, p.distance)
}

// SetPeers sets the known entries other than this one. Call it when the set or the state of an
// entry changes.
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

// scheduleNew spreads the first heartbeats to new peers over a period by a hash of the link. This
// guards against entries that start together and all send to the same peer first.
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

// addPeer adds a peer, or returns nil if there are already MaxPeers.
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

// period returns the time between heartbeats to a peer.
func (s *Scheduler) period(p *peer) time.Duration {
	if p.kind == linkRegion {
		return s.cfg.SummaryEvery
	}
	return s.heartbeatInterval
}

// nextHeartbeat returns when the next heartbeat to a peer is due: up to an eighth of a period
// early, by a hash of the link and the message, so that the heartbeats of different links spread
// out.
func (s *Scheduler) nextHeartbeat(now time.Duration, p *peer) time.Duration {
	period := s.period(p)
	share := float64(assign.Score(s.cfg.Self^s.sequence, p.incarnation)>>11) / (1 << 53)
	return now + period - time.Duration(share*float64(period)/8)
}

// urgency is why a message is due; a message with higher urgency is sent first.
type urgency uint8

const (
	notDue urgency = iota
	dueLoadReports
	// dueRedundant: the peer should have received from other entries what this entry has not sent
	// it.
	dueRedundant
	// dueRecords: records that the peer receives first from this entry. When hundreds of entries
	// start, sending their records one by one would use the whole budget for headers; an entry that
	// misses a record pulls it.
	dueRecords
	dueHeartbeat
	// dueRevisions: revisions that the peer receives first from this entry.
	dueRevisions
	// dueEvidence: evidence that the peer receives first from this entry.
	dueEvidence
	// dueOverdue: a heartbeat that is late by half a period precedes all other messages, so that a
	// flood of evidence never makes this entry look dead.
	dueOverdue
)

// floor returns the share of a full budget that a message leaves for more urgent ones.
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

// due returns why a message to a peer is due, or notDue.
func (s *Scheduler) due(now time.Duration, p *peer) urgency {
	if p.inFlight || now < p.retryAt || p.kind == linkInbound {
		return notDue
	}
	switch {
	case now-p.heartbeatAt >= s.period(p)/2:
		return dueOverdue
	case now >= p.urgentAt && (p.lacksEvidence || p.urgent > 0):
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

// revisionsDue reports whether a finger should receive the revisions in force first from this
// entry.
func (s *Scheduler) revisionsDue(p *peer) bool {
	if !p.ackedRevisions.behind(s.state) {
		return false
	}
	return p.kind == linkRegion || p.distance < s.revisionReach
}

// updateLagging reports whether the peer lacks revisions of s, and records since when.
func (p *peer) updateLagging(now time.Duration, s State) bool {
	was := p.lagging
	p.lagging = p.ackedRevisions.behind(s)
	if p.lagging && !was {
		p.behindSince = now
	}
	return p.lagging
}

// redundantDue reports whether a finger is to receive what it should have received from other
// entries. Its ack shows whether it already has the evidence, but only while nothing new arrives,
// so this entry waits for a quiet moment, up to a limit. Fingers in other failure domains show it
// in the ack of the next heartbeat, or get the evidence at the limit: asking each of them about
// each change would cause most of the traffic between domains. Profiles are worth that cost, since
// they change rarely and have to be in force soon.
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

// bytesNeeded returns the size of the message that is due to a peer, including its evidence. A
// message sent without the evidence would leave the peer due and spend the budget on headers.
func (s *Scheduler) bytesNeeded(p *peer, u urgency) int {
	size := heartbeatBytes
	if u == dueEvidence {
		pieces := p.urgent
		if p.lacksEvidence {
			pieces = p.pending
		}
		size += min(pieces, minPieces) * typicalEvidenceBytes
	}
	return size
}

// duePeer is a peer and the reason why a message to it is due.
type duePeer struct {
	peer    *peer
	urgency urgency
}

// Due appends the peers to which a message is due to out, the most urgent first; the caller then
// calls Compose for each. Among peers with the same urgency and due time the farthest on the ring
// comes first: most entries depend on it, and it differs from entry to entry. Messages without an
// ack after inFlightLimit count as lost.
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
			// Less important messages that would fit wait too; otherwise the budget never suffices
			// for this one.
			break
		}
		spent += need
		out = append(out, d.peer.incarnation)
	}
	return out
}

// dueSince returns since when a message of this urgency has been due to a peer.
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
