package core

import (
	"net/http"
	"time"

	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
)

// sampleWeight is the weight of a new sample in the smoothed service time and request size.
const sampleWeight = 0.05

// Head processes the head of an endpoint's answer. It appends StepCommit or StepDiscard for the
// attempt.
func (c *Core) Head(now time.Duration, h Head, out *Actions) {
	c.now = now
	r, a := c.attemptOf(h.ID, h.Attempt)
	if r == nil {
		out.addDirective(Directive{ID: h.ID, Step: StepDiscard, Attempt: h.Attempt})
		return
	}
	a.status, a.conn = h.Status, h.Conn
	if a.relay {
		a.helperReason, a.retryAfter = h.Reason, h.RetryAfter
	}
	if !a.toEntry() {
		c.observeHead(now, r, a, h, out)
	}
	if c.useAnswer(now, r, a, h) {
		c.commit(r, h, out)
	} else {
		out.addDirective(Directive{ID: h.ID, Step: StepDiscard, Attempt: h.Attempt})
	}
	if e := r.pool.endpointAt(a.index, a.incarnation); e != nil && !a.toEntry() {
		c.noteAnsweredBy(now, h.AnsweredBy, e.Address, out)
	}
}

// attemptOf returns a running attempt and its request, or nil.
func (c *Core) attemptOf(id RequestID, n Attempt) (*request, *attempt) {
	r, ok := c.requests[id]
	if !ok || n == 0 || n > r.dispatches || !r.attempts[n].live {
		return nil, nil
	}
	return r, &r.attempts[n]
}

// observeHead records what the head of an answer reports about the endpoint.
func (c *Core) observeHead(now time.Duration, r *request, a *attempt, h Head, out *Actions) {
	p := r.pool
	e := p.endpointAt(a.index, a.incarnation)
	if e == nil {
		return
	}
	a.load, a.retryAfter = h.Load, h.RetryAfter
	c.noteContact(now, now, p, e, true)
	if h.Connected {
		p.dials.Answered(now)
	}
	c.confirmCrashes(now, out)
	a.headLatency = now - a.sentAt
	if h.Misdirected {
		e.AvoidUntil = now + misdirectedPause
		return
	}
	if h.Status != http.StatusServiceUnavailable && !h.NotRun {
		quota.NoteAccepted(e, a.sentAt)
	}
	c.noteRetryAfter(now, e, h.RetryAfter)
	if h.Load.Known {
		e.NoteProbed(probedLoadOf(now, h.Load))
	}
	if h.Load.RateLimit > 0 || h.Status < http.StatusInternalServerError && !h.NotRun {
		c.noteReportedLimit(now, p, e, h.Load.RateLimit, out)
	}
	if h.Draining && (h.Incarnation == 0 || h.Incarnation == e.Incarnation) {
		c.noteDraining(now, e, out)
	}
	c.noteIncarnation(now, e, h.Incarnation, out)
}

// noteIncarnation records that an endpoint answered, and which incarnation it reports, 0 for none.
func (c *Core) noteIncarnation(now time.Duration, e *table.Endpoint, incarnation uint64, out *Actions) {
	if changes := c.fleet.members.Answered(now, e.Name, incarnation); len(changes) > 0 {
		c.applyChanges(now, changes, "endpoint "+e.Name, out)
	}
}

// noteDraining records that an endpoint has announced that it is leaving, and notifies the fleet.
func (c *Core) noteDraining(now time.Duration, e *table.Endpoint, out *Actions) {
	if e.State != table.EndpointLeaving {
		c.applyEvidence(now, out, message.Evidence{VM: e.Name, Incarnation: e.Incarnation, Kind: message.EvidenceLeaving})
	}
}

// useAnswer decides whether to pass this answer on to the caller. If it rejects a server error in
// favor of a retry, it spends the budget for that retry.
func (c *Core) useAnswer(now time.Duration, r *request, a *attempt, h Head) bool {
	if a.forward {
		return c.useForwarded(r, h)
	}
	if r.phase != phaseActive || r.committed != 0 {
		return false
	}
	if h.NotRun || h.Unusable {
		return false
	}
	if a.relay {
		c.noteHelped(now, r.pool, a.incarnation)
		return true // the other entry has retried as far as the budgets allow
	}
	if h.Status < http.StatusInternalServerError || !r.mayRunTwice {
		return true
	}
	if r.live() > 1 {
		return false
	}
	if c.outlastsStop(now, r) {
		return true // no other attempt follows
	}
	a.repeatSpent = c.mayRetry(now, r, false, false)
	return !a.repeatSpent
}

// commit passes an attempt's answer on to the caller and cancels the other attempts.
func (c *Core) commit(r *request, h Head, out *Actions) {
	r.committed = h.Attempt
	outcome := OutcomeDone
	if !r.mayRunTwice && ambiguousStatus(h.Status) {
		outcome = OutcomeUnknown
	}
	out.addDirective(Directive{ID: h.ID, Step: StepCommit, Attempt: h.Attempt, Outcome: outcome})
	c.cancelOthers(r, h.Attempt, out)
}

// ambiguousStatus reports whether an answer with this status does not show if the request was run:
// it may come from a proxy in front of the application or from an application that gave up halfway.
func ambiguousStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// End processes the end of an attempt.
func (c *Core) End(now time.Duration, e End, out *Actions) {
	c.now = now
	r, a := c.attemptOf(e.ID, e.Attempt)
	if r == nil {
		return
	}
	a.live, a.end, a.cause, a.took = false, e.Kind, e.Cause, now-a.sentAt
	if e.Conn.Number != 0 {
		a.conn = e.Conn
	}
	r.replayable = e.Replayable
	if !a.toEntry() {
		c.settleAttempt(now, r, a, e, out)
	}
	if r.phase == phaseFinished {
		c.forgetIfEnded(r)
	} else {
		c.continueAfterEnd(now, r, a, e, out)
	}
	if !a.forward {
		c.drainPool(now, r.pool, out)
	}
}

// continueAfterEnd decides how an unfinished request continues after one of its attempts ended.
func (c *Core) continueAfterEnd(now time.Duration, r *request, a *attempt, e End, out *Actions) {
	if a.forward {
		c.forwardEnded(now, r, e, out)
		return
	}
	if r.committed == e.Attempt {
		c.finishCommitted(now, r, a, e, out)
		return
	}
	if e.Kind != EndNotWritten && e.Kind != EndNotRun {
		r.attemptsOutcome = OutcomeUnknown
	}
	if r.committed != 0 || r.live() > 0 {
		return
	}
	c.retryOrFail(now, r, a, e, out)
}

// finishCommitted ends a request whose answer was being passed on to the caller.
func (c *Core) finishCommitted(now time.Duration, r *request, a *attempt, e End, out *Actions) {
	r.status, r.outcome = a.status, OutcomeUnknown
	if e.Kind == EndComplete {
		r.service.longest.observe(now, now-a.sentAt)
	}
	if e.Kind == EndComplete && !(ambiguousStatus(a.status) && !r.mayRunTwice) {
		c.counters.Done++
		r.outcome = OutcomeDone
		if a.status < http.StatusInternalServerError {
			r.service.retry.Earn()
			r.service.idleRetry.Earn()
			r.service.silentRetry.Earn()
		}
		c.settleKey(now, r, OutcomeDone, e.Answer, out)
	} else {
		c.counters.Unknown++
		c.settleKey(now, r, OutcomeUnknown, nil, out)
	}
	c.finish(r, out)
}
