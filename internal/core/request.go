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

// MaxAttempts bounds the dispatches of one request, whatever its profile allows.
const MaxAttempts = 8

const (
	// maxIdleRefusals is how often one request may be refused by endpoints that were asked to
	// accept it only into an idle slot.
	maxIdleRefusals = 3
	// idleRefusalShare bounds these refusals to a share of the requests that succeed, so that a
	// service whose endpoints refuse everything gets no extra attempts.
	idleRefusalShare = 1.0
	// silentShare and silentCap bound the attempts that follow one whose connection went silent:
	// one for each request that succeeded before, saved up to the number of idle connections that
	// an entry usually keeps for a service. They guard against a network that drops the state of
	// all connections at once: each dead connection fails one read request before it is detected,
	// and the retry budget, which keeps retries from adding load to an overload, covers only five;
	// the other read requests would fail with "endpoint-lost". An attempt that no endpoint has
	// acknowledged adds no such load.
	silentShare = 1.0
	silentCap   = 64
)

// phase is the state of a request.
type phase uint8

const (
	phaseQueued phase = iota + 1
	// phaseActive: at least one attempt is running or about to start.
	phaseActive
	// phaseProbing: load probes are under way before an endpoint is chosen.
	phaseProbing
	// phaseJoined: another request with the same key is running.
	phaseJoined
	// phaseForwarded: the request was forwarded to another entry, the home of its key.
	phaseForwarded
	// phaseFinished: the caller has its answer; some attempts may still be running.
	phaseFinished
)

// attempt is one dispatch of a request.
type attempt struct {
	live     bool
	hedge    bool
	forward  bool
	idleOnly bool
	// hadHeadroom is set if the endpoint had headroom by its last load probe, fillsEndpoint if
	// this attempt nearly filled it.
	hadHeadroom, fillsEndpoint bool
	index                      int
	incarnation                uint64
	sentAt                     time.Duration
	// expectedDuration is how long the attempt was expected to take when it was sent.
	expectedDuration time.Duration
	// status, load, retryAfter and headLatency come from the head of the answer.
	status      int
	load        Load
	retryAfter  time.Duration
	headLatency time.Duration
	// relay is set if the attempt went to another entry, of which incarnation is then the
	// incarnation; helperReason is why that entry refused it.
	relay        bool
	helperReason Reason
	// written is set right before the first byte is written. A withdrawn attempt is not written any
	// more.
	written, withdrawn bool
	// endpoint is the endpoint's name, probedLoad and limit the load and rate limit that it had
	// reported; end, cause, took and conn describe the end of the attempt, for the request trace.
	endpoint   string
	probedLoad table.ProbedLoad
	limit      float64
	end        EndKind
	cause      string
	conn       ConnUse
	took       time.Duration
	// repeatSpent is set when the budget for the retry after this attempt was already spent.
	repeatSpent bool
}

// request is one caller's request.
type request struct {
	arrival Arrival
	service *service
	// pool is the pool that the service used when the request arrived. The pool's queue and
	// endpoints refer to the request, so the request keeps this pool even if a new profile moves
	// the service to another one.
	pool     *pool
	policy   *profile.Policy
	phase    phase
	arrived  time.Duration
	deadline time.Duration
	// mayRunTwice is set if running the request twice does no harm.
	mayRunTwice bool
	// keyed is set while the idempotency table lists the request's key as running here.
	keyed      bool
	replayable bool
	// attemptsOutcome is OutcomeUnknown if an ended attempt may have run, else OutcomeNotRun.
	attemptsOutcome Outcome
	// committed is the attempt whose answer is passed on to the caller, 0 if there is none yet.
	committed  Attempt
	attempts   [MaxAttempts + 1]attempt
	dispatches Attempt
	// counted is set if this entry or another one counts the request for the fleet's bound on repeats.
	counted bool
	// idleRefusals counts the idle-only attempts that endpoints refused.
	idleRefusals int
	// unsent counts the attempts that never left this entry.
	unsent int
	// relayedTo are the incarnations of the helpers that were asked for the request. dialFailures
	// counts the attempts for which no connection could be opened.
	relayedTo    []uint64
	dialFailures int
	// forwardedTo are the entries to which the request was forwarded for its key.
	forwardedTo []uint64
	// tried are the endpoints that the request was dispatched to.
	tried balance.Set
	// lastReason is why the latest attempt failed.
	lastReason Reason
	// probeRound is the current round of load probes, or the latest one.
	probeRound loadProbeRound
	// age is how long before its arrival the caller first tried, as far as known.
	age time.Duration
	// late is set when the request can no longer be answered in time; it then waits until
	// lateUntil.
	late      bool
	lateUntil time.Duration
	// loadProbes counts the endpoints probed, noRoom how often there was no room. The following
	// fields describe the end of the request, for the request trace.
	loadProbes, noRoom int
	outcome            Outcome
	reason             Reason
	retryAfter         time.Duration
	status             int
	callerGone         bool
	// queuedOnce is set when the request has waited in the pool's queue.
	queuedOnce bool
}

// live returns the number of running attempts.
func (r *request) live() int {
	n := 0
	for i := Attempt(1); i <= r.dispatches; i++ {
		if r.attempts[i].live {
			n++
		}
	}
	return n
}

// Arrive processes a caller's request. The core answers with directives for it, at once or later.
func (c *Core) Arrive(now time.Duration, a Arrival, out *Actions) {
	c.now = now
	c.counters.Arrived++
	c.noteCallerRevision(now, a.Revision, out)
	if reason := c.admissionRefusal(&a); reason != ReasonNone {
		c.refuseAdmission(now, &a, reason, out)
		return
	}
	sv := c.serviceOf(&a)
	sv.arrived++
	sv.demand.Add(now, sv.expectedWork())
	r := c.newRequest(now, a, sv)
	c.countForBudgets(now, r)
	r.pool.placementState.NoteArrival(now)
	if !c.admitKey(now, r, out) {
		return
	}
	c.place(now, r, out)
}

// countForBudgets counts r for the budgets of its pool. A request for a lost pool is left to the entry
// that it is relayed to. For the fleet's bound on repeats only one of the entries that a request passes
// through counts it.
func (c *Core) countForBudgets(now time.Duration, r *request) {
	lost := r.pool.reach.Lost()
	if !lost {
		r.pool.loadProbes.Request(loadProbeEarnFactor * r.policy.LoadProbes)
	}
	r.counted = r.arrival.Counted || r.arrival.Forwarded
	if !lost && !r.counted {
		r.pool.repeats.Request(now)
		r.counted = true
	}
}

// admissionRefusal returns why a request is refused at admission, or ReasonNone. It runs before the
// core holds any state of the request.
func (c *Core) admissionRefusal(a *Arrival) Reason {
	if c.snapshot == nil {
		return ReasonStarting
	}
	if c.state == message.EntryStopped {
		return ReasonStopping
	}
	if c.serviceOf(a) == nil {
		return c.unknownServiceReason()
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
	if a.Admission.LargeAnswer && a.LinkBacklog > longestLinkBacklog(a.Admission.policy) {
		return ReasonLinkFull
	}
	return c.refusesRelayed(a)
}

// linkBacklogShare is the share of a large answer's latency objective for which it may wait for the
// link. Another entry, which a caller chooses for its next try, has room more often than not.
const linkBacklogShare = 0.5

// longestLinkBacklog is the longest backlog of the link with which a large answer is still accepted.
func longestLinkBacklog(p *profile.Policy) time.Duration {
	limit := p.Objective
	if limit == 0 {
		limit = p.Deadline
	}
	return time.Duration(linkBacklogShare * float64(limit))
}

func (c *Core) newRequest(now time.Duration, a Arrival, sv *service) *request {
	r := c.allocRequest()
	policy, pool := sv.policy, sv.pool
	if a.Admission.row > 0 {
		policy, pool = a.Admission.policy, a.Admission.pool
	}
	limit := policy.Deadline
	if a.Timeout > 0 && a.Timeout < limit {
		limit = a.Timeout
	}
	*r = request{
		arrival:         a,
		service:         sv,
		pool:            pool,
		policy:          policy,
		phase:           phaseActive,
		arrived:         now,
		deadline:        now + limit,
		mayRunTwice:     safeToRunTwice(policy.Kind, a.Idempotent && !c.Routed()),
		replayable:      a.Replayable,
		attemptsOutcome: OutcomeNotRun,
	}
	r.age = sv.estimateAge(a.Timeout)
	if a.Relayed {
		c.relayedInFlight++
		c.counters.RelayedHere++
	}
	c.requests[a.ID] = r
	return r
}

// safeToRunTwice reports whether a request may be sent to a second endpoint although the first may
// have run it. The profile declares reads and urgent checks safe by their kind; a bulk upload is
// safe only if its method is idempotent by definition; a once-only request never is.
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

// allocRequest returns a request that is free for reuse, or a new one.
func (c *Core) allocRequest() *request {
	n := len(c.freeRequests)
	if n == 0 {
		return new(request)
	}
	r := c.freeRequests[n-1]
	c.freeRequests = c.freeRequests[:n-1]
	return r
}

// place dispatches r now or puts it into its pool's queue.
func (c *Core) place(now time.Duration, r *request, out *Actions) {
	p := r.pool
	if c.refuseOutlasting(now, r, out) || c.relayLost(now, r, out) {
		return
	}
	if reason := c.unservable(now, r); reason != ReasonNone {
		c.fail(now, r, reason, out)
		return
	}
	if p.queue.Len() == 0 && c.tryDispatch(now, r, false, out) {
		return
	}
	c.enqueue(now, r, out)
	c.drainPool(now, p, out)
}

// serviceOf returns the service of a request, or nil.
func (c *Core) serviceOf(a *Arrival) *service {
	if row := int(a.Admission.row); row > 0 && row <= len(c.serviceRows) {
		return c.serviceRows[row-1]
	}
	return c.services[a.Service]
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
		// Endpoints that refused the request may become idle while it waits.
		r.tried = balance.Set{}
	}
}

// expectedWait estimates how long an item would wait for a slot.
func (p *pool) expectedWait(now time.Duration, item queue.Item) time.Duration {
	capacity := p.capacity(now)
	between := time.Duration(p.serviceNanos / float64(max(capacity.Slots, 1)))
	return p.queue.ExpectedWait(now, item, capacity.Free, between)
}

// expireQueues handles requests whose wait in a queue is over.
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

// waitExpired handles a request whose wait in the queue is over. If it has just become late, it
// keeps waiting behind the requests that can be in time.
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

// CallerGone is called when the caller of a request has closed its connection. The request is
// cancelled, unless it has an idempotency key and is running: the caller will ask for the result,
// and cancelling would turn a known result into an unknown one. CallerGone reports whether the
// request runs on; if not, the driver gets no further directive for it.
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
		c.removeWaiter(r)
	}
	c.now, r.callerGone, r.outcome = now, true, r.unansweredOutcome()
	c.settleKey(now, r, r.outcome, nil, out)
	c.finish(r, out)
	c.drainPool(now, p, out)
	return false
}
