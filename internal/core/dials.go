package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/reach"
	"github.com/tealhall/tealhall/internal/core/table"
)

// The open connections of an entry to the endpoints of a pool may live on while new ones are refused
// or hang, for example when a network device lets only known connections pass. The endpoints then
// answer, so the pool is not lost, but the entry can serve only as many requests at a time as it has
// connections open. The pool is then unconnected: requests and load probes use open connections
// only, and a request that finds none with room is relayed.

// noteDial records the end of an attempt to open a connection to an endpoint, which began at the
// time at.
func noteDial(now, at time.Duration, p *pool, e *table.Endpoint, connected, failed bool) {
	switch {
	case connected:
		p.dials.Answered(now)
	case failed:
		p.dials.Failed(now, at, e.Name, p.countLive())
	}
}

// relayUnconnected relays r if the pool is unconnected and r found no open connection to an endpoint
// with room. A request that another entry relayed is refused, so that the other one asks the next
// helper. It returns false if r is to wait here.
func (c *Core) relayUnconnected(now time.Duration, r *request, out *Actions) bool {
	if !r.pool.dials.Lost() {
		return false
	}
	if r.arrival.Relayed && r.dispatches == Attempt(r.unsent) {
		c.fail(now, r, ReasonUnreachable, out)
		return true
	}
	return c.relayNext(now, r, false, out)
}

// tickDials handles the change of a pool between connected and unconnected, and probes whether new
// connections can be opened again.
func (c *Core) tickDials(now time.Duration, p *pool, out *Actions) {
	p.dials.Expire(now)
	if unconnected := p.dials.Lost(); unconnected != p.knownUnconnected {
		p.knownUnconnected = unconnected
		out.note(c.dialsNote(p))
		if unconnected && !p.reach.Lost() {
			c.leaveUnconnectedPool(now, p, out)
		}
	}
	if p.knownUnconnected && !p.reach.Lost() && now >= p.nextDialProbe {
		c.probeDial(now, p, out)
	}
}

func (c *Core) dialsNote(p *pool) Note {
	n := Note{Subject: "pool " + p.Name, Action: "connected", From: "open connections only", To: "new connections"}
	if !p.knownUnconnected {
		return n
	}
	n.Action, n.From, n.To = "unconnected", n.To, n.From
	n.Why = fmt.Sprintf("connections to %d of %d endpoints could not be opened and none was opened since; what finds no open connection is relayed to other entries; check the network paths from this entry to the endpoints",
		p.dials.Unanswered(), p.countLive())
	return n
}

// leaveUnconnectedPool relays the requests that wait for an endpoint, and withdraws the attempts that
// wait for a new connection.
func (c *Core) leaveUnconnectedPool(now time.Duration, p *pool, out *Actions) {
	for _, id := range c.waitingFor(p) {
		r, ok := c.requests[id]
		switch {
		case !ok:
		case r.phase == phaseQueued:
			c.relayUnconnected(now, r, out)
		case r.phase == phaseActive:
			withdrawUnwritten(r, out)
		}
	}
}

// waitingFor returns the requests of a pool that have no answer yet, in the order of their arrival.
func (c *Core) waitingFor(p *pool) (ids []RequestID) {
	for id, r := range c.requests {
		if r.pool == p && r.committed == 0 && (r.phase == phaseQueued || r.phase == phaseProbing || r.phase == phaseActive) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// probeDial probes the next endpoint of an unconnected pool on a new connection.
func (c *Core) probeDial(now time.Duration, p *pool, out *Actions) {
	p.nextDialProbe = now + reach.CheckInterval
	if probe, ok := c.nextReachProbe(now, p); ok {
		probe.NewConn = true
		p.dials.Tried(now)
		out.Probes = append(out.Probes, probe)
	}
}
