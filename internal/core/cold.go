package core

import (
	"maps"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
)

// coldOwners is the state from which the owners of a pool's cold and rate-limited endpoints were
// last computed.
type coldOwners struct {
	// until is when the last cold endpoint of the pool becomes warm, as far as this entry knows.
	until time.Duration
	// at is when the owners were computed, 0 to compute them again; version, rows and settled are
	// the inputs at that time.
	at      time.Duration
	version uint64
	rows    int
	settled bool
	// periodEnds is when the next owner period of an endpoint with a rate limit begins.
	periodEnds time.Duration
}

// markCold marks an endpoint as cold without a report of its own, because the VM list says so or
// its failure domain returns from evacuation. The owners are computed again before the next choice.
func (p *pool) markCold(now time.Duration, index int) {
	e := &p.Endpoints[index]
	quota.BecameCold(now, &p.Pool, e)
	e.Cold.Owned = false
	p.cold.until, p.cold.at = max(p.cold.until, e.Cold.Until), 0
}

// noteReportedCold records how much longer an endpoint stays cold according to its own report.
func (c *Core) noteReportedCold(now time.Duration, p *pool, e *table.Endpoint, left time.Duration) {
	wasCold := quota.IsCold(now, &p.Pool, e)
	quota.SetCold(now, e, left)
	if p.cold.until = max(p.cold.until, e.Cold.Until); !wasCold && left > 0 {
		e.Cold.Owned, p.cold.at = false, 0
	}
}

// setWarmup applies the published warmup of a pool's endpoints.
func (c *Core) setWarmup(p *pool, w profile.Warmup) {
	p.ColdQuota = quota.NewColdQuota(quota.Warmup{For: w.For, PerSecond: w.PerSecond, Over: c.cfg.WarmupOver, Slack: c.cfg.WarmupSlack})
}

// refreshOwnership computes to which of the pool's cold or rate-limited endpoints this entry may
// send requests.
func (c *Core) refreshOwnership(now time.Duration, p *pool) {
	if now >= p.cold.until && p.limited == 0 {
		return
	}
	o := &p.cold
	current := o.at > 0 && o.version == c.fleet.entriesVersion && o.rows == len(p.Endpoints) && o.settled == c.fleet.settled
	if current && (p.limited == 0 || now < o.periodEnds) {
		return
	}
	o.at, o.version, o.rows, o.settled = now, c.fleet.entriesVersion, len(p.Endpoints), c.fleet.settled
	o.periodEnds = now + time.Hour
	candidates := c.coldCandidates()
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if now < e.Cold.Until {
			e.Cold.Owned = o.settled && candidates.Owns(c.fleet.selfAssignID, e.Name, e.Domain, p.ColdQuota.Owners)
		}
		if quota.IsLimited(e) {
			period, ends := quota.OwnerPeriod(now, e)
			quota.SetOwner(now, e, o.settled && candidates.OwnsLimited(c.fleet.selfAssignID, e, period))
			o.periodEnds = min(o.periodEnds, ends)
		}
	}
}

// rememberedEntry is an entry that takes part in dividing cold endpoints, with the time at which it
// was last known.
type rememberedEntry struct {
	quota.Entry
	at time.Duration
}

// rememberFor is how long an entry stays in the division of cold endpoints after it was last known.
// Silent entries and entries on the other side of a partition stay in it, so that both sides keep
// the same owners. Endpoints owned by an entry that was removed have no owner during that time.
const rememberFor = 10 * time.Minute

// rememberEntries updates the entries among which cold endpoints are divided, and marks the fleet
// as settled once this entry has the same records as its peers.
//
// A starting entry knows few others and would take itself for the owner of every cold endpoint, as
// would all entries of a failure domain that comes back together with its endpoints. It therefore
// owns no cold endpoint until it has served for a while and then has the same records as all peers
// that it hears.
func (c *Core) rememberEntries(now time.Duration) {
	f := &c.fleet
	if !f.settled && c.state != message.EntryStarting && now >= c.servingSince+settlingTime {
		f.settled = f.gossip.RecordsAgree()
	}
	if f.rememberedVersion == f.entriesVersion {
		return
	}
	f.rememberedVersion = f.entriesVersion
	for i := range f.entries {
		e := &f.entries[i]
		id := assignID(e.VM.Name)
		next := rememberedEntry{quota.Entry{ID: id, Domain: e.VM.Domain, Capacity: c.capacityOf(e)}, now}
		if next.Capacity == 0 {
			next.Capacity = f.remembered[id].Capacity
		}
		f.remembered[id] = next
	}
	maps.DeleteFunc(f.remembered, func(_ uint64, r rememberedEntry) bool { return now-r.at > rememberFor })
}

// coldCandidates returns the entries among which cold endpoints are divided.
func (c *Core) coldCandidates() quota.Candidates {
	entries := make([]quota.Entry, 0, len(c.fleet.remembered))
	for _, r := range c.fleet.remembered {
		entries = append(entries, r.Entry)
	}
	return quota.NewCandidates(entries)
}
