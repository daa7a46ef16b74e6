package core

import (
	"net/http"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/health"
	"github.com/tealhall/tealhall/internal/core/placement"
	"github.com/tealhall/tealhall/internal/core/table"
)

// settleAttempt returns the slot and tells the health system.
func (c *Core) settleAttempt(now time.Duration, r *request, a *attempt, end End, out *Actions) {
	p := r.pool
	r.service.inUse--
	e := p.endpointAt(a.index, a.incarnation)
	if e == nil {
		return
	}
	e.Outstanding--
	p.probeAgainAt = now // a slot may be free
	if o, ok := healthOutcome(a, end); ok {
		c.noteEnd(now, r, e, o, end)
	}
	c.noteAttemptEnd(now, r, a, e, end, out)
	p.picker.Answered(now, &p.Pool, a.index, observationOf(now, a, e, end))
	if end.BodyFailed || end.Kind == EndNotWritten && !end.DialFailed {
		return
	}
	if end.ConnSilent {
		out.SuspectAddresses = append(out.SuspectAddresses, e.Address)
	}
	if o, ok := healthOutcome(a, end); ok && !refusedBusy(a, end) {
		health.Observe(now, e, health.Observation{
			Outcome:  o,
			Sent:     a.sentAt,
			Latency:  a.latency(now),
			Expected: r.service.typical.Latency(),
			Queued:   a.load.Queued,
		})
	}
	if end.Kind == EndComplete && a.status < http.StatusInternalServerError {
		r.service.typical.Observe(a.latency(now))
		if a.alone {
			r.service.work.Observe(a.latency(now))
		}
		if a.fills {
			p.learned.NoteSharing(a.latency(now), r.service.work.Typical())
		}
		p.noteServiceTime(now - a.sentAt)
	}
}

// noteEnd takes in for the choice by looks how an attempt ended.
func (c *Core) noteEnd(now time.Duration, r *request, e *table.Endpoint, o health.Outcome, end End) {
	failed := o != health.Answered && o != health.RefusedNotRun && o != health.ConnSilent
	placement.NoteOutcome(now, e, failed)
	if o == health.ConnectFailed && end.DialFailed {
		r.pool.learned.NoteContact(now, e.Domain, false)
	}
	if o == health.ConnectFailed || o == health.RefusedNotRun {
		e.AvoidUntil = max(e.AvoidUntil, now+unwellPause)
	}
	if end.Kind == EndComplete {
		r.service.noteSize(end.Bytes)
	}
}

// observationOf is what the choice policy learns from an attempt. An endpoint may
// report fewer slots than the platform lists and never more: a wrong report
// would draw the pool's traffic, and raise the watching budget, which is a share
// of the slots.
//
// A refusal that was asked for is no failure. Its status is 503 like that of a
// failing endpoint, and the policy leaves those alone for up to a second: under
// load most of the pool would be passed over while its slots come free.
func observationOf(now time.Duration, a *attempt, e *table.Endpoint, end End) balance.Observation {
	return balance.Observation{
		Latency:  a.latency(now),
		HasLoad:  a.load.Known,
		InFlight: a.load.InFlight,
		Queued:   a.load.Queued,
		Slots:    min(a.load.Slots, int(placement.AllowedSlots(now, e))),
		Refused:  end.Kind == EndNotRun,
		Failed:   unusable(a, end) && !refusedBusy(a, end),
	}
}

// unusable says that an attempt brought no answer of use.
func unusable(a *attempt, end End) bool {
	switch end.Kind {
	case EndLost, EndTruncated, EndNotWritten:
		return true
	}
	return a.status >= http.StatusInternalServerError
}

// refusedBusy says that an endpoint refused what it was asked to refuse, and
// was as busy as that takes.
func refusedBusy(a *attempt, end End) bool {
	return refusedIdle(a, end) && a.load.busy()
}

// refusedIdle says that an endpoint did what it was asked: it refused a request
// for which it had no idle slot.
func refusedIdle(a *attempt, end End) bool {
	return a.idleOnly && end.Kind == EndNotRun
}

// busy says that no slot is idle by an endpoint's own report, or that there is
// none. An endpoint that turns everything away reports idle slots: its refusals
// must count although it was asked for an idle slot only, or it would never be
// ejected and each request would ask it first.
func (l Load) busy() bool { return !l.Known || l.InFlight+l.Queued >= l.Slots }

// latency is the time to the head of the answer, or to the failure. The time
// that a caller takes to receive an answer must not count: a slow caller would
// make its endpoint look slow.
func (a *attempt) latency(now time.Duration) time.Duration {
	if a.headAfter > 0 {
		return a.headAfter
	}
	return now - a.sentAt
}

func (p *pool) noteServiceTime(took time.Duration) {
	if p.serviceNanos == 0 {
		p.serviceNanos = float64(took)
		return
	}
	p.serviceNanos += serviceWeight * (float64(took) - p.serviceNanos)
}

// healthOutcome says what an attempt's end tells of the endpoint, if anything.
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
