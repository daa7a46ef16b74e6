package core

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/queue"
	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/profile"
)

// tryDispatch sends r to an endpoint now if its service may use another slot and the policy finds
// an endpoint. If the service uses load probes, it starts a probe round instead. It reports whether
// it did either.
func (c *Core) tryDispatch(now time.Duration, r *request, hedge bool, out *Actions) bool {
	if int(r.dispatches) >= MaxAttempts {
		return false
	}
	p := r.pool
	if c.usesLoadProbes(r) {
		return c.startLoadProbes(now, r, hedge, out)
	}
	if !c.mayTakeSlot(now, p, r.service) {
		return false
	}
	c.refreshOwnership(now, p)
	if i := c.trialEndpoint(now, r); i >= 0 {
		health.TrialSent(now, &p.Endpoints[i])
		c.dispatch(now, r, balance.Choice{Index: i}, hedge, out)
		return true
	}
	req := c.balanceRequest(r)
	choice := p.picker.Pick(now, &p.Pool, req, now-r.arrived)
	if !choice.OK {
		return false
	}
	choice.IdleOnly = choice.IdleOnly && !req.MustQueue // some policies ignore MustQueue
	c.dispatch(now, r, choice, hedge, out)
	return true
}

// balanceRequest describes r to the balancing policy.
func (c *Core) balanceRequest(r *request) balance.Request {
	return balance.Request{
		Tried:       r.tried,
		LocalDomain: c.cfg.Self.Domain,
		Trial:       r.mayBeTrial(),
		MustQueue:   !c.mayTryIdleOnly(r),
	}
}

// mayTryIdleOnly reports whether an endpoint may be asked to refuse r rather than queue it. A
// refusal costs a round trip and counts as an arrival at the endpoint.
func (c *Core) mayTryIdleOnly(r *request) bool {
	return r.replayable && r.idleRefusals < maxIdleRefusals && r.service.idleRetry.Level() >= 1 &&
		r.pool.repeats.MaySpend(c.now, r.repeatRank(c.now))
}

// mayBeTrial reports whether r may be sent to an ejected endpoint as a trial: only the first
// attempt of a request that may run twice.
func (r *request) mayBeTrial() bool {
	return r.mayRunTwice && r.replayable && r.dispatches == 0
}

// trialEndpoint returns the index of an ejected endpoint that is due for a trial with r, or -1.
func (c *Core) trialEndpoint(now time.Duration, r *request) int {
	if !r.mayBeTrial() {
		return -1
	}
	p := r.pool
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if quota.Of(now, &p.Pool, e) == quota.Granted && health.TrialDue(now, e) {
			return i
		}
	}
	return -1
}

// mayTakeSlot applies the slot shares of the services that use the same endpoints.
func (c *Core) mayTakeSlot(now time.Duration, p *pool, sv *service) bool {
	if len(p.services) < 2 {
		return true
	}
	me := -1
	for i, other := range p.services {
		if other == sv {
			me = i
		}
		p.slotUsers[i] = queue.SlotUser{
			InUse:    other.inUse,
			Waiting:  p.queue.LenOf(other.index),
			Share:    other.policy.SlotShare,
			Priority: other.policy.Priority,
			Demand:   other.demand.Slots(now),
			Overdue:  p.queue.Overdue(other.index),
		}
	}
	if me < 0 {
		return true
	}
	capacity := p.capacity(now)
	return p.withinShare(p.slotUsers, me, &capacity) && queue.MayTakeSlot(p.slotUsers, me, capacity)
}

// capacity counts the pool's slots and those that look idle: neither used by this entry nor
// reported in use by others within the last service time. A throttled endpoint counts as one free
// slot if it may get a request now, and as none otherwise.
func (p *pool) capacity(now time.Duration) queue.Capacity {
	var c queue.Capacity
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if !e.TakesWork() {
			continue
		}
		if quota.IsThrottled(e) {
			if quota.Of(now, &p.Pool, e) == quota.Granted {
				c.Slots, c.Free = c.Slots+1, c.Free+1
			}
			continue
		}
		c.Slots += int(e.Slots)
		foreign := int32(0)
		if now-e.Reported.At < time.Duration(p.serviceNanos) {
			foreign = e.Reported.Foreign
		}
		c.Free += max(0, int(e.Slots-e.Outstanding-foreign))
	}
	return c
}

// dispatchTo sends an attempt to the endpoint at index.
func (c *Core) dispatchTo(now time.Duration, r *request, index int, hedge bool, out *Actions) {
	c.dispatch(now, r, balance.Choice{Index: index}, hedge, out)
}

// dispatch records an attempt and tells the driver to send it.
func (c *Core) dispatch(now time.Duration, r *request, choice balance.Choice, hedge bool, out *Actions) {
	p := r.pool
	index := choice.Index
	e := &p.Endpoints[index]
	view, loadKnown := c.placementView(now, r), e.Probed.Seen && now-e.Probed.At < placement.RememberedFor
	r.phase = phaseActive
	r.dispatches++
	r.attempts[r.dispatches] = attempt{
		live:             true,
		hedge:            hedge,
		idleOnly:         choice.IdleOnly,
		hadHeadroom:      loadKnown && placement.HasHeadroom(e),
		fillsEndpoint:    loadKnown && placement.MakesNearlyFull(e) && e.HasRoom() && placement.Pace(&e.Probed) <= 1,
		index:            index,
		incarnation:      e.Incarnation,
		sentAt:           now,
		endpoint:         e.Name,
		probedLoad:       e.Probed,
		limit:            e.Limit.Rate,
		expectedDuration: view.ServiceTime(e),
	}
	if placement.MakesNearlyFull(e) {
		p.placementState.NoteFill(now)
	}
	r.tried = r.tried.With(index)
	if quota.InBackoff(now, e) {
		c.counters.SentInBackoff++
	}
	quota.Spend(now, &p.Pool, e)
	e.Outstanding++
	e.Probed.SentSince++
	r.service.inUse++
	p.picker.Dispatched(now, &p.Pool, index)
	c.counters.Dispatched++
	if r.dispatches == 1 {
		c.scheduleHedge(now, r)
	}
	out.addDirective(Directive{
		ID:       r.arrival.ID,
		Step:     StepDispatch,
		Attempt:  r.dispatches,
		Address:  e.Address,
		Endpoint: e.Name,
		Once:     r.policy.Kind == profile.Once || r.keyed || p.reach.Lost(),
		OpenOnly: p.dials.Lost() && !p.reach.Lost(),
		IdleOnly: choice.IdleOnly,
		Deadline: r.deadline,
	})
}

// MaySend is called by the driver right before it writes the first byte of an attempt. It returns
// false if the request was answered, cancelled or quarantined meanwhile, if its deadline passed, if it
// would outlast the stop of this entry, or if its endpoint is leaving, backing off or not reached. A
// process that was suspended between the decision and the write must not send a request that its
// caller has given up or that was reported as not run. After false the driver reports EndNotWritten.
func (c *Core) MaySend(now time.Duration, id RequestID, n Attempt) bool {
	if !c.MayConnect(now, id, n) {
		return false
	}
	c.requests[id].attempts[n].written = true
	return true
}

// MayConnect is MaySend for the moment before the driver takes or opens a connection.
func (c *Core) MayConnect(now time.Duration, id RequestID, n Attempt) bool {
	r, ok := c.requests[id]
	if !ok || r.phase == phaseFinished || now >= r.deadline {
		return false
	}
	if n == 0 || n > r.dispatches || !r.attempts[n].live {
		return false
	}
	if r.committed != 0 && r.committed != n || c.isQuarantined(now, r) {
		return false
	}
	a := &r.attempts[n]
	if a.withdrawn || !a.toEntry() && !r.pool.accepts(now, a) {
		return false
	}
	if !a.hedge && !a.forward && c.outlastsStop(now, r) {
		return false
	}
	return !r.keyed || c.keys.MayDispatch(r.arrival.Key)
}

// toEntry reports whether the attempt goes to another entry rather than to an endpoint.
func (a *attempt) toEntry() bool { return a.forward || a.relay }

// takesWork reports whether the endpoint of an attempt still gets new work.
func (p *pool) takesWork(a *attempt) bool {
	e := p.endpointAt(a.index, a.incarnation)
	return e != nil && e.TakesWork()
}

// accepts reports whether the endpoint of an attempt that was not written yet still gets it.
func (p *pool) accepts(now time.Duration, a *attempt) bool {
	return p.takesWork(a) && !quota.InBackoff(now, p.endpointAt(a.index, a.incarnation))
}

// drainQueues dispatches waiting requests in all pools.
func (c *Core) drainQueues(now time.Duration, out *Actions) {
	for _, p := range c.poolRows {
		c.drainPool(now, p, out)
	}
}

// drainPool dispatches waiting requests of a pool until no more can be sent now.
func (c *Core) drainPool(now time.Duration, p *pool, out *Actions) {
	c.refuseUnservable(now, p, out)
	for p.queue.Len() > 0 {
		if c.waitsForLoadProbe(now, p) {
			return
		}
		item, ok := p.queue.Next(now, func(service int32) bool {
			return p.usesLoadProbes() || c.mayTakeSlot(now, p, c.serviceRows[service])
		})
		if !ok {
			return
		}
		r, ok := c.requests[RequestID(item.ID)]
		if !ok {
			p.queue.Remove(item.ID)
			continue
		}
		if !c.dispatchQueued(now, r, out) {
			return
		}
	}
}

// dispatchQueued sends r, the request that the queue chose next, to an endpoint. It returns false
// if no endpoint can take it now.
func (c *Core) dispatchQueued(now time.Duration, r *request, out *Actions) bool {
	if now >= r.deadline {
		c.fail(now, r, ReasonDeadline, out)
		return true
	}
	if c.refuseOutlasting(now, r, out) || c.relayLost(now, r, out) {
		return true
	}
	if reason := c.unservable(now, r); reason != ReasonNone {
		c.fail(now, r, reason, out)
		return true
	}
	if c.usesLoadProbes(r) {
		r.pool.queue.Take(now, uint64(r.arrival.ID))
		r.pool.probingFor = r.arrival.ID
		return c.startLoadProbes(now, r, false, out)
	}
	if !c.tryDispatch(now, r, false, out) {
		return false
	}
	r.pool.queue.Take(now, uint64(r.arrival.ID))
	return true
}

// pendingHedge is a request that gets a hedge if it is still unanswered at the time at.
type pendingHedge struct {
	id RequestID
	at time.Duration
}

// scheduleHedge notes when r is due for a hedge, or for supervision if its service uses load
// probes.
func (c *Core) scheduleHedge(now time.Duration, r *request) {
	if c.usesLoadProbes(r) {
		c.superviseLater(now, r)
		return
	}
	if r.policy.HedgeAfter <= 0 || !r.mayRunTwice || !r.replayable || r.nested() {
		return
	}
	sv := r.service
	if len(sv.hedges) == 0 {
		c.hedging = append(c.hedging, sv)
	}
	sv.hedges = append(sv.hedges, pendingHedge{id: r.arrival.ID, at: now + r.policy.HedgeAfter})
}

// sendDueHedges sends a second attempt for requests that are late and may run twice, as far as the
// retry budget allows.
func (c *Core) sendDueHedges(now time.Duration, out *Actions) {
	for _, sv := range c.hedging {
		n := 0
		for n < len(sv.hedges) && sv.hedges[n].at <= now {
			c.hedge(now, sv.hedges[n].id, out)
			n++
		}
		if n > 0 {
			sv.hedges = append(sv.hedges[:0], sv.hedges[n:]...)
		}
	}
	c.hedging = slices.DeleteFunc(c.hedging, func(sv *service) bool { return len(sv.hedges) == 0 })
}

func (c *Core) hedge(now time.Duration, id RequestID, out *Actions) {
	r, ok := c.requests[id]
	if !ok || r.phase != phaseActive || r.committed != 0 || r.dispatches != 1 || r.live() != 1 || c.isSuspect(now, r) {
		return
	}
	if !r.service.retry.TrySpend(now) || !r.pool.repeats.TrySpend(now, r.repeatRank(now)) {
		c.counters.RetriesDenied++
		return
	}
	if c.tryDispatch(now, r, true, out) {
		c.counters.Hedged++
	}
}
