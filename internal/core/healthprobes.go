package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// probeAfter is the age that the last load report or probe of an endpoint must have before a
	// health probe is worth its cost. Busy endpoints do not reach that age, since their answers to
	// requests report their load.
	probeAfter = 2 * time.Second
	// maxProbesPerTick bounds the health probes that one tick starts.
	maxProbesPerTick = 4
)

// startHealthProbes probes, within the probe budget, endpoints whose load has not been seen for
// probeAfter. Answers to requests count as well, so a busy endpoint is not probed. Each endpoint is
// assigned to one entry. Where the entries' views differ, several of them may probe it; the
// budget still holds, since each entry spends only its fixed part.
func (c *Core) startHealthProbes(now time.Duration, out *Actions) {
	started := 0
	for _, p := range c.poolRows {
		if p.usesLoadProbes() {
			continue
		}
		c.assignProbes(p)
		for started < maxProbesPerTick {
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

// longestUnseen returns the endpoint due for a probe that has gone unseen for the longest time, or
// nil. Probing in table order could spend the whole budget on the first rows again and again, so
// that nothing would be known of the last ones.
func (p *pool) longestUnseen(now time.Duration) *table.Endpoint {
	var found *table.Endpoint
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if p.probeAssigned[i] && wantsProbe(now, e) && (found == nil || lastSeen(e) < lastSeen(found)) {
			found = e
		}
	}
	return found
}

// assignProbes computes which endpoints of a pool this entry probes. It runs once after each
// membership change, since it hashes each pair of entry and endpoint.
func (c *Core) assignProbes(p *pool) {
	if p.probeAssignedVersion == c.fleet.entriesVersion && len(p.probeAssigned) == len(p.Endpoints) {
		return
	}
	p.probeAssignedVersion = c.fleet.entriesVersion
	p.probeAssigned = p.probeAssigned[:0]
	for i := range p.Endpoints {
		owner := assign.ProbeOwner(c.fleet.assignMembers, p.Endpoints[i].Name)
		p.probeAssigned = append(p.probeAssigned, owner == c.fleet.selfAssignID)
	}
}

func wantsProbe(now time.Duration, e *table.Endpoint) bool {
	if e.State != table.EndpointLive || e.Outstanding > 0 || quota.InBackoff(now, e) {
		return false
	}
	return now-lastSeen(e) >= probeAfter
}

// lastSeen returns when the endpoint's load was last seen or a probe was last sent.
func lastSeen(e *table.Endpoint) time.Duration {
	return max(e.Reported.At, e.ProbedAt, e.AdmittedAt-probeAfter)
}

// ProbeEnd processes the result of a probe.
func (c *Core) ProbeEnd(now time.Duration, end ProbeEnd, out *Actions) {
	p, ok := c.pools[end.Probe.Pool]
	if !ok {
		return
	}
	if !end.NoOpenConn {
		c.observeProbe(now, p, &end, out)
	}
	c.noteAnsweredBy(now, end.answeredBy(), end.Probe.Address, out)
	if end.Probe.CrashProbe {
		c.crashProbeEnd(now, end, out)
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
		health.Observe(now, &p.Pool, i, health.Observation{Outcome: health.ConnectFailed})
		return
	}
	if end.Load.Known {
		foreign := max(0, end.Load.InFlight+end.Load.Queued-int(e.Outstanding))
		e.Reported = table.ReportedLoad{Foreign: int32(foreign), At: now, Seen: true}
	}
	c.noteIncarnation(now, e, end.Incarnation, out)
	c.drainPool(now, p, out)
}

// observeProbe records what the answer to a probe of any kind asks of this entry.
func (c *Core) observeProbe(now time.Duration, p *pool, end *ProbeEnd, out *Actions) {
	i := p.find(end.Probe.Endpoint, end.Probe.Incarnation)
	if i >= 0 {
		c.noteProbeContact(now, p, &p.Endpoints[i], end)
		c.confirmCrashes(now, out)
	}
	otherProcess := end.Misdirected || end.Incarnation != 0 && end.Incarnation != end.Probe.Incarnation
	if i < 0 || otherProcess {
		return
	}
	c.noteRetryAfter(now, &p.Endpoints[i], end.RetryAfter)
	if end.Draining {
		c.noteDraining(now, &p.Endpoints[i], out)
	}
}

// sweepHealth ejects and readmits endpoints.
func (c *Core) sweepHealth(now time.Duration, out *Actions) {
	for _, p := range c.poolRows {
		if len(p.services) > 0 && (p.HasActive() || p.ViewWrong) {
			c.sweepPool(now, p, out)
		}
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

// healthLimits returns the ejection limits of the pool as a whole, taken from the profiles.
func (c *Core) healthLimits(now time.Duration, p *pool) health.Limits {
	published, _ := c.snapshot.PoolLimits(p.Name, c.closing)
	limits := health.Limits{
		MaxShare: published.EjectMaxShare,
		Base:     published.EjectBase,
		Max:      published.EjectMax,
	}
	if !health.ComparesLatency(&p.Pool) {
		return limits // the utilization matters for slow endpoints only
	}
	if slots := p.Slots(); slots > 0 {
		limits.Utilization = 1 - float64(p.capacity(now).Free)/float64(slots)
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
