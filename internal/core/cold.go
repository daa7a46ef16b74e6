package core

import (
	"maps"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
)

// coldOwners is what the owners of a pool's cold endpoints were worked out from.
type coldOwners struct {
	// until is when the last cold endpoint of the pool is warm as far as known.
	until time.Duration
	// at is when they were worked out, for a version of the entries known.
	at      time.Duration
	version uint64
	rows    int
	settled bool
	// periodEnds is when the next turn begins to own an endpoint that names a limit.
	periodEnds time.Duration
}

// becameCold notes that an endpoint is cold as far as others say. Its owners are worked out once
// it is asked for.
func (p *pool) becameCold(now time.Duration, index int) {
	e := &p.Endpoints[index]
	quota.BecameCold(now, &p.Pool, e)
	e.Cold.Own = false
	p.cold.until, p.cold.at = max(p.cold.until, e.Cold.Until), 0
}

// reportedCold takes in how much longer an endpoint says that it stays cold.
func (c *Core) reportedCold(now time.Duration, p *pool, e *table.Endpoint, left time.Duration) {
	wasCold := quota.IsCold(now, &p.Pool, e)
	quota.SetCold(now, e, left)
	if p.cold.until = max(p.cold.until, e.Cold.Until); !wasCold && left > 0 {
		e.Cold.Own, p.cold.at = false, 0
	}
}

// setWarmup puts in force what is published of a pool's cold endpoints.
func (c *Core) setWarmup(p *pool, w profile.Warmup) {
	p.ColdShare = quota.NewColdQuota(quota.Warmup{For: w.For, PerSecond: w.PerSecond, Over: c.cfg.WarmupOver, Slack: c.cfg.WarmupSlack})
}

// refreshOwnership works out which of the pool's endpoints that are cold, or name a limit, this entry may
// send to.
func (c *Core) refreshOwnership(now time.Duration, p *pool) {
	if now >= p.cold.until && p.limited == 0 {
		return
	}
	o := &p.cold
	known := o.at > 0 && o.version == c.fleet.entriesVersion && o.rows == len(p.Endpoints) && o.settled == c.fleet.settled
	if known && (p.limited == 0 || now < o.periodEnds) {
		return
	}
	o.at, o.version, o.rows, o.settled = now, c.fleet.entriesVersion, len(p.Endpoints), c.fleet.settled
	o.periodEnds = now + time.Hour
	candidates := c.coldCandidates()
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if now < e.Cold.Until {
			e.Cold.Own = o.settled && candidates.Owns(c.fleet.selfAssignID, e.Name, e.Domain, p.ColdShare.Owners)
		}
		if quota.IsLimited(e) {
			turn, ends := quota.OwnerPeriod(now, e)
			quota.SetOwner(now, e, o.settled && candidates.OwnsLimited(c.fleet.selfAssignID, e, turn))
			o.periodEnds = min(o.periodEnds, ends)
		}
	}
}

// remembered is an entry as it counts for who owns cold endpoints.
type remembered struct {
	quota.Entry
	at time.Duration
}

// rememberFor is how long an entry counts for that after it was known last. Entries that went silent
// stay in it, and those on the other side of a partition, so that both sides go on with the same
// owners; what one that has gone for good owned is nobody's for so long.
const rememberFor = 10 * time.Minute

// remember notes the entries that are known, and settles once this entry knows what others do.
//
// Guards against an entry that has just begun to serve and takes itself for the owner of everything
// since it knows few others, as all entries of a failure domain would that comes back with its
// endpoints: it owns nothing until it has served for a while and then held the same records as
// all that it hears.
func (c *Core) remember(now time.Duration) {
	f := &c.fleet
	if !f.settled && c.state != message.EntryStarting && now >= c.servingSince+settling {
		f.settled = f.gossip.RecordsAgree()
	}
	if f.rememberedVersion == f.entriesVersion {
		return
	}
	f.rememberedVersion = f.entriesVersion
	for i := range f.entries {
		e := &f.entries[i]
		id := assignID(e.VM.Name)
		next := remembered{quota.Entry{ID: id, Domain: e.VM.Domain, Capacity: c.capacityOf(e)}, now}
		if next.Capacity == 0 {
			next.Capacity = f.remembered[id].Capacity
		}
		f.remembered[id] = next
	}
	maps.DeleteFunc(f.remembered, func(_ uint64, r remembered) bool { return now-r.at > rememberFor })
}

// coldCandidates are the entries among which cold endpoints are divided.
func (c *Core) coldCandidates() quota.Candidates {
	entries := make([]quota.Entry, 0, len(c.fleet.remembered))
	for _, r := range c.fleet.remembered {
		entries = append(entries, r.Entry)
	}
	return quota.NewCandidates(entries)
}
