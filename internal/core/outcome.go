package core

import (
	"net/http"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/table"
)

// settleAttempt frees the slot of an ended attempt and records its result for health, balancing and
// latency estimates.
func (c *Core) settleAttempt(now time.Duration, r *request, a *attempt, end End, out *Actions) {
	p := r.pool
	r.service.inUse--
	e := p.endpointAt(a.index, a.incarnation)
	if e == nil {
		return
	}
	e.Outstanding--
	p.Activate(a.index)
	p.probeAgainAt = now // a slot may have become free
	if o, ok := healthOutcome(a, end); ok {
		c.recordOutcome(now, r, e, o, end)
	}
	c.noteAttemptContact(now, p, a, e, end)
	c.noteAttemptEnd(now, r, a, e, end, out)
	p.picker.Answered(now, &p.Pool, a.index, observationOf(now, a, e, end))
	if end.BodyFailed || end.Kind == EndNotWritten && !end.DialFailed {
		return
	}
	if end.ConnSilent {
		out.SuspectAddresses = append(out.SuspectAddresses, e.Address)
	}
	if o, ok := healthOutcome(a, end); ok && !refusedWhileBusy(a, end) {
		health.Observe(now, &p.Pool, a.index, health.Observation{
			Outcome:  o,
			Sent:     a.sentAt,
			Latency:  a.latency(now),
			Expected: r.service.typical.Latency(),
			Queued:   a.load.Queued,
		})
	}
	if end.Kind == EndComplete && a.status < http.StatusInternalServerError {
		r.service.typical.Observe(a.latency(now))
		if a.hadHeadroom {
			r.service.work.Observe(a.latency(now))
		}
		if a.fillsEndpoint {
			p.placementState.NoteSlowdown(a.latency(now), r.service.work.Typical())
		}
		p.noteServiceTime(now - a.sentAt)
	}
}

// recordOutcome records the end of an attempt for placement, which chooses endpoints by load
// probes.
func (c *Core) recordOutcome(now time.Duration, r *request, e *table.Endpoint, o health.Outcome, end End) {
	failed := o != health.Answered && o != health.RefusedNotRun && o != health.ConnSilent
	placement.NoteOutcome(now, e, failed)
	if o == health.ConnectFailed && end.DialFailed {
		r.pool.placementState.NoteContact(now, e.Domain, false)
	}
	if o == health.ConnectFailed || o == health.RefusedNotRun {
		e.AvoidUntil = max(e.AvoidUntil, now+unhealthyPause)
	}
	if end.Kind == EndComplete {
		r.service.noteSize(end.Bytes)
	}
}

// observationOf returns what the balancing policy learns from an attempt. An endpoint may report
// fewer slots than the platform lists but never more: a wrong report would attract the pool's
// traffic and raise the budget for health probes, which is a share of the slots.
//
// A refusal of an idle-only request is not a failure. Its status is 503 like that of a failing
// endpoint, and the policy avoids failing endpoints for up to a second: under load it would skip
// most of the pool while slots become free.
func observationOf(now time.Duration, a *attempt, e *table.Endpoint, end End) balance.Observation {
	return balance.Observation{
		Latency:  a.latency(now),
		HasLoad:  a.load.Known,
		InFlight: a.load.InFlight,
		Queued:   a.load.Queued,
		Slots:    min(a.load.Slots, int(placement.AllowedSlots(now, e))),
		Refused:  end.Kind == EndNotRun,
		Failed:   attemptFailed(a, end) && !refusedWhileBusy(a, end),
	}
}

// attemptFailed reports whether an attempt ended without a usable answer.
func attemptFailed(a *attempt, end End) bool {
	switch end.Kind {
	case EndLost, EndTruncated, EndNotWritten:
		return true
	}
	return a.status >= http.StatusInternalServerError
}

// refusedWhileBusy reports whether an endpoint refused an idle-only request and indeed had no idle
// slot.
func refusedWhileBusy(a *attempt, end End) bool {
	return refusedIdleOnly(a, end) && a.load.noIdleSlot()
}

// refusedIdleOnly reports whether an endpoint refused a request that was sent as idle-only.
func refusedIdleOnly(a *attempt, end End) bool {
	return a.idleOnly && end.Kind == EndNotRun
}

// noIdleSlot reports whether an endpoint has no idle slot by its own report, or sent no report. An
// endpoint that refuses everything may report idle slots: its refusals of idle-only requests must
// then count as failures, or it would never be ejected and each request would try it first.
func (l Load) noIdleSlot() bool { return !l.Known || l.InFlight+l.Queued >= l.Slots }

// latency is the time to the head of the answer, or to the failure. The time in which the caller
// receives the answer is left out: a slow caller would make its endpoint look slow.
func (a *attempt) latency(now time.Duration) time.Duration {
	if a.headLatency > 0 {
		return a.headLatency
	}
	return now - a.sentAt
}

func (p *pool) noteServiceTime(took time.Duration) {
	if p.serviceNanos == 0 {
		p.serviceNanos = float64(took)
		return
	}
	p.serviceNanos += sampleWeight * (float64(took) - p.serviceNanos)
}

// healthOutcome returns what the end of an attempt says about the endpoint's health, if anything.
func healthOutcome(a *attempt, end End) (health.Outcome, bool) {
	switch end.Kind {
	case EndComplete, EndDiscarded:
		if a.status >= http.StatusInternalServerError {
			return health.AnsweredError, true
		}
		return health.Answered, true
	case EndNotRun:
		return health.RefusedNotRun, true
	case EndNotWritten:
		return health.ConnectFailed, true
	case EndTruncated:
		return health.Broken, true
	case EndLost:
		return lostOutcome(end), true
	default:
		return 0, false
	}
}

func lostOutcome(end End) health.Outcome {
	switch {
	case end.ConnSilent:
		return health.ConnSilent
	case end.TimedOut:
		return health.TimedOut
	default:
		return health.Broken
	}
}
