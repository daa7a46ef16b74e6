package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/core/idem"
	"github.com/tealhall/tealhall/internal/forward"
	"github.com/tealhall/tealhall/internal/front"
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
	})
	x.entry.instruments.sent(delivery)
	if err != nil {
		done()
		x.entry.engine.end(x.failedEnd(d, delivery, err))
		return
	}
	x.answered(d, response, delivery.FirstByte-delivery.Started, done)
}

// extraHeader holds the headers that tealhall adds for the endpoint. The values
// share one array, since this is made for every attempt.
func (x *exchange) extraHeader(d core.Directive) http.Header {
	left := d.Deadline - x.entry.engine.clock()
	values := [...]string{
		contract.FormatDeadline(left),
		strconv.Itoa(int(d.Attempt) + x.callerAttempt - 1),
		x.requestName,
		x.service,
		x.caller,
		strconv.Itoa(x.depth + 1),
	}
	h := http.Header{
		contract.HeaderDeadline: values[0:1:1],
		contract.HeaderAttempt:  values[1:2:2],
		contract.HeaderRequest:  values[2:3:3],
		contract.HeaderService:  values[3:4:4],
	}
	if d.IdleOnly {
		h[contract.HeaderIdleOnly] = []string{contract.IdleOnlyValue}
	}
	if d.Step == core.StepForward {
		h[contract.HeaderForwarded] = []string{contract.ForwardedValue}
		h[contract.HeaderCaller] = values[4:5:5]
		return h
	}
	h[contract.HeaderDepth] = values[5:6:6]
	return h
}

// answered feeds the head of an answer, which was waited for, and either passes
// the answer to the exchange or drops it.
func (x *exchange) answered(d core.Directive, response *http.Response, waited time.Duration, done context.CancelFunc) {
	head := headOf(d, response)
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

// headOf reads what an endpoint's answer says of itself.
func headOf(d core.Directive, response *http.Response) core.Head {
	h := core.Head{ID: d.ID, Attempt: d.Attempt, Status: response.StatusCode}
	if d.Step == core.StepForward {
		h.HomeLost = response.Header.Get(contract.HeaderReason) == core.ReasonHomeLost.String()
		return h
	}
	_, h.NotRun = contract.ProvedNotRun(response.StatusCode, response.Header)
	h.Draining = response.Header.Get(contract.HeaderDraining) == contract.DrainingValue
	h.Incarnation, _ = contract.ParseIncarnation(response.Header.Get(contract.HeaderIncarnation))
	h.Load = loadOf(response.Header)
	return h
}

func loadOf(header http.Header) core.Load {
	load, ok := contract.ParseLoad(header.Get(contract.HeaderLoad))
	return core.Load{Known: ok, InFlight: load.InFlight, Queued: load.Queued, Slots: load.Slots}
}

// failedEnd classifies an attempt that brought no head.
func (x *exchange) failedEnd(d core.Directive, delivery forward.Delivery, err error) core.End {
	end := core.End{ID: d.ID, Attempt: d.Attempt, Kind: core.EndLost, Replayable: !x.body.Streamed()}
	switch forward.FailureOf(err) {
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
	if beyond := (*front.TooLarge)(nil); !errors.As(err, &beyond) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tooLarge = true
}
