package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// probeAfter is the age of the latest knowledge of an endpoint from which
	// on a probe is worth its cost. Ordinary answers keep busy endpoints below it.
	probeAfter = 2 * time.Second
	// probesPerRound bounds the probes that one round starts.
	probesPerRound = 4
)

// probeDue probes endpoints of which nothing was seen for long, within the
// watching budget. Free sightings come first: an endpoint that answers requests
// is not probed. Of several entries only one probes an endpoint; where their
// views differ more may, and the budget still holds since each spends only its
// fixed part.
func (c *Core) probeDue(now time.Duration, out *Actions) {
	started := 0
	for _, p := range c.poolRows {
		if p.usesLoadProbes() {
			continue
		}
		c.assignProbes(p)
		for started < probesPerRound {
			e := p.longestUnseen(now)
			if e == nil {
				break
			}
			if !p.healthProbes.TrySpend(now, p.Slots()) {
				c.counters.ProbesDenied++
				break
			}
			started++
			c.counters.Probes++
			e.ProbedAt = now
			out.Probes = append(out.Probes, Probe{Pool: p.Name, Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address})
		}
	}
}

// longestUnseen returns the endpoint to probe of which nothing was seen for the
// longest time, or nil. Guards against a budget that is spent on the first rows
// of the table again and again, so that nothing is ever known of the last ones.
func (p *pool) longestUnseen(now time.Duration) *table.Endpoint {
	var found *table.Endpoint
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if p.probed[i] && wantsProbe(now, e) && (found == nil || lastSeen(e) < lastSeen(found)) {
			found = e
		}
	}
	return found
}

// assignProbes works out which endpoints of a pool this entry probes, once after
// each change of members: it takes a hash for each pair of entry and endpoint.
func (c *Core) assignProbes(p *pool) {
	if p.probedVersion == c.fleet.entriesVersion && len(p.probed) == len(p.Endpoints) {
		return
	}
	p.probedVersion = c.fleet.entriesVersion
	p.probed = p.probed[:0]
	for i := range p.Endpoints {
		owner := assign.ProbeOwner(c.fleet.assignMembers, p.Endpoints[i].Name)
		p.probed = append(p.probed, owner == c.fleet.selfAssignID)
	}
}

func wantsProbe(now time.Duration, e *table.Endpoint) bool {
	if e.State != table.EndpointLive || e.Outstanding > 0 {
		return false
	}
	return now-lastSeen(e) >= probeAfter
}

// lastSeen is when something was last learned of the endpoint's load, or asked.
func lastSeen(e *table.Endpoint) time.Duration {
	return max(e.Reported.At, e.ProbedAt, e.AdmittedAt-probeAfter)
}

// ProbeEnd feeds the result of a probe.
func (c *Core) ProbeEnd(now time.Duration, end ProbeEnd, out *Actions) {
	p, ok := c.pools[end.Probe.Pool]
	if !ok {
		return
	}
	if end.Probe.Broken {
		c.brokenProbeEnd(now, end, out)
		return
	}
	i := p.find(end.Probe.Endpoint, end.Probe.Incarnation)
	if i < 0 {
		return
	}
	e := &p.Endpoints[i]
	if end.Probe.Path != "" || end.Probe.Request != 0 {
		c.loadProbeEnd(now, p, e, end, out)
		c.drainPool(now, p, out)
		return
	}
	if over := end.Latency - c.cfg.ProbeCost; over > 0 {
		p.healthProbes.Charge(over)
	}
	if !end.OK {
		health.Observe(now, e, health.Observation{Outcome: health.ConnectFailed})
		return
	}
	if end.Load.Known {
		foreign := max(0, end.Load.InFlight+end.Load.Queued-int(e.Outstanding))
		e.Reported = table.ReportedLoad{Foreign: int32(foreign), At: now, Seen: true}
	}
	c.evidenceFromAnswer(now, e, end.Draining, end.Seen, out)
	c.drainPool(now, p, out)
}

// sweepHealth ejects and readmits endpoints.
func (c *Core) sweepHealth(now time.Duration, out *Actions) {
	for _, p := range c.poolRows {
		if len(p.services) == 0 {
			continue
		}
		c.sweepPool(now, p, out)
	}
}

func (c *Core) sweepPool(now time.Duration, p *pool, out *Actions) {
	c.healthEvents = health.Sweep(now, &p.Pool, c.healthLimits(now, p), c.rng, c.healthEvents[:0])
	for _, ev := range c.healthEvents {
		c.explainEjection(p, ev)
		out.note(c.healthNote(now, p, ev))
	}
	if len(c.healthEvents) > 0 {
		c.drainPool(now, p, out)
	}
}

// healthLimits are those of the profiles for the pool as a whole.
func (c *Core) healthLimits(now time.Duration, p *pool) health.Limits {
	published, _ := c.snapshot.PoolLimits(p.Name, c.closing)
	limits := health.Limits{
		MaxShare: published.EjectMaxShare,
		Base:     published.EjectBase,
		Max:      published.EjectMax,
	}
	if slots := p.Slots(); slots > 0 {
		limits.Busy = 1 - float64(p.capacity(now).Free)/float64(slots)
	}
	return limits
}

func (c *Core) healthNote(now time.Duration, p *pool, ev health.Event) Note {
	n := Note{Subject: "pool " + p.Name, Why: ev.Why}
	if ev.Endpoint >= 0 {
		n.Subject = "endpoint " + p.Endpoints[ev.Endpoint].Name
	}
	switch ev.Kind {
	case health.Ejection:
		c.counters.Ejections++
		n.Action, n.From, n.To = "ejected", "in use", "trials from "+(ev.Until-now).Round(time.Millisecond).String()+" on"
		n.Why += "; cleared by " + ev.Clears
	case health.Readmission:
		c.counters.Readmissions++
		n.Action, n.From, n.To = "readmitted", "ejected", "in use"
	case health.ViewWrong:
		n.Action, n.To = "ejects-nobody", "all endpoints in use"
	case health.ViewRestored:
		n.Action, n.To = "ejects-again", "ejection in force"
	}
	return n
}
