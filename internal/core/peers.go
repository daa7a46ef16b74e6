package core

import (
	"math"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/gossip"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// ratePeriod is how often the call rate is sampled.
const ratePeriod = time.Second

// assignServices assigns the services to the entries. It updates each pool's policy, and tells the
// gossip scheduler which peers serve the same pools.
func (c *Core) assignServices(now time.Duration) {
	c.fleet.assignedVersion, c.fleet.assignedAt = c.fleet.entriesVersion, now
	clear(c.fleet.poolPeers)
	clear(c.fleet.serviceEntryCounts)
	for _, p := range c.poolRows {
		deciders := c.decidersOf(p)
		p.serving = deciders[c.cfg.Self.Incarnation]
		c.setDeciders(now, p, deciders)
		if !p.serving || p.usesLoadProbes() {
			continue // no load reports on this pool: its endpoints get a load probe before each choice
		}
		for incarnation := range deciders {
			c.fleet.poolPeers[incarnation] = true
		}
	}
	c.fleet.gossip.SetPeers(now, c.gossipPeers())
}

// notifyNewRows notifies the policies of pools that have new rows.
func (c *Core) notifyNewRows(now time.Duration) {
	for _, p := range c.poolRows {
		if p.newRows {
			p.newRows = false
			p.picker.Changed(now, &p.Pool, p.deciderNames)
		}
	}
}

// decidersOf returns the pool's deciders: the entries to which callers of its services are sent,
// and which therefore choose among its endpoints. The services of a pool with thousands of routes
// soon have all entries among them.
func (c *Core) decidersOf(p *pool) map[uint64]bool {
	chosen := make(map[uint64]bool)
	for _, sv := range p.services {
		sv.entries = c.countServiceEntries(sv)
		if len(chosen) == len(c.fleet.assignMembers) {
			continue
		}
		for _, incarnation := range c.serviceEntries(sv) {
			chosen[incarnation] = true
		}
	}
	return chosen
}

// countServiceEntries returns the number of entries to which callers of a service are sent.
func (c *Core) countServiceEntries(sv *service) int {
	perDomain := sv.policy.EntriesPerDomain
	count, known := c.fleet.serviceEntryCounts[perDomain]
	if !known {
		count = assign.CountServiceEntries(c.fleet.assignMembers, perDomain)
		c.fleet.serviceEntryCounts[perDomain] = count
	}
	return count
}

// serviceEntries returns the entries to which callers of a service are sent. They are chosen anew only
// when entries have changed, so that a configuration with thousands of known services is in force soon.
func (c *Core) serviceEntries(sv *service) []uint64 {
	perDomain := sv.policy.EntriesPerDomain
	if sv.chosen == nil || sv.chosenVersion != c.fleet.entriesVersion || sv.chosenPerDomain != perDomain {
		sv.chosen = c.incarnationsOf(assign.ServiceEntries(sv.name, c.fleet.assignMembers, perDomain))
		sv.chosenVersion, sv.chosenPerDomain = c.fleet.entriesVersion, perDomain
	}
	return sv.chosen
}

// setDeciders stores the pool's deciders in the order of the entries' names.
func (c *Core) setDeciders(now time.Duration, p *pool, chosen map[uint64]bool) {
	p.deciders, p.deciderNames, p.newRows = p.deciders[:0], p.deciderNames[:0], false
	for i := range c.fleet.entries {
		if e := &c.fleet.entries[i]; chosen[e.VM.Incarnation] {
			p.deciders = append(p.deciders, e.VM.Incarnation)
			p.deciderNames = append(p.deciderNames, e.VM.Name)
		}
	}
	p.picker.Changed(now, &p.Pool, p.deciderNames)
}

func (c *Core) gossipPeers() []gossip.Peer {
	peers := c.fleet.gossipPeers[:0]
	for i := range c.fleet.entries {
		e := &c.fleet.entries[i]
		if e.VM.Incarnation == c.cfg.Self.Incarnation {
			continue
		}
		peers = append(peers, gossip.Peer{
			Incarnation: e.VM.Incarnation,
			Region:      e.VM.Region,
			Domain:      e.VM.Domain,
			Shares:      c.fleet.poolPeers[e.VM.Incarnation],
			Suspected:   e.Suspected,
		})
	}
	c.fleet.gossipPeers = peers
	return peers
}

// composeUpdates composes the messages to peers that are due.
func (c *Core) composeUpdates(now time.Duration, out *Actions) {
	f := &c.fleet
	c.sampleRate(now)
	c.spreadEvidence(now)
	c.announce(now)
	f.gossip.SetState(c.ownState())
	f.due = f.gossip.Due(now, f.due[:0])
	c.watchLinks(now)
	if len(f.due) == 0 {
		return
	}
	c.collectLoadReports(now)
	for _, to := range f.due {
		c.composeUpdate(now, to, out)
	}
}

// spreadEvidence spreads the evidence that this entry has learned since the last call.
func (c *Core) spreadEvidence(now time.Duration) {
	f := &c.fleet
	f.newEvidence = f.members.TakeEvidence(f.newEvidence[:0])
	f.gossip.Spread(now, f.newEvidence)
}

// ownState returns this entry's current state for the gossip scheduler.
func (c *Core) ownState() gossip.State {
	return gossip.State{
		State:      c.state,
		Epoch:      c.keys.Epoch(),
		Profiles:   c.fleet.profiles.Available(),
		VMs:        c.InForce(published.VMsValue),
		Reader:     c.reachesPlatform(),
		NoEndpoint: c.fleet.noEndpoint,
		Rate:       c.fleet.rate,
		Version:    c.fleet.ownRecord.Version,
	}
}

// OwnEvidenceDigest returns the digest of all evidence that this entry has stored.
func (c *Core) OwnEvidenceDigest() uint64 { return c.fleet.gossip.Digest() }

// OwnStatus returns this entry's current state, as its hello reports it to a peer.
func (c *Core) OwnStatus() message.Update {
	c.fleet.gossip.SetState(c.ownState())
	return c.fleet.gossip.OwnStatus()
}

func (c *Core) composeUpdate(now time.Duration, to uint64, out *Actions) {
	f := &c.fleet
	u, ok := f.gossip.Compose(now, to, f.loadReports)
	if !ok {
		return
	}
	address, known := c.peerAddressOf(to)
	if !known || address == "" {
		f.gossip.Done(now, to, u.Sequence, message.Receipt{})
		return
	}
	out.Updates = append(out.Updates, Outgoing{To: to, Address: address, Update: u})
}

// UpdateDone records how an update to a peer ended.
func (c *Core) UpdateDone(now time.Duration, to, sequence uint64, r message.Receipt) {
	c.fleet.gossip.Done(now, to, sequence, r)
	if r.Acked {
		c.fleet.heardAt = now
		c.fleet.acked = append(c.fleet.acked, to)
	} else {
		c.fleet.members.Unreachable(to)
	}
}

// sampleRate measures this entry's calls per second.
func (c *Core) sampleRate(now time.Duration) {
	f := &c.fleet
	if now < f.rateAt+ratePeriod {
		return
	}
	calls := c.counters.Arrived - f.rateArrived
	f.rate = uint32(math.Round(float64(calls) / (now - f.rateAt).Seconds()))
	f.rateAt, f.rateArrived = now, c.counters.Arrived
	f.ownShare = c.requestShare()
}

// maxOwnShare bounds an entry's share of the fleet's requests, as a multiple of an equal share in
// the largest fleet seen. In a partition each side knows only its own requests. Without the bound,
// the shares of its entries would add up to the whole fleet's requests on each side.
const maxOwnShare = 4.0

// requestShare returns this entry's share of the rates that all entries report. One request per
// second is added to each rate, so that an idle entry has a share as well.
func (c *Core) requestShare() float64 {
	f := &c.fleet
	own, all := float64(f.rate)+1, 0.0
	for i := range f.entries {
		if p, heard := f.peers[f.entries[i].VM.Incarnation]; heard {
			all += float64(p.update.Rate) + 1
		}
	}
	return min(own/(own+all), maxOwnShare/float64(max(1, f.maxEntriesSeen)))
}

// collectLoadReports collects load reports on the endpoints of the pools that this entry serves.
// Pools whose endpoints get a load probe before each choice are skipped: a peer's load report is
// older than the probed load, so no entry would use it.
func (c *Core) collectLoadReports(now time.Duration) {
	f := &c.fleet
	f.loadReports = f.loadReports[:0]
	for _, p := range c.poolRows {
		if !p.serving || p.usesLoadProbes() {
			continue
		}
		for i := range p.Endpoints {
			e := &p.Endpoints[i]
			if e.TakesWork() {
				f.loadReports = append(f.loadReports, loadReportOf(now, e))
			}
		}
	}
}

func loadReportOf(now time.Duration, e *table.Endpoint) message.LoadReport {
	report := message.LoadReport{
		Endpoint:    e.Name,
		Incarnation: e.Incarnation,
		InFlight:    uint16(e.Outstanding),
		Own:         uint16(e.Outstanding),
	}
	if e.Reported.Seen {
		report.InFlight += uint16(max(e.Reported.Foreign, 0))
	}
	return report
}

// peerHeard notifies the policies that a peer's last load reports are still valid, except for the
// ones that its current message replaces.
func (c *Core) peerHeard(now time.Duration, from uint64) {
	for _, p := range c.poolRows {
		if i := c.deciderIndex(p, from); i >= 0 {
			p.picker.PeerHeard(i, now)
		}
	}
}

// peerLoadReport records a peer's load report on one endpoint.
func (c *Core) peerLoadReport(now time.Duration, from uint64, report *message.LoadReport) {
	ref, ok := c.fleet.rows[report.Endpoint]
	if !ok {
		return
	}
	e := ref.pool.endpointAt(ref.index, report.Incarnation)
	if e == nil {
		return
	}
	ref.pool.peerSlots.set(from, ref.index, int32(report.Own))
	at := now - time.Duration(report.AgeMillis)*time.Millisecond
	decider := c.deciderIndex(ref.pool, from)
	ref.pool.picker.PeerReported(now, &ref.pool.Pool, ref.index, balance.PeerLoad{From: decider, Attempts: int32(report.Own), At: at})
}

// deciderIndex returns the index of an entry among the pool's deciders, or -1.
func (c *Core) deciderIndex(p *pool, incarnation uint64) int {
	for i, known := range p.deciders {
		if known == incarnation {
			return i
		}
	}
	return -1
}

// PeerUpdate processes a regular message from another entry. It reports whether the sender is
// known; an unknown sender has to send a hello first.
func (c *Core) PeerUpdate(now time.Duration, u *message.Update, out *Actions) bool {
	f := &c.fleet
	if u.From == c.cfg.Self.Incarnation || !f.members.Knows(u.From) {
		return false
	}
	f.heardAt = now
	p, ok := f.peers[u.From]
	if !ok {
		p = &peer{}
		f.peers[u.From] = p
	}
	if u.Sequence > p.update.Sequence {
		c.applyUpdate(now, p, u, out)
	}
	return true
}

// applyUpdate applies an update that is newer than all earlier updates of the peer.
func (c *Core) applyUpdate(now time.Duration, p *peer, u *message.Update, out *Actions) {
	f := &c.fleet
	p.update, p.heardAt = *u, now
	f.profiles.NotePeerRevision(now, u.Profiles.Revision, c.sourceOf(u.From, f.profiles))
	f.vms.NotePeerRevision(now, u.VMs.Revision, c.sourceOf(u.From, f.vms))
	f.gossip.Received(now, u)
	f.members.NoteVersion(u.From, u.Version)
	c.applyChanges(now, f.members.Heard(now, u.From, u.State), "peer", out)
	c.applyRecords(now, u.Records, out)
	c.applyEvidence(now, out, u.Evidence...)
	c.processRequestEvidence(now, u.Evidence, out)
	c.processLimits(now, u.Evidence, out)
	c.peerHeard(now, u.From)
	for i := range u.LoadReports {
		c.peerLoadReport(now, u.From, &u.LoadReports[i])
	}
	c.fetchDue(now, out)
}

// Delays before a later list of VMs is fetched from a peer. Traffic between failure domains is
// expensive, and a peer in the same domain usually has the list a moment later. An entry that reads
// the configuration service gets the list from there, once a series of changes is over. The profiles
// change rarely and have to be in force soon, so they are asked for at once.
const (
	farSourceDelay    = 150 * time.Millisecond
	readerSourceDelay = 450 * time.Millisecond
)

// sourceOf describes a peer as a source of a revision, with the delay before it is asked.
func (c *Core) sourceOf(peer uint64, t *assign.Tracker) assign.Source {
	source := assign.Source{Peer: peer, Near: c.isNear(peer)}
	switch {
	case t == c.fleet.profiles || t.InForce().Revision == 0: // no delay
	case c.reachesPlatform():
		source.Delay = readerSourceDelay
	case !source.Near:
		source.Delay = farSourceDelay
	}
	return source
}

// isNear reports whether an entry is in this entry's failure domain.
func (c *Core) isNear(incarnation uint64) bool {
	e := c.fleet.entry(incarnation)
	return e != nil && e.VM.Domain == c.cfg.Self.Domain
}
