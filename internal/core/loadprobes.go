package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// maxCrowdedProbes is how many endpoints are probed for a request that has waited, or right
	// after another request found no room. More would spend the budget on busy endpoints.
	maxCrowdedProbes = 4
	// loadProbeWait bounds the wait for one batch of load probes. It covers several round trips
	// between failure domains; an endpoint that stays silent for longer is a poor choice.
	loadProbeWait = 12 * time.Millisecond
	// probeRoundGap is the time between two probe rounds for requests that wait.
	probeRoundGap = 30 * time.Millisecond
	// maxLoadlessProbes is the number of successive answers without a load after which the
	// endpoints of a pool count as reporting none.
	maxLoadlessProbes = 6
)

// loadProbeRound is the round of load probes for one request. They are sent in batches.
type loadProbeRound struct {
	// batch numbers the batch under way. Answers to an earlier batch update the endpoint's load but
	// do not advance the round.
	batch   uint32
	pending int
	// probed are the indexes of the endpoints probed in this round.
	probed []int
	began  time.Duration
	until  time.Duration
	// second is true if the round is for a second attempt beside a running one.
	second bool
	active bool
	// ownOnly is true if only endpoints of the entry's own failure domain are probed.
	ownOnly bool
}

// usesLoadProbes reports whether endpoints of the pool get load probes.
func (p *pool) usesLoadProbes() bool {
	if p.loadless >= maxLoadlessProbes {
		return false
	}
	for _, sv := range p.services {
		if sv.policy.LoadProbes > 0 {
			return true
		}
	}
	return false
}

// usesLoadProbes reports whether the endpoint for a request is chosen by load probes.
func (c *Core) usesLoadProbes(r *request) bool {
	return r.policy.LoadProbes > 0 && r.pool.loadless < maxLoadlessProbes
}

// waitsForLoadProbe reports whether queued requests have to wait for a probe round that is under
// way, or for the next one. This also holds for requests of services that no longer use the pool.
func (c *Core) waitsForLoadProbe(now time.Duration, p *pool) bool {
	return p.probingFor != 0 || now < p.probeAgainAt
}

// placementView returns a request and its pool in the form that package placement uses.
func (c *Core) placementView(now time.Duration, r *request) placement.View {
	c.refreshOwnership(now, r.pool)
	placed := r.placementRequest()
	placed.Late = r.isLate(now)
	return placement.View{
		Now:       now,
		Domain:    c.cfg.Self.Domain,
		Pool:      &r.pool.Pool,
		PoolState: &r.pool.placementState,
		SlotTime:  r.pool.slotTime(now),
		Rand:      c.rng,
		Request:   placed,
	}
}

// placementRequest returns the request in the form that package placement uses.
func (r *request) placementRequest() placement.Request {
	return placement.Request{
		Arrived: r.arrived, Deadline: r.deadline, FirstTry: r.arrived - r.age, Objective: r.policy.Objective,
		Work: r.typicalWork(), Kilobytes: r.service.kilobytes, Late: r.late,
		Tried: r.tried, Probed: r.probeRound.probed, RoundStart: r.probeRound.began, OwnDomainOnly: r.probeRound.ownOnly, MaxProbes: r.policy.LoadProbes,
	}
}

// bestChoice returns the best choice for r among the endpoints with a recent probed load.
func (c *Core) bestChoice(now time.Duration, r *request) placement.Choice {
	view := c.placementView(now, r)
	return view.Best()
}

// startLoadProbes starts a probe round for r. A queued request is dispatched without new probes if
// an answer that has just arrived shows a free slot. It always returns true.
func (c *Core) startLoadProbes(now time.Duration, r *request, second bool, out *Actions) bool {
	if !second {
		r.phase = phaseProbing
	}
	view := c.placementView(now, r)
	r.probeRound = loadProbeRound{batch: r.probeRound.batch, probed: r.probeRound.probed[:0], began: now, second: second, active: true,
		ownOnly: !second && !r.queuedOnce && !r.pool.dials.Lost() && view.PrefersOwnDomain(probeRoundGap)}
	c.probing = append(c.probing, r.arrival.ID)
	if r.queuedOnce && !second {
		// An answer that has just arrived may have reported a slot that is free by now.
		if best := c.bestChoice(now, r); best.Worthwhile && c.dispatchProbed(now, r, best.Index, out) {
			return true
		}
	}
	c.probeNextBatch(now, r, out)
	return true
}

// probeNextBatch sends the next batch of load probes, or calls decidePlacement if there is no
// endpoint left to probe.
func (c *Core) probeNextBatch(now time.Duration, r *request, out *Actions) {
	p := r.pool
	remaining := r.policy.LoadProbes - len(r.probeRound.probed)
	if r.queuedOnce || now < p.probeAgainAt {
		remaining = min(remaining, maxCrowdedProbes-len(r.probeRound.probed))
	}
	r.probeRound.batch++
	r.probeRound.pending = 0
	r.probeRound.until = now + loadProbeWait
	if r.probeRound.second && len(r.probeRound.probed) == 0 {
		c.probeRunning(now, r, out)
	}
	if c.yieldsRoom(now, r) {
		remaining = 0
	}
	view := c.placementView(now, r)
	for range min(p.placementState.Batch(), remaining) {
		view.Request.Probed = r.probeRound.probed
		i := view.NextToProbe()
		if i < 0 || !p.loadProbes.TrySpend(now, p.countLive(), c.fleet.ownShare) {
			break
		}
		c.probeLoad(r, i, out)
	}
	if r.probeRound.pending == 0 {
		c.decidePlacement(now, r, out)
	}
}

// yieldsRoom reports whether r is late while its pool is short of room for requests that are not. It
// then gets no endpoint, and load probes on its behalf would be missing for the others.
func (c *Core) yieldsRoom(now time.Duration, r *request) bool {
	return r.isLate(now) && r.pool.placementState.IsShort(now)
}

// probeLoad sends a load probe to the endpoint at index i on behalf of r.
func (c *Core) probeLoad(r *request, i int, out *Actions) {
	e := &r.pool.Endpoints[i]
	r.probeRound.probed = append(r.probeRound.probed, i)
	r.probeRound.pending++
	r.loadProbes++
	c.counters.LoadProbes++
	out.Probes = append(out.Probes, Probe{Pool: r.pool.Name, Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address,
		Path: r.pool.probePath, Request: r.arrival.ID, Round: r.probeRound.batch, Wait: 4 * loadProbeWait, OpenOnly: r.pool.dials.Lost()})
}

// loadProbeEnd processes the result of a load probe.
func (c *Core) loadProbeEnd(now time.Duration, p *pool, e *table.Endpoint, end ProbeEnd, out *Actions) {
	if !end.NoOpenConn {
		p.placementState.NoteContact(now, e.Domain, end.OK || end.Unhealthy || end.Misdirected)
	}
	switch {
	case end.NoOpenConn:
	case end.Misdirected:
		e.AvoidUntil = now + misdirectedPause
	case !end.OK || end.Unhealthy:
		e.AvoidUntil = max(e.AvoidUntil, now+unhealthyPause)
	case end.Load.Known:
		p.loadless = 0
		e.NoteProbed(probedLoadOf(now, end.Load))
		c.noteReportedCold(now, p, e, end.Load.Cold)
		p.placementState.NoteProbe(e)
		p.placementState.NoteHeadroom(now, e)
	default:
		p.loadless++
	}
	if end.OK && !end.Misdirected {
		c.noteProbedLimit(now, p, e, end.Load.RateLimit, out)
	}
	r, ok := c.requests[end.Probe.Request]
	if !ok || !r.probeRound.active || r.probeRound.batch != end.Probe.Round {
		return
	}
	r.probeRound.pending--
	if r.probeRound.second {
		c.secondAttemptProbeEnd(now, r, out)
		return
	}
	i := p.find(end.Probe.Endpoint, end.Probe.Incarnation)
	view := c.placementView(now, r)
	optimal := i >= 0 && end.OK && end.Load.Known && !end.Misdirected && !end.Unhealthy && view.IsOptimal(e)
	switch {
	case optimal && c.dispatchProbed(now, r, i, out):
	case r.probeRound.pending == 0:
		c.probeNextBatch(now, r, out)
	}
}

func probedLoadOf(now time.Duration, l Load) table.ProbedLoad {
	return table.ProbedLoad{Running: int32(l.InFlight), Waiting: int32(l.Queued), Slots: int32(l.Slots), Pace: int32(l.Pace), At: now, Seen: true}
}

const (
	// misdirectedPause is how long an endpoint is avoided if another endpoint answers at its
	// address. It is far longer than the platform's list takes to show the change.
	misdirectedPause = 30 * time.Second
	// unhealthyPause is how long an endpoint is avoided after it reported itself unhealthy, refused
	// a request or could not be reached. It is short, since the report may be wrong.
	unhealthyPause = 500 * time.Millisecond
)

// expireLoadProbes continues the probe rounds whose endpoints did not answer in time.
func (c *Core) expireLoadProbes(now time.Duration, out *Actions) {
	kept := c.probing[:0]
	due := c.lateProbes[:0]
	for _, id := range c.probing {
		r, ok := c.requests[id]
		if !ok || !r.probeRound.active {
			continue
		}
		kept = append(kept, id)
		if now >= r.probeRound.until {
			due = append(due, id)
		}
	}
	c.probing = kept
	c.lateProbes = due
	for _, id := range due {
		if r, ok := c.requests[id]; ok && r.probeRound.active {
			c.probeNextBatch(now, r, out)
		}
	}
}

// decidePlacement ends a round in which no endpoint is left to probe. It dispatches r to the best
// endpoint, starts a delayed round, refuses r if the pool has no live endpoint, or puts r into the
// queue. In a round for a second attempt, decideSecondAttempt decides instead.
func (c *Core) decidePlacement(now time.Duration, r *request, out *Actions) {
	best := c.bestChoice(now, r)
	if r.probeRound.second {
		c.decideSecondAttempt(now, r, best, out)
		return
	}
	if c.refuseOutlasting(now, r, out) {
		return
	}
	if best.Index < 0 && !r.probeRound.ownOnly && c.heardNobody(r) && c.relayNext(now, r, false, out) {
		return
	}
	if view := c.placementView(now, r); best.Index < 0 && !r.probeRound.ownOnly && !r.pool.dials.Lost() && !c.yieldsRoom(now, r) && !c.anyAnswered(r) && !view.MostlyFull() {
		if i := view.WithoutLoad(); i >= 0 && c.dispatchProbed(now, r, i, out) {
			return
		}
	}
	if best.Worthwhile && c.dispatchProbed(now, r, best.Index, out) {
		return
	}
	if c.relayUnconnected(now, r, out) {
		return
	}
	c.endProbeRound(r)
	if r.probeRound.ownOnly {
		c.delayProbeRound(now, r)
		return
	}
	if reason := c.unservable(now, r); reason != ReasonNone {
		c.fail(now, r, reason, out)
		return
	}
	r.noRoom++
	if !r.isLate(now) {
		r.pool.placementState.NoteShortage(now)
	}
	r.pool.probeAgainAt = now + probeRoundGap
	c.enqueue(now, r, out)
}

// anyAnswered reports whether any endpoint probed in this round reported its load.
func (c *Core) anyAnswered(r *request) bool {
	for _, i := range r.probeRound.probed {
		if i < len(r.pool.Endpoints) {
			if l := &r.pool.Endpoints[i].Probed; l.Seen && l.At >= r.probeRound.began {
				return true
			}
		}
	}
	return false
}

// endProbeRound ends the probe round of r.
func (c *Core) endProbeRound(r *request) {
	r.probeRound.active = false
	if r.pool.probingFor == r.arrival.ID {
		r.pool.probingFor = 0
	}
}

// dispatchProbed sends r to the endpoint at index i. It returns false if r may not be sent there.
func (c *Core) dispatchProbed(now time.Duration, r *request, i int, out *Actions) bool {
	if int(r.dispatches) >= MaxAttempts || now >= r.deadline {
		return false
	}
	if quota.Of(now, &r.pool.Pool, &r.pool.Endpoints[i]) != quota.Granted {
		return false // other requests have used up the endpoint's quota
	}
	second := r.probeRound.second
	if !second && c.outlastsStop(now, r) {
		return false
	}
	if second && !c.spendRepeat(now, r) {
		return false
	}
	c.endProbeRound(r)
	c.dispatchTo(now, r, i, second, out)
	if second {
		c.counters.Hedged++
	}
	c.drainPool(now, r.pool, out)
	return true
}
