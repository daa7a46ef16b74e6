package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/queue"
	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/profile"
)

// tryDispatch sends r to an endpoint now if its service may take a slot and
// the policy knows a place to go.
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
	ask := c.balanceRequest(r)
	choice := p.picker.Pick(now, &p.Pool, ask, now-r.arrived)
	if !choice.OK {
		return false
	}
	choice.IdleOnly = choice.IdleOnly && !ask.MustQueue // not every policy heeds it
	c.dispatch(now, r, choice, hedge, out)
	return true
}

// balanceRequest describes r to the choice policy.
func (c *Core) balanceRequest(r *request) balance.Request {
	return balance.Request{
		Tried:       r.tried,
		LocalDomain: c.cfg.Self.Domain,
		Trial:       r.mayBeTrial(),
		MustQueue:   !c.mayTryIdleOnly(r),
	}
}

// mayTryIdleOnly says whether an endpoint may be asked to refuse r rather than
// queue it. A refusal costs a round trip and an arrival at the endpoint.
func (c *Core) mayTryIdleOnly(r *request) bool {
	return r.replayable && r.idleRefusals < maxIdleRefusals && r.service.idleRetry.Level() >= 1
}

// mayBeTrial says whether a request may be spent on an endpoint that was bad:
// only a first try that is harmless to repeat.
func (r *request) mayBeTrial() bool {
	return r.mayRunTwice && r.replayable && r.dispatches == 0
}

// trialEndpoint returns an ejected endpoint that is due for a trial by a real
// request, or -1.
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

// mayTakeSlot applies the shares of the services that use the same endpoints.
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
			Need:     other.demand.Slots(now),
			Overdue:  p.queue.Overdue(other.index),
		}
	}
	if me < 0 {
		return true
	}
	capacity := p.capacity(now)
	return p.withinShare(p.slotUsers, me, &capacity) && queue.MayTake(p.slotUsers, me, capacity)
}

// capacity counts the pool's slots and those that look idle: not taken by this
// entry and not seen taken by others within the last service time. An endpoint that
// names a limit counts for the request that it may get now.
func (p *pool) capacity(now time.Duration) queue.Capacity {
	var c queue.Capacity
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if !e.TakesWork() {
			continue
		}
		if quota.IsLimited(e) {
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

// dispatchTo sends an attempt to the endpoint at an index.
func (c *Core) dispatchTo(now time.Duration, r *request, index int, hedge bool, out *Actions) {
	c.dispatch(now, r, balance.Choice{Index: index}, hedge, out)
}

// dispatch records an attempt and directs the driver to send it.
func (c *Core) dispatch(now time.Duration, r *request, choice balance.Choice, hedge bool, out *Actions) {
	p := r.pool
	index := choice.Index
	e := &p.Endpoints[index]
	view, told := c.placementView(now, r), e.Probed.Seen && now-e.Probed.At < placement.Remembered
	r.phase = phaseActive
	r.dispatches++
	r.attempts[r.dispatches] = attempt{
		live:        true,
		hedge:       hedge,
		idleOnly:    choice.IdleOnly,
		alone:       told && placement.HasEasyRoom(e),
		fills:       told && placement.Fills(e) && e.HasRoom() && placement.Pace(&e.Probed) <= 1,
		index:       index,
		incarnation: e.Incarnation,
		sentAt:      now,
		endpoint:    e.Name,
		probedLoad:  e.Probed,
		limit:       e.Limit.Rate,
		due:         view.ServiceTime(e),
	}
	if placement.Fills(e) {
		p.learned.NoteFill(now)
	}
	r.tried = r.tried.With(index)
	quota.Spend(now, &p.Pool, e)
	e.Outstanding++
	e.Probed.Since++
	r.service.inUse++
	p.picker.Dispatched(now, &p.Pool, index)
	c.counters.Dispatched++
	if r.dispatches == 1 {
		c.noteHedge(now, r)
	}
	out.request(Directive{
		ID:       r.arrival.ID,
		Step:     StepDispatch,
		Attempt:  r.dispatches,
		Address:  e.Address,
		Endpoint: e.Name,
		Once:     r.policy.Kind == profile.Once || r.keyed,
		IdleOnly: choice.IdleOnly,
		Deadline: r.deadline,
	})
}

// MaySend is asked by the driver right before the first byte of an attempt is
// written. It is false for a request that was answered, cancelled or whose
// deadline passed meanwhile, or that may not be sent any more: a process that slept between the decision and the
// write must not send what its caller no longer waits for or was told is not
// run. It is false as well when the endpoint leaves by now. After false the
// driver reports EndNotWritten.
func (c *Core) MaySend(now time.Duration, id RequestID, n Attempt) bool {
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
	if a := &r.attempts[n]; !a.forward && !r.pool.takesWork(a) {
		return false
	}
	return !r.keyed || c.keys.MayDispatch(r.arrival.Key)
}

// takesWork reports whether the endpoint of an attempt still gets new work.
func (p *pool) takesWork(a *attempt) bool {
	e := p.endpointAt(a.index, a.incarnation)
	return e != nil && e.TakesWork()
}

// drainQueues dispatches what waits in any pool.
func (c *Core) drainQueues(now time.Duration, out *Actions) {
	for _, p := range c.poolRows {
		c.drainPool(now, p, out)
	}
}

// drainPool dispatches waiting requests until the policy says to wait.
func (c *Core) drainPool(now time.Duration, p *pool, out *Actions) {
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

// dispatchQueued moves the head of the queue to an endpoint.
func (c *Core) dispatchQueued(now time.Duration, r *request, out *Actions) bool {
	if now >= r.deadline {
		c.fail(now, r, ReasonDeadline, out)
		return true
	}
	if !r.pool.hasLive() {
		c.fail(now, r, ReasonNoEndpoint, out)
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

// hedgeDue is a request that is hedged if it is still unanswered at a time.
type hedgeDue struct {
	id RequestID
	at time.Duration
}

func (c *Core) noteHedge(now time.Duration, r *request) {
	if c.usesLoadProbes(r) {
		c.superviseLater(now, r)
		return
	}
	if r.policy.HedgeAfter <= 0 || !r.mayRunTwice || !r.replayable || r.nested() {
		return
	}
	sv := r.service
	sv.hedges = append(sv.hedges, hedgeDue{id: r.arrival.ID, at: now + r.policy.HedgeAfter})
}

// hedgeDue sends a second attempt for harmless requests that are late, as far
// as the retry budget allows.
func (c *Core) hedgeDue(now time.Duration, out *Actions) {
	for _, sv := range c.serviceRows {
		n := 0
		for n < len(sv.hedges) && sv.hedges[n].at <= now {
			c.hedge(now, sv.hedges[n].id, out)
			n++
		}
		if n > 0 {
			sv.hedges = append(sv.hedges[:0], sv.hedges[n:]...)
		}
	}
}

func (c *Core) hedge(now time.Duration, id RequestID, out *Actions) {
	r, ok := c.requests[id]
	if !ok || r.phase != phaseActive || r.committed != 0 || r.dispatches != 1 || r.live() != 1 || c.isSuspect(now, r) {
		return
	}
	if !r.service.retry.TrySpend(now) {
		c.counters.RetriesDenied++
		return
	}
	if c.tryDispatch(now, r, true, out) {
		c.counters.Hedged++
	}
}
