package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/budget"
)

// retryOrFail sends another attempt if that is allowed, and otherwise answers the caller.
func (c *Core) retryOrFail(now time.Duration, r *request, a *attempt, e End, out *Actions) {
	if a.relay && now < r.deadline && !c.isQuarantined(now, r) {
		c.relayEnded(now, r, a, e, out)
		return
	}
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
	if e.BodyFailed || !provablyNotRun && !r.mayRunTwice || e.ConnBroken && c.isSuspect(now, r) {
		c.fail(now, r, r.lastReason, out)
		return
	}
	if c.unservable(now, r) == ReasonBackoff {
		c.fail(now, r, ReasonBackoff, out)
		return
	}
	if refusedIdleOnly(a, e) && r.replayable && r.pool.repeats.TrySpend(now, r.repeatRank(now)) {
		r.idleRefusals++
		r.service.idleRetry.TrySpend(now)
		c.placeAgain(now, r, out)
		return
	}
	if neverSent(r, e) {
		r.unsent++
		if e.NoOpenConn && c.relayUnconnected(now, r, out) {
			return
		}
		c.placeAgain(now, r, out)
		return
	}
	if notConnected(e) {
		if r.dialFailures++; r.dialFailures >= maxDialFailures && c.relayNext(now, r, false, out) {
			return
		}
	}
	if refusedWhileLeaving(r, a, e) {
		c.counters.Retried++
		c.placeAgain(now, r, out)
		return
	}
	if !a.repeatSpent && !c.mayRetry(now, r, provablyNotRun, e.ConnSilent) {
		if notConnected(e) && c.relayNext(now, r, false, out) {
			return
		}
		c.fail(now, r, r.lastReason, out)
		return
	}
	c.counters.Retried++
	c.placeAgain(now, r, out)
}

// neverSent reports whether an attempt never left this entry: its endpoint left meanwhile, or all
// connections to it were in use. The next attempt needs no budget, since no endpoint has seen this
// one. This guards against an entry that is short of processor time: its connections become free
// late, and it would refuse requests while endpoints are idle.
func neverSent(r *request, e End) bool {
	return e.Kind == EndNotWritten && !e.DialFailed && !e.BodyFailed && r.replayable && int(r.dispatches) < MaxAttempts
}

// notConnected reports whether no connection could be opened for an attempt, so that no endpoint
// has seen it. Another entry may reach an endpoint where this one does not.
func notConnected(e End) bool {
	return e.Kind == EndNotWritten && e.DialFailed && !e.BodyFailed
}

// refusedWhileLeaving reports whether an endpoint refused an attempt because it is leaving. The
// endpoint gets no further requests, so at most those already under way are sent again, and no
// budget is needed to bound them. This guards against an entry that has just started: its budget is
// empty, and it would refuse its first requests while other endpoints are idle. If the fleet bounds
// repeats, that bound counts all of them.
func refusedWhileLeaving(r *request, a *attempt, e End) bool {
	return e.Kind == EndNotRun && r.pool.repeats == nil && r.replayable &&
		!r.pool.takesWork(a) && int(r.dispatches) < MaxAttempts
}

// placeAgain dispatches a request again or puts it into the queue.
func (c *Core) placeAgain(now time.Duration, r *request, out *Actions) {
	if c.refuseOutlasting(now, r, out) || c.relayLost(now, r, out) {
		return
	}
	if c.tryDispatch(now, r, false, out) {
		return
	}
	c.enqueue(now, r, out)
}

// failureReason returns the reason that the caller gets if no attempt follows.
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

// mayRetry reports whether one more attempt is allowed, and spends the budget for it.
//
// Calls of services nest up to maxDepth deep. If each level retried, one failing endpoint at the
// bottom would get the product of the attempts of all levels. Therefore an attempt that may have
// run is retried only for the outermost call, and not at all below a call that is itself a retry.
// The same holds for hedges.
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
	if connSilent && r.pool.repeats == nil && r.service.silentRetry.TrySpend(now) {
		return true
	}
	return c.spendRepeat(now, r)
}

// spendRepeat takes one more attempt from the budget that bounds repeats. If the fleet has a bound,
// only that bound counts: it grows with the requests, while the service's budget is earned by
// successes. An entry that has just started has no successes, so its first requests to a failing
// endpoint would fail.
func (c *Core) spendRepeat(now time.Duration, r *request) bool {
	spent := false
	switch {
	case r.policy.RetryBudget == 0:
	case r.pool.repeats != nil:
		spent = r.pool.repeats.TrySpend(now, r.repeatRank(now))
	default:
		spent = r.service.retry.TrySpend(now)
	}
	if !spent {
		c.counters.RetriesDenied++
	}
	return spent
}

// repeatRank is the rank of a request when the fleet's repeats are scarce: by its priority, with
// late requests behind all others.
func (r *request) repeatRank(now time.Duration) int {
	if r.policy.Objective > 0 && now > r.latestInTime() {
		return budget.Ranks - 1
	}
	return budget.Ranks - 2 - r.policy.Priority
}

// maySpendRepeat reports whether spendRepeat would succeed, without spending anything.
func (c *Core) maySpendRepeat(now time.Duration, r *request) bool {
	if r.pool.repeats != nil {
		return r.policy.RetryBudget > 0 && r.pool.repeats.MaySpend(now, r.repeatRank(now))
	}
	return r.service.retry.Level() >= 1
}

// nested reports whether the request is part of another one, which may itself be retried.
func (r *request) nested() bool {
	return r.arrival.Depth > 0 || r.arrival.CallerAttempt > 1
}
