package core

import (
	"fmt"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/reach"
	"github.com/tealhall/tealhall/internal/core/table"
)

// noteContact records whether an endpoint answered. at is when a connection was refused or reset,
// or when what was not answered had been sent.
func (c *Core) noteContact(now, at time.Duration, p *pool, e *table.Endpoint, answered bool) {
	if answered {
		p.reach.Answered(now)
		return
	}
	p.reach.Failed(now, at, e.Name, p.countLive())
}

// noteProbeContact records what the end of a probe says about whether its endpoint is reached.
func (c *Core) noteProbeContact(now time.Duration, p *pool, e *table.Endpoint, end *ProbeEnd) {
	at := now
	if !end.Refused {
		at = now - end.Latency
	}
	noteDial(now, at, p, e, end.Connected, end.DialFailed)
	c.noteContact(now, at, p, e, end.OK || end.Unhealthy || end.Misdirected)
}

// noteAttemptContact records what the end of an attempt says about whether its endpoint is reached.
// An answer was recorded with its head. A connection that went silent says nothing: a network device
// may have lost its state while new connections work.
func (c *Core) noteAttemptContact(now time.Duration, p *pool, a *attempt, e *table.Endpoint, end End) {
	at := now
	if end.TimedOut || end.DialFailed && now-a.sentAt > loadProbeWait {
		at = a.sentAt
	}
	noteDial(now, at, p, e, end.Connected, end.DialFailed)
	if a.status != 0 || end.Kind == EndCancelled || end.ConnSilent || !end.DialFailed && !end.ConnBroken {
		return
	}
	c.noteContact(now, at, p, e, false)
}

// heardNobody reports whether enough endpoints were probed in the current round of r, and were silent
// for long enough, to conclude that this entry may reach none of the pool.
func (c *Core) heardNobody(r *request) bool {
	return len(r.relayedTo) == 0 && len(r.probeRound.probed) >= min(reach.LostEndpoints, r.pool.countLive()) &&
		!r.pool.reach.HeardSince(min(r.probeRound.began, c.now-reach.SilentAfter))
}

// tickReach handles pools of which this entry began or ceased to reach endpoints, and probes the
// endpoints of those of which it reaches none.
func (c *Core) tickReach(now time.Duration, out *Actions) {
	for _, p := range c.poolRows {
		p.reach.Expire(now)
		if lost := p.reach.Lost(); lost != p.knownLost {
			p.knownLost = lost
			out.note(c.reachNote(now, p))
			if lost {
				c.leaveLostPool(now, p, out)
			}
		}
		if p.knownLost && now >= p.nextReachProbe {
			c.probeLost(now, p, out)
		}
		c.tickDials(now, p, out)
	}
	c.fleet.noEndpoint = c.reachesNoEndpoint(now)
	c.forgetHelpers(now)
}

// noEndpointAfter is how long this entry must have reached no endpoint before it tells the fleet,
// which then directs callers to other entries.
const noEndpointAfter = time.Second

// reachesNoEndpoint reports whether this entry has reached no endpoint of any pool for a while. A
// pool that gets no requests counts if it has not answered since another one was lost.
func (c *Core) reachesNoEndpoint(now time.Duration) bool {
	since := now
	for _, p := range c.poolRows {
		if p.reach.Lost() {
			since = min(since, p.reach.LostAt())
		}
	}
	if now-since < noEndpointAfter {
		return false
	}
	for _, p := range c.poolRows {
		if !p.reach.Lost() && p.reach.HeardSince(since) {
			return false
		}
	}
	return true
}

// reportsNoEndpoint reports whether another entry, or this one, says that it reaches no endpoint.
func (c *Core) reportsNoEndpoint(incarnation uint64) bool {
	if incarnation == c.cfg.Self.Incarnation {
		return c.fleet.noEndpoint
	}
	p := c.fleet.peers[incarnation]
	return p != nil && p.update.NoEndpoint
}

// leavesOutCutEntries reports whether callers are directed only to entries that reach endpoints. If
// most reach none, the few others could not serve all callers.
func (c *Core) leavesOutCutEntries() bool {
	serving, cut := 0, 0
	for i := range c.fleet.entries {
		if e := &c.fleet.entries[i]; c.mayBeNamed(e) && !e.Suspected {
			serving++
			if c.reportsNoEndpoint(e.VM.Incarnation) {
				cut++
			}
		}
	}
	return cut > 0 && 2*cut <= serving
}

func (c *Core) reachNote(now time.Duration, p *pool) Note {
	n := Note{Subject: "pool " + p.Name, Action: "reached", From: "unreachable", To: "reached"}
	if !p.knownLost {
		return n
	}
	n.Action, n.From, n.To = "unreachable", "reached", "relayed to other entries"
	n.Why = fmt.Sprintf("%d of %d endpoints failed to answer and none has answered since", p.reach.Unanswered(), p.countLive())
	if heard := p.reach.HeardAt(); heard > 0 {
		n.Why += "; the last answer came " + (now - heard).Round(time.Millisecond).String() + " ago"
	}
	n.Why += "; check the network paths from this entry, and the endpoints if other entries say the same"
	return n
}

// leaveLostPool relays the requests that wait for an endpoint of a lost pool. An attempt that is
// not written yet is withdrawn, and its end leads to a relayed one. A request that may run twice
// gets a relayed attempt beside one that was written.
func (c *Core) leaveLostPool(now time.Duration, p *pool, out *Actions) {
	for _, id := range c.waitingFor(p) {
		r, ok := c.requests[id]
		switch {
		case !ok:
		case r.phase != phaseActive:
			c.relayLost(now, r, out)
		case !withdrawUnwritten(r, out) && r.mayRunTwice && r.live() == 1 && len(r.relayedTo) == 0 && !r.nested() && !c.isSuspect(now, r):
			c.relayNext(now, r, true, out)
		}
	}
}

// withdrawUnwritten withdraws the attempts of r that no endpoint has seen, and reports whether
// there was one.
func withdrawUnwritten(r *request, out *Actions) (withdrew bool) {
	for i := Attempt(1); i <= r.dispatches; i++ {
		a := &r.attempts[i]
		if !a.live || a.relay || a.forward || a.written {
			continue
		}
		a.withdrawn, withdrew = true, true
		out.addDirective(Directive{ID: r.arrival.ID, Step: StepCancel, Attempt: i})
	}
	return withdrew
}

// probeLost probes the next endpoint of a lost pool.
func (c *Core) probeLost(now time.Duration, p *pool, out *Actions) {
	p.nextReachProbe = now + reach.CheckInterval
	if probe, ok := c.nextReachProbe(now, p); ok {
		p.reach.Tried(now)
		out.Probes = append(out.Probes, probe)
	}
}

// nextReachProbe returns a probe that asks whether the next endpoint of a pool can be reached, unless
// the budget of its kind is used up.
func (c *Core) nextReachProbe(now time.Duration, p *pool) (Probe, bool) {
	for range p.Endpoints {
		p.lastReachProbe = (p.lastReachProbe + 1) % len(p.Endpoints)
		e := &p.Endpoints[p.lastReachProbe]
		if !e.TakesWork() || quota.InBackoff(now, e) {
			continue
		}
		p.earnProbe()
		return reachProbe(p, e.Name, e.Incarnation, e.Address), c.spendProbe(now, p)
	}
	return Probe{}, false
}

// reachProbe returns a probe that asks whether an endpoint can be reached at an address.
func reachProbe(p *pool, name string, incarnation uint64, address string) Probe {
	return Probe{Pool: p.Name, Endpoint: name, Incarnation: incarnation, Address: address, Path: p.probePath, Wait: 4 * loadProbeWait}
}

// earnProbe adds a probe to the budget of a pool that may get no requests, which earn them.
func (p *pool) earnProbe() {
	if p.usesLoadProbes() {
		p.loadProbes.Request(1)
	}
}

// spendProbe takes a probe that is not for a request from the budget of a pool, which may have no
// endpoint in use.
func (c *Core) spendProbe(now time.Duration, p *pool) bool {
	if p.usesLoadProbes() {
		return p.loadProbes.TrySpend(now, max(1, p.countLive()), c.fleet.ownShare)
	}
	return p.healthProbes.TrySpend(now, max(1, p.Slots()))
}
