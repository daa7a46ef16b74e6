package gossip

import (
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// Compose returns the message that is due to a peer, and whether one is due and fits into the
// budget. reports are the load reports that may be useful to the peer, the most useful first; only
// changed ones are sent. The caller sends the message at once and reports its result with Done.
//
// When the budget is tight, load reports are dropped first, then heartbeats are delayed, and with
// them the request rate they carry; evidence and revisions are delayed last.
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
	u := s.newUpdate()
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

// OwnStatus returns this entry's current status, for the hello of a link. It has no sequence
// number, so that it does not make an update under way look older.
func (s *Scheduler) OwnStatus() message.Update {
	return message.Update{
		From:           s.cfg.Self,
		State:          s.state.State,
		Epoch:          s.state.Epoch,
		Profiles:       s.state.Profiles,
		VMs:            s.state.VMs,
		Reader:         s.state.Reader,
		NoEndpoint:     s.state.NoEndpoint,
		Rate:           s.state.Rate,
		EvidenceDigest: s.log.digest,
		Version:        s.state.Version,
		RecordDigest:   s.records.digest,
	}
}

// newUpdate returns the next update with this entry's own status.
func (s *Scheduler) newUpdate() message.Update {
	s.sequence++
	u := s.OwnStatus()
	u.Sequence = s.sequence
	return u
}

// changedReports returns the load reports that differ from those last sent to the peer, as many as
// fit into room bytes, and records them as sent.
func (p *peer) changedReports(now time.Duration, reports []message.LoadReport, room int) []message.LoadReport {
	var out []message.LoadReport
	if len(p.loadReports) > maxTracked {
		clear(p.loadReports)
	}
	for _, r := range reports {
		last, known := p.loadReports[r.Endpoint]
		next := sentLoadReport{incarnation: r.Incarnation, inFlight: r.InFlight, own: r.Own, at: last.at}
		if known && next == last && now-last.at < loadReportRefresh {
			continue
		}
		if time.Duration(r.AgeMillis)*time.Millisecond > loadReportRefresh {
			continue
		}
		room -= loadReportBytes + p.namingBytes(&r)
		if room < 0 || len(out) == maxLoadReports {
			break
		}
		next.at = now
		p.loadReports[r.Endpoint] = next
		out = append(out, r)
	}
	return out
}

// send charges a message to the budget and records it as in flight.
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

// Done records whether the message with this sequence reached its peer, and the digests of the
// evidence and the records that the peer then had. The content of a lost message is sent again with
// the next message, after an increasing pause.
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
	clear(p.named) // a new link names its endpoints again
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
	for _, stored := range p.recordsInFlight {
		stored.known.add(p.slot)
	}
	p.recordsInFlight = p.recordsInFlight[:0]
	if p.kind == linkRegion {
		delete(s.failed, p.incarnation)
		s.topologyStale = s.topologyStale || recovered
	}
}

// compareEvidence processes the digest of the evidence that a peer has after a message. Most peers
// have all evidence and need nothing: when entries sent each other copies of evidence that both had
// from other entries, the copies used up their budgets, and later evidence was delayed for seconds.
// While evidence is arriving, two digests differ for that reason alone. A peer that is not a finger
// gets the evidence that it lacks only if two acks in a row show the difference, since the entries
// that have it as a finger should send it first.
func (s *Scheduler) compareEvidence(now time.Duration, p *peer, known uint64) {
	if known == s.log.digest {
		p.mayLackEvidence = false
		s.markAllKnown(p)
		return
	}
	if p.pending == 0 {
		s.noteDifference(now, p)
		return
	}
	quiet := now-s.log.changedAt >= relayWait
	if quiet && (p.finger || p.mayLackEvidence) {
		p.lacksEvidence = true
	}
	p.mayLackEvidence = quiet
}

// Received records what a peer's message shows about the peer's state, and stores its evidence for
// passing on. Evidence that the peer has is not sent back to it.
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

// senderOf returns the peer from which a message came. It schedules a link to a sender that has
// none, since the sender may have to be asked for what it announced.
func (s *Scheduler) senderOf(from uint64) *peer {
	_, known := s.senders[from]
	p := s.peers[from]
	if known || p == nil && len(s.senders) < maxSenders {
		s.senders[from] = s.allow.at
		s.topologyStale = s.topologyStale || !known
	}
	return p
}

// forgetSenders drops the links to senders that have sent nothing for senderTimeout.
func (s *Scheduler) forgetSenders(now time.Duration) {
	for id, at := range s.senders {
		if now-at > senderTimeout {
			delete(s.senders, id)
			s.topologyStale = true
		}
	}
}

// noteDifference schedules all evidence to be sent again to a peer whose evidence has differed for
// long although nothing is pending for it. This guards against a message that a link accepted and
// lost: without it the peer would send requests to a leaving endpoint for as long as the platform's
// list is stale. Where the sets differ permanently because one of them is full, the pauses grow.
// While evidence is arriving, sets differ for that reason alone.
func (s *Scheduler) noteDifference(now time.Duration, p *peer) {
	if p.kind == linkInbound || p.pending > 0 || p.inFlight || now-s.log.changedAt < relayWait {
		p.evidenceDiffers = false
		return
	}
	if !p.evidenceDiffers {
		p.evidenceDiffers, p.evidenceDiffersSince = true, now
		return
	}
	if now-p.evidenceDiffersSince < repairMin<<min(p.repairs, repairDoublings) {
		return
	}
	p.evidenceDiffers = false
	p.repairs++
	for _, c := range s.log.stored {
		c.known.remove(p.slot)
	}
	p.pending, p.pendingSince, p.lacksEvidence = len(s.log.stored), now, len(s.log.stored) > 0
	s.recountUrgent()
}
