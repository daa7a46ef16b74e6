package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/forward"
	"github.com/tealhall/tealhall/internal/front"
	"github.com/tealhall/tealhall/internal/idem"
)

// attempt sends the request once and reports the result to the core. If the core commits to the
// answer, the exchange gets it.
func (x *exchange) attempt(ctx context.Context, cancel context.CancelFunc, d core.Directive) {
	maySend := func() bool { return x.entry.engine.maySend(d.ID, d.Attempt) }
	body, ok := x.body.Reader()
	// The core is also asked before a connection is taken, since opening one costs the endpoint
	// something too.
	if !ok || !x.entry.engine.mayConnect(d.ID, d.Attempt) {
		cancel()
		x.reportEnd(d.Attempt, core.EndNotWritten, nil)
		return
	}
	connections := x.entry.connections
	switch d.Step {
	case core.StepForward:
		connections = x.entry.homeConnections
	case core.StepRelay:
		connections = x.entry.relayConnections
	}
	response, delivery, err := connections.Send(ctx, forward.Outgoing{
		Address:       d.Address,
		Request:       x.request,
		Body:          body,
		ContentLength: x.body.Length(),
		Trailer:       x.request.Trailer,
		Extra:         x.extraHeader(d),
		Name:          x.requestName,
		Once:          d.Once,
		OpenOnly:      d.OpenOnly,
		MaySend:       maySend,
		IsStray:       func(answer http.Header) bool { return x.belonging(answer) == StrayAnswer },
	})
	x.entry.instruments.countDelivery(delivery)
	if err != nil {
		cancel()
		x.entry.engine.end(x.failedEnd(d, delivery, err))
		return
	}
	x.handleHead(d, response, delivery, cancel)
}

// belonging returns to which request an answer to an attempt belongs.
func (x *exchange) belonging(answer http.Header) Belonging {
	return x.entry.dialect.BelongsTo(x.requestName, x.request.Header, answer)
}

// extraHeader returns the headers that the entry adds to an attempt.
func (x *exchange) extraHeader(d core.Directive) http.Header {
	h := x.entry.dialect.AttemptHeader(&AttemptInfo{
		Endpoint:  d.Endpoint,
		Left:      d.Deadline - x.entry.engine.clock(),
		Number:    int(d.Attempt) + x.callerAttempt - 1,
		Request:   x.requestName,
		Service:   x.service,
		Caller:    x.caller,
		Depth:     x.depth + 1,
		IdleOnly:  d.IdleOnly,
		Forwarded: d.Step != core.StepDispatch,
	})
	switch {
	case d.Step == core.StepRelay:
		x.addRelayHeader(h, d)
	case isRelayed(x.request):
		dropRelayHeader(h)
	}
	return h
}

// handleHead passes the head of an answer to the core. If the core commits to the answer, the
// exchange gets it; otherwise it is closed.
func (x *exchange) handleHead(d core.Directive, response *http.Response, delivery forward.Delivery, cancel context.CancelFunc) {
	head := x.headOf(d, response)
	head.Connected, head.Conn = delivery.NewConn, connUse(delivery)
	if head.NotRun && !x.provesNotRun(d, response, delivery) {
		head.NotRun, head.Unusable = false, true
	}
	waited := delivery.FirstByte - delivery.Started
	commit, outcome := x.entry.engine.head(head)
	if commit {
		c := &committed{response: response, attempt: d.Attempt, outcome: outcome, forwarded: d.Step == core.StepForward, relayed: d.Step == core.StepRelay, waited: waited}
		if !x.offer(c) {
			x.dropAnswer(c)
		}
		return
	}
	cancel()
	_ = response.Body.Close()
	kind := core.EndDiscarded
	if head.NotRun {
		kind = core.EndNotRun
	}
	x.reportEnd(d.Attempt, kind, nil)
}

// provesNotRun reports whether an answer that states that the request was not run is about this
// request: it names it, or the connection has carried no other. A statement without a name may be a
// second copy of the answer to an earlier request. Entries answer each request once.
func (x *exchange) provesNotRun(d core.Directive, response *http.Response, delivery forward.Delivery) bool {
	return d.Step != core.StepDispatch || delivery.Carried == 0 || x.belonging(response.Header) == OwnAnswer
}

// dropAnswer closes an answer whose caller has left.
func (x *exchange) dropAnswer(c *committed) {
	x.mu.Lock()
	x.cancelLocked(c.attempt)
	x.mu.Unlock()
	_ = c.response.Body.Close()
	x.reportEnd(c.attempt, core.EndCallerGone, nil)
}

// reportEnd reports the end of an attempt to the core.
func (x *exchange) reportEnd(n core.Attempt, kind core.EndKind, answer *idem.Answer) {
	x.entry.engine.end(core.End{ID: x.id, Attempt: n, Kind: kind, Replayable: !x.body.Streamed(), Answer: answer})
}

// headOf reads the head of an answer for the core.
func (x *exchange) headOf(d core.Directive, response *http.Response) core.Head {
	if d.Step == core.StepRelay {
		return relayedHead(d, response)
	}
	if d.Step == core.StepForward {
		lost := response.Header.Get(contract.HeaderReason) == core.ReasonHomeLost.String()
		return core.Head{ID: d.ID, Attempt: d.Attempt, Status: response.StatusCode, HomeLost: lost}
	}
	h := x.entry.dialect.ReadHead(d.Endpoint, x.request.Header, response.Header, response.StatusCode)
	h.ID, h.Attempt = d.ID, d.Attempt
	return h
}

// failedEnd classifies an attempt that failed before the head of an answer.
func (x *exchange) failedEnd(d core.Directive, delivery forward.Delivery, err error) core.End {
	failure := forward.FailureOf(err)
	end := core.End{ID: d.ID, Attempt: d.Attempt, Kind: core.EndLost, Replayable: !x.body.Streamed(), Cause: failure.String(), Conn: connUse(delivery)}
	switch failure {
	case forward.ConnectionLost:
		end.ConnBroken = true
	case forward.DialRefused, forward.DialTimeout, forward.DialFailed:
		end.DialFailed = true
	case forward.Silent:
		end.ConnSilent = true
	case forward.AnswerTimeout, forward.Deadline:
		end.TimedOut = true
	case forward.BadBody, forward.BadRequest:
		end.BodyFailed = true
		x.noteTooLarge(err)
	case forward.Cancelled:
		end.Kind = core.EndCancelled
	}
	// A connection that ends before an answer may have been reset on the way or by an endpoint that failed.
	end.Connected = delivery.NewConn && delivery.Wrote && !end.ConnBroken
	if !delivery.Wrote {
		end.NoOpenConn = d.OpenOnly && failure == forward.NoConnection
		end.Kind = core.EndNotWritten
		end.DialFailed = end.DialFailed || failure == forward.Deadline && delivery.NewConn
	}
	return end
}

// connUse returns which connection a delivery used.
func connUse(d forward.Delivery) core.ConnUse {
	return core.ConnUse{Number: d.Conn, Carried: d.Carried, StrayAnswers: d.StrayAnswers}
}

// noteTooLarge records that the body failed because it exceeds its limit.
func (x *exchange) noteTooLarge(err error) {
	if bodyErr := (*front.BodyTooLargeError)(nil); !errors.As(err, &bodyErr) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tooLarge = true
}
