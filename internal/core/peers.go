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

// announceDeciders divides the services among the entries and tells each pool's policy, and
// the scheduler which peers serve the same pools.
func (c *Core) announceDeciders(now time.Duration) {
	c.fleet.divided, c.fleet.dividedAt = c.fleet.version, now
	clear(c.fleet.shares)
	for _, p := range c.poolRows {
		deciders := c.decidersOf(p)
		p.serving = deciders[c.cfg.Self.Incarnation]
		c.setDeciders(now, p, deciders)
		if !p.serving || p.usesLoadProbes() {
			continue // nobody tells loads there: endpoints are looked at before each choice
		}
		for incarnation := range deciders {
			c.fleet.shares[incarnation] = true
		}
	}
	c.fleet.gossip.SetPeers(now, c.gossipPeers())
}

// announceRows tells the policies of pools that have new rows.
func (c *Core) announceRows(now time.Duration) {
	for _, p := range c.poolRows {
		if p.newRows {
			p.newRows = false
			p.picker.Changed(now, &p.Pool, p.deciderNames)
		}
	}
}

// decidersOf returns the entries to which callers of the pool's services are sent.
func (c *Core) decidersOf(p *pool) map[uint64]bool {
	chosen := make(map[uint64]bool)
	for _, sv := range p.services {
		entries := c.serviceEntries(sv)
		sv.entries = len(entries)
		for _, incarnation := range entries {
			chosen[incarnation] = true
		}
	}
	return chosen
}

// serviceEntries returns the entries to which callers of a service are sent.
func (c *Core) serviceEntries(sv *service) []uint64 {
	return c.incarnationsOf(assign.ServiceEntries(sv.name, c.fleet.assignMembers, sv.policy.EntriesPerDomain))
}

// setDeciders lists the deciders in the order of the entries' names.
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
			Shares:      c.fleet.shares[e.VM.Incarnation],
			Suspected:   e.Suspected,
		})
	}
	c.fleet.gossipPeers = peers
	return peers
}

// composeUpdates sends the messages to peers that are due.
func (c *Core) composeUpdates(now time.Duration, out *Actions) {
	f := &c.fleet
	c.sampleRate(now)
	c.spreadFresh(now)
	c.announce(now)
	f.gossip.SetState(c.ownState())
	f.due = f.gossip.Due(now, f.due[:0])
	c.watchLinks(now)
	if len(f.due) == 0 {
		return
	}
	c.collectLoadReports(now)
	for _, to := range f.due {
		c.composeFor(now, to, out)
	}
}

// spreadFresh has evidence passed on that was learned here since the last time.
func (c *Core) spreadFresh(now time.Duration) {
	f := &c.fleet
	f.fresh = f.members.TakeEvidence(f.fresh[:0])
	f.gossip.Spread(now, f.fresh)
}

// ownState is what this entry tells of itself.
func (c *Core) ownState() gossip.State {
	return gossip.State{
		State:    c.state,
		Epoch:    c.keys.Epoch(),
		Profiles: c.InForce(published.ProfilesValue),
		VMs:      c.InForce(published.VMsValue),
		Reader:   c.reachesPlatform(),
		Rate:     c.fleet.rate,
		Version:  c.fleet.own.Version,
	}
}

// OwnEvidenceDigest digests all evidence that is held to be passed on.
func (c *Core) OwnEvidenceDigest() uint64 { return c.fleet.gossip.Digest() }

// OwnStatus returns what this entry tells of itself to a peer that it meets.
func (c *Core) OwnStatus() message.Update {
	c.fleet.gossip.SetState(c.ownState())
	return c.fleet.gossip.OwnStatus()
}

func (c *Core) composeFor(now time.Duration, to uint64, out *Actions) {
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

// UpdateDone says how an update to a peer ended.
func (c *Core) UpdateDone(now time.Duration, to, sequence uint64, r message.Receipt) {
	c.fleet.gossip.Done(now, to, sequence, r)
	if r.Acked {
		c.fleet.heardAt = now
		c.fleet.acked = append(c.fleet.acked, to)
	} else {
		c.fleet.members.Unreachable(to)
	}
}

// sampleRate measures the calls per second of this entry.
func (c *Core) sampleRate(now time.Duration) {
	f := &c.fleet
	if now < f.rateAt+ratePeriod {
		return
	}
	calls := c.counters.Arrived - f.rateFrom
	f.rate = uint32(math.Round(float64(calls) / (now - f.rateAt).Seconds()))
	f.rateAt, f.rateFrom = now, c.counters.Arrived
	f.ownShare = c.requestShare()
}

// maxOwnShare bounds an entry's part of the fleet's requests as a multiple of an equal
// part, by the largest fleet that was seen: in a partition each side knows of its own
// requests only, and would take the whole for its part.
const maxOwnShare = 4.0

// requestShare returns this entry's part of what all entries tell of their rates.
// One request a second is added to each, so that an idle entry has a part as well.
func (c *Core) requestShare() float64 {
	f := &c.fleet
	own, all := float64(f.rate)+1, 0.0
	for i := range f.entries {
		if p, heard := f.peers[f.entries[i].VM.Incarnation]; heard {
			all += float64(p.update.Rate) + 1
		}
	}
	return min(own/(own+all), maxOwnShare/float64(max(1, f.mostEntries)))
}

// collectLoadReports lists what this entry knows of the endpoints of the pools
// that it serves. Where endpoints are looked at right before each choice, what a peer
// saw is older than any look, and nobody would use it.
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
	s := message.LoadReport{
		Endpoint:    e.Name,
		Incarnation: e.Incarnation,
		InFlight:    uint16(e.Outstanding),
		Own:         uint16(e.Outstanding),
	}
	if e.Reported.Seen {
		s.InFlight += uint16(max(e.Reported.Foreign, 0))
	}
	return s
}

// peerHeard tells the choice policies that what an entry last told of its own
// attempts still holds but for what follows.
func (c *Core) peerHeard(now time.Duration, from uint64) {
	for _, p := range c.poolRows {
		if i := c.deciderIndex(p, from); i >= 0 {
			p.picker.PeerHeard(i, now)
		}
	}
}

// peerLoadReport takes in what a peer says of one endpoint.
func (c *Core) peerLoadReport(now time.Duration, from uint64, s *message.LoadReport) {
	ref, ok := c.fleet.rows[s.Endpoint]
	if !ok {
		return
	}
	e := ref.pool.endpointAt(ref.index, s.Incarnation)
	if e == nil {
		return
	}
	ref.pool.peerSlots.set(from, ref.index, int32(s.Own))
	at := now - time.Duration(s.AgeMillis)*time.Millisecond
	decider := c.deciderIndex(ref.pool, from)
	ref.pool.picker.PeerReported(now, &ref.pool.Pool, ref.index, balance.PeerLoad{From: decider, Own: int32(s.Own), At: at})
}

// deciderIndex returns the place of an entry among the pool's deciders, or -1.
func (c *Core) deciderIndex(p *pool, incarnation uint64) int {
	for i, known := range p.deciders {
		if known == incarnation {
			return i
		}
	}
	return -1
}

// PeerUpdate feeds a regular message from another entry. It reports whether
// the sender is known; an unknown one has to introduce itself first.
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
		c.takeUpdate(now, p, u, out)
	}
	return true
}

// takeUpdate takes in what a peer tells, which is the newest that it told.
func (c *Core) takeUpdate(now time.Duration, p *peer, u *message.Update, out *Actions) {
	f := &c.fleet
	p.update, p.heard = *u, now
	f.profiles.NotePeerRevision(now, u.Profiles.Revision, c.sourceOf(u.From, f.profiles))
	f.vms.NotePeerRevision(now, u.VMs.Revision, c.sourceOf(u.From, f.vms))
	f.gossip.Received(now, u)
	f.members.NoteVersion(u.From, u.Version)
	c.applyChanges(now, f.members.Heard(now, u.From, u.State), "peer", out)
	c.takeRecords(now, u.Records, out)
	c.applyEvidence(now, out, u.Evidence...)
	c.takeRequestEvidence(now, u.Evidence, out)
	c.takeLimits(now, u.Evidence, out)
	c.peerHeard(now, u.From)
	for i := range u.LoadReports {
		c.peerLoadReport(now, u.From, &u.LoadReports[i])
	}
	c.fetchDue(now, out)
}

// The patience with which a later revision is fetched from a peer. Bytes between failure
// domains are dear, and an entry of the own domain mostly has the revision a moment later;
// an entry that reads the platform gets it from there, once news that come together are
// over. Both are far below the seconds within which a revision has to be in force.
const (
	farSourceDelay    = 150 * time.Millisecond
	readerSourceDelay = 450 * time.Millisecond
)

// sourceOf says how a peer is to be asked for a revision that it holds.
func (c *Core) sourceOf(peer uint64, t *assign.Tracker) assign.Source {
	h := assign.Source{Peer: peer, Near: c.isNear(peer)}
	switch {
	case t.InForce().Revision == 0: // it starts, and waits for nobody
	case c.reachesPlatform():
		h.Delay = readerSourceDelay
	case !h.Near:
		h.Delay = farSourceDelay
	}
	return h
}

// isNear reports whether an entry lies in this one's failure domain.
func (c *Core) isNear(incarnation uint64) bool {
	e := c.fleet.entry(incarnation)
	return e != nil && e.VM.Domain == c.cfg.Self.Domain
}
