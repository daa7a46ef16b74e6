package standin

import (
	"sync"

	"github.com/tealhall/tealhall/internal/contract"
)

// slots is an endpoint's fixed number of slots with a bounded first-in first-out queue of requests
// that wait for one.
type slots struct {
	mu         sync.Mutex
	total      int
	queueLimit int // maximum length of the queue
	inFlight   int
	queue      []*waiter // in order of arrival
	queuePeak  int       // greatest length of the queue so far
	idle       *sync.Cond
}

// waiter is a queued request. granted is closed when the request gets a slot.
type waiter struct{ granted chan struct{} }

func newSlots(total, queueLimit int) *slots {
	s := &slots{total: total, queueLimit: queueLimit}
	s.idle = sync.NewCond(&s.mu)
	return s
}

// acquire takes an idle slot and returns nil, true. If no slot is idle, it queues the request and
// returns its waiter and true; if idleOnly is set or the queue is full, it returns nil, false.
func (s *slots) acquire(idleOnly bool) (*waiter, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight < s.total {
		s.inFlight++
		return nil, true
	}
	if idleOnly || len(s.queue) >= s.queueLimit {
		return nil, false
	}
	w := &waiter{granted: make(chan struct{})}
	s.queue = append(s.queue, w)
	s.queuePeak = max(s.queuePeak, len(s.queue))
	return w, true
}

// cancelWait removes w from the queue. If w has been granted a slot in the meantime, the slot is
// released.
func (s *slots) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, queued := range s.queue {
		if queued == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.signalIfIdle()
			return
		}
	}
	s.releaseLocked()
}

// release returns a slot.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked grants the slot to the first request in the queue, or makes it idle. The caller
// holds s.mu.
func (s *slots) releaseLocked() {
	if len(s.queue) > 0 {
		first := s.queue[0]
		s.queue = s.queue[1:]
		close(first.granted)
		return
	}
	s.inFlight--
	s.signalIfIdle()
}

// signalIfIdle wakes awaitIdle if no request uses a slot or is queued.
func (s *slots) signalIfIdle() {
	if s.inFlight == 0 && len(s.queue) == 0 {
		s.idle.Broadcast()
	}
}

// load returns the present load.
func (s *slots) load() contract.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return contract.Load{InFlight: s.inFlight, Queued: len(s.queue), Slots: s.total}
}

// longestQueue returns the greatest length of the queue so far.
func (s *slots) longestQueue() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queuePeak
}

// awaitIdle waits until no request uses a slot or is queued.
func (s *slots) awaitIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.inFlight > 0 || len(s.queue) > 0 {
		s.idle.Wait()
	}
}
