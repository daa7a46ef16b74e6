package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/grant"
	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/table"
)

const (
	// crowdedLooks is how many endpoints are asked for a request that has waited, or
	// right after another one found no room: more would spend the budget on endpoints
	// that are busy.
	crowdedLooks = 4
	// lookWait bounds the wait for a batch: several round trips between failure
	// domains. An endpoint that says nothing for so long is no good choice.
	lookWait = 12 * time.Millisecond
	// lookGap is the time between two rounds for requests that wait.
	lookGap = 30 * time.Millisecond
	// loadlessLooks is after how many answers without a load a pool's endpoints are
	// taken to report none.
	loadlessLooks = 6
)

// lookRound is the looks for one request.
type lookRound struct {
	// round numbers the batch under way; answers to an earlier one only inform.
	round   uint32
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

// usesLooks reports whether endpoints of the pool are looked at.
func (p *pool) usesLooks() bool {
	if p.loadless >= loadlessLooks {
		return false
	}
	for _, sv := range p.services {
		if sv.policy.Looks > 0 {
			return true
		}
	}
	return false
}

// looksFor reports whether the endpoint of a request is chosen by looks.
func (c *Core) looksFor(r *request) bool {
	return r.policy.Looks > 0 && r.pool.loadless < loadlessLooks
}

// waitsForLook reports whether the requests that wait have to wait on for a round
// under way, or for the next one.
func (c *Core) waitsForLook(now time.Duration, p *pool) bool {
	return p.usesLooks() && (p.lookingFor != 0 || now < p.lookAgain)
}

// see returns a request with its pool as package placement sees them.
func (c *Core) see(now time.Duration, r *request) placement.View {
	c.ownBounded(now, r.pool)
	return placement.View{
		Now:     now,
		Domain:  c.cfg.Self.Domain,
		Pool:    &r.pool.Pool,
		Learned: &r.pool.learned,
		Turn:    r.pool.turn(now),
		Rand:    c.rng,
		Request: r.toPlace(),
	}
}

// toPlace returns the request as package placement sees it.
func (r *request) toPlace() placement.Request {
	return placement.Request{
		Arrived: r.arrived, Deadline: r.deadline, FirstTry: r.arrived - r.age, Objective: r.policy.Objective,
		Work: r.typicalWork(), Kilobytes: r.service.kilobytes, Late: r.late,
		Tried: r.tried, Asked: r.look.asked, Began: r.look.began, OwnOnly: r.look.ownOnly, Looks: r.policy.Looks,
	}
}

// best returns the best choice for r among the endpoints that have just told their load.
func (c *Core) best(now time.Duration, r *request) placement.Choice {
	view := c.see(now, r)
	return view.Best()
}

// startLooks begins to look for an endpoint for r. It returns false when there is
// none to ask.
func (c *Core) startLooks(now time.Duration, r *request, second bool, out *Actions) bool {
	if !second {
		r.phase = phaseLooking
	}
	view := c.see(now, r)
	r.look = lookRound{round: r.look.round, asked: r.look.asked[:0], began: now, second: second, active: true,
		ownOnly: !second && !r.queuedOnce && view.PrefersOwnDomain(lookGap)}
	c.looking = append(c.looking, r.arrival.ID)
	if r.queuedOnce && !second {
		// An answer that has just come in told of a slot that is free by now.
		if best := c.best(now, r); best.Worth && c.dispatchLooked(now, r, best.Index, out) {
			return true
		}
	}
	c.lookOn(now, r, out)
	return true
}

// lookOn asks the next batch, or decides when there is none.
func (c *Core) lookOn(now time.Duration, r *request, out *Actions) {
	p := r.pool
	most := r.policy.Looks - len(r.look.asked)
	if r.queuedOnce || now < p.lookAgain {
		most = min(most, crowdedLooks-len(r.look.asked))
	}
	r.look.round++
	r.look.pending = 0
	r.look.until = now + lookWait
	if r.look.second && len(r.look.asked) == 0 {
		c.askAtWork(now, r, out)
	}
	view := c.see(now, r)
	for range min(p.learned.Batch(), most) {
		view.Request.Asked = r.look.asked
		i := view.NextToAsk()
		if i < 0 || !p.looks.TrySpend(now, p.live(), c.fleet.part) {
			break
		}
		c.ask(r, i, out)
	}
	if r.look.pending == 0 {
		c.decide(now, r, out)
	}
}

// ask looks at the endpoint at index i for r.
func (c *Core) ask(r *request, i int, out *Actions) {
	e := &r.pool.Endpoints[i]
	r.look.asked = append(r.look.asked, i)
	r.look.pending++
	r.looks++
	c.counters.Looks++
	out.Probes = append(out.Probes, Probe{Pool: r.pool.Name, Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address,
		Path: r.pool.probePath, Request: r.arrival.ID, Round: r.look.round, Wait: 4 * lookWait})
}

// lookEnd takes in what an endpoint answered.
func (c *Core) lookEnd(now time.Duration, p *pool, e *table.Endpoint, end ProbeEnd, out *Actions) {
	p.learned.NoteContact(now, e.Domain, end.OK || end.Unwell || end.Misdirected)
	switch {
	case end.Misdirected:
		e.AvoidUntil = now + misdirectedPause
	case !end.OK || end.Unwell:
		e.AvoidUntil = max(e.AvoidUntil, now+unwellPause)
	case end.Load.Known:
		p.loadless = 0
		e.See(lookOf(now, end.Load))
		c.toldCold(now, p, e, end.Load.Cold)
		p.learned.NoteLook(e)
		p.learned.NoteRoom(now, e)
	default:
		p.loadless++
	}
	if end.OK && !end.Misdirected {
		c.lookedLimit(now, p, e, end.Load.RateLimit, out)
	}
	r, ok := c.requests[end.Probe.Request]
	if !ok || !r.look.active || r.look.round != end.Probe.Round {
		return
	}
	r.look.pending--
	if r.look.second {
		c.secondLooked(now, r, out)
		return
	}
	i := p.find(end.Probe.Endpoint, end.Probe.Incarnation)
	view := c.see(now, r)
	perfect := i >= 0 && end.OK && end.Load.Known && !end.Misdirected && !end.Unwell && view.Perfect(e)
	switch {
	case perfect && c.dispatchLooked(now, r, i, out):
	case r.look.pending == 0:
		c.lookOn(now, r, out)
	}
}

func lookOf(now time.Duration, l Load) table.Look {
	return table.Look{Running: int32(l.InFlight), Waiting: int32(l.Queued), Slots: int32(l.Slots), Pace: int32(l.Pace), At: now, Seen: true}
}

const (
	// misdirectedPause is how long an address at which another endpoint answers is
	// left alone: far longer than the platform's list takes to tell.
	misdirectedPause = 30 * time.Second
	// unwellPause is how long an endpoint is avoided that says it is unwell or says
	// nothing. It is short, since the statement may be false.
	unwellPause = 500 * time.Millisecond
)

// endLateLooks goes on without endpoints that did not answer in time.
func (c *Core) endLateLooks(now time.Duration, out *Actions) {
	kept := c.looking[:0]
	due := c.lateLooks[:0]
	for _, id := range c.looking {
		r, ok := c.requests[id]
		if !ok || !r.look.active {
			continue
		}
		kept = append(kept, id)
		if now >= r.look.until {
			due = append(due, id)
		}
	}
	c.looking = kept
	c.lateLooks = due
	for _, id := range due {
		if r, ok := c.requests[id]; ok && r.look.active {
			c.lookOn(now, r, out)
		}
	}
}

// decide chooses among the endpoints that were looked at, or lets r wait.
func (c *Core) decide(now time.Duration, r *request, out *Actions) {
	best := c.best(now, r)
	if r.look.second {
		c.decideSecond(now, r, best, out)
		return
	}
	if view := c.see(now, r); best.Index < 0 && !r.look.ownOnly && !c.anyAnswered(r) && !view.Crowded() {
		if i := view.Blind(); i >= 0 && c.dispatchLooked(now, r, i, out) {
			return
		}
	}
	if best.Worth && c.dispatchLooked(now, r, best.Index, out) {
		return
	}
	c.endLook(r)
	if r.look.ownOnly {
		c.lookLater(now, r)
		return
	}
	if !r.pool.hasLive() {
		c.fail(now, r, ReasonNoEndpoint, out)
		return
	}
	r.held++
	if !r.late {
		r.pool.learned.NoteShort(now)
	}
	r.pool.lookAgain = now + lookGap
	c.enqueue(now, r, out)
}

// anyAnswered reports whether one of the endpoints asked told its load.
func (c *Core) anyAnswered(r *request) bool {
	for _, i := range r.look.asked {
		if i < len(r.pool.Endpoints) {
			if l := &r.pool.Endpoints[i].Look; l.Seen && l.At >= r.look.began {
				return true
			}
		}
	}
	return false
}

// endLook ends a round of looks.
func (c *Core) endLook(r *request) {
	r.look.active = false
	if r.pool.lookingFor == r.arrival.ID {
		r.pool.lookingFor = 0
	}
}

// dispatchLooked sends r to the endpoint at index i.
func (c *Core) dispatchLooked(now time.Duration, r *request, i int, out *Actions) bool {
	if int(r.dispatches) >= MaxAttempts || now >= r.deadline {
		return false
	}
	if grant.Of(now, &r.pool.Pool, &r.pool.Endpoints[i]) != grant.Granted {
		return false // another request has taken what it bears
	}
	second := r.look.second
	if second && !c.payRepeat(now, r) {
		return false
	}
	c.endLook(r)
	c.dispatchTo(now, r, i, second, out)
	if second {
		c.counters.Hedged++
	}
	c.drainPool(now, r.pool, out)
	return true
}
