package front

import (
	"context"
	"time"
)

// stopPoll is the interval at which Stop checks for connections that became idle.
const stopPoll = 10 * time.Millisecond

// Leave makes every further answer ask its caller to close the connection. New connections are
// still accepted, so that callers have time to learn about other entries. Call Stop afterwards.
func (s *Server) Leave() { s.leaving.Store(true) }

// Leaving reports whether Leave or Stop was called.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Stop refuses new connections, closes idle ones and waits until the requests in flight are
// answered. A caller whose connection is refused knows that its request did not run. If ctx ends
// first, Stop calls beforeCut, which may be nil, with the number of requests in flight, cuts them
// off and returns their number.
func (s *Server) Stop(ctx context.Context, beforeCut func(inFlight int)) (cut int) {
	s.Leave()
	s.closeListeners()
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for s.isAccepting() || s.closeIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			cut = s.InFlight()
			if beforeCut != nil {
				beforeCut(cut)
			}
			s.http.Close()
			return cut
		}
	}
	s.http.Close()
	return 0
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, l := range s.listeners {
		l.leave()
	}
	s.listeners = nil
}

// isAccepting reports whether a listener still accepts connections. While one does, a request may
// still arrive although no connection is open.
func (s *Server) isAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepting > 0
}

// closeIdle closes the idle connections and returns the number of the others.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	open := make([]*guardedConn, 0, len(s.conns))
	for g := range s.conns {
		open = append(open, g)
	}
	s.mu.Unlock()
	left := 0
	for _, g := range open {
		if g.isIdle() {
			g.Close()
			continue
		}
		left++
	}
	return left
}
