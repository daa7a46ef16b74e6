package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/front"
)

// exchange is one caller's request while it is served. The handler's goroutine owns it; directives
// and the answer reach it through push and offer.
type exchange struct {
	entry   *Entry
	id      core.RequestID
	request *http.Request
	body    *front.ReplayBody
	// requestName is the same for all attempts of the request.
	requestName   string
	service       string
	caller        string
	depth         int
	callerAttempt int
	keyed         bool
	// largeAnswer is set if the answer takes turns with others on the entry's link.
	largeAnswer bool
	// began is the time of the request's arrival, and ending is how the request ended.
	began  time.Duration
	ending ending

	// mu guards the fields below; it may be taken while the engine's lock is held.
	mu         sync.Mutex
	directives []core.Directive
	answer     *committed
	closed     bool
	// abandoned: the caller has left and the request does not run on.
	abandoned bool
	// tooLarge: the body exceeded its limit while it was sent.
	tooLarge bool
	// inline: the handler's goroutine is making an attempt.
	inline bool
	// cancels are the cancel functions of the running attempts.
	cancels [core.MaxAttempts + 1]context.CancelFunc

	wake     chan struct{}
	attempts sync.WaitGroup
	// stopWatch ends the watch for a caller that leaves.
	stopWatch func() bool
}

// committed is an answer that is passed on to the caller.
type committed struct {
	response *http.Response
	attempt  core.Attempt
	outcome  core.Outcome
	// forwarded is set if the answer comes from another entry.
	forwarded bool
	// relayed is set if an endpoint's answer comes through another entry.
	relayed bool
	// waited is the time from the first write of the request to the first byte of the answer.
	waited time.Duration
}

// push adds a directive to the exchange. It never blocks. While the handler's goroutine makes an
// attempt, push itself starts and cancels other attempts, and cancels all attempts if the entry
// answers the caller itself.
func (x *exchange) push(d core.Directive) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case d.Step == core.StepCommit || d.Step == core.StepDiscard:
		return // engine.head passes these to the attempt itself
	case d.Step == core.StepCancel:
		x.cancelLocked(d.Attempt)
		return
	case x.inline && isAttempt(d.Step):
		x.startLocked(d)
		return
	case x.inline:
		x.cancelAllLocked()
	}
	x.directives = append(x.directives, d)
	x.signal()
}

// isAttempt reports whether the step makes an attempt.
func isAttempt(s core.Step) bool {
	return s == core.StepDispatch || s == core.StepForward || s == core.StepRelay
}

// offer gives the exchange an answer to which the core committed. It returns false if the exchange
// is closed.
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

// takeAnswer removes and returns the answer for the caller, if there is one, and reports whether
// the request was abandoned.
func (x *exchange) takeAnswer() (c *committed, abandoned bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, x.answer = x.answer, nil
	return c, x.abandoned
}

// serve carries out directives until the caller has its answer or has left.
func (x *exchange) serve(w http.ResponseWriter) {
	x.stopWatch = context.AfterFunc(x.request.Context(), x.callerGone)
	defer x.stopWatch()
	for range x.wake {
		if x.handlePending(w) {
			return
		}
	}
}

// callerGone runs when the caller closes its connection. It cancels the attempts, unless the core
// lets the request run on, as it may with an idempotency key. It also runs when an attempt has
// interrupted the reading of the body; the caller then waits for its answer.
func (x *exchange) callerGone() {
	if x.body.Interrupted() {
		return
	}
	if x.entry.engine.callerGone(x.id) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = true
	x.cancelAllLocked()
	x.signal()
}

// handlePending carries out the pending directives and passes on the answer; it reports whether the
// exchange is over.
func (x *exchange) handlePending(w http.ResponseWriter) (over bool) {
	for {
		d, ok := x.next()
		if !ok {
			break
		}
		switch d.Step {
		case core.StepDispatch, core.StepForward, core.StepRelay:
			x.run(d)
		case core.StepReply:
			x.ending = endingOf(d.Outcome)
			x.entry.reply(w, x.request, x.refineReason(d))
			return true
		case core.StepReplay:
			x.ending = endingOf(d.Outcome)
			x.entry.replay(w, d)
			return true
		}
	}
	c, abandoned := x.takeAnswer()
	if c != nil {
		x.passAnswer(w, c)
		return true
	}
	if abandoned {
		front.CutOff(w) // a handler that only returns has answered with success
	}
	return abandoned
}

// refineReason makes the reason of a refusal more precise: the core only knows that the body broke
// off when the body turns out to be too large while it is sent.
func (x *exchange) refineReason(d core.Directive) core.Directive {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.tooLarge && d.Reason == core.ReasonBodyBroken {
		d.Reason = core.ReasonBodyTooLarge
	}
	return d
}

// run makes an attempt on the handler's goroutine, which saves two goroutine switches for a request
// that is sent once.
func (x *exchange) run(d core.Directive) {
	x.mu.Lock()
	x.inline = true
	ctx, cancel := x.prepareLocked(d)
	x.mu.Unlock()
	x.attempt(ctx, cancel, d)
	x.mu.Lock()
	x.inline = false
	x.mu.Unlock()
}

// startLocked makes an attempt on its own goroutine. x.mu is held.
func (x *exchange) startLocked(d core.Directive) {
	ctx, cancel := x.prepareLocked(d)
	x.attempts.Add(1)
	go func() {
		defer x.attempts.Done()
		x.attempt(ctx, cancel, d)
	}()
}

// prepareLocked creates the context of an attempt. x.mu is held.
func (x *exchange) prepareLocked(d core.Directive) (context.Context, context.CancelFunc) {
	left := d.Deadline - x.entry.engine.clock()
	ctx, cancel := context.WithTimeout(context.Background(), max(left, time.Nanosecond))
	x.cancels[d.Attempt] = cancel
	return ctx, cancel
}

func (x *exchange) cancelLocked(n core.Attempt) {
	if cancel := x.cancels[n]; cancel != nil {
		cancel()
	}
}

func (x *exchange) cancelAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelAllLocked()
}

func (x *exchange) cancelAllLocked() {
	for n := range x.cancels {
		x.cancelLocked(core.Attempt(n))
	}
}

// close ends the exchange: it gets no more directives or answers, and its attempts are cancelled,
// which ends their reading of the body. Attempts that read the caller's connection must end before
// the handler returns.
func (x *exchange) close() {
	x.entry.engine.forget(x.id)
	x.mu.Lock()
	x.closed = true
	unread := x.answer
	x.cancelAllLocked()
	x.mu.Unlock()
	if unread != nil {
		x.dropAnswer(unread)
	}
	if !x.body.Whole() {
		x.attempts.Wait()
	}
	x.body.Release()
}
