package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/front"
)

// exchange is one caller's request while it is served. The handler's goroutine
// owns it; directives and the answer reach it through push and offer.
type exchange struct {
	entry   *Entry
	id      core.RequestID
	request *http.Request
	body    *front.ReplayBody
	// requestName is the same over all attempts of the request.
	requestName   string
	service       string
	caller        string
	depth         int
	callerAttempt int
	keyed         bool

	// mu guards the fields below; it may be taken under the engine's lock.
	mu         sync.Mutex
	directives []core.Directive
	answer     *committed
	closed     bool

	wake chan struct{}
	// cancels end the attempts that are out.
	cancels  [core.MaxAttempts + 1]context.CancelFunc
	attempts sync.WaitGroup
}

// committed is an answer that is passed on to the caller.
type committed struct {
	response *http.Response
	attempt  core.Attempt
	outcome  core.Outcome
	// forwarded says that the answer comes from another entry.
	forwarded bool
}

// push gives the exchange a directive. It never blocks.
func (x *exchange) push(d core.Directive) {
	x.mu.Lock()
	x.directives = append(x.directives, d)
	x.mu.Unlock()
	x.signal()
}

// offer gives the exchange the answer that the core committed to. It is false
// when nobody waits for it any more.
func (x *exchange) offer(c *committed) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return false
	}
	x.answer = c
	x.signal()
	return true
}

func (x *exchange) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// next removes the oldest directive.
func (x *exchange) next() (core.Directive, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.directives) == 0 {
		return core.Directive{}, false
	}
	d := x.directives[0]
	x.directives = x.directives[1:]
	return d, true
}

// takeAnswer returns the answer to pass on, if there is one.
func (x *exchange) takeAnswer() *committed {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.answer
	x.answer = nil
	return c
}

// serve carries out directives until the caller has its answer.
func (x *exchange) serve(w http.ResponseWriter) {
	gone := x.request.Context().Done()
	for {
		select {
		case <-x.wake:
			if x.drain(w) {
				return
			}
		case <-gone:
			gone = nil
			if !x.entry.engine.callerGone(x.id) {
				return
			}
		}
	}
}

// drain carries out what waits; it reports whether the caller was answered.
func (x *exchange) drain(w http.ResponseWriter) (answered bool) {
	for {
		d, ok := x.next()
		if !ok {
			break
		}
		switch d.Step {
		case core.StepDispatch, core.StepForward:
			x.start(d)
		case core.StepCancel:
			x.cancel(d.Attempt)
		case core.StepReply:
			x.entry.reply(w, x.request, d)
			return true
		case core.StepReplay:
			x.entry.replay(w, d)
			return true
		}
	}
	if c := x.takeAnswer(); c != nil {
		x.pass(w, c)
		return true
	}
	return false
}

// start sends an attempt on a goroutine of its own.
func (x *exchange) start(d core.Directive) {
	left := d.Deadline - x.entry.engine.clock()
	ctx, cancel := context.WithTimeout(context.Background(), max(left, time.Nanosecond))
	x.cancels[d.Attempt] = cancel
	x.attempts.Add(1)
	go func() {
		defer x.attempts.Done()
		x.attempt(ctx, cancel, d)
	}()
}

func (x *exchange) cancel(n core.Attempt) {
	if cancel := x.cancels[n]; cancel != nil {
		cancel()
	}
}

// close ends the exchange: no directive or answer reaches it any more and its
// attempts are cancelled. An attempt that still reads the caller's connection
// must have ended before the handler returns.
func (x *exchange) close() {
	x.entry.engine.forget(x.id)
	x.mu.Lock()
	x.closed = true
	late := x.answer
	x.mu.Unlock()
	if late != nil {
		x.abandon(late)
	}
	for n := range x.cancels {
		x.cancel(core.Attempt(n))
	}
	if !x.body.Whole() {
		x.body.Interrupt()
		x.attempts.Wait()
	}
}
