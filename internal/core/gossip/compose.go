package gossip

import (
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// Compose returns the message that is due to a peer, and whether there is one
// within the bounds. sightings are those that may be of use to the peer, the
// most useful first; only changes are sent. The caller sends the message at
// once and reports with Done how that ended.
//
// When the bounds are tight, sightings are dropped first, then heartbeats are
// late, and with them the rate; news comes last.
func (s *Scheduler) Compose(now time.Duration, to uint64, reports []message.LoadReport) (message.Update, bool) {
	s.refreshTopology()
	s.allow.refill(now)
	p := s.peers[to]
	if p == nil {
		return message.Update{}, false
	}
	why := s.due(now, p)
	if why == notDue || !s.allow.covers(s.bytesNeeded(p, why), why.floor()) {
		return message.Update{}, false
	}
	u := s.base()
	room := s.room(why.floor())
	u.Evidence = s.pendingEvidence(now, p, room)
	u.Records = s.records.dueTo(p, room-(Size(&u)-heartbeatBytes))
	if p.shares && p.kind == linkMesh {
		room = s.room(loadReportFloor) - Size(&u) + heartbeatBytes
		u.LoadReports = p.changedReports(now, reports, room)
		p.loadReportAt = now + s.cfg.LoadReportEvery
	}
	if why == dueLoadReports && len(u.LoadReports) == 0 {
		return message.Update{}, false
	}
	s.send(now, p, &u, why)
	return u, true
}

// room returns how many bytes a message may have beyond a heartbeat.
func (s *Scheduler) room(floor float64) int {
	return int(s.allow.room(floor)) - heartbeatBytes
}

// OwnStatus returns what this entry tells of itself, for the Hello of a link. It has no
// place in the sequence, so that no update that is under way counts as older.
func (s *Scheduler) OwnStatus() message.Update {
	return message.Update{
		From:           s.cfg.Self,
		State:          s.state.State,
		Epoch:          s.state.Epoch,
		Profiles:       s.state.Profiles,
		VMs:            s.state.VMs,
		Reader:         s.state.Reader,
		Rate:           s.state.Rate,
		EvidenceDigest: s.log.digest,
		Version:        s.state.Version,
		RecordDigest:   s.records.digest,
	}
}

// base returns the next update with what this entry tells of itself.
func (s *Scheduler) base() message.Update {
	s.sequence++
	u := s.OwnStatus()
	u.Sequence = s.sequence
	return u
}

// changedReports returns the sightings that differ from what the peer was last told,
// as many as fit into room bytes, and remembers them as told.
func (p *peer) changedReports(now time.Duration, reports []message.LoadReport, room int) []message.LoadReport {
	var out []message.LoadReport
	if len(p.loadReports) > maxTracked {
		clear(p.loadReports)
	}
	for _, g := range reports {
		last, known := p.loadReports[g.Endpoint]
		next := sentLoadReport{incarnation: g.Incarnation, inFlight: g.InFlight, own: g.Own, at: last.at}
		if known && next == last && now-last.at < loadReportRefresh {
			continue
		}
		if time.Duration(g.AgeMillis)*time.Millisecond > loadReportRefresh {
			continue
		}
		room -= loadReportBytes + p.namingBytes(&g)
		if room < 0 || len(out) == maxLoadReports {
			break
		}
		next.at = now
		p.loadReports[g.Endpoint] = next
		out = append(out, g)
	}
	return out
}

// send charges a message and notes it as under way.
func (s *Scheduler) send(now time.Duration, p *peer, u *message.Update, why urgency) {
	s.allow.take(Size(u) + p.firstUseBytes(u))
	p.noteNamed(u)
	p.inFlight, p.sentAt, p.sequence = true, now, u.Sequence
	p.sentRevisions = revisionPair{profiles: u.Profiles.Revision, vms: u.VMs.Revision}
	p.heartbeatAt = s.nextHeartbeat(now, p)
	if why >= dueRevisions {
		p.urgentAt = now + s.cfg.UrgentGap
	}
	if len(u.Records) > 0 {
		p.recordsAt = now + recordGap
	}
}

// Done reports whether the message with this sequence reached its peer, and the digest of
// the evidence that the peer then had. A lost one is told again: with the next message after
// a growing pause.
func (s *Scheduler) Done(now time.Duration, to, sequence uint64, r message.Receipt) {
	p := s.peers[to]
	if p == nil || !p.inFlight || p.sequence != sequence {
		return
	}
	p.inFlight = false
	if r.Acked {
		s.noteAck(p)
		s.compareEvidence(now, p, r.EvidenceDigest)
		s.pulls.compare(now, p, r.RecordDigest, &s.records)
		return
	}
	p.evidenceInFlight, p.recordsInFlight = p.evidenceInFlight[:0], p.recordsInFlight[:0]
	clear(p.loadReports)
	clear(p.named) // a link that opens anew names its endpoints anew
	p.failures++
	pause := min(retryMin<<min(p.failures-1, 8), retryMax)
	p.retryAt = now + pause
	if p.kind == linkRegion {
		s.failed[to] = p.failures
		s.topologyStale = s.topologyStale || p.failures == failuresToSkip
	}
}

func (s *Scheduler) noteAck(p *peer) {
	recovered := p.failures >= failuresToSkip
	p.failures = 0
	p.retryAt = 0
	p.ackedRevisions = revisionPair{
		profiles: max(p.ackedRevisions.profiles, p.sentRevisions.profiles),
		vms:      max(p.ackedRevisions.vms, p.sentRevisions.vms),
	}
	for _, c := range p.evidenceInFlight {
		if s.log.index[keyOf(c.evidence)] == c {
			s.markKnown(c, p)
		}
	}
	p.evidenceInFlight = p.evidenceInFlight[:0]
	for _, h := range p.recordsInFlight {
		h.known.add(p.slot)
	}
	p.recordsInFlight = p.recordsInFlight[:0]
	if p.kind == linkRegion {
		delete(s.failed, p.incarnation)
		s.topologyStale = s.topologyStale || recovered
	}
}

// compareEvidence takes in the digest of the evidence that a peer has after a message. Peers that
// have it all are most often told nothing: the copies that entries told each other of what
// both had from others used up their bounds, and later news waited for seconds. While news
// comes in, two digests differ for that alone. An entry that is no finger is told what it
// lacks only if two acks in a row say so, since those whose finger it is come first.
func (s *Scheduler) compareEvidence(now time.Duration, p *peer, known uint64) {
	if known == s.log.digest {
		p.mayLack = false
		s.markAllKnown(p)
		return
	}
	if p.pending == 0 {
		s.noteDifference(now, p)
		return
	}
	quiet := now-s.log.changedAt >= relayWait
	if quiet && (p.finger || p.mayLack) {
		p.lacks = true
	}
	p.mayLack = quiet
}

// Received notes what a peer's message says about what the peer knows, and
// takes in its evidence to pass on. Evidence that both have is not sent back.
func (s *Scheduler) Received(now time.Duration, u *message.Update) {
	s.refreshTopology()
	p := s.senderOf(u.From)
	reach := everywhere
	if p != nil && p.relayReach() > 0 {
		reach = p.relayReach()
	}
	for i := range u.Records {
		s.storeRecord(now, &u.Records[i], reach, p)
	}
	for _, e := range u.Evidence {
		s.stats.count(s.log.index[keyOf(e)] != nil, e.AgeMillis)
		if c := s.storeEvidence(now, e, reach); c != nil && p != nil {
			s.markKnown(c, p)
		}
	}
	if p == nil {
		return
	}
	s.pulls.compare(now, p, u.RecordDigest, &s.records)
	p.ackedRevisions.profiles = max(p.ackedRevisions.profiles, u.Profiles.Revision)
	p.ackedRevisions.vms = max(p.ackedRevisions.vms, u.VMs.Revision)
	if u.EvidenceDigest == s.log.digest {
		s.markAllKnown(p)
		return
	}
	s.noteDifference(now, p)
}

// senderOf returns the peer that told this entry something. One with which no link is held gets
// one: what it told of may have to be asked of it.
func (s *Scheduler) senderOf(from uint64) *peer {
	_, known := s.senders[from]
	p := s.peers[from]
	if known || p == nil && len(s.senders) < maxSenders {
		s.senders[from] = s.allow.at
		s.topologyStale = s.topologyStale || !known
	}
	return p
}

// forgetSenders drops the links with entries that have told this one nothing for a while.
func (s *Scheduler) forgetSenders(now time.Duration) {
	for id, at := range s.senders {
		if now-at > senderTimeout {
			delete(s.senders, id)
			s.topologyStale = true
		}
	}
}

// noteDifference tells a peer everything again whose evidence has differed for
// long although nothing is owed to it. Guards against a message that a link
// took and lost: without this the peer would send work to an endpoint that
// leaves for as long as the platform's list is stale. Where the sets differ for
// good, because one of them is full, the pauses grow. While news comes in, sets differ
// for that alone.
func (s *Scheduler) noteDifference(now time.Duration, p *peer) {
	if p.kind == linkInbound || p.pending > 0 || p.inFlight || now-s.log.changedAt < relayWait {
		p.differs = false
		return
	}
	if !p.differs {
		p.differs, p.differsSince = true, now
		return
	}
	if now-p.differsSince < repairMin<<min(p.repairs, repairDoublings) {
		return
	}
	p.differs = false
	p.repairs++
	for _, c := range s.log.stored {
		c.known.remove(p.slot)
	}
	p.pending, p.pendingSince, p.lacks = len(s.log.stored), now, len(s.log.stored) > 0
	s.recountUrgent()
}
