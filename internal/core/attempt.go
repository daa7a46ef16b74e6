package core

import (
	"net/http"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
)

// serviceWeight is the weight of a new sample in the smoothed service time.
const serviceWeight = 0.05

// Head feeds the head of an endpoint's answer. The core answers with
// StepCommit or StepDiscard for the attempt.
func (c *Core) Head(now time.Duration, h Head, out *Actions) {
	c.now = now
	r, a := c.attemptOf(h.ID, h.Attempt)
	if r == nil {
		out.request(Directive{ID: h.ID, Step: StepDiscard, Attempt: h.Attempt})
		return
	}
	a.status = h.Status
	if !a.forward {
		c.observeHead(now, r, a, h, out)
	}
	if c.useAnswer(now, r, a, h) {
		c.commit(r, h, out)
		return
	}
	out.request(Directive{ID: h.ID, Step: StepDiscard, Attempt: h.Attempt})
}

// attemptOf returns the row of a live attempt, or nil.
func (c *Core) attemptOf(id RequestID, n Attempt) (*request, *attempt) {
	r, ok := c.requests[id]
	if !ok || n == 0 || n > r.dispatches || !r.attempts[n].live {
		return nil, nil
	}
	return r, &r.attempts[n]
}

// observeHead learns from an answer what it says of the endpoint.
func (c *Core) observeHead(now time.Duration, r *request, a *attempt, h Head, out *Actions) {
	p := r.pool
	e := p.endpointAt(a.index, a.incarnation)
	if e == nil {
		return
	}
	a.load = h.Load
	a.headAfter = now - a.at
	if h.Misdirected {
		e.AvoidUntil = now + misdirectedPause
		return
	}
	if h.Load.Known {
		e.See(lookOf(now, h.Load))
	}
	c.claimFromAnswer(now, e, h.Draining, h.Incarnation, out)
}

// claimFromAnswer turns what an endpoint says of itself into evidence.
func (c *Core) claimFromAnswer(now time.Duration, e *table.Endpoint, draining bool, incarnation uint64, out *Actions) {
	name, known := e.Name, e.Incarnation
	if changes := c.fleet.members.Answered(now, name, incarnation); len(changes) > 0 {
		c.applyChanges(now, changes, "endpoint "+name, out)
	}
	if draining && (incarnation == 0 || incarnation == known) && e.State == table.EndpointLive {
		c.claim(now, message.Evidence{VM: name, Incarnation: known, Kind: message.EvidenceLeaving}, out)
	}
}

// useAnswer decides whether the caller gets this answer.
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
	if h.Status < http.StatusInternalServerError || !r.harmless {
		return true
	}
	if r.live() > 1 {
		return false
	}
	a.paid = c.mayRetry(now, r, false)
	return !a.paid
}

// commit makes an attempt's answer the caller's answer.
func (c *Core) commit(r *request, h Head, out *Actions) {
	r.committed = h.Attempt
	outcome := OutcomeDone
	if !r.harmless && doubtful(h.Status) {
		outcome = OutcomeUnknown
	}
	out.request(Directive{ID: h.ID, Step: StepCommit, Attempt: h.Attempt, Outcome: outcome})
	c.cancelOthers(r, h.Attempt, out)
}

// doubtful says that an answer of this status does not tell whether the
// request was run: it may come from a machine in front of the application or
// from an application that gave up half way.
func doubtful(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// End feeds the end of an attempt.
func (c *Core) End(now time.Duration, e End, out *Actions) {
	c.now = now
	r, a := c.attemptOf(e.ID, e.Attempt)
	if r == nil {
		return
	}
	a.live, a.end, a.cause, a.took = false, e.Kind, e.Cause, now-a.at
	r.replayable = e.Replayable
	if !a.forward {
		c.settleAttempt(now, r, a, e, out)
	}
	if r.phase == phaseFinished {
		c.forgetIfEnded(r)
	} else {
		c.afterEnd(now, r, a, e, out)
	}
	if !a.forward {
		c.drainPool(now, r.pool, out)
	}
}

// settleAttempt returns the slot and tells the health system.
func (c *Core) settleAttempt(now time.Duration, r *request, a *attempt, end End, out *Actions) {
	p := r.pool
	r.service.held--
	e := p.endpointAt(a.index, a.incarnation)
	if e == nil {
		return
	}
	e.Outstanding--
	p.lookAgain = now // a slot may be free
	if o, ok := healthOutcome(a, end); ok {
		c.noteEnd(now, r, e, o, end)
	}
	p.picker.Answered(now, &p.Pool, a.index, observationOf(now, a, e, end))
	if end.BodyFailed || end.Kind == EndNotWritten && !end.DialFailed {
		return
	}
	if end.ConnSilent {
		out.SuspectAddresses = append(out.SuspectAddresses, e.Address)
	}
	if o, ok := healthOutcome(a, end); ok && !refusedBusy(a, end) {
		health.Observe(now, e, health.Observation{
			Outcome:  o,
			Sent:     a.at,
			Latency:  a.latency(now),
			Expected: r.service.typical.Latency(),
			Queued:   a.load.Queued,
		})
	}
	if end.Kind == EndComplete && a.status < http.StatusInternalServerError {
		r.service.typical.Observe(a.latency(now))
		if a.alone {
			r.service.work.observe(a.latency(now))
		}
		if a.fills {
			p.noteSharing(a.latency(now), r.service.work.typical())
		}
		p.noteServiceTime(now - a.at)
	}
}

// noteEnd takes in for the choice by looks how an attempt ended.
func (c *Core) noteEnd(now time.Duration, r *request, e *table.Endpoint, o health.Outcome, end End) {
	failed := o != health.Answered && o != health.RefusedNotRun && o != health.ConnSilent
	noteOutcome(now, e, failed)
	if o == health.ConnectFailed || o == health.RefusedNotRun {
		e.AvoidUntil = max(e.AvoidUntil, now+unwellPause)
	}
	if end.Kind == EndComplete {
		r.service.noteSize(end.Bytes)
	}
}

// observationOf is what the choice policy learns from an attempt. An endpoint may
// report fewer slots than the platform lists and never more: a wrong report
// would draw the pool's traffic, and raise the watching budget, which is a share
// of the slots.
//
// A refusal that was asked for is no failure. Its status is 503 like that of a
// failing endpoint, and the policy leaves those alone for up to a second: under
// load most of the pool would be passed over while its slots come free.
func observationOf(now time.Duration, a *attempt, e *table.Endpoint, end End) balance.Observation {
	return balance.Observation{
		Latency:  a.latency(now),
		HasLoad:  a.load.Known,
		InFlight: a.load.InFlight,
		Queued:   a.load.Queued,
		Slots:    min(a.load.Slots, int(allowedSlots(now, e))),
		Refused:  end.Kind == EndNotRun,
		Failed:   unusable(a, end) && !refusedBusy(a, end),
	}
}

// unusable says that an attempt brought no answer of use.
func unusable(a *attempt, end End) bool {
	switch end.Kind {
	case EndLost, EndTruncated, EndNotWritten:
		return true
	}
	return a.status >= http.StatusInternalServerError
}

// refusedBusy says that an endpoint refused what it was asked to refuse, and
// was as busy as that takes.
func refusedBusy(a *attempt, end End) bool {
	return refusedIdle(a, end) && a.load.busy()
}

// refusedIdle says that an endpoint did what it was asked: it refused a request
// for which it had no idle slot.
func refusedIdle(a *attempt, end End) bool {
	return a.idleOnly && end.Kind == EndNotRun
}

// busy says that no slot is idle by an endpoint's own report, or that there is
// none. An endpoint that turns everything away reports idle slots: its refusals
// must count although it was asked for an idle slot only, or it would never be
// ejected and each request would ask it first.
func (l Load) busy() bool { return !l.Known || l.InFlight+l.Queued >= l.Slots }

// latency is the time to the head of the answer, or to the failure. The time
// that a caller takes to receive an answer must not count: a slow caller would
// make its endpoint look slow.
func (a *attempt) latency(now time.Duration) time.Duration {
	if a.headAfter > 0 {
		return a.headAfter
	}
	return now - a.at
}

func (p *pool) noteServiceTime(took time.Duration) {
	if p.serviceNanos == 0 {
		p.serviceNanos = float64(took)
		return
	}
	p.serviceNanos += serviceWeight * (float64(took) - p.serviceNanos)
}

// healthOutcome says what an attempt's end tells of the endpoint, if anything.
func healthOutcome(a *attempt, end End) (health.Outcome, bool) {
	switch end.Kind {
	case EndComplete, EndDiscarded:
		if a.status >= http.StatusInternalServerError {
			return health.AnsweredError, true
		}
		return health.Answered, true
	case EndNotRun:
		return health.RefusedNotRun, true
	case EndNotWritten:
		return health.ConnectFailed, true
	case EndTruncated:
		return health.Broken, true
	case EndLost:
		return lostOutcome(end), true
	default:
		return 0, false
	}
}

func lostOutcome(end End) health.Outcome {
	switch {
	case end.ConnSilent:
		return health.ConnSilent
	case end.TimedOut:
		return health.TimedOut
	default:
		return health.Broken
	}
}

// afterEnd decides how an unfinished request goes on.
func (c *Core) afterEnd(now time.Duration, r *request, a *attempt, e End, out *Actions) {
	if a.forward {
		c.afterForward(now, r, e, out)
		return
	}
	if r.committed == e.Attempt {
		c.afterCommitted(now, r, a, e, out)
		return
	}
	if e.Kind != EndNotWritten && e.Kind != EndNotRun {
		r.weakest = OutcomeUnknown
	}
	if r.committed != 0 || r.live() > 0 {
		return
	}
	c.retryOrFail(now, r, a, e, out)
}

// afterCommitted ends a request whose answer was being passed on.
func (c *Core) afterCommitted(now time.Duration, r *request, a *attempt, e End, out *Actions) {
	r.status, r.outcome = a.status, OutcomeUnknown
	if e.Kind == EndComplete && !(doubtful(a.status) && !r.harmless) {
		c.counters.Done++
		r.outcome = OutcomeDone
		if a.status < http.StatusInternalServerError {
			r.service.retry.Earn()
			r.service.idle.Earn()
		}
		c.settleKey(now, r, OutcomeDone, e.Answer, out)
	} else {
		c.counters.Unknown++
		c.settleKey(now, r, OutcomeUnknown, nil, out)
	}
	c.finish(r, out)
}

// retryOrFail tries again where that is allowed, else answers the caller.
func (c *Core) retryOrFail(now time.Duration, r *request, a *attempt, e End, out *Actions) {
	provablyNotRun := e.Kind == EndNotWritten || e.Kind == EndNotRun
	r.lastReason = failureReason(e)
	if e.Kind == EndNotRun {
		c.counters.EndpointNotRun++
	}
	if now >= r.deadline {
		c.fail(now, r, ReasonDeadline, out)
		return
	}
	if e.BodyFailed || !provablyNotRun && !r.harmless {
		c.fail(now, r, r.lastReason, out)
		return
	}
	if refusedIdle(a, e) && r.replayable {
		r.idleRefusals++
		r.service.idle.TrySpend(now)
		c.placeAgain(now, r, out)
		return
	}
	if unsent(r, e) {
		r.unsent++
		c.placeAgain(now, r, out)
		return
	}
	if !a.paid && !c.mayRetry(now, r, provablyNotRun) {
		c.fail(now, r, r.lastReason, out)
		return
	}
	c.counters.Retried++
	c.placeAgain(now, r, out)
}

// unsent says that an attempt never left this entry: its endpoint left meanwhile, or all
// connections to it were in use. Another one needs no budget, since no endpoint has seen
// the first. Guards against an entry that is short of processor time, whose connections
// come free late, and that would refuse requests while endpoints wait for work.
func unsent(r *request, e End) bool {
	return e.Kind == EndNotWritten && !e.DialFailed && !e.BodyFailed && r.replayable && int(r.dispatches) < MaxAttempts
}

// placeAgain dispatches a request anew or lets it wait.
func (c *Core) placeAgain(now time.Duration, r *request, out *Actions) {
	if c.tryDispatch(now, r, false, out) {
		return
	}
	c.enqueue(now, r, out)
}

func failureReason(e End) Reason {
	switch {
	case e.BodyFailed:
		return ReasonBodyBroken
	case e.Kind == EndNotRun:
		return ReasonEndpointsRefuse
	case e.Kind == EndNotWritten:
		return ReasonNoEndpoint
	case e.TimedOut:
		return ReasonDeadline
	default:
		return ReasonEndpointLost
	}
}

// mayRetry says whether one more attempt is allowed, and pays for it.
//
// Calls of services nest up to maxDepth deep. If each level tried again, one
// failing endpoint at the bottom would see the attempts of all levels
// multiplied. So a failure that may have run is tried again only for the
// outermost call, and not at all below a call that is itself a second try. The
// same holds for hedges.
func (c *Core) mayRetry(now time.Duration, r *request, provablyNotRun bool) bool {
	tries := int(r.dispatches) - r.idleRefusals - r.unsent
	if tries >= r.policy.MaxAttempts || int(r.dispatches) >= MaxAttempts {
		return false
	}
	if !r.replayable || now >= r.deadline {
		return false
	}
	if r.nested() && !provablyNotRun {
		return false
	}
	return c.payRepeat(now, r)
}

// payRepeat takes one more attempt from the budget that bounds repeats. Where the fleet
// has a bound of its own, it counts alone: it follows the requests, while the service's
// budget is earned by successes, of which a process that has just started has none, so
// that its first requests to a failing endpoint would fail with it.
func (c *Core) payRepeat(now time.Duration, r *request) bool {
	paid := false
	switch {
	case r.policy.RetryBudget == 0:
	case r.pool.repeats != nil:
		paid = r.pool.repeats.TrySpend(now)
	default:
		paid = r.service.retry.TrySpend(now)
	}
	if !paid {
		c.counters.RetriesDenied++
	}
	return paid
}

// mayPayRepeat reports whether payRepeat would, without spending anything.
func (c *Core) mayPayRepeat(now time.Duration, r *request) bool {
	if r.pool.repeats != nil {
		return r.policy.RetryBudget > 0 && r.pool.repeats.May(now)
	}
	return r.service.retry.Level() >= 1
}

// nested says that the request is part of another one, which may itself be
// tried again.
func (r *request) nested() bool {
	return r.arrival.Depth > 0 || r.arrival.CallerAttempt > 1
}
