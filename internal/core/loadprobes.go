package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// maxCrowdedProbes is how many endpoints are asked for a request that has waited, or
	// right after another one found no room: more would spend the budget on endpoints
	// that are busy.
	maxCrowdedProbes = 4
	// loadProbeWait bounds the wait for a batch: several round trips between failure
	// domains. An endpoint that says nothing for so long is no good choice.
	loadProbeWait = 12 * time.Millisecond
	// probeRoundGap is the time between two rounds for requests that wait.
	probeRoundGap = 30 * time.Millisecond
	// maxLoadlessProbes is after how many answers without a load a pool's endpoints are
	// taken to report none.
	maxLoadlessProbes = 6
)

// loadProbeRound is the looks for one request.
type loadProbeRound struct {
	// batch numbers the batch under way; answers to an earlier one only inform.
	batch   uint32
	pending int
	// asked are the endpoints asked in this round of looks.
	asked []int
	began time.Duration
	until time.Duration
	// second says that the round is for a second attempt beside a running one.
	second bool
	active bool
	// ownOnly says that only endpoints of the own failure domain are asked.
	ownOnly bool
}

// usesLoadProbes reports whether endpoints of the pool are looked at.
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

// usesLoadProbes reports whether the endpoint of a request is chosen by looks.
func (c *Core) usesLoadProbes(r *request) bool {
	return r.policy.LoadProbes > 0 && r.pool.loadless < maxLoadlessProbes
}

// waitsForLoadProbe reports whether the requests that wait have to wait on for a round
// under way, or for the next one.
func (c *Core) waitsForLoadProbe(now time.Duration, p *pool) bool {
	return p.usesLoadProbes() && (p.probingFor != 0 || now < p.probeAgainAt)
}

// placementView returns a request with its pool as package placement sees them.
func (c *Core) placementView(now time.Duration, r *request) placement.View {
	c.refreshOwnership(now, r.pool)
	return placement.View{
		Now:      now,
		Domain:   c.cfg.Self.Domain,
		Pool:     &r.pool.Pool,
		Learned:  &r.pool.learned,
		SlotTime: r.pool.slotTime(now),
		Rand:     c.rng,
		Request:  r.placementRequest(),
	}
}

// placementRequest returns the request as package placement sees it.
func (r *request) placementRequest() placement.Request {
	return placement.Request{
		Arrived: r.arrived, Deadline: r.deadline, FirstTry: r.arrived - r.age, Objective: r.policy.Objective,
		Work: r.typicalWork(), Kilobytes: r.service.kilobytes, Late: r.late,
		Tried: r.tried, Asked: r.probeRound.asked, Began: r.probeRound.began, OwnOnly: r.probeRound.ownOnly, MaxProbes: r.policy.LoadProbes,
	}
}

// bestChoice returns the best choice for r among the endpoints that have just told their load.
func (c *Core) bestChoice(now time.Duration, r *request) placement.Choice {
	view := c.placementView(now, r)
	return view.Best()
}

// startLoadProbes begins to look for an endpoint for r. It returns false when there is
// none to ask.
func (c *Core) startLoadProbes(now time.Duration, r *request, second bool, out *Actions) bool {
	if !second {
		r.phase = phaseProbing
	}
	view := c.placementView(now, r)
	r.probeRound = loadProbeRound{batch: r.probeRound.batch, asked: r.probeRound.asked[:0], began: now, second: second, active: true,
		ownOnly: !second && !r.queuedOnce && view.PrefersOwnDomain(probeRoundGap)}
	c.probing = append(c.probing, r.arrival.ID)
	if r.queuedOnce && !second {
		// An answer that has just come in told of a slot that is free by now.
		if best := c.bestChoice(now, r); best.Worth && c.dispatchProbed(now, r, best.Index, out) {
			return true
		}
	}
	c.probeNextBatch(now, r, out)
	return true
}

// probeNextBatch asks the next batch, or decides when there is none.
func (c *Core) probeNextBatch(now time.Duration, r *request, out *Actions) {
	p := r.pool
	most := r.policy.LoadProbes - len(r.probeRound.asked)
	if r.queuedOnce || now < p.probeAgainAt {
		most = min(most, maxCrowdedProbes-len(r.probeRound.asked))
	}
	r.probeRound.batch++
	r.probeRound.pending = 0
	r.probeRound.until = now + loadProbeWait
	if r.probeRound.second && len(r.probeRound.asked) == 0 {
		c.probeRunning(now, r, out)
	}
	view := c.placementView(now, r)
	for range min(p.learned.Batch(), most) {
		view.Request.Asked = r.probeRound.asked
		i := view.NextToAsk()
		if i < 0 || !p.loadProbes.TrySpend(now, p.countLive(), c.fleet.ownShare) {
			break
		}
		c.probeLoad(r, i, out)
	}
	if r.probeRound.pending == 0 {
		c.decide(now, r, out)
	}
}

// probeLoad looks at the endpoint at index i for r.
func (c *Core) probeLoad(r *request, i int, out *Actions) {
	e := &r.pool.Endpoints[i]
	r.probeRound.asked = append(r.probeRound.asked, i)
	r.probeRound.pending++
	r.loadProbes++
	c.counters.LoadProbes++
	out.Probes = append(out.Probes, Probe{Pool: r.pool.Name, Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address,
		Path: r.pool.probePath, Request: r.arrival.ID, Round: r.probeRound.batch, Wait: 4 * loadProbeWait})
}

// loadProbeEnd takes in what an endpoint answered.
func (c *Core) loadProbeEnd(now time.Duration, p *pool, e *table.Endpoint, end ProbeEnd, out *Actions) {
	p.learned.NoteContact(now, e.Domain, end.OK || end.Unwell || end.Misdirected)
	switch {
	case end.Misdirected:
		e.AvoidUntil = now + misdirectedPause
	case !end.OK || end.Unwell:
		e.AvoidUntil = max(e.AvoidUntil, now+unwellPause)
	case end.Load.Known:
		p.loadless = 0
		e.NoteProbed(probedLoadOf(now, end.Load))
		c.reportedCold(now, p, e, end.Load.Cold)
		p.learned.NoteProbe(e)
		p.learned.NoteRoom(now, e)
	default:
		p.loadless++
	}
	if end.OK && !end.Misdirected {
		c.probedLimit(now, p, e, end.Load.RateLimit, out)
	}
	r, ok := c.requests[end.Probe.Request]
	if !ok || !r.probeRound.active || r.probeRound.batch != end.Probe.Round {
		return
	}
	r.probeRound.pending--
	if r.probeRound.second {
		c.secondProbeEnd(now, r, out)
		return
	}
	i := p.find(end.Probe.Endpoint, end.Probe.Incarnation)
	view := c.placementView(now, r)
	perfect := i >= 0 && end.OK && end.Load.Known && !end.Misdirected && !end.Unwell && view.Perfect(e)
	switch {
	case perfect && c.dispatchProbed(now, r, i, out):
	case r.probeRound.pending == 0:
		c.probeNextBatch(now, r, out)
	}
}

func probedLoadOf(now time.Duration, l Load) table.ProbedLoad {
	return table.ProbedLoad{Running: int32(l.InFlight), Waiting: int32(l.Queued), Slots: int32(l.Slots), Pace: int32(l.Pace), At: now, Seen: true}
}

const (
	// misdirectedPause is how long an address at which another endpoint answers is
	// left alone: far longer than the platform's list takes to tell.
	misdirectedPause = 30 * time.Second
	// unwellPause is how long an endpoint is avoided that says it is unwell or says
	// nothing. It is short, since the statement may be false.
	unwellPause = 500 * time.Millisecond
)

// expireLoadProbes goes on without endpoints that did not answer in time.
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

// decide chooses among the endpoints that were looked at, or lets r wait.
func (c *Core) decide(now time.Duration, r *request, out *Actions) {
	best := c.bestChoice(now, r)
	if r.probeRound.second {
		c.decideSecond(now, r, best, out)
		return
	}
	if view := c.placementView(now, r); best.Index < 0 && !r.probeRound.ownOnly && !c.anyAnswered(r) && !view.Crowded() {
		if i := view.WithoutLoad(); i >= 0 && c.dispatchProbed(now, r, i, out) {
			return
		}
	}
	if best.Worth && c.dispatchProbed(now, r, best.Index, out) {
		return
	}
	c.endProbeRound(r)
	if r.probeRound.ownOnly {
		c.delayProbeRound(now, r)
		return
	}
	if !r.pool.hasLive() {
		c.fail(now, r, ReasonNoEndpoint, out)
		return
	}
	r.noRoom++
	if !r.late {
		r.pool.learned.NoteShort(now)
	}
	r.pool.probeAgainAt = now + probeRoundGap
	c.enqueue(now, r, out)
}

// anyAnswered reports whether one of the endpoints asked told its load.
func (c *Core) anyAnswered(r *request) bool {
	for _, i := range r.probeRound.asked {
		if i < len(r.pool.Endpoints) {
			if l := &r.pool.Endpoints[i].Probed; l.Seen && l.At >= r.probeRound.began {
				return true
			}
		}
	}
	return false
}

// endProbeRound ends a round of looks.
func (c *Core) endProbeRound(r *request) {
	r.probeRound.active = false
	if r.pool.probingFor == r.arrival.ID {
		r.pool.probingFor = 0
	}
}

// dispatchProbed sends r to the endpoint at index i.
func (c *Core) dispatchProbed(now time.Duration, r *request, i int, out *Actions) bool {
	if int(r.dispatches) >= MaxAttempts || now >= r.deadline {
		return false
	}
	if quota.Of(now, &r.pool.Pool, &r.pool.Endpoints[i]) != quota.Granted {
		return false // another request has taken what it bears
	}
	second := r.probeRound.second
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
