package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// NextDue returns when Tick next has something to do, not before now plus soonest and not after now
// plus latest. Each tick wakes the process, which on a small VM costs more than most ticks do. An
// event may make something due sooner; the driver asks again after each.
func (c *Core) NextDue(now, soonest, latest time.Duration) time.Duration {
	if c.needsFrequentTicks() {
		return now + soonest
	}
	due := now + latest
	for i := range c.supervised {
		due = min(due, c.supervised[i].at)
	}
	for i := range c.delayedRounds {
		due = min(due, c.delayedRounds[i].at)
	}
	for _, sv := range c.hedging {
		due = min(due, sv.hedges[0].at)
	}
	for _, id := range c.probing {
		if r, ok := c.requests[id]; ok && r.probeRound.active {
			due = min(due, r.probeRound.until)
		}
	}
	return max(due, now+soonest)
}

// needsFrequentTicks reports whether something is under way that has no single due time: a start or a
// stop, requests that wait for room or for another request, pools whose endpoints are looked for, and
// crashes that are looked into.
func (c *Core) needsFrequentTicks() bool {
	if c.state != message.EntryServing || len(c.joined)+len(c.brokenAttempts)+len(c.unspreadCrashes) > 0 {
		return true
	}
	for _, p := range c.poolRows {
		if p.queue.Len() > 0 || p.reach.Lost() || p.knownLost || p.dials.Lost() || p.knownUnconnected {
			return true
		}
	}
	return false
}
