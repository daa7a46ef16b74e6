package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/forward"
	"github.com/tealhall/tealhall/internal/front"
	"github.com/tealhall/tealhall/internal/idem"
)

// attempt sends the request once and reports to the core what came of it. The
// answer that the core commits to goes to the exchange.
func (x *exchange) attempt(ctx context.Context, done context.CancelFunc, d core.Directive) {
	maySend := func() bool { return x.entry.engine.maySend(d.ID, d.Attempt) }
	body, ok := x.body.Reader()
	// Asked now as well, since a connection costs the endpoint something too.
	if !ok || !maySend() {
		done()
		x.end(d.Attempt, core.EndNotWritten, nil)
		return
	}
	connections := x.entry.connections
	if d.Step == core.StepForward {
		connections = x.entry.homes
	}
	response, delivery, err := connections.Send(ctx, forward.Outgoing{
		Address:       d.Address,
		Request:       x.request,
		Body:          body,
		ContentLength: x.body.Length(),
		Trailer:       x.request.Trailer,
		Extra:         x.extraHeader(d),
		Once:          d.Once,
		MaySend:       maySend,
		Stray: func(answer http.Header) bool {
			return x.entry.dialect.Stray(x.request.Header, answer)
		},
	})
	x.entry.instruments.sent(delivery)
	if err != nil {
		done()
		x.entry.engine.end(x.failedEnd(d, delivery, err))
		return
	}
	x.answered(d, response, delivery.FirstByte-delivery.Started, done)
}

// extraHeader holds the headers that tealhall adds for the endpoint.
func (x *exchange) extraHeader(d core.Directive) http.Header {
	return x.entry.dialect.AttemptHeader(&AttemptInfo{
		Endpoint:  d.Endpoint,
		Left:      d.Deadline - x.entry.engine.clock(),
		Number:    int(d.Attempt) + x.callerAttempt - 1,
		Request:   x.requestName,
		Service:   x.service,
		Caller:    x.caller,
		Depth:     x.depth + 1,
		IdleOnly:  d.IdleOnly,
		Forwarded: d.Step == core.StepForward,
	})
}

// answered feeds the head of an answer, which was waited for, and either passes
// the answer to the exchange or drops it.
func (x *exchange) answered(d core.Directive, response *http.Response, waited time.Duration, done context.CancelFunc) {
	head := x.headOf(d, response)
	commit, outcome := x.entry.engine.head(head)
	if commit {
		c := &committed{response: response, attempt: d.Attempt, outcome: outcome, forwarded: d.Step == core.StepForward, waited: waited}
		if !x.offer(c) {
			x.abandon(c)
		}
		return
	}
	done()
	_ = response.Body.Close()
	kind := core.EndDiscarded
	if head.NotRun {
		kind = core.EndNotRun
	}
	x.end(d.Attempt, kind, nil)
}

// abandon drops an answer that nobody waits for any more.
func (x *exchange) abandon(c *committed) {
	x.mu.Lock()
	x.cancelLocked(c.attempt)
	x.mu.Unlock()
	_ = c.response.Body.Close()
	x.end(c.attempt, core.EndCallerGone, nil)
}

// end reports the end of an attempt to the core.
func (x *exchange) end(n core.Attempt, kind core.EndKind, answer *idem.Answer) {
	x.entry.engine.end(core.End{ID: x.id, Attempt: n, Kind: kind, Replayable: !x.body.Streamed(), Answer: answer})
}

// headOf reads what the head of an answer says.
func (x *exchange) headOf(d core.Directive, response *http.Response) core.Head {
	if d.Step == core.StepForward {
		lost := response.Header.Get(contract.HeaderReason) == core.ReasonHomeLost.String()
		return core.Head{ID: d.ID, Attempt: d.Attempt, Status: response.StatusCode, HomeLost: lost}
	}
	h := x.entry.dialect.ReadHead(d.Endpoint, x.request.Header, response.Header, response.StatusCode)
	h.ID, h.Attempt = d.ID, d.Attempt
	return h
}

// failedEnd classifies an attempt that brought no head.
func (x *exchange) failedEnd(d core.Directive, delivery forward.Delivery, err error) core.End {
	failure := forward.FailureOf(err)
	end := core.End{ID: d.ID, Attempt: d.Attempt, Kind: core.EndLost, Replayable: !x.body.Streamed(), Cause: failure.String()}
	switch failure {
	case forward.Died:
		end.Broke = true
	case forward.RefusedDial, forward.DialTimeout, forward.DialFailed:
		end.DialFailed = true
	case forward.Silent:
		end.ConnSilent = true
	case forward.Slow, forward.Deadline:
		end.TimedOut = true
	case forward.BadBody, forward.BadRequest:
		end.BodyFailed = true
		x.noteTooLarge(err)
	case forward.Cancelled:
		end.Kind = core.EndCancelled
	}
	if !delivery.Wrote {
		end.Kind = core.EndNotWritten
	}
	return end
}

// noteTooLarge remembers that the body failed because it is beyond its bound.
func (x *exchange) noteTooLarge(err error) {
	if beyond := (*front.BodyTooLargeError)(nil); !errors.As(err, &beyond) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tooLarge = true
}
