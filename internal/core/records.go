package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// Rules for announcing this entry's record again. A change of its state, of whether it reads the
// configuration service, or of whether it is cut off from all endpoints, is announced at once. Its rate is a weight in answers to callers and in
// shares of bounds, where a deviation of a quarter does little harm. The announced epoch of its
// keys may lag by one of the five epochs that are kept; the lag spreads out the announcements of
// entries that started together.
const (
	minRateInterval       = 2 * time.Second
	minRelativeRateChange = 0.25
	minRateChange         = 2
	maxEpochLag           = time.Minute
)

// recordOf converts a hello to a record.
func recordOf(h message.Hello) message.Record {
	return message.Record{
		Name: h.Name, Incarnation: h.Incarnation, Version: h.Status.Version,
		Region: h.Region, Domain: h.Domain, CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
		State: h.Status.State, Epoch: h.Status.Epoch, Reader: h.Status.Reader, Rate: h.Status.Rate, NoEndpoint: h.Status.NoEndpoint, Capacity: h.Capacity,
	}
}

// vmOfRecord converts an entry's record to a VM of the platform's list.
func vmOfRecord(r *message.Record) published.VM {
	return published.VM{
		Name: r.Name, Incarnation: r.Incarnation, Role: published.EntryRole, State: published.Live,
		Region: r.Region, Domain: r.Domain, Address: r.CallerAddress, PeerAddress: r.PeerAddress,
	}
}

// announce sends this entry's record to the fleet if it differs from the last announced one, or if
// another entry reported this one as silent.
func (c *Core) announce(now time.Duration) {
	f := &c.fleet
	h := c.cfg.Self
	h.Status = message.Update{State: c.state, Epoch: c.keys.Epoch(), Reader: c.reachesPlatform(), Rate: f.rate, NoEndpoint: f.noEndpoint}
	next := recordOf(h)
	version := f.ownRecord.Version
	switch {
	case f.reportedSilent && f.silentVersion >= version:
		version = f.silentVersion
	case !c.recordDue(now, &next):
		return
	}
	next.Version = version + 1
	f.ownRecord, f.announcedAt, f.epochDue = next, now, 0
	f.gossip.Announce(now, next)
}

// recordDue reports whether the next version of this entry's record is to be announced.
func (c *Core) recordDue(now time.Duration, next *message.Record) bool {
	f := &c.fleet
	if f.ownRecord.Version == 0 || next.State != f.ownRecord.State || next.Reader != f.ownRecord.Reader || next.NoEndpoint != f.ownRecord.NoEndpoint {
		return true
	}
	if next.Epoch != f.ownRecord.Epoch && f.epochDue == 0 {
		share := float64(assign.Score(assign.Key("epoch", ""), f.selfAssignID)>>11) / (1 << 53)
		f.epochDue = now + time.Duration(share*float64(maxEpochLag))
	}
	if f.epochDue != 0 && now >= f.epochDue {
		return true
	}
	change := max(float64(next.Rate)-float64(f.ownRecord.Rate), float64(f.ownRecord.Rate)-float64(next.Rate))
	return change >= minRateChange && change >= minRelativeRateChange*float64(f.ownRecord.Rate) && now-f.announcedAt >= minRateInterval
}

// applyRecords applies records that arrived through other entries, after the gossip scheduler
// stored them. Only the latest stored record of each entry counts.
func (c *Core) applyRecords(now time.Duration, records []message.Record, out *Actions) {
	f := &c.fleet
	var changes []member.Change
	for i := range records {
		r := f.gossip.Latest(records[i].Name)
		if r == nil {
			continue // the entry is known to have ended
		}
		if r.Incarnation == c.cfg.Self.Incarnation {
			f.reportedSilent = f.reportedSilent || r.Silent
			f.silentVersion = max(f.silentVersion, r.Version)
			continue
		}
		changes = append(changes, f.members.PeerReported(now, vmOfRecord(r), r.State, r.Version)...)
		if r.Silent {
			f.members.SilenceReported(now, r.Name, r.Incarnation, r.Version)
		}
		if f.members.Knows(r.Incarnation) {
			c.noteRecord(now, r)
		}
	}
	c.applyChanges(now, changes, "peer", out)
}

// noteRecord stores the state in a record, unless the entry's own status is newer.
func (c *Core) noteRecord(now time.Duration, r *message.Record) {
	p := c.fleet.peers[r.Incarnation]
	if p == nil {
		p = &peer{}
		c.fleet.peers[r.Incarnation] = p
	} else if r.Version <= p.update.Version {
		return
	}
	p.heardAt = now
	u := &p.update
	u.From, u.Version, u.State, u.Epoch, u.Reader, u.Rate, u.NoEndpoint = r.Incarnation, r.Version, r.State, r.Epoch, r.Reader, r.Rate, r.NoEndpoint
}

// noteAcked passes the entries that acknowledged a message to the member table.
func (c *Core) noteAcked(now time.Duration, out *Actions) {
	f := &c.fleet
	var changes []member.Change
	for _, incarnation := range f.acked {
		changes = append(changes, f.members.Acked(now, incarnation)...)
	}
	f.acked = f.acked[:0]
	c.applyChanges(now, changes, "peer", out)
}

// watchLinks updates the set of entries that this entry watches, after a change of links.
func (c *Core) watchLinks(now time.Duration) {
	f := &c.fleet
	if f.watchedVersion != f.gossip.Version() {
		f.watchedVersion = f.gossip.Version()
		f.members.SetWatched(now, f.gossip.Watches, f.gossip.Relays())
	}
}

// spreadSilent reports to the fleet the entries that this entry found silent.
func (c *Core) spreadSilent(now time.Duration) {
	for _, s := range c.fleet.members.TakeSilences(nil) {
		c.fleet.gossip.ReportSilent(now, s.Name, s.Incarnation, s.Version)
	}
}

// Pull is a request to a peer for the records that this entry lacks.
type Pull struct {
	From    uint64
	Address string
	// Marks identify the records that this entry has.
	Marks []uint32
}

// PullDue returns the pull to run now, if any. The driver ends each pull with PullDone.
func (c *Core) PullDue(now time.Duration) (Pull, bool) {
	from, due := c.fleet.gossip.PullFrom(now)
	if !due {
		return Pull{}, false
	}
	address, known := c.peerAddressOf(from)
	if !known || address == "" {
		c.fleet.gossip.PullDone(now, from, nil, false)
		return Pull{}, false
	}
	return Pull{From: from, Address: address, Marks: c.fleet.gossip.Marks(nil)}, true
}

// PullDone ends a pull with the records that the peer returned, if it answered.
func (c *Core) PullDone(now time.Duration, p Pull, records []message.Record, answered bool, out *Actions) {
	c.fleet.gossip.PullDone(now, p.From, records, answered)
	c.applyRecords(now, records, out)
}

// UnmarkedRecords returns the stored records whose marks are not in marks.
func (c *Core) UnmarkedRecords(marks []uint32) []message.Record {
	return c.fleet.gossip.UnmarkedRecords(marks)
}

// RecordsAgree reports whether the peers from which this entry has heard have the same records.
func (c *Core) RecordsAgree() bool { return c.fleet.gossip.RecordsAgree() }

// RecordSet describes the set of records that this entry has.
func (c *Core) RecordSet() message.RecordSet { return c.fleet.gossip.RecordSet() }
