package core

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/idem"
	"github.com/tealhall/tealhall/internal/profile"
)

// admitKey applies the idempotency key of a request. It returns false when the
// request was answered, joined to a running one or sent on to its key's home.
func (c *Core) admitKey(now time.Duration, r *request, out *Actions) bool {
	if r.policy.Kind == profile.Read || r.policy.Kind == profile.Urgent {
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

// decisionReplies says what a caller is told for verdicts that end the request.
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
	out.request(Directive{ID: r.arrival.ID, Step: StepReply, Outcome: answer.outcome, Reason: answer.reason, RetryAfter: after})
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

func (c *Core) replay(r *request, answer *idem.Answer, out *Actions) {
	c.counters.Replayed++
	c.counters.Done++
	out.request(Directive{ID: r.arrival.ID, Step: StepReplay, Outcome: OutcomeDone, Answer: answer})
	c.finish(r, out)
}

// forwardHome sends a request on to the entry that alone may run its key, or to
// a successor that may hold its table. A request that another entry sent on is
// not sent on again: two entries that disagree about a home must not pass it to
// and fro.
func (c *Core) forwardHome(now time.Duration, r *request, home uint64, out *Actions) {
	if !r.arrival.Forwarded && c.forwardNext(now, r, home, out) {
		return
	}
	c.reply(r, OutcomeUnknown, ReasonHomeLost, 0, out)
	c.finish(r, out)
}

// forwardNext sends r on to the next entry that may know its key: the home, then
// its successors one after the other. It is safe to ask any number of them, also
// after an answer was lost, because only the home ever runs the key. Asking one
// would not do: a home that stops refuses connections before its peers know, and
// an entry that joined since may rank before those that hold the table.
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
	out.request(Directive{
		ID:       r.arrival.ID,
		Step:     StepForward,
		Attempt:  r.dispatches,
		Address:  address,
		Once:     true,
		Deadline: r.deadline,
	})
	return true
}

// nextKeyOwner returns the address of the first entry that may know a key of home
// and was not asked yet for r.
func (c *Core) nextKeyOwner(r *request, home uint64) (string, bool) {
	candidates := append([]uint64{home}, c.successorsOf(home, successorCount+extraSuccessors, mayAdopt)...)
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

// useForwarded decides whether the caller gets the answer of another entry. One
// that knows nothing of the key is passed over for those that may.
func (c *Core) useForwarded(r *request, h Head) bool {
	return r.phase == phaseForwarded && r.committed == 0 && !h.HomeLost
}

// forwardEnded goes on after a request was sent on to another entry. Whatever
// went wrong on the way, an earlier try with the same key may have run there:
// the only true statement is "unknown".
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

// settleKey records the result of a keyed request and answers those that
// joined it.
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

// releaseKey ends a key whose request was not run. The key is spent: it never
// runs, so that "not run" stays true.
func (c *Core) releaseKey(now time.Duration, r *request, out *Actions) {
	c.keys.Release(r.arrival.Key)
	r.keyed = false
	c.answerWaiters(now, r.arrival.Key, out)
}

// expireJoined answers requests that waited for a running one beyond their own
// deadline. The running one may have run, so "unknown" is all that is true.
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

func (c *Core) removeWaiter(r *request) {
	ids := c.waiters[r.arrival.Key]
	ids = slices.DeleteFunc(ids, func(id RequestID) bool { return id == r.arrival.ID })
	if len(ids) == 0 {
		delete(c.waiters, r.arrival.Key)
		return
	}
	c.waiters[r.arrival.Key] = ids
}

// answerWaiters lets the requests that joined a key see what became of it.
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
