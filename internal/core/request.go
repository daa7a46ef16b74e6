package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/quarantine"
	"github.com/tealhall/tealhall/internal/core/queue"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
)

// MaxAttempts bounds the dispatches of one request, whatever a profile says.
const MaxAttempts = 8

const (
	// maxIdleRefusals is how often one request may be refused by endpoints that
	// were asked to take it only into an idle slot.
	maxIdleRefusals = 3
	// idleRefusalShare bounds these refusals to a share of the requests that
	// succeed, so that a service whose endpoints refuse everything sees no
	// more than its requests.
	idleRefusalShare = 1.0
	// silentShare and silentCap bound the attempts that follow one whose connection went
	// silent: one for each request that succeeded before, and as many saved up as an entry
	// commonly keeps idle connections for a service. Guards against a network that forgets
	// all of them at once. Each takes a read with it before it is known to be dead, and the
	// budget that keeps retries from adding load to an overload pays for five: the other
	// reads would be told "endpoint-lost". What nobody has acknowledged adds no such load.
	silentShare = 1.0
	silentCap   = 64
)

// phase is where a request stands.
type phase uint8

const (
	phaseQueued phase = iota + 1
	// phaseActive: at least one attempt is out, or about to be.
	phaseActive
	// phaseProbing: endpoints are asked for their load before one is chosen.
	phaseProbing
	// phaseJoined: another request with the same key is running.
	phaseJoined
	// phaseForwarded: another entry, the home of the key, has it.
	phaseForwarded
	// phaseFinished: the caller has its answer; attempts may still have to end.
	phaseFinished
)

// attempt is one dispatch of a request.
type attempt struct {
	live     bool
	hedge    bool
	forward  bool
	idleOnly bool
	// alone says that the endpoint had easy room by its last load probe, fills
	// that it was nearly full with this one.
	alone, fills bool
	index        int
	incarnation  uint64
	sentAt       time.Duration
	// due is how long the attempt was expected to take when it was sent.
	due time.Duration
	// status, load and headAfter are what the head of the answer said.
	status    int
	load      Load
	headAfter time.Duration
	// endpoint is its name, probedLoad and limit what it had told; end, cause and took are how the attempt
	// ended, for the log.
	endpoint   string
	probedLoad table.ProbedLoad
	limit      float64
	end        EndKind
	cause      string
	took       time.Duration
	// repeatSpent is set when the retry after this attempt was already paid for.
	repeatSpent bool
}

// request is one caller's request.
type request struct {
	arrival Arrival
	service *service
	// pool is the one that the service used when the request arrived. Its
	// queue and its endpoints' rows hold the request, so it stays although a
	// new profile moves the service to another pool meanwhile.
	pool     *pool
	policy   *profile.Policy
	phase    phase
	arrived  time.Duration
	deadline time.Duration
	// mayRunTwice says that running it twice does no harm.
	mayRunTwice bool
	// keyed says that the idempotency table holds it as running here.
	keyed      bool
	replayable bool
	// weakest is the weakest statement that any ended attempt allows.
	weakest    Outcome
	committed  Attempt
	attempts   [MaxAttempts + 1]attempt
	dispatches Attempt
	// idleRefusals counts the dispatches that only an idle slot was to take.
	idleRefusals int
	// unsent counts the dispatches that never left this entry.
	unsent int
	// asked are the entries to which the request was sent on for its key.
	asked []uint64
	// tried are the endpoints that the request was dispatched to.
	tried balance.Set
	// lastReason is why the latest attempt failed.
	lastReason Reason
	// probeRound is the round of load probes that is under way, or was last.
	probeRound loadProbeRound
	// age is how long before its arrival the caller first tried, as far as known.
	age time.Duration
	// late says that it can't be answered in time any more; it waits until lateUntil.
	late      bool
	lateUntil time.Duration
	// loadProbes counts the endpoints asked, noRoom how often there was no room; the rest is
	// how the request ended, for the log.
	loadProbes, noRoom int
	outcome            Outcome
	reason             Reason
	retryAfter         time.Duration
	status             int
	callerGone         bool
	// queuedOnce says that the request has waited in the pool's queue.
	queuedOnce bool
}

func (r *request) live() int {
	n := 0
	for i := Attempt(1); i <= r.dispatches; i++ {
		if r.attempts[i].live {
			n++
		}
	}
	return n
}

// Arrive feeds a caller's request. The core answers at once or later with
// directives for it.
func (c *Core) Arrive(now time.Duration, a Arrival, out *Actions) {
	c.now = now
	c.counters.Arrived++
	c.callerSaw(now, a.Revision, out)
	if reason := c.admissionRefusal(&a); reason != ReasonNone {
		c.refuseAdmission(now, &a, reason, out)
		return
	}
	sv := c.serviceOf(&a)
	sv.arrived++
	sv.demand.Add(now, sv.expectedWork())
	r := c.newRequest(now, a, sv)
	r.pool.repeats.Request(now)
	r.pool.learned.NoteArrival(now)
	r.pool.loadProbes.Request(loadProbesEarned * r.policy.LoadProbes)
	if !c.admitKey(now, r, out) {
		return
	}
	c.place(now, r, out)
}

// admissionRefusal checks what needs no state of the request's own.
func (c *Core) admissionRefusal(a *Arrival) Reason {
	if c.snapshot == nil {
		return ReasonStarting
	}
	if c.state == message.EntryStopped {
		return ReasonStopping
	}
	if c.serviceOf(a) == nil {
		return c.unknown()
	}
	if a.Depth > maxDepth {
		return ReasonTooDeep
	}
	if c.quarantine.Verdict(c.now, a.identity()) == quarantine.Quarantined {
		return ReasonQuarantined
	}
	if len(c.requests) >= c.cfg.MaxInFlight {
		return ReasonOverload
	}
	return ReasonNone
}

func (c *Core) newRequest(now time.Duration, a Arrival, sv *service) *request {
	r := c.takeRow()
	policy, pool := sv.policy, sv.pool
	if a.Admission.row > 0 {
		policy, pool = a.Admission.policy, a.Admission.pool
	}
	limit := policy.Deadline
	if a.Timeout > 0 && a.Timeout < limit {
		limit = a.Timeout
	}
	*r = request{
		arrival:     a,
		service:     sv,
		pool:        pool,
		policy:      policy,
		phase:       phaseActive,
		arrived:     now,
		deadline:    now + limit,
		mayRunTwice: safeToRunTwice(policy.Kind, a.Safe && !c.Routed()),
		replayable:  a.Replayable,
		weakest:     OutcomeNotRun,
	}
	r.age = sv.ageOf(a.Timeout)
	c.requests[a.ID] = r
	return r
}

// safeToRunTwice says whether a request may be sent to a second endpoint
// although the first may have run it. Reads and urgent checks are declared
// harmless by the kind in the profile; a bulk upload only if its method is
// idempotent by definition; a once-only request never.
func safeToRunTwice(kind profile.Kind, safe bool) bool {
	switch kind {
	case profile.Read, profile.Urgent:
		return true
	case profile.Bulk:
		return safe
	default:
		return false
	}
}

func (c *Core) takeRow() *request {
	n := len(c.free)
	if n == 0 {
		return new(request)
	}
	r := c.free[n-1]
	c.free = c.free[:n-1]
	return r
}

// place dispatches r now or puts it into its pool's queue.
func (c *Core) place(now time.Duration, r *request, out *Actions) {
	p := r.pool
	if !p.hasLive() {
		c.fail(now, r, ReasonNoEndpoint, out)
		return
	}
	if p.queue.Len() == 0 && c.tryDispatch(now, r, false, out) {
		return
	}
	c.enqueue(now, r, out)
	c.drainPool(now, p, out)
}

// serviceOf returns the service that a request is for, or nil.
func (c *Core) serviceOf(a *Arrival) *service {
	if row := int(a.Admission.row); row > 0 && row <= len(c.serviceRows) {
		return c.serviceRows[row-1]
	}
	return c.services[a.Service]
}

func (p *pool) hasLive() bool {
	for i := range p.Endpoints {
		if p.Endpoints[i].TakesWork() {
			return true
		}
	}
	return false
}

func (c *Core) enqueue(now time.Duration, r *request, out *Actions) {
	p := r.pool
	item := queue.Item{
		ID:       uint64(r.arrival.ID),
		Service:  r.service.index,
		Caller:   r.arrival.Caller,
		Priority: r.policy.Priority,
		Enqueued: r.arrived,
		Deadline: r.deadline,
		Work:     min(time.Duration(p.serviceNanos), (r.deadline-now)/2),
	}
	limits := queue.Limits{
		QueueLimit:    r.policy.QueueLimit,
		CallerShare:   r.policy.CallerShare,
		DeadlineOrder: r.policy.QueueOrder == profile.ByDeadline,
	}
	wait := p.expectedWait(now, item)
	if c.usesLoadProbes(r) {
		item.Deadline, item.Priority = c.queueUntil(now, r)
		item.Work, wait = 0, 0
		limits.NewestFirst = r.policy.Objective > 0
	}
	switch p.queue.Push(now, item, limits, wait) {
	case queue.Full:
		c.fail(now, r, ReasonQueueFull, out)
	case queue.CallerShare:
		c.fail(now, r, ReasonCallerShare, out)
	case queue.TooLate:
		c.fail(now, r, ReasonTooLate, out)
	default:
		c.counters.Queued++
		r.phase = phaseQueued
		// While it waits, endpoints that refused it may become idle.
		r.tried = 0
	}
}

// expectedWait estimates how long an item would wait for a slot.
func (p *pool) expectedWait(now time.Duration, item queue.Item) time.Duration {
	capacity := p.capacity(now)
	between := time.Duration(p.serviceNanos / float64(max(capacity.Slots, 1)))
	return p.queue.ExpectedWait(now, item, capacity.Free, between)
}

// expireQueues answers requests whose deadline passed while they waited.
func (c *Core) expireQueues(now time.Duration, out *Actions) {
	var expired []queue.Item
	for _, p := range c.poolRows {
		expired = p.queue.Expire(now, expired[:0])
		for _, item := range expired {
			if r, ok := c.requests[RequestID(item.ID)]; ok {
				c.waitExpired(now, r, out)
			}
		}
	}
}

// waitExpired handles a request that has waited for as long as it may. One that is late
// by now waits on behind the others.
func (c *Core) waitExpired(now time.Duration, r *request, out *Actions) {
	switch {
	case now >= r.deadline:
		c.fail(now, r, ReasonDeadline, out)
	case c.usesLoadProbes(r) && r.policy.Objective > 0 && !r.late:
		c.enqueue(now, r, out)
	default:
		c.fail(now, r, ReasonTooLate, out)
	}
}

// CallerGone says that the caller of a request closed its connection. Work
// that nobody waits for is cancelled. A request with an idempotency key runs
// on: its caller will ask for the result, and cancelling it would turn a known
// result into an unknown one. CallerGone reports whether the request runs on;
// if not, the driver gets no further directive for it.
func (c *Core) CallerGone(now time.Duration, id RequestID, out *Actions) (runsOn bool) {
	r, ok := c.requests[id]
	if !ok || r.phase == phaseFinished {
		return false
	}
	if r.keyed && r.phase == phaseActive {
		return true
	}
	p := r.pool
	if r.phase == phaseJoined {
		c.leaveWaiters(r)
	}
	c.now, r.callerGone, r.outcome = now, true, r.weakest
	if r.live() > 0 {
		r.outcome = OutcomeUnknown
	}
	c.settleKey(now, r, r.weakest, nil, out)
	c.finish(r, out)
	c.drainPool(now, p, out)
	return false
}
