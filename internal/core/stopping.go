package core

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// A planned stop cuts off the requests that still run when its time is over. A request that would
// probably still run then is refused while no endpoint has it: its caller can use another entry.

const (
	// longestWindow is how long the longest attempt of a service is remembered at least.
	longestWindow = 30 * time.Second
	// longestMargin allows an attempt to take longer than any recent one.
	longestMargin = 1.25
)

// longestAttempt is the longest duration of the recent attempts of a service.
type longestAttempt struct {
	current, previous time.Duration
	// since is when the current window began.
	since time.Duration
}

func (l *longestAttempt) observe(now, took time.Duration) {
	if now-l.since >= longestWindow {
		*l = longestAttempt{previous: l.current, since: now}
	}
	l.current = max(l.current, took)
}

// duration returns the longest duration, or 0 if no attempt was observed.
func (l *longestAttempt) duration() time.Duration { return max(l.current, l.previous) }

// SetCutOff sets the time at which the stop of this entry cuts off the requests that still run.
func (c *Core) SetCutOff(at time.Duration) { c.cutOffAt = at }

// Outlasts reports whether a request that arrives now, and whose caller waits until the deadline,
// would probably still run when the stop of this entry cuts off requests. An attempt counts as at
// least as long as least.
func (c *Core) Outlasts(now time.Duration, a Admission, deadline, least time.Duration) bool {
	return a.row > 0 && c.outlasts(now, c.serviceRows[a.row-1], deadline, least)
}

// outlastsStop reports whether r, sent now, would probably still run when the stop of this entry
// cuts off requests.
func (c *Core) outlastsStop(now time.Duration, r *request) bool {
	return c.outlasts(now+r.arrival.BodyRemaining, r.service, r.deadline, 0)
}

// outlasts reports whether an attempt whose request is complete at a time, and which then takes at
// least as long as least, may still run at the cut-off. It ends by the deadline. For a service without
// recent attempts only the deadline is known.
func (c *Core) outlasts(complete time.Duration, sv *service, deadline, least time.Duration) bool {
	if c.cutOffAt == 0 || deadline <= c.cutOffAt {
		return false
	}
	longest := sv.longest.duration()
	return longest == 0 || complete+max(least, time.Duration(longestMargin*float64(longest))) > c.cutOffAt
}

// refuseOutlasting refuses r if it would outlast the stop of this entry. It reports whether it did.
func (c *Core) refuseOutlasting(now time.Duration, r *request, out *Actions) bool {
	if !c.outlastsStop(now, r) {
		return false
	}
	c.fail(now, r, ReasonStopping, out)
	return true
}

// tickStop refuses the requests that have waited for an endpoint until they would outlast the stop.
func (c *Core) tickStop(now time.Duration, out *Actions) {
	if c.cutOffAt == 0 || c.state == message.EntryStopped {
		return
	}
	var waiting []RequestID
	for id, r := range c.requests {
		if r.phase == phaseQueued || r.phase == phaseProbing {
			waiting = append(waiting, id)
		}
	}
	slices.Sort(waiting)
	for _, id := range waiting {
		if r, ok := c.requests[id]; ok {
			c.refuseOutlasting(now, r, out)
		}
	}
}
