package core

import "time"

// delayedRound is a request that waits outside the queue for its next probe round.
type delayedRound struct {
	id RequestID
	at time.Duration
}

// delayProbeRound starts the next probe round for r after probeRoundGap. The request does not wait
// in the queue, where it would hold up requests that need not wait.
func (c *Core) delayProbeRound(now time.Duration, r *request) {
	c.delayedRounds = append(c.delayedRounds, delayedRound{id: r.arrival.ID, at: now + probeRoundGap})
}

// startDelayedRounds starts the delayed rounds that are due.
func (c *Core) startDelayedRounds(now time.Duration, out *Actions) {
	kept := c.delayedRounds[:0]
	due := c.delayedDue[:0]
	for _, round := range c.delayedRounds {
		if now < round.at {
			kept = append(kept, round)
		} else {
			due = append(due, round.id)
		}
	}
	c.delayedRounds, c.delayedDue = kept, due
	for _, id := range due {
		if r, ok := c.requests[id]; ok && r.phase == phaseProbing && !r.probeRound.active {
			c.startLoadProbes(now, r, false, out)
		}
	}
}
