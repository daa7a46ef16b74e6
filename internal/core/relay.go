package core

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/core/reach"
	"github.com/tealhall/tealhall/internal/profile"
)

// An entry whose paths to the endpoints of a pool are cut passes requests for the pool on to
// another entry, a helper, which may reach them. A relayed request is not relayed again: two cut
// entries that take each other for helpers would otherwise send it back and forth. A helper that
// cannot serve it says so at once, and the next one is asked.
const (
	// maxRelays bounds how many helpers are asked for one request.
	maxRelays = 4
	// maxDialFailures is how many connections must fail for one request until it is relayed. One
	// endpoint may just have crashed.
	maxDialFailures = 2
	// cutHelperPause is how long a helper is not asked for a pool that it does not reach,
	// deadHelperPause how long one that cannot be reached itself is not asked, and busyHelperPause
	// how long one that has no room is not asked.
	cutHelperPause  = 3 * time.Second
	deadHelperPause = time.Second
	busyHelperPause = 20 * time.Millisecond
	// helperMemory is how long a helper is preferred after it served a relayed request, and
	// exploreOneIn is how many requests it takes until others are tried all the same: one in the own
	// failure domain may reach endpoints again.
	helperMemory = 5 * time.Second
	exploreOneIn = 16
	// relayedPerCore and minRelayed bound the relayed requests that a helper has in flight, by its
	// processing capacity, so that the callers of others do not crowd out its own.
	relayedPerCore = 200
	minRelayed     = 16
	// trialInterval is the time between two requests that are sent to the endpoints of a lost pool
	// whose endpoints get no load probes.
	trialInterval = reach.CheckInterval
	// Of the requests that nobody else serves, one in unservedOneIn is sent to an endpoint all the
	// same, and at most one in unservedInterval: endpoints may answer requests although they answer
	// no probes.
	unservedOneIn    = 16
	unservedInterval = 2 * time.Second
)

// helperPool identifies a helper and a pool for which it is asked; pool is nil for all pools.
type helperPool struct {
	incarnation uint64
	pool        *pool
}

// helperState is what this entry knows of a helper: until when it is not asked, and when it last
// served a request.
type helperState struct{ pausedUntil, servedAt time.Duration }

// servedLately reports whether the helper served a request within helperMemory.
func (s helperState) servedLately(now time.Duration) bool {
	return s.servedAt > 0 && now-s.servedAt < helperMemory
}

// relayLost relays or refuses r if this entry reaches no endpoint of its pool. It returns false if
// r is to be sent from here.
func (c *Core) relayLost(now time.Duration, r *request, out *Actions) bool {
	if !r.pool.reach.Lost() {
		return false
	}
	if !r.pool.usesLoadProbes() && c.takeTrial(now, r, trialInterval) {
		return false
	}
	if c.relayNext(now, r, false, out) {
		return true
	}
	if r.pool.unserved++; r.pool.unserved >= unservedOneIn && c.takeTrial(now, r, unservedInterval) {
		r.pool.unserved = 0
		return false
	}
	c.fail(now, r, ReasonUnreachable, out)
	return true
}

// takeTrial reports whether r is to be sent to an endpoint of its lost pool, to find out whether it
// is answered. The next such request follows after the interval.
func (c *Core) takeTrial(now time.Duration, r *request, interval time.Duration) bool {
	if !r.replayable || r.arrival.Relayed || r.dispatches > 0 || now < r.pool.nextTrial {
		return false
	}
	r.pool.nextTrial = now + interval
	r.pool.reach.Tried(now)
	return true
}

// relayNext sends r to the next helper, beside a running attempt if second is set. It returns false
// if r may not be relayed or no helper is left.
func (c *Core) relayNext(now time.Duration, r *request, second bool, out *Actions) bool {
	if r.arrival.Forwarded || r.arrival.Relayed || r.keyed || len(r.relayedTo) >= maxRelays || int(r.dispatches) >= MaxAttempts || now >= r.deadline {
		return false
	}
	if r.dispatches > 0 && !r.replayable || !second && c.outlastsStop(now, r) {
		return false
	}
	helper := c.nextHelper(now, r)
	if helper == nil || second && !c.spendRepeat(now, r) {
		return false
	}
	if r.phase == phaseQueued {
		r.pool.queue.Remove(uint64(r.arrival.ID))
	}
	c.endProbeRound(r)
	repeated := r.unansweredOutcome() != OutcomeNotRun
	r.phase = phaseActive
	r.dispatches++
	r.relayedTo = append(r.relayedTo, helper.VM.Incarnation)
	r.attempts[r.dispatches] = attempt{live: true, relay: true, hedge: second, index: -1, incarnation: helper.VM.Incarnation, endpoint: helper.VM.Name, sentAt: now}
	c.counters.Relayed++
	out.addDirective(Directive{
		ID:       r.arrival.ID,
		Step:     StepRelay,
		Attempt:  r.dispatches,
		Address:  helper.VM.Address,
		Endpoint: helper.VM.Name,
		Once:     r.policy.Kind == profile.Once,
		Repeated: repeated,
		Counted:  r.counted,
		Deadline: r.deadline,
	})
	r.counted = true
	return true
}

// nextHelper returns an entry that may reach the endpoints of r's pool and was not asked yet for r,
// or nil. Among those of the best rank the choice is random, by processing capacity.
func (c *Core) nextHelper(now time.Duration, r *request) *member.Entry {
	var best *member.Entry
	bestRank, total := 0, uint64(0)
	explore := len(r.relayedTo) == 0 && c.rng.IntN(exploreOneIn) == 0
	for i := range c.fleet.entries {
		e := &c.fleet.entries[i]
		if !c.mayHelp(now, e, r) {
			continue
		}
		rank := c.helperRank(now, e, r, explore)
		if best != nil && rank > bestRank {
			continue
		}
		if best == nil || rank < bestRank {
			bestRank, total = rank, 0
		}
		weight := uint64(max(1, c.capacityOf(e)))
		if total += weight; c.rng.Uint64N(total) < weight {
			best = e
		}
	}
	return best
}

func (c *Core) mayHelp(now time.Duration, e *member.Entry, r *request) bool {
	id := e.VM.Incarnation
	return id != c.cfg.Self.Incarnation && !e.Suspected && c.mayBeNamed(e) && !slices.Contains(r.relayedTo, id) &&
		now >= c.helpers[helperPool{id, nil}].pausedUntil && now >= c.helpers[helperPool{id, r.pool}].pausedUntil
}

// helperRank returns the rank of a helper, the best being 0: first those that served a request
// lately if others have refused one, then those of failure domains in which none was asked for r, as
// a whole domain may be cut, last those that reach no endpoint either, and always the nearest first,
// since traffic between domains is expensive.
func (c *Core) helperRank(now time.Duration, e *member.Entry, r *request, explore bool) int {
	rank := c.distanceTo(e)
	if !explore && now < r.pool.cutHelpersUntil && c.helpers[helperPool{e.VM.Incarnation, r.pool}].servedLately(now) {
		return rank
	}
	if rank += distances; c.askedIn(r, e.VM.Domain) {
		rank += distances
	}
	if c.reportsNoEndpoint(e.VM.Incarnation) {
		rank += 2 * distances
	}
	return rank
}

// askedIn reports whether a helper in a failure domain was asked for r.
func (c *Core) askedIn(r *request, domain string) bool {
	return slices.ContainsFunc(r.relayedTo, func(incarnation uint64) bool {
		e := c.fleet.entry(incarnation)
		return e != nil && e.VM.Domain == domain
	})
}

// distances is the number of results of distanceTo.
const distances = 3

// distanceTo returns 0 for an entry in this entry's failure domain, 1 for one in its region, else 2.
func (c *Core) distanceTo(e *member.Entry) int {
	switch {
	case e.VM.Domain == c.cfg.Self.Domain:
		return 0
	case e.VM.Region == c.cfg.Self.Region:
		return 1
	}
	return 2
}

// relayEnded continues a request whose relayed attempt has ended without an answer for the caller.
func (c *Core) relayEnded(now time.Duration, r *request, a *attempt, e End, out *Actions) {
	provablyNotRun := e.Kind == EndNotWritten || e.Kind == EndNotRun
	if provablyNotRun {
		r.unsent++
	}
	c.pauseHelper(now, r, a, e)
	switch {
	case e.BodyFailed:
		c.fail(now, r, ReasonBodyBroken, out)
	case provablyNotRun && e.Kind == EndNotRun && !a.helperReason.anotherHelper():
		c.failRelayed(now, r, a, out)
	case !provablyNotRun && (!r.mayRunTwice || !c.mayRetry(now, r, false, false)):
		c.fail(now, r, ReasonEndpointLost, out)
	case c.relayNext(now, r, false, out):
	default:
		c.placeAgain(now, r, out)
	}
}

// failRelayed refuses r for the reason that its helper gave.
func (c *Core) failRelayed(now time.Duration, r *request, a *attempt, out *Actions) {
	after := a.retryAfter
	if after == 0 {
		after = c.retryAfter(now, r, a.helperReason)
	}
	c.reply(r, r.unansweredOutcome(), a.helperReason, after, out)
	c.finish(r, out)
}

// pauseHelper records for how long a helper that did not serve r is not asked.
func (c *Core) pauseHelper(now time.Duration, r *request, a *attempt, e End) {
	id, pause := helperPool{incarnation: a.incarnation}, deadHelperPause
	switch {
	case e.Kind == EndNotRun && (a.helperReason == ReasonOverload || a.helperReason == ReasonLinkFull):
		pause = busyHelperPause
	case e.Kind == EndNotRun && a.helperReason.anotherHelper():
		id.pool, pause = r.pool, cutHelperPause
		r.pool.cutHelpersUntil = now + helperMemory
	case !e.DialFailed && !e.ConnSilent && !e.ConnBroken:
		return
	}
	c.helpers[id] = helperState{pausedUntil: now + pause}
	if id.pool == nil && pause != busyHelperPause {
		delete(c.helpers, helperPool{a.incarnation, r.pool})
	}
}

// noteHelped records that a helper served a request of the pool.
func (c *Core) noteHelped(now time.Duration, p *pool, helper uint64) {
	c.helpers[helperPool{helper, p}] = helperState{servedAt: now}
}

// forgetHelpers drops what is known of helpers and no longer matters.
func (c *Core) forgetHelpers(now time.Duration) {
	for id, state := range c.helpers {
		if now >= state.pausedUntil && !state.servedLately(now) {
			delete(c.helpers, id)
		}
	}
}

// anotherHelper reports whether a helper that refuses a relayed request for this reason says
// nothing about whether another one can serve it.
func (r Reason) anotherHelper() bool {
	switch r {
	case ReasonUnreachable, ReasonOverload, ReasonLinkFull, ReasonBehind, ReasonStarting, ReasonStopping, ReasonUnknownService, ReasonNoEndpoint:
		return true
	}
	return false
}

// refusesRelayed returns why this entry does not serve a request that another one relays to it, or
// ReasonNone.
func (c *Core) refusesRelayed(a *Arrival) Reason {
	switch {
	case !a.Relayed:
		return ReasonNone
	case a.Revision > c.fleet.profiles.InForce().Revision:
		return ReasonBehind
	case c.relayedInFlight >= max(minRelayed, relayedPerCore*int(c.cfg.Self.Capacity)/1000):
		return ReasonOverload
	}
	return ReasonNone
}
