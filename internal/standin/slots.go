package standin

import (
	"sync"

	"github.com/tealhall/tealhall/internal/contract"
)

// slots is an endpoint's fixed number of places to work, with a first-in
// first-out queue of limited length before them.
type slots struct {
	mu         sync.Mutex
	total      int
	queueLimit int // longest queue
	inFlight   int
	queue      []*waiter // in order of arrival
	queuePeak  int       // longest queue seen
	idle       *sync.Cond
}

// waiter is one request in the queue. granted is closed when it gets a slot.
type waiter struct{ granted chan struct{} }

func newSlots(total, queueLimit int) *slots {
	s := &slots{total: total, queueLimit: queueLimit}
	s.idle = sync.NewCond(&s.mu)
	return s
}

// acquire takes a slot or, unless idleOnly, a place in the queue. It returns nil,
// false when there is none, and nil, true when a slot was idle.
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

// cancelWait takes w out of the queue. When w was granted a slot meanwhile, the
// slot goes to the next in the queue.
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

// release gives a slot back.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked hands the slot to the first in the queue, or frees it.
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

func (s *slots) signalIfIdle() {
	if s.inFlight == 0 && len(s.queue) == 0 {
		s.idle.Broadcast()
	}
}

// load reports the slots and the queue as they are.
func (s *slots) load() contract.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return contract.Load{InFlight: s.inFlight, Queued: len(s.queue), Slots: s.total}
}

// longestQueue returns the longest queue seen.
func (s *slots) longestQueue() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queuePeak
}

// awaitIdle returns once nothing holds a slot or waits for one.
func (s *slots) awaitIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.inFlight > 0 || len(s.queue) > 0 {
		s.idle.Wait()
	}
}
