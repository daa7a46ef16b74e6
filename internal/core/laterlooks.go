package core

import "time"

// laterLook is a request that waits for its next round of looks beside the queue.
type laterLook struct {
	id RequestID
	at time.Duration
}

// lookLater begins the next round of looks for r after a while. It does not wait in the
// queue, where it would keep others back that need not wait.
func (c *Core) lookLater(now time.Duration, r *request) {
	c.later = append(c.later, laterLook{id: r.arrival.ID, at: now + lookGap})
}

// looksDue begins the rounds of looks that are due.
func (c *Core) looksDue(now time.Duration, out *Actions) {
	kept := c.later[:0]
	due := c.laterDue[:0]
	for _, l := range c.later {
		if now < l.at {
			kept = append(kept, l)
		} else {
			due = append(due, l.id)
		}
	}
	c.later, c.laterDue = kept, due
	for _, id := range due {
		if r, ok := c.requests[id]; ok && r.phase == phaseLooking && !r.look.active {
			c.startLooks(now, r, false, out)
		}
	}
}
