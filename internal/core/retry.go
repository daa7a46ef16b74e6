package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/budget"
)

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
	if c.isQuarantined(now, r) {
		c.fail(now, r, ReasonQuarantined, out)
		return
	}
	if e.BodyFailed || !provablyNotRun && !r.mayRunTwice || e.Broke && c.isSuspect(now, r) {
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
	if refusedLeaving(r, a, e) {
		c.counters.Retried++
		c.placeAgain(now, r, out)
		return
	}
	if !a.repeatSpent && !c.mayRetry(now, r, provablyNotRun, e.ConnSilent) {
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

// refusedLeaving says that an endpoint refused an attempt because it leaves. It gets no further
// requests, so at most those that were on their way are sent again, and no budget is needed to
// bound them. Guards against an entry that has just started, whose budget is empty, and that
// would refuse its first requests while other endpoints are idle. Where the fleet bounds
// repeats, that bound counts all of them.
func refusedLeaving(r *request, a *attempt, e End) bool {
	return e.Kind == EndNotRun && r.pool.repeats == nil && r.replayable &&
		!r.pool.takesWork(a) && int(r.dispatches) < MaxAttempts
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
func (c *Core) mayRetry(now time.Duration, r *request, provablyNotRun, connSilent bool) bool {
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
	if connSilent && r.pool.repeats == nil && r.service.silent.TrySpend(now) {
		return true
	}
	return c.spendRepeat(now, r)
}

// spendRepeat takes one more attempt from the budget that bounds repeats. Where the fleet
// has a bound of its own, it counts alone: it follows the requests, while the service's
// budget is earned by successes, of which a process that has just started has none, so
// that its first requests to a failing endpoint would fail with it.
func (c *Core) spendRepeat(now time.Duration, r *request) bool {
	paid := false
	switch {
	case r.policy.RetryBudget == 0:
	case r.pool.repeats != nil:
		paid = r.pool.repeats.TrySpend(now, r.repeatRank(now))
	default:
		paid = r.service.retry.TrySpend(now)
	}
	if !paid {
		c.counters.RetriesDenied++
	}
	return paid
}

// repeatRank is the rank of a request where the fleet's repeats are scarce: by its priority,
// and behind all others what can't be in time any more.
func (r *request) repeatRank(now time.Duration) int {
	if r.policy.Objective > 0 && now > r.latestInTime() {
		return budget.Ranks - 1
	}
	return budget.Ranks - 2 - r.policy.Priority
}

// maySpendRepeat reports whether spendRepeat would, without spending anything.
func (c *Core) maySpendRepeat(now time.Duration, r *request) bool {
	if r.pool.repeats != nil {
		return r.policy.RetryBudget > 0 && r.pool.repeats.MaySpend(now, r.repeatRank(now))
	}
	return r.service.retry.Level() >= 1
}

// nested says that the request is part of another one, which may itself be
// tried again.
func (r *request) nested() bool {
	return r.arrival.Depth > 0 || r.arrival.CallerAttempt > 1
}
