package core

import (
	"time"

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
	c.noteContact(now, at, p, e, end.OK || end.Unhealthy || end.Misdirected)
}

// noteAttemptContact records what the end of an attempt says about whether its endpoint is reached.
// An answer was recorded with its head. A connection that went silent says nothing: a network device
// may have lost its state while new connections work.
func (c *Core) noteAttemptContact(now time.Duration, p *pool, a *attempt, e *table.Endpoint, end End) {
	if a.status != 0 || end.Kind == EndCancelled || end.ConnSilent || !end.DialFailed && !end.ConnBroken {
		return
	}
	at := now
	if end.TimedOut || end.DialFailed && now-a.sentAt > loadProbeWait {
		at = a.sentAt
	}
	c.noteContact(now, at, p, e, false)
}
