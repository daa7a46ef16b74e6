package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// When this entry's record is told anew. Its state, and whether it reads the platform, count at
// once. Its rate weighs answers to callers and shares of bounds, for which a quarter more or
// less is near enough. The epoch of its keys may lag by one of the five that are kept: entries
// that started together would otherwise all tell it in the same moment.
const (
	rateEvery  = 2 * time.Second
	rateChange = 0.25
	rateLeast  = 2
	epochLag   = time.Minute
)

// recordOf is the record that an entry's greeting stands for.
func recordOf(h message.Hello) message.Record {
	return message.Record{
		Name: h.Name, Incarnation: h.Incarnation, Version: h.Status.Version,
		Region: h.Region, Domain: h.Domain, CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
		State: h.Status.State, Epoch: h.Status.Epoch, Reader: h.Status.Reader, Rate: h.Status.Rate, Capacity: h.Capacity,
	}
}

// vmOfRecord is the entry of a record, in the form of the platform's list.
func vmOfRecord(r *message.Record) published.VM {
	return published.VM{
		Name: r.Name, Incarnation: r.Incarnation, Role: published.EntryRole, State: published.Live,
		Region: r.Region, Domain: r.Domain, Address: r.CallerAddress, PeerAddress: r.PeerAddress,
	}
}

// announce tells the fleet what this entry says of itself, if that differs from what it said
// last, or if another entry said that it is silent.
func (c *Core) announce(now time.Duration) {
	f := &c.fleet
	h := c.cfg.Self
	h.Status = message.Update{State: c.state, Epoch: c.keys.Epoch(), Reader: c.reachesPlatform(), Rate: f.rate}
	next := recordOf(h)
	version := f.own.Version
	switch {
	case f.reportedSilent && f.silentVersion >= version:
		version = f.silentVersion
	case !c.recordDue(now, &next):
		return
	}
	next.Version = version + 1
	f.own, f.ownAt, f.epochAt = next, now, 0
	f.gossip.Announce(now, next)
}

// recordDue reports whether the others are to be told the next form of this entry's record.
func (c *Core) recordDue(now time.Duration, next *message.Record) bool {
	f := &c.fleet
	if f.own.Version == 0 || next.State != f.own.State || next.Reader != f.own.Reader {
		return true
	}
	if next.Epoch != f.own.Epoch && f.epochAt == 0 {
		share := float64(assign.Score(assign.Key("epoch", ""), f.selfID)>>11) / (1 << 53)
		f.epochAt = now + time.Duration(share*float64(epochLag))
	}
	if f.epochAt != 0 && now >= f.epochAt {
		return true
	}
	change := max(float64(next.Rate)-float64(f.own.Rate), float64(f.own.Rate)-float64(next.Rate))
	return change >= rateLeast && change >= rateChange*float64(f.own.Rate) && now-f.ownAt >= rateEvery
}

// takeRecords takes in what entries tell of themselves by way of others, after the scheduler did:
// what counts is the latest that it holds.
func (c *Core) takeRecords(now time.Duration, records []message.Record, out *Actions) {
	f := &c.fleet
	var changes []member.Change
	for i := range records {
		r := f.gossip.Latest(records[i].Name)
		if r == nil {
			continue // it is known to have ended
		}
		if r.Incarnation == c.cfg.Self.Incarnation {
			f.reportedSilent = f.reportedSilent || r.Silent
			f.silentVersion = max(f.silentVersion, r.Version)
			continue
		}
		changes = append(changes, f.members.PeerReported(now, vmOfRecord(r), r.State, r.Version)...)
		if r.Silent {
			f.members.ReportSilent(now, r.Name, r.Incarnation, r.Version)
		}
		if f.members.Knows(r.Incarnation) {
			c.noteRecord(now, r)
		}
	}
	c.applyChanges(now, changes, "peer", out)
}

// noteRecord keeps what a record says, unless the entry itself said something later.
func (c *Core) noteRecord(now time.Duration, r *message.Record) {
	p := c.fleet.peers[r.Incarnation]
	if p == nil {
		p = &peer{}
		c.fleet.peers[r.Incarnation] = p
	} else if r.Version <= p.update.Version {
		return
	}
	p.heard = now
	u := &p.update
	u.From, u.Version, u.State, u.Epoch, u.Reader, u.Rate = r.Incarnation, r.Version, r.State, r.Epoch, r.Reader, r.Rate
}

// noteAcked takes in which entries took a message.
func (c *Core) noteAcked(now time.Duration, out *Actions) {
	f := &c.fleet
	var changes []member.Change
	for _, incarnation := range f.acked {
		changes = append(changes, f.members.Acked(now, incarnation)...)
	}
	f.acked = f.acked[:0]
	c.applyChanges(now, changes, "peer", out)
}

// watchLinks tells the members whom this entry watches, after a change of links.
func (c *Core) watchLinks(now time.Duration) {
	f := &c.fleet
	if f.links != f.gossip.Version() {
		f.links = f.gossip.Version()
		f.members.SetWatched(now, f.gossip.Watches, f.gossip.Relays())
	}
}

// spreadSilent tells the fleet whose silence showed here.
func (c *Core) spreadSilent(now time.Duration) {
	for _, s := range c.fleet.members.TakeSilent(nil) {
		c.fleet.gossip.ReportSilent(now, s.Name, s.Incarnation, s.Version)
	}
}

// Pull is a peer to ask for the records that this entry lacks.
type Pull struct {
	From    uint64
	Address string
	// Marks are those of the records that it has.
	Marks []uint32
}

// PullDue returns the peer to ask now, if any. The driver ends each pull with Pulled.
func (c *Core) PullDue(now time.Duration) (Pull, bool) {
	from, due := c.fleet.gossip.PullFrom(now)
	if !due {
		return Pull{}, false
	}
	address, known := c.peerAddressOf(from)
	if !known || address == "" {
		c.fleet.gossip.Pulled(now, from, nil, false)
		return Pull{}, false
	}
	return Pull{From: from, Address: address, Marks: c.fleet.gossip.Marks(nil)}, true
}

// Pulled ends a pull with the records that the peer gave, if it answered.
func (c *Core) Pulled(now time.Duration, p Pull, records []message.Record, answered bool, out *Actions) {
	c.fleet.gossip.Pulled(now, p.From, records, answered)
	c.takeRecords(now, records, out)
}

// RecordsBeyond returns the records held that are not among those marked.
func (c *Core) RecordsBeyond(marks []uint32) []message.Record { return c.fleet.gossip.Unmarked(marks) }

// RecordsAgree reports whether the peers from which this entry has heard hold the same records.
func (c *Core) RecordsAgree() bool { return c.fleet.gossip.RecordsAgree() }

// RecordSet says which records this entry holds.
func (c *Core) RecordSet() message.RecordSet { return c.fleet.gossip.RecordSet() }
