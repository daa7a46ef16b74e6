package core

import (
	"net/http"
	"time"

	"github.com/tealhall/tealhall/internal/core/quarantine"
	"github.com/tealhall/tealhall/internal/core/queue"
	"github.com/tealhall/tealhall/internal/idem"
)

// refuseAdmission answers a request that is refused at admission. A request with an idempotency key
// may be a later try of a request that has run, so that "not run" could be false. Only a request
// whose key is new at the key's home has provably not run; its key is marked as spent so that this
// stays true.
func (c *Core) refuseAdmission(now time.Duration, a *Arrival, reason Reason, out *Actions) {
	outcome := OutcomeNotRun
	if a.HasKey {
		outcome = OutcomeUnknown
		if c.keys.Begin(now, a.Key, a.Caller, a.Digest).Kind == idem.Run {
			c.keys.Release(a.Key)
			outcome = OutcomeNotRun
		}
	}
	c.countOutcome(outcome)
	c.counters.Refused[reason]++
	after := refusedAdmissionRetry
	if reason == ReasonStarting || reason == ReasonBehind {
		after = c.retryDelay() // the missing profiles arrive within a fraction of a second
	}
	if reason == ReasonQuarantined {
		after = c.quarantineLeft(now, a.identity())
	}
	if reason == ReasonLinkFull {
		after = min(a.LinkBacklog-longestLinkBacklog(a.Admission.policy), maxRetryAfter) + c.retryDelay()
	}
	out.addDirective(Directive{ID: a.ID, Step: StepReply, Outcome: outcome, Reason: reason, RetryAfter: after})
}

// unansweredOutcome is the outcome of a request that gets no endpoint's answer: "not run" only if no
// attempt may have run or is under way, and otherwise "unknown".
func (r *request) unansweredOutcome() Outcome {
	if r.live() > 0 {
		return OutcomeUnknown
	}
	return r.attemptsOutcome
}

// fail ends a request with tealhall's own answer.
func (c *Core) fail(now time.Duration, r *request, reason Reason, out *Actions) {
	outcome := r.unansweredOutcome()
	c.reply(r, outcome, reason, c.retryAfter(now, r, reason), out)
	c.settleKey(now, r, outcome, nil, out)
	c.finish(r, out)
}

func (c *Core) reply(r *request, outcome Outcome, reason Reason, after time.Duration, out *Actions) {
	c.counters.Refused[reason]++
	if outcome == OutcomeNotRun {
		c.counters.NotRun++
	} else {
		c.counters.Unknown++
	}
	r.outcome, r.reason, r.retryAfter = outcome, reason, after
	out.addDirective(Directive{ID: r.arrival.ID, Step: StepReply, Outcome: outcome, Reason: reason, RetryAfter: after})
}

// The bounds of Retry-After.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// refusedAdmissionRetry is the Retry-After of refusals that concern the whole entry.
	refusedAdmissionRetry = time.Second
)

// retryAfter returns the delay after which the caller should try again, or 0 if the reason's status
// calls for none: the remaining time of a quarantine or backoff, a random delay for a service that uses load
// probes, and otherwise the expected wait in the current queue.
func (c *Core) retryAfter(now time.Duration, r *request, reason Reason) time.Duration {
	switch reason.Status() {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
	default:
		return 0
	}
	if reason == ReasonQuarantined {
		return c.quarantineLeft(now, r.identity())
	}
	if reason == ReasonBackoff {
		return c.backoffDelay(now, r)
	}
	if reason == ReasonStopping {
		return c.randomBetween(minShortRetryDelay, maxShortRetryDelay) // other entries serve the caller
	}
	if c.usesLoadProbes(r) {
		return c.retryDelayAfter(now, r, reason)
	}
	item := queue.Item{Service: r.service.index, Priority: r.policy.Priority, Enqueued: now, Deadline: r.deadline}
	wait := r.pool.expectedWait(now, item)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// quarantineLeft returns how long a request stays in quarantine, within the bounds of Retry-After.
func (c *Core) quarantineLeft(now time.Duration, request quarantine.Request) time.Duration {
	return min(max(c.quarantine.Until(request)-now, minRetryAfter), maxRetryAfter)
}

// finish marks a request as answered and cancels its running attempts. The request is kept until
// these have ended.
func (c *Core) finish(r *request, out *Actions) {
	if r.phase == phaseFinished {
		return
	}
	if r.phase == phaseQueued {
		r.pool.queue.Remove(uint64(r.arrival.ID))
	}
	c.endProbeRound(r)
	r.phase = phaseFinished
	if r.arrival.Relayed {
		c.relayedInFlight--
	}
	c.traceRequest(r, out)
	c.cancelOthers(r, 0, out)
	c.forgetIfEnded(r)
}

// cancelOthers cancels every running attempt except keep; 0 cancels all.
func (c *Core) cancelOthers(r *request, keep Attempt, out *Actions) {
	for i := Attempt(1); i <= r.dispatches; i++ {
		if i != keep && r.attempts[i].live {
			out.addDirective(Directive{ID: r.arrival.ID, Step: StepCancel, Attempt: i})
		}
	}
}

func (c *Core) forgetIfEnded(r *request) {
	if r.phase != phaseFinished || r.live() > 0 {
		return
	}
	delete(c.requests, r.arrival.ID)
	c.freeRequests = append(c.freeRequests, r)
}
