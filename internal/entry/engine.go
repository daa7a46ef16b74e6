package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealhall/tealhall/internal/core"
)

// engine drives the decision core: it serialises the events, stamps them with
// the time and hands the resulting actions to whoever carries them out.
type engine struct {
	clock func() time.Duration
	wall  func() time.Time

	mu      sync.Mutex
	core    *core.Core
	actions core.Actions
	// exchanges are the callers' requests that are being served.
	exchanges map[core.RequestID]*exchange
	// execute gets the actions that concern no single request. It is called
	// without the lock and must not keep the slices.
	execute func(*core.Actions)

	// idle says that ticks are rare since nothing is in flight; busy wakes
	// the one who ticks when a request arrives or a belief changes then.
	idle bool
	wake chan struct{}

	nextID atomic.Uint64
	// actionPool holds emptied action lists for carry.
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

// event runs f on the core and carries out what it appended.
func (e *engine) event(f func(now time.Duration, c *core.Core, out *core.Actions)) {
	e.mu.Lock()
	f(e.clock(), e.core, &e.actions)
	rest := e.dispatchLocked()
	e.mu.Unlock()
	e.executeRest(rest)
}

// dispatchLocked hands the directives to their requests and returns the other
// actions, or nil if there are none. The lock is held.
func (e *engine) dispatchLocked() *core.Actions {
	if len(e.actions.Notes) > 0 {
		e.wakeLocked() // what changed here may be news to peers
	}
	for i := range e.actions.Requests {
		d := &e.actions.Requests[i]
		if x, ok := e.exchanges[d.ID]; ok {
			x.push(*d)
		}
	}
	if !hasRest(&e.actions) {
		e.actions.Reset()
		return nil
	}
	rest := e.actionPool.Get().(*core.Actions)
	*rest, e.actions = e.actions, *rest
	return rest
}

func hasRest(a *core.Actions) bool {
	return len(a.Probes)+len(a.Updates)+len(a.Fetches)+len(a.Notes)+len(a.Traces)+len(a.DropAddresses)+len(a.SuspectAddresses) > 0
}

func (e *engine) executeRest(rest *core.Actions) {
	if rest == nil {
		return
	}
	e.execute(rest)
	rest.Reset()
	e.actionPool.Put(rest)
}

// arrive registers an exchange and feeds its request to the core.
func (e *engine) arrive(x *exchange, a *core.Arrival) {
	e.mu.Lock()
	e.exchanges[a.ID] = x
	e.wakeLocked()
	e.core.Arrive(e.clock(), *a, &e.actions)
	rest := e.dispatchLocked()
	e.mu.Unlock()
	e.executeRest(rest)
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

// head feeds the head of an answer and reports whether the answer is to be
// passed on and with which outcome.
func (e *engine) head(h core.Head) (commit bool, outcome core.Outcome) {
	e.mu.Lock()
	e.core.Head(e.clock(), h, &e.actions)
	for i := range e.actions.Requests {
		d := &e.actions.Requests[i]
		if d.ID == h.ID && d.Attempt == h.Attempt && d.Step == core.StepCommit {
			commit, outcome = true, d.Outcome
		}
	}
	rest := e.dispatchLocked()
	e.mu.Unlock()
	e.executeRest(rest)
	return commit, outcome
}

// end feeds the end of an attempt.
func (e *engine) end(end core.End) {
	e.mu.Lock()
	e.core.End(e.clock(), end, &e.actions)
	rest := e.dispatchLocked()
	e.mu.Unlock()
	e.executeRest(rest)
}

// maySend asks whether an attempt may still be written.
func (e *engine) maySend(id core.RequestID, n core.Attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.MaySend(e.clock(), id, n)
}

// callerGone says that nobody waits for a request any more, and reports whether
// it runs on nevertheless.
func (e *engine) callerGone(id core.RequestID) (runsOn bool) {
	e.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		runsOn = c.CallerGone(now, id, out)
	})
	return runsOn
}

// wakeLocked asks for frequent ticks again. The lock is held.
func (e *engine) wakeLocked() {
	if !e.idle {
		return
	}
	e.idle = false
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// tick runs the core's systems and returns when to run them next.
func (e *engine) tick() (next time.Duration) {
	e.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		c.Tick(now, e.wall(), out)
		e.idle = len(e.exchanges) == 0 && c.InFlight() == 0
		next = tickPeriod
		if e.idle {
			next = idleTickPeriod
		}
	})
	return next
}

// view runs f with the core locked; f must not keep what it reads.
func (e *engine) view(f func(now time.Duration, c *core.Core)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.clock(), e.core)
}
