package core

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/idem"
	"github.com/tealhall/tealhall/internal/profile"
)

// admitKey applies the idempotency key of a request. It returns false if the request was answered,
// joined to a running one or forwarded to its key's home.
func (c *Core) admitKey(now time.Duration, r *request, out *Actions) bool {
	if r.policy.Kind == profile.Read || r.policy.Kind == profile.Urgent {
		return true
	}
	if r.arrival.Relayed {
		return true
	}
	if !r.arrival.HasKey {
		if r.policy.RequireKey {
			c.fail(now, r, ReasonKeyRequired, out)
			return false
		}
		return true
	}
	decision := c.keys.Begin(now, r.arrival.Key, r.arrival.Caller, r.arrival.Digest)
	return c.applyDecision(now, r, decision, out)
}

// applyDecision carries out what the key table decided on a request. It returns true if the request
// is to run here.
func (c *Core) applyDecision(now time.Duration, r *request, decision idem.Decision, out *Actions) bool {
	switch decision.Kind {
	case idem.Run:
		r.keyed = true
		return true
	case idem.Join:
		r.phase = phaseJoined
		c.waiters[r.arrival.Key] = append(c.waiters[r.arrival.Key], r.arrival.ID)
		c.joined = append(c.joined, r.arrival.ID)
	case idem.Replay:
		c.replay(r, decision.Answer, out)
	case idem.NotHome:
		c.forwardHome(now, r, decision.Home, out)
	default:
		c.replyDecision(now, r, decision.Kind, out)
	}
	return false
}

// decisionReplies maps decisions that end the request to the outcome and reason that the caller
// gets.
var decisionReplies = map[idem.DecisionKind]struct {
	outcome Outcome
	reason  Reason
}{
	idem.DoneNoAnswer:   {OutcomeDone, ReasonKeyDone},
	idem.OutcomeUnknown: {OutcomeUnknown, ReasonKeyUnknown},
	idem.Mismatch:       {OutcomeNotRun, ReasonKeyMismatch},
	idem.Expired:        {OutcomeUnknown, ReasonKeyExpired},
	idem.FromFuture:     {OutcomeUnknown, ReasonKeyFuture},
	idem.Spent:          {OutcomeNotRun, ReasonKeySpent},
	idem.Sealed:         {OutcomeNotRun, ReasonStopping},
	idem.Full:           {OutcomeNotRun, ReasonKeyTableFull},
	idem.SealedNotRun:   {OutcomeNotRun, ReasonHomeStopped},
	idem.HomeUnknown:    {OutcomeUnknown, ReasonHomeLost},
}

func (c *Core) replyDecision(now time.Duration, r *request, kind idem.DecisionKind, out *Actions) {
	answer := decisionReplies[kind]
	c.counters.Refused[answer.reason]++
	c.countOutcome(answer.outcome)
	after := c.retryAfter(now, r, answer.reason)
	out.addDirective(Directive{ID: r.arrival.ID, Step: StepReply, Outcome: answer.outcome, Reason: answer.reason, RetryAfter: after})
	c.finish(r, out)
}

func (c *Core) countOutcome(o Outcome) {
	switch o {
	case OutcomeDone:
		c.counters.Done++
	case OutcomeNotRun:
		c.counters.NotRun++
	default:
		c.counters.Unknown++
	}
}

// replay answers a request with the stored answer of the earlier request with its key.
func (c *Core) replay(r *request, answer *idem.Answer, out *Actions) {
	c.counters.Replayed++
	c.counters.Done++
	out.addDirective(Directive{ID: r.arrival.ID, Step: StepReplay, Outcome: OutcomeDone, Answer: answer})
	c.finish(r, out)
}

// forwardHome forwards a request to the home of its key, the only entry that may run it, or to a
// successor that may have the home's key table. A request that another entry forwarded is not
// forwarded again: two entries that disagree about a home must not send it back and forth.
func (c *Core) forwardHome(now time.Duration, r *request, home uint64, out *Actions) {
	if c.outlastsStop(now, r) {
		c.reply(r, OutcomeUnknown, ReasonStopping, c.retryAfter(now, r, ReasonStopping), out)
		c.finish(r, out)
		return
	}
	if !r.arrival.Forwarded && c.forwardNext(now, r, home, out) {
		return
	}
	c.reply(r, OutcomeUnknown, ReasonHomeLost, 0, out)
	c.finish(r, out)
}

// forwardNext forwards r to the next entry that may know its key: the home, then its successors in
// order. It is safe to ask any number of them, even after an answer was lost, because only the home
// ever runs the key. Asking one of them is not enough: a stopping home refuses connections before
// its peers know of the stop, and an entry that joined since may rank before the successors that
// have the key table.
func (c *Core) forwardNext(now time.Duration, r *request, home uint64, out *Actions) bool {
	if int(r.dispatches) >= MaxAttempts || !r.replayable || now >= r.deadline {
		return false
	}
	address, ok := c.nextKeyOwner(r, home)
	if !ok {
		return false
	}
	c.counters.Forwarded++
	r.phase = phaseForwarded
	r.dispatches++
	r.attempts[r.dispatches] = attempt{live: true, forward: true, index: -1, sentAt: now}
	out.addDirective(Directive{
		ID:       r.arrival.ID,
		Step:     StepForward,
		Attempt:  r.dispatches,
		Address:  address,
		Once:     true,
		Deadline: r.deadline,
	})
	return true
}

// nextKeyOwner returns the address of the first entry that may know a key of home and was not asked
// yet for r.
func (c *Core) nextKeyOwner(r *request, home uint64) (string, bool) {
	candidates := append([]uint64{home}, c.successorsOf(home, successorCount+extraSuccessors, mayHaveAdopted)...)
	for _, incarnation := range candidates {
		address, known := c.fleet.callerAddressOf(incarnation)
		if !known || incarnation == c.cfg.Self.Incarnation || slices.Contains(r.forwardedTo, incarnation) {
			continue
		}
		r.forwardedTo = append(r.forwardedTo, incarnation)
		return address, true
	}
	return "", false
}

// useForwarded decides whether to pass on the answer of another entry. If that entry does not know
// the key, its answer is dropped and the next candidate is asked.
func (c *Core) useForwarded(r *request, h Head) bool {
	return r.phase == phaseForwarded && r.committed == 0 && !h.HomeLost
}

// forwardEnded continues after a request was forwarded to another entry. If the forwarding failed,
// an earlier try with the same key may have run there, so the outcome is "unknown".
func (c *Core) forwardEnded(now time.Duration, r *request, e End, out *Actions) {
	home := r.arrival.Key.Home
	switch {
	case r.committed == e.Attempt && e.Kind == EndComplete:
		c.counters.Done++
	case r.committed == e.Attempt:
		c.counters.Unknown++
	case c.forwardNext(now, r, home, out):
		return
	case c.fleet.knows(home):
		c.reply(r, OutcomeUnknown, ReasonHomeUnreachable, minRetryAfter, out)
	default:
		c.reply(r, OutcomeUnknown, ReasonHomeLost, 0, out)
	}
	c.finish(r, out)
}

// settleKey records the outcome of a keyed request and answers the requests that joined it.
func (c *Core) settleKey(now time.Duration, r *request, outcome Outcome, answer *idem.Answer, out *Actions) {
	if !r.keyed {
		return
	}
	switch outcome {
	case OutcomeNotRun:
		c.releaseKey(now, r, out)
		return
	case OutcomeDone:
		c.keys.Finish(r.arrival.Key, idem.Done, answer)
	default:
		c.keys.Finish(r.arrival.Key, idem.Unknown, nil)
	}
	r.keyed = false
	c.answerWaiters(now, r.arrival.Key, out)
}

// releaseKey ends a key whose request was not run. The key is marked as spent, and no request with
// it ever runs, so that "not run" stays true.
func (c *Core) releaseKey(now time.Duration, r *request, out *Actions) {
	c.keys.Release(r.arrival.Key)
	r.keyed = false
	c.answerWaiters(now, r.arrival.Key, out)
}

// expireJoined answers joined requests whose own deadline has passed. An endpoint may have run the
// request that they waited for, so the outcome is "unknown".
func (c *Core) expireJoined(now time.Duration, out *Actions) {
	kept := c.joined[:0]
	for _, id := range c.joined {
		r, ok := c.requests[id]
		if !ok || r.phase != phaseJoined {
			continue
		}
		if now < r.deadline {
			kept = append(kept, id)
			continue
		}
		c.removeWaiter(r)
		c.reply(r, OutcomeUnknown, ReasonDeadline, minRetryAfter, out)
		c.finish(r, out)
	}
	c.joined = kept
}

// removeWaiter removes r from the requests that wait for its key.
func (c *Core) removeWaiter(r *request) {
	ids := c.waiters[r.arrival.Key]
	ids = slices.DeleteFunc(ids, func(id RequestID) bool { return id == r.arrival.ID })
	if len(ids) == 0 {
		delete(c.waiters, r.arrival.Key)
		return
	}
	c.waiters[r.arrival.Key] = ids
}

// answerWaiters applies the key again for the requests that joined it, now that the running request
// has ended.
func (c *Core) answerWaiters(now time.Duration, key idem.Key, out *Actions) {
	ids := c.waiters[key]
	if len(ids) == 0 {
		return
	}
	delete(c.waiters, key)
	for _, id := range ids {
		r, ok := c.requests[id]
		if !ok || r.phase != phaseJoined {
			continue
		}
		r.phase = phaseActive
		c.admitKey(now, r, out)
	}
}
