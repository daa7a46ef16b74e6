package standin

import (
	"sync"
	"time"
)

// Clock is the source of time of the stand-ins.
type Clock interface {
	// Now returns the monotonic time since the start of the clock.
	Now() time.Duration
	// After returns a channel that is closed once d has passed, and a function that stops the timer
	// early.
	After(d time.Duration) (fired <-chan struct{}, stop func())
}

// timerSlack is the most by which the runtime's timer is expected to fire late: an idle process
// waits for timers in whole milliseconds. With service times of a few milliseconds, that delay
// would be a tenth of the measured time.
const timerSlack = 1200 * time.Microsecond

// RealClock returns the clock of the process. Its timers are as accurate as the operating system's
// sleep, without busy waiting: the runtime's timer covers all but the last timerSlack, and a sleep
// of the thread covers the rest.
func RealClock() Clock {
	return realClock{start: time.Now()}
}

type realClock struct{ start time.Time }

func (c realClock) Now() time.Duration { return time.Since(c.start) }

func (c realClock) After(d time.Duration) (<-chan struct{}, func()) {
	fired := make(chan struct{})
	due := time.Now().Add(d)
	timer := time.AfterFunc(d-timerSlack, func() {
		sleepUntil(due)
		close(fired)
	})
	return fired, func() { timer.Stop() }
}

// ManualClock is a clock that only Advance moves. It is safe for concurrent use.
type ManualClock struct {
	mu      sync.Mutex
	changed *sync.Cond
	now     time.Duration
	timers  map[*manualTimer]struct{}
}

type manualTimer struct {
	due   time.Duration
	fired chan struct{}
}

// NewManualClock returns a clock whose time is zero.
func NewManualClock() *ManualClock {
	c := &ManualClock{timers: make(map[*manualTimer]struct{})}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Now implements Clock.
func (c *ManualClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After implements Clock.
func (c *ManualClock) After(d time.Duration) (<-chan struct{}, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := &manualTimer{due: c.now + d, fired: make(chan struct{})}
	if d <= 0 {
		close(timer.fired)
		return timer.fired, func() {}
	}
	c.timers[timer] = struct{}{}
	c.changed.Broadcast()
	return timer.fired, func() { c.stop(timer) }
}

func (c *ManualClock) stop(timer *manualTimer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.timers, timer)
	c.changed.Broadcast()
}

// Advance moves the clock forward by d and fires every timer that is due.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
	for timer := range c.timers {
		if timer.due <= c.now {
			close(timer.fired)
			delete(c.timers, timer)
		}
	}
	c.changed.Broadcast()
}

// AwaitTimers returns once exactly n timers are pending.
func (c *ManualClock) AwaitTimers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.timers) != n {
		c.changed.Wait()
	}
}
