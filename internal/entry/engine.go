package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealhall/tealhall/internal/core"
)

// engine drives the decision core: it serialises the events, stamps them with the time and passes
// the resulting actions to the exchanges or to execute.
type engine struct {
	clock func() time.Duration
	wall  func() time.Time

	mu      sync.Mutex
	core    *core.Core
	actions core.Actions
	// exchanges are the callers' requests that are being served.
	exchanges map[core.RequestID]*exchange
	// execute carries out the actions that do not belong to a single request. It is called without
	// the lock and must not keep the slices.
	execute func(*core.Actions)

	// idle is set while ticks are rare because nothing is in flight. due is the time of the next tick,
	// and wake tells the tick loop that it was moved forward by an event.
	idle bool
	due  time.Duration
	wake chan struct{}

	nextID atomic.Uint64
	// actionPool has empty action lists for execute.
	actionPool sync.Pool
}

func newEngine(c *core.Core, clock func() time.Duration, wall func() time.Time) *engine {
	return &engine{
		clock:      clock,
		wall:       wall,
		core:       c,
		exchanges:  make(map[core.RequestID]*exchange),
		wake:       make(chan struct{}, 1),
		actionPool: sync.Pool{New: func() any { return new(core.Actions) }},
	}
}

// event runs f on the core and carries out the actions that f appended.
func (e *engine) event(f func(now time.Duration, c *core.Core, out *core.Actions)) {
	e.mu.Lock()
	f(e.clock(), e.core, &e.actions)
	rest := e.dispatchLocked()
	e.mu.Unlock()
	e.executeOtherActions(rest)
}

// dispatchLocked passes the directives to their exchanges and returns the other actions, or nil if
// there are none. e.mu is held.
func (e *engine) dispatchLocked() *core.Actions {
	if len(e.actions.Notes) > 0 {
		e.wakeLocked() // peers may need to learn of the change
	}
	e.scheduleLocked()
	for i := range e.actions.Directives {
		d := &e.actions.Directives[i]
		if x, ok := e.exchanges[d.ID]; ok {
			x.push(*d)
		}
	}
	if !hasOtherActions(&e.actions) {
		e.actions.Reset()
		return nil
	}
	rest := e.actionPool.Get().(*core.Actions)
	*rest, e.actions = e.actions, *rest
	return rest
}

func hasOtherActions(a *core.Actions) bool {
	return len(a.Probes)+len(a.Updates)+len(a.Fetches)+len(a.Notes)+len(a.Traces)+len(a.DropAddresses)+len(a.SuspectAddresses) > 0
}

func (e *engine) executeOtherActions(rest *core.Actions) {
	if rest == nil {
		return
	}
	e.execute(rest)
	rest.Reset()
	e.actionPool.Put(rest)
}

// arrive registers an exchange and passes its request to the core.
func (e *engine) arrive(x *exchange, a *core.Arrival) {
	e.mu.Lock()
	e.exchanges[a.ID] = x
	e.wakeLocked()
	e.core.Arrive(e.clock(), *a, &e.actions)
	rest := e.dispatchLocked()
	e.mu.Unlock()
	e.executeOtherActions(rest)
}

// forget unregisters an exchange: no more directives reach it.
func (e *engine) forget(id core.RequestID) {
	e.mu.Lock()
	delete(e.exchanges, id)
	e.mu.Unlock()
}

// cancelAll cancels the attempts of all requests.
func (e *engine) cancelAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.exchanges {
		x.cancelAll()
	}
}

// head passes the head of an answer to the core. It reports whether the answer goes to the caller,
// and with which outcome.
func (e *engine) head(h core.Head) (commit bool, outcome core.Outcome) {
	e.mu.Lock()
	e.core.Head(e.clock(), h, &e.actions)
	for i := range e.actions.Directives {
		d := &e.actions.Directives[i]
		if d.ID == h.ID && d.Attempt == h.Attempt && d.Step == core.StepCommit {
			commit, outcome = true, d.Outcome
		}
	}
	rest := e.dispatchLocked()
	e.mu.Unlock()
	e.executeOtherActions(rest)
	return commit, outcome
}

// end passes the end of an attempt to the core.
func (e *engine) end(end core.End) {
	e.mu.Lock()
	e.core.End(e.clock(), end, &e.actions)
	rest := e.dispatchLocked()
	e.mu.Unlock()
	e.executeOtherActions(rest)
}

// maySend reports whether an attempt may still be written.
func (e *engine) maySend(id core.RequestID, n core.Attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.MaySend(e.clock(), id, n)
}

// mayConnect reports whether a connection may still be taken for an attempt.
func (e *engine) mayConnect(id core.RequestID, n core.Attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.MayConnect(e.clock(), id, n)
}

// callerGone tells the core that the caller of a request has left, and reports whether the request
// runs on nevertheless.
func (e *engine) callerGone(id core.RequestID) (runsOn bool) {
	e.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		runsOn = c.CallerGone(now, id, out)
	})
	return runsOn
}

// wakeLocked moves the next tick forward after a change. e.mu is held.
func (e *engine) wakeLocked() {
	e.idle = false
	e.moveForwardLocked(e.clock() + tickPeriod)
}

// scheduleLocked moves the next tick forward if an event made something due before it. e.mu is held.
func (e *engine) scheduleLocked() {
	if !e.idle {
		e.moveForwardLocked(e.core.NextDue(e.clock(), tickPeriod, longTickPeriod))
	}
}

// moveForwardLocked moves the next tick forward to a time, unless it is due about then. e.mu is held.
func (e *engine) moveForwardLocked(due time.Duration) {
	if due >= e.due-tickPeriod/4 {
		return
	}
	e.due = due
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// tick runs the core's periodic work.
func (e *engine) tick() {
	e.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		c.Tick(now, e.wall(), out)
		e.idle = len(e.exchanges) == 0 && c.InFlight() == 0
		e.due = now + idleTickPeriod
		if !e.idle {
			e.due = c.NextDue(now, tickPeriod, longTickPeriod)
		}
	})
}

// untilDue returns the time until the next tick.
func (e *engine) untilDue() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.due-e.clock())
}

// view runs f with the core locked; f must not keep what it reads.
func (e *engine) view(f func(now time.Duration, c *core.Core)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.clock(), e.core)
}
